//! Outlier detection: executors that hang, fail or have become slow are ejected and later receive trial dispatches.

use super::Dispatcher;
use super::baseline_latency::BaselineLatency;
use crate::state::{ExecutorIndex, ExecutorTable, InvocationTable, SampleRequirements, quantile};

/// Samples that an executor needs to be compared with its peers.
pub(super) const SAMPLE_REQUIREMENTS: SampleRequirements = SampleRequirements {
    min_samples: 4,
    max_samples: 16,
    sample_lifetime: 5.0,
};
/// Quantile of an executor's latencies that is compared with its peers.
const COMPARED_QUANTILE: f64 = 0.85;
/// Quantile of the peers' values with which an executor is compared.
const PEER_QUANTILE: f64 = 0.45;
/// An executor is ejected if its value exceeds this multiple of the peers' value. The threshold is at least this many
/// baseline latencies.
const EJECTION_RATIO: f64 = 12.0;
/// Upper bound of the sample of an unanswered dispatch, in baseline latencies.
const MAX_UNANSWERED_LATENCY: f64 = 20.0;
/// Latency sample of a failure, which exceeds any measured latency. If most executors fail, none is ejected.
///
/// Failure mode: an executor fails fast while its peers are slow. The threshold follows the peers and would exceed any
/// finite sample.
/// Risk: a few failures eject an executor until its samples expire.
const FAILURE_LATENCY: f64 = f64::INFINITY;
/// Seconds after a connection failure during which an executor receives no trial dispatch.
const TRIAL_DELAY_AFTER_FAILURE: f64 = 1.0;
/// Seconds during which a connection failure counts towards a failure of its zone.
const ZONE_FAILURE_WINDOW: f64 = 8.0;

/// Contribution of a dispatch to the latency samples of its executor, in baseline latencies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Sample {
    /// The dispatch was answered after this latency.
    Answered(f64),
    /// The dispatch was abandoned after this time without an answer.
    Unanswered(f64),
    /// The dispatch failed.
    Failed,
}

impl Sample {
    fn latency(self) -> f64 {
        match self {
            Sample::Answered(latency) => latency,
            Sample::Unanswered(latency) => latency.min(MAX_UNANSWERED_LATENCY),
            Sample::Failed => FAILURE_LATENCY,
        }
    }
}

impl Dispatcher {
    /// Adds a sample. Runs outlier detection if the executor is ejected or the sample may cause an ejection.
    pub(super) fn record_sample(&mut self, executor: ExecutorIndex, sample: Sample) {
        let latency = sample.latency();
        self.executors
            .record_latency_sample(executor, self.now, latency);
        if latency >= EJECTION_RATIO || self.executors[executor].is_ejected() {
            self.detect_outliers();
        }
    }

    /// Adds a failure and runs outlier detection.
    pub(super) fn record_failure(&mut self, executor: ExecutorIndex) {
        self.record_sample(executor, Sample::Failed);
    }

    /// Ejects an executor whose connection broke or could not be established, regardless of the endpoint list. If a
    /// second executor of a zone fails within the window and no executor of the zone has responded since the first
    /// failure, all executors of the zone are treated as if they had just started.
    ///
    /// Failure mode: an executor that responds after a failure may have just started, and all front ends together
    /// overload it.
    /// Risk: a short network failure reduces the work of an executor for a while.
    pub(super) fn record_connection_failure(&mut self, executor: ExecutorIndex) {
        self.executors.record_connection_failure(executor, self.now);
        let first = self
            .executors
            .first_failure_in_zone(executor, self.now, ZONE_FAILURE_WINDOW);
        if first < self.now && !self.executors.zone_responded_after(executor, first) {
            self.executors.record_zone_failure(executor, self.now);
        }
        self.executors
            .set_next_trial(executor, self.now + TRIAL_DELAY_AFTER_FAILURE);
        self.detect_outliers();
    }

    /// Compares a high latency quantile of each executor with those of its peers, and ejects executors that are far
    /// above. Dispatches in flight count with their age.
    ///
    /// Failure mode: executors hang, fail fast or have become slow.
    /// Risk: an executor with heavier work than its peers is ejected.
    pub(super) fn detect_outliers(&mut self) {
        self.executors.retain_outlier_candidates(self.now);
        let quantiles: Vec<(ExecutorIndex, f64)> = self
            .executors
            .outlier_candidates()
            .iter()
            .filter_map(|&candidate| {
                let high = high_quantile(
                    &self.executors,
                    &self.workload.invocations,
                    &self.baseline,
                    candidate,
                    self.now,
                )?;
                Some((candidate, high))
            })
            .collect();
        let ready_quantiles = quantiles
            .iter()
            .filter(|(candidate, _)| self.executors[*candidate].is_ready())
            .map(|(_, high)| *high)
            .collect();
        let peer_quantile = quantile(ready_quantiles, PEER_QUANTILE).unwrap_or(1.0);
        let max_quantile = EJECTION_RATIO * peer_quantile.max(1.0);
        let outliers = quantiles
            .iter()
            .filter(|(_, high)| *high > max_quantile)
            .map(|(candidate, _)| *candidate)
            .filter(|&candidate| self.has_ready_peer(candidate))
            .collect();
        self.executors.set_ejected(outliers);
    }

    fn has_ready_peer(&self, executor: ExecutorIndex) -> bool {
        let own_count = usize::from(self.executors[executor].is_ready());
        self.executors.ready_count() > own_count
    }
}

/// Returns the high quantile of an executor's latencies in baseline latencies, including the ages of dispatches that
/// have been unanswered for long. Returns `None` if there are too few samples.
fn high_quantile(
    executors: &ExecutorTable,
    invocations: &InvocationTable,
    baseline: &BaselineLatency,
    executor: ExecutorIndex,
    now: f64,
) -> Option<f64> {
    let ages = executors[executor]
        .unanswered_dispatches()
        .map(|dispatch| {
            let trigger_type = invocations[dispatch.invocation].trigger_type();
            baseline.relative(trigger_type, now - dispatch.sent_at)
        })
        .filter(|&age| age > EJECTION_RATIO);
    let latencies: Vec<f64> = executors
        .latency_samples(executor, now)
        .chain(ages)
        .collect();
    if latencies.len() < SAMPLE_REQUIREMENTS.min_samples {
        return None;
    }
    quantile(latencies, COMPARED_QUANTILE)
}
