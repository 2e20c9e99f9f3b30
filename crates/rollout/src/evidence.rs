//! Evidence on the two versions of a rollout: the outcomes of their invocations, counted at each front end.
//!
//! Versions are compared within strata: the same trigger type, customer and location between the same two reports. A
//! fault that affects both versions then shows in both.

use crate::plan::{GATES, Gate};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The cohort of an invocation: which of the two versions it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Cohort {
    /// The old version.
    #[serde(rename = "old")]
    Baseline,
    /// The new version.
    #[serde(rename = "new")]
    Canary,
}

/// The finest stratum of an invocation, by indices of the deployment's lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StratumKey {
    /// Index of the trigger type.
    pub trigger_type: u16,
    /// Index of the customer.
    pub customer: u16,
    /// Index of the front end's location.
    pub location: u16,
}

/// Counts of one version in one stratum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Final answers.
    pub answers: u64,
    /// Answers of warm replicas, whose latency is compared.
    pub warm: u64,
    /// Loads that ended. For the baseline, those of all other versions, since they come from the same store.
    pub loads: u64,
    /// Events by gate.
    pub events: [u64; GATES.len()],
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Counts) {
        self.answers += other.answers;
        self.warm += other.warm;
        self.loads += other.loads;
        self.events
            .iter_mut()
            .zip(other.events)
            .for_each(|(a, b)| *a += b);
    }

    /// Returns the number of answers or loads among which a gate's events are counted.
    pub fn sample_count(&self, gate: Gate) -> u64 {
        match gate {
            Gate::Errors | Gate::Throttled => self.answers,
            Gate::Slow | Gate::SlowTail => self.warm,
            Gate::LoadFailures => self.loads,
        }
    }

    /// Returns whether all counts are zero.
    pub fn is_empty(&self) -> bool {
        *self == Counts::default()
    }
}

/// The counts of one stratum at one front end between two reports.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Slot {
    /// The stratum.
    #[serde(rename = "cell")]
    pub stratum: StratumKey,
    /// Share of the stratum's invocations that were assigned to the new version.
    pub share: f64,
    /// Counts of the old version.
    pub old: Counts,
    /// Counts of the new version.
    pub new: Counts,
}

/// The evidence on one run of a rollout since a front end's last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EvidenceDelta {
    /// The run of the rollout.
    pub run: u64,
    /// The counts since the last delta.
    pub slots: Vec<Slot>,
    /// Loads whose bytes didn't match the digest.
    pub digest_mismatches: u64,
    /// The reason of a local rollback while the front end reached no coordinator.
    #[serde(rename = "tookBack")]
    pub local_rollback: Option<String>,
    /// Whether the front end has replicas of the new version, and therefore applies the step's share.
    pub ready: bool,
    /// Invocations of the function a second at this front end.
    pub rate: f64,
}

/// Collects counts into slots. A change of the share starts new slots.
#[derive(Clone, Debug, Default)]
pub struct SlotCollector {
    slots: BTreeMap<(StratumKey, u64), (Counts, Counts)>,
}

/// The most slots between two reports. Answers that would need further slots aren't counted.
const MAX_SLOTS: usize = 4_096;

impl SlotCollector {
    /// Returns the counts of a cohort in a stratum; `None` if there are too many slots.
    pub fn counts_mut(
        &mut self,
        stratum: StratumKey,
        share: f64,
        cohort: Cohort,
    ) -> Option<&mut Counts> {
        let key = (stratum, share.to_bits());
        if self.slots.len() >= MAX_SLOTS && !self.slots.contains_key(&key) {
            return None;
        }
        let both = self.slots.entry(key).or_default();
        Some(if cohort == Cohort::Baseline {
            &mut both.0
        } else {
            &mut both.1
        })
    }

    /// Removes and returns the collected slots.
    pub fn take(&mut self) -> Vec<Slot> {
        let slots = std::mem::take(&mut self.slots);
        let slot = |((stratum, share), (old, new)): ((StratumKey, u64), (Counts, Counts))| Slot {
            stratum,
            share: f64::from_bits(share),
            old,
            new,
        };
        slots.into_iter().map(slot).collect()
    }
}

/// An incremental estimate of a quantile: each value moves the estimate up in proportion to the quantile, or down in
/// proportion to the rest, relative to the estimate. Compare a value with the estimate before recording it.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuantileEstimate {
    /// The estimate.
    pub estimate: f64,
    count: u32,
}

impl QuantileEstimate {
    /// The estimate is the largest of this many first values.
    const INITIAL_VALUES: u32 = 20;
    /// After that, it moves by a fraction that shrinks to this one.
    const MIN_STEP: f64 = 0.02;

    /// Adds a value.
    pub fn record(&mut self, quantile: f64, value: f64) {
        self.count = self.count.saturating_add(1);
        if self.count <= Self::INITIAL_VALUES {
            self.estimate = self.estimate.max(value);
            return;
        }
        let step = (1.0 / f64::from(self.count - Self::INITIAL_VALUES).sqrt()).max(Self::MIN_STEP);
        self.estimate *= if value > self.estimate {
            1.0 + step * quantile
        } else {
            1.0 - step * (1.0 - quantile)
        };
    }

    /// Returns the estimate, once enough values were recorded.
    pub fn value(&self) -> Option<f64> {
        (self.count > Self::INITIAL_VALUES).then_some(self.estimate)
    }
}
