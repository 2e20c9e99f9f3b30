//! Rollouts at a front end: traffic split, evidence, prewarming, and local rollback while no coordinator is reachable.
//!
//! A front end applies a step once it knows enough replicas of the new version, returns to an earlier step at once, and
//! never advances by itself.

mod adopt;
mod local;
mod outcomes;
mod prewarm;
mod report;

pub use outcomes::InvocationOutcome;
pub use prewarm::PrewarmCommand;
pub use report::EvidenceReport;

use crate::evidence::{Cohort, EvidenceDelta, StratumKey};
use crate::plan::StickyKey;
use crate::split::{self, InvocationAttributes};
use crate::state::{Epoch, Phase, PublishedState};
use local::LocalRollout;
use orchidtally_deployment::{Function, Version};
use outcomes::FailingExecutors;
use std::collections::HashMap;

/// Index of the trigger type and customer in the stratum of loads, which belong to no invocation.
const LOADS_STRATUM_INDEX: u16 = u16::MAX;
/// The highest index of a trigger type or customer in a stratum.
const MAX_STRATUM_INDEX: usize = LOADS_STRATUM_INDEX as usize - 1;

/// The version of an invocation.
#[derive(Clone, Debug)]
pub struct ResolvedVersion {
    /// The version.
    pub version: Version,
    /// The assignment, if a rollout chose the version.
    pub assignment: Option<RolloutAssignment>,
}

/// The assignment of an invocation to a cohort of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutAssignment {
    /// The run of the rollout.
    pub run: u64,
    /// The cohort.
    pub cohort: Cohort,
    stratum: StratumKey,
    share: f64,
    /// The hash of the sticky key, if many invocations may share it.
    key: Option<u64>,
}

/// Returns whether an invocation of a version that was rolled back may be retried with the old one: if it hasn't run,
/// or its trigger type is idempotent. Executors remember idempotency keys by version, so an invocation with a key
/// doesn't count as idempotent here.
pub fn may_migrate(is_idempotent: bool, may_have_run: bool) -> bool {
    is_idempotent || !may_have_run
}

/// A front end's index and settings.
#[derive(Clone, Copy, Debug)]
pub struct FrontEndInfo {
    /// The index of the front end.
    pub index: u32,
    /// The number of front ends.
    pub count: u32,
    /// Index of its location.
    pub location: u16,
    /// Whether replicas are loaded by load commands; otherwise the first invocations load them.
    pub sends_load_commands: bool,
    /// Keep-alive time of an idle replica in seconds.
    pub keep_alive: f64,
}

/// The state of all rollouts at a front end. Times are in seconds.
#[derive(Debug)]
pub struct TrafficSplit {
    front_end: FrontEndInfo,
    published: PublishedState,
    newest_epoch: Epoch,
    /// Rollouts by the name of their function.
    rollouts: HashMap<String, LocalRollout>,
    /// When a coordinator last responded.
    last_contact_at: f64,
    evaluated_at: f64,
    round: u64,
    /// Evidence that isn't reported to a coordinator yet.
    unreported: Vec<EvidenceDelta>,
    failing: FailingExecutors,
}

impl TrafficSplit {
    /// Creates the state of a front end without rollouts.
    pub fn new(front_end: FrontEndInfo, now: f64) -> TrafficSplit {
        TrafficSplit {
            front_end,
            published: PublishedState::default(),
            newest_epoch: Epoch::default(),
            rollouts: HashMap::new(),
            last_contact_at: now,
            evaluated_at: now,
            round: 0,
            unreported: vec![],
            failing: FailingExecutors::default(),
        }
    }

    /// Returns the state that was last adopted from a coordinator.
    pub fn published(&self) -> &PublishedState {
        &self.published
    }

    /// Returns the sticky key of the rollout of a function, if one is in progress.
    pub fn sticky_key(&self, function: &str) -> Option<&StickyKey> {
        let local = self
            .rollouts
            .get(function)
            .filter(|local| !local.has_ended());
        local.map(|local| &local.rollout.plan.key)
    }

    /// Returns the digest to which an alias points, if it differs from the deployment file.
    pub fn moved_alias(&self, function: &str, alias: &str) -> Option<&str> {
        self.published
            .aliases
            .get(function)?
            .get(alias)
            .map(String::as_str)
    }

    /// Chooses the version of an invocation, once, at its admission. `requested` is the alias or digest in the request.
    pub fn resolve(
        &mut self,
        function: &Function,
        requested: Option<&str>,
        trigger_type: usize,
        customer: usize,
        caller: &InvocationAttributes,
    ) -> Option<ResolvedVersion> {
        let alias = requested.unwrap_or("stable");
        let moved = self
            .moved_alias(&function.name, alias)
            .and_then(|digest| function.version(digest));
        let named = moved.or_else(|| function.version(alias));
        let unsplit = || {
            named.map(|version| ResolvedVersion {
                version: version.clone(),
                assignment: None,
            })
        };
        let Some(local) = self.rollouts.get_mut(&*function.name) else {
            return unsplit();
        };
        local.invocations += 1;
        let plan = &local.rollout.plan;
        let is_split = !local.has_ended() && plan.alias == alias;
        let versions = (&local.from, &local.to);
        let (Some(step), (Some(from), Some(to)), true) =
            (local.effective_step(), versions, is_split)
        else {
            return unsplit();
        };
        let share = split::share(plan, step, caller);
        let cohort = if split::position(local.rollout.run, caller.key) < share {
            Cohort::Canary
        } else {
            Cohort::Baseline
        };
        let stratum = StratumKey {
            trigger_type: trigger_type.min(MAX_STRATUM_INDEX) as u16,
            customer: customer.min(MAX_STRATUM_INDEX) as u16,
            location: self.front_end.location,
        };
        let key = plan
            .key
            .is_shared()
            .then(|| xxhash_rust::xxh3::xxh3_64(caller.key.as_bytes()));
        let assignment = RolloutAssignment {
            run: local.rollout.run,
            cohort,
            stratum,
            share,
            key,
        };
        let version = if cohort == Cohort::Canary { to } else { from };
        Some(ResolvedVersion {
            version: version.clone(),
            assignment: Some(assignment),
        })
    }

    fn rollout_of_run(&mut self, run: u64) -> Option<&mut LocalRollout> {
        self.rollouts
            .values_mut()
            .find(|local| local.rollout.run == run)
    }

    /// Returns the old version of a rollout that was rolled back.
    pub fn rollback_target(&self, run: u64) -> Option<Version> {
        let local = self
            .rollouts
            .values()
            .find(|local| local.rollout.run == run)?;
        let is_rolled_back =
            local.rollout.phase == Phase::RolledBack || local.local_rollback.is_some();
        local.from.clone().filter(|_| is_rolled_back)
    }
}
