//! The plan of a rollout, in JSON5. It is checked as a whole, like the deployment file.

use crate::forecast;
use orchidtally_deployment::reader::{DeploymentFault, Document, Fields, Place};
use orchidtally_deployment::{Deployment, Version};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The sticky key of the split: invocations of one key get the same version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Key {
    /// The name of the invocation: each is split by itself.
    Invocation,
    /// The customer.
    Customer,
    /// The idempotency token.
    Token,
    /// The value of this HTTP header, in lower case.
    Header(String),
}

impl Key {
    /// Whether many invocations have the same key, so that their troubles come together.
    pub fn is_shared(&self) -> bool {
        !matches!(self, Key::Invocation)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Key::Invocation => f.write_str("invocation"),
            Key::Customer => f.write_str("customer"),
            Key::Token => f.write_str("token"),
            Key::Header(name) => write!(f, "header:{name}"),
        }
    }
}

/// A step of a plan. Times are in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Step {
    /// The share of the new version in the traffic that the step is for, from 0 to 1.
    pub share: f64,
    /// The customers that the step is for; all where none is named.
    pub customers: Vec<String>,
    /// The locations that the step is for; all where none is named.
    pub locations: Vec<String>,
    /// The step lasts so long at the least.
    pub least_time: f64,
    /// Answers of the new version that the step needs.
    pub least_evidence: u64,
    /// A step whose evidence is missing after this time is taken back.
    pub longest: Option<f64>,
}

/// What is compared between the versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Gate {
    /// Failed invocations.
    Errors,
    /// Answers slower than the old version's 0.9 quantile.
    Slow,
    /// Answers slower than the old version's 0.99 quantile.
    SlowTail,
    /// Loads that failed.
    LoadFailures,
    /// Throttled invocations.
    Throttled,
}

/// All gates, in the order of `Gate::index`.
pub const GATES: [Gate; 5] = [
    Gate::Errors,
    Gate::Slow,
    Gate::SlowTail,
    Gate::LoadFailures,
    Gate::Throttled,
];

impl Gate {
    /// The name of the gate in plans and reports.
    pub fn name(self) -> &'static str {
        match self {
            Gate::Errors => "errors",
            Gate::Slow => "slow",
            Gate::SlowTail => "slowTail",
            Gate::LoadFailures => "loadFailures",
            Gate::Throttled => "throttled",
        }
    }

    /// The place of the gate in arrays by gate.
    pub fn index(self) -> usize {
        GATES.iter().position(|&g| g == self).unwrap_or(0)
    }
}

/// The terms of a gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Hold {
    /// The gate.
    pub gate: Gate,
    /// The ratio to the old version that is allowed: of the odds of errors, load failures and throttled answers, and
    /// of the latency for the slow ones.
    pub ratio: f64,
    /// Whether a gate that fails takes the rollout back; otherwise it holds the step.
    pub takes_back: bool,
}

/// What becomes of a step one of whose gates can't be judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Unjudged {
    /// The step is held.
    Hold,
    /// The gate is left out.
    Advance,
    /// The rollout is taken back.
    Back,
}

/// The plan of a rollout. Times are in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Plan {
    /// The name of the rollout.
    pub name: String,
    /// The name of the function.
    pub function: String,
    /// The old version, by an alias or its digest.
    pub from: String,
    /// The new version, by an alias or its digest.
    pub to: String,
    /// The alias that moves to the new version at the end.
    pub alias: String,
    /// The sticky key of the split.
    pub key: Key,
    /// The steps; the last one is for everyone.
    pub steps: Vec<Step>,
    /// The gates that are judged.
    pub gates: Vec<Hold>,
    /// The probability that a harmless rollout is taken back, over its whole life and all gates.
    pub false_alarm: f64,
    /// What becomes of a step one of whose gates can't be judged.
    pub unjudged: Unjudged,
    /// Loads of the new version a second, over all front ends.
    pub loads_per_second: f64,
    /// Rollouts of a greater priority load first.
    pub priority: u32,
    /// The part of the traffic that stays on the old version until the rollout is finished, so that there is something
    /// to compare with while the rest is on the new one.
    pub holdback: f64,
    /// How long the old version's copies are kept after the last step.
    pub keep_from: f64,
    /// Invocations of the function a second over all front ends, where that is known beforehand.
    pub rate: Option<f64>,
}

/// The longest name of a rollout, in bytes.
const MAX_NAME_LENGTH: usize = 64;

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

impl Plan {
    /// Reads a plan and checks it against the deployment, or returns every fault in it.
    pub fn read(text: &str, deployment: &Deployment) -> Result<Plan, Vec<DeploymentFault>> {
        let document = Document::new(text);
        let Some(value) = document.parse() else {
            return Err(document.faults());
        };
        let read = plan(&document.root(&value), deployment);
        let faults = document.faults();
        match read {
            Some(plan) if faults.is_empty() => Ok(plan),
            _ => Err(faults),
        }
    }

    /// The terms of a gate, where it is judged.
    pub fn gate(&self, gate: Gate) -> Option<&Hold> {
        self.gates.iter().find(|h| h.gate == gate)
    }

    /// The evidence that takes the rollout back: the inverse of a gate's part of the false alarms.
    pub fn threshold(&self) -> f64 {
        let judged = self.gates.iter().filter(|h| h.takes_back).count().max(1);
        judged as f64 / self.false_alarm
    }
}

fn plan(root: &Place, deployment: &Deployment) -> Option<Plan> {
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
    let unjudged = [
        ("hold", Unjudged::Hold),
        ("advance", Unjudged::Advance),
        ("back", Unjudged::Back),
    ];
    let number = |key, range, default| {
        fields
            .optional(key, |place| place.number(range))
            .unwrap_or(default)
    };
    let key = fields.optional("key", key).unwrap_or(Key::Invocation);
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
        false_alarm: number("falseAlarm", 1e-6..=0.1, 0.005),
        unjudged: fields
            .optional("unjudged", |place| place.choice(&unjudged))
            .unwrap_or(Unjudged::Hold),
        loads_per_second: number("loadsPerSecond", 0.01..=1e4, 2.0),
        priority: fields
            .optional("priority", |place| place.integer(0..=1_000))
            .unwrap_or(0),
        holdback: number("holdback", 0.0..=0.5, 0.05),
        keep_from: fields
            .optional("keepFrom", |place| place.seconds(0.0..=86_400.0))
            .unwrap_or(60.0),
        rate,
    };
    if !is_known {
        return None;
    }
    for infeasible in forecast::check(&plan, deployment) {
        match infeasible.step {
            Some(index) => fields.at("steps").list()[index].fault(infeasible.what),
            None => fields.at("loadsPerSecond").fault(infeasible.what),
        }
    }
    Some(plan)
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

/// Whether the deployment lists a function; a fault is noted if not.
fn check_function(fields: &Fields, function: &str, deployment: &Deployment) -> bool {
    let is_known = deployment.functions.contains_key(function);
    if !is_known {
        let what = format!("the deployment file lists no function '{function}' with versions");
        fields.at("function").fault(what);
    }
    is_known
}

/// Notes a fault where a version is not known, or both are the same.
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

fn key(place: &Place) -> Option<Key> {
    let text = place.text()?;
    match text.as_str() {
        "invocation" => Some(Key::Invocation),
        "customer" => Some(Key::Customer),
        "token" => Some(Key::Token),
        other => match other.strip_prefix("header:").filter(|h| !h.is_empty()) {
            Some(header) => Some(Key::Header(header.to_ascii_lowercase())),
            None => {
                place.fault(format!(
                    "'{other}' is none of 'invocation', 'customer', 'token', 'header:NAME'"
                ));
                None
            }
        },
    }
}

/// Names that the deployment has to know.
fn names(place: &Place, known: &[String], what: &str) -> Vec<String> {
    let names: Vec<(Place, String)> = place
        .list()
        .into_iter()
        .filter_map(|p| p.text().map(|t| (p, t)))
        .collect();
    for (at, name) in &names {
        if !known.contains(name) {
            at.fault(format!("the deployment file has no {what} '{name}'"));
        }
    }
    names.into_iter().map(|n| n.1).collect()
}

fn steps(top: &Fields, deployment: &Deployment) -> Vec<Step> {
    let list = top.at("steps").list();
    if !(1..=50).contains(&list.len()) {
        top.at("steps").fault("1 to 50 steps are wanted");
    }
    let mut steps: Vec<Step> = vec![];
    for place in &list {
        let f = place.object(&[
            "share",
            "customers",
            "locations",
            "leastTime",
            "leastEvidence",
            "longest",
        ]);
        let Some(share) = f.at("share").number(0.0001..=1.0) else {
            continue;
        };
        let step = Step {
            share,
            customers: names(&f.at("customers"), &deployment.customers, "customer"),
            locations: names(&f.at("locations"), &deployment.locations, "location"),
            least_time: f
                .optional("leastTime", |p| p.seconds(0.0..=604_800.0))
                .unwrap_or(60.0),
            least_evidence: f
                .optional("leastEvidence", |p| p.integer(0..=1_000_000_000))
                .map_or(100, u64::from),
            longest: f.optional("longest", |p| p.seconds(0.1..=2_592_000.0)),
        };
        if let Some(longest) = step.longest.filter(|&l| l < step.least_time) {
            f.at("longest").fault(format!(
                "{longest} s is under the least time of {} s",
                step.least_time
            ));
        }
        let same = |s: &&Step| s.customers == step.customers && s.locations == step.locations;
        if let Some(before) = steps.iter().rfind(same).filter(|s| s.share >= step.share) {
            let what = format!(
                "{share} is no more than the {} of an earlier step for the same",
                before.share
            );
            f.at("share").fault(what);
        }
        steps.push(step);
    }
    if let (Some(last), Some(place)) = (steps.last(), list.last())
        && (last.share < 1.0 || !last.customers.is_empty() || !last.locations.is_empty())
    {
        place.fault("the last step has to be a share of 1 for everyone");
    }
    steps
}

fn gates(place: &Place) -> Vec<Hold> {
    let usual = |gate, ratio, takes_back| Hold {
        gate,
        ratio,
        takes_back,
    };
    let mut gates = vec![
        usual(Gate::Errors, 1.0, true),
        usual(Gate::Slow, 1.1, true),
        usual(Gate::SlowTail, 1.1, true),
        usual(Gate::LoadFailures, 1.0, true),
        usual(Gate::Throttled, 1.5, false),
    ];
    if !place.is_given() {
        return gates;
    }
    let keys: Vec<&str> = GATES.iter().map(|g| g.name()).collect();
    let fields = place.object(&keys);
    for gate in GATES {
        let p = fields.at(gate.name());
        if !p.is_given() {
            continue;
        }
        let f = p.object(&["ratio", "action"]);
        let hold = &mut gates[gate.index()];
        hold.ratio = f
            .optional("ratio", |p| p.number(1.0..=100.0))
            .unwrap_or(hold.ratio);
        let actions = [("back", Some(true)), ("hold", Some(false)), ("off", None)];
        match f.optional("action", |p| p.choice(&actions)) {
            Some(Some(takes_back)) => hold.takes_back = takes_back,
            Some(None) => hold.ratio = f64::INFINITY,
            None => {}
        }
    }
    gates.retain(|h| h.ratio.is_finite());
    if !gates.iter().any(|h| h.takes_back) {
        place.fault("no gate takes back: a version that is worse would go to everyone");
    }
    gates
}
