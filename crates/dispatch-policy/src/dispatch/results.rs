//! Updates from the results of dispatches and load commands: warm replicas, loads, limits and outliers.

use super::Dispatcher;
use super::concurrency_limit::{FULL_BACKOFF, MAX_FULL_DOUBLINGS};
use super::outlier_detection::Sample;
use super::retry::SILENCE_FRACTION;
use crate::interface::{Actions, DispatchResult, DispatchStatus, ExecutorId, ReplicaState};
use crate::state::{ExecutorIndex, FunctionIndex, InFlightDispatch};

/// Smoothing factor of the moving average of a function's reported concurrency.
const CONCURRENCY_SMOOTHING_FACTOR: f64 = 0.3;
/// Latency that a rejection contributes to the concurrency limit, in latency objectives.
const REJECTION_LATENCY: f64 = 1.0;

/// A dispatch that ended, with its function and trigger type.
struct EndedDispatch {
    dispatch: InFlightDispatch,
    function: FunctionIndex,
    trigger_type: usize,
}

impl Dispatcher {
    /// Handles the result of a dispatch.
    pub fn on_dispatch_result(
        &mut self,
        now: f64,
        result: &DispatchResult,
        actions: &mut dyn Actions,
    ) {
        self.now = now;
        let Some(index) = self.workload.invocations.find(result.invocation) else {
            return;
        };
        let Some(dispatch) = self.workload.record_dispatch_end(index, result.dispatch) else {
            return;
        };
        let invocation = &self.workload.invocations[index];
        let ended = EndedDispatch {
            dispatch,
            function: invocation.function(),
            trigger_type: invocation.trigger_type(),
        };
        let executor = dispatch.executor;
        self.executors
            .record_dispatch_end(executor, index, dispatch.sent_at, now);
        self.record_load_report(executor, result);
        self.executors
            .record_dispatch_status(executor, result.status, now);
        self.record_latency(&ended, result);
        self.update_warm_replicas(&ended, result);
        if dispatch.is_placement {
            let has_succeeded = result.status == DispatchStatus::Ok;
            self.finish_placement(ended.function, executor, false, has_succeeded);
        }
        if result.status == DispatchStatus::Ok {
            self.attribute_earlier_failure(ended.function, executor);
        }
        self.workload
            .invocations
            .get_mut(index)
            .record_possible_execution(&dispatch, result.status);
        if result.is_answered || result.status == DispatchStatus::Ok {
            self.workload
                .close(index, self.config.allows_cancellation, actions);
        } else {
            self.workload.requeue(index);
        }
        self.workload.release(index);
        self.dirty_functions.push(ended.function);
        self.run_rules(actions);
    }

    /// Handles the result of a load command.
    pub fn on_load_result(
        &mut self,
        now: f64,
        executor: ExecutorId,
        function: u64,
        status: DispatchStatus,
        actions: &mut dyn Actions,
    ) {
        self.now = now;
        let Some(function) = self.workload.functions.find(function) else {
            return;
        };
        let Some(executor) = self.executors.find(executor) else {
            return;
        };
        self.executors.record_load_status(executor, status);
        let record = &mut self.workload.functions[function];
        if status == DispatchStatus::Ok && self.executors[executor].is_ready() {
            record.record_warm(executor, now, now + self.replica_lifetime);
        } else {
            record.evict(executor);
            if is_connection_failure(status) {
                self.record_connection_failure(executor);
            }
        }
        let has_succeeded = status == DispatchStatus::Ok;
        self.finish_placement(function, executor, true, has_succeeded);
        self.dirty_functions.push(function);
        self.run_rules(actions);
    }

    fn record_load_report(&mut self, executor: ExecutorIndex, result: &DispatchResult) {
        if let Some(invocations) = result.reported_value(self.config.backlog_field) {
            self.load_score.record_backlog(invocations);
            self.executors
                .record_backlog(executor, invocations, self.now);
        }
        if let Some(loads) = result.reported_value(self.config.pending_loads_field) {
            self.load_score.record_pending_loads(loads, self.now);
        }
    }

    fn update_warm_replicas(&mut self, ended: &EndedDispatch, result: &DispatchResult) {
        let executor = ended.dispatch.executor;
        let desired_replicas = self.desired_replicas(ended.function);
        let has_ended_early = self.has_ended_early(ended, result);
        let function = &mut self.workload.functions[ended.function];
        match result.status {
            DispatchStatus::Ok if self.executors[executor].is_ready() => {
                function.record_warm(executor, self.now, self.now + self.replica_lifetime);
                if self.config.reports_concurrency {
                    let concurrency = f64::from(result.function_concurrency) * desired_replicas;
                    function.record_fleet_concurrency(concurrency, CONCURRENCY_SMOOTHING_FACTOR);
                }
            }
            DispatchStatus::Full => function.record_full(executor),
            // A client timeout this early is no evidence that the replica is gone.
            DispatchStatus::TimedOut if has_ended_early => {}
            DispatchStatus::TimedOut
            | DispatchStatus::ConnectFailed
            | DispatchStatus::Reset
            | DispatchStatus::NotLoaded => function.evict(executor),
            DispatchStatus::Ok
            | DispatchStatus::Error
            | DispatchStatus::Cancelled
            | DispatchStatus::NeverSent => {}
        }
    }

    fn has_ended_early(&self, ended: &EndedDispatch, result: &DispatchResult) -> bool {
        let trigger_type = &self.config.trigger_types[ended.trigger_type];
        result.duration < SILENCE_FRACTION * trigger_type.latency_objective
    }

    /// Counts an earlier failure of a function against the executor at which it failed, now that another executor has
    /// served the function. The failure occurred before any executor had served it.
    fn attribute_earlier_failure(&mut self, function: FunctionIndex, executor: ExecutorIndex) {
        let failed_at = self.workload.functions[function].take_unattributed_failure(executor);
        if let Some(failed_at) = failed_at {
            self.record_failure(failed_at);
        }
    }

    /// Updates the baseline latency, the concurrency limit and the samples of outlier detection from a result.
    fn record_latency(&mut self, ended: &EndedDispatch, result: &DispatchResult) {
        if let Some(sample) = self.latency_sample(ended, result) {
            self.record_sample(ended.dispatch.executor, sample);
        }
    }

    /// Updates the baseline latency and the concurrency limit from a result. Returns its sample for outlier detection,
    /// if the result is evidence about the executor.
    fn latency_sample(&mut self, ended: &EndedDispatch, result: &DispatchResult) -> Option<Sample> {
        let executor = ended.dispatch.executor;
        let trigger_type = ended.trigger_type;
        let objective = self.config.trigger_types[trigger_type].latency_objective;
        let latency_in_objectives = result.duration / objective;
        match result.status {
            DispatchStatus::Ok if waited_for_load(ended, result) => None,
            DispatchStatus::Ok => {
                self.executors.reset_full_backoff(executor);
                self.baseline.record_latency(trigger_type, result.duration);
                self.record_completed_work(executor, trigger_type);
                self.record_limit_latency(latency_in_objectives, ended);
                let latency = self.baseline.relative(trigger_type, result.duration);
                Some(Sample::Answered(latency))
            }
            DispatchStatus::Error if result.replica_state == ReplicaState::LoadFailed => None,
            // Failure mode: clients invoke functions that no executor knows. Until a function has been served, the
            // function or its client may have caused the failure, which counts only when another executor serves the
            // function.
            // Risk: a failing executor is detected later.
            DispatchStatus::Error if !self.workload.functions[ended.function].was_served() => {
                self.workload.functions[ended.function].record_unattributed_failure(executor);
                None
            }
            DispatchStatus::Error => Some(Sample::Failed),
            DispatchStatus::Reset | DispatchStatus::ConnectFailed => {
                self.record_connection_failure(executor);
                None
            }
            // A short client timeout is not the executor's fault. The elapsed time is a lower bound of the latency.
            DispatchStatus::TimedOut => {
                if latency_in_objectives > self.concurrency_limit.typical_latency() {
                    self.record_limit_latency(latency_in_objectives, ended);
                }
                let latency = self.baseline.relative(trigger_type, result.duration);
                Some(Sample::Unanswered(latency))
            }
            DispatchStatus::Full => {
                self.executors.start_full_backoff(
                    executor,
                    self.now,
                    FULL_BACKOFF,
                    MAX_FULL_DOUBLINGS,
                );
                self.record_limit_latency(REJECTION_LATENCY, ended);
                None
            }
            // Failure mode: a silent executor appears healthy once its invocations are retried elsewhere and none is in
            // flight there. The time until the cancellation therefore counts as a sample.
            // Risk: an executor whose invocations are cancelled for another reason is ejected.
            DispatchStatus::Cancelled if !result.is_answered => {
                let latency = self.baseline.relative(trigger_type, result.duration);
                Some(Sample::Unanswered(latency))
            }
            DispatchStatus::Cancelled | DispatchStatus::NeverSent | DispatchStatus::NotLoaded => {
                None
            }
        }
    }

    fn record_limit_latency(&mut self, latency: f64, ended: &EndedDispatch) {
        self.concurrency_limit.record_latency(
            latency,
            ended.dispatch.sent_at,
            self.now,
            self.membership.front_ends,
        );
    }

    fn record_completed_work(&mut self, executor: ExecutorIndex, trigger_type: usize) {
        if self.slow_start_weight(executor) >= 1.0 {
            self.slow_start.record_completed_work(
                &mut self.executors,
                executor,
                self.baseline.latency(trigger_type),
                self.now,
            );
        }
    }
}

/// Whether the dispatch had to wait for a load.
fn waited_for_load(ended: &EndedDispatch, result: &DispatchResult) -> bool {
    match result.replica_state {
        ReplicaState::Unknown => ended.dispatch.is_placement,
        ReplicaState::Warm => false,
        ReplicaState::ColdStart | ReplicaState::JoinedLoad | ReplicaState::LoadFailed => true,
    }
}

fn is_connection_failure(status: DispatchStatus) -> bool {
    matches!(
        status,
        DispatchStatus::ConnectFailed | DispatchStatus::Reset
    )
}
