//! Budget of load commands: a fixed number per window, plus a fraction of the invocations accepted in the window.

use crate::interface::PolicyConfig;
use crate::state::SlidingWindow;

/// Number of invocations in the window above which further ones do not raise the budget.
const MAX_COUNTED_INVOCATIONS: f64 = 65_536.0;

/// Accepted invocations and load commands within the window of the budget. Times are in seconds.
pub(super) struct LoadBudget {
    /// Load commands granted in each window regardless of traffic.
    floor: f64,
    /// Load commands granted for each invocation in the window.
    fraction: f64,
    /// Length of the window; 0 if load commands are unlimited.
    window: f64,
    clock_tick: f64,
    accepted_at: SlidingWindow,
    commanded_at: SlidingWindow,
}

impl LoadBudget {
    /// Creates the load budget of a deployment.
    pub(super) fn new(config: &PolicyConfig) -> LoadBudget {
        LoadBudget {
            floor: config.load_budget_floor,
            fraction: config.load_budget_fraction,
            window: config.load_budget_window,
            clock_tick: config.clock_tick,
            accepted_at: SlidingWindow::default(),
            commanded_at: SlidingWindow::default(),
        }
    }

    /// Adds an accepted invocation.
    ///
    /// Failure mode: clients that send and cancel at full speed fill the memory with the times of their invocations.
    /// Risk: the budget is smaller than the invocations would allow.
    pub(super) fn record_invocation(&mut self, now: f64) {
        if self.accepted_at.count_after(now - self.window) < MAX_COUNTED_INVOCATIONS {
            self.accepted_at.add(now);
        }
    }

    /// Removes an invocation that was accepted at `accepted_at` and cancelled by its client.
    pub(super) fn withdraw_invocation(&mut self, accepted_at: f64) {
        self.accepted_at.remove(accepted_at);
    }

    /// Adds a load command.
    pub(super) fn record_command(&mut self, now: f64) {
        self.commanded_at.add(now);
    }

    /// Removes a load command that was added at `commanded_at`.
    pub(super) fn withdraw_command(&mut self, commanded_at: f64) {
        self.commanded_at.remove(commanded_at);
    }

    /// Drops invocations that are older than the window.
    pub(super) fn expire(&mut self, now: f64) {
        self.accepted_at.count_after(now - self.window);
    }

    /// Whether a fraction of the budget allows another load command. The window is one clock tick longer for load
    /// commands and one shorter for invocations, so that the resolution of the clock never causes the budget to be
    /// exceeded.
    pub(super) fn allows_command(&mut self, fraction: f64, now: f64) -> bool {
        let window_start = now - self.window;
        let commands = self
            .commanded_at
            .count_after(window_start - self.clock_tick);
        let invocations = self.accepted_at.count_after(window_start + self.clock_tick);
        let granted = self.floor + self.fraction * invocations;
        self.window <= 0.0 || commands + 1.0 <= fraction * granted
    }
}
