//! The coordinator's part of a rollout: it pools the evidence of all front ends, judges it by an ordered list of
//! rules, and publishes the state of each rollout. Any one process can be the coordinator. Times are in seconds since
//! 1970.

mod command;
mod rules;
mod state;

pub use command::{Command, CommandError};
pub use state::{CoordinatorState, Event, Run};

use crate::frontend::EvidenceReport;
use crate::state::{Epoch, Phase, Published, Rollout};
use rules::{RULES, Verdict};

/// A front end that has not reported for so many seconds is not waited for.
const SILENCE: f64 = 3.0;
/// Reports of front ends are forgotten after so many seconds.
const FORGET_AFTER: f64 = 10.0 * SILENCE;
/// Entries of history that are kept for each rollout.
const MAX_HISTORY: usize = 300;
/// Front ends whose rounds are remembered.
const MAX_ROUNDS: usize = 10_000;

/// The coordinator of all rollouts, as a state machine without I/O.
pub struct Coordinator {
    state: CoordinatorState,
    /// The epoch of a newer coordinator. This one says so and does nothing more.
    superseded: Option<Epoch>,
    now: f64,
    changed: bool,
}

impl Coordinator {
    /// Continues from a state that was kept, under a new term. `drawn` is a random number that tells coordinators of
    /// one term apart.
    pub fn new(state: CoordinatorState, drawn: u64, now: f64) -> Coordinator {
        let mut coordinator = Coordinator {
            state,
            superseded: None,
            now,
            changed: true,
        };
        coordinator.state.published.epoch.term += 1;
        coordinator.state.published.epoch.drawn = drawn;
        coordinator
    }

    /// What front ends are told.
    pub fn published(&self) -> &Published {
        &self.state.published
    }

    /// What has to outlive the process.
    pub fn state(&self) -> &CoordinatorState {
        &self.state
    }

    /// The epoch of a newer coordinator that was heard of.
    pub fn superseded(&self) -> Option<Epoch> {
        self.superseded
    }

    /// Whether anything was published since the last call: it has to be persisted before it is told.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// A front end or another coordinator named an epoch.
    pub fn heard_of(&mut self, epoch: Epoch) {
        let is_newer = epoch > self.state.published.epoch;
        if is_newer && self.superseded.is_none_or(|known| known < epoch) {
            self.superseded = Some(epoch);
        }
    }

    /// Changes a rollout, and adds the change to its history.
    fn change(
        &mut self,
        name: &str,
        by_hand: bool,
        reason: String,
        change: impl FnOnce(&mut Rollout),
    ) {
        let published = &mut self.state.published;
        let Some(rollout) = published.rollouts.get_mut(name) else {
            return;
        };
        change(rollout);
        rollout.reason = reason.clone();
        rollout.number += 1;
        published.number += 1;
        self.changed = true;
        let event = Event {
            at: self.now,
            run: rollout.run,
            number: rollout.number,
            phase: rollout.phase,
            step: rollout.step,
            by_hand,
            reason,
        };
        let run = self.state.runs.entry(name.to_owned()).or_default();
        run.history.push(event);
        let excess = run.history.len().saturating_sub(MAX_HISTORY);
        run.history.drain(..excess);
    }

    /// Ends a rollout with the new version: its alias moves.
    fn finish(&mut self, name: &str, by_hand: bool, reason: String) {
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
        self.change(name, by_hand, reason, |rollout| {
            rollout.phase = Phase::Finished
        });
    }

    /// Adds the report of a front end to the evidence. The front end is known by a number that it drew at its start.
    /// A round that was reported before counts once, also across a restart: its number is kept with what it added.
    pub fn evidence(&mut self, now: f64, report: &EvidenceReport) {
        self.heard_of(report.epoch);
        if !self.is_new_round(now, report) {
            return;
        }
        for delta in &report.deltas {
            let rollouts = &self.state.published.rollouts;
            let Some((name, rollout)) = rollouts.iter().find(|(_, r)| r.run == delta.run) else {
                continue;
            };
            if !rollout.phase.is_over() {
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

    /// Judges each rollout that is on. To be called about once a second and after a command.
    pub fn tick(&mut self, now: f64) {
        let passed = (now - self.now).clamp(0.0, SILENCE);
        self.now = now;
        if self.superseded.is_some() {
            return;
        }
        let names: Vec<String> = self.state.published.rollouts.keys().cloned().collect();
        for name in names {
            self.judge(&name, passed);
        }
    }

    fn judge(&mut self, name: &str, passed: f64) {
        let now = self.now;
        let Some(rollout) = self.state.published.rollouts.get(name).cloned() else {
            return;
        };
        let run = self.state.runs.entry(name.to_owned()).or_default();
        run.forget_silent(now);
        let slots = run.take_slots();
        if rollout.phase.is_over() {
            return;
        }
        run.tests.note(&rollout.plan, now, &slots);
        if rollout.phase != Phase::Paused {
            run.time += passed;
        }
        let verdict = RULES
            .iter()
            .map(|rule| rule(run, &rollout, now))
            .find(|verdict| !matches!(verdict, Verdict::Pass))
            .unwrap_or(Verdict::Pass);
        run.held = matches!(verdict, Verdict::Hold(_));
        self.follow(name, &rollout, verdict);
    }

    /// Does what the rules say of a rollout in its phase.
    fn follow(&mut self, name: &str, rollout: &Rollout, verdict: Verdict) {
        match (verdict, rollout.phase) {
            (Verdict::Back(why), _) => {
                self.change(name, false, why, |rollout| rollout.phase = Phase::TakenBack);
            }
            (_, Phase::Paused) => {}
            // Front ends load for the first step once it is published.
            (_, Phase::Planned) => {
                let share = rollout.plan.steps.first().map_or(0.0, |step| step.share);
                self.begin_step(name, format!("step 1: a share of {share}"), |rollout| {
                    rollout.phase = Phase::Shifting;
                });
            }
            (Verdict::Hold(why), _) => {
                // Why the next step has not come is published without being a change.
                if let Some(rollout) = self.state.published.rollouts.get_mut(name) {
                    rollout.reason = why;
                }
            }
            (Verdict::Pass | Verdict::Advance(_), Phase::Keeping) => {
                let kept_for = self.state.runs.get(name).map_or(0.0, |run| run.time);
                if kept_for >= rollout.plan.keep_from {
                    self.finish(name, false, "the old version was kept long enough".into());
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
                self.begin_step(name, reason, |rollout| rollout.phase = Phase::Keeping);
            }
            Some(next) => {
                let reason = format!("step {}: a share of {}", rollout.step + 2, next.share);
                let reason = why.map_or(reason.clone(), |why| format!("{reason}; {why}"));
                self.begin_step(name, reason, |rollout| rollout.step += 1);
            }
        }
    }

    /// Begins a step: its time and evidence are counted anew. The tests go on over all steps.
    fn begin_step(&mut self, name: &str, reason: String, change: impl FnOnce(&mut Rollout)) {
        if let Some(run) = self.state.runs.get_mut(name) {
            run.begin_step();
        }
        self.change(name, false, reason, change);
    }
}
