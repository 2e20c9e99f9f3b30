//! The record of one function: its warm replicas, its queue, its placement, and what was seen of its traffic.

use super::{
    DecayingSum, ExecutorIndex, ExecutorTable, InvocationIndex, Ranking, WarmReplica,
    WarmReplicaSet,
};
use std::collections::{BTreeMap, BTreeSet};

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
    warm_replicas: WarmReplicaSet,
    pub(super) waiting: Vec<InvocationIndex>,
    /// Invocations with a dispatch in flight.
    pub(super) in_flight: Vec<InvocationIndex>,
    /// How many dispatches are in flight at each executor.
    pub(super) in_flight_counts: BTreeMap<ExecutorIndex, u32>,
    placement: Option<Placement>,
    /// Where the last placement failed.
    failed_at: Option<ExecutorIndex>,
    /// Placements that failed in a row.
    failed_placements: i32,
    /// No placement is started before.
    next_placement_at: f64,
    last_warm: Option<LastWarm>,
    /// Whether an executor was ever seen to serve it.
    was_served: bool,
    /// Where it failed before any executor was seen to serve it.
    unattributed_failure: Option<ExecutorIndex>,
    /// Mean of the reported concurrency over the fleet, and the number of reports.
    fleet_concurrency: f64,
    concurrency_reports: f64,
    /// This front end's recent invocations of it.
    arrivals: DecayingSum,
    /// The executors that come first for it.
    ranking: Ranking,
}

impl Function {
    /// A function that was never invoked. Its concurrency is rounded down, to one at least; its load time is in
    /// seconds.
    pub(super) fn new(key: u64, concurrency: f64, load_time: f64) -> Function {
        Function {
            key,
            concurrency: concurrency.max(1.0).floor(),
            load_time,
            ..Function::default()
        }
    }

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
    pub fn in_flight_count_at(&self, executor: ExecutorIndex) -> f64 {
        let count = self.in_flight_counts.get(&executor).copied();
        count.unwrap_or_default().into()
    }

    /// Adds an invocation of it to the recent ones.
    pub fn record_arrival(&mut self, now: f64, time_constant: f64) {
        self.arrivals.add(1.0, now, time_constant);
    }

    /// This front end's recent invocations of it.
    pub fn recent_arrivals(&self, now: f64, time_constant: f64) -> f64 {
        self.arrivals.at(now, time_constant)
    }

    /// The executors that come first for it, as many as were ranked.
    pub fn ranking(&self) -> &Ranking {
        &self.ranking
    }

    /// Makes sure that the ranking has the first `count` ready executors, or all there are.
    pub fn update_ranking(&mut self, executors: &ExecutorTable, count: usize) {
        executors.rank(&mut self.ranking, self.key, count);
    }

    /// The executors known to have it loaded, the expired ones included.
    pub fn warm_replicas(&self) -> &WarmReplicaSet {
        &self.warm_replicas
    }

    /// Takes the loads of executors that changed into the warm replicas. It has to be called before a search.
    pub fn refresh_warm_replicas(&mut self, executors: &ExecutorTable) {
        self.warm_replicas.refresh(executors);
    }

    /// Notes that an executor has no capacity for it.
    pub fn record_full(&mut self, executor: ExecutorIndex) {
        self.warm_replicas.set_full(executor);
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

    /// Drops the warm replicas that have expired.
    pub(super) fn drop_expired(&mut self, now: f64) {
        self.warm_replicas
            .retain(|replica| replica.expires_at > now);
    }

    /// Drops the warm replicas of some executors.
    pub(super) fn evict_executors(&mut self, evicted: &BTreeSet<ExecutorIndex>) {
        self.warm_replicas
            .retain(|replica| !evicted.contains(&replica.executor));
        self.last_warm
            .take_if(|last| evicted.contains(&last.executor));
    }

    /// Drops whatever refers to executors that are forgotten.
    pub(super) fn forget_executors(&mut self, forgotten: &BTreeSet<ExecutorIndex>) {
        self.placement
            .take_if(|placement| forgotten.contains(&placement.executor));
        self.failed_at
            .take_if(|executor| forgotten.contains(executor));
        self.unattributed_failure
            .take_if(|executor| forgotten.contains(executor));
        self.last_warm
            .take_if(|last| forgotten.contains(&last.executor));
    }

    /// The executor last seen to have it loaded.
    pub fn last_warm(&self) -> Option<LastWarm> {
        self.last_warm
    }

    /// Whether an executor was ever seen to serve it.
    pub fn was_served(&self) -> bool {
        self.was_served
    }

    /// Notes that it failed at an executor before any was seen to serve it.
    pub fn record_unattributed_failure(&mut self, executor: ExecutorIndex) {
        self.unattributed_failure = Some(executor);
    }

    /// Takes out where it failed before any executor was seen to serve it, if that is not at `server`, which serves it.
    pub fn take_unattributed_failure(&mut self, server: ExecutorIndex) -> Option<ExecutorIndex> {
        self.unattributed_failure
            .take_if(|failed_at| *failed_at != server)
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
    pub fn last_failed_placement(&self) -> Option<ExecutorIndex> {
        self.failed_at
    }

    /// No placement is started before.
    pub fn next_placement_at(&self) -> f64 {
        self.next_placement_at
    }

    /// Has no placement start before a time.
    pub fn delay_placement_until(&mut self, at: f64) {
        self.next_placement_at = at;
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

    /// Whether nothing refers to it and it was not invoked since a moment.
    pub(super) fn is_unused(&self, since: f64) -> bool {
        self.waiting.is_empty()
            && self.in_flight.is_empty()
            && self.placement.is_none()
            && self.warm_replicas.is_empty()
            && self.arrivals.updated_at() < since
    }
}
