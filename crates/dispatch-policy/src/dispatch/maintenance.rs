//! Work triggered by the timer besides the rules: subscriptions, outlier detection and the removal of unused records.

use super::Dispatcher;
use crate::interface::Actions;

/// Ticks between two maintenance runs.
const MAINTENANCE_TICKS: f64 = 4.0;
/// Seconds after which an unused function, or an executor that is in no endpoint list, is removed.
///
/// Failure mode: functions and executors with ever new identifiers fill the memory.
/// Risk: an executor that returns later is cold although it has announced no start.
pub(super) const FORGET_AFTER: f64 = 120.0;
/// Number of functions above which unused ones are removed immediately. This number takes about 10 MB of the 32 MB that
/// a front end may use.
const MAX_FUNCTIONS: usize = 16_384;
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

    fn run_maintenance(&mut self) {
        self.detect_outliers();
        self.load_budget.expire(self.now);
        let is_over_capacity = self.workload.functions.function_count() > MAX_FUNCTIONS;
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
