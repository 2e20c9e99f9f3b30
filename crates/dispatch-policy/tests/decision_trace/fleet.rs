//! Executors of a play: what is loaded where, who answers how, and what the endpoint list tells of them.

use crate::scenarios::Scenario;
use crate::seeded::Seeded;
use orchidtally_dispatch_policy::interface::{
    DispatchStatus, Endpoint, EndpointState, ExecutorId, ReplicaState,
};
use std::collections::BTreeMap;

/// Usual time of a load, in seconds.
pub const LOAD_TIME: f64 = 0.8;
/// How long an idle copy stays.
const IDLE_TIME: f64 = 8.0;
const SERVICE_TIME: f64 = 0.15;
const SLOW_FACTOR: f64 = 12.0;

/// How a dispatch ends, and when.
pub struct RunResult {
    pub is_answered: bool,
    pub delay: f64,
    pub ending: DispatchStatus,
    pub found: ReplicaState,
}

struct Executor {
    row: Endpoint,
    hangs: bool,
    is_slow: bool,
    /// Until when a copy of each function stays.
    copies: BTreeMap<u64, f64>,
}

pub struct Fleet {
    executors: Vec<Executor>,
    /// Since when those that hang do: before it they have come to serve functions.
    hangs_from: f64,
}

fn executor_id(number: usize) -> ExecutorId {
    let address = [10, 1, (number / 250) as u8, (number % 250) as u8];
    ExecutorId(address.into(), 7_000)
}

impl Fleet {
    pub fn new(scenario: &Scenario, random: &mut Seeded, now: f64) -> Fleet {
        let executor = |number: usize| Executor {
            row: Endpoint {
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
            hangs: random.chance(scenario.hangs),
            is_slow: random.chance(scenario.slow),
            copies: BTreeMap::new(),
        };
        let executors = (0..scenario.executors).map(executor).collect();
        Fleet {
            executors,
            hangs_from: now + scenario.duration / 4.0,
        }
    }

    /// Every executor that is not gone.
    pub fn rows(&self) -> Vec<Endpoint> {
        let listed = self
            .executors
            .iter()
            .filter(|executor| executor.row.state != EndpointState::Gone);
        listed.map(|executor| executor.row.clone()).collect()
    }

    /// Changes an executor drawn at random; answers with what the list now tells of it.
    pub fn change(&mut self, scenario: &Scenario, random: &mut Seeded, now: f64) -> Endpoint {
        let number = random.below(self.executors.len());
        let executor = &mut self.executors[number];
        executor.row.state = match executor.row.state {
            EndpointState::Ready if random.chance(0.6) => EndpointState::Draining,
            EndpointState::Ready => EndpointState::Gone,
            EndpointState::Draining if random.chance(0.7) => EndpointState::Gone,
            _ => EndpointState::Ready,
        };
        if executor.row.state == EndpointState::Ready && random.chance(scenario.restarts) {
            executor.row.started_at = now - random.unit();
            executor.copies.clear();
        }
        if random.chance(0.1) {
            executor.row.weight = 0.5 + 2.0 * random.unit();
        }
        if executor.row.state == EndpointState::Ready && random.chance(0.1) {
            executor.row.cell += 1;
        }
        executor.row.clone()
    }

    fn get(&mut self, id: ExecutorId) -> &mut Executor {
        let found = self
            .executors
            .iter_mut()
            .find(|executor| executor.row.executor == id);
        found.expect("an executor that no list told")
    }

    /// How many invocations an executor reports waiting.
    pub fn waiting(&mut self, id: ExecutorId, random: &mut Seeded) -> f32 {
        let most = if self.get(id).is_slow { 30.0 } else { 2.0 };
        (most * random.unit()) as f32
    }

    /// Runs a dispatch that arrives at an executor now.
    pub fn run(
        &mut self,
        scenario: &Scenario,
        random: &mut Seeded,
        to: ExecutorId,
        function: u64,
        now: f64,
    ) -> RunResult {
        let hangs_now = now >= self.hangs_from;
        let executor = self.get(to);
        let is_warm = executor
            .copies
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
        if executor.hangs && hangs_now {
            return RunResult {
                is_answered: false,
                delay: 0.0,
                ending: DispatchStatus::TimedOut,
                found: ReplicaState::Unknown,
            };
        }
        if executor.row.state == EndpointState::Gone {
            return RunResult {
                is_answered: true,
                delay: 0.002,
                ending: DispatchStatus::Reset,
                found: ReplicaState::Unknown,
            };
        }
        if let Some((ending, found, delay)) = fault {
            return RunResult {
                is_answered: true,
                delay,
                ending,
                found,
            };
        }
        executor
            .copies
            .insert(function, now + load + work + IDLE_TIME);
        let found = match (is_warm, random.below(3)) {
            (_, 0) => ReplicaState::Unknown,
            (true, _) => ReplicaState::Warm,
            (false, 1) => ReplicaState::JoinedLoad,
            (false, _) => ReplicaState::ColdStart,
        };
        RunResult {
            is_answered: true,
            delay: load + work,
            ending: DispatchStatus::Ok,
            found,
        }
    }

    /// Carries out a command to load at its end.
    pub fn load(
        &mut self,
        scenario: &Scenario,
        random: &mut Seeded,
        to: ExecutorId,
        function: u64,
        now: f64,
    ) -> DispatchStatus {
        let fault = fault(scenario.fault, random);
        let hangs_now = now >= self.hangs_from;
        let executor = self.get(to);
        if executor.hangs && hangs_now {
            return DispatchStatus::TimedOut;
        }
        if executor.row.state == EndpointState::Gone {
            return DispatchStatus::ConnectFailed;
        }
        if let Some((ending, ..)) = fault {
            return ending;
        }
        executor.copies.insert(function, now + IDLE_TIME);
        DispatchStatus::Ok
    }
}

/// A fault with its delay in seconds, each kind with the same probability.
fn fault(probability: f64, random: &mut Seeded) -> Option<(DispatchStatus, ReplicaState, f64)> {
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
