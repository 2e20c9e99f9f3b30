//! Rules that serve waiting and slow invocations, the order in which they apply, and the timer that runs them again.

use super::Dispatcher;
use crate::interface::Actions;
use crate::state::FunctionIndex;

/// Interval in seconds at which waiting invocations are evaluated again, unless the clock is coarser.
pub(super) const TICK_INTERVAL: f64 = 0.025;

/// Number of functions with waiting invocations up to which every input runs the rules for all of them. Above it, that
/// happens once in each tick, and the other inputs run the rules for the functions that they changed.
///
/// Failure mode: invocations of ever new functions wait, and each input takes a time proportional to their number.
/// Risk: capacity that an input frees serves another function up to a tick later.
const MAX_WAITING_FUNCTIONS_PER_INPUT: usize = 64;

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
    /// Runs the rules for the functions that an input changed and for those with waiting invocations, then sets the
    /// timer for the remaining invocations.
    pub(super) fn run_rules(&mut self, actions: &mut dyn Actions) {
        self.mark_waiting_functions();
        let functions = &self.workload.functions;
        // The function with the most waiting invocations comes first, so that scarce capacity and loads serve the most
        // invocations.
        self.dirty_functions
            .sort_by_key(|&function| functions[function].waiting().len());
        while let Some(function) = self.dirty_functions.pop() {
            while RULES.iter().any(|rule| rule(self, function, actions)) {}
        }
        self.set_next_timer(actions);
    }

    /// Marks all functions with waiting invocations for the rules, unless they are too many to do so with every input.
    fn mark_waiting_functions(&mut self) {
        let waiting = self.workload.functions.with_waiting();
        if waiting.len() > MAX_WAITING_FUNCTIONS_PER_INPUT {
            if self.now < self.next_full_run_at {
                return;
            }
            self.next_full_run_at = self.now + self.tick_interval;
        }
        self.dirty_functions.extend(waiting);
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
