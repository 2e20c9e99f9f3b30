//! The rules by which a coordinator judges a rollout.

use super::Run;
use crate::plan::{Gate, Plan, Unjudged};
use crate::sequential::Stratum;
use crate::state::{Phase, Rollout};

/// Evidence that holds a step, as a part of the logarithm of what takes the rollout back.
const HOLD_THRESHOLD: f64 = 0.5;
/// Evidence below which a step that is held goes on again, as a part of the same.
const RELEASE_THRESHOLD: f64 = 0.25;

/// What a rule says of a rollout.
pub(super) enum Verdict {
    /// Nothing: the next rule is asked.
    Pass,
    /// The step is held, for this reason.
    Hold(String),
    /// The rollout is taken back, for this reason.
    Back(String),
    /// The next step comes, for this reason.
    Advance(String),
}

type Rule = fn(&Run, &Rollout, f64) -> Verdict;

/// The rules in their order: the first that says anything counts.
pub(super) const RULES: [Rule; 8] = [
    digest_differs,
    gate_fails,
    front_end_took_it_back,
    operator_advances,
    front_ends_are_not_ready,
    evidence_is_building,
    time_or_evidence_is_missing,
    gate_cannot_be_judged,
];

fn digest_differs(run: &Run, _: &Rollout, _: f64) -> Verdict {
    match run.digest_mismatches {
        0 => Verdict::Pass,
        count => Verdict::Back(format!(
            "{count} loads found bytes that the digest doesn't name"
        )),
    }
}

fn group_name(group: Stratum) -> String {
    match group {
        Stratum::All => "all".into(),
        Stratum::TriggerType(index) => format!("trigger type {index}"),
        Stratum::Customer(index) => format!("customer {index}"),
        Stratum::Location(index) => format!("location {index}"),
    }
}

/// A gate and the strength of its evidence, as a part of the logarithm of what takes the rollout back.
struct Strongest {
    gate: Gate,
    strength: f64,
}

fn strongest(run: &Run, plan: &Plan, takes_back: bool) -> Option<Strongest> {
    let strength = |gate: Gate| run.tests.evidence(gate).ln() / plan.threshold().ln();
    let gates = plan
        .gates
        .iter()
        .filter(|hold| !takes_back || hold.takes_back)
        .map(|hold| hold.gate);
    let gates = gates.map(|gate| Strongest {
        gate,
        strength: strength(gate),
    });
    gates.max_by(|a, b| a.strength.total_cmp(&b.strength))
}

fn gate_fails(run: &Run, rollout: &Rollout, _: f64) -> Verdict {
    let failing = strongest(run, &rollout.plan, true).filter(|strongest| strongest.strength >= 1.0);
    let Some(Strongest { gate, .. }) = failing else {
        return Verdict::Pass;
    };
    let group = run
        .tests
        .strongest(gate)
        .map_or_else(|| "all".into(), |(group, _)| group_name(group));
    let odds = run.tests.evidence(gate);
    Verdict::Back(format!(
        "'{}' is worse ({group}): evidence of {odds:.0} to 1",
        gate.name()
    ))
}

fn front_end_took_it_back(run: &Run, _: &Rollout, _: f64) -> Verdict {
    match &run.took_back {
        None => Verdict::Pass,
        Some(why) => Verdict::Back(format!("a front end out of reach: {why}")),
    }
}

fn operator_advances(run: &Run, _: &Rollout, _: f64) -> Verdict {
    run.skip
        .as_ref()
        .map_or(Verdict::Pass, |why| Verdict::Advance(why.clone()))
}

fn front_ends_are_not_ready(run: &Run, rollout: &Rollout, now: f64) -> Verdict {
    if rollout.phase == Phase::Keeping {
        return Verdict::Pass;
    }
    let ready = run.readiness(now);
    if ready.is_empty() {
        return Verdict::Hold("no front end has been heard lately".into());
    }
    match ready.iter().filter(|ready| !**ready).count() {
        0 => Verdict::Pass,
        count => Verdict::Hold(format!(
            "{count} of {} front ends have no copy of the new version yet",
            ready.len()
        )),
    }
}

/// Hysteresis: evidence that builds up holds the step until it has gone down by half.
fn evidence_is_building(run: &Run, rollout: &Rollout, _: f64) -> Verdict {
    if rollout.phase == Phase::Keeping {
        return Verdict::Pass;
    }
    let threshold = if run.held {
        RELEASE_THRESHOLD
    } else {
        HOLD_THRESHOLD
    };
    match strongest(run, &rollout.plan, false).filter(|strongest| strongest.strength >= threshold) {
        None => Verdict::Pass,
        Some(Strongest { gate, .. }) => {
            let odds = run.tests.evidence(gate);
            Verdict::Hold(format!("'{}' looks worse: {odds:.0} to 1", gate.name()))
        }
    }
}

fn time_or_evidence_is_missing(run: &Run, rollout: &Rollout, _: f64) -> Verdict {
    let step = rollout
        .plan
        .steps
        .get(rollout.step)
        .filter(|_| rollout.phase != Phase::Keeping);
    let Some(step) = step else {
        return Verdict::Pass;
    };
    let answers = run.step[1].answers;
    if answers < step.least_evidence {
        let missing = format!(
            "{answers} of {} answers of the new version are in",
            step.least_evidence
        );
        let is_late = step.longest.is_some_and(|longest| run.time >= longest);
        return if is_late {
            Verdict::Back(format!("in the longest time of the step {missing}"))
        } else {
            Verdict::Hold(missing)
        };
    }
    if run.time < step.least_time {
        return Verdict::Hold(format!(
            "{:.0} of {:.0} s have passed",
            run.time, step.least_time
        ));
    }
    Verdict::Pass
}

fn gate_cannot_be_judged(run: &Run, rollout: &Rollout, _: f64) -> Verdict {
    let plan = &rollout.plan;
    // Where nothing is held back there is nothing left to compare with at the end.
    let is_whole = plan
        .steps
        .get(rollout.step)
        .is_none_or(|step| step.share >= 1.0);
    if is_whole && plan.holdback == 0.0 || rollout.phase == Phase::Keeping {
        return Verdict::Pass;
    }
    let Some(hold) = plan
        .gates
        .iter()
        .find(|hold| has_no_comparison(run, hold.gate))
    else {
        return Verdict::Pass;
    };
    let why = format!(
        "'{}' can't be judged: one of the versions gave nothing to compare",
        hold.gate.name()
    );
    match plan.unjudged {
        Unjudged::Advance => Verdict::Pass,
        Unjudged::Hold => Verdict::Hold(why),
        Unjudged::Back => Verdict::Back(why),
    }
}

fn has_no_comparison(run: &Run, gate: Gate) -> bool {
    let [old, new] = &run.step;
    match gate {
        // No load is no failed load.
        Gate::LoadFailures => new.loads > 0 && old.loads == 0 && new.events[gate.index()] > 0,
        _ => run.step.iter().any(|arm| arm.exposed(gate) == 0),
    }
}
