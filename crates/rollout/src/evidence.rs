//! Evidence on the two versions of a rollout: what their invocations came to, counted where they were answered.
//!
//! Counts are of the same trigger type, customer and location over the same short time, so that a trouble common to
//! both versions shows in both.

use crate::plan::{GATES, Gate};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One of the two versions that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Arm {
    /// The version that the rollout comes from.
    Old,
    /// The version that the rollout goes to.
    New,
}

/// Where an invocation belongs, by indices of the deployment's lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell {
    /// The index of its trigger type.
    pub trigger_type: u16,
    /// The index of its customer.
    pub customer: u16,
    /// The index of the front end's location.
    pub location: u16,
}

/// Counts of one version in one cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Final answers.
    pub answers: u64,
    /// Answers of copies that had been loaded before: they show the version's own latency.
    pub warm: u64,
    /// Loads that came to an end; in the old arm those of any other version, as the same store gave them.
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

    /// The number of answers or loads among which the events of a gate are counted.
    pub fn exposed(&self, gate: Gate) -> u64 {
        match gate {
            Gate::Errors | Gate::Throttled => self.answers,
            Gate::Slow | Gate::SlowTail => self.warm,
            Gate::LoadFailures => self.loads,
        }
    }

    /// Whether nothing was counted.
    pub fn is_nothing(&self) -> bool {
        *self == Counts::default()
    }
}

/// One cell's counts over one short time at one front end.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Slot {
    /// The cell.
    pub cell: Cell,
    /// The share of the cell's invocations that was given to the new version during it.
    pub share: f64,
    /// Counts of the old version.
    pub old: Counts,
    /// Counts of the new version.
    pub new: Counts,
}

/// What a front end adds to the evidence on one run of a rollout.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Delta {
    /// The run of the rollout.
    pub run: u64,
    /// The counts since the last delta.
    pub slots: Vec<Slot>,
    /// Loads that found other bytes than the digest names.
    pub digest_mismatches: u64,
    /// Why the front end took the rollout back by itself, while it reached no coordinator.
    pub took_back: Option<String>,
    /// Whether it knows copies of the new version, so that it gives it the step's share.
    pub ready: bool,
    /// Invocations of the function that it took, a second.
    pub rate: f64,
}

/// Collects slots. A share that changes begins new ones.
#[derive(Clone, Debug, Default)]
pub struct SlotCollector {
    slots: BTreeMap<(Cell, u64), (Counts, Counts)>,
}

/// The most slots between two reports; beyond it answers are left out of the evidence.
const MAX_SLOTS: usize = 4_096;

impl SlotCollector {
    /// The counts of a version in a cell; `None` where there are too many slots.
    pub fn at(&mut self, cell: Cell, share: f64, arm: Arm) -> Option<&mut Counts> {
        let key = (cell, share.to_bits());
        if self.slots.len() >= MAX_SLOTS && !self.slots.contains_key(&key) {
            return None;
        }
        let both = self.slots.entry(key).or_default();
        Some(if arm == Arm::Old {
            &mut both.0
        } else {
            &mut both.1
        })
    }

    /// Takes the slots that were collected.
    pub fn take(&mut self) -> Vec<Slot> {
        let slots = std::mem::take(&mut self.slots);
        let slot = |((cell, share), (old, new)): ((Cell, u64), (Counts, Counts))| Slot {
            cell,
            share: f64::from_bits(share),
            old,
            new,
        };
        slots.into_iter().map(slot).collect()
    }
}

/// A quantile that is estimated step by step: each value moves it up by a part in proportion to the quantile, or down
/// by the rest, relative to where it is. A value is compared with what was estimated before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuantileEstimate {
    /// The estimate.
    pub at: f64,
    seen: u32,
}

impl QuantileEstimate {
    /// Of so many first values it takes the largest.
    const FIRST: u32 = 20;
    /// After that it moves by a part that shrinks down to this one.
    const LEAST: f64 = 0.02;

    /// Adds a value.
    pub fn note(&mut self, quantile: f64, value: f64) {
        self.seen = self.seen.saturating_add(1);
        if self.seen <= Self::FIRST {
            self.at = self.at.max(value);
            return;
        }
        let part = (1.0 / f64::from(self.seen - Self::FIRST).sqrt()).max(Self::LEAST);
        self.at *= if value > self.at {
            1.0 + part * quantile
        } else {
            1.0 - part * (1.0 - quantile)
        };
    }

    /// The estimate, once enough values were seen.
    pub fn known(&self) -> Option<f64> {
        (self.seen > Self::FIRST).then_some(self.at)
    }
}
