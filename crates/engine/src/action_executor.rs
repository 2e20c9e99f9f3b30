//! Applies the policy's actions to the registry and passes them to the host.

use crate::invocation_registry::{InvocationRegistry, SentDispatch};
use crate::transport_outcome::{self, TransportOutcome};
use crate::{FailureReason, Host};
use orchidtally_dispatch_policy::interface::{Actions, DispatchStatus, ExecutorId};

/// The implementation of `Actions` that is passed to the policy.
pub(crate) struct ActionExecutor<'a> {
    pub(crate) registry: &'a mut InvocationRegistry,
    pub(crate) host: &'a mut dyn Host,
}

impl Actions for ActionExecutor<'_> {
    fn dispatch(&mut self, invocation: u32, executor: ExecutorId, timeout: f64) {
        let now = self.registry.now;
        let Some(open) = self.registry.invocations.get_mut(&invocation) else {
            return;
        };
        let number = open.dispatches.len() as u8;
        let timeout_at = (now + timeout.max(0.0)).min(open.timeout_at);
        let is_never_sent =
            open.is_answered || open.streaming_dispatch.is_some() || timeout_at <= now;
        open.dispatches.push(SentDispatch {
            executor,
            sent_at: now,
            status: is_never_sent
                .then(|| transport_outcome::dispatch_status(TransportOutcome::NeverSent)),
        });
        if is_never_sent {
            self.registry.ended_locally.push_back((invocation, number));
            return;
        }
        self.registry.counters.dispatches += 1;
        self.registry
            .add_deadline(timeout_at, invocation, Some(number));
        self.host
            .dispatch(invocation, number, executor, timeout_at - now);
    }

    fn reject(&mut self, invocation: u32, retry_after: f64, is_over_quota: bool) {
        if self.registry.mark_answered(invocation).is_some() {
            self.registry.counters.rejected += 1;
            self.host.rejected(invocation, retry_after, is_over_quota);
        }
    }

    fn fail(&mut self, invocation: u32) {
        let Some(open) = self.registry.mark_answered(invocation) else {
            return;
        };
        let may_have_run = open.may_have_run();
        let timed_out = open
            .dispatches
            .last()
            .is_none_or(|last| last.status == Some(DispatchStatus::TimedOut));
        let reason = if timed_out {
            FailureReason::TimedOut
        } else {
            FailureReason::Failed
        };
        self.registry.counters.failed += 1;
        self.host.failed(invocation, reason, may_have_run);
    }

    fn cancel(&mut self, invocation: u32, dispatch: u8) {
        let Some(open) = self.registry.invocations.get_mut(&invocation) else {
            return;
        };
        if open.streaming_dispatch == Some(dispatch) {
            return;
        }
        let Some(in_flight) = open.in_flight_mut(dispatch) else {
            return;
        };
        in_flight.status = Some(DispatchStatus::Cancelled);
        self.registry
            .ended_locally
            .push_back((invocation, dispatch));
        self.host.cancel(invocation, dispatch);
    }

    fn load(&mut self, executor: ExecutorId, function: u64, replicas: u8) {
        self.registry.counters.load_commands += u64::from(replicas > 0);
        self.host.load(executor, function, replicas);
    }

    fn query_replicas(&mut self, executor: ExecutorId, function: u64) {
        self.host.query_replicas(executor, function);
    }

    fn unload(&mut self, executor: ExecutorId, function: u64) {
        self.host.unload(executor, function);
    }

    fn health_check(&mut self, executor: ExecutorId) {
        self.host.health_check(executor);
    }

    fn set_timer(&mut self, delay: f64, _timer: u64) {
        let at = self.registry.now + delay;
        let earliest = self.registry.policy_timer_at.map_or(at, |set| set.min(at));
        self.registry.policy_timer_at = Some(earliest);
    }

    fn subscribe_to_endpoints(&mut self) {
        self.host.subscribe_to_endpoints();
    }
}
