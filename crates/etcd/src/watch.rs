//! A watch as a value: it knows from which revision it goes on, puts the parts of long answers together, and lets
//! through nothing twice.

use crate::range_end;
use crate::rpc::watch_request::RequestUnion;
use crate::rpc::{Event, ResponseHeader, WatchCreateRequest, WatchRequest, WatchResponse};
use bytes::Bytes;

/// The id of an answer to a question for progress: it holds for all watches of the stream.
const ALL_WATCHES: i64 = -1;

#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Created,
    /// All events up to and with this revision that were not told before.
    Events {
        header: ResponseHeader,
        events: Vec<Event>,
    },
    /// Nothing happened up to this revision.
    Progress {
        header: ResponseHeader,
        /// It answers a question for progress, and does not come of itself.
        is_answer: bool,
    },
    /// What it wanted to go on from is no longer there: a list has to begin anew, at this revision or later.
    Compacted {
        revision: i64,
    },
    Cancelled {
        reason: String,
    },
}

#[derive(Clone, Debug)]
pub struct Watch {
    prefix: Bytes,
    /// The next revision that is wanted.
    next: i64,
    id: Option<i64>,
    parts: Vec<Event>,
}

impl Watch {
    /// Of all keys that begin with `prefix`, from a revision on.
    pub fn new(prefix: impl Into<Bytes>, from: i64) -> Watch {
        Watch {
            prefix: prefix.into(),
            next: from,
            id: None,
            parts: vec![],
        }
    }

    pub fn next(&self) -> i64 {
        self.next
    }

    /// What begins it, or goes on with it over another connection.
    pub fn request(&mut self) -> WatchRequest {
        (self.id, self.parts) = (None, vec![]);
        let create = WatchCreateRequest {
            key: self.prefix.clone(),
            range_end: range_end(&self.prefix).into(),
            start_revision: self.next,
            progress_notify: true,
            fragment: true,
            ..WatchCreateRequest::default()
        };
        WatchRequest {
            request_union: Some(RequestUnion::CreateRequest(create)),
        }
    }

    pub fn received(&mut self, response: WatchResponse) -> Vec<Told> {
        let header = response.header.unwrap_or_default();
        if response.created {
            self.id = Some(response.watch_id);
        }
        let is_answer = response.watch_id == ALL_WATCHES;
        if !is_answer && self.id.is_some_and(|id| id != response.watch_id) {
            return vec![];
        }
        if response.compact_revision > 0 {
            return vec![Told::Compacted {
                revision: response.compact_revision,
            }];
        }
        if response.canceled {
            return vec![Told::Cancelled {
                reason: response.cancel_reason,
            }];
        }
        if response.created {
            return vec![Told::Created];
        }
        let next = self.next;
        let modified = |e: &Event| e.kv.as_ref().map_or(0, |kv| kv.mod_revision);
        self.parts
            .extend(response.events.into_iter().filter(|e| modified(e) >= next));
        if response.fragment {
            return vec![];
        }
        let mut events = std::mem::take(&mut self.parts);
        // A part may have come twice.
        events.sort_by_key(modified);
        let key = |e: &Event| e.kv.as_ref().map(|kv| (kv.mod_revision, kv.key.clone()));
        events.dedup_by(|a, b| key(a) == key(b));
        let last = events.iter().map(modified).max().unwrap_or(0);
        if events.is_empty() {
            self.next = self.next.max(header.revision + 1);
            return vec![Told::Progress { header, is_answer }];
        }
        // The header may be ahead of the events: more of them may come.
        self.next = self.next.max(last + 1);
        let header = ResponseHeader {
            revision: last,
            ..header
        };
        vec![Told::Events { header, events }]
    }
}
