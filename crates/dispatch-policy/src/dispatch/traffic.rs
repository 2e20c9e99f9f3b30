//! How much this front end was invoked lately.

use crate::state::DecayingSum;

/// Time constant of all sums over the traffic, in seconds.
pub(super) const TRAFFIC_TIME_CONSTANT: f64 = 8.0;

/// Sums over the recent traffic of this front end.
#[derive(Default)]
pub(super) struct Traffic {
    invocations: DecayingSum,
    /// Baseline latencies of these, in seconds.
    work: DecayingSum,
}

impl Traffic {
    /// Adds an invocation; returns the recent invocations with it.
    pub(super) fn record_invocation(&mut self, now: f64) -> f64 {
        self.invocations.add(1.0, now, TRAFFIC_TIME_CONSTANT)
    }

    /// Adds the expected work of an invocation, in seconds.
    pub(super) fn record_work(&mut self, work: f64, now: f64) {
        self.work.add(work, now, TRAFFIC_TIME_CONSTANT);
    }

    /// Recent invocations.
    pub(super) fn invocations(&self, now: f64) -> f64 {
        self.invocations.at(now, TRAFFIC_TIME_CONSTANT)
    }

    /// Expected work of the recent invocations, in seconds.
    pub(super) fn work(&self, now: f64) -> f64 {
        self.work.at(now, TRAFFIC_TIME_CONSTANT)
    }
}
