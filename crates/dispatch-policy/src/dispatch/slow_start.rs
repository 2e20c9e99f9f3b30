//! Slow start: executors that just started, or whose connections just failed, receive less work until they are warm.
//! The front ends together must not overload them.

use super::Dispatcher;
use super::rules::TICK_INTERVAL;
use super::time_slots::slot_offset;
use crate::interface::{MembershipView, PolicyConfig};
use crate::state::{Executor, ExecutorIndex, ExecutorTable};

/// Seconds after a connection failure during which an executor that responds again may be as cold as after a start.
const COLD_AFTER_FAILURE: f64 = 8.0;
/// Work that a warming executor can take beyond its budget, in square roots of the budget.
const BUDGET_SLACK: f64 = 2.0;
/// Time constant of the sum of the work that executors complete, in seconds.
const COMPLETED_WORK_TIME_CONSTANT: f64 = 10.0;
/// Lower bound of the observed fraction of the completed work after a start of this front end.
const MIN_OBSERVED_FRACTION: f64 = 0.1;

/// Slow-start weights, and the budgets of warming executors. Times are in seconds.
pub(super) struct SlowStart {
    duration: f64,
    initial_weight: f64,
    max_clock_skew: f64,
    /// Overload threshold of an executor as a multiple of its fair share of the traffic, and the time over which
    /// overload is measured.
    overload_factor: f64,
    overload_window: f64,
    /// Start time of this front end.
    started_at: f64,
}

impl SlowStart {
    /// Creates the slow start of a front end that starts at `now`.
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

    /// Returns the seconds for which the records of work sent to an executor must be kept.
    pub(super) fn sent_work_lifetime(&self) -> f64 {
        2.0 * self.overload_window
    }

    /// Whether a connection to an executor failed so recently that the executor may have just started.
    pub(super) fn has_failed_recently(&self, executor: &Executor, now: f64) -> bool {
        now < executor.last_failure_at() + COLD_AFTER_FAILURE
    }

    /// Returns an executor's capacity as a fraction of that of a warm executor.
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

    /// Returns the earliest time at which an executor can be warm, minus one tick.
    fn warm_at(&self, executor: &Executor) -> f64 {
        let warmed_up_at = executor.started_at() + self.max_clock_skew + self.duration;
        warmed_up_at.max(executor.last_failure_at() + COLD_AFTER_FAILURE) - TICK_INTERVAL
    }

    /// Records work in seconds that a warm executor completed.
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

    /// Whether a warming executor may receive another dispatch of `work` seconds. Its budget for the overload window is
    /// divided among the front ends. They take turns to use fractions of an invocation. A turn is longer than the
    /// window by the maximum clock skew, so that no window overlaps more than two turns.
    ///
    /// Failure mode: front ends whose clocks number the turns differently exceed the budget together.
    /// Risk: a part of the budget is unused.
    fn has_budget(
        &self,
        executors: &ExecutorTable,
        membership: &MembershipView,
        executor: ExecutorIndex,
        work: f64,
        now: f64,
    ) -> bool {
        // Failure mode: front ends detect late that others have started or stopped, and their shares exceed the budget.
        // A front end that just started does not know what it sent before, so it waits until the current window has
        // ended.
        // Risk: a front end without a share can dispatch only to warm executors.
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

    /// Returns this front end's share of an executor's budget, in invocations of `work` seconds: its traffic to a warm
    /// executor of the same kind, scaled to the capacity of the executor. All front ends together have a turn for at
    /// least one invocation.
    fn budget_share(
        &self,
        executors: &ExecutorTable,
        membership: &MembershipView,
        executor: &Executor,
        work: f64,
        now: f64,
    ) -> f64 {
        let kind = executor.kind();
        // A front end that just started has observed only a part of the time constant.
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
        // Risk: a part of the budget is unused.
        let shared_budget = (budget * membership.front_ends).max(1.0);
        let safety_factor = (0.5 + 0.5 * BUDGET_SLACK / shared_budget.sqrt()).min(1.0);
        (budget * safety_factor).max(1.0 / membership.slot_count)
    }
}

impl Dispatcher {
    /// Returns an executor's capacity as a fraction of that of a warm executor.
    pub(super) fn slow_start_weight(&self, executor: ExecutorIndex) -> f64 {
        self.slow_start.weight(&self.executors[executor], self.now)
    }

    /// Whether an executor is warm or has budget for another dispatch of `work` seconds.
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
