//! What a coordinator publishes, and which of two publications is the newer.

use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Who published. A later term wins; of two coordinators of one term the greater number drawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Epoch {
    /// Grows with each start of a coordinator.
    pub term: u64,
    /// A random number that the coordinator drew at its start.
    pub drawn: u64,
}

/// The phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Phase {
    /// Started, and before its first step.
    Planned,
    /// A step is on.
    Shifting,
    /// Held by an operator.
    Paused,
    /// All traffic is on the new version; the old one's copies are kept for a while.
    Keeping,
    /// Over: the alias has moved.
    Finished,
    /// Over: all traffic is on the old version.
    TakenBack,
}

impl Phase {
    /// Whether the rollout has ended.
    pub fn is_over(self) -> bool {
        matches!(self, Phase::Finished | Phase::TakenBack)
    }

    /// The name of the phase for operators.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Planned => "planned",
            Phase::Shifting => "shifting",
            Phase::Paused => "paused",
            Phase::Keeping => "keeping",
            Phase::Finished => "finished",
            Phase::TakenBack => "taken back",
        }
    }
}

/// A rollout as it is published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rollout {
    /// The plan.
    pub plan: Arc<Plan>,
    /// A random number of each start: a plan that is started again is another run.
    pub run: u64,
    /// Grows with each change of this rollout's state.
    pub number: u64,
    /// The phase.
    pub phase: Phase,
    /// The step that is on, while shifting or paused.
    pub step: usize,
    /// The digest of the old version.
    pub from: String,
    /// The digest of the new version.
    pub to: String,
    /// Why it is in this phase and step.
    pub reason: String,
}

impl Rollout {
    /// The step by which traffic is split; `None` while all of it goes to the old version.
    pub fn split_at(&self) -> Option<usize> {
        match self.phase {
            Phase::Planned | Phase::TakenBack => None,
            Phase::Shifting | Phase::Paused => Some(self.step),
            Phase::Keeping | Phase::Finished => Some(self.plan.steps.len().saturating_sub(1)),
        }
    }
}

/// All that a coordinator publishes at a time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Published {
    /// Who published it.
    pub epoch: Epoch,
    /// Grows with each change.
    pub number: u64,
    /// Rollouts by name.
    pub rollouts: BTreeMap<String, Rollout>,
    /// Digests of aliases that have moved since the deployment file, by function and alias.
    pub aliases: BTreeMap<String, BTreeMap<String, String>>,
}

impl Published {
    /// Whether this is newer than another publication.
    pub fn is_newer_than(&self, other: &Published) -> bool {
        (self.epoch, self.number) > (other.epoch, other.number)
    }
}
