//! Forecasts the cost of a plan: load commands against the load budget, duration, and whether its steps can get their
//! samples. An infeasible plan is rejected with these figures.

use crate::plan::{Gate, Plan};
use orchidtally_deployment::{Deployment, Version};
use serde::{Deserialize, Serialize};

/// Fraction of the load budget's floor that rollouts may use; the rest is for ordinary placements.
const LOAD_BUDGET_SHARE: f64 = 0.5;
/// The highest planned utilization of a replica's lanes.
const MAX_UTILIZATION: f64 = 0.7;
/// The ratio of the odds of errors that a step should detect, for the advice on samples.
const DETECTED_ODDS: f64 = 2.0;
/// The assumed rate of errors of the old version.
const ASSUMED_ERROR_RATE: f64 = 0.01;

/// The forecast of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StepForecast {
    /// The index of the step.
    pub step: usize,
    /// The share of the new version.
    pub share: f64,
    /// Replicas of the new version that are needed.
    #[serde(rename = "copies")]
    pub replicas: u64,
    /// Load commands that all front ends send.
    #[serde(rename = "orders")]
    pub load_commands: u64,
    /// Seconds until the load commands are sent.
    #[serde(rename = "loading")]
    pub load_duration: f64,
    /// Seconds until the samples are collected; `None` if the rate of invocations is unknown.
    #[serde(rename = "evidence")]
    pub sampling_duration: Option<f64>,
    /// Shortest duration of the step in seconds, from the first load command on.
    #[serde(rename = "time")]
    pub duration: f64,
    /// Approximate number of answers of the new version until twice the errors are detected.
    #[serde(rename = "telling")]
    pub answers_to_detect: u64,
}

/// Returns the limit of load commands a second that all front ends together may send for rollouts; infinite without a
/// load budget.
pub fn load_command_rate_limit(deployment: &Deployment) -> f64 {
    let policy = &deployment.policy;
    if !policy.allows_load_commands || policy.load_budget_window <= 0.0 {
        return f64::INFINITY;
    }
    policy.front_ends * LOAD_BUDGET_SHARE * policy.load_budget_floor / policy.load_budget_window
}

/// Returns the number of replicas needed for a share of a rate of invocations.
pub fn replicas_for(rate: f64, share: f64, version: &Version) -> u64 {
    let work = version.expected_work.unwrap_or(0.0);
    (share * rate * work / (version.concurrency * MAX_UTILIZATION))
        .ceil()
        .max(1.0) as u64
}

fn replicas(plan: &Plan, deployment: &Deployment, share: f64) -> u64 {
    let version = deployment
        .function(&plan.function)
        .and_then(|f| f.version(&plan.to).cloned());
    let (Some(rate), Some(version)) = (plan.rate, version) else {
        return 1;
    };
    replicas_for(rate, share, &version)
}

/// Returns the invocations of the new version a second at a step.
fn new_rate(plan: &Plan, step: usize) -> Option<f64> {
    // An upper bound if the step applies to a part of the traffic.
    Some(plan.rate? * plan.steps[step].share)
}

/// Returns the number of answers of the new version until the bet on twice the odds reaches the threshold, at the
/// assumed rate of errors.
fn answers_to_detect(plan: &Plan, share: f64) -> u64 {
    let p = share.clamp(1e-4, 0.9999);
    let bet = DETECTED_ODDS * p / (DETECTED_ODDS * p + 1.0 - p);
    // The logarithmic growth for each event if the odds are doubled. The bet has a 24th of the wealth.
    let growth = bet * (bet / p).ln() + (1.0 - bet) * ((1.0 - bet) / (1.0 - p)).ln();
    let needed = (24.0 * plan.threshold()).ln();
    let events = needed / growth.max(1e-9);
    (events * bet / (DETECTED_ODDS * ASSUMED_ERROR_RATE)).ceil() as u64
}

/// Returns the forecast of each step of a plan.
pub fn forecast(plan: &Plan, deployment: &Deployment) -> Vec<StepForecast> {
    let front_ends = deployment.policy.front_ends as u64;
    let mut replicas_before = 0;
    let mut forecasts = vec![];
    for (index, step) in plan.steps.iter().enumerate() {
        let replicas = replicas(plan, deployment, step.share);
        // Each front end sends a command for each replica, since it has to know the replica itself.
        let load_commands = replicas.saturating_sub(replicas_before) * front_ends;
        replicas_before = replicas.max(replicas_before);
        let load_duration = load_commands as f64 / plan.loads_per_second;
        let sampling_duration = new_rate(plan, index).map(|rate| step.min_samples as f64 / rate);
        forecasts.push(StepForecast {
            step: index,
            share: step.share,
            replicas,
            load_commands,
            load_duration,
            sampling_duration,
            duration: step
                .min_duration
                .max(load_duration + sampling_duration.unwrap_or(0.0)),
            answers_to_detect: answers_to_detect(plan, step.share),
        });
    }
    forecasts
}

/// An infeasible part of a plan.
pub(crate) struct Infeasible {
    /// Index of the step; `None` for the rate of loads.
    pub(crate) step: Option<usize>,
    /// Why it is infeasible.
    pub(crate) reason: String,
}

/// Returns the infeasible parts of a plan.
pub(crate) fn check(plan: &Plan, deployment: &Deployment) -> Vec<Infeasible> {
    let mut infeasible = vec![];
    let rate_limit = load_command_rate_limit(deployment);
    let policy = &deployment.policy;
    if plan.loads_per_second > rate_limit {
        let reason = format!(
            "{} a second exceeds the load budget: each of {} front ends may send {} load commands in {} s without \
             traffic, and rollouts may use {} of it, which is {rate_limit:.2} a second in all",
            plan.loads_per_second,
            policy.front_ends,
            policy.load_budget_floor,
            policy.load_budget_window,
            LOAD_BUDGET_SHARE
        );
        infeasible.push(Infeasible { step: None, reason });
    }
    for forecast in forecast(plan, deployment) {
        let fault = check_step(plan, &forecast);
        infeasible.extend(fault.map(|reason| Infeasible {
            step: Some(forecast.step),
            reason,
        }));
    }
    if plan.gate(Gate::LoadFailures).is_some()
        && !policy.allows_load_commands
        && policy.rejects_unloaded
    {
        let reason =
            "load failures can't be evaluated: neither load commands nor invocations load replicas"
                .into();
        infeasible.push(Infeasible { step: None, reason });
    }
    infeasible
}

/// Returns why a step can't end within its longest duration, if it can't.
fn check_step(plan: &Plan, forecast: &StepForecast) -> Option<String> {
    let step = &plan.steps[forecast.step];
    let longest = step.max_duration?;
    let StepForecast {
        load_commands,
        load_duration,
        ..
    } = forecast;
    if *load_duration > longest {
        let rate = plan.loads_per_second;
        return Some(format!(
            "{load_commands} load commands at {rate} a second take {load_duration:.0} s, longer than the longest of {longest} s"
        ));
    }
    let evidence = forecast
        .sampling_duration
        .filter(|sampling| load_duration + sampling > longest)?;
    let (answers, rate) = (
        step.min_samples,
        new_rate(plan, forecast.step).unwrap_or(0.0),
    );
    Some(format!(
        "its samples can't be collected in time: {answers} answers at {rate:.3} a second take {evidence:.0} s after \
         {load_duration:.0} s of loading, longer than the longest of {longest} s"
    ))
}
