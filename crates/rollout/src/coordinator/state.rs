//! The persistent state of a coordinator.

use super::{REPORT_EXPIRY, REPORT_TIMEOUT};
use crate::evidence::{Counts, EvidenceDelta, Slot};
use crate::sequential::SequentialTests;
use crate::state::{Phase, PublishedState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An event in the history of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Event {
    /// Seconds since 1970.
    pub at: f64,
    /// The run of the rollout.
    pub run: u64,
    /// The revision of the rollout after the event.
    #[serde(rename = "number")]
    pub revision: u64,
    /// The phase after the event.
    pub phase: Phase,
    /// Index of the step after the event.
    pub step: usize,
    /// Whether an operator caused the event; otherwise the rules did.
    #[serde(rename = "byHand")]
    pub by_operator: bool,
    /// The reason.
    pub reason: String,
}

/// The state in the journal of a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CoordinatorState {
    /// The state published to front ends.
    pub published: PublishedState,
    /// The evidence on each rollout, by its name.
    pub runs: BTreeMap<String, Run>,
    /// The last report round of each front end, and when it was received.
    pub rounds: BTreeMap<u64, (u64, f64)>,
}

/// The last report of a front end, without its counts.
#[derive(Clone, Copy, Debug, PartialEq)]
struct FrontEndReport {
    at: f64,
    /// Invocations of the function a second.
    rate: f64,
    /// Whether the front end applies the step's share.
    is_ready: bool,
}

/// The evidence on one rollout.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Run {
    /// The sequential tests of all gates.
    pub tests: SequentialTests,
    /// The counts of the current step: old and new version.
    #[serde(rename = "step")]
    pub step_counts: [Counts; 2],
    /// The counts of the whole run: old and new version.
    #[serde(rename = "whole")]
    pub total_counts: [Counts; 2],
    /// Seconds spent in the current step, without pauses.
    #[serde(rename = "time")]
    pub step_duration: f64,
    /// Whether a rule holds the step.
    #[serde(rename = "held")]
    pub is_held: bool,
    /// Loads whose bytes didn't match the digest.
    pub digest_mismatches: u64,
    /// The reason of a front end's local rollback.
    #[serde(rename = "tookBack")]
    pub local_rollback: Option<String>,
    /// The last report of each front end.
    #[serde(skip)]
    reports: BTreeMap<u64, FrontEndReport>,
    #[serde(skip)]
    slots: Vec<Slot>,
    /// The operator's reason to advance, until the next step begins.
    #[serde(skip)]
    pub(super) operator_advance: Option<String>,
    /// The history of the rollout, oldest first.
    pub history: Vec<Event>,
}

impl Run {
    /// Creates a run without evidence that continues the history of an earlier run.
    pub(super) fn with_history(history: Vec<Event>) -> Run {
        Run {
            history,
            ..Run::default()
        }
    }

    /// Returns the invocations of the function a second, over all front ends that reported recently.
    pub fn rate(&self) -> f64 {
        self.reports.values().map(|report| report.rate).sum()
    }

    /// Returns, for each front end that reported recently, whether it applies the step's share.
    pub(super) fn readiness(&self, now: f64) -> Vec<bool> {
        self.reports
            .values()
            .filter(|report| now - report.at < REPORT_TIMEOUT)
            .map(|report| report.is_ready)
            .collect()
    }

    pub(super) fn add(&mut self, now: f64, front_end: u64, delta: &EvidenceDelta) {
        let report = FrontEndReport {
            at: now,
            rate: delta.rate,
            is_ready: delta.ready,
        };
        self.reports.insert(front_end, report);
        self.digest_mismatches += delta.digest_mismatches;
        self.local_rollback = self
            .local_rollback
            .take()
            .or_else(|| delta.local_rollback.clone());
        for slot in &delta.slots {
            for (cohort, counts) in [slot.old, slot.new].iter().enumerate() {
                self.step_counts[cohort].add(counts);
                self.total_counts[cohort].add(counts);
            }
        }
        self.slots.extend_from_slice(&delta.slots);
    }

    pub(super) fn forget_expired_reports(&mut self, now: f64) {
        self.reports
            .retain(|_, report| now - report.at < REPORT_EXPIRY);
    }

    pub(super) fn take_slots(&mut self) -> Vec<Slot> {
        std::mem::take(&mut self.slots)
    }

    pub(super) fn begin_step(&mut self) {
        self.step_counts = Default::default();
        self.step_duration = 0.0;
        self.is_held = false;
        self.operator_advance = None;
        // Reports so far are about the previous step.
        for report in self.reports.values_mut() {
            report.is_ready = false;
        }
    }
}
