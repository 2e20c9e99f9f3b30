//! Lists and watches of one prefix of the store, for as long as they are wanted.

use orchidtally_etcd::rpc::watch_request::RequestUnion;
use orchidtally_etcd::rpc::{
    Event, KeyValue, RangeRequest, RangeResponse, ResponseHeader, WatchProgressRequest, WatchRequest,
    WatchResponse,
};
use orchidtally_etcd::{Client, Fault, RANGE, Told, WATCH, Watch, range_end};
use orchidtally_membership::Next;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// An exchange that has no answer by then has failed.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The store is asked for its progress so often.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(700);
/// After so many intervals without a word it has failed.
const MAX_SILENT_INTERVALS: u32 = 3;
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
    fn next(&self) -> Next;

    /// A list whose question was sent at `began`.
    fn listed(&self, began: f64, header: &ResponseHeader, list: &[KeyValue]);

    fn changed(&self, header: &ResponseHeader, events: &[Event]);

    /// Nothing else had happened when the store was asked at `began`.
    fn progressed(&self, began: f64, header: &ResponseHeader);

    /// What a watch would go on from is gone.
    fn compacted(&self);

    /// Time has passed.
    fn turn(&self);
}

/// All entries under a prefix, at one revision.
pub(super) struct List {
    pub header: ResponseHeader,
    pub entries: Vec<KeyValue>,
}

/// Reads all entries under a prefix.
pub(super) async fn list(client: &Client, prefix: &str) -> Result<List, Fault> {
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
        let Some(last) = last.filter(|_| page.more) else { return Ok(List { header, entries }) };
        // The next page begins behind that key, and has what stood at the first page's revision.
        question.key = [&last[..], &[0]].concat().into();
        question.revision = header.revision;
    }
}

/// Follows a prefix for as long as it is polled.
pub(super) async fn follow(client: Rc<Client>, prefix: String, follower: impl Follower) {
    let mut delay = FIRST_RETRY_DELAY;
    loop {
        match follow_once(&client, &prefix, &follower).await {
            Ok(()) => delay = FIRST_RETRY_DELAY,
            Err(fault) => {
                warn!(endpoint = ?client.endpoint(), prefix, %fault, "the store can't be followed");
                client.fail_over();
                let drawn = delay * 2.0 * rand::random::<f64>();
                async_io::Timer::after(Duration::from_secs_f64(drawn)).await;
                delay = (2.0 * delay).min(LONGEST_RETRY_DELAY);
            }
        }
        follower.turn();
    }
}

/// Lists, where the follower needs that, and watches until it needs another list or the watch ends.
async fn follow_once(client: &Client, prefix: &str, follower: &impl Follower) -> Result<(), Fault> {
    if follower.next() == Next::List {
        let began = follower.now();
        let list = list(client, prefix).await?;
        follower.listed(began, &list.header, &list.entries);
    }
    let Next::Watch(from) = follower.next() else { return Ok(()) };
    let mut watch = Watch::new(prefix.as_bytes().to_vec(), from);
    let mut stream = client.both::<WatchResponse>(WATCH, &watch.request(), REQUEST_TIMEOUT).await?;
    let mut silent_intervals = 0;
    let mut asked_at = follower.now();
    loop {
        let Some(response) = orchidtally_net::within(PROGRESS_INTERVAL, stream.next()).await else {
            silent_intervals += 1;
            if silent_intervals > MAX_SILENT_INTERVALS {
                return Err(Fault::TimedOut);
            }
            asked_at = follower.now();
            stream.send(&progress_request())?;
            follower.turn();
            continue;
        };
        silent_intervals = 0;
        for told in watch.received(response?) {
            if take(told, prefix, asked_at, follower) == Watched::Ended {
                return Ok(());
            }
        }
        if follower.now() - asked_at > PROGRESS_INTERVAL.as_secs_f64() {
            asked_at = follower.now();
            stream.send(&progress_request())?;
        }
        follower.turn();
        if follower.next() == Next::List {
            return Ok(());
        }
    }
}

fn progress_request() -> WatchRequest {
    WatchRequest { request_union: Some(RequestUnion::ProgressRequest(WatchProgressRequest {})) }
}

/// Whether a watch goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Watched {
    GoesOn,
    Ended,
}

/// Hands one thing that a watch told to the follower. Progress was last asked for at `asked_at`.
fn take(told: Told, prefix: &str, asked_at: f64, follower: &impl Follower) -> Watched {
    match told {
        Told::Created => {}
        Told::Events { header, events } => follower.changed(&header, &events),
        Told::Progress { header } => follower.progressed(asked_at, &header),
        Told::Compacted { revision } => {
            info!(prefix, revision, "the watch fell behind a compaction: listing anew");
            follower.compacted();
            return Watched::Ended;
        }
        Told::Cancelled { reason } => {
            warn!(prefix, reason, "the store cancelled a watch");
            return Watched::Ended;
        }
    }
    Watched::GoesOn
}
