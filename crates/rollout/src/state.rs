//! The state of rollouts that a coordinator publishes.

use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Identifies a coordinator process. The higher term wins; of two coordinators with the same term, the higher nonce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Epoch {
    /// Incremented at each start of a coordinator.
    pub term: u64,
    /// A random number that the coordinator chose at its start.
    #[serde(rename = "drawn")]
    pub nonce: u64,
}

/// The phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Phase {
    /// Started; the first step hasn't begun.
    Planned,
    /// A step is in progress.
    Shifting,
    /// Paused by an operator.
    Paused,
    /// All traffic except the holdback goes to the new version; replicas of the old one are kept alive until the
    /// retention ends.
    #[serde(rename = "keeping")]
    RetainingOld,
    /// Ended: the alias points to the new version.
    Finished,
    /// Ended: all traffic goes to the old version.
    #[serde(rename = "takenBack")]
    RolledBack,
}

impl Phase {
    /// Returns whether the rollout has ended.
    pub fn has_ended(self) -> bool {
        matches!(self, Phase::Finished | Phase::RolledBack)
    }

    /// Returns the name of the phase in messages to operators.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Planned => "planned",
            Phase::Shifting => "shifting",
            Phase::Paused => "paused",
            Phase::RetainingOld => "keeping",
            Phase::Finished => "finished",
            Phase::RolledBack => "taken back",
        }
    }
}

/// The published state of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rollout {
    /// The plan.
    pub plan: Arc<Plan>,
    /// Random identifier of this run. Starting the same plan again creates another run.
    pub run: u64,
    /// Incremented with each change of this rollout.
    #[serde(rename = "number")]
    pub revision: u64,
    /// The phase.
    pub phase: Phase,
    /// Index of the current step, while shifting or paused.
    pub step: usize,
    /// The digest of the old version.
    pub from: String,
    /// The digest of the new version.
    pub to: String,
    /// Why the rollout is in this phase and step.
    pub reason: String,
}

impl Rollout {
    /// Returns the index of the step by which traffic is split; `None` while all of it goes to the old version.
    pub fn active_step(&self) -> Option<usize> {
        match self.phase {
            Phase::Planned | Phase::RolledBack => None,
            Phase::Shifting | Phase::Paused => Some(self.step),
            Phase::RetainingOld | Phase::Finished => Some(self.plan.steps.len().saturating_sub(1)),
        }
    }
}

/// The state of all rollouts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct PublishedState {
    /// The coordinator that published it.
    pub epoch: Epoch,
    /// Incremented with each change.
    #[serde(rename = "number")]
    pub revision: u64,
    /// Rollouts by name.
    pub rollouts: BTreeMap<String, Rollout>,
    /// Digests of aliases that differ from the deployment file, by function and alias.
    pub aliases: BTreeMap<String, BTreeMap<String, String>>,
}

impl PublishedState {
    /// Returns whether this state is newer than another one.
    pub fn is_newer_than(&self, other: &PublishedState) -> bool {
        (self.epoch, self.revision) > (other.epoch, other.revision)
    }
}
