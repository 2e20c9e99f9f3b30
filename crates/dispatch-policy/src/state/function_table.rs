//! The functions that this front end serves.

use super::{DecayingSum, ExecutorIndex, InvocationIndex, Ranking, WarmReplicaSet};
use super::{FunctionIndex, WarmReplica};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::{Index, IndexMut};

/// A sweep looks at one of so many functions, and at a minimum of functions.
const SWEEP_FRACTION: usize = 64;
const MIN_SWEPT: usize = 16;

/// A placement that is under way: the load of a further replica.
#[derive(Clone, Copy)]
pub struct Placement {
    /// Where the replica is loaded.
    pub executor: ExecutorIndex,
    /// Whether it is loaded by a load command; else by the dispatch of an invocation.
    pub is_load_command: bool,
    /// When it counts as failed, in seconds.
    pub expires_at: f64,
}

/// The executor last seen to have a function loaded.
#[derive(Clone, Copy)]
pub struct LastWarm {
    /// The executor.
    pub executor: ExecutorIndex,
    /// When it was seen, in seconds.
    pub seen_at: f64,
}

/// A function. Times are in seconds.
#[derive(Default)]
pub struct Function {
    key: u64,
    /// Invocations that one replica runs at a time; a whole number of at least one.
    concurrency: f64,
    load_time: f64,
    /// The executors known to have it loaded.
    pub warm_replicas: WarmReplicaSet,
    pub(super) waiting: Vec<InvocationIndex>,
    /// Invocations with a dispatch in flight.
    pub(super) in_flight: Vec<InvocationIndex>,
    /// How many dispatches are in flight at each executor.
    pub(super) in_flight_at: BTreeMap<ExecutorIndex, u32>,
    placement: Option<Placement>,
    /// Where the last placement failed.
    failed_at: Option<ExecutorIndex>,
    /// Placements that failed in a row.
    failed_placements: i32,
    /// No placement is started before.
    pub next_placement_at: f64,
    last_warm: Option<LastWarm>,
    /// Whether an executor was ever seen to serve it.
    was_served: bool,
    /// Where it failed before any executor was seen to serve it.
    pub unproven_failure_at: Option<ExecutorIndex>,
    /// Mean of the reported concurrency over the fleet, and the number of reports.
    fleet_concurrency: f64,
    concurrency_reports: f64,
    /// This front end's recent invocations of it.
    pub arrivals: DecayingSum,
    /// The executors that come first for it.
    pub ranking: Ranking,
}

impl Function {
    /// Key of the function.
    pub fn key(&self) -> u64 {
        self.key
    }

    /// Invocations that one replica runs at a time.
    pub fn concurrency(&self) -> f64 {
        self.concurrency
    }

    /// The invocations that wait for a dispatch, oldest first.
    pub fn waiting(&self) -> &[InvocationIndex] {
        &self.waiting
    }

    /// The invocations with a dispatch in flight.
    pub fn in_flight(&self) -> &[InvocationIndex] {
        &self.in_flight
    }

    /// This front end's dispatches of the function in flight at an executor.
    pub fn in_flight_at(&self, executor: ExecutorIndex) -> f64 {
        let count = self.in_flight_at.get(&executor).copied();
        count.unwrap_or_default().into()
    }

    /// The warm replicas that are relied on at a time.
    pub fn unexpired_replicas(&self, now: f64) -> impl Iterator<Item = &WarmReplica> + Clone {
        self.warm_replicas
            .iter()
            .filter(move |replica| replica.expires_at > now)
    }

    /// Adds or renews a warm replica.
    pub fn record_warm(&mut self, executor: ExecutorIndex, now: f64, expires_at: f64) {
        self.last_warm = Some(LastWarm {
            executor,
            seen_at: now,
        });
        self.was_served = true;
        self.warm_replicas.add(executor, expires_at);
    }

    /// Whether an executor is known to have the function loaded.
    pub fn is_warm(&self, executor: ExecutorIndex, now: f64) -> bool {
        self.warm_replicas.is_warm(executor, now)
    }

    /// Drops the warm replica of an executor.
    pub fn evict(&mut self, executor: ExecutorIndex) {
        self.warm_replicas.remove(executor);
        self.last_warm.take_if(|last| last.executor == executor);
    }

    /// The executor last seen to have it loaded.
    pub fn last_warm(&self) -> Option<LastWarm> {
        self.last_warm
    }

    /// Whether an executor was ever seen to serve it.
    pub fn was_served(&self) -> bool {
        self.was_served
    }

    /// Mean of the reported concurrency over the fleet; 0 without reports.
    pub fn fleet_concurrency(&self) -> f64 {
        self.fleet_concurrency
    }

    /// Takes a report into that mean by a weight; the first reports weigh more.
    pub fn record_fleet_concurrency(&mut self, concurrency: f64, weight: f64) {
        self.concurrency_reports += 1.0;
        let weight = weight.max(1.0 / self.concurrency_reports);
        self.fleet_concurrency += weight * (concurrency - self.fleet_concurrency);
    }

    /// The placement under way.
    pub fn placement(&self) -> Option<Placement> {
        self.placement
    }

    /// Where the last placement failed.
    pub fn last_placement_failed_at(&self) -> Option<ExecutorIndex> {
        self.failed_at
    }

    /// Notes that a placement is under way, which may take as long as so many loads.
    pub fn begin_placement(
        &mut self,
        executor: ExecutorIndex,
        is_load_command: bool,
        now: f64,
        load_times: f64,
    ) {
        self.placement = Some(Placement {
            executor,
            is_load_command,
            expires_at: now + load_times * self.load_time,
        });
    }

    /// Ends the placement of that kind at an executor, if one is under way. Returns the number of placements that
    /// failed in a row, if this one failed.
    pub fn end_placement(
        &mut self,
        executor: ExecutorIndex,
        is_load_command: bool,
        has_succeeded: bool,
    ) -> Option<i32> {
        self.placement.take_if(|placement| {
            placement.executor == executor && placement.is_load_command == is_load_command
        })?;
        if has_succeeded {
            self.failed_at = None;
            self.failed_placements = 0;
            return None;
        }
        self.failed_at = Some(executor);
        self.failed_placements += 1;
        Some(self.failed_placements)
    }

    fn is_unused(&self, since: f64) -> bool {
        self.waiting.is_empty()
            && self.in_flight.is_empty()
            && self.placement.is_none()
            && self.warm_replicas.is_empty()
            && self.arrivals.updated_at() < since
    }
}

/// The functions, by their dense indices.
#[derive(Default)]
pub struct FunctionTable {
    functions: Vec<Function>,
    by_key: HashMap<u64, FunctionIndex>,
    free: Vec<FunctionIndex>,
    pub(super) with_waiting: BTreeSet<FunctionIndex>,
    /// Where the next sweep goes on.
    sweep_position: usize,
}

impl Index<FunctionIndex> for FunctionTable {
    type Output = Function;

    fn index(&self, function: FunctionIndex) -> &Function {
        &self.functions[function.position()]
    }
}

impl IndexMut<FunctionIndex> for FunctionTable {
    fn index_mut(&mut self, function: FunctionIndex) -> &mut Function {
        &mut self.functions[function.position()]
    }
}

impl FunctionTable {
    /// Slots of functions, the free ones included.
    pub fn len(&self) -> usize {
        self.functions.len()
    }

    /// Whether there is no slot.
    pub fn is_empty(&self) -> bool {
        self.functions.is_empty()
    }

    /// Number of functions.
    pub fn used(&self) -> usize {
        self.by_key.len()
    }

    /// The function of a key.
    pub fn find(&self, key: u64) -> Option<FunctionIndex> {
        self.by_key.get(&key).copied()
    }

    /// The function of a key, which is added where it is new. Its concurrency is rounded down, to one at least; its
    /// load time is in seconds.
    pub fn find_or_insert(&mut self, key: u64, concurrency: f64, load_time: f64) -> FunctionIndex {
        *self.by_key.entry(key).or_insert_with(|| {
            let function = Function {
                key,
                concurrency: concurrency.max(1.0).floor(),
                load_time,
                ..Function::default()
            };
            match self.free.pop() {
                Some(index) => {
                    self.functions[index.position()] = function;
                    index
                }
                None => {
                    self.functions.push(function);
                    FunctionIndex::new(self.functions.len() - 1)
                }
            }
        })
    }

    /// The functions with invocations waiting.
    pub fn with_waiting(&self) -> &BTreeSet<FunctionIndex> {
        &self.with_waiting
    }

    /// Drops expired replicas, and functions that were not used since a moment, of a part of the functions at a
    /// time.
    pub fn sweep(&mut self, unused_since: f64, now: f64) {
        let swept = (self.functions.len() / SWEEP_FRACTION)
            .max(MIN_SWEPT)
            .min(self.functions.len());
        for _ in 0..swept {
            self.sweep_position = (self.sweep_position + 1) % self.functions.len();
            let index = FunctionIndex::new(self.sweep_position);
            let function = &mut self.functions[self.sweep_position];
            function
                .warm_replicas
                .retain(|replica| replica.expires_at > now);
            let is_listed = self.by_key.get(&function.key) == Some(&index);
            if is_listed && function.is_unused(unused_since) {
                self.by_key.remove(&function.key);
                *function = Function::default();
                self.free.push(index);
            }
        }
    }

    /// Drops the warm replicas of some executors.
    pub fn evict_executors(&mut self, evicted: &[ExecutorIndex]) {
        if evicted.is_empty() {
            return;
        }
        let evicted: BTreeSet<ExecutorIndex> = evicted.iter().copied().collect();
        for function in &mut self.functions {
            function
                .warm_replicas
                .retain(|replica| !evicted.contains(&replica.executor));
            function
                .last_warm
                .take_if(|last| evicted.contains(&last.executor));
        }
    }

    /// Drops whatever refers to executors that are forgotten.
    pub fn forget_executors(&mut self, forgotten: &[ExecutorIndex]) {
        if forgotten.is_empty() {
            return;
        }
        let forgotten: BTreeSet<ExecutorIndex> = forgotten.iter().copied().collect();
        for function in &mut self.functions {
            function
                .placement
                .take_if(|placement| forgotten.contains(&placement.executor));
            function
                .failed_at
                .take_if(|executor| forgotten.contains(executor));
            function
                .unproven_failure_at
                .take_if(|executor| forgotten.contains(executor));
            function
                .last_warm
                .take_if(|last| forgotten.contains(&last.executor));
        }
    }
}
