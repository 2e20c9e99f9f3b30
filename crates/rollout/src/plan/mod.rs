//! The plan of a rollout, written in JSON5.

mod parse;

use orchidtally_deployment::Deployment;
use orchidtally_deployment::reader::{DeploymentFault, Document};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The sticky key of the traffic split: invocations with the same key get the same version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum StickyKey {
    /// The identifier of the invocation, so that each is assigned independently.
    Invocation,
    /// The customer.
    Customer,
    /// The idempotency token.
    Token,
    /// The value of this HTTP header, in lower case.
    Header(String),
}

impl StickyKey {
    /// Returns whether many invocations may have the same key, so that their failures are correlated.
    pub fn is_shared(&self) -> bool {
        !matches!(self, StickyKey::Invocation)
    }
}

impl fmt::Display for StickyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StickyKey::Invocation => f.write_str("invocation"),
            StickyKey::Customer => f.write_str("customer"),
            StickyKey::Token => f.write_str("token"),
            StickyKey::Header(name) => write!(f, "header:{name}"),
        }
    }
}

/// A step of a plan. Times are in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Step {
    /// Share of the new version in the traffic to which the step applies, from 0 to 1.
    pub share: f64,
    /// The customers to which the step applies; all if empty.
    pub customers: Vec<String>,
    /// The locations to which the step applies; all if empty.
    pub locations: Vec<String>,
    /// The shortest duration of the step.
    #[serde(rename = "leastTime")]
    pub min_duration: f64,
    /// The least number of answers of the new version before the next step.
    #[serde(rename = "leastEvidence")]
    pub min_samples: u64,
    /// The rollout is rolled back if the step doesn't have `min_samples` after this time.
    #[serde(rename = "longest")]
    pub max_duration: Option<f64>,
}

/// A metric that is compared between the versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Gate {
    /// Failed invocations.
    Errors,
    /// Answers slower than the old version's 0.9 quantile.
    Slow,
    /// Answers slower than the old version's 0.99 quantile.
    SlowTail,
    /// Failed loads.
    LoadFailures,
    /// Throttled invocations.
    Throttled,
}

/// All gates, in the order of `Gate::index`.
pub const GATES: [Gate; 5] = [
    Gate::Errors,
    Gate::Slow,
    Gate::SlowTail,
    Gate::LoadFailures,
    Gate::Throttled,
];

impl Gate {
    /// Returns the name of the gate in plans and reports.
    pub fn name(self) -> &'static str {
        match self {
            Gate::Errors => "errors",
            Gate::Slow => "slow",
            Gate::SlowTail => "slowTail",
            Gate::LoadFailures => "loadFailures",
            Gate::Throttled => "throttled",
        }
    }

    /// Returns the index of the gate in arrays by gate.
    pub fn index(self) -> usize {
        GATES.iter().position(|&g| g == self).unwrap_or(0)
    }
}

/// The policy of a gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct GatePolicy {
    /// The gate.
    pub gate: Gate,
    /// The allowed ratio to the old version: of the odds of errors, load failures and throttled answers, or of the
    /// latency quantiles.
    pub ratio: f64,
    /// Whether a failed gate rolls back; otherwise it holds the step.
    #[serde(rename = "takesBack")]
    pub rolls_back: bool,
}

/// The action if a gate has no data to compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum InconclusiveAction {
    /// The step is held.
    Hold,
    /// The gate is ignored.
    Advance,
    /// The rollout is rolled back.
    #[serde(rename = "back")]
    RollBack,
}

/// The plan of a rollout. Times are in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Plan {
    /// The name of the rollout.
    pub name: String,
    /// The name of the function.
    pub function: String,
    /// The old version, by an alias or its digest.
    pub from: String,
    /// The new version, by an alias or its digest.
    pub to: String,
    /// The alias that points to the new version after the rollout finishes.
    pub alias: String,
    /// The sticky key of the traffic split.
    pub key: StickyKey,
    /// The steps. The last one gives the new version to everyone.
    pub steps: Vec<Step>,
    /// The enabled gates.
    pub gates: Vec<GatePolicy>,
    /// The probability that a harmless rollout is rolled back, over its whole duration and all gates.
    #[serde(rename = "falseAlarm")]
    pub false_positive_rate: f64,
    /// The action if a gate has no data to compare.
    #[serde(rename = "unjudged")]
    pub on_inconclusive: InconclusiveAction,
    /// The planned rate of loads of the new version a second, over all front ends.
    pub loads_per_second: f64,
    /// Rollouts with a higher priority load first.
    pub priority: u32,
    /// Share of the traffic that stays on the old version until the rollout finishes, for comparison.
    pub holdback: f64,
    /// How long replicas of the old version are kept alive after the last step.
    #[serde(rename = "keepFrom")]
    pub old_version_retention: f64,
    /// Invocations of the function a second over all front ends, if known in advance.
    pub rate: Option<f64>,
}

impl Plan {
    /// Parses a plan and checks it against the deployment.
    ///
    /// # Errors
    ///
    /// All faults of the plan.
    pub fn read(text: &str, deployment: &Deployment) -> Result<Plan, Vec<DeploymentFault>> {
        let document = Document::new(text);
        let Some(value) = document.parse() else {
            return Err(document.faults());
        };
        let plan = parse::plan(&document.root(&value), deployment);
        let faults = document.faults();
        match plan {
            Some(plan) if faults.is_empty() => Ok(plan),
            _ => Err(faults),
        }
    }

    /// Returns the policy of a gate, if it is enabled.
    pub fn gate(&self, gate: Gate) -> Option<&GatePolicy> {
        self.gates.iter().find(|policy| policy.gate == gate)
    }

    /// Returns the evidence, as odds to 1, at which a gate rolls back: the inverse of its part of the false positive
    /// rate.
    pub fn threshold(&self) -> f64 {
        let gates = self
            .gates
            .iter()
            .filter(|policy| policy.rolls_back)
            .count()
            .max(1);
        gates as f64 / self.false_positive_rate
    }
}
