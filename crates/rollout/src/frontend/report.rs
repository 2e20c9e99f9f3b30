//! What a front end reports to coordinators, and its own judgement while it reaches none.

use super::TrafficSplit;
use super::local::LocalRollout;
use crate::evidence::Delta;
use crate::plan::Hold;
use crate::state::Epoch;
use serde::{Deserialize, Serialize};

/// Without word from a coordinator for so many seconds a front end judges by itself.
const ISOLATED_AFTER: f64 = 3.0;
/// Seconds between two judgements.
const JUDGEMENT_INTERVAL: f64 = 1.0;
/// The weight of the newest second in the rate of a function.
const NEWEST_RATE_WEIGHT: f64 = 0.2;
/// The least time in seconds over which a rate is measured.
const LEAST_RATE_TIME: f64 = 1e-3;
/// Deltas that wait for a coordinator at the most.
const MAX_UNREPORTED: usize = 1_000;

/// What a front end reports to a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EvidenceReport {
    /// A number that the front end drew at its start.
    pub front_end: u64,
    /// The index of the front end in the deployment.
    pub index: u32,
    /// Grows with each report; one that is repeated counts once.
    pub round: u64,
    /// The newest epoch that it has heard of.
    pub epoch: Epoch,
    /// The evidence since the last report.
    pub deltas: Vec<Delta>,
}

impl LocalRollout {
    /// Why this front end, which reaches no coordinator, takes the rollout back by its own evidence. Its threshold is
    /// higher by the number of front ends, as each of them judges.
    fn own_verdict(&self, front_ends: u32) -> Option<String> {
        let plan = &self.rollout.plan;
        let threshold = plan.threshold() * f64::from(front_ends);
        let fails =
            |hold: &&Hold| hold.takes_back && self.own_tests.evidence(hold.gate) >= threshold;
        if let Some(failed) = plan.gates.iter().find(fails) {
            return Some(format!(
                "'{}' is worse by its own evidence",
                failed.gate.name()
            ));
        }
        (self.digest_mismatches > 0)
            .then(|| "a load found bytes that the digest doesn't name".into())
    }

    /// The evidence since the last call. What it reports is in its own test as well.
    fn take_delta(
        &mut self,
        now: f64,
        isolated: bool,
        orders: bool,
        front_ends: u32,
    ) -> TakenDelta {
        let slots = self.gathered.take();
        let plan = self.rollout.plan.clone();
        self.own_tests.note(&plan, now, &slots);
        let mut taken_back = false;
        if isolated && self.step_in_force().is_some() {
            self.took_back = self.own_verdict(front_ends);
            taken_back = self.took_back.is_some();
        }
        let passed = (now - self.taken_since).max(LEAST_RATE_TIME);
        let rate = self.taken as f64 / passed;
        self.rate += NEWEST_RATE_WEIGHT * (rate - self.rate);
        (self.taken, self.taken_since) = (0, now);
        let is_ready = self.ready || !orders;
        let delta = Delta {
            run: self.rollout.run,
            slots,
            digest_mismatches: std::mem::take(&mut self.digest_mismatches),
            took_back: self.took_back.clone(),
            ready: is_ready && self.given == self.rollout.split_at(),
            rate,
        };
        TakenDelta { delta, taken_back }
    }
}

struct TakenDelta {
    delta: Delta,
    /// Whether the front end took the rollout back by itself just now.
    taken_back: bool,
}

impl TrafficSplit {
    /// Does what is due: steps that are ready are given, and a front end that reaches no coordinator judges by
    /// itself. Returns the runs that it took back. To be called several times a second.
    pub fn tick(&mut self, now: f64) -> Vec<u64> {
        let isolated = now - self.heard_at > ISOLATED_AFTER;
        let is_judging = now - self.judged_at >= JUDGEMENT_INTERVAL;
        if is_judging {
            self.judged_at = now;
        }
        let place = self.place;
        let mut taken_back = vec![];
        for local in self.locals.values_mut() {
            let is_ready = (local.ready || !place.orders) && local.to.is_some();
            if let Some(step) = local.rollout.split_at().filter(|_| is_ready && !isolated) {
                local.given = Some(step);
            }
            if !is_judging || local.is_over() {
                continue;
            }
            let taken = local.take_delta(now, isolated, place.orders, place.count);
            if taken.taken_back {
                taken_back.push(taken.delta.run);
            }
            self.unreported.push(taken.delta);
        }
        // A coordinator that is out of reach for long misses the oldest.
        let excess = self.unreported.len().saturating_sub(MAX_UNREPORTED);
        self.unreported.drain(..excess);
        taken_back
    }

    /// What is to be reported, under the number of the next round.
    pub fn report(&mut self, front_end: u64) -> EvidenceReport {
        self.round += 1;
        EvidenceReport {
            front_end,
            index: self.place.index,
            round: self.round,
            epoch: self.newest_epoch,
            deltas: std::mem::take(&mut self.unreported),
        }
    }

    /// A report reached no coordinator: its evidence goes with the next.
    pub fn not_reported(&mut self, report: EvidenceReport) {
        self.unreported.splice(0..0, report.deltas);
    }
}
