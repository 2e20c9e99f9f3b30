//! Reports of a front end to coordinators, and local rollback while it reaches none.

use super::TrafficSplit;
use super::local::LocalRollout;
use crate::evidence::EvidenceDelta;
use crate::plan::GatePolicy;
use crate::state::Epoch;
use serde::{Deserialize, Serialize};

/// Seconds without a response of a coordinator after which a front end evaluates rollouts on its own.
const ISOLATION_TIMEOUT: f64 = 3.0;
/// Interval of evaluations and reports of evidence, in seconds.
const EVALUATION_INTERVAL: f64 = 1.0;
/// Weight of the newest interval in the moving average of a function's rate.
const NEWEST_RATE_WEIGHT: f64 = 0.2;
/// The shortest interval over which a rate is measured, in seconds.
const MIN_RATE_INTERVAL: f64 = 1e-3;
/// The most deltas that are kept while no coordinator is reachable.
const MAX_UNREPORTED: usize = 1_000;

/// The report of a front end to a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EvidenceReport {
    /// A random number that identifies this start of the front end.
    pub front_end: u64,
    /// Index of the front end.
    pub index: u32,
    /// Incremented with each report, so that a repeated one counts once.
    pub round: u64,
    /// The newest epoch that the front end knows.
    pub epoch: Epoch,
    /// The evidence since the last report.
    pub deltas: Vec<EvidenceDelta>,
}

impl LocalRollout {
    /// Returns why this front end, which reaches no coordinator, rolls back by its own evidence. The threshold is
    /// multiplied by the number of front ends: each of them runs its own tests, so the false positive rate is divided
    /// among them.
    fn rollback_reason(&self, front_ends: u32) -> Option<String> {
        let plan = &self.rollout.plan;
        let threshold = plan.threshold() * f64::from(front_ends);
        let fails = |policy: &&GatePolicy| {
            policy.rolls_back && self.own_tests.evidence(policy.gate) >= threshold
        };
        if let Some(failed) = plan.gates.iter().find(fails) {
            return Some(format!(
                "'{}' is worse by its own evidence",
                failed.gate.name()
            ));
        }
        (self.digest_mismatches > 0)
            .then(|| "a load returned bytes that don't match the digest".into())
    }

    /// Returns the evidence since the last call, which is added to the front end's own tests as well.
    fn take_delta(
        &mut self,
        now: f64,
        is_isolated: bool,
        sends_load_commands: bool,
        front_ends: u32,
    ) -> LocalEvaluation {
        let slots = self.slots.take();
        let plan = self.rollout.plan.clone();
        self.own_tests.record(&plan, now, &slots);
        let mut rolled_back = false;
        if is_isolated && self.effective_step().is_some() {
            self.local_rollback = self.rollback_reason(front_ends);
            rolled_back = self.local_rollback.is_some();
        }
        let elapsed = (now - self.invocations_since).max(MIN_RATE_INTERVAL);
        let rate = self.invocations as f64 / elapsed;
        self.rate += NEWEST_RATE_WEIGHT * (rate - self.rate);
        (self.invocations, self.invocations_since) = (0, now);
        let is_ready = self.is_ready || !sends_load_commands;
        let delta = EvidenceDelta {
            run: self.rollout.run,
            slots,
            digest_mismatches: std::mem::take(&mut self.digest_mismatches),
            local_rollback: self.local_rollback.clone(),
            ready: is_ready && self.applied_step == self.rollout.active_step(),
            rate,
        };
        LocalEvaluation { delta, rolled_back }
    }
}

/// The evaluation of a rollout by the front end itself.
struct LocalEvaluation {
    delta: EvidenceDelta,
    /// Whether this evaluation caused a local rollback.
    rolled_back: bool,
}

impl TrafficSplit {
    /// Applies steps that are ready, and evaluates rollouts if no coordinator is reachable. Returns the runs that it
    /// rolled back. Call it several times a second.
    pub fn tick(&mut self, now: f64) -> Vec<u64> {
        let is_isolated = now - self.last_contact_at > ISOLATION_TIMEOUT;
        let is_evaluation_due = now - self.evaluated_at >= EVALUATION_INTERVAL;
        if is_evaluation_due {
            self.evaluated_at = now;
        }
        let front_end = self.front_end;
        let mut rolled_back = vec![];
        for local in self.rollouts.values_mut() {
            let is_ready = (local.is_ready || !front_end.sends_load_commands) && local.to.is_some();
            if let Some(step) = local
                .rollout
                .active_step()
                .filter(|_| is_ready && !is_isolated)
            {
                local.applied_step = Some(step);
            }
            if !is_evaluation_due || local.has_ended() {
                continue;
            }
            let evaluation = local.take_delta(
                now,
                is_isolated,
                front_end.sends_load_commands,
                front_end.count,
            );
            if evaluation.rolled_back {
                rolled_back.push(evaluation.delta.run);
            }
            self.unreported.push(evaluation.delta);
        }
        // If no coordinator is reachable for long, the oldest evidence is dropped.
        let excess = self.unreported.len().saturating_sub(MAX_UNREPORTED);
        self.unreported.drain(..excess);
        rolled_back
    }

    /// Returns the report of the next round.
    pub fn report(&mut self, front_end: u64) -> EvidenceReport {
        self.round += 1;
        EvidenceReport {
            front_end,
            index: self.front_end.index,
            round: self.round,
            epoch: self.newest_epoch,
            deltas: std::mem::take(&mut self.unreported),
        }
    }

    /// Puts back the evidence of a report that reached no coordinator.
    pub fn restore_report(&mut self, report: EvidenceReport) {
        self.unreported.splice(0..0, report.deltas);
    }
}
