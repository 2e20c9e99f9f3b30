//! Parses a plan and checks it against the deployment.

use super::{GATES, Gate, GatePolicy, InconclusiveAction, Plan, Step, StickyKey};
use crate::forecast;
use orchidtally_deployment::reader::{Fields, Place};
use orchidtally_deployment::{Deployment, Version};

/// The most bytes of a rollout's name.
const MAX_NAME_LENGTH: usize = 64;

/// The keys of a plan.
const KEYS: [&str; 15] = [
    "name",
    "function",
    "from",
    "to",
    "alias",
    "key",
    "steps",
    "gates",
    "falseAlarm",
    "unjudged",
    "loadsPerSecond",
    "priority",
    "holdback",
    "keepFrom",
    "rate",
];
/// The keys of a step.
const STEP_KEYS: [&str; 6] = [
    "share",
    "customers",
    "locations",
    "leastTime",
    "leastEvidence",
    "longest",
];
/// The most steps of a plan.
const MAX_STEPS: usize = 50;

/// Defaults of a plan.
const DEFAULT_FALSE_POSITIVE_RATE: f64 = 0.005;
const DEFAULT_LOADS_PER_SECOND: f64 = 2.0;
const DEFAULT_HOLDBACK: f64 = 0.05;
const DEFAULT_RETENTION: f64 = 60.0;
/// Defaults of a step.
const DEFAULT_MIN_DURATION: f64 = 60.0;
const DEFAULT_MIN_SAMPLES: u64 = 100;

/// Parses the plan; returns `None` if a fault prevents that. Faults are recorded in the document.
pub(super) fn plan(root: &Place, deployment: &Deployment) -> Option<Plan> {
    let fields = root.object(&KEYS);
    let name = name(&fields);
    let function = fields.at("function").text();
    let is_known = function
        .as_deref()
        .is_some_and(|function| check_function(&fields, function, deployment));
    let text = |key: &str, default: &str| match fields.at(key).is_given() {
        true => fields.at(key).text(),
        false => Some(default.to_owned()),
    };
    let alias = text("alias", "stable");
    let (from, to) = (text("from", "stable"), fields.at("to").text());
    if let (Some(function), Some(from), Some(to)) =
        (function.as_deref().filter(|_| is_known), &from, &to)
    {
        check_versions(&fields, deployment, function, from, to);
    }
    let inconclusive_actions = [
        ("hold", InconclusiveAction::Hold),
        ("advance", InconclusiveAction::Advance),
        ("back", InconclusiveAction::RollBack),
    ];
    let number = |key, range, default| {
        fields
            .optional(key, |place| place.number(range))
            .unwrap_or(default)
    };
    let key = fields
        .optional("key", sticky_key)
        .unwrap_or(StickyKey::Invocation);
    let steps = steps(&fields, deployment);
    let gates = gates(&fields.at("gates"));
    let rate = fields.optional("rate", |place| place.number(1e-6..=1e7));
    let plan = Plan {
        name: name?,
        function: function?,
        from: from?,
        to: to?,
        alias: alias?,
        key,
        steps,
        gates,
        false_positive_rate: number("falseAlarm", 1e-6..=0.1, DEFAULT_FALSE_POSITIVE_RATE),
        on_inconclusive: fields
            .optional("unjudged", |place| place.choice(&inconclusive_actions))
            .unwrap_or(InconclusiveAction::Hold),
        loads_per_second: number("loadsPerSecond", 0.01..=1e4, DEFAULT_LOADS_PER_SECOND),
        priority: fields
            .optional("priority", |place| place.integer(0..=1_000))
            .unwrap_or(0),
        holdback: number("holdback", 0.0..=0.5, DEFAULT_HOLDBACK),
        old_version_retention: fields
            .optional("keepFrom", |place| place.seconds(0.0..=86_400.0))
            .unwrap_or(DEFAULT_RETENTION),
        rate,
    };
    if !is_known {
        return None;
    }
    check_feasibility(&fields, &plan, deployment);
    Some(plan)
}

/// Records a fault for each infeasible part of a plan.
fn check_feasibility(fields: &Fields, plan: &Plan, deployment: &Deployment) {
    for infeasible in forecast::check(plan, deployment) {
        match infeasible.step {
            Some(index) => fields.at("steps").list()[index].fault(infeasible.reason),
            None => fields.at("loadsPerSecond").fault(infeasible.reason),
        }
    }
}

fn name(fields: &Fields) -> Option<String> {
    let name = fields.at("name").text()?;
    let is_valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.len() > MAX_NAME_LENGTH || !name.chars().all(is_valid) {
        fields
            .at("name")
            .fault("1 to 64 of a-z, A-Z, 0-9, '-', '_', '.' are wanted");
    }
    Some(name)
}

/// Returns whether the deployment lists a function; records a fault if not.
fn check_function(fields: &Fields, function: &str, deployment: &Deployment) -> bool {
    let is_known = deployment.functions.contains_key(function);
    if !is_known {
        let fault = format!("the deployment file lists no function '{function}' with versions");
        fields.at("function").fault(fault);
    }
    is_known
}

/// Records a fault if a version is unknown, or both versions are the same.
fn check_versions(fields: &Fields, deployment: &Deployment, function: &str, from: &str, to: &str) {
    let old = version(&fields.at("from"), deployment, function, from);
    let new = version(&fields.at("to"), deployment, function, to);
    if let (Some(old), Some(new)) = (old, new)
        && old.key == new.key
    {
        fields
            .at("to")
            .fault(format!("'{from}' and '{to}' are the same version"));
    }
}

fn version(place: &Place, deployment: &Deployment, function: &str, name: &str) -> Option<Version> {
    let found = deployment.function(function)?;
    let version = found.version(name).cloned();
    if version.is_none() {
        let aliases: Vec<_> = found
            .aliases
            .keys()
            .map(|alias| format!("'{alias}'"))
            .collect();
        let aliases = aliases.join(", ");
        place.fault(format!(
            "'{name}' is no alias or digest of '{function}'; aliases: {aliases}"
        ));
    }
    version
}

fn sticky_key(place: &Place) -> Option<StickyKey> {
    let text = place.text()?;
    match text.as_str() {
        "invocation" => Some(StickyKey::Invocation),
        "customer" => Some(StickyKey::Customer),
        "token" => Some(StickyKey::Token),
        other => match other.strip_prefix("header:").filter(|h| !h.is_empty()) {
            Some(header) => Some(StickyKey::Header(header.to_ascii_lowercase())),
            None => {
                place.fault(format!(
                    "'{other}' is none of 'invocation', 'customer', 'token', 'header:NAME'"
                ));
                None
            }
        },
    }
}

/// Reads a list of names, each of which has to be among the `known` ones.
fn names(place: &Place, known: &[String], category: &str) -> Vec<String> {
    let names: Vec<(Place, String)> = place
        .list()
        .into_iter()
        .filter_map(|p| p.text().map(|t| (p, t)))
        .collect();
    for (at, name) in &names {
        if !known.contains(name) {
            at.fault(format!("the deployment file has no {category} '{name}'"));
        }
    }
    names.into_iter().map(|(_, name)| name).collect()
}

fn steps(top: &Fields, deployment: &Deployment) -> Vec<Step> {
    let list = top.at("steps").list();
    if !(1..=MAX_STEPS).contains(&list.len()) {
        top.at("steps").fault("1 to 50 steps are wanted");
    }
    let mut steps: Vec<Step> = vec![];
    for place in &list {
        let fields = place.object(&STEP_KEYS);
        if let Some(step) = step(&fields, deployment) {
            check_step(&fields, &step, &steps);
            steps.push(step);
        }
    }
    if let (Some(last), Some(place)) = (steps.last(), list.last())
        && (last.share < 1.0 || !last.customers.is_empty() || !last.locations.is_empty())
    {
        place.fault("the last step has to be a share of 1 for everyone");
    }
    steps
}

fn step(fields: &Fields, deployment: &Deployment) -> Option<Step> {
    Some(Step {
        share: fields.at("share").number(0.0001..=1.0)?,
        customers: names(&fields.at("customers"), &deployment.customers, "customer"),
        locations: names(&fields.at("locations"), &deployment.locations, "location"),
        min_duration: fields
            .optional("leastTime", |place| place.seconds(0.0..=604_800.0))
            .unwrap_or(DEFAULT_MIN_DURATION),
        min_samples: fields
            .optional("leastEvidence", |place| place.integer(0..=1_000_000_000))
            .map_or(DEFAULT_MIN_SAMPLES, u64::from),
        max_duration: fields.optional("longest", |place| place.seconds(0.1..=2_592_000.0)),
    })
}

/// Records a fault if a step can't last as long as it has to, or doesn't raise the share of an earlier one.
fn check_step(fields: &Fields, step: &Step, earlier: &[Step]) {
    if let Some(longest) = step
        .max_duration
        .filter(|&longest| longest < step.min_duration)
    {
        fields.at("longest").fault(format!(
            "{longest} s is below the least time of {} s",
            step.min_duration
        ));
    }
    let is_for_same =
        |other: &&Step| other.customers == step.customers && other.locations == step.locations;
    let previous = earlier.iter().rfind(is_for_same);
    if let Some(previous) = previous.filter(|previous| previous.share >= step.share) {
        fields.at("share").fault(format!(
            "{} doesn't exceed the {} of an earlier step for the same customers and locations",
            step.share, previous.share
        ));
    }
}

fn default_gates() -> Vec<GatePolicy> {
    let policy = |gate, ratio, rolls_back| GatePolicy {
        gate,
        ratio,
        rolls_back,
    };
    vec![
        policy(Gate::Errors, 1.0, true),
        policy(Gate::Slow, 1.1, true),
        policy(Gate::SlowTail, 1.1, true),
        policy(Gate::LoadFailures, 1.0, true),
        policy(Gate::Throttled, 1.5, false),
    ]
}

/// The action of a gate in a plan.
#[derive(Clone, Copy)]
enum GateAction {
    RollBack,
    Hold,
    Disable,
}

const GATE_ACTIONS: [(&str, GateAction); 3] = [
    ("back", GateAction::RollBack),
    ("hold", GateAction::Hold),
    ("off", GateAction::Disable),
];

fn gates(place: &Place) -> Vec<GatePolicy> {
    if !place.is_given() {
        return default_gates();
    }
    let keys: Vec<&str> = GATES.iter().map(|gate| gate.name()).collect();
    let fields = place.object(&keys);
    let mut gates = vec![];
    for policy in default_gates() {
        let place = fields.at(policy.gate.name());
        if place.is_given() {
            gates.extend(gate_policy(&place, policy));
        } else {
            gates.push(policy);
        }
    }
    if !gates.iter().any(|policy| policy.rolls_back) {
        place.fault("no gate rolls back: a worse version would get all traffic");
    }
    gates
}

/// Returns the policy of a gate, from its default; `None` if the gate is disabled.
fn gate_policy(place: &Place, mut policy: GatePolicy) -> Option<GatePolicy> {
    let fields = place.object(&["ratio", "action"]);
    if let Some(ratio) = fields.optional("ratio", |place| place.number(1.0..=100.0)) {
        policy.ratio = ratio;
    }
    match fields.optional("action", |place| place.choice(&GATE_ACTIONS)) {
        Some(GateAction::RollBack) => policy.rolls_back = true,
        Some(GateAction::Hold) => policy.rolls_back = false,
        Some(GateAction::Disable) => return None,
        None => {}
    }
    Some(policy)
}
