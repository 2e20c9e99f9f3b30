//! Retries and hedged requests for dispatches at silent executors, and trial dispatches to ejected executors.

use super::Dispatcher;
use crate::interface::{Actions, Idempotency};
use crate::state::{ExecutorIndex, FunctionIndex, InFlightDispatch, InvocationIndex};

/// Fraction of the latency objective after which a dispatch is retried or hedged if its executor has not responded
/// since, and after which an ejected executor may receive another trial dispatch.
pub(super) const SILENCE_FRACTION: f64 = 0.6;

impl Dispatcher {
    /// Rule: dispatches an invocation again if the executor of its dispatch in flight has been silent for too long. It
    /// sends a hedged request if the deployment allows it. Otherwise, if the executor is also ejected, it cancels the
    /// dispatch, and the invocation is retried.
    ///
    /// Failure mode: executors hang or become unreachable. Slow executors that still respond are excluded because
    /// hedged requests would add to their load.
    /// Risk: work that would have completed soon is done twice.
    pub(super) fn hedge_or_retry_slow(
        &mut self,
        function: FunctionIndex,
        actions: &mut dyn Actions,
    ) -> bool {
        for position in 0..self.workload.functions[function].in_flight().len() {
            let index = self.workload.functions[function].in_flight()[position];
            let Some(dispatch) = self.silent_dispatch(index) else {
                continue;
            };
            if !self.config.allows_hedging {
                if self.may_retry_elsewhere(index, dispatch.executor) {
                    self.workload
                        .invocations
                        .get_mut(index)
                        .cancel_dispatches(None, actions);
                    return true;
                }
                continue;
            }
            if let Some(executor) = self.replica_for_hedging(function, index) {
                return self.dispatch(index, executor, false, actions);
            }
        }
        false
    }

    /// Returns the executor of the least loaded warm replica with a free slot, if the executor is not ejected and the
    /// function has its desired number of replicas.
    fn replica_for_hedging(
        &mut self,
        function: FunctionIndex,
        index: InvocationIndex,
    ) -> Option<ExecutorIndex> {
        self.workload.functions[function].refresh_warm_replicas(&self.executors);
        if !self.has_desired_replicas(function) {
            return None;
        }
        self.least_loaded_replica(function, index, true)
            .filter(|&executor| !self.executors[executor].is_ejected())
    }

    /// Returns the only dispatch in flight of an invocation, if its executor has been silent for too long and the
    /// invocation may be dispatched again.
    fn silent_dispatch(&self, index: InvocationIndex) -> Option<InFlightDispatch> {
        let invocation = &self.workload.invocations[index];
        let &[dispatch] = invocation.in_flight() else {
            return None;
        };
        let trigger_type = &self.config.trigger_types[invocation.trigger_type()];
        let executor = &self.executors[dispatch.executor];
        let max_silence = SILENCE_FRACTION * trigger_type.latency_objective;
        let is_silent = executor.last_response_at() < dispatch.sent_at
            && self.now - dispatch.sent_at > max_silence;
        let may_hedge = self.config.allows_hedging && !dispatch.is_placement;
        let may_dispatch_again = !invocation.is_answered()
            && !invocation.is_streaming()
            && !dispatch.is_cancelled
            && trigger_type.idempotency != Idempotency::NonIdempotent;
        let is_due = is_silent && (may_hedge || executor.is_ejected()) && may_dispatch_again;
        is_due.then_some(dispatch)
    }

    /// Whether an invocation may be cancelled at an executor and repeated at another one that is not ejected.
    fn may_retry_elsewhere(&self, index: InvocationIndex, executor: ExecutorIndex) -> bool {
        let dispatch_count = self.workload.invocations[index].dispatch_count();
        self.config.allows_cancellation
            && dispatch_count < self.config.max_dispatches
            && self.may_repeat_anywhere(index, |other| {
                other != executor && !self.executors[other].is_ejected()
            })
    }

    /// Whether an invocation may be a trial dispatch to an ejected executor. A trial requires an idempotent invocation
    /// that cannot have run there, and an executor without other dispatches in flight.
    pub(super) fn may_try_ejected(&self, index: InvocationIndex, executor: ExecutorIndex) -> bool {
        let record = &self.executors[executor];
        let may_have_run_there = self.workload.invocations[index]
            .possible_execution()
            .is_some_and(|execution| execution.executor == executor);
        record.in_flight().is_empty()
            && self.now >= record.next_trial_at()
            && self.is_idempotent(index)
            && !may_have_run_there
    }
}
