//! The records of outlier detection: latency samples, ejected executors, connection failures.

use super::executor::{Executor, LatencySample};
use super::{ExecutorIndex, ExecutorTable};

/// How many latency samples outlier detection needs, and how long they count.
#[derive(Clone, Copy, Default)]
pub struct SampleRequirements {
    /// Samples and dispatches in flight that an executor needs to be compared with others.
    pub min_samples: usize,
    /// Samples kept of an executor.
    pub max_samples: usize,
    /// Seconds that a sample counts.
    pub sample_lifetime: f64,
}

/// Executors that outlier detection has to look at.
#[derive(Default)]
pub(super) struct OutlierIndex {
    requirements: SampleRequirements,
    /// Executors with enough samples and dispatches in flight, and perhaps some that no longer have them.
    candidates: Vec<ExecutorIndex>,
    /// All that are ejected, and perhaps some that no longer are.
    ejected: Vec<ExecutorIndex>,
    /// Executors with a recent connection failure, and perhaps some whose failure is long ago.
    failed: Vec<ExecutorIndex>,
}

impl OutlierIndex {
    pub(super) fn new(requirements: SampleRequirements) -> OutlierIndex {
        OutlierIndex {
            requirements,
            ..OutlierIndex::default()
        }
    }

    /// Notes that an executor may have a recent connection failure.
    pub(super) fn add_failed(&mut self, executor: ExecutorIndex) {
        self.failed.push(executor);
    }
}

impl SampleRequirements {
    /// Whether an executor has enough samples. Without a new dispatch or sample that can only cease.
    fn are_met(&self, executor: &Executor, now: f64) -> bool {
        let missing = self.min_samples.saturating_sub(executor.in_flight.len());
        let samples = &executor.outlier.samples;
        // The samples are in the order in which they came: those that count are the last ones.
        missing == 0
            || samples.len() >= missing
                && now < samples[samples.len() - missing].recorded_at + self.sample_lifetime
    }
}

impl ExecutorTable {
    /// The executors with enough samples, and perhaps some that no longer have them.
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

    /// Drops the candidates that no longer have enough samples.
    pub fn retain_outlier_candidates(&mut self, now: f64) {
        let requirements = self.outliers.requirements;
        let executors = &mut self.executors;
        self.outliers.candidates.retain(|executor| {
            let record = &mut executors[executor.position()];
            record.outlier.is_candidate = requirements.are_met(record, now);
            record.outlier.is_candidate
        });
    }

    /// The latencies of an executor's samples that count, in baseline latencies.
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

    /// Adds a latency sample, in baseline latencies; infinity for a failure.
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

    /// Sets which executors are ejected; all others are not.
    pub fn set_ejected(&mut self, ejected: Vec<ExecutorIndex>) {
        for executor in &self.outliers.ejected {
            self.executors[executor.position()].outlier.is_ejected = false;
        }
        for executor in &ejected {
            self.executors[executor.position()].outlier.is_ejected = true;
        }
        self.outliers.ejected = ejected;
    }

    /// Sets when an ejected executor may next have a trial dispatch, in seconds.
    pub fn set_next_trial(&mut self, executor: ExecutorIndex, at: f64) {
        self.executors[executor.position()].outlier.next_trial_at = at;
    }

    /// An upper bound of the number of executors that are ejected.
    pub fn ejected_upper_bound(&self) -> usize {
        self.outliers.ejected.len()
    }

    /// Notes that a connection to an executor broke or could not be made: its samples are all failures.
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

    /// When the first connection failure of the last `window` seconds happened in an executor's zone; now if there
    /// was none.
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

    /// Whether any executor in an executor's zone was heard after a moment.
    pub fn zone_responded_after(&self, executor: ExecutorIndex, moment: f64) -> bool {
        let zone = self[executor].zone();
        self.executors
            .iter()
            .any(|other| other.zone() == zone && other.last_response_at > moment)
    }

    /// Notes a connection failure now of all executors in an executor's zone.
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
