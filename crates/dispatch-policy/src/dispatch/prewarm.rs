//! Prewarming: loads replicas before the invocations arrive, with a part of the load budget.

use super::Dispatcher;
use super::placement::DEFAULT_LOAD_TIME;
use crate::interface::{Actions, PrewarmRequest};
use crate::state::FunctionIndex;

/// Fraction of the load budget that prewarming may use.
const BUDGET_FRACTION: f64 = 0.5;
/// A replica is renewed when less than this fraction of its lifetime is left.
const RENEWAL_FRACTION: f64 = 0.6;

impl Dispatcher {
    /// Loads a replica if a function has fewer warm replicas than requested, else renews the one that expires first. At
    /// most one load command is in progress. Returns the number of warm replicas at ready executors.
    ///
    /// Failure mode: a new version of a function receives all its traffic at once, which causes a burst of placements.
    /// Risk: placements run out of load commands if these are scarce; a part of the budget is therefore reserved for
    /// them.
    pub fn prewarm(
        &mut self,
        now: f64,
        request: &PrewarmRequest,
        actions: &mut dyn Actions,
    ) -> usize {
        self.now = now;
        let function = self.workload.functions.find_or_insert(
            request.function,
            request.concurrency,
            request.load_time.unwrap_or(DEFAULT_LOAD_TIME),
        );
        self.dirty_functions.push(function);
        // Ends a placement that has timed out.
        self.run_rules(actions);
        let has_budget = self.load_budget.allows_command(BUDGET_FRACTION, now);
        let record = &self.workload.functions[function];
        let warm = record
            .unexpired_replicas(now)
            .filter(|replica| self.executors[replica.executor].is_ready())
            .count();
        if !has_budget
            || !self.config.allows_load_commands
            || record.placement().is_some()
            || now < record.next_placement_at()
        {
            return warm;
        }
        if warm < request.replicas {
            self.prewarm_replica(function, actions);
        } else if request.replicas > 0 {
            self.renew_next_expiring(function, actions);
        }
        warm
    }

    fn prewarm_replica(&mut self, function: FunctionIndex, actions: &mut dyn Actions) {
        if let Some(target) = self.placement_target(function, None)
            && self.command_load(function, target, actions)
        {
            self.begin_placement(function, target, true);
        }
    }

    /// Renews the replica that expires first, if it expires soon.
    fn renew_next_expiring(&mut self, function: FunctionIndex, actions: &mut dyn Actions) {
        let next_expiring = self.workload.functions[function]
            .unexpired_replicas(self.now)
            .filter(|replica| self.executors[replica.executor].is_ready())
            .min_by(|one, other| one.expires_at.total_cmp(&other.expires_at))
            .copied();
        let renews_before = self.now + RENEWAL_FRACTION * self.replica_lifetime;
        if let Some(next_expiring) =
            next_expiring.filter(|next_expiring| next_expiring.expires_at < renews_before)
        {
            self.command_load(function, next_expiring.executor, actions);
        }
    }
}
