//! The coordinator of rollouts. It pools the evidence of all front ends, evaluates it by an ordered list of rules, and
//! publishes the state of each rollout. Any one process can be the coordinator. Times are in seconds since 1970.

mod command;
mod rules;
mod state;

pub use command::{Command, CommandError};
pub use state::{CoordinatorState, Event, Run};

use crate::frontend::EvidenceReport;
use crate::state::{Epoch, Phase, PublishedState, Rollout};
use rules::{RULES, Verdict};

/// A front end that hasn't reported for this long doesn't hold a step, in seconds.
const REPORT_TIMEOUT: f64 = 3.0;
/// Reports are discarded after this time, in seconds.
const REPORT_EXPIRY: f64 = 10.0 * REPORT_TIMEOUT;
/// The most events in the history of a rollout.
const MAX_HISTORY: usize = 300;
/// The most front ends whose last report round is stored.
const MAX_ROUNDS: usize = 10_000;

/// The coordinator of all rollouts, as a state machine without I/O.
pub struct Coordinator {
    state: CoordinatorState,
    /// The epoch of a newer coordinator. Once set, this one changes no rollout and rejects commands.
    superseded: Option<Epoch>,
    now: f64,
    changed: bool,
}

impl Coordinator {
    /// Continues from a persisted state, under a new term. The random `nonce` distinguishes coordinators of the same
    /// term.
    pub fn new(state: CoordinatorState, nonce: u64, now: f64) -> Coordinator {
        let mut coordinator = Coordinator {
            state,
            superseded: None,
            now,
            changed: true,
        };
        coordinator.state.published.epoch.term += 1;
        coordinator.state.published.epoch.nonce = nonce;
        coordinator
    }

    /// Returns the state published to front ends.
    pub fn published(&self) -> &PublishedState {
        &self.state.published
    }

    /// Returns the state to persist.
    pub fn state(&self) -> &CoordinatorState {
        &self.state
    }

    /// Returns the epoch of a newer coordinator, if one is known.
    pub fn superseded(&self) -> Option<Epoch> {
        self.superseded
    }

    /// Returns whether the published state has changed since the last call. It has to be persisted before it is sent.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Records an epoch that a front end or another coordinator knows.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        let is_newer = epoch > self.state.published.epoch;
        if is_newer && self.superseded.is_none_or(|known| known < epoch) {
            self.superseded = Some(epoch);
        }
    }

    /// Changes a rollout and adds an event to its history.
    fn update_rollout(
        &mut self,
        name: &str,
        by_operator: bool,
        reason: String,
        change: impl FnOnce(&mut Rollout),
    ) {
        let published = &mut self.state.published;
        let Some(rollout) = published.rollouts.get_mut(name) else {
            return;
        };
        change(rollout);
        rollout.reason = reason.clone();
        rollout.revision += 1;
        published.revision += 1;
        self.changed = true;
        let event = Event {
            at: self.now,
            run: rollout.run,
            revision: rollout.revision,
            phase: rollout.phase,
            step: rollout.step,
            by_operator,
            reason,
        };
        let run = self.state.runs.entry(name.to_owned()).or_default();
        run.history.push(event);
        let excess = run.history.len().saturating_sub(MAX_HISTORY);
        run.history.drain(..excess);
    }

    /// Finishes a rollout: the alias moves to the new version.
    fn finish(&mut self, name: &str, by_operator: bool, reason: String) {
        let Some(rollout) = self.state.published.rollouts.get(name) else {
            return;
        };
        let (function, alias) = (rollout.plan.function.clone(), rollout.plan.alias.clone());
        let digest = rollout.to.clone();
        self.state
            .published
            .aliases
            .entry(function)
            .or_default()
            .insert(alias, digest);
        self.update_rollout(name, by_operator, reason, |rollout| {
            rollout.phase = Phase::Finished
        });
    }

    /// Records the report of a front end, which is identified by a random number. A round that is reported again counts
    /// once, also across a restart, since its number is persisted with its evidence.
    pub fn record_report(&mut self, now: f64, report: &EvidenceReport) {
        self.observe_epoch(report.epoch);
        if !self.is_new_round(now, report) {
            return;
        }
        for delta in &report.deltas {
            let rollouts = &self.state.published.rollouts;
            let Some((name, rollout)) = rollouts.iter().find(|(_, r)| r.run == delta.run) else {
                continue;
            };
            if !rollout.phase.has_ended() {
                let run = self.state.runs.entry(name.clone()).or_default();
                run.add(now, report.front_end, delta);
            }
        }
    }

    fn is_new_round(&mut self, now: f64, report: &EvidenceReport) -> bool {
        let rounds = &mut self.state.rounds;
        let last = rounds.entry(report.front_end).or_insert((0, now));
        if report.round <= last.0 {
            return false;
        }
        *last = (report.round, now);
        if rounds.len() > MAX_ROUNDS {
            let oldest = rounds
                .iter()
                .min_by(|a, b| a.1.1.total_cmp(&b.1.1))
                .map(|(&front_end, _)| front_end);
            oldest.map(|front_end| rounds.remove(&front_end));
        }
        true
    }

    /// Evaluates each rollout. Call it about once a second and after a command.
    pub fn tick(&mut self, now: f64) {
        let elapsed = (now - self.now).clamp(0.0, REPORT_TIMEOUT);
        self.now = now;
        if self.superseded.is_some() {
            return;
        }
        let names: Vec<String> = self.state.published.rollouts.keys().cloned().collect();
        for name in names {
            self.evaluate(&name, elapsed);
        }
    }

    fn evaluate(&mut self, name: &str, elapsed: f64) {
        let now = self.now;
        let Some(rollout) = self.state.published.rollouts.get(name).cloned() else {
            return;
        };
        let run = self.state.runs.entry(name.to_owned()).or_default();
        run.forget_expired_reports(now);
        let slots = run.take_slots();
        if rollout.phase.has_ended() {
            return;
        }
        run.tests.record(&rollout.plan, now, &slots);
        if rollout.phase != Phase::Paused {
            run.step_duration += elapsed;
        }
        let verdict = RULES
            .iter()
            .map(|rule| rule(run, &rollout, now))
            .find(|verdict| !matches!(verdict, Verdict::Pass))
            .unwrap_or(Verdict::Pass);
        run.is_held = matches!(verdict, Verdict::Hold(_));
        self.apply_verdict(name, &rollout, verdict);
    }

    /// Applies the verdict of the rules to a rollout in its phase.
    fn apply_verdict(&mut self, name: &str, rollout: &Rollout, verdict: Verdict) {
        match (verdict, rollout.phase) {
            (Verdict::RollBack(reason), _) => {
                self.update_rollout(name, false, reason, |rollout| {
                    rollout.phase = Phase::RolledBack
                });
            }
            (_, Phase::Paused) => {}
            // The first step is published at once, since front ends load replicas only for a published step.
            (_, Phase::Planned) => {
                let share = rollout.plan.steps.first().map_or(0.0, |step| step.share);
                self.begin_step(name, format!("step 1: a share of {share}"), |rollout| {
                    rollout.phase = Phase::Shifting;
                });
            }
            (Verdict::Hold(reason), _) => {
                // The reason for a hold is published without a new revision.
                if let Some(rollout) = self.state.published.rollouts.get_mut(name) {
                    rollout.reason = reason;
                }
            }
            (Verdict::Pass | Verdict::Advance(_), Phase::RetainingOld) => {
                let retained_for = self
                    .state
                    .runs
                    .get(name)
                    .map_or(0.0, |run| run.step_duration);
                if retained_for >= rollout.plan.old_version_retention {
                    self.finish(
                        name,
                        false,
                        "the retention of the old version has ended".into(),
                    );
                }
            }
            (Verdict::Pass, _) => self.advance(name, rollout, None),
            (Verdict::Advance(why), _) => self.advance(name, rollout, Some(why)),
        }
    }

    fn advance(&mut self, name: &str, rollout: &Rollout, why: Option<String>) {
        match rollout.plan.steps.get(rollout.step + 1) {
            None => {
                let reason = why.unwrap_or_else(|| "all steps passed".into());
                self.begin_step(name, reason, |rollout| rollout.phase = Phase::RetainingOld);
            }
            Some(next) => {
                let reason = format!("step {}: a share of {}", rollout.step + 2, next.share);
                let reason = why.map_or(reason.clone(), |why| format!("{reason}; {why}"));
                self.begin_step(name, reason, |rollout| rollout.step += 1);
            }
        }
    }

    /// Begins a step: its duration and counts restart. The sequential tests continue over all steps.
    fn begin_step(&mut self, name: &str, reason: String, change: impl FnOnce(&mut Rollout)) {
        if let Some(run) = self.state.runs.get_mut(name) {
            run.begin_step();
        }
        self.update_rollout(name, false, reason, change);
    }
}
