//! Constraints on all actions. Every dispatch, load command and final answer is issued by this module, which enforces
//! the five rules of the platform: one final answer in time (1), no second effect (2), no work for an executor that is
//! draining or gone (3), no overload of executors that are warming up (4), the budget of load commands (5).

use super::Dispatcher;
use super::retry::SILENCE_FRACTION;
use crate::interface::{Actions, DeduplicationScope, Idempotency};
use crate::state::{ExecutorIndex, FunctionIndex, InvocationIndex};

impl Dispatcher {
    /// Whether an executor may receive work: it is ready, and the view of executors is recent enough (rule 3).
    pub(super) fn accepts_work(&self, executor: ExecutorIndex) -> bool {
        self.endpoint_view
            .accepts_work(&self.executors[executor], self.now)
    }

    /// Whether an invocation may be dispatched to an executor. To check again a dispatch that was decided but has not
    /// been sent, pass its number as `unsent`.
    pub(super) fn allows_dispatch(
        &self,
        index: InvocationIndex,
        executor: ExecutorIndex,
        unsent: Option<u8>,
    ) -> bool {
        let invocation = &self.workload.invocations[index];
        let dispatch_count = invocation.dispatch_count() - u8::from(unsent.is_some());
        let in_flight = invocation.in_flight_except(unsent).count();
        let work = self.baseline.latency(invocation.trigger_type());
        !invocation.is_answered()
            && dispatch_count < self.config.max_dispatches
            && in_flight <= usize::from(self.config.allows_hedging)
            && self.now + self.config.clock_tick < invocation.timeout_at()
            && self.accepts_work(executor)
            && self.may_repeat(index, executor, unsent)
            && self.has_slow_start_budget(executor, work)
    }

    /// Whether a dispatch to an executor cannot have a second effect (rule 2). This holds if the invocation is
    /// idempotent, if no earlier dispatch may have run, or if the executor recognizes the idempotency key of the first
    /// dispatch that may have run.
    pub(super) fn may_repeat(
        &self,
        index: InvocationIndex,
        executor: ExecutorIndex,
        unsent: Option<u8>,
    ) -> bool {
        let invocation = &self.workload.invocations[index];
        let Some(first) = invocation.first_possible_execution(unsent) else {
            return true;
        };
        let trigger_type = &self.config.trigger_types[invocation.trigger_type()];
        match trigger_type.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed => {
                let scope = trigger_type.deduplication_scope;
                let window_ends_at = first.sent_at + trigger_type.deduplication_window;
                self.executors.share_scope(scope, executor, first.executor)
                    && self.now < window_ends_at - 2.0 * self.config.clock_tick
            }
        }
    }

    /// Whether an invocation may be repeated at any eligible executor. Checks only executors in its deduplication
    /// scope.
    pub(super) fn may_repeat_anywhere(
        &self,
        index: InvocationIndex,
        is_eligible: impl Fn(ExecutorIndex) -> bool,
    ) -> bool {
        let invocation = &self.workload.invocations[index];
        let trigger_type = &self.config.trigger_types[invocation.trigger_type()];
        let scope = if trigger_type.idempotency == Idempotency::Keyed {
            trigger_type.deduplication_scope
        } else {
            DeduplicationScope::All
        };
        let first = invocation.first_possible_execution(None);
        self.executors
            .ready_in_scope(scope, first.map(|first| first.executor))
            .iter()
            .any(|&executor| {
                is_eligible(executor)
                    && self.accepts_work(executor)
                    && self.may_repeat(index, executor, None)
            })
    }

    /// Whether an invocation may be rejected. The client may then retry it, which must not cause a second effect (rule
    /// 2).
    pub(super) fn may_reject(&self, index: InvocationIndex) -> bool {
        let invocation = &self.workload.invocations[index];
        let trigger_type = &self.config.trigger_types[invocation.trigger_type()];
        let is_safe_anywhere = match trigger_type.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => trigger_type.deduplication_scope == DeduplicationScope::All,
            Idempotency::NonIdempotent => false,
        };
        let never_ran =
            invocation.possible_execution().is_none() && invocation.in_flight().is_empty();
        is_safe_anywhere || never_ran
    }

    /// Whether an invocation may be repeated unconditionally.
    pub(super) fn is_idempotent(&self, index: InvocationIndex) -> bool {
        let trigger_type = self.workload.invocations[index].trigger_type();
        self.config.trigger_types[trigger_type].idempotency == Idempotency::Idempotent
    }

    /// Dispatches an invocation to an executor if the constraints allow it. Returns whether it was dispatched.
    pub(super) fn dispatch(
        &mut self,
        index: InvocationIndex,
        executor: ExecutorIndex,
        is_placement: bool,
        actions: &mut dyn Actions,
    ) -> bool {
        if !self.allows_dispatch(index, executor, None) {
            return false;
        }
        let invocation = &self.workload.invocations[index];
        let trigger_type = invocation.trigger_type();
        let record = &self.executors[executor];
        actions.dispatch(
            invocation.id(),
            record.id(),
            invocation.timeout_at() - self.now,
        );
        if record.is_ejected() {
            let objective = self.config.trigger_types[trigger_type].latency_objective;
            self.executors
                .set_next_trial(executor, self.now + SILENCE_FRACTION * objective);
        }
        self.executors.record_dispatch(
            executor,
            index,
            self.now,
            self.baseline.latency(trigger_type),
            self.slow_start.sent_work_lifetime(),
        );
        self.workload
            .record_dispatch(index, executor, self.now, is_placement);
        true
    }

    /// Sends a load command to an executor if the constraints allow it (rules 3 and 5). Returns whether it was sent.
    pub(super) fn command_load(
        &mut self,
        function: FunctionIndex,
        executor: ExecutorIndex,
        actions: &mut dyn Actions,
    ) -> bool {
        if !self.accepts_work(executor) || !self.load_budget.allows_command(1.0, self.now) {
            return false;
        }
        self.load_budget.record_command(self.now);
        let key = self.workload.functions[function].key();
        actions.load(self.executors[executor].id(), key, 1);
        true
    }

    /// Gives the final answer to an invocation that cannot be served (rule 1): a rejection if a retry is safe, else an
    /// error.
    pub(super) fn answer_unserved(&mut self, index: InvocationIndex, actions: &mut dyn Actions) {
        let invocation = &self.workload.invocations[index];
        if self.may_reject(index) {
            let retry_after = self.admission.retry_after(&mut self.random);
            actions.reject(
                invocation.id(),
                retry_after,
                invocation.priority().is_over_quota,
            );
        } else {
            actions.fail(invocation.id());
        }
        self.workload
            .close(index, self.config.allows_cancellation, actions);
    }
}
