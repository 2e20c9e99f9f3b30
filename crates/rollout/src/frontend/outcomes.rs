//! What invocations, dispatches and loads came to, and what of it counts as evidence.

use super::local::SlowThresholds;
use super::{Invoked, LOADS_INDEX, TrafficSplit};
use crate::evidence::{Arm, Cell};
use crate::plan::{Gate, Plan};
use orchidtally_deployment::Version;
use std::collections::{HashMap, VecDeque};

/// Events of one key, or breaks at one executor, that count as evidence in a step: one customer's own trouble must not
/// decide.
const MAX_EVENTS: u8 = 3;
/// Keys whose events are counted.
const MAX_KEYS: usize = 100_000;
/// Failures of this many other versions at one executor lately make it the executor's trouble.
const OTHERS_FAILING: usize = 2;
/// Seconds for which failures at an executor count.
const FAILURE_WINDOW: f64 = 5.0;
/// Failures that are remembered of one executor, and executors whose failures are.
const MAX_FAILURES: usize = 32;
const MAX_EXECUTORS: usize = 10_000;

/// The final answer of an invocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerOutcome {
    /// It succeeded.
    Succeeded {
        /// Seconds that the dispatch took which brought the answer.
        took: f64,
        /// Whether its copy had been loaded before.
        warm: bool,
    },
    /// There was no room in time.
    Throttled,
    /// It failed.
    Errored,
}

/// A failure of a version at an executor.
#[derive(Debug)]
struct Failure {
    at: f64,
    version: u64,
}

/// Executors at which dispatches failed lately.
#[derive(Debug, Default)]
pub(super) struct FailingExecutors {
    failures: HashMap<u64, VecDeque<Failure>>,
}

impl FailingExecutors {
    /// Adds a failure; returns how many of other versions failed there lately.
    fn add(&mut self, now: f64, executor: u64, version: u64) -> usize {
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
    /// The events of an answer, and what it adds to the quantiles.
    fn note(&mut self, plan: &Plan, arm: Arm, took: f64) -> [Option<Gate>; 2] {
        let ratio = |gate| plan.gate(gate).map_or(1.0, |hold| hold.ratio);
        let gates = [
            (Gate::Slow, 0.9, &mut self.slow),
            (Gate::SlowTail, 0.99, &mut self.slow_tail),
        ];
        let events = gates.map(|(gate, quantile, tracked)| {
            let allowed = if arm == Arm::New { ratio(gate) } else { 1.0 };
            let event = tracked
                .known()
                .filter(|known| took > allowed * known)
                .map(|_| gate);
            if arm == Arm::Old {
                tracked.note(quantile, took);
            }
            event
        });
        // Until the old version's quantiles are known nothing can be said of either version.
        if self.are_known() { events } else { [None; 2] }
    }
}

impl TrafficSplit {
    /// A dispatch of a version failed at an executor, by its answer or, where it `broke`, by a reset or time-out.
    /// Returns whether that counts against the version.
    ///
    /// Guards a version whose few copies stand at a bad executor: where others fail there too it is the executor's
    /// trouble, and what breaks off counts a few times for each executor.
    pub fn dispatch_failed(&mut self, now: f64, executor: u64, version: u64, broke: bool) -> bool {
        let others = self.failing.add(now, executor, version);
        let is_version = |v: &Option<Version>| v.as_ref().is_some_and(|v| v.key == version);
        let local = self
            .locals
            .values_mut()
            .find(|local| is_version(&local.from) || is_version(&local.to));
        let Some(local) = local.filter(|_| others < OTHERS_FAILING) else {
            return false;
        };
        if !broke {
            return true;
        }
        let breaks = local.breaks_by_executor.entry(executor).or_default();
        *breaks = breaks.saturating_add(1);
        *breaks <= MAX_EVENTS
    }

    /// An invocation has its final answer. `failed` says that a dispatch of it failed in a way that counts: one that
    /// was dispatched again and succeeded shows what the version is like all the same.
    pub fn answered(&mut self, invoked: &Invoked, outcome: AnswerOutcome, failed: bool) {
        let Some(local) = self.local_of(invoked.run) else {
            return;
        };
        let plan = local.rollout.plan.clone();
        let trigger_type = invoked.cell.trigger_type;
        let own_events = match outcome {
            AnswerOutcome::Errored | AnswerOutcome::Succeeded { warm: false, .. } => [None; 2],
            AnswerOutcome::Throttled => [Some(Gate::Throttled), None],
            AnswerOutcome::Succeeded { took, warm: true } => local
                .slow
                .entry(trigger_type)
                .or_default()
                .note(&plan, invoked.arm, took),
        };
        let mut events = [own_events[0], own_events[1], failed.then_some(Gate::Errors)];
        if let Some(key) = invoked.key.filter(|_| events.iter().any(Option::is_some)) {
            if local.events_by_key.len() >= MAX_KEYS && !local.events_by_key.contains_key(&key) {
                return;
            }
            let counted = local.events_by_key.entry(key).or_default();
            *counted = counted.saturating_add(1);
            if *counted > MAX_EVENTS {
                events = [None; 3];
            }
        }
        let is_warm = matches!(outcome, AnswerOutcome::Succeeded { warm: true, .. });
        let is_compared = is_warm
            && local
                .slow
                .get(&trigger_type)
                .is_some_and(SlowThresholds::are_known);
        let Some(counts) = local.gathered.at(invoked.cell, invoked.share, invoked.arm) else {
            return;
        };
        counts.answers += 1;
        counts.warm += u64::from(is_compared);
        for gate in events.into_iter().flatten() {
            counts.events[gate.index()] += 1;
        }
    }

    /// A load of some version came to its end. For a rollout those of all other versions are the comparison: they
    /// come from the same store.
    pub fn load_ended(&mut self, version: u64, succeeded: bool, digest_differed: bool) {
        let location = self.place.location;
        for local in self.locals.values_mut().filter(|local| !local.is_over()) {
            let is_new = local.to.as_ref().is_some_and(|to| to.key == version);
            if is_new && digest_differed {
                local.digest_mismatches += 1;
            }
            let cell = Cell {
                trigger_type: LOADS_INDEX,
                customer: LOADS_INDEX,
                location,
            };
            let arm = if is_new { Arm::New } else { Arm::Old };
            if let Some(counts) = local.gathered.at(cell, 0.0, arm) {
                counts.loads += 1;
                counts.events[Gate::LoadFailures.index()] += u64::from(!succeeded);
            }
        }
    }
}
