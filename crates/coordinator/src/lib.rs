//! The coordinator of rollouts as a process, with a journal and an HTTP interface.
//!
//! Every decision is persisted in the journal before it is published. A process that is killed in between publishes the
//! same decision after its restart, under a higher term.

mod api;
mod error;
mod journal;
mod server;

pub use journal::recover;
pub use server::run;

use orchidtally_rollout::evidence::Counts;
use orchidtally_rollout::{Epoch, Phase};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A request of an operator, as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "what")]
pub enum OperatorRequest {
    /// Start a rollout.
    Start {
        /// The text of the plan's file.
        plan: String,
        /// Whether to only forecast the steps, without starting the rollout.
        #[serde(rename = "dry")]
        dry_run: bool,
    },
    /// Pause the current step.
    Pause {
        /// Name of the rollout.
        name: String,
    },
    /// Resume after a pause.
    Resume {
        /// Name of the rollout.
        name: String,
    },
    /// Roll back.
    #[serde(rename = "back")]
    RollBack {
        /// Name of the rollout.
        name: String,
        /// The operator's reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Advance to the next step even if samples are missing.
    Advance {
        /// Name of the rollout.
        name: String,
        /// The operator's reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Finish a rollout after its last step, without waiting.
    Finish {
        /// Name of the rollout.
        name: String,
    },
}

/// The status of a rollout for operators, as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RolloutStatus {
    /// The name of the rollout.
    pub name: String,
    /// The name of the function.
    pub function: String,
    /// The phase.
    pub phase: Phase,
    /// Number of the current step, from 1.
    pub step: usize,
    /// The number of steps.
    pub steps: usize,
    /// The share of the new version.
    pub share: f64,
    /// The reason for the current phase and step, or for holding the step.
    pub reason: String,
    /// Seconds spent in the current step, without pauses.
    #[serde(rename = "time")]
    pub step_duration: f64,
    /// Invocations of the function a second over all front ends.
    pub rate: f64,
    /// Counts of the old version in this step.
    pub old: Counts,
    /// Counts of the new version in this step.
    pub new: Counts,
    /// By gate, the evidence that the new version is worse, as odds to 1.
    pub evidence: BTreeMap<String, f64>,
    /// The evidence, as odds to 1, at which the rollout is rolled back.
    #[serde(rename = "takesBack")]
    pub rollback_threshold: f64,
}

/// Why a coordinator stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The caller requested it.
    Stopped,
    /// Another coordinator with a newer epoch has taken over.
    Superseded(Epoch),
}
