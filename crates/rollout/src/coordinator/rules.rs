//! The rules by which a coordinator evaluates a rollout.

use super::Run;
use crate::plan::{Gate, InconclusiveAction, Plan};
use crate::sequential::Stratum;
use crate::state::{Phase, Rollout};

/// Strength of evidence at or above which a step is held. The strength is the logarithm of the evidence, relative to
/// the logarithm of the rollback threshold.
const HOLD_THRESHOLD: f64 = 0.5;
/// Strength of evidence below which a held step continues.
const RELEASE_THRESHOLD: f64 = 0.25;

/// The verdict of a rule.
pub(super) enum Verdict {
    /// The rule doesn't apply; the next one is evaluated.
    Pass,
    /// Hold the step, for this reason.
    Hold(String),
    /// Roll back, for this reason.
    RollBack(String),
    /// Advance to the next step, for this reason.
    Advance(String),
}

type Rule = fn(&Run, &Rollout, f64) -> Verdict;

/// The rules in order of precedence: the first verdict other than `Pass` applies.
pub(super) const RULES: [Rule; 8] = [
    digest_differs,
    gate_fails,
    front_end_rolled_back,
    operator_advances,
    front_ends_are_not_ready,
    evidence_is_building,
    time_or_samples_are_missing,
    gate_is_inconclusive,
];

fn digest_differs(run: &Run, _: &Rollout, _: f64) -> Verdict {
    match run.digest_mismatches {
        0 => Verdict::Pass,
        count => Verdict::RollBack(format!(
            "{count} loads returned bytes that don't match the digest"
        )),
    }
}

fn stratum_name(stratum: Stratum) -> String {
    match stratum {
        Stratum::All => "all".into(),
        Stratum::TriggerType(index) => format!("trigger type {index}"),
        Stratum::Customer(index) => format!("customer {index}"),
        Stratum::Location(index) => format!("location {index}"),
    }
}

/// The gate with the strongest evidence. A strength of 1 rolls back.
struct StrongestEvidence {
    gate: Gate,
    strength: f64,
}

fn strongest(run: &Run, plan: &Plan, only_rolling_back: bool) -> Option<StrongestEvidence> {
    let strength = |gate: Gate| run.tests.evidence(gate).ln() / plan.threshold().ln();
    let gates = plan
        .gates
        .iter()
        .filter(|policy| !only_rolling_back || policy.rolls_back)
        .map(|policy| policy.gate);
    let gates = gates.map(|gate| StrongestEvidence {
        gate,
        strength: strength(gate),
    });
    gates.max_by(|a, b| a.strength.total_cmp(&b.strength))
}

fn gate_fails(run: &Run, rollout: &Rollout, _: f64) -> Verdict {
    let failing = strongest(run, &rollout.plan, true).filter(|strongest| strongest.strength >= 1.0);
    let Some(StrongestEvidence { gate, .. }) = failing else {
        return Verdict::Pass;
    };
    let stratum = run
        .tests
        .strongest(gate)
        .map_or_else(|| "all".into(), |(stratum, _)| stratum_name(stratum));
    let odds = run.tests.evidence(gate);
    Verdict::RollBack(format!(
        "'{}' is worse ({stratum}): evidence of {odds:.0} to 1",
        gate.name()
    ))
}

fn front_end_rolled_back(run: &Run, _: &Rollout, _: f64) -> Verdict {
    match &run.local_rollback {
        None => Verdict::Pass,
        Some(reason) => Verdict::RollBack(format!(
            "rolled back by a front end that reached no coordinator: {reason}"
        )),
    }
}

fn operator_advances(run: &Run, _: &Rollout, _: f64) -> Verdict {
    run.operator_advance
        .as_ref()
        .map_or(Verdict::Pass, |reason| Verdict::Advance(reason.clone()))
}

fn front_ends_are_not_ready(run: &Run, rollout: &Rollout, now: f64) -> Verdict {
    if rollout.phase == Phase::RetainingOld {
        return Verdict::Pass;
    }
    let ready = run.readiness(now);
    if ready.is_empty() {
        return Verdict::Hold("no front end has been heard lately".into());
    }
    match ready.iter().filter(|ready| !**ready).count() {
        0 => Verdict::Pass,
        count => Verdict::Hold(format!(
            "{count} of {} front ends have no replica of the new version yet",
            ready.len()
        )),
    }
}

/// Holds the step while evidence accumulates, with hysteresis: until its strength falls below `RELEASE_THRESHOLD`.
fn evidence_is_building(run: &Run, rollout: &Rollout, _: f64) -> Verdict {
    if rollout.phase == Phase::RetainingOld {
        return Verdict::Pass;
    }
    let threshold = if run.is_held {
        RELEASE_THRESHOLD
    } else {
        HOLD_THRESHOLD
    };
    match strongest(run, &rollout.plan, false).filter(|strongest| strongest.strength >= threshold) {
        None => Verdict::Pass,
        Some(StrongestEvidence { gate, .. }) => {
            let odds = run.tests.evidence(gate);
            Verdict::Hold(format!(
                "'{}' may be worse: evidence of {odds:.0} to 1",
                gate.name()
            ))
        }
    }
}

fn time_or_samples_are_missing(run: &Run, rollout: &Rollout, _: f64) -> Verdict {
    let step = rollout
        .plan
        .steps
        .get(rollout.step)
        .filter(|_| rollout.phase != Phase::RetainingOld);
    let Some(step) = step else {
        return Verdict::Pass;
    };
    let answers = run.step_counts[1].answers;
    if answers < step.min_samples {
        let missing = format!(
            "{answers} of {} answers of the new version have been recorded",
            step.min_samples
        );
        let is_late = step
            .max_duration
            .is_some_and(|longest| run.step_duration >= longest);
        return if is_late {
            Verdict::RollBack(format!(
                "the longest time of the step has passed: {missing}"
            ))
        } else {
            Verdict::Hold(missing)
        };
    }
    if run.step_duration < step.min_duration {
        return Verdict::Hold(format!(
            "{:.0} of {:.0} s have passed",
            run.step_duration, step.min_duration
        ));
    }
    Verdict::Pass
}

fn gate_is_inconclusive(run: &Run, rollout: &Rollout, _: f64) -> Verdict {
    let plan = &rollout.plan;
    // In the last step without a holdback, the old version gets no traffic to compare with.
    let is_last_step = plan
        .steps
        .get(rollout.step)
        .is_none_or(|step| step.share >= 1.0);
    if is_last_step && plan.holdback == 0.0 || rollout.phase == Phase::RetainingOld {
        return Verdict::Pass;
    }
    let Some(policy) = plan
        .gates
        .iter()
        .find(|policy| has_no_comparison(run, policy.gate))
    else {
        return Verdict::Pass;
    };
    let reason = format!(
        "'{}' can't be evaluated: one of the versions has no samples",
        policy.gate.name()
    );
    match plan.on_inconclusive {
        InconclusiveAction::Advance => Verdict::Pass,
        InconclusiveAction::Hold => Verdict::Hold(reason),
        InconclusiveAction::RollBack => Verdict::RollBack(reason),
    }
}

fn has_no_comparison(run: &Run, gate: Gate) -> bool {
    let [old, new] = &run.step_counts;
    match gate {
        // A version without loads has no failed loads either.
        Gate::LoadFailures => new.loads > 0 && old.loads == 0 && new.events[gate.index()] > 0,
        _ => run
            .step_counts
            .iter()
            .any(|counts| counts.sample_count(gate) == 0),
    }
}
