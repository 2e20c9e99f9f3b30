//! Recent traffic of this front end.

use crate::state::DecayingSum;

/// Time constant of all sums over the traffic, in seconds.
pub(super) const TRAFFIC_TIME_CONSTANT: f64 = 8.0;

/// Sums over the recent traffic of this front end.
#[derive(Default)]
pub(super) struct Traffic {
    invocations: DecayingSum,
    /// Sum of the baseline latencies of the recent invocations, in seconds.
    work: DecayingSum,
}

impl Traffic {
    /// Adds an invocation. Returns the decayed number of recent invocations including it.
    pub(super) fn record_invocation(&mut self, now: f64) -> f64 {
        self.invocations.add(1.0, now, TRAFFIC_TIME_CONSTANT)
    }

    /// Adds the expected work of an invocation, in seconds.
    pub(super) fn record_work(&mut self, work: f64, now: f64) {
        self.work.add(work, now, TRAFFIC_TIME_CONSTANT);
    }

    /// Returns the decayed number of recent invocations.
    pub(super) fn invocations(&self, now: f64) -> f64 {
        self.invocations.at(now, TRAFFIC_TIME_CONSTANT)
    }

    /// Returns the decayed sum of the expected work of recent invocations, in seconds.
    pub(super) fn work(&self, now: f64) -> f64 {
        self.work.at(now, TRAFFIC_TIME_CONSTANT)
    }
}
