//! Placement of a further replica: which executor loads a function, one placement at a time, with backoff after a
//! failed one.

use super::Dispatcher;
use super::concurrency_limit::Capacity;
use crate::interface::Actions;
use crate::state::{ExecutorIndex, FunctionIndex, InvocationIndex, WarmReplica, draw_two};

/// No replica is placed while another one with a free slot is at most this many times as loaded as the target.
const MAX_LOAD_RATIO: f64 = 3.0;
/// How many times less loaded the second of two drawn executors has to be, at the least and for each load that
/// executors have under way or waiting in the mean.
const MIN_SECOND_RATIO: f64 = 1.5;
const SECOND_RATIO_PER_LOAD: f64 = 0.5;
/// Backoff after a failed placement in seconds, and its growth with each that fails in a row.
const INITIAL_BACKOFF: f64 = 0.1;
const BACKOFF_GROWTH: f64 = 1.1;
/// A placement fails after so many load times of its function.
const TIMEOUT_LOAD_TIMES: f64 = 5.0;
/// Load time in seconds where none is known.
pub(super) const DEFAULT_LOAD_TIME: f64 = 1.0;
/// Load commands of at least this cost, in invocations, are not worth it: the invocation itself is the placement.
const MAX_LOAD_COMMAND_COST: f64 = 0.02;
/// Executors that are compared at the least.
const MIN_CANDIDATES: f64 = 2.0;

/// What a placement is for, and what follows for its target.
struct PlacementRequest {
    function: FunctionIndex,
    /// The invocation that waits for it; `None` for a prewarmed replica.
    invocation: Option<InvocationIndex>,
    /// Only executors of the own region are taken.
    is_regional: bool,
}

impl Dispatcher {
    /// Rule: with no free slot at a warm replica, places one further replica, one placement at a time.
    pub(super) fn start_placement(
        &mut self,
        function: FunctionIndex,
        actions: &mut dyn Actions,
    ) -> bool {
        if self.workload.functions[function].placement().is_some() {
            return self.expire_placement(function);
        }
        let Some(invocation) = self.next_invocation_to_place(function) else {
            return false;
        };
        let Some(target) = self.placement_target(function, Some(invocation)) else {
            return false;
        };
        if self.has_replica_to_wait_for(function, invocation, target) {
            return false;
        }
        let Some(is_load_command) = self.load_replica(function, invocation, target, actions) else {
            return false;
        };
        self.begin_placement(function, target, is_load_command);
        true
    }

    /// Notes that a placement is under way.
    pub(super) fn begin_placement(
        &mut self,
        function: FunctionIndex,
        target: ExecutorIndex,
        is_load_command: bool,
    ) {
        self.workload.functions[function].begin_placement(
            target,
            is_load_command,
            self.now,
            TIMEOUT_LOAD_TIMES,
        );
    }

    /// Ends the placement under way as failed, if it took too long or its executor is no longer to be relied on.
    fn expire_placement(&mut self, function: FunctionIndex) -> bool {
        let Some(placement) = self.workload.functions[function].placement() else {
            return false;
        };
        let executor = &self.executors[placement.executor];
        if executor.is_ready() && !executor.is_ejected() && self.now < placement.expires_at {
            return false;
        }
        self.finish_placement(
            function,
            placement.executor,
            placement.is_load_command,
            false,
        );
        true
    }

    /// Ends a placement. Only a failed one is tried again, after a backoff.
    pub(super) fn finish_placement(
        &mut self,
        function: FunctionIndex,
        executor: ExecutorIndex,
        is_load_command: bool,
        has_succeeded: bool,
    ) {
        let record = &mut self.workload.functions[function];
        if let Some(failures) = record.end_placement(executor, is_load_command, has_succeeded) {
            let backoff = INITIAL_BACKOFF * BACKOFF_GROWTH.powi(failures - 1);
            record.delay_placement_until(self.now + backoff);
        }
    }

    /// The waiting invocation that a replica is placed for: the oldest one that may run anywhere, else the oldest one
    /// that is bound to its deduplication scope.
    ///
    /// Failure mode: an invocation waits within its scope for a replica that nobody loads.
    /// Risk: a load for a single invocation.
    fn next_invocation_to_place(&self, function: FunctionIndex) -> Option<InvocationIndex> {
        let record = &self.workload.functions[function];
        if self.now < record.next_placement_at() {
            return None;
        }
        let is_unbound = |&&index: &&InvocationIndex| {
            let has_run = self.workload.invocations[index].possible_execution();
            has_run.is_none() || self.is_idempotent(index)
        };
        let waiting = record.waiting();
        waiting.iter().find(is_unbound).or(waiting.first()).copied()
    }

    /// Whether a function that has its replicas has one with a free slot that is not much more loaded than the
    /// target of a placement. An expired one doesn't count: with many functions it is long until they are swept.
    ///
    /// Failure mode: replicas are loaded for what only crowding delays.
    /// Risk: an invocation waits at a replica that is slower than it looks.
    fn has_replica_to_wait_for(
        &self,
        function: FunctionIndex,
        invocation: InvocationIndex,
        target: ExecutorIndex,
    ) -> bool {
        if !self.has_desired_replicas(function) {
            return false;
        }
        let max_score = MAX_LOAD_RATIO * self.load_score_of(target);
        let trigger_type = self.workload.invocations[invocation].trigger_type();
        let work = self.baseline.latency(trigger_type);
        let is_usable = |replica: &WarmReplica| {
            let executor = replica.executor;
            !self.executors[executor].is_ejected()
                && self.has_free_slot(function, replica)
                && self.load_score_of(executor) < max_score
                && self.has_slow_start_budget(executor, work)
                && self.may_repeat(invocation, executor, None)
        };
        let mut replicas = self.workload.functions[function].unexpired_replicas(self.now);
        replicas.any(is_usable)
    }

    /// Has a function loaded for an invocation, by a load command where that is worth it, else by dispatching the
    /// invocation. Returns whether it was by a load command; `None` if nothing was sent.
    fn load_replica(
        &mut self,
        function: FunctionIndex,
        invocation: InvocationIndex,
        target: ExecutorIndex,
        actions: &mut dyn Actions,
    ) -> Option<bool> {
        let allows_load_commands = self.config.allows_load_commands;
        let needs_load_command = self.config.rejects_unloaded;
        let is_worth_it =
            needs_load_command || self.config.load_command_cost < MAX_LOAD_COMMAND_COST;
        if allows_load_commands && is_worth_it && self.command_load(function, target, actions) {
            return Some(true);
        }
        if allows_load_commands && needs_load_command {
            return None;
        }
        self.dispatch(invocation, target, true, actions)
            .then_some(false)
    }

    /// The executor for a further replica: the last one known to be warm, else the less loaded of two, drawn by the
    /// function's key. All front ends draw the same and so share the replica that one has loaded.
    pub(super) fn placement_target(
        &mut self,
        function: FunctionIndex,
        invocation: Option<InvocationIndex>,
    ) -> Option<ExecutorIndex> {
        // An invocation that may have run is bound to its deduplication scope, wherever that is.
        let is_bound = invocation.is_some_and(|index| {
            let has_run = self.workload.invocations[index].possible_execution();
            has_run.is_some() && !self.is_idempotent(index)
        });
        let candidates = self.desired_replicas(function).max(MIN_CANDIDATES) as usize;
        self.rank_candidates(function, candidates, is_bound);
        let request = PlacementRequest {
            function,
            invocation,
            is_regional: !is_bound && self.prefers_own_region(function),
        };
        self.last_warm_target(&request)
            .or_else(|| self.less_loaded_target(&request, candidates))
    }

    /// Makes sure that the function's ranking has so many executors that fit. These are among as many and those that
    /// don't fit. For an invocation that is bound that can be any number: all are ranked. That has to stay rare, and
    /// does: replicas known in its scope come first.
    fn rank_candidates(&mut self, function: FunctionIndex, candidates: usize, is_bound: bool) {
        let any_may_be_ineligible = is_bound || !self.endpoint_view.is_fresh(self.now);
        let max_ineligible = if any_may_be_ineligible {
            self.executors.ready_count()
        } else {
            self.executors.ejected_upper_bound()
        };
        let record = &mut self.workload.functions[function];
        let count = candidates + record.warm_replicas().len() + 1 + max_ineligible;
        record.update_ranking(&self.executors, count);
    }

    fn last_warm_target(&self, request: &PlacementRequest) -> Option<ExecutorIndex> {
        let last = self.workload.functions[request.function].last_warm()?;
        let is_loaded = self.now < last.seen_at + self.config.keep_alive;
        (is_loaded && self.is_eligible(request, last.executor)).then_some(last.executor)
    }

    /// The less loaded of two executors drawn from those that fit and have capacity.
    ///
    /// Failure mode: front ends whose executors' reports differ each have a replica loaded, while executors load all
    /// they can.
    /// Risk: the more loaded of two executors is taken.
    fn less_loaded_target(
        &mut self,
        request: &PlacementRequest,
        candidates: usize,
    ) -> Option<ExecutorIndex> {
        // Where all are at their limits the placement waits: a replica elsewhere serves one front end only.
        let fraction = request
            .invocation
            .map_or(1.0, |index| self.capacity_fraction(index));
        let capacity = self.capacity(fraction);
        let with_capacity = self.workload.functions[request.function]
            .ranking()
            .iter()
            .filter(|&executor| self.is_eligible(request, executor))
            .take(candidates)
            .filter(|&executor| self.can_take_placement(request, executor, capacity))
            .collect();
        let drawn = draw_two(with_capacity, || self.random.next_f64());
        let pending_loads = self.load_score.mean_pending_loads(self.now);
        let ratio = MIN_SECOND_RATIO + SECOND_RATIO_PER_LOAD * pending_loads;
        drawn.into_iter().reduce(|first, second| {
            if ratio * self.load_score_of(second) < self.load_score_of(first) {
                second
            } else {
                first
            }
        })
    }

    /// Whether a request may be placed at an executor, whatever its load.
    fn is_eligible(&self, request: &PlacementRequest, executor: ExecutorIndex) -> bool {
        (!request.is_regional || self.executors.is_in_own_region(executor))
            && self.may_place(request.function, executor)
            && !self.workload.functions[request.function].is_warm(executor, self.now)
            && request
                .invocation
                .is_none_or(|index| self.may_repeat(index, executor, None))
    }

    fn can_take_placement(
        &self,
        request: &PlacementRequest,
        executor: ExecutorIndex,
        capacity: Capacity,
    ) -> bool {
        // Most of a large fleet are idle and warm: nothing else has to be looked at.
        let is_idle_and_warm = capacity.admits_idle()
            && self.executors.all_are_warm()
            && self.executors[executor].is_idle();
        is_idle_and_warm
            || self.has_capacity(executor, capacity)
                && request.invocation.is_none_or(|index| {
                    let trigger_type = self.workload.invocations[index].trigger_type();
                    self.has_slow_start_budget(executor, self.baseline.latency(trigger_type))
                })
    }

    /// Whether a replica may be placed at an executor. The one where the last placement failed is left out while
    /// another one can be expected to do better.
    ///
    /// Failure mode: an executor that rejected a placement for a moment is shut out for good, though it is the only
    /// one.
    /// Risk: it is asked again, which the backoff between placements delays.
    fn may_place(&self, function: FunctionIndex, executor: ExecutorIndex) -> bool {
        let has_failed_last =
            self.workload.functions[function].last_failed_placement() == Some(executor);
        self.accepts_work(executor)
            && !self.executors[executor].is_ejected()
            && !(has_failed_last && self.has_better_candidate(executor))
    }

    fn has_better_candidate(&self, executor: ExecutorIndex) -> bool {
        self.executors.indices().any(|other| {
            let record = &self.executors[other];
            other != executor
                && self.accepts_work(other)
                && !record.is_ejected()
                && !self.slow_start.has_failed_recently(record, self.now)
        })
    }

    /// Whether the own region has an executor to place a function at: none elsewhere is taken then.
    ///
    /// Failure mode: regions are cut off from each other, and functions placed in another one.
    /// Risk: the region has less capacity than traffic.
    pub(super) fn prefers_own_region(&self, function: FunctionIndex) -> bool {
        self.executors
            .ready_in_own_region()
            .iter()
            .any(|&executor| self.may_place(function, executor))
    }
}
