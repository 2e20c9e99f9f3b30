//! The record of one function: its warm replicas, its queue, its placement and its recent traffic.

use super::{
    DecayingSum, ExecutorIndex, ExecutorTable, InvocationIndex, Ranking, WarmReplica,
    WarmReplicaSet,
};
use std::collections::{BTreeMap, BTreeSet};

/// A placement under way: one more replica is being loaded.
#[derive(Clone, Copy)]
pub struct Placement {
    /// Where the replica is loaded.
    pub executor: ExecutorIndex,
    /// Whether a load command loads it. If false, the dispatch of an invocation does.
    pub is_load_command: bool,
    /// When the placement counts as failed, in seconds.
    pub expires_at: f64,
}

/// The executor on which a warm replica of a function was observed last.
#[derive(Clone, Copy)]
pub struct LastWarm {
    /// The executor.
    pub executor: ExecutorIndex,
    /// When it was observed, in seconds.
    pub seen_at: f64,
}

/// A function. Times are in seconds.
#[derive(Default)]
pub struct Function {
    key: u64,
    /// Number of invocations that one replica runs at a time; a whole number of at least one.
    concurrency: f64,
    load_time: f64,
    /// The executors known to have the function loaded.
    warm_replicas: WarmReplicaSet,
    pub(super) waiting: Vec<InvocationIndex>,
    /// The invocations with a dispatch in flight.
    pub(super) in_flight: Vec<InvocationIndex>,
    /// Number of dispatches in flight at each executor.
    pub(super) in_flight_counts: BTreeMap<ExecutorIndex, u32>,
    placement: Option<Placement>,
    /// The executor of the last placement, if that failed.
    last_failed_placement: Option<ExecutorIndex>,
    /// Number of consecutive failed placements.
    consecutive_placement_failures: i32,
    /// The earliest start of the next placement.
    next_placement_at: f64,
    last_warm: Option<LastWarm>,
    /// Whether any executor has served the function.
    was_served: bool,
    /// The executor at which the function failed before any executor had served it.
    unattributed_failure: Option<ExecutorIndex>,
    /// Mean concurrency that executors report for the function, and the number of reports.
    fleet_concurrency: f64,
    concurrency_reports: f64,
    /// This front end's recent invocations of the function.
    arrivals: DecayingSum,
    /// The highest-ranked executors for the function.
    ranking: Ranking,
}

impl Function {
    /// Creates a function that was never invoked. The concurrency is rounded down, to one at least; the load time is
    /// in seconds.
    pub(super) fn new(key: u64, concurrency: f64, load_time: f64) -> Function {
        Function {
            key,
            concurrency: concurrency.max(1.0).floor(),
            load_time,
            ..Function::default()
        }
    }

    /// Returns the key of the function.
    pub fn key(&self) -> u64 {
        self.key
    }

    /// Returns how many invocations one replica runs at a time.
    pub fn concurrency(&self) -> f64 {
        self.concurrency
    }

    /// Returns the invocations that wait for a dispatch, in the order in which they were queued.
    pub fn waiting(&self) -> &[InvocationIndex] {
        &self.waiting
    }

    /// Returns the invocations with a dispatch in flight.
    pub fn in_flight(&self) -> &[InvocationIndex] {
        &self.in_flight
    }

    /// Returns the number of this front end's dispatches of the function in flight at an executor.
    pub fn in_flight_count_at(&self, executor: ExecutorIndex) -> f64 {
        let count = self.in_flight_counts.get(&executor).copied();
        count.unwrap_or_default().into()
    }

    /// Counts an invocation as a recent arrival.
    pub fn record_arrival(&mut self, now: f64, time_constant: f64) {
        self.arrivals.add(1.0, now, time_constant);
    }

    /// Returns the exponentially decayed number of this front end's invocations of the function.
    pub fn recent_arrivals(&self, now: f64, time_constant: f64) -> f64 {
        self.arrivals.at(now, time_constant)
    }

    /// Returns the highest-ranked executors for the function, as many as were ranked so far.
    pub fn ranking(&self) -> &Ranking {
        &self.ranking
    }

    /// Extends the ranking to the first `count` ready executors, or to all if there are fewer.
    pub fn update_ranking(&mut self, executors: &ExecutorTable, count: usize) {
        executors.rank(&mut self.ranking, self.key, count);
    }

    /// Returns the executors known to have the function loaded, including expired replicas.
    pub fn warm_replicas(&self) -> &WarmReplicaSet {
        &self.warm_replicas
    }

    /// Updates the warm replicas with the executor loads that changed. Has to be called before
    /// [`WarmReplicaSet::min_by_score`].
    pub fn refresh_warm_replicas(&mut self, executors: &ExecutorTable) {
        self.warm_replicas.refresh(executors);
    }

    /// Marks the warm replica of an executor as having no capacity.
    pub fn record_full(&mut self, executor: ExecutorIndex) {
        self.warm_replicas.mark_full(executor);
    }

    /// Returns the warm replicas that have not expired at `now`.
    pub fn unexpired_replicas(&self, now: f64) -> impl Iterator<Item = &WarmReplica> + Clone {
        self.warm_replicas
            .iter()
            .filter(move |replica| replica.expires_at > now)
    }

    /// Adds the warm replica of an executor, or renews the one that it has.
    pub fn record_warm(&mut self, executor: ExecutorIndex, now: f64, expires_at: f64) {
        self.last_warm = Some(LastWarm {
            executor,
            seen_at: now,
        });
        self.was_served = true;
        self.warm_replicas.add(executor, expires_at);
    }

    /// Returns whether an executor has a warm replica that has not expired at `now`.
    pub fn is_warm(&self, executor: ExecutorIndex, now: f64) -> bool {
        self.warm_replicas.is_warm(executor, now)
    }

    /// Removes the warm replica of an executor.
    pub fn evict(&mut self, executor: ExecutorIndex) {
        self.warm_replicas.remove(executor);
        self.last_warm.take_if(|last| last.executor == executor);
    }

    /// Removes the warm replicas that have expired.
    pub(super) fn drop_expired(&mut self, now: f64) {
        self.warm_replicas
            .retain(|replica| replica.expires_at > now);
    }

    /// Removes the warm replicas of some executors.
    pub(super) fn evict_executors(&mut self, evicted: &BTreeSet<ExecutorIndex>) {
        self.warm_replicas
            .retain(|replica| !evicted.contains(&replica.executor));
        self.last_warm
            .take_if(|last| evicted.contains(&last.executor));
    }

    /// Removes the references to executors that are about to be removed from the executor table, except for warm
    /// replicas, which [`evict_executors`](Function::evict_executors) removes.
    pub(super) fn remove_references(&mut self, removed: &BTreeSet<ExecutorIndex>) {
        self.placement
            .take_if(|placement| removed.contains(&placement.executor));
        self.last_failed_placement
            .take_if(|executor| removed.contains(executor));
        self.unattributed_failure
            .take_if(|executor| removed.contains(executor));
        self.last_warm
            .take_if(|last| removed.contains(&last.executor));
    }

    /// Returns the executor on which a warm replica was observed last.
    pub fn last_warm(&self) -> Option<LastWarm> {
        self.last_warm
    }

    /// Returns whether any executor has served the function.
    pub fn was_served(&self) -> bool {
        self.was_served
    }

    /// Records a failure at an executor before any executor has served the function. The function may be at fault as
    /// well as the executor.
    pub fn record_unattributed_failure(&mut self, executor: ExecutorIndex) {
        self.unattributed_failure = Some(executor);
    }

    /// Removes the recorded unattributed failure and returns its executor, unless that is `served_by`, the executor
    /// that has now served the function.
    pub fn take_unattributed_failure(&mut self, served_by: ExecutorIndex) -> Option<ExecutorIndex> {
        self.unattributed_failure
            .take_if(|failed| *failed != served_by)
    }

    /// Returns the mean concurrency that executors report for the function; 0 without reports.
    pub fn fleet_concurrency(&self) -> f64 {
        self.fleet_concurrency
    }

    /// Adds a report to the mean concurrency with a weight from 0 to 1, or with 1/n for the n-th report if that is
    /// more.
    pub fn record_fleet_concurrency(&mut self, concurrency: f64, weight: f64) {
        self.concurrency_reports += 1.0;
        let weight = weight.max(1.0 / self.concurrency_reports);
        self.fleet_concurrency += weight * (concurrency - self.fleet_concurrency);
    }

    /// Returns the placement under way.
    pub fn placement(&self) -> Option<Placement> {
        self.placement
    }

    /// Returns the executor of the last placement if that failed.
    pub fn last_failed_placement(&self) -> Option<ExecutorIndex> {
        self.last_failed_placement
    }

    /// Returns the earliest start of the next placement.
    pub fn next_placement_at(&self) -> f64 {
        self.next_placement_at
    }

    /// Sets the earliest start of the next placement.
    pub fn delay_placement_until(&mut self, at: f64) {
        self.next_placement_at = at;
    }

    /// Starts a placement, which counts as failed after `load_times` times the function's load time.
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

    /// Ends the placement of that kind at an executor, if one is under way. Returns the number of consecutive failed
    /// placements if this one failed.
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
            self.last_failed_placement = None;
            self.consecutive_placement_failures = 0;
            return None;
        }
        self.last_failed_placement = Some(executor);
        self.consecutive_placement_failures += 1;
        Some(self.consecutive_placement_failures)
    }

    /// Returns when the function was last invoked, in seconds.
    pub(super) fn last_invoked_at(&self) -> f64 {
        self.arrivals.updated_at()
    }

    /// Returns whether the function has no open invocations, and no placement that can still succeed in time.
    pub(super) fn is_idle(&self, now: f64) -> bool {
        let is_placed = self
            .placement
            .is_some_and(|placement| placement.expires_at > now);
        self.waiting.is_empty() && self.in_flight.is_empty() && !is_placed
    }

    /// Returns whether the function has no invocations, placement or warm replicas and was last invoked before `since`.
    pub(super) fn is_unused(&self, since: f64, now: f64) -> bool {
        self.is_idle(now) && self.warm_replicas.is_empty() && self.last_invoked_at() < since
    }
}
