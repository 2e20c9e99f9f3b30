//! A hollow front end's membership and roster: the true membership core over the true etcd client on loopback sockets,
//! with an engine that takes in what they tell.

use super::decisions::policy;
use super::follow::{self, Follower};
use crate::store::PREFIX;
use async_executor::{LocalExecutor, Task};
use orchidtally::interface::*;
use orchidtally_engine::{Cause, Engine, Host};
use orchidtally_etcd::rpc::compare::{CompareResult, CompareTarget, TargetUnion};
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::*;
use orchidtally_etcd::{Client, Fault, LEASE_GRANT, LEASE_KEEP_ALIVE, TXN};
use orchidtally_membership::{Cache, Members, Next, Stamp};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A front end's lease, in seconds: the default of a deployment file.
const LEASE_S: i64 = 10;
/// Renewals within the time of a lease.
const RENEWALS_PER_LEASE: f64 = 4.0;
/// A whole list of executors is read so often, in seconds, as the membership core asks for it.
pub const LIST_INTERVAL_S: f64 = 300.0;
const EXECUTORS: &str = "executors/";
const FRONT_ENDS: &str = "front-ends/";

/// An engine without calls has nothing to perform.
struct NoCalls;

impl Host for NoCalls {
    fn taken(&mut self, _inv: u32) {}
    fn dispatch(&mut self, _inv: u32, _dispatch: u8, _to: ExecutorId, _within: f64) {}
    fn cancel(&mut self, _inv: u32, _dispatch: u8) {}
    fn succeeded(&mut self, _inv: u32, _dispatch: u8) {}
    fn throttled(&mut self, _inv: u32, _retry_after: f64, _past_share: bool) {}
    fn errored(&mut self, _inv: u32, _cause: Cause, _may_have_run: bool) {}
    fn hold(&mut self, _to: ExecutorId, _function: u64, _copies: u8) {}
    fn ask(&mut self, _to: ExecutorId, _function: u64) {}
    fn unload(&mut self, _to: ExecutorId, _function: u64) {}
    fn probe(&mut self, _to: ExecutorId) {}
    fn watch_roster(&mut self) {}
}

/// One hollow front end's control.
pub struct ControlFrontEnd {
    started: Instant,
    cache: RefCell<Cache>,
    members: RefCell<Members>,
    engine: RefCell<Engine>,
    is_registered: Cell<bool>,
    /// Bytes received by the roster's connection when its first list was there.
    list_bytes: Cell<u64>,
    clients: [Client; 3],
}

/// The name by which the store knows the clients of a front end's membership and roster.
pub fn client_name(seed: u64) -> String {
    format!("control.{seed}")
}

/// Bytes over a front end's connections to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bytes {
    pub sent: u64,
    pub received: u64,
}

impl std::iter::Sum for Bytes {
    fn sum<I: Iterator<Item = Bytes>>(all: I) -> Bytes {
        let add = |a: Bytes, b: Bytes| Bytes { sent: a.sent + b.sent, received: a.received + b.received };
        all.fold(Bytes::default(), add)
    }
}

impl ControlFrontEnd {
    pub fn new(
        endpoints: &[SocketAddr],
        front_ends: usize,
        seed: u64,
        tasks: &Rc<LocalExecutor<'static>>,
    ) -> Rc<ControlFrontEnd> {
        let client = || {
            let client = Client::new(endpoints.to_vec(), tasks.clone());
            client.says(client_name(seed));
            client
        };
        let engine = Engine::new(policy(front_ends, 0), 1, seed, 0.0, &mut NoCalls);
        Rc::new(ControlFrontEnd {
            started: Instant::now(),
            cache: RefCell::new(Cache::new(0.0)),
            members: RefCell::new(Members::new(front_ends as u32)),
            engine: RefCell::new(engine),
            is_registered: Cell::new(false),
            list_bytes: Cell::new(0),
            clients: [client(), client(), client()],
        })
    }

    /// Starts to follow executors and front ends, and to keep its own entry, until the tasks are dropped.
    pub fn start(self: &Rc<Self>, tasks: &Rc<LocalExecutor<'static>>) -> Vec<Task<()>> {
        let (me, prefix) = (self.clone(), format!("{PREFIX}{EXECUTORS}"));
        let roster = async move { follow::follow(&me.clients[0], &prefix, &Roster(me.clone())).await };
        let (me, prefix) = (self.clone(), format!("{PREFIX}{FRONT_ENDS}"));
        let others = Others::new(self.clone());
        let membership = async move { follow::follow(&me.clients[1], &prefix, &others).await };
        let me = self.clone();
        let entry = async move { me.register().await };
        vec![tasks.spawn(roster), tasks.spawn(membership), tasks.spawn(entry)]
    }

    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Whether it has its list of executors and its own entry.
    pub fn is_ready(&self) -> bool {
        self.is_registered.get() && self.cache.borrow().known().0 > 0
    }

    /// Bytes of its first list of executors; 0 before it came.
    pub fn list_bytes(&self) -> u64 {
        self.list_bytes.get()
    }

    /// Executors that it knows.
    pub fn executors(&self) -> usize {
        self.cache.borrow().known().0
    }

    /// Front ends that it counts.
    pub fn front_ends(&self) -> u32 {
        self.members.borrow().figure(self.now()).count
    }

    /// Bytes over its connections to the store so far.
    pub fn bytes(&self) -> Bytes {
        let of =
            |client: &Client| Bytes { sent: client.traffic().sent(), received: client.traffic().received() };
        self.clients.iter().map(of).sum()
    }

    fn tell_roster(&self, told: orchidtally_membership::cache::Told) {
        if let Some((kind, rows)) = told {
            self.engine.borrow_mut().roster(self.now(), kind, &rows, &mut NoCalls);
        }
    }

    fn tell_membership(&self) {
        let figure = self.members.borrow().figure(self.now());
        let view = MembershipView {
            front_ends: f64::from(figure.count),
            slot_count: f64::from(figure.count.next_power_of_two()),
            index: f64::from(figure.index.unwrap_or(0)),
            shares: figure.shares,
        };
        self.engine.borrow_mut().living(self.now(), view, &mut NoCalls);
    }

    /// Keeps its own entry for as long as it is polled.
    async fn register(&self) {
        let mut lost_claims = 0;
        loop {
            if self.hold_entry(&mut lost_claims).await.is_err() {
                self.clients[2].fail_over();
            }
            self.is_registered.set(false);
            let delay = follow::RETRY_DELAY.0 * (1.0 + 2.0 * rand::random::<f64>());
            async_io::Timer::after(Duration::from_secs_f64(delay)).await;
        }
    }

    async fn hold_entry(&self, lost_claims: &mut u32) -> Result<(), Fault> {
        let client = &self.clients[2];
        let prefix = format!("{PREFIX}{FRONT_ENDS}");
        let (_, entries) = follow::list(client, &prefix).await?;
        let taken: BTreeSet<u32> = entries.iter().filter_map(|entry| index(&entry.key)).collect();
        let wanted = Members::wanted(&taken, rand::random(), *lost_claims);
        let began = self.now();
        let grant = LeaseGrantRequest { ttl: LEASE_S, id: 0 };
        let lease: LeaseGrantResponse = client.unary(LEASE_GRANT, &grant, follow::REQUEST_TIMEOUT).await?;
        let claim = claim(&format!("{prefix}{wanted}"), lease.id);
        let claimed: TxnResponse = client.unary(TXN, &claim, follow::REQUEST_TIMEOUT).await?;
        if !claimed.succeeded {
            *lost_claims += 1;
            return Ok(());
        }
        *lost_claims = 0;
        {
            let mut members = self.members.borrow_mut();
            members.owns(self.now(), wanted, 0.0);
            members.renewed(began, lease.ttl as f64);
        }
        self.is_registered.set(true);
        self.keep_lease(lease.id, began + lease.ttl as f64, lease.ttl as f64).await
    }

    async fn keep_lease(&self, id: i64, mut until: f64, ttl: f64) -> Result<(), Fault> {
        let client = &self.clients[2];
        loop {
            async_io::Timer::after(Duration::from_secs_f64(ttl / RENEWALS_PER_LEASE)).await;
            let began = self.now();
            let question = LeaseKeepAliveRequest { id };
            let renewed = async {
                let mut stream = client
                    .both::<LeaseKeepAliveResponse>(LEASE_KEEP_ALIVE, &question, follow::REQUEST_TIMEOUT)
                    .await?;
                orchidtally_net::within(follow::REQUEST_TIMEOUT, stream.next())
                    .await
                    .unwrap_or(Err(Fault::TimedOut))
            };
            match renewed.await {
                Ok(answer) if answer.ttl > 0 => {
                    until = began + answer.ttl as f64;
                    self.members.borrow_mut().renewed(began, answer.ttl as f64);
                }
                Ok(_) => break,
                Err(fault) if self.now() > until => {
                    self.members.borrow_mut().disowned();
                    return Err(fault);
                }
                Err(_) => client.fail_over(),
            }
        }
        self.members.borrow_mut().disowned();
        Ok(())
    }
}

/// The transaction that puts an entry under a lease where no other has it.
fn claim(key: &str, lease: i64) -> TxnRequest {
    let value = serde_json::json!({ "life": 1, "location": "zone-0", "at": "127.0.0.1:8080" }).to_string();
    let key = bytes::Bytes::copy_from_slice(key.as_bytes());
    let put = PutRequest { key: key.clone(), value: value.into(), lease, prev_kv: false };
    TxnRequest {
        compare: vec![Compare {
            result: CompareResult::Equal.into(),
            target: CompareTarget::Create.into(),
            key,
            target_union: Some(TargetUnion::CreateRevision(0)),
        }],
        success: vec![RequestOp { request: Some(Request::RequestPut(put)) }],
        failure: vec![],
    }
}

fn index(key: &[u8]) -> Option<u32> {
    std::str::from_utf8(key).ok()?.rsplit('/').next()?.parse().ok()
}

/// An executor's entry, as the front end reads it.
#[derive(Deserialize)]
struct ExecutorEntry {
    location: String,
    cell: u16,
    standing: String,
    weight: f64,
    since: f64,
}

fn read_row(key: &[u8], value: &[u8]) -> Result<RosterRow, String> {
    let entry: ExecutorEntry = serde_json::from_slice(value).map_err(|why| why.to_string())?;
    let address = std::str::from_utf8(key).ok().and_then(|key| key.rsplit('/').next()).unwrap_or_default();
    let address: SocketAddr = address.parse().map_err(|why| format!("'{address}': {why}"))?;
    Ok(RosterRow {
        executor: ExecutorId(address.ip(), address.port()),
        zone: entry.location.rsplit('-').next().and_then(|zone| zone.parse().ok()).unwrap_or(0),
        kind: 0,
        cell: entry.cell,
        standing: if entry.standing == "ready" { Standing::Ready } else { Standing::Draining },
        weight: entry.weight,
        since: entry.since,
    })
}

/// Follows the executors.
struct Roster(Rc<ControlFrontEnd>);

impl Follower for Roster {
    fn now(&self) -> f64 {
        self.0.now()
    }

    fn next(&self) -> Next {
        self.0.cache.borrow().next()
    }

    fn listed(&self, _began: f64, header: &ResponseHeader, list: &[KeyValue]) {
        if self.0.list_bytes.get() == 0 {
            self.0.list_bytes.set(self.0.clients[0].traffic().received());
        }
        let list: Vec<_> = list.iter().map(|entry| follow::change(entry, false)).collect();
        let told = self.0.cache.borrow_mut().listed(self.now(), follow::stamp(header), &list, &read_row);
        self.0.tell_roster(told);
    }

    fn changed(&self, header: &ResponseHeader, events: &[Event]) {
        let changes = follow::changes(events);
        let told = self.0.cache.borrow_mut().changed(self.now(), follow::stamp(header), &changes, &read_row);
        self.0.tell_roster(told);
    }

    fn progressed(&self, _began: f64, header: &ResponseHeader) {
        self.0.cache.borrow_mut().progressed(self.now(), follow::stamp(header));
    }

    fn compacted(&self) {
        self.0.cache.borrow_mut().compacted();
    }

    fn turn(&self) {
        let told = self.0.cache.borrow_mut().turn(self.now());
        self.0.tell_roster(told);
    }
}

/// Follows the other front ends.
struct Others {
    front_end: Rc<ControlFrontEnd>,
    at: Cell<Option<Stamp>>,
    is_stale: Cell<bool>,
    indices: RefCell<BTreeSet<u32>>,
    told_at: Cell<f64>,
}

impl Others {
    fn new(front_end: Rc<ControlFrontEnd>) -> Others {
        Others {
            front_end,
            at: Cell::new(None),
            is_stale: Cell::new(false),
            indices: RefCell::default(),
            told_at: Cell::new(f64::NEG_INFINITY),
        }
    }

    fn saw(&self, began: f64) {
        self.told_at.set(began);
        self.front_end.members.borrow_mut().saw(began, self.indices.borrow().iter().copied());
        self.front_end.tell_membership();
    }
}

impl Follower for Others {
    fn now(&self) -> f64 {
        self.front_end.now()
    }

    fn next(&self) -> Next {
        match self.at.get() {
            Some(stamp) if !self.is_stale.get() => Next::Watch(stamp.revision + 1),
            _ => Next::List,
        }
    }

    fn listed(&self, began: f64, header: &ResponseHeader, list: &[KeyValue]) {
        *self.indices.borrow_mut() = list.iter().filter_map(|entry| index(&entry.key)).collect();
        self.at.set(Some(follow::stamp(header)));
        self.is_stale.set(false);
        self.saw(began);
    }

    fn changed(&self, header: &ResponseHeader, events: &[Event]) {
        for change in follow::changes(events) {
            let Some(index) = index(change.key) else { continue };
            match change.value {
                Some(_) => self.indices.borrow_mut().insert(index),
                None => self.indices.borrow_mut().remove(&index),
            };
        }
        self.at.set(Some(follow::stamp(header)));
        self.saw(self.told_at.get());
    }

    fn progressed(&self, began: f64, header: &ResponseHeader) {
        let stamp = follow::stamp(header);
        if self.at.get().is_some_and(|at| at.cluster != stamp.cluster || at.revision > stamp.revision) {
            self.is_stale.set(true);
            return;
        }
        self.at.set(Some(stamp));
        self.saw(began);
    }

    fn compacted(&self) {
        self.is_stale.set(true);
    }

    fn turn(&self) {
        self.front_end.tell_membership();
    }
}
