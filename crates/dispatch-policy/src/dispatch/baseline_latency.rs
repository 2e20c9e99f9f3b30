//! Baseline latency of each trigger type: the mean latency on a warm replica.

use crate::interface::TriggerType;

/// Initial baseline latency of a trigger type, in latency objectives.
const INITIAL_FRACTION: f64 = 0.25;
/// Smoothing factor of the moving average of latencies.
const SMOOTHING_FACTOR: f64 = 0.015;
/// Smallest baseline latency that is used as a divisor, in seconds.
const MIN_DIVISOR: f64 = 1e-6;

/// Mean latency of successful dispatches to warm replicas, in seconds, by trigger type.
pub(super) struct BaselineLatency {
    by_trigger_type: Vec<f64>,
}

impl BaselineLatency {
    /// Creates the initial baseline latencies of trigger types without results.
    pub(super) fn new(trigger_types: &[TriggerType]) -> BaselineLatency {
        BaselineLatency {
            by_trigger_type: trigger_types.iter().map(initial_baseline).collect(),
        }
    }

    /// Appends a trigger type, or replaces one, with its initial baseline latency.
    pub(super) fn set_trigger_type(&mut self, index: usize, trigger_type: &TriggerType) {
        if index == self.by_trigger_type.len() {
            self.by_trigger_type.push(initial_baseline(trigger_type));
        } else {
            self.by_trigger_type[index] = initial_baseline(trigger_type);
        }
    }

    /// Adds a latency in seconds to the moving average.
    pub(super) fn record_latency(&mut self, trigger_type: usize, latency: f64) {
        let baseline = &mut self.by_trigger_type[trigger_type];
        *baseline += SMOOTHING_FACTOR * (latency - *baseline);
    }

    /// Returns the baseline latency in seconds.
    pub(super) fn latency(&self, trigger_type: usize) -> f64 {
        self.by_trigger_type[trigger_type]
    }

    /// Returns the baseline latency in seconds for use as a divisor; it is never 0.
    pub(super) fn divisor(&self, trigger_type: usize) -> f64 {
        self.latency(trigger_type).max(MIN_DIVISOR)
    }

    /// Converts a latency from seconds to multiples of the baseline latency.
    pub(super) fn relative(&self, trigger_type: usize, latency: f64) -> f64 {
        latency / self.divisor(trigger_type)
    }
}

fn initial_baseline(trigger_type: &TriggerType) -> f64 {
    INITIAL_FRACTION * trigger_type.latency_objective
}
