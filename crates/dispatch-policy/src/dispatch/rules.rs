//! Rules that serve waiting and slow invocations, the order in which they apply, and the timer that runs them again.

use super::Dispatcher;
use crate::interface::Actions;
use crate::state::FunctionIndex;

/// Interval in seconds at which waiting invocations are evaluated again, unless the clock is coarser.
pub(super) const TICK_INTERVAL: f64 = 0.025;

/// A rule performs one action for a function if it applies. Returns whether it did.
type Rule = fn(&mut Dispatcher, FunctionIndex, &mut dyn Actions) -> bool;

/// For each function, the first applicable rule is run repeatedly until none applies.
const RULES: [Rule; 5] = [
    Dispatcher::shed_unservable,
    Dispatcher::dispatch_to_free_replica,
    Dispatcher::start_placement,
    Dispatcher::dispatch_to_busy_replica,
    Dispatcher::hedge_or_retry_slow,
];

impl Dispatcher {
    /// Runs the rules for all functions that an input changed or that have waiting invocations, then sets the timer for
    /// the remaining invocations.
    pub(super) fn run_rules(&mut self, actions: &mut dyn Actions) {
        let functions = &self.workload.functions;
        self.dirty_functions.extend(functions.with_waiting());
        // The function with the most waiting invocations comes first, so that scarce capacity and loads serve the most
        // invocations.
        self.dirty_functions
            .sort_by_key(|&function| functions[function].waiting().len());
        while let Some(function) = self.dirty_functions.pop() {
            while RULES.iter().any(|rule| rule(self, function, actions)) {}
        }
        self.set_next_timer(actions);
    }

    /// Sets the timer to the next tick while invocations wait, or to the next maintenance while dispatches are in
    /// flight. A subscription that is due earlier takes precedence.
    fn set_next_timer(&mut self, actions: &mut dyn Actions) {
        let next_tick_at = self.now + self.tick_interval;
        let due_at = if !self.workload.functions.with_waiting().is_empty() {
            next_tick_at
        } else if self.executors.in_flight_count() > 0 {
            self.next_maintenance_at.max(next_tick_at)
        } else {
            f64::INFINITY
        };
        let due_at = if self.config.polls_endpoints {
            due_at.min(self.next_subscription_at.max(self.now))
        } else {
            due_at
        };
        if due_at < self.next_timer_at {
            self.next_timer_at = due_at;
            actions.set_timer(due_at - self.now, 0);
        }
    }
}
