//! An etcd test server for a rehearsal: executors register in it with leases and front ends watch it. Its faults are
//! lost connections, stalls, the expiry of all leases at once, a compaction past the watchers and a restore of older
//! data.

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

/// Prefix of the keys of executors.
const PREFIX: &str = "/orchidtally/executors/";
/// Time to live of an executor's lease, in seconds.
const LEASE_TTL: i64 = 2;
/// Seconds between two renewals of a lease.
const RENEWAL_INTERVAL: f64 = 0.4;
/// The server breaks all connections after every so many messages.
const MESSAGES_PER_DISCONNECT: u64 = 120;

/// The etcd server and the executors' entries in it.
pub struct EndpointStore {
    environment: TestEnvironment,
    /// The server.
    pub etcd: Rc<EtcdServer>,
    /// Lease and state of each executor's entry, by number.
    entries: RefCell<Vec<(i64, EndpointState)>>,
    executors: RefCell<Vec<Rc<Executor>>>,
    /// Returns the location and cell of an executor by number.
    placement: Placement,
}

type Placement = Box<dyn Fn(usize) -> (u32, u32)>;

/// The summary of drains and endpoint lists in the last line of the output.
#[derive(Debug, Default, Serialize)]
pub struct Observed {
    /// Notifications of front ends that an executor drains.
    pub drains: u64,
    /// The longest time between such a notification and a later dispatch of that front end to the executor, in seconds.
    pub worst_drain_s: f64,
    /// Violations of rule 3.
    pub stale_dispatches: u64,
    /// Endpoint lists that front ends had to read again.
    pub relists: u64,
    /// Violations of rule 4.
    pub cold_fallen: u64,
}

impl EndpointStore {
    /// Starts a server without entries. `place` returns an executor's location and cell.
    pub fn new(
        environment: &TestEnvironment,
        placement: impl Fn(usize) -> (u32, u32) + 'static,
    ) -> io::Result<Rc<EndpointStore>> {
        let etcd = EtcdServer::start(environment, 3)?;
        let (entries, executors) = Default::default();
        Ok(Rc::new(EndpointStore {
            environment: environment.clone(),
            etcd,
            entries,
            executors,
            placement: Box::new(placement),
        }))
    }

    /// The setting of the deployment file that names the server.
    pub fn deployment_setting(&self) -> String {
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

    /// The addresses of the server's members.
    pub fn endpoints(&self) -> Vec<SocketAddr> {
        self.etcd.addresses.clone()
    }

    /// The prefix of the keys of executors.
    pub fn prefix(&self) -> &'static str {
        PREFIX
    }

    /// The value of an executor's entry.
    fn value(&self, e: &Executor) -> String {
        let (location, cell) = (self.placement)(e.spec.number);
        let state = match self.entries.borrow()[e.spec.number].1 {
            EndpointState::Draining => "draining",
            _ => "ready",
        };
        let value = json!({
            "location": format!("room-{location}"), "kind": "box", "cell": cell, "standing": state,
            "since": self.environment.unix_time(e.started_at()),
        });
        value.to_string()
    }

    /// Writes an executor's entry.
    fn put(&self, e: &Executor) {
        let put = PutRequest {
            key: format!("{PREFIX}{}", e.address).into(),
            value: self.value(e).into(),
            lease: self.entries.borrow()[e.spec.number].0,
            prev_kv: false,
        };
        if let Err(status) = self.etcd.store.borrow_mut().put(&put) {
            eprintln!(
                "executor {} could not be registered: {status}",
                e.spec.number
            );
        }
    }

    /// Registers all executors, keeps their leases alive, and records the notifications that front ends receive.
    pub fn start(self: &Rc<Self>, executors: &[Rc<Executor>]) {
        let now = self.environment.now();
        *self.executors.borrow_mut() = executors.to_vec();
        for e in executors {
            let lease = self.etcd.store.borrow_mut().grant(now, LEASE_TTL).id;
            self.entries
                .borrow_mut()
                .push((lease, EndpointState::Ready));
            self.put(e);
        }
        let numbers: HashMap<String, usize> = executors
            .iter()
            .map(|e| (format!("{PREFIX}{}", e.address), e.spec.number))
            .collect();
        let (environment, all) = (self.environment.clone(), executors.to_vec());
        let record_notification = move |agent: &str, event: &Event| {
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
            let (at, since) = (environment.now(), all[executor].started_at());
            environment.record(TrafficRecord::EndpointNotified {
                at,
                front_end,
                incarnation,
                executor,
                state,
                started_at: since,
            });
        };
        *self.etcd.on_event.borrow_mut() = Some(Rc::new(record_notification));
        let this = self.clone();
        let renewals = async move {
            loop {
                this.environment.sleep(RENEWAL_INTERVAL).await;
                let running: Vec<_> = this
                    .executors
                    .borrow()
                    .iter()
                    .filter(|e| e.is_up())
                    .cloned()
                    .collect();
                running.iter().for_each(|e| this.renew(e));
            }
        };
        self.environment.spawn(renewals).detach();
    }

    /// Renews an executor's lease. Writes the entry again if the lease has expired or the value differs, as after a
    /// restore of older data.
    fn renew(&self, e: &Executor) {
        let now = self.environment.now();
        let lease = self.entries.borrow()[e.spec.number].0;
        let has_expired = self.etcd.store.borrow_mut().keep_alive(now, lease).ttl == 0;
        if has_expired {
            self.entries.borrow_mut()[e.spec.number].0 =
                self.etcd.store.borrow_mut().grant(now, LEASE_TTL).id;
        }
        let expected = self.value(e);
        let request = RangeRequest {
            key: format!("{PREFIX}{}", e.address).into(),
            ..RangeRequest::default()
        };
        let found = self
            .etcd
            .store
            .borrow()
            .range(&request)
            .map(|record| record.kvs)
            .unwrap_or_default();
        if has_expired
            || found
                .first()
                .is_none_or(|kv| kv.value != expected.as_bytes())
        {
            self.put(e);
        }
    }

    /// Changes the state of an executor's entry; [`EndpointState::Gone`] revokes its lease.
    pub fn set_state(&self, e: &Executor, state: EndpointState) {
        if state == EndpointState::Gone {
            let lease = self.entries.borrow()[e.spec.number].0;
            self.etcd.store.borrow_mut().revoke(lease);
            return;
        }
        self.entries.borrow_mut()[e.spec.number].1 = state;
        self.renew(e);
    }

    /// Injects the server's faults into a scenario that starts at `from` and takes `length` seconds.
    pub async fn inject_faults(self: Rc<Self>, from: f64, length: f64) {
        let until = async |share: f64| {
            self.environment
                .sleep(from + share * length - self.environment.now())
                .await
        };
        until(0.15).await;
        self.etcd.faults.breaks_every.set(MESSAGES_PER_DISCONNECT);
        until(0.3).await;
        self.etcd
            .faults
            .stalled
            .activate_until(self.environment.now() + 1.5);
        until(0.45).await;
        self.etcd.store.borrow_mut().expire_all();
        until(0.55).await;
        // With all watchers disconnected, the data changes and is compacted past the revision that they had read.
        self.etcd
            .faults
            .stalled
            .activate_until(self.environment.now() + 0.3);
        self.etcd.break_connections();
        self.executors
            .borrow()
            .iter()
            .filter(|e| e.is_up())
            .for_each(|e| self.put(e));
        let revision = self.etcd.store.borrow().revision;
        if let Err(status) = self.etcd.store.borrow_mut().compact(revision) {
            eprintln!("the compaction failed: {status}");
        }
        until(0.65).await;
        self.etcd.faults.delay.set(0.1);
        until(0.75).await;
        self.etcd.faults.delay.set(0.0);
        self.etcd.faults.breaks_every.set(0);
        // Goes back to older data, as a restore does.
        let revision = self.etcd.store.borrow().revision;
        self.etcd.store.borrow_mut().restore(revision - 6);
        // A restored cluster has a new id.
        self.etcd.store.borrow_mut().cluster += 1;
        self.etcd.break_connections();
    }

    /// Summarises the records. `stale` and `overloads` are the numbers of violations of rules 3 and 4.
    pub fn observed(
        &self,
        records: &[TrafficRecord],
        relists: u64,
        (stale, overloads): (u64, u64),
    ) -> Observed {
        let mut observed = Observed {
            relists,
            stale_dispatches: stale,
            cold_fallen: overloads,
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
                        observed.drains += 1;
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
                        observed.worst_drain_s = observed.worst_drain_s.max(at - notified);
                    }
                }
                _ => {}
            }
        }
        observed
    }
}
