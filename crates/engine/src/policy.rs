//! The interface of dispatch policies, and its implementation by [`Dispatcher`].

use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::{
    Actions, ConfigError, DispatchResult, DispatchStatus, Endpoint, EndpointUpdateKind, ExecutorId,
    Invocation, MembershipView, PrewarmRequest, TableSizes, TriggerType,
};

/// A policy that decides on invocations: the dispatch policy, or a baseline for comparison.
///
/// Every method is an input with the time in seconds, to which the policy responds with calls on `actions`. Inputs that
/// a simple policy can ignore have a default implementation.
pub trait DispatchPolicy {
    /// Handles a change of the front ends that share the fleet.
    fn on_membership_change(
        &mut self,
        _now: f64,
        _view: MembershipView,
        _actions: &mut dyn Actions,
    ) {
    }

    /// Appends or replaces a trigger type.
    ///
    /// # Errors
    /// See [`ConfigError`]; the configuration is unchanged after an error.
    fn set_trigger_type(
        &mut self,
        _now: f64,
        _index: usize,
        _trigger_type: TriggerType,
    ) -> Result<(), ConfigError> {
        Ok(())
    }

    /// Sets the customers' quotas, in invocations per second over all front ends.
    ///
    /// # Errors
    /// See [`ConfigError`]; the configuration is unchanged after an error.
    fn set_quotas(&mut self, _now: f64, _quotas: Vec<f64>) -> Result<(), ConfigError> {
        Ok(())
    }

    /// Handles a change of the endpoint list, or a failure to obtain it.
    fn on_endpoint_update(
        &mut self,
        now: f64,
        kind: EndpointUpdateKind,
        endpoints: &[Endpoint],
        actions: &mut dyn Actions,
    );

    /// Handles the confirmation that the endpoint list was current at `as_of`.
    fn on_view_confirmed(&mut self, _now: f64, _as_of: f64, _actions: &mut dyn Actions) {}

    /// Handles a process stall.
    fn on_process_stall(&mut self, _now: f64) {}

    /// Handles the lack of an answer to a query for the endpoint list sent at `queried_at`.
    fn on_view_request_unanswered(&mut self, _now: f64, _queried_at: f64) {}

    /// Handles an admitted invocation.
    fn on_invocation(&mut self, now: f64, invocation: &Invocation, actions: &mut dyn Actions);

    /// Handles the result of a dispatch.
    fn on_dispatch_result(&mut self, now: f64, result: &DispatchResult, actions: &mut dyn Actions);

    /// Handles the start of a response that streams to the client.
    fn on_response_started(
        &mut self,
        now: f64,
        invocation: u32,
        dispatch: u8,
        actions: &mut dyn Actions,
    );

    /// Handles a cancellation by the client. The engine also uses it for overdue invocations that it failed itself.
    fn on_client_cancel(&mut self, now: f64, invocation: u32, actions: &mut dyn Actions);

    /// Handles the result of a load command.
    fn on_load_result(
        &mut self,
        now: f64,
        executor: ExecutorId,
        function: u64,
        status: DispatchStatus,
        actions: &mut dyn Actions,
    );

    /// Requests replicas ahead of invocations; returns the number of executors that are known to serve the function.
    fn prewarm(&mut self, now: f64, request: &PrewarmRequest, actions: &mut dyn Actions) -> usize;

    /// Handles the expiry of a timer that the policy has set.
    fn on_timer(&mut self, now: f64, actions: &mut dyn Actions);

    /// Starts the shutdown: every open invocation has to be answered by `deadline`.
    fn begin_shutdown(&mut self, _now: f64, _deadline: f64, _actions: &mut dyn Actions) {}

    /// Whether a dispatch may still be sent. The host asks immediately before it sends the bytes.
    fn revalidate_dispatch(&mut self, _now: f64, _invocation: u32, _dispatch: u8) -> bool {
        true
    }

    /// Whether a load command that the policy decided on at `decided_at` may still be sent.
    fn revalidate_load(&mut self, _now: f64, _executor: ExecutorId, _decided_at: f64) -> bool {
        true
    }

    /// The number of entries in each of the policy's tables.
    fn table_sizes(&self) -> TableSizes {
        TableSizes::default()
    }
}

impl DispatchPolicy for Dispatcher {
    fn on_membership_change(&mut self, now: f64, view: MembershipView, actions: &mut dyn Actions) {
        Dispatcher::on_membership_change(self, now, view, actions);
    }

    fn set_trigger_type(
        &mut self,
        now: f64,
        index: usize,
        trigger_type: TriggerType,
    ) -> Result<(), ConfigError> {
        Dispatcher::set_trigger_type(self, now, index, trigger_type)
    }

    fn set_quotas(&mut self, now: f64, quotas: Vec<f64>) -> Result<(), ConfigError> {
        Dispatcher::set_quotas(self, now, quotas)
    }

    fn on_endpoint_update(
        &mut self,
        now: f64,
        kind: EndpointUpdateKind,
        endpoints: &[Endpoint],
        actions: &mut dyn Actions,
    ) {
        Dispatcher::on_endpoint_update(self, now, kind, endpoints, actions);
    }

    fn on_view_confirmed(&mut self, now: f64, as_of: f64, actions: &mut dyn Actions) {
        Dispatcher::on_view_confirmed(self, now, as_of, actions);
    }

    fn on_process_stall(&mut self, now: f64) {
        Dispatcher::on_process_stall(self, now);
    }

    fn on_view_request_unanswered(&mut self, now: f64, queried_at: f64) {
        Dispatcher::on_view_request_unanswered(self, now, queried_at);
    }

    fn on_invocation(&mut self, now: f64, invocation: &Invocation, actions: &mut dyn Actions) {
        Dispatcher::on_invocation(self, now, invocation, actions);
    }

    fn on_dispatch_result(&mut self, now: f64, result: &DispatchResult, actions: &mut dyn Actions) {
        Dispatcher::on_dispatch_result(self, now, result, actions);
    }

    fn on_response_started(
        &mut self,
        now: f64,
        invocation: u32,
        dispatch: u8,
        actions: &mut dyn Actions,
    ) {
        Dispatcher::on_response_started(self, now, invocation, dispatch, actions);
    }

    fn on_client_cancel(&mut self, now: f64, invocation: u32, actions: &mut dyn Actions) {
        Dispatcher::on_client_cancel(self, now, invocation, actions);
    }

    fn on_load_result(
        &mut self,
        now: f64,
        executor: ExecutorId,
        function: u64,
        status: DispatchStatus,
        actions: &mut dyn Actions,
    ) {
        Dispatcher::on_load_result(self, now, executor, function, status, actions);
    }

    fn prewarm(&mut self, now: f64, request: &PrewarmRequest, actions: &mut dyn Actions) -> usize {
        Dispatcher::prewarm(self, now, request, actions)
    }

    fn on_timer(&mut self, now: f64, actions: &mut dyn Actions) {
        Dispatcher::on_timer(self, now, 0, actions);
    }

    fn begin_shutdown(&mut self, now: f64, deadline: f64, actions: &mut dyn Actions) {
        Dispatcher::begin_shutdown(self, now, deadline, actions);
    }

    fn revalidate_dispatch(&mut self, now: f64, invocation: u32, dispatch: u8) -> bool {
        Dispatcher::revalidate_dispatch(self, now, invocation, dispatch)
    }

    fn revalidate_load(&mut self, now: f64, executor: ExecutorId, decided_at: f64) -> bool {
        Dispatcher::revalidate_load(self, now, executor, decided_at)
    }

    fn table_sizes(&self) -> TableSizes {
        Dispatcher::table_sizes(self)
    }
}
