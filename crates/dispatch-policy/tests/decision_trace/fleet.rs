//! The simulated executors: their replicas, how they answer, and their entries in the endpoint list.

use crate::random::SeededRandom;
use crate::scenarios::Scenario;
use orchidtally_dispatch_policy::interface::{
    DispatchStatus, Endpoint, EndpointState, ExecutorId, ReplicaState,
};
use std::collections::BTreeMap;

/// Mean time of a load, in seconds.
pub const LOAD_TIME: f64 = 0.8;
/// Time for which an idle replica stays loaded, in seconds.
const IDLE_TIME: f64 = 8.0;
const SERVICE_TIME: f64 = 0.15;
const SLOW_FACTOR: f64 = 12.0;

/// The outcome of a dispatch.
pub struct RunResult {
    pub is_answered: bool,
    /// Seconds until the dispatch ends.
    pub delay: f64,
    pub status: DispatchStatus,
    pub copy_state: ReplicaState,
}

struct Executor {
    endpoint: Endpoint,
    will_hang: bool,
    is_slow: bool,
    /// The time until which the replica of each function stays loaded.
    replicas: BTreeMap<u64, f64>,
}

pub struct Fleet {
    executors: Vec<Executor>,
    /// The time from which the hanging executors hang. Before it they serve functions like the others.
    hang_start: f64,
}

fn executor_id(number: usize) -> ExecutorId {
    let address = [10, 1, (number / 250) as u8, (number % 250) as u8];
    ExecutorId(address.into(), 7_000)
}

impl Fleet {
    pub fn new(scenario: &Scenario, random: &mut SeededRandom, now: f64) -> Fleet {
        let executor = |number: usize| Executor {
            endpoint: Endpoint {
                executor: executor_id(number),
                zone: (number % scenario.zones) as u8,
                kind: (number / 2 % scenario.kinds) as u8,
                cell: (number / 3) as u16,
                state: EndpointState::Ready,
                weight: 1.0 + (number % 3) as f64,
                started_at: if random.chance(0.2) {
                    now - 12.0 * random.unit()
                } else {
                    f64::NEG_INFINITY
                },
            },
            will_hang: random.chance(scenario.hanging),
            is_slow: random.chance(scenario.slow),
            replicas: BTreeMap::new(),
        };
        let executors = (0..scenario.executors).map(executor).collect();
        Fleet {
            executors,
            hang_start: now + scenario.duration / 4.0,
        }
    }

    /// Returns the endpoint list: all executors that are not gone.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let listed = self
            .executors
            .iter()
            .filter(|executor| executor.endpoint.state != EndpointState::Gone);
        listed.map(|executor| executor.endpoint.clone()).collect()
    }

    /// Changes a random executor and returns its new entry in the endpoint list.
    pub fn change(&mut self, scenario: &Scenario, random: &mut SeededRandom, now: f64) -> Endpoint {
        let number = random.below(self.executors.len());
        let executor = &mut self.executors[number];
        executor.endpoint.state = match executor.endpoint.state {
            EndpointState::Ready if random.chance(0.6) => EndpointState::Draining,
            EndpointState::Ready => EndpointState::Gone,
            EndpointState::Draining if random.chance(0.7) => EndpointState::Gone,
            _ => EndpointState::Ready,
        };
        if executor.endpoint.state == EndpointState::Ready && random.chance(scenario.restarts) {
            executor.endpoint.started_at = now - random.unit();
            executor.replicas.clear();
        }
        if random.chance(0.1) {
            executor.endpoint.weight = 0.5 + 2.0 * random.unit();
        }
        if executor.endpoint.state == EndpointState::Ready && random.chance(0.1) {
            executor.endpoint.cell += 1;
        }
        executor.endpoint.clone()
    }

    fn get(&mut self, id: ExecutorId) -> &mut Executor {
        let executor = self
            .executors
            .iter_mut()
            .find(|executor| executor.endpoint.executor == id);
        executor.expect("the executor is in no endpoint list")
    }

    /// Returns the number of invocations that an executor reports as waiting.
    pub fn reported_backlog(&mut self, id: ExecutorId, random: &mut SeededRandom) -> f32 {
        let max = if self.get(id).is_slow { 30.0 } else { 2.0 };
        (max * random.unit()) as f32
    }

    /// Runs a dispatch that arrives at an executor at `now`.
    pub fn run(
        &mut self,
        scenario: &Scenario,
        random: &mut SeededRandom,
        to: ExecutorId,
        function: u64,
        now: f64,
    ) -> RunResult {
        let hang_started = now >= self.hang_start;
        let executor = self.get(to);
        let is_warm = executor
            .replicas
            .get(&function)
            .is_some_and(|&until| until > now);
        let factor = if executor.is_slow { SLOW_FACTOR } else { 1.0 };
        let work = SERVICE_TIME * factor * (0.3 + 1.4 * random.unit());
        let load = if is_warm {
            0.0
        } else {
            LOAD_TIME * (0.5 + random.unit())
        };
        let fault = fault(scenario.fault, random);
        if executor.will_hang && hang_started {
            return RunResult {
                is_answered: false,
                delay: 0.0,
                status: DispatchStatus::TimedOut,
                copy_state: ReplicaState::Unknown,
            };
        }
        if executor.endpoint.state == EndpointState::Gone {
            return RunResult {
                is_answered: true,
                delay: 0.002,
                status: DispatchStatus::Reset,
                copy_state: ReplicaState::Unknown,
            };
        }
        if let Some((status, copy_state, delay)) = fault {
            return RunResult {
                is_answered: true,
                delay,
                status,
                copy_state,
            };
        }
        executor
            .replicas
            .insert(function, now + load + work + IDLE_TIME);
        let copy_state = match (is_warm, random.below(3)) {
            (_, 0) => ReplicaState::Unknown,
            (true, _) => ReplicaState::Warm,
            (false, 1) => ReplicaState::JoinedLoad,
            (false, _) => ReplicaState::ColdStart,
        };
        RunResult {
            is_answered: true,
            delay: load + work,
            status: DispatchStatus::Ok,
            copy_state,
        }
    }

    /// Completes a load command at `now` and returns its status.
    pub fn load(
        &mut self,
        scenario: &Scenario,
        random: &mut SeededRandom,
        to: ExecutorId,
        function: u64,
        now: f64,
    ) -> DispatchStatus {
        let fault = fault(scenario.fault, random);
        let hang_started = now >= self.hang_start;
        let executor = self.get(to);
        if executor.will_hang && hang_started {
            return DispatchStatus::TimedOut;
        }
        if executor.endpoint.state == EndpointState::Gone {
            return DispatchStatus::ConnectFailed;
        }
        if let Some((status, ..)) = fault {
            return status;
        }
        executor.replicas.insert(function, now + IDLE_TIME);
        DispatchStatus::Ok
    }
}

/// Draws a fault with its delay in seconds. Each kind has the given probability.
fn fault(
    probability: f64,
    random: &mut SeededRandom,
) -> Option<(DispatchStatus, ReplicaState, f64)> {
    const FAULTS: [(DispatchStatus, ReplicaState, f64); 6] = [
        (DispatchStatus::Error, ReplicaState::Unknown, 0.05),
        (DispatchStatus::Error, ReplicaState::LoadFailed, 0.4),
        (DispatchStatus::Full, ReplicaState::Unknown, 0.004),
        (DispatchStatus::Reset, ReplicaState::Unknown, 0.08),
        (DispatchStatus::ConnectFailed, ReplicaState::Unknown, 0.001),
        (DispatchStatus::NotLoaded, ReplicaState::Unknown, 0.003),
    ];
    let drawn = random.unit() / probability.max(1e-12);
    FAULTS.get(drawn as usize).copied()
}
