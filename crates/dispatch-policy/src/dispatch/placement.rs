//! Placement of additional replicas: selects the executor that loads a function. Each function has at most one
//! placement in progress, and a failed placement is followed by a backoff.

use super::Dispatcher;
use super::concurrency_limit::Capacity;
use crate::interface::Actions;
use crate::state::{ExecutorIndex, FunctionIndex, InvocationIndex, WarmReplica, draw_two};

/// No replica is placed while an existing one with a free slot has at most this multiple of the target's load score.
const MAX_LOAD_RATIO: f64 = 3.0;
/// The second of two drawn executors is selected if the load score of the first exceeds a multiple of its score. The
/// multiple is this minimum, increased for each load that executors have in progress or waiting on average.
const MIN_SECOND_RATIO: f64 = 1.5;
const SECOND_RATIO_PER_LOAD: f64 = 0.5;
/// Initial backoff after a failed placement in seconds, and its growth factor for each consecutive failure.
const INITIAL_BACKOFF: f64 = 0.1;
const BACKOFF_GROWTH: f64 = 1.1;
/// Timeout of a placement, in load times of its function.
const TIMEOUT_LOAD_TIMES: f64 = 5.0;
/// Load time in seconds if none is known.
pub(super) const DEFAULT_LOAD_TIME: f64 = 1.0;
/// Cost in invocations from which load commands are too expensive. The invocation itself is then dispatched to the
/// target of the placement.
const MAX_LOAD_COMMAND_COST: f64 = 0.02;
/// Minimum number of executors that are compared.
const MIN_CANDIDATES: f64 = 2.0;

/// Purpose of a placement and the resulting restrictions on its target.
struct PlacementRequest {
    function: FunctionIndex,
    /// The invocation that waits for the replica; `None` for a prewarmed replica.
    invocation: Option<InvocationIndex>,
    /// Whether the target must be in the front end's own region.
    is_regional: bool,
}

impl Dispatcher {
    /// Rule: places one additional replica if no warm replica has a free slot and no placement is in progress. Returns
    /// whether a placement was started or has failed.
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

    /// Records that a placement is in progress.
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

    /// Fails the placement in progress if it has timed out or its executor is not ready or is ejected. Returns whether
    /// it failed.
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

    /// Ends a placement. A failed placement is retried after a backoff.
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

    /// Returns the waiting invocation for which a replica is placed: the oldest that may run anywhere, else the oldest
    /// that is bound to its deduplication scope.
    ///
    /// Failure mode: an invocation waits within its scope for a replica that no front end loads.
    /// Risk: a function is loaded for a single invocation.
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

    /// Whether the invocation should wait for an existing replica: the function has its desired number of replicas, and
    /// one with a free slot is not much more loaded than the target of the placement. Expired replicas do not count,
    /// because with many functions it takes long until they are removed.
    ///
    /// Failure mode: replicas are loaded for invocations that are delayed only by overload.
    /// Risk: an invocation waits for a replica that is slower than its load score indicates.
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

    /// Loads a function for an invocation, by a load command if that is cheap enough, else by dispatching the
    /// invocation. Returns whether a load command was used; `None` if nothing was sent.
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

    /// Selects the executor for an additional replica: the one last known to be warm, else the less loaded of two drawn
    /// from the first executors of the function's ranking. All front ends compute the same ranking and therefore share
    /// the replicas that one of them has loaded.
    pub(super) fn placement_target(
        &mut self,
        function: FunctionIndex,
        invocation: Option<InvocationIndex>,
    ) -> Option<ExecutorIndex> {
        // An invocation that may have run is bound to its deduplication scope, even outside the front end's own region.
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

    /// Extends the function's ranking until it contains `candidates` eligible executors. To ensure this, it ranks that
    /// many executors plus the largest possible number of ineligible ones. If the invocation is bound to its
    /// deduplication scope, any number of executors may be ineligible, and all are ranked, as they are while the view
    /// of executors is not fresh. Ranking all executors for a bound invocation must remain rare. It does, because known
    /// replicas within the scope are used first.
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

    /// Selects the less loaded of two executors drawn from the eligible ones that have capacity.
    ///
    /// Failure mode: front ends with different load reports each load their own replica while the executors are loading
    /// as much as they can.
    /// Risk: the more loaded of two executors is selected.
    fn less_loaded_target(
        &mut self,
        request: &PlacementRequest,
        candidates: usize,
    ) -> Option<ExecutorIndex> {
        // If all candidates are at their limits, the placement waits: a replica at any other executor would serve only
        // one front end.
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

    /// Whether a request may be placed at an executor, regardless of the executor's load.
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
        // Most executors of a large fleet are idle and warm and need no further checks.
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

    /// Whether a replica may be placed at an executor. The executor at which the last placement failed is excluded
    /// while another one is likely to succeed.
    ///
    /// Failure mode: an executor that rejected a placement because of a brief shortage is excluded permanently although
    /// it is the only one.
    /// Risk: placements are attempted there again, delayed by the backoff.
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

    /// Whether the front end's own region has an executor at which a function may be placed. Executors in other regions
    /// are then not used.
    ///
    /// Failure mode: regions lose their connections to each other, and functions are placed in another region.
    /// Risk: the region has less capacity than traffic.
    pub(super) fn prefers_own_region(&self, function: FunctionIndex) -> bool {
        self.executors
            .ready_in_own_region()
            .iter()
            .any(|&executor| self.may_place(function, executor))
    }
}
