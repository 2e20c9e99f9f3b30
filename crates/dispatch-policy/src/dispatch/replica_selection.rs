//! Dispatch to the least loaded warm replica, and the desired number of replicas of a function.

use super::Dispatcher;
use super::concurrency_limit::Capacity;
use super::traffic::TRAFFIC_TIME_CONSTANT;
use crate::interface::{Actions, PolicyConfig};
use crate::state::{ExecutorIndex, FunctionIndex, InvocationIndex, WarmReplica};

/// Time for which a replica is assumed to stay warm, as a fraction of the configured keep-alive of idle replicas.
const LIFETIME_FRACTION: f64 = 0.85;
/// The same time in seconds if the keep-alive is unknown.
const DEFAULT_LIFETIME: f64 = 5.0;
/// Desired replicas for each executor that a function's share of the traffic would fill.
const REPLICAS_PER_EXECUTOR: f64 = 1.3;
/// Invocations added to the total traffic when a function's share is computed, because the observed traffic is a
/// sample.
const SAMPLE_MARGIN: f64 = 8.0;
/// Concurrent invocations of a function for which one replica is desired.
const CONCURRENCY_PER_REPLICA: f64 = 3.0;

/// Returns the seconds for which a replica is assumed to stay warm after the last evidence of it.
pub(super) fn replica_lifetime(config: &PolicyConfig) -> f64 {
    if config.keep_alive > 0.0 {
        LIFETIME_FRACTION * config.keep_alive
    } else {
        DEFAULT_LIFETIME
    }
}

impl Dispatcher {
    /// Rule: dispatches the newest waiting invocation for which a warm replica has a free slot, if the function has its
    /// desired number of replicas. Returns whether one was dispatched.
    pub(super) fn dispatch_to_free_replica(
        &mut self,
        function: FunctionIndex,
        actions: &mut dyn Actions,
    ) -> bool {
        self.dispatch_to_warm_replica(function, true, actions)
    }

    /// Rule: dispatches the newest waiting invocation that any warm replica can accept, while an additional replica is
    /// being placed or cannot be placed. Returns whether one was dispatched.
    pub(super) fn dispatch_to_busy_replica(
        &mut self,
        function: FunctionIndex,
        actions: &mut dyn Actions,
    ) -> bool {
        self.dispatch_to_warm_replica(function, false, actions)
    }

    /// The newest invocation comes first because it has the most time left in its latency objective.
    fn dispatch_to_warm_replica(
        &mut self,
        function: FunctionIndex,
        needs_free_slot: bool,
        actions: &mut dyn Actions,
    ) -> bool {
        let record = &mut self.workload.functions[function];
        record.refresh_warm_replicas(&self.executors);
        if needs_free_slot && !self.has_desired_replicas(function) {
            return false;
        }
        // If no replica has capacity at the full limit, the waiting invocations, possibly many, need not be examined.
        let capacity = self.capacity(1.0);
        let record = &self.workload.functions[function];
        let has_capacity = record
            .unexpired_replicas(self.now)
            .any(|replica| self.replica_has_capacity(function, replica, capacity, needs_free_slot));
        if !has_capacity {
            return false;
        }
        let found = record.waiting().iter().rev().find_map(|&invocation| {
            let executor = self.least_loaded_replica(function, invocation, needs_free_slot)?;
            Some((invocation, executor))
        });
        found.is_some_and(|(invocation, executor)| {
            self.dispatch(invocation, executor, false, actions)
        })
    }

    /// Returns the executor of the least loaded warm replica to which an invocation may be dispatched. The caller must
    /// have refreshed the loads of the replicas.
    pub(super) fn least_loaded_replica(
        &self,
        function: FunctionIndex,
        index: InvocationIndex,
        needs_free_slot: bool,
    ) -> Option<ExecutorIndex> {
        let capacity = self.capacity(self.capacity_fraction(index));
        let in_flight = self.workload.invocations[index].in_flight();
        let is_eligible = |replica: &WarmReplica| {
            let executor = replica.executor;
            replica.expires_at > self.now
                && !in_flight.iter().any(|other| other.executor == executor)
                && self.replica_has_capacity(function, replica, capacity, needs_free_slot)
                && (!self.executors[executor].is_ejected() || self.may_try_ejected(index, executor))
                && self.allows_dispatch(index, executor, None)
        };
        let replicas = self.workload.functions[function].warm_replicas();
        replicas.min_by_score(
            |load| self.load_score.score(load, 1.0, self.now),
            |replica| is_eligible(replica).then(|| self.load_score_of(replica.executor)),
        )
    }

    fn replica_has_capacity(
        &self,
        function: FunctionIndex,
        replica: &WarmReplica,
        capacity: Capacity,
        needs_free_slot: bool,
    ) -> bool {
        self.has_capacity(replica.executor, capacity)
            && (!needs_free_slot || self.has_free_slot(function, replica))
    }

    /// Whether a replica has a free slot: this front end has fewer dispatches in flight there than the replica runs
    /// concurrently.
    pub(super) fn has_free_slot(&self, function: FunctionIndex, replica: &WarmReplica) -> bool {
        let function = &self.workload.functions[function];
        !replica.is_full && function.in_flight_count_at(replica.executor) < function.concurrency()
    }

    /// Whether a function has at least the desired number of warm replicas, rounded down, and one of them in the own
    /// region if a replica can be placed there.
    ///
    /// Failure mode: a function that was placed in another region while the own one was unreachable stays there.
    /// Risk: a load only moves a replica closer.
    pub(super) fn has_desired_replicas(&self, function: FunctionIndex) -> bool {
        let record = &self.workload.functions[function];
        let is_unexpired_in_own_region = |replica: &WarmReplica| {
            replica.expires_at > self.now && self.executors.is_in_own_region(replica.executor)
        };
        record.warm_replicas().len() as f64 + 1.0 > self.desired_replicas(function)
            && record.warm_replicas().iter().any(|replica| {
                is_unexpired_in_own_region(replica) || !self.prefers_own_region(function)
            })
    }

    /// Returns the desired number of replicas: one, plus the number of executors that the function's share of the
    /// traffic would fill, with a margin, or that its reported concurrency requires. This front end's traffic is a
    /// sample of that of all front ends, so that a single invocation is not significant.
    pub(super) fn desired_replicas(&self, function: FunctionIndex) -> f64 {
        let record = &self.workload.functions[function];
        let sampled_arrivals =
            (record.recent_arrivals(self.now, TRAFFIC_TIME_CONSTANT) - 1.0).max(0.0);
        let ready = if self.prefers_own_region(function) {
            self.executors.ready_in_own_region().len()
        } else {
            self.executors.ready_count()
        } as f64;
        let traffic = self.traffic.invocations(self.now) + SAMPLE_MARGIN;
        let replicas_for_traffic = REPLICAS_PER_EXECUTOR * ready * sampled_arrivals / traffic;
        let replicas_for_concurrency = record.fleet_concurrency() / CONCURRENCY_PER_REPLICA;
        (1.0 + replicas_for_traffic.max(replicas_for_concurrency)).min(ready)
    }
}
