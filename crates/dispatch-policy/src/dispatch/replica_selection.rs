//! Dispatch to the least loaded warm replica, and how many replicas a function should have.

use super::Dispatcher;
use super::concurrency_limit::Capacity;
use super::traffic::TRAFFIC_TIME_CONSTANT;
use crate::interface::{Actions, PolicyConfig};
use crate::state::{ExecutorIndex, FunctionIndex, InvocationIndex, WarmReplica};

/// How long a warm replica is relied on, as a fraction of the time that an idle one stays loaded.
const LIFETIME_FRACTION: f64 = 0.85;
/// The same in seconds, where that time is unknown.
const DEFAULT_LIFETIME: f64 = 5.0;
/// Replicas wanted for each executor that a function's part of the traffic would fill.
const REPLICAS_PER_EXECUTOR: f64 = 1.3;
/// Invocations added to the traffic that the part is taken of, since it is a sample.
const SAMPLE_MARGIN: f64 = 8.0;
/// Invocations of one function that an executor should hold.
const CONCURRENCY_PER_REPLICA: f64 = 3.0;

/// Seconds for which a warm replica is relied on after it was last seen.
pub(super) fn replica_lifetime(config: &PolicyConfig) -> f64 {
    if config.keep_alive > 0.0 {
        LIFETIME_FRACTION * config.keep_alive
    } else {
        DEFAULT_LIFETIME
    }
}

impl Dispatcher {
    /// Rule: dispatches the newest waiting invocation that a warm replica with a free slot can take, once the function
    /// has its replicas.
    pub(super) fn dispatch_to_free_replica(
        &mut self,
        function: FunctionIndex,
        actions: &mut dyn Actions,
    ) -> bool {
        self.dispatch_to_warm_replica(function, true, actions)
    }

    /// Rule: dispatches the newest waiting invocation that any warm replica can take, while a further replica is
    /// placed or can't be.
    pub(super) fn dispatch_to_busy_replica(
        &mut self,
        function: FunctionIndex,
        actions: &mut dyn Actions,
    ) -> bool {
        self.dispatch_to_warm_replica(function, false, actions)
    }

    /// The newest comes first: it has its whole latency objective before it.
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
        // Where no replica has capacity for the best of them, none of the many that may wait need be looked at.
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

    /// The executor of the least loaded warm replica that an invocation may be dispatched to. The loads of the replicas
    /// have to be refreshed.
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

    /// Whether a replica has a free slot: the own dispatches in flight there are fewer than it runs at a time.
    pub(super) fn has_free_slot(&self, function: FunctionIndex, replica: &WarmReplica) -> bool {
        let function = &self.workload.functions[function];
        !replica.is_full && function.in_flight_count_at(replica.executor) < function.concurrency()
    }

    /// Whether a function has as many warm replicas as it should, less one, and one in the own region where that has
    /// any executor for it.
    ///
    /// Failure mode: a function that was placed elsewhere while the own region was out of reach stays there.
    /// Risk: a load that only brings it nearer.
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

    /// The number of executors that a function's part of the traffic would fill, with space for others, and one. The
    /// traffic seen here is a sample of that of all front ends, so one invocation alone says nothing.
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
