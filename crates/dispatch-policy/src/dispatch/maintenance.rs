//! Work triggered by the timer besides the rules: subscriptions, outlier detection and the removal of unused records.

use super::{Dispatcher, placement};
use crate::interface::{Actions, Invocation};
use crate::state::FunctionIndex;

/// Ticks between two maintenance runs.
const MAINTENANCE_TICKS: f64 = 4.0;
/// Seconds after which an unused function, or an executor that is in no endpoint list, is removed.
///
/// Failure mode: functions and executors with ever new identifiers fill the memory.
/// Risk: an executor that returns later is cold although it has announced no start.
pub(super) const FORGET_AFTER: f64 = 120.0;
/// Number of functions above which unused ones are removed immediately, unless the configuration sets another.
pub(super) const DEFAULT_MAX_FUNCTIONS: usize = 16_384;
/// Seconds by which a timer may fire early.
const TIMER_TOLERANCE: f64 = 1e-6;

impl Dispatcher {
    /// Handles an expired timer. A timer that was set before the latest one is ignored.
    pub fn on_timer(&mut self, now: f64, _token: u64, actions: &mut dyn Actions) {
        self.now = now;
        if now + TIMER_TOLERANCE < self.next_timer_at {
            return;
        }
        self.next_timer_at = f64::INFINITY;
        if self.config.polls_endpoints && now >= self.next_subscription_at {
            self.next_subscription_at = f64::INFINITY;
            actions.subscribe_to_endpoints();
        }
        if now >= self.next_maintenance_at {
            self.next_maintenance_at = now + MAINTENANCE_TICKS * self.tick_interval;
            self.run_maintenance();
        }
        self.run_rules(actions);
    }

    /// The number of functions above which unused ones are removed immediately.
    fn max_functions(&self) -> usize {
        self.config.max_functions.unwrap_or(DEFAULT_MAX_FUNCTIONS)
    }

    /// Returns the index of the function of an invocation. If it is new and the table is full, others are
    /// forgotten in its favor, so that only functions that are in use exceed the limit.
    pub(super) fn find_or_insert_function(&mut self, invocation: &Invocation) -> FunctionIndex {
        let max_functions = self.max_functions();
        let functions = &mut self.workload.functions;
        if functions.find(invocation.function).is_none() {
            while functions.function_count() >= max_functions && functions.forget_one(self.now) {}
        }
        functions.find_or_insert(
            invocation.function,
            invocation.concurrency,
            invocation.load_time.unwrap_or(placement::DEFAULT_LOAD_TIME),
        )
    }

    fn run_maintenance(&mut self) {
        self.detect_outliers();
        self.load_budget.expire(self.now);
        let is_over_capacity = self.workload.functions.function_count() > self.max_functions();
        let unused_since = if is_over_capacity {
            self.now
        } else {
            self.now - FORGET_AFTER
        };
        self.workload.functions.sweep(unused_since, self.now);
        let invocations = &self.workload.invocations;
        let in_flight = self.executors.invocations_in_flight();
        self.dirty_functions
            .extend(in_flight.map(|index| invocations[index].function()));
    }
}
