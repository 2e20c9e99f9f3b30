//! A rollout's plan, in JSON5, checked as a whole like the deployment file.

use orchidtally_deployment::reader::{Document, Fault, Fields, Place};
use orchidtally_deployment::{Deployment, Version};
use serde::{Deserialize, Serialize};
use std::fmt;

/// What the split sticks to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Key {
    /// Each invocation by itself.
    Invocation,
    Customer,
    /// The idempotency key.
    Token,
    Header(String),
}

impl Key {
    /// Whether one key stands for many invocations, whose troubles then come together.
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Step {
    /// Of the traffic that the step means, from 0 to 1.
    pub share: f64,
    /// Those who are meant; all where none is named.
    pub customers: Vec<String>,
    pub locations: Vec<String>,
    pub least_time: f64,
    /// Answers of the new version that have to be in.
    pub least_evidence: u64,
    /// A step that has not passed by then is taken back.
    pub longest: Option<f64>,
}

/// What is compared between the versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Gate {
    Errors,
    /// Answers slower than the old version's 0.9 quantile.
    Slow,
    /// Answers slower than the old version's 0.99 quantile.
    SlowTail,
    LoadFailures,
    Throttled,
}

pub const GATES: [Gate; 5] = [Gate::Errors, Gate::Slow, Gate::SlowTail, Gate::LoadFailures, Gate::Throttled];

impl Gate {
    pub fn name(self) -> &'static str {
        match self {
            Gate::Errors => "errors",
            Gate::Slow => "slow",
            Gate::SlowTail => "slowTail",
            Gate::LoadFailures => "loadFailures",
            Gate::Throttled => "throttled",
        }
    }

    pub fn index(self) -> usize {
        GATES.iter().position(|&g| g == self).unwrap_or(0)
    }
}

/// How a gate is held.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Hold {
    pub gate: Gate,
    /// For errors, load failures, throttled: so many times the old version's odds are allowed. For the slow
    /// ones: so many times its latency.
    pub ratio: f64,
    /// A gate that fails takes the rollout back; else it holds the step.
    pub takes_back: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Unjudged {
    Hold,
    Advance,
    Back,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Plan {
    pub name: String,
    pub function: String,
    /// Aliases or digests, as the plan names them.
    pub from: String,
    pub to: String,
    /// The alias that moves to the new version at the end.
    pub alias: String,
    pub key: Key,
    pub steps: Vec<Step>,
    pub gates: Vec<Hold>,
    /// SeededRandom that a harmless rollout is taken back, over its whole life and all gates.
    pub false_alarm: f64,
    pub unjudged: Unjudged,
    /// Loads of the new version a second, over all front ends.
    pub loads_per_second: f64,
    /// Of rollouts that share the front ends' budget of loads, the greatest comes first.
    pub priority: u32,
    /// The part of the traffic that stays on the old version until the rollout is finished, so that there is
    /// something to compare with while all the rest is on the new one.
    pub holdback: f64,
    /// How long the old version's copies are kept after the last step.
    pub keep_from: f64,
    /// Invocations of the function a second over all front ends, where they are known beforehand.
    pub rate: Option<f64>,
}

const TOP: [&str; 15] = [
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
    /// Reads a plan and checks it against the deployment, or tells every fault in it.
    pub fn read(text: &str, deployment: &Deployment) -> Result<Plan, Vec<Fault>> {
        let document = Document::new(text);
        let Some(value) = document.parse() else { return Err(document.faults()) };
        let read = plan(&document.root(&value), deployment);
        let faults = document.faults();
        match read {
            Some(plan) if faults.is_empty() => Ok(plan),
            _ => Err(faults),
        }
    }

    pub fn gate(&self, gate: Gate) -> Option<&Hold> {
        self.gates.iter().find(|h| h.gate == gate)
    }

    /// Evidence as strong as this takes back: the inverse of a gate's part of the false alarms.
    pub fn threshold(&self) -> f64 {
        let judged = self.gates.iter().filter(|h| h.takes_back).count().max(1);
        judged as f64 / self.false_alarm
    }
}

fn version<'a>(
    place: &Place,
    deployment: &Deployment,
    function: &str,
    name: &'a str,
) -> Option<(&'a str, Version)> {
    let found = deployment.function(function)?;
    match found.version(name) {
        Some(version) => Some((name, version.clone())),
        None => {
            let aliases: Vec<_> = found.aliases.keys().map(|a| format!("'{a}'")).collect();
            let what =
                format!("'{name}' is no alias or digest of '{function}'; aliases: {}", aliases.join(", "));
            place.fault(what);
            None
        }
    }
}

fn plan(root: &Place, deployment: &Deployment) -> Option<Plan> {
    let top = root.object(&TOP);
    let name = top.at("name").text();
    if name
        .as_ref()
        .is_some_and(|n| n.len() > 64 || !n.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c)))
    {
        top.at("name").fault("1 to 64 of a-z, A-Z, 0-9, '-', '_', '.' are wanted");
    }
    let function = top.at("function").text();
    let known = function.clone().filter(|f| {
        let known = deployment.functions.contains_key(f.as_str());
        if !known {
            top.at("function").fault(format!("the deployment file lists no function '{f}' with versions"));
        }
        known
    });
    let text = |key: &str, absent: &str| match top.at(key).is_given() {
        true => top.at(key).text(),
        false => Some(absent.to_owned()),
    };
    let alias = text("alias", "stable");
    let (from, to) = (text("from", "stable"), top.at("to").text());
    if let (Some(function), Some(from), Some(to)) = (&known, &from, &to) {
        let old = version(&top.at("from"), deployment, function, from);
        let new = version(&top.at("to"), deployment, function, to);
        if let (Some((_, old)), Some((_, new))) = (old, new)
            && old.key == new.key
        {
            top.at("to").fault(format!("'{from}' and '{to}' are the same version"));
        }
    }
    let key = top.maybe("key", key).unwrap_or(Key::Invocation);
    let steps = steps(&top, deployment);
    let gates = gates(&top.at("gates"));
    let rate = top.maybe("rate", |p| p.number(1e-6..=1e7));
    let plan = Plan {
        name: name?,
        function: function?,
        from: from?,
        to: to?,
        alias: alias?,
        key,
        steps,
        gates,
        false_alarm: top.maybe("falseAlarm", |p| p.number(1e-6..=0.1)).unwrap_or(0.005),
        unjudged: top
            .maybe("unjudged", |p| {
                p.one_of(&[
                    ("hold", Unjudged::Hold),
                    ("advance", Unjudged::Advance),
                    ("back", Unjudged::Back),
                ])
            })
            .unwrap_or(Unjudged::Hold),
        loads_per_second: top.maybe("loadsPerSecond", |p| p.number(0.01..=1e4)).unwrap_or(2.0),
        priority: top.maybe("priority", |p| p.whole(0..=1_000)).unwrap_or(0),
        holdback: top.maybe("holdback", |p| p.number(0.0..=0.5)).unwrap_or(0.05),
        keep_from: top.maybe("keepFrom", |p| p.seconds(0.0..=86_400.0)).unwrap_or(60.0),
        rate,
    };
    known?;
    crate::reckoning::check(&plan, deployment, &|step, what| match step {
        Some(n) => top.at("steps").list()[n].fault(what),
        None => top.at("loadsPerSecond").fault(what),
    });
    Some(plan)
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
                place.fault(format!("'{other}' is none of 'invocation', 'customer', 'token', 'header:NAME'"));
                None
            }
        },
    }
}

/// Names that the deployment has to know.
fn names(place: &Place, known: &[String], what: &str) -> Vec<String> {
    let names: Vec<(Place, String)> =
        place.list().into_iter().filter_map(|p| p.text().map(|t| (p, t))).collect();
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
        let f = place.object(&["share", "customers", "locations", "leastTime", "leastEvidence", "longest"]);
        let Some(share) = f.at("share").number(0.0001..=1.0) else { continue };
        let step = Step {
            share,
            customers: names(&f.at("customers"), &deployment.customers, "customer"),
            locations: names(&f.at("locations"), &deployment.locations, "location"),
            least_time: f.maybe("leastTime", |p| p.seconds(0.0..=604_800.0)).unwrap_or(60.0),
            least_evidence: f.maybe("leastEvidence", |p| p.whole(0..=1_000_000_000)).map_or(100, u64::from),
            longest: f.maybe("longest", |p| p.seconds(0.1..=2_592_000.0)),
        };
        if let Some(longest) = step.longest.filter(|&l| l < step.least_time) {
            f.at("longest").fault(format!("{longest} s is under the least time of {} s", step.least_time));
        }
        let same = |s: &&Step| s.customers == step.customers && s.locations == step.locations;
        if let Some(before) = steps.iter().rfind(same).filter(|s| s.share >= step.share) {
            let what =
                format!("{share} is no more than the {} of an earlier step for the same", before.share);
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
    let usual = |gate, ratio, takes_back| Hold { gate, ratio, takes_back };
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
        hold.ratio = f.maybe("ratio", |p| p.number(1.0..=100.0)).unwrap_or(hold.ratio);
        let actions = [("back", Some(true)), ("hold", Some(false)), ("off", None)];
        match f.maybe("action", |p| p.one_of(&actions)) {
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
