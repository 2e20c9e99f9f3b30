//! Lists and watches of one prefix of the store, for as long as they are wanted.

use orchidtally_etcd::rpc::watch_request::RequestUnion;
use orchidtally_etcd::rpc::{
    Event, KeyValue, RangeRequest, RangeResponse, ResponseHeader, WatchProgressRequest,
    WatchRequest, WatchResponse,
};
use orchidtally_etcd::{Client, ClientError, RANGE, WATCH, Watch, WatchEvent, range_end};
use orchidtally_membership::NextRequest;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// An exchange that has no answer by then has failed.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The store is asked for its progress so often, in seconds.
const PROGRESS_INTERVAL: f64 = 0.7;
/// A question for progress that has no answer by then, in seconds: the store has failed.
const PROGRESS_TIMEOUT: f64 = 2.8;
/// Entries in one page of a list.
const PAGE_SIZE: i64 = 2_000;
/// Between tries, in seconds: the first delay and the longest. Each is drawn from nothing to twice its length, so that
/// front ends that lose the store together don't come back together.
pub(super) const FIRST_RETRY_DELAY: f64 = 0.1;
const LONGEST_RETRY_DELAY: f64 = 5.0;

/// What follows a prefix of the store. Times are seconds of the follower's clock.
pub(super) trait Follower {
    fn now(&self) -> f64;

    /// What it needs next.
    fn next_request(&self) -> NextRequest;

    /// A list whose question was sent at `began`.
    fn on_list(&self, began: f64, header: &ResponseHeader, list: &[KeyValue]);

    fn on_events(&self, header: &ResponseHeader, events: &[Event]);

    /// Nothing else had happened when the store was asked at `began`; without that it was not asked, and how old its
    /// word is nobody knows.
    fn on_progress(&self, began: Option<f64>, header: &ResponseHeader);

    /// The store can't be followed: a try that began at `began` has failed.
    fn on_failure(&self, began: f64);

    /// What a watch would go on from is gone.
    fn on_compaction(&self);

    /// Time has passed.
    fn on_tick(&self);
}

/// All entries under a prefix, at one revision.
pub(super) struct List {
    pub header: ResponseHeader,
    pub entries: Vec<KeyValue>,
}

/// Reads all entries under a prefix.
pub(super) async fn list(client: &Client, prefix: &str) -> Result<List, ClientError> {
    let mut question = RangeRequest {
        key: prefix.as_bytes().to_vec().into(),
        range_end: range_end(prefix.as_bytes()).into(),
        limit: PAGE_SIZE,
        ..RangeRequest::default()
    };
    let mut entries = vec![];
    let mut first_header = None;
    loop {
        let page: RangeResponse = client.unary(RANGE, &question, REQUEST_TIMEOUT).await?;
        let header = *first_header.get_or_insert(page.header.unwrap_or_default());
        let last = page.kvs.last().map(|entry| entry.key.clone());
        entries.extend(page.kvs);
        let Some(last) = last.filter(|_| page.more) else {
            return Ok(List { header, entries });
        };
        // The next page begins behind that key, and has what stood at the first page's revision.
        question.key = [&last[..], &[0]].concat().into();
        question.revision = header.revision;
    }
}

/// Follows a prefix for as long as it is polled.
pub(super) async fn follow(client: Rc<Client>, prefix: String, follower: impl Follower) {
    let mut delay = FIRST_RETRY_DELAY;
    loop {
        let began = follower.now();
        match follow_once(&client, &prefix, &follower).await {
            Ok(()) => delay = FIRST_RETRY_DELAY,
            Err(fault) => {
                warn!(endpoint = ?client.endpoint(), prefix, %fault, "store watch failed, retrying");
                follower.on_failure(began);
                client.fail_over();
                let drawn = delay * 2.0 * rand::random::<f64>();
                async_io::Timer::after(Duration::from_secs_f64(drawn)).await;
                delay = (2.0 * delay).min(LONGEST_RETRY_DELAY);
            }
        }
        follower.on_tick();
    }
}

/// Lists, where the follower needs that, and watches until it needs another list or the watch ends.
async fn follow_once(
    client: &Client,
    prefix: &str,
    follower: &impl Follower,
) -> Result<(), ClientError> {
    if follower.next_request() == NextRequest::List {
        let began = follower.now();
        let list = list(client, prefix).await?;
        follower.on_list(began, &list.header, &list.entries);
    }
    let NextRequest::Watch(from) = follower.next_request() else {
        return Ok(());
    };
    let mut watch = Watch::new(prefix.as_bytes().to_vec(), from);
    let mut stream = client
        .open_stream::<WatchResponse>(WATCH, &watch.request(), REQUEST_TIMEOUT)
        .await?;
    let mut questions = ProgressQuestions::new(follower.now());
    loop {
        let time_left = Duration::from_secs_f64(questions.due_in(follower.now()));
        let response = orchidtally_socket_io::with_timeout(time_left, stream.next()).await;
        if let Some(response) = response {
            for event in watch.on_response(response?) {
                if apply_event(event, prefix, &mut questions, follower) == Watched::Ended {
                    return Ok(());
                }
            }
        }
        match questions.due(follower.now()) {
            Some(Due::Question) => stream.send(&progress_request())?,
            Some(Due::Failure) => return Err(ClientError::TimedOut),
            None => {}
        }
        follower.on_tick();
        if follower.next_request() == NextRequest::List {
            return Ok(());
        }
    }
}

/// Questions for a watch's progress, one at a time: an answer doesn't name its question.
struct ProgressQuestions {
    asked_at: f64,
    is_answered: bool,
}

/// What is due with a question for progress.
enum Due {
    /// The next one is to be sent.
    Question,
    /// The last one had no answer in time.
    Failure,
}

impl ProgressQuestions {
    /// Of a watch that begins now; the first question is due at once.
    fn new(now: f64) -> ProgressQuestions {
        ProgressQuestions {
            asked_at: now - PROGRESS_INTERVAL,
            is_answered: true,
        }
    }

    /// Until something is due, in seconds.
    fn due_in(&self, now: f64) -> f64 {
        let time = if self.is_answered {
            PROGRESS_INTERVAL
        } else {
            PROGRESS_TIMEOUT
        };
        (self.asked_at + time - now).clamp(0.0, PROGRESS_TIMEOUT)
    }

    /// What is due now; a question that is counts as sent.
    fn due(&mut self, now: f64) -> Option<Due> {
        if self.due_in(now) > 0.0 {
            return None;
        }
        if !self.is_answered {
            return Some(Due::Failure);
        }
        (self.asked_at, self.is_answered) = (now, false);
        Some(Due::Question)
    }

    /// When the question was sent that is answered now; none if nothing was asked.
    fn answered(&mut self) -> Option<f64> {
        (!std::mem::replace(&mut self.is_answered, true)).then_some(self.asked_at)
    }
}

fn progress_request() -> WatchRequest {
    WatchRequest {
        request_union: Some(RequestUnion::ProgressRequest(WatchProgressRequest {})),
    }
}

/// Whether a watch goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Watched {
    GoesOn,
    Ended,
}

/// Passes an event of a watch to the follower.
fn apply_event(
    event: WatchEvent,
    prefix: &str,
    questions: &mut ProgressQuestions,
    follower: &impl Follower,
) -> Watched {
    match event {
        WatchEvent::Created => {}
        WatchEvent::Events { header, events } => follower.on_events(&header, &events),
        WatchEvent::Progress { header, is_answer } => {
            let asked_at = if is_answer {
                questions.answered()
            } else {
                None
            };
            follower.on_progress(asked_at, &header);
        }
        WatchEvent::Compacted { revision } => {
            info!(prefix, revision, "watch compacted, listing again");
            follower.on_compaction();
            return Watched::Ended;
        }
        WatchEvent::Cancelled { reason } => {
            warn!(prefix, reason, "watch cancelled by the store");
            return Watched::Ended;
        }
    }
    Watched::GoesOn
}
