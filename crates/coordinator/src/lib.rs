//! The coordinator of rollouts as a process: what it decides is in its journal before anyone is told, so that a process
//! that is killed between the two publishes the same when it is back, under a higher term.

mod api;
mod journal;
mod server;

pub use journal::recover;
pub use server::run;

use orchidtally_rollout::evidence::Counts;
use orchidtally_rollout::{Epoch, Phase};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an operator's tool sends.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "what")]
pub enum OperatorRequest {
    /// Start a rollout.
    Start {
        /// The text of the plan, as its file has it.
        plan: String,
        /// Only report the steps and what they take.
        dry: bool,
    },
    /// Hold the step that is on.
    Pause { name: String },
    /// Go on after a pause.
    Resume { name: String },
    /// Take the rollout back.
    #[serde(rename = "back")]
    RollBack { name: String, why: String },
    /// Go to the next step whatever evidence is missing.
    Advance { name: String, why: String },
    /// End a rollout whose last step is on.
    Finish { name: String },
}

/// The state of a rollout, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    /// The name of the rollout.
    pub name: String,
    /// The name of the function.
    pub function: String,
    /// The phase.
    pub phase: Phase,
    /// The step, counted from 1.
    pub step: usize,
    /// The number of steps.
    pub steps: usize,
    /// The share of the new version.
    pub share: f64,
    /// Why the next step has not come, or why the rollout ended.
    pub reason: String,
    /// Seconds for which the step has been on.
    pub time: f64,
    /// Invocations of the function a second, as front ends report.
    pub rate: f64,
    /// Counts of the old version in this step.
    pub old: Counts,
    /// Counts of the new version in this step.
    pub new: Counts,
    /// By gate, the evidence that the new version is worse, as odds to 1.
    pub evidence: BTreeMap<String, f64>,
    /// The evidence that takes the rollout back.
    #[serde(rename = "takesBack")]
    pub rollback_threshold: f64,
}

/// Why a coordinator ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It was stopped.
    Stopped,
    /// Another coordinator has a higher term.
    Superseded(Epoch),
}
