//! Outlier detection: executors that hang, fail or have become slow are ejected, and tried again later.

use super::Dispatcher;
use super::baseline_latency::BaselineLatency;
use crate::state::{ExecutorIndex, ExecutorTable, InvocationTable, SampleRequirements, quantile};

/// What an executor needs to be compared with its peers.
pub(super) const SAMPLE_REQUIREMENTS: SampleRequirements = SampleRequirements {
    min_samples: 4,
    max_samples: 16,
    sample_lifetime: 5.0,
};
/// The quantile of an executor's latencies by which it is compared.
const COMPARED_QUANTILE: f64 = 0.85;
/// The quantile of the peers' values that it is compared with.
const PEER_QUANTILE: f64 = 0.45;
/// An executor is ejected above this many times the peers' value, and not below this many baseline latencies.
const EJECTION_RATIO: f64 = 12.0;
/// An unanswered dispatch counts as this many baseline latencies at the most.
const MAX_UNANSWERED_LATENCY: f64 = 20.0;
/// Latency sample of a failure, which is above any other. Where most executors fail none is ejected.
///
/// Failure mode: an executor that fails fast while the peers are slow; a bound that follows the peers would exceed any
/// fixed weight.
/// Risk: a few failures eject an executor until its samples expire.
const FAILURE_LATENCY: f64 = f64::INFINITY;
/// Seconds after a connection failure in which an executor gets no trial dispatch.
const TRIAL_DELAY_AFTER_FAILURE: f64 = 1.0;
/// Seconds for which a connection failure counts as one of its zone.
const ZONE_FAILURE_WINDOW: f64 = 8.0;

/// How a dispatch shows up in the latency samples of its executor, in baseline latencies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Sample {
    /// It was answered after so long.
    Answered(f64),
    /// It was given up after so long without an answer.
    Unanswered(f64),
    /// It failed.
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
    /// Adds a sample, and looks for outliers if the executor is ejected or may become one.
    pub(super) fn record_sample(&mut self, executor: ExecutorIndex, sample: Sample) {
        let latency = sample.latency();
        self.executors
            .record_latency_sample(executor, self.now, latency);
        if latency >= EJECTION_RATIO || self.executors[executor].is_ejected() {
            self.detect_outliers();
        }
    }

    /// Adds a failure, and looks for outliers.
    pub(super) fn record_failure(&mut self, executor: ExecutorIndex) {
        self.record_sample(executor, Sample::Failed);
    }

    /// Ejects an executor whose connection broke or could not be made, whatever the endpoint list says. Where two of a
    /// zone failed and none of it was heard since, the rest of the zone is as doubtful.
    ///
    /// Failure mode: what answers next may have just started, and all front ends push it into overload.
    /// Risk: a short network failure leaves an executor with less work for a while.
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

    /// Compares each executor's high quantile of latencies with those of its peers, and ejects those that are far
    /// above. A dispatch in flight counts with its age.
    ///
    /// Failure mode: executors that hang, fail fast or have become slow.
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

/// The high quantile of an executor's latencies in baselines, with the ages of long unanswered dispatches; `None`
/// where these are too few.
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
