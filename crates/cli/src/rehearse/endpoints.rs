//! A store beside a day: executors have their entries in it with leases, front ends follow it, and it is torn off,
//! stalled, compacted, set back and loses all leases at once.

use orchidtally_etcd::rpc::event::EventType;
use orchidtally_etcd::rpc::{Event, PutRequest, RangeRequest};
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::EtcdServer;
use orchidtally_test_servers::executor::Executor;
use serde::Serialize;
use serde_json::json;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

const PREFIX: &str = "/orchidtally/executors/";
/// The lease of an executor's entry in seconds, and the seconds between two renewals.
const LEASE: i64 = 2;
const RENEWED: f64 = 0.4;
/// One in so many messages breaks its connection.
const BREAKS_EVERY: u64 = 120;

/// The list of executors in etcd.
pub struct Roster {
    stage: TestEnvironment,
    pub etcd: Rc<EtcdServer>,
    /// Lease and standing of each executor.
    entries: RefCell<Vec<(i64, EndpointState)>>,
    executors: RefCell<Vec<Rc<Executor>>>,
    /// Location and cell of each.
    place: Place,
}

type Place = Box<dyn Fn(usize) -> (u32, u32)>;

/// What the last line of the output says of the list of executors.
#[derive(Debug, Default, Serialize)]
pub struct Observed {
    pub drains: u64,
    pub worst_drain_s: f64,
    pub stale_dispatches: u64,
    pub relists: u64,
    pub cold_fallen: u64,
}

impl Roster {
    /// A store without entries. `place` returns an executor's location and cell.
    pub fn new(
        stage: &TestEnvironment,
        place: impl Fn(usize) -> (u32, u32) + 'static,
    ) -> io::Result<Rc<Roster>> {
        let etcd = EtcdServer::start(stage, 3)?;
        let (entries, executors) = Default::default();
        Ok(Rc::new(Roster {
            stage: stage.clone(),
            etcd,
            entries,
            executors,
            place: Box::new(place),
        }))
    }

    /// The part of the deployment file that names the store.
    pub fn description(&self) -> String {
        let endpoints: Vec<String> = self
            .etcd
            .addresses
            .iter()
            .map(|a| format!("\"{a}\""))
            .collect();
        format!(
            "etcd: {{ endpoints: [{}], lease: \"3s\" }}",
            endpoints.join(", ")
        )
    }

    /// The store's members.
    pub fn endpoints(&self) -> Vec<SocketAddr> {
        self.etcd.addresses.clone()
    }

    /// What the keys of executors begin with.
    pub fn prefix(&self) -> &'static str {
        PREFIX
    }

    fn value(&self, e: &Executor) -> String {
        let (location, cell) = (self.place)(e.spec.number);
        let state = match self.entries.borrow()[e.spec.number].1 {
            EndpointState::Draining => "draining",
            _ => "ready",
        };
        let value = json!({
            "location": format!("room-{location}"), "kind": "box", "cell": cell, "standing": state,
            "since": self.stage.wall(e.started_at()),
        });
        value.to_string()
    }

    fn put(&self, e: &Executor) {
        let put = PutRequest {
            key: format!("{PREFIX}{}", e.address).into(),
            value: self.value(e).into(),
            lease: self.entries.borrow()[e.spec.number].0,
            prev_kv: false,
        };
        if let Err(status) = self.etcd.store.borrow_mut().put(&put) {
            eprintln!("executor {} has no entry: {status}", e.spec.number);
        }
    }

    /// Enters all executors, and records what front ends are told of them from now on.
    pub fn start(self: &Rc<Self>, executors: &[Rc<Executor>]) {
        let now = self.stage.now();
        *self.executors.borrow_mut() = executors.to_vec();
        for e in executors {
            let lease = self.etcd.store.borrow_mut().grant(now, LEASE).id;
            self.entries
                .borrow_mut()
                .push((lease, EndpointState::Ready));
            self.put(e);
        }
        let numbers: HashMap<String, usize> = executors
            .iter()
            .map(|e| (format!("{PREFIX}{}", e.address), e.spec.number))
            .collect();
        let (stage, all) = (self.stage.clone(), executors.to_vec());
        let hears = move |agent: &str, event: &Event| {
            let Some((index, incarnation)) = agent.split_once('.') else {
                return;
            };
            let (Ok(front_end), Ok(incarnation)) = (index.parse(), incarnation.parse()) else {
                return;
            };
            let Some(kv) = &event.kv else { return };
            let Some(&executor) = numbers.get(&*String::from_utf8_lossy(&kv.key)) else {
                return;
            };
            let state = match event.r#type() {
                EventType::Delete => EndpointState::Gone,
                _ if String::from_utf8_lossy(&kv.value).contains("draining") => {
                    EndpointState::Draining
                }
                _ => EndpointState::Ready,
            };
            let (at, since) = (stage.now(), all[executor].started_at());
            stage.record(TrafficRecord::EndpointNotified {
                at,
                front_end,
                incarnation,
                executor,
                state,
                started_at: since,
            });
        };
        *self.etcd.on_event.borrow_mut() = Some(Rc::new(hears));
        let me = self.clone();
        let renewals = async move {
            loop {
                me.stage.sleep(RENEWED).await;
                let up: Vec<_> = me
                    .executors
                    .borrow()
                    .iter()
                    .filter(|e| e.is_up())
                    .cloned()
                    .collect();
                up.iter().for_each(|e| me.renew(e));
            }
        };
        self.stage.spawn(renewals).detach();
    }

    /// Keeps an entry: its lease, and what it says, which a store that was set back may have otherwise.
    fn renew(&self, e: &Executor) {
        let now = self.stage.now();
        let lease = self.entries.borrow()[e.spec.number].0;
        let over = self.etcd.store.borrow_mut().keep_alive(now, lease).ttl == 0;
        if over {
            self.entries.borrow_mut()[e.spec.number].0 =
                self.etcd.store.borrow_mut().grant(now, LEASE).id;
        }
        let expected = self.value(e);
        let question = RangeRequest {
            key: format!("{PREFIX}{}", e.address).into(),
            ..RangeRequest::default()
        };
        let found = self
            .etcd
            .store
            .borrow()
            .range(&question)
            .map(|record| record.kvs)
            .unwrap_or_default();
        if over
            || found
                .first()
                .is_none_or(|kv| kv.value != expected.as_bytes())
        {
            self.put(e);
        }
    }

    /// What an executor, or whoever stops it, says of it.
    pub fn change(&self, e: &Executor, state: EndpointState) {
        if state == EndpointState::Gone {
            let lease = self.entries.borrow()[e.spec.number].0;
            self.etcd.store.borrow_mut().revoke(lease);
            return;
        }
        self.entries.borrow_mut()[e.spec.number].1 = state;
        self.renew(e);
    }

    /// What goes wrong with the store through a day.
    pub async fn perform(self: Rc<Self>, from: f64, length: f64) {
        let until = async |share: f64| {
            self.stage
                .sleep(from + share * length - self.stage.now())
                .await
        };
        until(0.15).await;
        self.etcd.faults.breaks_every.set(BREAKS_EVERY);
        until(0.3).await;
        self.etcd.faults.stalled.set(self.stage.now() + 1.5);
        until(0.45).await;
        self.etcd.store.borrow_mut().expire_all();
        until(0.55).await;
        // While all watchers are off it changes, and is compacted past what they had seen.
        self.etcd.faults.stalled.set(self.stage.now() + 0.3);
        self.etcd.break_connections();
        self.executors
            .borrow()
            .iter()
            .filter(|e| e.is_up())
            .for_each(|e| self.put(e));
        let revision = self.etcd.store.borrow().revision;
        if let Err(status) = self.etcd.store.borrow_mut().compact(revision) {
            eprintln!("nothing was compacted: {status}");
        }
        until(0.65).await;
        self.etcd.faults.delay.set(0.1);
        until(0.75).await;
        self.etcd.faults.delay.set(0.0);
        self.etcd.faults.breaks_every.set(0);
        // Older data, as after a restore.
        let revision = self.etcd.store.borrow().revision;
        self.etcd.store.borrow_mut().restore(revision - 6);
        // It is another cluster then.
        self.etcd.store.borrow_mut().cluster += 1;
        self.etcd.break_connections();
    }

    /// How soon after it was told of a drain each front end had sent its last dispatch.
    pub fn observed(
        &self,
        records: &[TrafficRecord],
        relists: u64,
        (stale, fallen): (u64, u64),
    ) -> Observed {
        let mut seen = Observed {
            relists,
            stale_dispatches: stale,
            cold_fallen: fallen,
            ..Observed::default()
        };
        let mut drains: HashMap<(u64, usize), f64> = HashMap::new();
        let mut records: Vec<&TrafficRecord> = records.iter().collect();
        records.sort_by(|a, b| a.at().total_cmp(&b.at()));
        for record in records {
            match record {
                TrafficRecord::EndpointNotified {
                    at,
                    incarnation,
                    executor,
                    state: EndpointState::Draining,
                    ..
                } => {
                    drains.entry((*incarnation, *executor)).or_insert_with(|| {
                        seen.drains += 1;
                        *at
                    });
                }
                TrafficRecord::EndpointNotified {
                    incarnation,
                    executor,
                    ..
                } => {
                    drains.remove(&(*incarnation, *executor));
                }
                TrafficRecord::DispatchArrived {
                    at,
                    incarnation,
                    executor,
                    ..
                } => {
                    if let Some(notified) = drains.get(&(*incarnation, *executor)) {
                        seen.worst_drain_s = seen.worst_drain_s.max(at - notified);
                    }
                }
                _ => {}
            }
        }
        seen
    }
}
