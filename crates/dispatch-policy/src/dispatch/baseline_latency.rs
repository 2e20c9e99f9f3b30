//! The usual latency of each trigger type on a warm replica.

use crate::interface::TriggerType;

/// Baseline latency of a trigger type that was never answered, in latency objectives.
const INITIAL_FRACTION: f64 = 0.25;
/// Weight of the newest latency in the mean.
const SMOOTHING_FACTOR: f64 = 0.015;
/// Shortest baseline by which anything is divided, in seconds.
const MIN_DIVISOR: f64 = 1e-6;

/// Mean latencies of answers from warm replicas, in seconds, by trigger type.
pub(super) struct BaselineLatency {
    by_trigger_type: Vec<f64>,
}

impl BaselineLatency {
    /// Baselines of trigger types that were never answered.
    pub(super) fn new(trigger_types: &[TriggerType]) -> BaselineLatency {
        BaselineLatency {
            by_trigger_type: trigger_types.iter().map(initial_baseline).collect(),
        }
    }

    /// Appends a trigger type, or replaces one, that was never answered.
    pub(super) fn set_trigger_type(&mut self, index: usize, trigger_type: &TriggerType) {
        if index == self.by_trigger_type.len() {
            self.by_trigger_type.push(initial_baseline(trigger_type));
        } else {
            self.by_trigger_type[index] = initial_baseline(trigger_type);
        }
    }

    /// Takes the latency of an answer into the mean, in seconds.
    pub(super) fn record_latency(&mut self, trigger_type: usize, latency: f64) {
        let baseline = &mut self.by_trigger_type[trigger_type];
        *baseline += SMOOTHING_FACTOR * (latency - *baseline);
    }

    /// The baseline in seconds.
    pub(super) fn latency(&self, trigger_type: usize) -> f64 {
        self.by_trigger_type[trigger_type]
    }

    /// The baseline in seconds, as a divisor: never 0.
    pub(super) fn divisor(&self, trigger_type: usize) -> f64 {
        self.latency(trigger_type).max(MIN_DIVISOR)
    }

    /// A latency in baselines.
    pub(super) fn relative(&self, trigger_type: usize, latency: f64) -> f64 {
        latency / self.divisor(trigger_type)
    }
}

fn initial_baseline(trigger_type: &TriggerType) -> f64 {
    INITIAL_FRACTION * trigger_type.latency_objective
}
