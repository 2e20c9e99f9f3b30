//! Inputs that concern no single invocation: endpoints, membership, stalls, configuration, and checks as bytes leave.

use super::Engine;
use crate::Host;
use orchidtally_dispatch_policy::interface::{
    ConfigError, DispatchStatus, Endpoint, EndpointUpdateKind, ExecutorId, MembershipView,
    PrewarmRequest, TriggerType,
};

impl Engine {
    /// Whether a dispatch may still be sent. The host asks this as its bytes leave, which may be long after it was
    /// decided on.
    pub fn revalidate_dispatch(&mut self, now: f64, invocation: u32, dispatch: u8) -> bool {
        let now = now.max(self.registry.now);
        let open = self.registry.invocations.get(&invocation);
        open.is_some_and(|open| open.is_in_flight(dispatch))
            && self.policy.revalidate_dispatch(now, invocation, dispatch)
    }

    /// Whether a load command that was decided on at `decided_at` may still be sent.
    pub fn revalidate_load(&mut self, now: f64, executor: ExecutorId, decided_at: f64) -> bool {
        let now = now.max(self.registry.now);
        self.policy.revalidate_load(now, executor, decided_at)
    }

    /// The endpoint list has changed, or could not be had.
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

    /// The endpoint list was current at `as_of`: a query sent then has been answered.
    pub fn on_view_confirmed(&mut self, now: f64, as_of: f64, host: &mut dyn Host) {
        self.run_policy(now, host, |policy, now, actions| {
            policy.on_view_confirmed(now, as_of, actions);
        });
    }

    /// The source of the endpoint list does not answer a query sent at `queried_at`. The host goes on querying.
    pub fn on_view_request_unanswered(&mut self, now: f64, queried_at: f64) {
        let now = self.registry.advance_to(now);
        self.policy.on_view_request_unanswered(now, queried_at);
    }

    /// The process did not run for a while: nothing is sent by the endpoint list that it had until that is confirmed.
    pub fn on_process_stall(&mut self, now: f64) {
        let now = self.registry.advance_to(now);
        self.policy.on_process_stall(now);
    }

    /// The front ends that share the fleet have changed.
    pub fn on_membership_change(&mut self, now: f64, view: MembershipView, host: &mut dyn Host) {
        self.run_policy(now, host, |policy, now, actions| {
            policy.on_membership_change(now, view, actions);
        });
    }

    /// Whether an invocation of the trigger type at an index is open, or has a dispatch in flight.
    pub fn uses_trigger_type(&self, index: usize) -> bool {
        let mut open = self.registry.invocations.values();
        open.any(|open| open.trigger_type == index)
    }

    /// Appends a trigger type (at the index past the last), or replaces one that is not in use. Open invocations keep
    /// the type that they were admitted with.
    ///
    /// # Errors
    /// See [`ConfigError`]; nothing is changed then.
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

    /// Sets the customers' quotas, in invocations a second over all front ends. Existing customers keep what they have
    /// saved up, within the new burst; new ones begin as at the start.
    ///
    /// # Errors
    /// See [`ConfigError`]; nothing is changed then.
    pub fn set_quotas(&mut self, now: f64, quotas: Vec<f64>) -> Result<(), ConfigError> {
        let now = self.registry.advance_to(now);
        self.policy.set_quotas(now, quotas)
    }

    /// A load command has ended.
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

    /// Requests replicas ahead of invocations; returns how many executors are known to serve the function.
    pub fn prewarm(&mut self, now: f64, request: &PrewarmRequest, host: &mut dyn Host) -> usize {
        let mut warm = 0;
        self.run_policy(now, host, |policy, now, actions| {
            warm = policy.prewarm(now, request, actions);
        });
        warm
    }
}
