//! What a plan will take: loads against the ration of orders, time, and whether its steps can ever have the
//! evidence that they ask for. A plan that can't be kept is refused with the reckoning.

use crate::plan::{Gate, Plan};
use orchidtally_deployment::{Deployment, Version};
use serde::{Deserialize, Serialize};

/// Of the ration's floor, the part that rollouts may use; the rest is for ordinary placements.
pub const PART_OF_RATION: f64 = 0.5;
/// A copy that is to carry traffic is filled to this part at the most.
const FILLED: f64 = 0.7;
/// Odds of errors that a step should be able to tell, for the advice on evidence.
const TOLD_ODDS: f64 = 2.0;
/// Errors that are common enough to be reckoned with where none is known.
const USUAL_ERRORS: f64 = 0.01;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Reckoned {
    pub step: usize,
    pub share: f64,
    /// Copies of the new version that front ends know of between them, and orders to load that this takes.
    pub copies: u64,
    pub orders: u64,
    /// Seconds until the orders are out, and until the evidence is in (none where the rate isn't known).
    pub loading: f64,
    pub evidence: Option<f64>,
    /// The step's least time, from the first order on.
    pub time: f64,
    /// Answers of the new version until a version with twice the errors would be found out, about.
    pub telling: u64,
}

/// Orders a second that all front ends together may give for rollouts.
pub fn orders_granted(deployment: &Deployment) -> f64 {
    let t = &deployment.policy;
    if !t.orders || t.ration_window <= 0.0 {
        return f64::INFINITY;
    }
    t.front_ends * PART_OF_RATION * t.ration_floor / t.ration_window
}

/// Copies that a share of a rate of invocations needs.
pub fn copies_for(rate: f64, share: f64, version: &Version) -> u64 {
    let work = version.work.unwrap_or(0.0);
    (share * rate * work / (version.lanes * FILLED)).ceil().max(1.0) as u64
}

fn copies(plan: &Plan, deployment: &Deployment, share: f64) -> u64 {
    let version = deployment.function(&plan.function).and_then(|f| f.version(&plan.to).cloned());
    let (Some(rate), Some(version)) = (plan.rate, version) else { return 1 };
    copies_for(rate, share, &version)
}

/// Invocations of the new version a second at a step.
fn new_rate(plan: &Plan, step: usize) -> Option<f64> {
    // Where a step means only some of the traffic this is the most that it can be.
    Some(plan.rate? * plan.steps[step].share)
}

/// Errors of the new version until the bet on twice the odds has grown to the threshold, by the usual errors.
fn telling(plan: &Plan, share: f64) -> u64 {
    let p = share.clamp(1e-4, 0.9999);
    let bet = TOLD_ODDS * p / (TOLD_ODDS * p + 1.0 - p);
    // Growth for each event when the odds are indeed so; the stake is a twelfth of a half's half.
    let growth = bet * (bet / p).ln() + (1.0 - bet) * ((1.0 - bet) / (1.0 - p)).ln();
    let needed = (24.0 * plan.threshold()).ln();
    let events = needed / growth.max(1e-9);
    (events * bet / (TOLD_ODDS * USUAL_ERRORS)).ceil() as u64
}

pub fn reckon(plan: &Plan, deployment: &Deployment) -> Vec<Reckoned> {
    let front_ends = deployment.policy.front_ends as u64;
    let mut before = 0;
    let mut steps = vec![];
    for (n, step) in plan.steps.iter().enumerate() {
        let copies = copies(plan, deployment, step.share);
        // Each front end has to know of a copy itself, so that an order of each is needed for each copy.
        let orders = copies.saturating_sub(before) * front_ends;
        before = copies.max(before);
        let loading = orders as f64 / plan.loads_per_second;
        let evidence = new_rate(plan, n).map(|rate| step.least_evidence as f64 / rate);
        steps.push(Reckoned {
            step: n,
            share: step.share,
            copies,
            orders,
            loading,
            evidence,
            time: step.least_time.max(loading + evidence.unwrap_or(0.0)),
            telling: telling(plan, step.share),
        });
    }
    steps
}

/// Tells what can't be kept; `None` names the pace of loads, `Some` a step.
pub fn check(plan: &Plan, deployment: &Deployment, fault: &dyn Fn(Option<usize>, String)) {
    let granted = orders_granted(deployment);
    let t = &deployment.policy;
    if plan.loads_per_second > granted {
        let what = format!(
            "{} a second can't be kept: the ration grants each of {} front ends {} orders in {} s without traffic, \
             and rollouts may use {} of it, which is {granted:.2} a second in all",
            plan.loads_per_second, t.front_ends, t.ration_floor, t.ration_window, PART_OF_RATION
        );
        fault(None, what);
    }
    for reckoned in reckon(plan, deployment) {
        let step = &plan.steps[reckoned.step];
        let Some(longest) = step.longest else { continue };
        if reckoned.loading > longest {
            let what = format!(
                "{} orders to load at {} a second take {:.0} s, longer than the longest of {longest} s",
                reckoned.orders, plan.loads_per_second, reckoned.loading
            );
            fault(Some(reckoned.step), what);
        } else if let Some(evidence) = reckoned.evidence.filter(|e| reckoned.loading + e > longest) {
            let what = format!(
                "its evidence can't come in time: {} answers at {:.3} a second take {evidence:.0} s after {:.0} s of \
                 loading, longer than the longest of {longest} s",
                step.least_evidence,
                new_rate(plan, reckoned.step).unwrap_or(0.0),
                reckoned.loading
            );
            fault(Some(reckoned.step), what);
        }
    }
    if plan.gate(Gate::LoadFailures).is_some() && !t.orders && t.answers_miss {
        fault(None, "load failures can't be judged where nothing loads".into());
    }
}
