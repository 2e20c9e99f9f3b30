//! The state of a watch, without I/O: its next revision, the assembly of fragments, and the removal of duplicates.

use crate::range_end;
use crate::rpc::watch_request::RequestUnion;
use crate::rpc::{Event, ResponseHeader, WatchCreateRequest, WatchRequest, WatchResponse};
use bytes::Bytes;

/// The watch id in responses to progress requests, which apply to all watches of the stream.
const ALL_WATCHES: i64 = -1;

/// An event of a watch, decoded from its responses.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The store created the watch.
    Created,
    /// All new events up to and including the header's revision.
    Events {
        /// The header, with the revision of the last event.
        header: ResponseHeader,
        /// The events, in the order of revisions.
        events: Vec<Event>,
    },
    /// There are no further events up to the header's revision.
    Progress {
        /// The header.
        header: ResponseHeader,
        /// Whether this responds to a progress request; otherwise the store sent it by itself.
        requested: bool,
    },
    /// The next revision of the watch is compacted: a list is needed, at this revision or later.
    Compacted {
        /// The oldest revision that isn't compacted.
        revision: i64,
    },
    /// The store cancelled the watch.
    Cancelled {
        /// The store's reason.
        reason: String,
    },
}

/// A watch of all keys with a prefix.
#[derive(Clone, Debug)]
pub struct Watch {
    prefix: Bytes,
    /// The next revision to receive.
    next_revision: i64,
    id: Option<i64>,
    /// Events of the fragments received so far.
    fragments: Vec<Event>,
}

impl Watch {
    /// A watch of all keys with `prefix`, from a revision on.
    pub fn new(prefix: impl Into<Bytes>, from_revision: i64) -> Watch {
        Watch {
            prefix: prefix.into(),
            next_revision: from_revision,
            id: None,
            fragments: vec![],
        }
    }

    /// The next revision to receive.
    pub fn next_revision(&self) -> i64 {
        self.next_revision
    }

    /// The request that starts the watch, or resumes it over another connection.
    pub fn request(&mut self) -> WatchRequest {
        (self.id, self.fragments) = (None, vec![]);
        let create = WatchCreateRequest {
            key: self.prefix.clone(),
            range_end: range_end(&self.prefix).into(),
            start_revision: self.next_revision,
            progress_notify: true,
            fragment: true,
            ..WatchCreateRequest::default()
        };
        WatchRequest {
            request_union: Some(RequestUnion::CreateRequest(create)),
        }
    }

    /// Processes a response and returns the events that it completes. A fragment other than the last returns none.
    pub fn on_response(&mut self, response: WatchResponse) -> Vec<WatchEvent> {
        let header = response.header.unwrap_or_default();
        if response.created {
            self.id = Some(response.watch_id);
        }
        let requested = response.watch_id == ALL_WATCHES;
        if !requested && self.id.is_some_and(|id| id != response.watch_id) {
            return vec![];
        }
        if response.compact_revision > 0 {
            return vec![WatchEvent::Compacted {
                revision: response.compact_revision,
            }];
        }
        if response.canceled {
            return vec![WatchEvent::Cancelled {
                reason: response.cancel_reason,
            }];
        }
        if response.created {
            return vec![WatchEvent::Created];
        }
        let next_revision = self.next_revision;
        let modified = |e: &Event| e.kv.as_ref().map_or(0, |kv| kv.mod_revision);
        self.fragments.extend(
            response
                .events
                .into_iter()
                .filter(|e| modified(e) >= next_revision),
        );
        if response.fragment {
            return vec![];
        }
        let mut events = std::mem::take(&mut self.fragments);
        // A fragment may have been received twice.
        events.sort_by_key(modified);
        let key = |e: &Event| e.kv.as_ref().map(|kv| (kv.mod_revision, kv.key.clone()));
        events.dedup_by(|a, b| key(a) == key(b));
        let last = events.iter().map(modified).max().unwrap_or(0);
        if events.is_empty() {
            self.next_revision = self.next_revision.max(header.revision + 1);
            return vec![WatchEvent::Progress { header, requested }];
        }
        // The header may be ahead of the events, as more of them may follow.
        self.next_revision = self.next_revision.max(last + 1);
        let header = ResponseHeader {
            revision: last,
            ..header
        };
        vec![WatchEvent::Events { header, events }]
    }
}
