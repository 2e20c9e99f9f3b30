//! Executors of a play: what is loaded where, who answers how, and what the endpoint list tells of them.

use crate::scenarios::Scenario;
use crate::seeded::Seeded;
use orchidtally_dispatch_policy::interface::{Ending, ExecutorId, Found, RosterRow, Standing};
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
    pub ending: Ending,
    pub found: Found,
}

struct Executor {
    row: RosterRow,
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
            row: RosterRow {
                executor: executor_id(number),
                zone: (number % scenario.zones) as u8,
                kind: (number / 2 % scenario.kinds) as u8,
                cell: (number / 3) as u16,
                standing: Standing::Ready,
                weight: 1.0 + (number % 3) as f64,
                since: if random.chance(0.2) {
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
    pub fn rows(&self) -> Vec<RosterRow> {
        let listed = self
            .executors
            .iter()
            .filter(|executor| executor.row.standing != Standing::Gone);
        listed.map(|executor| executor.row.clone()).collect()
    }

    /// Changes an executor drawn at random; answers with what the list now tells of it.
    pub fn change(&mut self, scenario: &Scenario, random: &mut Seeded, now: f64) -> RosterRow {
        let number = random.below(self.executors.len());
        let executor = &mut self.executors[number];
        executor.row.standing = match executor.row.standing {
            Standing::Ready if random.chance(0.6) => Standing::Draining,
            Standing::Ready => Standing::Gone,
            Standing::Draining if random.chance(0.7) => Standing::Gone,
            _ => Standing::Ready,
        };
        if executor.row.standing == Standing::Ready && random.chance(scenario.restarts) {
            executor.row.since = now - random.unit();
            executor.copies.clear();
        }
        if random.chance(0.1) {
            executor.row.weight = 0.5 + 2.0 * random.unit();
        }
        if executor.row.standing == Standing::Ready && random.chance(0.1) {
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
                ending: Ending::TimedOut,
                found: Found::Untold,
            };
        }
        if executor.row.standing == Standing::Gone {
            return RunResult {
                is_answered: true,
                delay: 0.002,
                ending: Ending::Reset,
                found: Found::Untold,
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
            (_, 0) => Found::Untold,
            (true, _) => Found::Warm,
            (false, 1) => Found::Waited,
            (false, _) => Found::Loaded,
        };
        RunResult {
            is_answered: true,
            delay: load + work,
            ending: Ending::Ok,
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
    ) -> Ending {
        let fault = fault(scenario.fault, random);
        let hangs_now = now >= self.hangs_from;
        let executor = self.get(to);
        if executor.hangs && hangs_now {
            return Ending::TimedOut;
        }
        if executor.row.standing == Standing::Gone {
            return Ending::ConnectFailed;
        }
        if let Some((ending, ..)) = fault {
            return ending;
        }
        executor.copies.insert(function, now + IDLE_TIME);
        Ending::Ok
    }
}

/// A fault with its delay in seconds, each kind with the same probability.
fn fault(probability: f64, random: &mut Seeded) -> Option<(Ending, Found, f64)> {
    const FAULTS: [(Ending, Found, f64); 6] = [
        (Ending::Error, Found::Untold, 0.05),
        (Ending::Error, Found::LoadFailed, 0.4),
        (Ending::Full, Found::Untold, 0.004),
        (Ending::Reset, Found::Untold, 0.08),
        (Ending::ConnectFailed, Found::Untold, 0.001),
        (Ending::Miss, Found::Untold, 0.003),
    ];
    let drawn = random.unit() / probability.max(1e-12);
    FAULTS.get(drawn as usize).copied()
}
