//! Lists and watches of one prefix of the store, with the intervals of `crates/frontend/src/etcd.rs`: a comparison
//! with real front ends in the report shows if the two part.

use orchidtally_etcd::rpc::watch_request::RequestUnion;
use orchidtally_etcd::rpc::*;
use orchidtally_etcd::{Client, Fault, RANGE, Told, WATCH, Watch, range_end};
use orchidtally_membership::{Change, Next, Stamp};
use std::time::Duration;

/// An exchange that has no answer by then has failed.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The store is asked for its progress so often, and is silent after so many times without a word.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(700);
const MAX_SILENT_INTERVALS: u32 = 3;
/// Entries in one page of a list.
const PAGE_SIZE: i64 = 2_000;
/// Between tries, from the first to the longest, in seconds.
pub const RETRY_DELAY: (f64, f64) = (0.1, 5.0);

pub fn stamp(header: &ResponseHeader) -> Stamp {
    Stamp { cluster: header.cluster_id, revision: header.revision }
}

pub fn change(entry: &KeyValue, is_deleted: bool) -> Change<'_> {
    Change {
        key: &entry.key,
        value: (!is_deleted).then_some(&entry.value[..]),
        created: entry.create_revision,
        modified: entry.mod_revision,
    }
}

pub fn changes(events: &[Event]) -> Vec<Change<'_>> {
    let change_of = |event| {
        let event: &Event = event;
        Some(change(event.kv.as_ref()?, event.r#type() == event::EventType::Delete))
    };
    events.iter().filter_map(change_of).collect()
}

/// All entries under a prefix, at one revision.
pub async fn list(client: &Client, prefix: &str) -> Result<(ResponseHeader, Vec<KeyValue>), Fault> {
    let mut question = RangeRequest {
        key: prefix.as_bytes().to_vec().into(),
        range_end: range_end(prefix.as_bytes()).into(),
        limit: PAGE_SIZE,
        ..RangeRequest::default()
    };
    let (mut all, mut first) = (vec![], None);
    loop {
        let answer: RangeResponse = client.unary(RANGE, &question, REQUEST_TIMEOUT).await?;
        let header = *first.get_or_insert(answer.header.unwrap_or_default());
        let last = answer.kvs.last().map(|entry| entry.key.clone());
        all.extend(answer.kvs);
        match last.filter(|_| answer.more) {
            None => return Ok((header, all)),
            Some(last) => {
                question.key = [&last[..], &[0]].concat().into();
                question.revision = header.revision;
            }
        }
    }
}

/// What follows a prefix of the store. Times are seconds of the follower's clock.
pub trait Follower {
    fn now(&self) -> f64;
    fn next(&self) -> Next;
    /// A list whose question was sent at `began`.
    fn listed(&self, began: f64, header: &ResponseHeader, list: &[KeyValue]);
    fn changed(&self, header: &ResponseHeader, events: &[Event]);
    /// Nothing else had happened when the store was asked at `began`.
    fn progressed(&self, began: f64, header: &ResponseHeader);
    fn compacted(&self);
    fn turn(&self);
}

async fn follow_once(client: &Client, prefix: &str, follower: &impl Follower) -> Result<(), Fault> {
    if follower.next() == Next::List {
        let began = follower.now();
        let (header, entries) = list(client, prefix).await?;
        follower.listed(began, &header, &entries);
    }
    let Next::Watch(from) = follower.next() else { return Ok(()) };
    let mut watch = Watch::new(prefix.as_bytes().to_vec(), from);
    let mut stream = client.both::<WatchResponse>(WATCH, &watch.request(), REQUEST_TIMEOUT).await?;
    let progress =
        WatchRequest { request_union: Some(RequestUnion::ProgressRequest(WatchProgressRequest {})) };
    let (mut silent_intervals, mut asked_at) = (0, follower.now());
    loop {
        let Some(response) = orchidtally_net::within(PROGRESS_INTERVAL, stream.next()).await else {
            silent_intervals += 1;
            if silent_intervals > MAX_SILENT_INTERVALS {
                return Err(Fault::TimedOut);
            }
            asked_at = follower.now();
            stream.send(&progress)?;
            follower.turn();
            continue;
        };
        silent_intervals = 0;
        for told in watch.received(response?) {
            match told {
                Told::Created => {}
                Told::Events { header, events } => follower.changed(&header, &events),
                Told::Progress { header } => follower.progressed(asked_at, &header),
                Told::Compacted { .. } => {
                    follower.compacted();
                    return Ok(());
                }
                Told::Cancelled { .. } => return Ok(()),
            }
        }
        if follower.now() - asked_at > PROGRESS_INTERVAL.as_secs_f64() {
            asked_at = follower.now();
            stream.send(&progress)?;
        }
        follower.turn();
        if follower.next() == Next::List {
            return Ok(());
        }
    }
}

/// Follows a prefix for as long as it is polled.
pub async fn follow(client: &Client, prefix: &str, follower: &impl Follower) {
    let mut delay = RETRY_DELAY.0;
    loop {
        match follow_once(client, prefix, follower).await {
            Ok(()) => delay = RETRY_DELAY.0,
            Err(_) => {
                client.fail_over();
                let drawn = delay * 2.0 * rand::random::<f64>();
                async_io::Timer::after(Duration::from_secs_f64(drawn)).await;
                delay = (2.0 * delay).min(RETRY_DELAY.1);
            }
        }
        follower.turn();
    }
}
