//! The state of outlier detection: latency samples, ejected executors and connection failures.

use super::executor::{Executor, LatencySample};
use super::{ExecutorIndex, ExecutorTable};

/// The number of latency samples that outlier detection needs, and the time for which they count.
#[derive(Clone, Copy, Default)]
pub struct SampleRequirements {
    /// Number of samples and dispatches in flight together that an executor needs to be compared with others.
    pub min_samples: usize,
    /// Number of samples that are kept of an executor.
    pub max_samples: usize,
    /// Time for which a sample counts, in seconds.
    pub sample_lifetime: f64,
}

/// The executors that outlier detection has to examine. Each list may contain entries that no longer belong there;
/// these are removed when the list is next filtered or replaced.
#[derive(Default)]
pub(super) struct OutlierIndex {
    requirements: SampleRequirements,
    /// Executors with enough samples and dispatches in flight.
    candidates: Vec<ExecutorIndex>,
    /// Executors that are ejected.
    ejected: Vec<ExecutorIndex>,
    /// Executors with a recent connection failure.
    failed: Vec<ExecutorIndex>,
}

impl OutlierIndex {
    pub(super) fn new(requirements: SampleRequirements) -> OutlierIndex {
        OutlierIndex {
            requirements,
            ..OutlierIndex::default()
        }
    }

    /// Adds an executor that may have a recent connection failure.
    pub(super) fn add_failed(&mut self, executor: ExecutorIndex) {
        self.failed.push(executor);
    }
}

impl SampleRequirements {
    /// Returns whether an executor has enough samples. This can become true only by a new dispatch or sample.
    fn are_met(&self, executor: &Executor, now: f64) -> bool {
        let missing = self.min_samples.saturating_sub(executor.in_flight.len());
        let samples = &executor.outlier.samples;
        // Samples are in chronological order, so the ones that still count are the last ones.
        missing == 0
            || samples.len() >= missing
                && now < samples[samples.len() - missing].recorded_at + self.sample_lifetime
    }
}

impl ExecutorTable {
    /// Returns the executors with enough samples. Until the next call of
    /// [`retain_outlier_candidates`](Self::retain_outlier_candidates) some may no longer have them.
    pub fn outlier_candidates(&self) -> &[ExecutorIndex] {
        &self.outliers.candidates
    }

    /// Adds an executor to the candidates if it has enough samples.
    pub(super) fn add_outlier_candidate(&mut self, executor: ExecutorIndex, now: f64) {
        let record = &mut self.executors[executor.position()];
        if !record.outlier.is_candidate && self.outliers.requirements.are_met(record, now) {
            record.outlier.is_candidate = true;
            self.outliers.candidates.push(executor);
        }
    }

    /// Removes the candidates that no longer have enough samples.
    pub fn retain_outlier_candidates(&mut self, now: f64) {
        let requirements = self.outliers.requirements;
        let executors = &mut self.executors;
        self.outliers.candidates.retain(|executor| {
            let record = &mut executors[executor.position()];
            record.outlier.is_candidate = requirements.are_met(record, now);
            record.outlier.is_candidate
        });
    }

    /// Returns the latencies of an executor's samples that have not expired, as multiples of the baseline latency.
    pub fn latency_samples(
        &self,
        executor: ExecutorIndex,
        now: f64,
    ) -> impl Iterator<Item = f64> + '_ {
        let lifetime = self.outliers.requirements.sample_lifetime;
        self[executor]
            .outlier
            .samples
            .iter()
            .filter(move |sample| now < sample.recorded_at + lifetime)
            .map(|sample| sample.latency)
    }

    /// Adds a latency sample, as a multiple of the baseline latency; infinity for a failure.
    pub fn record_latency_sample(&mut self, executor: ExecutorIndex, now: f64, latency: f64) {
        let samples = &mut self.executors[executor.position()].outlier.samples;
        samples.push_back(LatencySample {
            recorded_at: now,
            latency,
        });
        if samples.len() > self.outliers.requirements.max_samples {
            samples.pop_front();
        }
        self.add_outlier_candidate(executor, now);
    }

    /// Replaces the set of ejected executors.
    pub fn set_ejected(&mut self, ejected: Vec<ExecutorIndex>) {
        for executor in &self.outliers.ejected {
            self.executors[executor.position()].outlier.is_ejected = false;
        }
        for executor in &ejected {
            self.executors[executor.position()].outlier.is_ejected = true;
        }
        self.outliers.ejected = ejected;
    }

    /// Sets the earliest time of the next trial dispatch to an ejected executor, in seconds.
    pub fn set_next_trial(&mut self, executor: ExecutorIndex, at: f64) {
        self.executors[executor.position()].outlier.next_trial_at = at;
    }

    /// Returns an upper bound of the number of ejected executors.
    pub fn ejected_upper_bound(&self) -> usize {
        self.outliers.ejected.len()
    }

    /// Records that a connection to an executor broke or could not be made. The executor's samples are replaced by the
    /// minimum number of failures, so that this one failure is enough to eject it.
    pub fn record_connection_failure(&mut self, executor: ExecutorIndex, now: f64) {
        let failure = LatencySample {
            recorded_at: now,
            latency: f64::INFINITY,
        };
        let record = &mut self.executors[executor.position()];
        record.last_failure_at = now;
        let samples = &mut record.outlier.samples;
        samples.clear();
        samples.extend(std::iter::repeat_n(
            failure,
            self.outliers.requirements.min_samples,
        ));
        self.outliers.failed.push(executor);
        self.add_outlier_candidate(executor, now);
        self.restart_warmup(executor);
    }

    /// Returns the earliest of the executors' latest connection failures in an executor's zone within the last `window`
    /// seconds, or `now` if there was none.
    pub fn first_failure_in_zone(&mut self, executor: ExecutorIndex, now: f64, window: f64) -> f64 {
        let executors = &self.executors;
        let failure_at = |other: &ExecutorIndex| executors[other.position()].last_failure_at;
        self.outliers
            .failed
            .retain(|other| now < failure_at(other) + window);
        let zone = executors[executor.position()].zone();
        self.outliers
            .failed
            .iter()
            .filter(|other| executors[other.position()].zone() == zone)
            .fold(now, |first, other| first.min(failure_at(other)))
    }

    /// Returns whether any executor in an executor's zone responded after a time.
    pub fn zone_responded_after(&self, executor: ExecutorIndex, time: f64) -> bool {
        let zone = self[executor].zone();
        self.executors
            .iter()
            .any(|other| other.zone() == zone && other.last_response_at > time)
    }

    /// Records a connection failure at `now` for all executors in an executor's zone.
    pub fn record_zone_failure(&mut self, executor: ExecutorIndex, now: f64) {
        let zone = self[executor].zone();
        for other in self.indices() {
            let record = &mut self.executors[other.position()];
            if record.zone() == zone {
                record.last_failure_at = now;
                self.outliers.failed.push(other);
            }
        }
        self.restart_all_warmups();
    }
}
