//! What a plan will take: loads against the ration of orders, time, and whether its steps can ever have the evidence
//! that they ask for. A plan that can't be kept is refused with these figures.

use crate::plan::{Gate, Plan};
use orchidtally_deployment::{Deployment, Version};
use serde::{Deserialize, Serialize};

/// The part of the ration's floor that rollouts may use; the rest is for ordinary placements.
const RATION_SHARE: f64 = 0.5;
/// The part of a copy's lanes that traffic fills at the most.
const MAX_UTILIZATION: f64 = 0.7;
/// The odds of errors that a step should be able to detect, for the advice on evidence.
const DETECTED_ODDS: f64 = 2.0;
/// The rate of errors that is assumed, as none is known.
const ASSUMED_ERROR_RATE: f64 = 0.01;

/// What one step of a plan will take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StepForecast {
    /// The index of the step.
    pub step: usize,
    /// The share of the new version.
    pub share: f64,
    /// Copies of the new version that the front ends know of between them.
    pub copies: u64,
    /// Orders to load that this takes.
    pub orders: u64,
    /// Seconds until the orders are out.
    pub loading: f64,
    /// Seconds until the evidence is in; `None` where the rate of invocations is not known.
    pub evidence: Option<f64>,
    /// The least time of the step in seconds, from the first order on.
    pub time: f64,
    /// About how many answers of the new version it takes to detect twice the errors.
    #[serde(rename = "telling")]
    pub answers_to_detect: u64,
}

/// Orders a second that all front ends together may give for rollouts; infinite where there is no ration.
pub fn orders_granted(deployment: &Deployment) -> f64 {
    let policy = &deployment.policy;
    if !policy.allows_load_commands || policy.load_budget_window <= 0.0 {
        return f64::INFINITY;
    }
    policy.front_ends * RATION_SHARE * policy.load_budget_floor / policy.load_budget_window
}

/// The copies that a share of a rate of invocations needs.
pub fn copies_for(rate: f64, share: f64, version: &Version) -> u64 {
    let work = version.expected_work.unwrap_or(0.0);
    (share * rate * work / (version.concurrency * MAX_UTILIZATION))
        .ceil()
        .max(1.0) as u64
}

fn copies(plan: &Plan, deployment: &Deployment, share: f64) -> u64 {
    let version = deployment
        .function(&plan.function)
        .and_then(|f| f.version(&plan.to).cloned());
    let (Some(rate), Some(version)) = (plan.rate, version) else {
        return 1;
    };
    copies_for(rate, share, &version)
}

/// Invocations of the new version a second at a step.
fn new_rate(plan: &Plan, step: usize) -> Option<f64> {
    // Where a step is for a part of the traffic, this is the most that it can be.
    Some(plan.rate? * plan.steps[step].share)
}

/// The answers of the new version until the bet on twice the odds has grown to the threshold, by the assumed errors.
fn answers_to_detect(plan: &Plan, share: f64) -> u64 {
    let p = share.clamp(1e-4, 0.9999);
    let bet = DETECTED_ODDS * p / (DETECTED_ODDS * p + 1.0 - p);
    // The logarithm of the growth for each event, if the odds are so. The bet has a 24th of the wealth.
    let growth = bet * (bet / p).ln() + (1.0 - bet) * ((1.0 - bet) / (1.0 - p)).ln();
    let needed = (24.0 * plan.threshold()).ln();
    let events = needed / growth.max(1e-9);
    (events * bet / (DETECTED_ODDS * ASSUMED_ERROR_RATE)).ceil() as u64
}

/// What each step of a plan will take.
pub fn forecast(plan: &Plan, deployment: &Deployment) -> Vec<StepForecast> {
    let front_ends = deployment.policy.front_ends as u64;
    let mut copies_before = 0;
    let mut forecasts = vec![];
    for (index, step) in plan.steps.iter().enumerate() {
        let copies = copies(plan, deployment, step.share);
        // Each front end has to know of a copy itself, so that each of them gives an order for each copy.
        let orders = copies.saturating_sub(copies_before) * front_ends;
        copies_before = copies.max(copies_before);
        let loading = orders as f64 / plan.loads_per_second;
        let evidence = new_rate(plan, index).map(|rate| step.least_evidence as f64 / rate);
        forecasts.push(StepForecast {
            step: index,
            share: step.share,
            copies,
            orders,
            loading,
            evidence,
            time: step.least_time.max(loading + evidence.unwrap_or(0.0)),
            answers_to_detect: answers_to_detect(plan, step.share),
        });
    }
    forecasts
}

/// What of a plan can't be kept.
pub(crate) struct Infeasible {
    /// The step that can't be kept; `None` for the pace of loads.
    pub(crate) step: Option<usize>,
    /// Why.
    pub(crate) what: String,
}

/// Everything of a plan that can't be kept.
pub(crate) fn check(plan: &Plan, deployment: &Deployment) -> Vec<Infeasible> {
    let mut faults = vec![];
    let granted = orders_granted(deployment);
    let policy = &deployment.policy;
    if plan.loads_per_second > granted {
        let what = format!(
            "{} a second can't be kept: the ration grants each of {} front ends {} orders in {} s without traffic, \
             and rollouts may use {} of it, which is {granted:.2} a second in all",
            plan.loads_per_second,
            policy.front_ends,
            policy.load_budget_floor,
            policy.load_budget_window,
            RATION_SHARE
        );
        faults.push(Infeasible { step: None, what });
    }
    for forecast in forecast(plan, deployment) {
        let fault = check_step(plan, &forecast);
        faults.extend(fault.map(|what| Infeasible {
            step: Some(forecast.step),
            what,
        }));
    }
    if plan.gate(Gate::LoadFailures).is_some()
        && !policy.allows_load_commands
        && policy.rejects_unloaded
    {
        let what = "load failures can't be judged where nothing loads".into();
        faults.push(Infeasible { step: None, what });
    }
    faults
}

/// Why a step can't come to its end in its longest time.
fn check_step(plan: &Plan, forecast: &StepForecast) -> Option<String> {
    let step = &plan.steps[forecast.step];
    let longest = step.longest?;
    let StepForecast {
        orders, loading, ..
    } = forecast;
    if *loading > longest {
        let pace = plan.loads_per_second;
        return Some(format!(
            "{orders} orders to load at {pace} a second take {loading:.0} s, longer than the longest of {longest} s"
        ));
    }
    let evidence = forecast
        .evidence
        .filter(|evidence| loading + evidence > longest)?;
    let (answers, rate) = (
        step.least_evidence,
        new_rate(plan, forecast.step).unwrap_or(0.0),
    );
    Some(format!(
        "its evidence can't come in time: {answers} answers at {rate:.3} a second take {evidence:.0} s after \
         {loading:.0} s of loading, longer than the longest of {longest} s"
    ))
}
