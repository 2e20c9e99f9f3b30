//! Slow start: executors that just started, or whose connections just failed, get less work until they are warm, and
//! no front end may push one into overload.

use super::Dispatcher;
use super::rules::TICK_INTERVAL;
use super::time_slots::slot_offset;
use crate::interface::{MembershipView, PolicyConfig};
use crate::state::{Executor, ExecutorIndex, ExecutorTable};

/// Seconds for which an executor that answers again after a connection failure may be as cold as one just started.
const COLD_AFTER_FAILURE: f64 = 8.0;
/// What an executor that warms up can take over its budget, in square roots of it.
const BUDGET_SLACK: f64 = 2.0;
/// Time constant of the work that executors complete, in seconds.
const COMPLETED_WORK_TIME_CONSTANT: f64 = 10.0;
/// Least fraction of the completed work that counts as seen after a start of this front end.
const MIN_OBSERVED_FRACTION: f64 = 0.1;

/// Slow-start weights, and the budgets of executors that warm up. Times are in seconds.
pub(super) struct SlowStart {
    duration: f64,
    initial_weight: f64,
    max_clock_skew: f64,
    /// Factor on an executor's fair part of the traffic that overloads it, and the time over which that is measured.
    overload_factor: f64,
    overload_window: f64,
    /// When this front end started.
    started_at: f64,
}

impl SlowStart {
    /// Slow start of a front end that starts now.
    pub(super) fn new(config: &PolicyConfig, now: f64) -> SlowStart {
        SlowStart {
            duration: config.slow_start_duration,
            initial_weight: config.slow_start_initial_weight,
            max_clock_skew: config.max_clock_skew,
            overload_factor: config.overload_factor,
            overload_window: config.overload_window,
            started_at: now,
        }
    }

    /// Seconds for which work sent to an executor has to be kept.
    pub(super) fn sent_work_lifetime(&self) -> f64 {
        2.0 * self.overload_window
    }

    /// Whether a connection to an executor failed so recently that it may just have started.
    pub(super) fn has_failed_recently(&self, executor: &Executor, now: f64) -> bool {
        now < executor.last_failure_at() + COLD_AFTER_FAILURE
    }

    /// An executor's capacity as a fraction of a warm one's.
    pub(super) fn weight(&self, executor: &Executor, now: f64) -> f64 {
        let age = now - self.max_clock_skew - executor.started_at();
        let progress = if self.has_failed_recently(executor, now) {
            0.0
        } else if age >= self.duration {
            1.0
        } else {
            (age / self.duration).max(0.0)
        };
        if progress >= 1.0 {
            1.0
        } else {
            self.initial_weight + (1.0 - self.initial_weight) * progress
        }
    }

    /// When an executor can have become warm, a tick earlier.
    fn warm_at(&self, executor: &Executor) -> f64 {
        let warmed_up_at = executor.started_at() + self.max_clock_skew + self.duration;
        warmed_up_at.max(executor.last_failure_at() + COLD_AFTER_FAILURE) - TICK_INTERVAL
    }

    /// Notes work in seconds that a warm executor completed.
    pub(super) fn record_completed_work(
        &self,
        executors: &mut ExecutorTable,
        executor: ExecutorIndex,
        work: f64,
        now: f64,
    ) {
        let kind = executors[executor].kind();
        let warm_executors = executors.count_warm(
            kind,
            now,
            |executor| self.weight(executor, now) < 1.0,
            |executor| self.warm_at(executor),
        ) as f64;
        executors.record_completed_work(
            executor,
            warm_executors,
            work,
            now,
            COMPLETED_WORK_TIME_CONSTANT,
        );
    }

    /// Whether an executor that warms up may get another dispatch of so much work, in seconds. Its budget over the
    /// overload window is divided among the front ends; what is less than a whole invocation is had by turns. A turn
    /// lasts longer by what clocks may differ, so that no window has more than two.
    ///
    /// Failure mode: front ends whose clocks number the turns differently exceed the budget together.
    /// Risk: part of the budget is left unused.
    fn has_budget(
        &self,
        executors: &ExecutorTable,
        membership: &MembershipView,
        executor: ExecutorIndex,
        work: f64,
        now: f64,
    ) -> bool {
        // Failure mode: front ends see each other come and go late, and their parts exceed the whole. One that just
        // started doesn't know what it sent before: it waits until the window under way is over.
        // Risk: a front end without a part has only warm executors to dispatch to.
        let window = self.overload_window;
        if !membership.has_budget_share || now < self.started_at + window + 2.0 * TICK_INTERVAL {
            return false;
        }
        let window_start = now - window - 2.0 * TICK_INTERVAL;
        let slot = (now / (window + self.max_clock_skew)) as u64;
        let budget = self.budget_share(executors, membership, &executors[executor], work, now);
        let granted = (budget + slot_offset(membership, executors, executor, slot)).floor();
        executors[executor].work_sent_since(window_start) / work + 1.0 <= granted
    }

    /// This front end's part of an executor's budget, in invocations: its part of the traffic to a warm executor of
    /// the kind, scaled to what the executor can do. All front ends together have a turn for one at least.
    fn budget_share(
        &self,
        executors: &ExecutorTable,
        membership: &MembershipView,
        executor: &Executor,
        work: f64,
        now: f64,
    ) -> f64 {
        let kind = executor.kind();
        // A front end that just started has seen a part of the time only.
        let observed_time = COMPLETED_WORK_TIME_CONSTANT
            * (1.0 - (-(now - self.started_at) / COMPLETED_WORK_TIME_CONSTANT).exp())
                .max(MIN_OBSERVED_FRACTION);
        let warm_executors = executors
            .warm_executors(kind, now, COMPLETED_WORK_TIME_CONSTANT)
            .max(1.0);
        let work_rate = executors.completed_work(kind, now, COMPLETED_WORK_TIME_CONSTANT)
            / observed_time
            / warm_executors;
        let budget =
            work_rate * self.weight(executor, now) * self.overload_factor * self.overload_window
                / work;
        // Failure mode: the turns of two slots fall into one window and exceed what the executor can take.
        // Risk: part of the budget is left unused.
        let shared_budget = (budget * membership.front_ends).max(1.0);
        let safety_factor = (0.5 + 0.5 * BUDGET_SLACK / shared_budget.sqrt()).min(1.0);
        (budget * safety_factor).max(1.0 / membership.slot_count)
    }
}

impl Dispatcher {
    /// An executor's capacity as a fraction of a warm one's.
    pub(super) fn slow_start_weight(&self, executor: ExecutorIndex) -> f64 {
        self.slow_start.weight(&self.executors[executor], self.now)
    }

    /// Whether an executor is warm, or has budget for another dispatch of so much work, in seconds.
    pub(super) fn has_slow_start_budget(&self, executor: ExecutorIndex, work: f64) -> bool {
        self.executors.all_are_warm()
            || self.slow_start_weight(executor) >= 1.0
            || self.slow_start.has_budget(
                &self.executors,
                &self.membership,
                executor,
                work,
                self.now,
            )
    }
}
