//! The roster and the front ends' own membership from etcd: lists and watches go to the cache and to the members,
//! which decide; what they say goes to the module.

use crate::hub::Hub;
use crate::roster::row;
use bytes::Bytes;
use orchidtally::interface::*;
use orchidtally_deployment::{Deployment, Etcd};
use orchidtally_etcd::rpc::compare::{CompareResult, CompareTarget, TargetUnion};
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::watch_request::RequestUnion;
use orchidtally_etcd::rpc::*;
use orchidtally_etcd::{
    Client, Fault, LEASE_GRANT, LEASE_KEEP_ALIVE, RANGE, TXN, Told, WATCH, Watch, range_end,
};
use orchidtally_membership::{Change, Members, Next, Stamp};
use orchidtally_wire::v1;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, info, warn};

/// An exchange that has no answer by then has failed.
const PATIENCE: Duration = Duration::from_secs(2);
/// The store is asked for its progress so often, and is silent after so many times without a word.
const ASKED: Duration = Duration::from_millis(700);
const SILENT: u32 = 3;
/// Entries in one part of a list.
const PAGE: i64 = 2_000;
/// Between tries, from the first to the longest, in seconds; each varies by its whole length, so that front ends that
/// lose the store together don't come back together.
const PAUSE: (f64, f64) = (0.1, 5.0);

/// Where executors and front ends stand in the store.
pub const EXECUTORS: &str = "executors/";
pub const FRONT_ENDS: &str = "front-ends/";

/// An entry's value: what an executor says of itself.
fn read_row(deployment: &Deployment, key: &[u8], value: &[u8], now: f64) -> Result<RosterRow, String> {
    let v: serde_json::Value = serde_json::from_slice(value).map_err(|e| format!("no JSON: {e}"))?;
    let name =
        std::str::from_utf8(key).ok().and_then(|k| k.rsplit('/').next()).ok_or("no address in its key")?;
    let text = |k: &str| v.get(k).and_then(|x| x.as_str()).unwrap_or_default().to_owned();
    let number = |k: &str, absent: f64| v.get(k).map_or(Some(absent), serde_json::Value::as_f64);
    let standing = match text("standing").as_str() {
        "ready" => v1::Standing::Ready,
        "draining" => v1::Standing::Draining,
        other => return Err(format!("the standing '{other}' is neither 'ready' nor 'draining'")),
    };
    let told = v1::RosterRow {
        address: name.into(),
        location: text("location"),
        kind: text("kind"),
        cell: number("cell", 0.0).ok_or("'cell' is no number")? as u32,
        standing: standing.into(),
        weight: number("weight", 1.0).ok_or("'weight' is no number")?,
        since: number("since", 0.0).ok_or("'since' is no number")?,
    };
    row(deployment, &told, now)
}

fn stamp(header: &ResponseHeader) -> Stamp {
    Stamp { cluster: header.cluster_id, revision: header.revision }
}

fn change(kv: &KeyValue, deleted: bool) -> Change<'_> {
    Change {
        key: &kv.key,
        value: (!deleted).then_some(&kv.value[..]),
        created: kv.create_revision,
        modified: kv.mod_revision,
    }
}

fn changes(events: &[Event]) -> Vec<Change<'_>> {
    let of = |e| {
        let e: &Event = e;
        Some(change(e.kv.as_ref()?, e.r#type() == event::EventType::Delete))
    };
    events.iter().filter_map(of).collect()
}

/// All entries under a prefix, at one revision.
async fn list(client: &Client, prefix: &str) -> Result<(ResponseHeader, Vec<KeyValue>), Fault> {
    let mut question = RangeRequest {
        key: prefix.as_bytes().to_vec().into(),
        range_end: range_end(prefix.as_bytes()).into(),
        limit: PAGE,
        ..RangeRequest::default()
    };
    let (mut all, mut first) = (vec![], None);
    loop {
        let answer: RangeResponse = client.unary(RANGE, &question, PATIENCE).await?;
        let header = *first.get_or_insert(answer.header.unwrap_or_default());
        let last = answer.kvs.last().map(|kv| kv.key.clone());
        all.extend(answer.kvs);
        match last.filter(|_| answer.more) {
            None => return Ok((header, all)),
            Some(last) => {
                // The key behind it; and what stood at the first part's revision.
                question.key = [&last[..], &[0]].concat().into();
                question.revision = header.revision;
            }
        }
    }
}

/// What follows a prefix of the store.
trait Follower {
    fn next(&self) -> Next;
    /// A list whose question was sent at `began`.
    fn listed(&self, began: f64, header: &ResponseHeader, list: &[KeyValue]);
    fn changed(&self, header: &ResponseHeader, events: &[Event]);
    /// Nothing else had happened when the store was asked at `began`.
    fn progressed(&self, began: f64, header: &ResponseHeader);
    fn compacted(&self);
    fn turn(&self) {}
}

async fn follow_once(
    hub: &Hub,
    client: &Client,
    prefix: &str,
    follower: &impl Follower,
) -> Result<(), Fault> {
    if follower.next() == Next::List {
        let began = hub.now();
        let (header, entries) = list(client, prefix).await?;
        follower.listed(began, &header, &entries);
    }
    let Next::Watch(from) = follower.next() else { return Ok(()) };
    let mut watch = Watch::new(prefix.as_bytes().to_vec(), from);
    let mut both = client.both::<WatchResponse>(WATCH, &watch.request(), PATIENCE).await?;
    let progress =
        WatchRequest { request_union: Some(RequestUnion::ProgressRequest(WatchProgressRequest {})) };
    let (mut quiet, mut asked_at) = (0, hub.now());
    loop {
        let Some(response) = orchidtally_net::within(ASKED, both.next()).await else {
            quiet += 1;
            if quiet > SILENT {
                return Err(Fault::TimedOut);
            }
            asked_at = hub.now();
            both.send(&progress)?;
            follower.turn();
            continue;
        };
        quiet = 0;
        for told in watch.received(response?) {
            match told {
                Told::Created => {}
                Told::Events { header, events } => follower.changed(&header, &events),
                Told::Progress { header } => follower.progressed(asked_at, &header),
                Told::Compacted { revision } => {
                    info!(prefix, revision, "the watch fell behind a compaction: listing anew");
                    follower.compacted();
                    return Ok(());
                }
                Told::Cancelled { reason } => {
                    warn!(prefix, reason, "the store cancelled a watch");
                    return Ok(());
                }
            }
        }
        if hub.now() - asked_at > ASKED.as_secs_f64() {
            asked_at = hub.now();
            both.send(&progress)?;
        }
        follower.turn();
        if follower.next() == Next::List {
            return Ok(());
        }
    }
}

async fn follow(hub: Rc<Hub>, client: Client, prefix: String, follower: impl Follower) {
    let mut pause = PAUSE.0;
    loop {
        match follow_once(&hub, &client, &prefix, &follower).await {
            Ok(()) => pause = PAUSE.0,
            Err(fault) => {
                warn!(endpoint = ?client.endpoint(), prefix, %fault, "the store can't be followed");
                client.fail_over();
                let time = pause * 2.0 * rand::random::<f64>();
                async_io::Timer::after(Duration::from_secs_f64(time)).await;
                pause = (2.0 * pause).min(PAUSE.1);
            }
        }
        follower.turn();
    }
}

struct Roster(Rc<Hub>);

impl Roster {
    fn tell(&self, told: orchidtally_membership::cache::Told) {
        if let Some((kind, rows)) = told {
            if kind == RosterKind::Full {
                info!(executors = rows.len(), "the roster is here");
            }
            self.0.play(|engine, now, performer| engine.roster(now, kind, &rows, performer));
        }
    }
}

impl Follower for Roster {
    fn next(&self) -> Next {
        self.0.cache.borrow().next()
    }

    fn listed(&self, _: f64, header: &ResponseHeader, list: &[KeyValue]) {
        let (hub, now) = (&self.0, self.0.now());
        let list: Vec<Change> = list.iter().map(|kv| change(kv, false)).collect();
        let read = |key: &[u8], value: &[u8]| read_row(&hub.deployment, key, value, now);
        let told = hub.cache.borrow_mut().listed(now, stamp(header), &list, &read);
        self.tell(told);
    }

    fn changed(&self, header: &ResponseHeader, events: &[Event]) {
        let (hub, now) = (&self.0, self.0.now());
        let read = |key: &[u8], value: &[u8]| read_row(&hub.deployment, key, value, now);
        let told = hub.cache.borrow_mut().changed(now, stamp(header), &changes(events), &read);
        for (key, why) in hub.cache.borrow().faults() {
            debug!(key = %String::from_utf8_lossy(key), why, "an entry can't be read; the last good one counts");
        }
        self.tell(told);
    }

    fn progressed(&self, _: f64, header: &ResponseHeader) {
        self.0.cache.borrow_mut().progressed(self.0.now(), stamp(header));
    }

    fn compacted(&self) {
        self.0.cache.borrow_mut().compacted();
    }

    fn turn(&self) {
        let told = self.0.cache.borrow_mut().turn(self.0.now());
        self.tell(told);
    }
}

/// The front ends in the store.
struct Others {
    hub: Rc<Hub>,
    at: Cell<Option<Stamp>>,
    stale: Cell<bool>,
    indices: RefCell<BTreeSet<u32>>,
    told_at: Cell<f64>,
}

fn index(key: &[u8]) -> Option<u32> {
    std::str::from_utf8(key).ok()?.rsplit('/').next()?.parse().ok()
}

impl Others {
    fn saw(&self, began: f64) {
        self.told_at.set(began);
        self.hub.members.borrow_mut().saw(began, self.indices.borrow().iter().copied());
        self.hub.count_front_ends();
    }
}

impl Follower for Others {
    fn next(&self) -> Next {
        match self.at.get() {
            Some(stamp) if !self.stale.get() => Next::Watch(stamp.revision + 1),
            _ => Next::List,
        }
    }

    fn listed(&self, began: f64, header: &ResponseHeader, list: &[KeyValue]) {
        *self.indices.borrow_mut() = list.iter().filter_map(|kv| index(&kv.key)).collect();
        self.at.set(Some(stamp(header)));
        self.stale.set(false);
        self.saw(began);
    }

    fn changed(&self, header: &ResponseHeader, events: &[Event]) {
        for change in changes(events) {
            let Some(index) = index(change.key) else { continue };
            match change.value {
                Some(_) => self.indices.borrow_mut().insert(index),
                None => self.indices.borrow_mut().remove(&index),
            };
        }
        self.at.set(Some(stamp(header)));
        // How late an event came is not known: the view is as old as the last question that was answered.
        self.saw(self.told_at.get());
    }

    fn progressed(&self, began: f64, header: &ResponseHeader) {
        if self.at.get().is_some_and(|at| at.cluster != header.cluster_id || at.revision > header.revision) {
            self.stale.set(true);
            return;
        }
        self.at.set(Some(stamp(header)));
        self.saw(began);
    }

    fn compacted(&self) {
        self.stale.set(true);
    }

    fn turn(&self) {
        self.hub.count_front_ends();
    }
}

/// Puts this front end's entry into the store, under an index that no other has, and keeps its lease.
async fn register(hub: Rc<Hub>, client: Client, policy: Etcd) {
    let mut lost = 0;
    loop {
        if let Err(fault) = hold(&hub, &client, &policy, &mut lost).await {
            warn!(endpoint = ?client.endpoint(), %fault, "this front end's lease can't be kept");
            client.fail_over();
        }
        let time = PAUSE.0 * (1.0 + 2.0 * rand::random::<f64>());
        async_io::Timer::after(Duration::from_secs_f64(time)).await;
    }
}

async fn hold(hub: &Hub, client: &Client, policy: &Etcd, lost: &mut u32) -> Result<(), Fault> {
    let prefix = format!("{}{FRONT_ENDS}", policy.prefix);
    let (_, entries) = list(client, &prefix).await?;
    let taken: BTreeSet<u32> = entries.iter().filter_map(|kv| index(&kv.key)).collect();
    let wanted = Members::wanted(&taken, rand::random(), *lost);
    let began = hub.now();
    let grant = LeaseGrantRequest { ttl: policy.lease.ceil() as i64, id: 0 };
    let lease: LeaseGrantResponse = client.unary(LEASE_GRANT, &grant, PATIENCE).await?;
    let key = Bytes::from(format!("{prefix}{wanted}"));
    let at = hub.at.get().map(|at| at.to_string());
    let value =
        serde_json::json!({ "life": hub.sender.get().incarnation, "location": hub.location(), "at": at })
            .to_string();
    let put = PutRequest { key: key.clone(), value: value.into(), lease: lease.id, prev_kv: false };
    let claim = TxnRequest {
        compare: vec![Compare {
            result: CompareResult::Equal.into(),
            target: CompareTarget::Create.into(),
            key: key.clone(),
            target_union: Some(TargetUnion::CreateRevision(0)),
        }],
        success: vec![RequestOp { request: Some(Request::RequestPut(put)) }],
        failure: vec![],
    };
    let claimed: TxnResponse = client.unary(TXN, &claim, PATIENCE).await?;
    if !claimed.succeeded {
        *lost += 1;
        return Ok(());
    }
    *lost = 0;
    let ttl = lease.ttl.max(1) as f64;
    {
        let mut members = hub.members.borrow_mut();
        members.owns(hub.now(), wanted, 0.0);
        members.renewed(began, ttl);
    }
    info!(index = wanted, "this front end is in the store");
    hub.count_front_ends();
    let mut until = began + ttl;
    loop {
        async_io::Timer::after(Duration::from_secs_f64(ttl / 4.0)).await;
        let began = hub.now();
        let question = LeaseKeepAliveRequest { id: lease.id };
        let renewed = async {
            let mut both =
                client.both::<LeaseKeepAliveResponse>(LEASE_KEEP_ALIVE, &question, PATIENCE).await?;
            orchidtally_net::within(PATIENCE, both.next()).await.unwrap_or(Err(Fault::TimedOut))
        };
        match renewed.await {
            Ok(answer) if answer.ttl > 0 => {
                until = began + answer.ttl as f64;
                hub.members.borrow_mut().renewed(began, answer.ttl as f64);
            }
            Ok(_) => {
                warn!("this front end's lease was over though it lives");
                break;
            }
            Err(fault) if hub.now() > until => {
                hub.members.borrow_mut().disowned();
                return Err(fault);
            }
            Err(fault) => {
                debug!(%fault, "the lease was not renewed");
                client.fail_over();
            }
        }
    }
    hub.members.borrow_mut().disowned();
    Ok(())
}

/// Keeps the roster and the membership for as long as the front end lives.
pub fn keep(hub: &Rc<Hub>, policy: &Etcd) {
    let Some(tasks) = hub.spawner().upgrade() else { return };
    let client = || {
        let client = Client::new(policy.endpoints.clone(), tasks.clone());
        let sender = hub.sender.get();
        client.says(format!("{}.{}", hub.deployment.policy.index as u32, sender.incarnation));
        client
    };
    let executors = format!("{}{EXECUTORS}", policy.prefix);
    tasks.spawn(follow(hub.clone(), client(), executors, Roster(hub.clone()))).detach();
    let others = Others {
        hub: hub.clone(),
        at: Cell::new(None),
        stale: Cell::new(false),
        indices: RefCell::default(),
        told_at: Cell::new(f64::NEG_INFINITY),
    };
    tasks.spawn(follow(hub.clone(), client(), format!("{}{FRONT_ENDS}", policy.prefix), others)).detach();
    tasks.spawn(register(hub.clone(), client(), policy.clone())).detach();
}
