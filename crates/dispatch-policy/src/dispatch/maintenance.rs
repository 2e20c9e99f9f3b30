//! What the timer has done besides the rules: subscriptions, outlier detection, and the sweep of unused records.

use super::Dispatcher;
use crate::interface::Actions;

/// Ticks from one maintenance to the next.
const MAINTENANCE_TICKS: f64 = 4.0;
/// Seconds after which an unused function, or an executor in no endpoint list, is forgotten.
///
/// Failure mode: functions and executors with ever new identifiers fill the memory.
/// Risk: an executor that comes back later is cold without having announced it.
pub(super) const FORGET_AFTER: f64 = 120.0;
/// Functions above which unused ones are forgotten at once: some 10 MB of the 32 MB that a front end may have.
const MAX_FUNCTIONS: usize = 16_384;
/// Seconds by which a timer may fire early.
const TIMER_TOLERANCE: f64 = 1e-6;

impl Dispatcher {
    /// The timer fired. A timer that was set before the latest one is ignored.
    pub fn on_timer(&mut self, now: f64, _mark: u64, actions: &mut dyn Actions) {
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
