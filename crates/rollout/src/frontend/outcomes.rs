//! Counts the outcomes of invocations, dispatches and loads as evidence.

use super::local::SlowThresholds;
use super::{LOADS_STRATUM_INDEX, RolloutAssignment, TrafficSplit};
use crate::evidence::{Cohort, StratumKey};
use crate::plan::{Gate, Plan};
use orchidtally_deployment::Version;
use std::collections::{HashMap, VecDeque};

/// The most events of one sticky key, and the most resets at one executor, that count in a step, so that a fault of a
/// single customer or executor doesn't cause a rollback.
const MAX_EVENTS_PER_KEY: u8 = 3;
/// The most sticky keys whose events are counted.
const MAX_KEYS: usize = 100_000;
/// If this many recent failures at an executor are of other versions, the fault is the executor's.
const EXECUTOR_FAULT_THRESHOLD: usize = 2;
/// How long failures at an executor count, in seconds.
const FAILURE_WINDOW: f64 = 5.0;
/// The most failures that are stored for an executor, and the most executors.
const MAX_FAILURES: usize = 32;
const MAX_EXECUTORS: usize = 10_000;

/// The outcome of an invocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InvocationOutcome {
    /// The invocation succeeded.
    Succeeded {
        /// Duration in seconds of the dispatch that gave the answer.
        latency: f64,
        /// Whether its replica was warm.
        warm: bool,
    },
    /// The invocation was throttled.
    Throttled,
    /// The invocation failed.
    Errored,
}

/// A failure of a version at an executor.
#[derive(Debug)]
struct Failure {
    at: f64,
    version: u64,
}

/// Recent failures of dispatches by executor.
#[derive(Debug, Default)]
pub(super) struct FailingExecutors {
    failures: HashMap<u64, VecDeque<Failure>>,
}

impl FailingExecutors {
    /// Records a failure; returns the number of recent failures of other versions at the executor.
    fn record(&mut self, now: f64, executor: u64, version: u64) -> usize {
        if self.failures.len() >= MAX_EXECUTORS && !self.failures.contains_key(&executor) {
            self.failures.clear();
        }
        let failures = self.failures.entry(executor).or_default();
        failures.retain(|failure| now - failure.at < FAILURE_WINDOW);
        let others = failures
            .iter()
            .filter(|failure| failure.version != version)
            .count();
        if failures.len() >= MAX_FAILURES {
            failures.pop_front();
        }
        failures.push_back(Failure { at: now, version });
        others
    }
}

impl SlowThresholds {
    /// Records the latency of an answer; returns the events that it counts as.
    fn record(&mut self, plan: &Plan, cohort: Cohort, latency: f64) -> [Option<Gate>; 2] {
        let ratio = |gate| plan.gate(gate).map_or(1.0, |policy| policy.ratio);
        let gates = [
            (Gate::Slow, 0.9, &mut self.slow),
            (Gate::SlowTail, 0.99, &mut self.slow_tail),
        ];
        let events = gates.map(|(gate, quantile, estimate)| {
            let allowed = if cohort == Cohort::Canary {
                ratio(gate)
            } else {
                1.0
            };
            let event = estimate
                .value()
                .filter(|known| latency > allowed * known)
                .map(|_| gate);
            if cohort == Cohort::Baseline {
                estimate.record(quantile, latency);
            }
            event
        });
        // No answer of either version counts until the old version's quantiles are known.
        if self.are_known() { events } else { [None; 2] }
    }
}

impl TrafficSplit {
    /// Records that a dispatch of a version failed at an executor: by a reset or time-out if `disconnected`, otherwise
    /// by its answer. Returns whether the failure counts against the version.
    ///
    /// Failure mode: an executor that has one of the version's few replicas is faulty.
    /// Risk: the version would be rolled back for a fault that isn't its own. Failures don't count if other versions
    /// fail at the executor too, and resets count only a few times for each executor.
    pub fn record_dispatch_failure(
        &mut self,
        now: f64,
        executor: u64,
        version: u64,
        disconnected: bool,
    ) -> bool {
        let others = self.failing.record(now, executor, version);
        let is_version = |v: &Option<Version>| v.as_ref().is_some_and(|v| v.key == version);
        let local = self
            .rollouts
            .values_mut()
            .find(|local| is_version(&local.from) || is_version(&local.to));
        let Some(local) = local.filter(|_| others < EXECUTOR_FAULT_THRESHOLD) else {
            return false;
        };
        if !disconnected {
            return true;
        }
        let disconnects = local.disconnects_by_executor.entry(executor).or_default();
        *disconnects = disconnects.saturating_add(1);
        *disconnects <= MAX_EVENTS_PER_KEY
    }

    /// Records the outcome of an invocation. `failed` tells whether one of its dispatches failed in a way that counts,
    /// even if a retry succeeded.
    pub fn record_outcome(
        &mut self,
        assignment: &RolloutAssignment,
        outcome: InvocationOutcome,
        failed: bool,
    ) {
        let Some(local) = self.rollout_of_run(assignment.run) else {
            return;
        };
        let plan = local.rollout.plan.clone();
        let trigger_type = assignment.stratum.trigger_type;
        let own_events = match outcome {
            InvocationOutcome::Errored | InvocationOutcome::Succeeded { warm: false, .. } => {
                [None; 2]
            }
            InvocationOutcome::Throttled => [Some(Gate::Throttled), None],
            InvocationOutcome::Succeeded {
                latency,
                warm: true,
            } => local.slow.entry(trigger_type).or_default().record(
                &plan,
                assignment.cohort,
                latency,
            ),
        };
        let mut events = [own_events[0], own_events[1], failed.then_some(Gate::Errors)];
        if let Some(key) = assignment
            .key
            .filter(|_| events.iter().any(Option::is_some))
        {
            if local.events_by_key.len() >= MAX_KEYS && !local.events_by_key.contains_key(&key) {
                return;
            }
            let counted = local.events_by_key.entry(key).or_default();
            *counted = counted.saturating_add(1);
            if *counted > MAX_EVENTS_PER_KEY {
                events = [None; 3];
            }
        }
        let is_warm = matches!(outcome, InvocationOutcome::Succeeded { warm: true, .. });
        let is_compared = is_warm
            && local
                .slow
                .get(&trigger_type)
                .is_some_and(SlowThresholds::are_known);
        let Some(counts) =
            local
                .slots
                .counts_mut(assignment.stratum, assignment.share, assignment.cohort)
        else {
            return;
        };
        counts.answers += 1;
        counts.warm += u64::from(is_compared);
        for gate in events.into_iter().flatten() {
            counts.events[gate.index()] += 1;
        }
    }

    /// Records the result of a load. A rollout compares its loads with those of all other versions, which come from the
    /// same store.
    pub fn record_load_result(&mut self, version: u64, succeeded: bool, digest_differed: bool) {
        let location = self.front_end.location;
        for local in self
            .rollouts
            .values_mut()
            .filter(|local| !local.has_ended())
        {
            let is_new = local.to.as_ref().is_some_and(|to| to.key == version);
            if is_new && digest_differed {
                local.digest_mismatches += 1;
            }
            let stratum = StratumKey {
                trigger_type: LOADS_STRATUM_INDEX,
                customer: LOADS_STRATUM_INDEX,
                location,
            };
            let cohort = if is_new {
                Cohort::Canary
            } else {
                Cohort::Baseline
            };
            if let Some(counts) = local.slots.counts_mut(stratum, 0.0, cohort) {
                counts.loads += 1;
                counts.events[Gate::LoadFailures.index()] += u64::from(!succeeded);
            }
        }
    }
}
