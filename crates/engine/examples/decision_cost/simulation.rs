//! Executors in simulated time, which carry out the engine's decisions.

use crate::scenario::Workload;
use orchidtally_dispatch_policy::interface::{DispatchStatus, ExecutorId, ReplicaState};
use orchidtally_dispatch_policy::random::{SeededRandom, rendezvous_hash};
use orchidtally_dispatch_policy::state::Ordered;
use orchidtally_engine::{Engine, FailureReason, Host, ResponseMetadata};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const MEAN_RESPONSE_TIME: f64 = 0.05;
pub const LOAD_TIME: f64 = 0.3;
pub const KEEP_ALIVE: f64 = 60.0;

pub enum Event {
    DispatchEnds {
        invocation: u32,
        dispatch: u8,
        executor: usize,
        function: u64,
        status: DispatchStatus,
        replica_state: ReplicaState,
    },
    LoadEnds {
        executor: ExecutorId,
        function: u64,
        status: DispatchStatus,
    },
}

/// Carries out the decisions and computes a digest of them.
pub struct Simulation {
    pub workload: Workload,
    pub now: f64,
    pub digest: u64,
    pub decisions: u64,
    next_key: u64,
    event_queue: BinaryHeap<Reverse<(Ordered, u64)>>,
    pub events: BTreeMap<u64, Event>,
    pub functions: BTreeMap<u32, u64>,
    pub admitting_function: u64,
    /// By executor and function, the time at which the replica is loaded and the time of its last use.
    replicas: BTreeMap<(usize, u64), (f64, f64)>,
    pub random: SeededRandom,
    pub loads: u64,
    pub succeeded: u64,
    pub failed_invocations: u64,
}

impl Simulation {
    pub fn new(workload: Workload, now: f64, seed: u64) -> Simulation {
        Simulation {
            workload,
            now,
            digest: 0xcbf2_9ce4_8422_2325,
            decisions: 0,
            next_key: 0,
            event_queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            functions: BTreeMap::new(),
            admitting_function: 0,
            replicas: BTreeMap::new(),
            random: SeededRandom::new(seed),
            loads: 0,
            succeeded: 0,
            failed_invocations: 0,
        }
    }

    /// The time of the next event in seconds; infinity if there is none.
    pub fn next_event_at(&self) -> f64 {
        self.event_queue
            .peek()
            .map_or(f64::INFINITY, |Reverse((at, _))| at.0)
    }

    /// Removes the next event.
    pub fn pop_event(&mut self) -> Option<Event> {
        let Reverse((_, key)) = self.event_queue.pop()?;
        self.events.remove(&key)
    }

    /// Ends a dispatch or a load and reports the result to the engine.
    pub fn handle_event(&mut self, event: Event, engine: &mut Engine) {
        let now = self.now;
        match event {
            Event::DispatchEnds {
                invocation,
                dispatch,
                executor,
                function,
                status,
                replica_state,
            } => {
                self.use_replica(executor, function);
                let metadata = ResponseMetadata {
                    replica_state,
                    function_concurrency: 0,
                    load_report: &[self.reported_backlog(executor)],
                };
                engine.on_dispatch_result(now, invocation, dispatch, status, metadata, self);
            }
            Event::LoadEnds {
                executor,
                function,
                status,
            } => engine.on_load_result(now, executor, function, status, self),
        }
    }

    /// The number of waiting invocations of other front ends that an executor reports.
    fn reported_backlog(&self, executor: usize) -> f32 {
        if self.workload == Workload::Calm {
            return 0.0;
        }
        let load = rendezvous_hash(executor as u64, (self.now / 3.0) as u64) % 8;
        load.saturating_sub(4) as f32
    }

    fn record_decision(&mut self, values: &[u64]) {
        self.decisions += 1;
        for value in values {
            self.digest = (self.digest ^ value)
                .wrapping_mul(0x0100_0000_01b3)
                .rotate_left(23);
        }
    }

    /// Schedules an event.
    fn schedule(&mut self, at: f64, event: Event) {
        self.next_key += 1;
        self.event_queue.push(Reverse((Ordered(at), self.next_key)));
        self.events.insert(self.next_key, event);
    }

    /// Uses the replica of a function at an executor, which is loaded if necessary. Returns the time from which it can
    /// run an invocation, and whether it is loaded already.
    fn use_replica(&mut self, executor: usize, function: u64) -> (f64, bool) {
        let now = self.now;
        let replica = self
            .replicas
            .entry((executor, function))
            .or_insert((0.0, f64::NEG_INFINITY));
        if replica.1 + KEEP_ALIVE < now {
            *replica = (now + LOAD_TIME, now);
            self.loads += 1;
        }
        replica.1 = replica.0.max(now);
        (replica.1, replica.0 <= now)
    }
}

fn address_as_number(ExecutorId(address, _): ExecutorId) -> u64 {
    match address {
        std::net::IpAddr::V4(a) => u64::from(u32::from(a)),
        std::net::IpAddr::V6(_) => 0,
    }
}

fn executor_index(id: ExecutorId) -> usize {
    (address_as_number(id) & 0xffff) as usize
}

impl Host for Simulation {
    fn admitted(&mut self, invocation: u32) {
        self.functions.insert(invocation, self.admitting_function);
    }
    fn dispatch(&mut self, invocation: u32, dispatch: u8, executor: ExecutorId, timeout: f64) {
        self.record_decision(&[
            1,
            invocation.into(),
            dispatch.into(),
            address_as_number(executor),
            timeout.to_bits(),
        ]);
        let (executor, function) = (executor_index(executor), self.functions[&invocation]);
        let drawn = if self.workload == Workload::Faults {
            self.random.next_f64()
        } else {
            1.0
        };
        let status = match drawn {
            d if d < 0.004 => DispatchStatus::Error,
            d if d < 0.007 => DispatchStatus::Full,
            d if d < 0.009 => DispatchStatus::Reset,
            d if d < 0.011 => DispatchStatus::ConnectFailed,
            _ => DispatchStatus::Ok,
        };
        // Some executors hang and never respond.
        if self.workload == Workload::Faults
            && rendezvous_hash(executor as u64, (self.now / 20.0) as u64).is_multiple_of(97)
        {
            return;
        }
        let (loaded_at, warm) = self.use_replica(executor, function);
        let replica_state = if warm {
            ReplicaState::Warm
        } else {
            ReplicaState::ColdStart
        };
        let at = loaded_at + MEAN_RESPONSE_TIME * (0.5 + self.random.next_f64());
        self.schedule(
            at,
            Event::DispatchEnds {
                invocation,
                dispatch,
                executor,
                function,
                status,
                replica_state,
            },
        );
    }
    fn cancel(&mut self, invocation: u32, dispatch: u8) {
        self.record_decision(&[2, invocation.into(), dispatch.into()]);
    }
    fn succeeded(&mut self, _: u32, _: u8) {
        self.succeeded += 1;
    }
    fn rejected(&mut self, invocation: u32, retry_after: f64, _: bool) {
        self.record_decision(&[3, invocation.into(), retry_after.to_bits()]);
        self.failed_invocations += 1;
    }
    fn failed(&mut self, invocation: u32, _: FailureReason, _: bool) {
        self.record_decision(&[4, invocation.into()]);
        self.failed_invocations += 1;
    }
    fn load(&mut self, executor: ExecutorId, function: u64, replicas: u8) {
        self.record_decision(&[5, address_as_number(executor), function, replicas.into()]);
        let (loaded_at, _) = self.use_replica(executor_index(executor), function);
        let failed = self.workload == Workload::Faults && self.random.next_f64() < 0.01;
        let status = if failed {
            DispatchStatus::ConnectFailed
        } else {
            DispatchStatus::Ok
        };
        self.schedule(
            loaded_at,
            Event::LoadEnds {
                executor,
                function,
                status,
            },
        );
    }
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}
