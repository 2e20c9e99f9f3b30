//! Lists and watches one prefix of the store.

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

/// The timeout of a request.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval of progress requests, in seconds.
const PROGRESS_INTERVAL: f64 = 0.7;
/// The timeout of a progress request, in seconds.
const PROGRESS_TIMEOUT: f64 = 2.8;
/// Entries in one page of a list.
const PAGE_SIZE: i64 = 2_000;
/// The first and the longest retry delay, in seconds. Each delay is multiplied by a random factor between 0 and 2.
/// Failure mode: front ends lose the store at the same time. Risk: they would reconnect at the same time.
pub(super) const INITIAL_RETRY_DELAY: f64 = 0.1;
const MAX_RETRY_DELAY: f64 = 5.0;

/// Follows a prefix of the store. Times are in seconds of the follower's clock.
pub(super) trait Follower {
    /// The time.
    fn now(&self) -> f64;

    /// The request that the follower needs next.
    fn next_request(&self) -> NextRequest;

    /// A list has arrived whose request was sent at `requested_at`.
    fn on_list(&self, requested_at: f64, header: &ResponseHeader, list: &[KeyValue]);

    /// Events of the watch have arrived.
    fn on_events(&self, header: &ResponseHeader, events: &[Event]);

    /// The watch is complete up to the revision of `header`: the store had no other events when the progress request
    /// was sent at `requested_at`. Without a request, the time at which this was so is unknown.
    fn on_progress(&self, requested_at: Option<f64>, header: &ResponseHeader);

    /// An attempt that began at `requested_at` has failed.
    fn on_failure(&self, requested_at: f64);

    /// The revision from which the watch would continue is compacted.
    fn on_compaction(&self);

    /// Called after each response, after each timeout, and between attempts.
    fn on_tick(&self);
}

/// All entries under a prefix, at one revision.
pub(super) struct List {
    pub header: ResponseHeader,
    pub entries: Vec<KeyValue>,
}

/// Reads all entries under a prefix.
pub(super) async fn list(client: &Client, prefix: &str) -> Result<List, ClientError> {
    let mut request = RangeRequest {
        key: prefix.as_bytes().to_vec().into(),
        range_end: range_end(prefix.as_bytes()).into(),
        limit: PAGE_SIZE,
        ..RangeRequest::default()
    };
    let mut entries = vec![];
    let mut first_header = None;
    loop {
        let page: RangeResponse = client.unary(RANGE, &request, REQUEST_TIMEOUT).await?;
        let header = *first_header.get_or_insert(page.header.unwrap_or_default());
        let last = page.kvs.last().map(|entry| entry.key.clone());
        entries.extend(page.kvs);
        let Some(last) = last.filter(|_| page.more) else {
            return Ok(List { header, entries });
        };
        // The next page begins after that key, and is read at the first page's revision.
        request.key = [&last[..], &[0]].concat().into();
        request.revision = header.revision;
    }
}

/// Follows a prefix. Never returns.
pub(super) async fn follow(client: Rc<Client>, prefix: String, follower: impl Follower) {
    let mut delay = INITIAL_RETRY_DELAY;
    loop {
        let requested_at = follower.now();
        match follow_once(&client, &prefix, &follower).await {
            Ok(()) => delay = INITIAL_RETRY_DELAY,
            Err(fault) => {
                warn!(endpoint = ?client.endpoint(), prefix, %fault, "store watch failed, retrying");
                follower.on_failure(requested_at);
                client.fail_over();
                let jittered_delay = delay * 2.0 * rand::random::<f64>();
                async_io::Timer::after(Duration::from_secs_f64(jittered_delay)).await;
                delay = (2.0 * delay).min(MAX_RETRY_DELAY);
            }
        }
        follower.on_tick();
    }
}

/// Lists if the follower needs a list, and watches until it needs another list or the watch ends.
async fn follow_once(
    client: &Client,
    prefix: &str,
    follower: &impl Follower,
) -> Result<(), ClientError> {
    if follower.next_request() == NextRequest::List {
        let requested_at = follower.now();
        let list = list(client, prefix).await?;
        follower.on_list(requested_at, &list.header, &list.entries);
    }
    let NextRequest::Watch(from) = follower.next_request() else {
        return Ok(());
    };
    let mut watch = Watch::new(prefix.as_bytes().to_vec(), from);
    let mut stream = client
        .open_stream::<WatchResponse>(WATCH, &watch.request(), REQUEST_TIMEOUT)
        .await?;
    let mut requests = ProgressRequests::new(follower.now());
    loop {
        let time_left = Duration::from_secs_f64(requests.due_in(follower.now()));
        let response = orchidtally_socket_io::with_timeout(time_left, stream.next()).await;
        if let Some(response) = response {
            for event in watch.on_response(response?) {
                if apply_event(event, prefix, &mut requests, follower) == WatchState::Ended {
                    return Ok(());
                }
            }
        }
        match requests.due(follower.now()) {
            Some(DueAction::Request) => stream.send(&progress_request())?,
            Some(DueAction::Failure) => return Err(ClientError::TimedOut),
            None => {}
        }
        follower.on_tick();
        if follower.next_request() == NextRequest::List {
            return Ok(());
        }
    }
}

/// The progress requests of a watch. Only one is outstanding at a time, as a response doesn't identify its request.
struct ProgressRequests {
    requested_at: f64,
    is_answered: bool,
}

/// A due step of the progress requests.
enum DueAction {
    /// The next request is to be sent.
    Request,
    /// The last request timed out.
    Failure,
}

impl ProgressRequests {
    /// Creates the state for a watch that begins now; the first request is due at once.
    fn new(now: f64) -> ProgressRequests {
        ProgressRequests {
            requested_at: now - PROGRESS_INTERVAL,
            is_answered: true,
        }
    }

    /// Seconds until the next step is due.
    fn due_in(&self, now: f64) -> f64 {
        let time = if self.is_answered {
            PROGRESS_INTERVAL
        } else {
            PROGRESS_TIMEOUT
        };
        (self.requested_at + time - now).clamp(0.0, PROGRESS_TIMEOUT)
    }

    /// The step that is due now; a due request counts as sent.
    fn due(&mut self, now: f64) -> Option<DueAction> {
        if self.due_in(now) > 0.0 {
            return None;
        }
        if !self.is_answered {
            return Some(DueAction::Failure);
        }
        (self.requested_at, self.is_answered) = (now, false);
        Some(DueAction::Request)
    }

    /// Records a response and returns when its request was sent; `None` if no request was outstanding.
    fn on_response(&mut self) -> Option<f64> {
        (!std::mem::replace(&mut self.is_answered, true)).then_some(self.requested_at)
    }
}

fn progress_request() -> WatchRequest {
    WatchRequest {
        request_union: Some(RequestUnion::ProgressRequest(WatchProgressRequest {})),
    }
}

/// Whether a watch continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    Continues,
    Ended,
}

/// Passes an event of a watch to the follower.
fn apply_event(
    event: WatchEvent,
    prefix: &str,
    requests: &mut ProgressRequests,
    follower: &impl Follower,
) -> WatchState {
    match event {
        WatchEvent::Created => {}
        WatchEvent::Events { header, events } => follower.on_events(&header, &events),
        WatchEvent::Progress { header, requested } => {
            let requested_at = if requested {
                requests.on_response()
            } else {
                None
            };
            follower.on_progress(requested_at, &header);
        }
        WatchEvent::Compacted { revision } => {
            info!(prefix, revision, "watch compacted, listing again");
            follower.on_compaction();
            return WatchState::Ended;
        }
        WatchEvent::Cancelled { reason } => {
            warn!(prefix, reason, "watch cancelled by the store");
            return WatchState::Ended;
        }
    }
    WatchState::Continues
}
