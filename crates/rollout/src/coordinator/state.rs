//! What a coordinator knows of its rollouts, and what of it outlives the process.

use super::{FORGET_AFTER, SILENCE};
use crate::evidence::{Counts, Delta, Slot};
use crate::sequential::Tests;
use crate::state::{Phase, Published};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A line of a rollout's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Event {
    /// Seconds since 1970.
    pub at: f64,
    /// The run of the rollout.
    pub run: u64,
    /// The number of the rollout's state.
    pub number: u64,
    /// The phase from then on.
    pub phase: Phase,
    /// The step from then on.
    pub step: usize,
    /// Whether an operator did it, and not the rules.
    pub by_hand: bool,
    /// Why.
    pub reason: String,
}

/// What the journal of a coordinator keeps.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CoordinatorState {
    /// What front ends are told.
    pub published: Published,
    /// The evidence on each rollout, by its name.
    pub runs: BTreeMap<String, Run>,
    /// The last round of each front end that counted, and when it came.
    pub rounds: BTreeMap<u64, (u64, f64)>,
}

/// The evidence on one rollout.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Run {
    /// The sequential tests of all gates.
    pub tests: Tests,
    /// The counts of the step that is on: old and new version.
    pub step: [Counts; 2],
    /// The counts of the whole run: old and new version.
    pub whole: [Counts; 2],
    /// Seconds for which the step has been on, without pauses.
    pub time: f64,
    /// Whether a rule holds the step.
    pub held: bool,
    /// Loads that found other bytes than the digest names.
    pub digest_mismatches: u64,
    /// Why a front end took the rollout back by itself.
    pub took_back: Option<String>,
    /// When each front end last reported its traffic, and invocations a second.
    #[serde(skip)]
    rates: BTreeMap<u64, (f64, f64)>,
    /// When each front end last reported, and whether it gives the new version its share.
    #[serde(skip)]
    reported: BTreeMap<u64, (f64, bool)>,
    #[serde(skip)]
    slots: Vec<Slot>,
    /// Why an operator asked for the next step, until it has come.
    #[serde(skip)]
    pub(super) skip: Option<String>,
    /// Changes of the rollout, the oldest first.
    pub history: Vec<Event>,
}

impl Run {
    /// A run without evidence, whose history goes on from an earlier run's.
    pub(super) fn with_history(history: Vec<Event>) -> Run {
        Run {
            history,
            ..Run::default()
        }
    }

    /// Invocations of the function a second, over all front ends that reported lately.
    pub fn rate(&self) -> f64 {
        self.rates.values().map(|(_, rate)| rate).sum()
    }

    /// For each front end that reported lately, whether it gives the new version its share.
    pub(super) fn readiness(&self, now: f64) -> Vec<bool> {
        self.reported
            .values()
            .filter(|(at, _)| now - *at < SILENCE)
            .map(|(_, ready)| *ready)
            .collect()
    }

    pub(super) fn add(&mut self, now: f64, front_end: u64, delta: &Delta) {
        self.reported.insert(front_end, (now, delta.ready));
        self.rates.insert(front_end, (now, delta.rate));
        self.digest_mismatches += delta.digest_mismatches;
        self.took_back = self.took_back.take().or_else(|| delta.took_back.clone());
        for slot in &delta.slots {
            for (arm, counts) in [slot.old, slot.new].iter().enumerate() {
                self.step[arm].add(counts);
                self.whole[arm].add(counts);
            }
        }
        self.slots.extend_from_slice(&delta.slots);
    }

    pub(super) fn forget_silent(&mut self, now: f64) {
        self.reported.retain(|_, (at, _)| now - *at < FORGET_AFTER);
        self.rates.retain(|_, (at, _)| now - *at < FORGET_AFTER);
    }

    pub(super) fn take_slots(&mut self) -> Vec<Slot> {
        std::mem::take(&mut self.slots)
    }

    pub(super) fn begin_step(&mut self) {
        self.step = Default::default();
        self.time = 0.0;
        self.held = false;
        self.skip = None;
        // Front ends have yet to report whether they are ready for this step.
        self.reported
            .values_mut()
            .for_each(|(_, ready)| *ready = false);
    }
}
