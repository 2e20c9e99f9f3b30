//! Inputs that don't belong to a single invocation: endpoints, membership, process stalls, configuration, prewarming,
//! and the checks that the host makes immediately before it sends.

use super::Engine;
use crate::Host;
use orchidtally_dispatch_policy::interface::{
    ConfigError, DispatchStatus, Endpoint, EndpointUpdateKind, ExecutorId, MembershipView,
    PrewarmRequest, TriggerType,
};

impl Engine {
    /// Whether a dispatch may still be sent. The host asks immediately before it sends the bytes, which may be long
    /// after the policy decided on the dispatch.
    pub fn revalidate_dispatch(&mut self, now: f64, invocation: u32, dispatch: u8) -> bool {
        let now = now.max(self.registry.now);
        let open = self.registry.invocations.get(&invocation);
        open.is_some_and(|open| open.is_in_flight(dispatch))
            && self.policy.revalidate_dispatch(now, invocation, dispatch)
    }

    /// Whether a load command that the policy decided on at `decided_at` may still be sent.
    pub fn revalidate_load(&mut self, now: f64, executor: ExecutorId, decided_at: f64) -> bool {
        let now = now.max(self.registry.now);
        self.policy.revalidate_load(now, executor, decided_at)
    }

    /// Handles a change of the endpoint list, or a failure to obtain it.
    pub fn on_endpoint_update(
        &mut self,
        now: f64,
        kind: EndpointUpdateKind,
        endpoints: &[Endpoint],
        host: &mut dyn Host,
    ) {
        self.run_policy(now, host, |policy, now, actions| {
            policy.on_endpoint_update(now, kind, endpoints, actions);
        });
    }

    /// Handles the confirmation that the endpoint list was current at `as_of`, when the answered query was sent.
    pub fn on_view_confirmed(&mut self, now: f64, as_of: f64, host: &mut dyn Host) {
        self.run_policy(now, host, |policy, now, actions| {
            policy.on_view_confirmed(now, as_of, actions);
        });
    }

    /// Handles the lack of an answer to a query for the endpoint list sent at `queried_at`. The host continues to
    /// query.
    pub fn on_view_request_unanswered(&mut self, now: f64, queried_at: f64) {
        let now = self.registry.advance_to(now);
        self.policy.on_view_request_unanswered(now, queried_at);
    }

    /// Handles a process stall. Until the endpoint list is confirmed again, nothing is sent on the basis of the list
    /// from before the stall.
    pub fn on_process_stall(&mut self, now: f64) {
        let now = self.registry.advance_to(now);
        self.policy.on_process_stall(now);
    }

    /// Handles a change of the front ends that share the fleet.
    pub fn on_membership_change(&mut self, now: f64, view: MembershipView, host: &mut dyn Host) {
        self.run_policy(now, host, |policy, now, actions| {
            policy.on_membership_change(now, view, actions);
        });
    }

    /// Whether an invocation of the trigger type at `index` is open or has a dispatch in flight.
    pub fn uses_trigger_type(&self, index: usize) -> bool {
        let mut open = self.registry.invocations.values();
        open.any(|open| open.trigger_type == index)
    }

    /// Appends a trigger type, if `index` follows the last one, or replaces one that is not in use. Open invocations
    /// keep the type that they were admitted with.
    ///
    /// # Errors
    /// See [`ConfigError`]; the configuration is unchanged after an error.
    pub fn set_trigger_type(
        &mut self,
        now: f64,
        index: usize,
        trigger_type: TriggerType,
    ) -> Result<(), ConfigError> {
        if self.uses_trigger_type(index) {
            return Err(ConfigError::InUse { index });
        }
        let now = self.registry.advance_to(now);
        self.policy.set_trigger_type(now, index, trigger_type)
    }

    /// Sets the customers' quotas, in invocations per second over all front ends. Existing customers keep their unused
    /// quota up to the new burst size; new ones start with the initial quota.
    ///
    /// # Errors
    /// See [`ConfigError`]; the configuration is unchanged after an error.
    pub fn set_quotas(&mut self, now: f64, quotas: Vec<f64>) -> Result<(), ConfigError> {
        let now = self.registry.advance_to(now);
        self.policy.set_quotas(now, quotas)
    }

    /// Handles the result of a load command.
    pub fn on_load_result(
        &mut self,
        now: f64,
        executor: ExecutorId,
        function: u64,
        status: DispatchStatus,
        host: &mut dyn Host,
    ) {
        self.run_policy(now, host, |policy, now, actions| {
            policy.on_load_result(now, executor, function, status, actions);
        });
    }

    /// Requests replicas ahead of invocations; returns the number of executors that are known to serve the function.
    pub fn prewarm(&mut self, now: f64, request: &PrewarmRequest, host: &mut dyn Host) -> usize {
        let mut warm = 0;
        self.run_policy(now, host, |policy, now, actions| {
            warm = policy.prewarm(now, request, actions);
        });
        warm
    }
}
