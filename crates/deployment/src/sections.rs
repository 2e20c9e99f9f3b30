//! Reads all sections of a deployment file, and checks what concerns several of them.

use crate::configuration::configuration;
use crate::executors::executors;
use crate::functions::function;
use crate::reader::{Fields, Place};
use crate::regions::regions;
use crate::trigger_types::trigger_type;
use crate::{Deployment, EndpointSource, JournalSettings, Limits};
use orchidtally_dispatch_policy::interface::*;
use std::collections::HashMap;
use std::net::SocketAddr;

pub(crate) fn deployment<T>(
    root: &Place,
    more: impl FnOnce(&Place, &Deployment) -> T,
) -> Option<(Deployment, T)> {
    let top = root.object(&[
        "name",
        "listen",
        "location",
        "locations",
        "regions",
        "kinds",
        "frontEnds",
        "crossing",
        "triggerTypes",
        "customers",
        "overShareValue",
        "valueByWork",
        "functions",
        "otherFunctions",
        "executors",
        "limits",
        "safety",
        "loading",
        "reports",
        "rollouts",
        "journal",
        "mqtt",
        "configuration",
    ]);
    let name = top
        .maybe("name", Place::text)
        .unwrap_or_else(|| "unnamed".into());
    let listen = top.maybe("listen", |p| p.parsed("an address and port", str::parse));
    let locations = names(&top.at("locations"), "default", 250);
    let kinds = names(&top.at("kinds"), "default", 250);
    let zone = place_of(&top, "location", &locations).unwrap_or(0);
    let mut triggers = vec![];
    let mut trigger_types = vec![];
    let list = top.at("triggerTypes").list();
    if list.is_empty() {
        top.at("triggerTypes")
            .fault("at least one trigger type is wanted");
    }
    let mut seen = HashMap::new();
    for place in &list {
        let Some((trigger, policy)) = trigger_type(place) else {
            continue;
        };
        if seen.insert(trigger.name.clone(), ()).is_some() {
            place.fault(format!("there are two trigger types '{}'", trigger.name));
        }
        triggers.push(trigger);
        trigger_types.push(policy);
    }
    let triggers_journalled: Vec<String> = triggers
        .iter()
        .filter(|t| t.journalled)
        .map(|t| t.name.clone())
        .collect();
    let (mut customers, mut quotas) = (vec![], vec![]);
    for place in top.at("customers").list() {
        let fields = place.object(&["name", "share"]);
        let name = fields.at("name").text();
        let share = fields.at("share").number(0.001..=1e9);
        if let (Some(name), Some(share)) = (name, share) {
            if customers.contains(&name) {
                place.fault(format!("there are two customers '{name}'"));
            }
            customers.push(name);
            quotas.push(share);
        }
    }
    let mut functions = HashMap::new();
    for place in top.at("functions").list() {
        let Some(function) = function(&place, true) else {
            continue;
        };
        if let Some(other) = functions.insert(function.name.clone(), function) {
            place.fault(format!("there are two functions '{}'", other.name));
        }
    }
    let other_functions = top.maybe("otherFunctions", |p| function(p, false));
    if !top.at("functions").is_given() && !top.at("otherFunctions").is_given() {
        top.at("functions")
            .fault("is missing; list functions, or say under 'otherFunctions' what any has");
    }
    let by_cell = trigger_types.iter().any(|t| {
        t.idempotency == Idempotency::Keyed && t.deduplication_scope == DeduplicationScope::Cell
    });
    let by_zone = trigger_types.iter().any(|t| {
        t.idempotency == Idempotency::Keyed && t.deduplication_scope == DeduplicationScope::Zone
    });
    let (source, allowed) = executors(&top.at("executors"), &locations, &kinds, by_cell, by_zone);

    let rollouts = optional(&top, "rollouts", &["coordinators", "every"]);
    let coordinators: Vec<SocketAddr> = rollouts
        .at("coordinators")
        .list()
        .iter()
        .filter_map(|p| p.parsed("an address and port", str::parse))
        .collect();
    if coordinators.len() > 5 {
        rollouts
            .at("coordinators")
            .fault("5 coordinators at most are asked");
    }
    let rollouts_asked = rollouts
        .maybe("every", |p| p.seconds(0.05..=2.0))
        .unwrap_or(0.5);
    let fe = optional(&top, "frontEnds", &["count", "index", "clockSkew", "tick"]);
    let count = fe.maybe("count", |p| p.whole(1..=100_000)).unwrap_or(1);
    let index = fe.maybe("index", |p| p.whole(0..=99_999)).unwrap_or(0);
    if index >= count {
        fe.at("index").fault(format!(
            "{index} is no index among {count} front ends; 0 to {} is",
            count - 1
        ));
    }
    let skew = fe
        .maybe("clockSkew", |p| p.seconds(0.0..=60.0))
        .unwrap_or(0.5);
    let tick = fe
        .maybe("tick", |p| p.seconds(1e-4..=0.05))
        .unwrap_or(0.002);

    let limits = optional(
        &top,
        "limits",
        &[
            "maxDispatches",
            "secondCopies",
            "cancel",
            "maxRetryAfter",
            "openInvocations",
            "connections",
            "headerBytes",
            "bodyBytes",
            "answerBytes",
            "senderTime",
            "answerMargin",
            "answerTime",
            "streamsPerConnection",
            "connectionsPerExecutor",
            "connectTime",
            "idleClose",
        ],
    );
    let whole = |key, range, absent: u32| limits.maybe(key, |p| p.whole(range)).unwrap_or(absent);
    let bytes = |key, absent| limits.maybe(key, |p| p.bytes(1.0..=1e10)).unwrap_or(absent);
    let time = |key, most, absent| {
        limits
            .maybe(key, |p| p.seconds(0.001..=most))
            .unwrap_or(absent)
    };
    let safety = optional(
        &top,
        "safety",
        &["cold", "coldFrom", "overloadFactor", "fall"],
    );
    let loading = optional(
        &top,
        "loading",
        &[
            "orders",
            "answersMiss",
            "tellsCrowd",
            "keepAlive",
            "rationFloor",
            "rationShare",
            "rationWindow",
            "answerWithin",
        ],
    );
    let bounds = Limits {
        open_invocations: whole("openInvocations", 1..=10_000_000, 20_000) as usize,
        connections: whole("connections", 1..=1_000_000, 10_000) as usize,
        header_bytes: bytes("headerBytes", 16_384.0).clamp(8_192.0, 1e6) as u32,
        body_bytes: bytes("bodyBytes", 1_048_576.0) as usize,
        answer_bytes: bytes("answerBytes", 4_194_304.0) as usize,
        sender_time: time("senderTime", 600.0, 10.0),
        answer_margin: time("answerMargin", 5.0, 0.025),
        answer_time: limits
            .maybe("answerTime", |p| p.seconds(0.0..=0.01))
            .unwrap_or(40e-6),
        streams_per_connection: whole("streamsPerConnection", 1..=100_000, 100) as usize,
        connections_per_executor: whole("connectionsPerExecutor", 1..=10_000, 4) as usize,
        connect_time: time("connectTime", 60.0, 0.25),
        idle_close: time("idleClose", 86_400.0, 15.0),
        order_time: loading
            .maybe("answerWithin", |p| p.seconds(0.01..=3_600.0))
            .unwrap_or(10.0),
    };
    if let Some(t) = trigger_types
        .iter()
        .position(|t| t.client_timeout <= 2.0 * bounds.answer_margin)
    {
        let what = format!(
            "leaves no time: the client timeout of '{}' is {} s, more than twice the margin is wanted",
            triggers[t].name, trigger_types[t].client_timeout
        );
        limits.at("answerMargin").fault(what);
    }
    let orders = loading.at("orders").flag(true);
    let answers_miss = loading.at("answersMiss").flag(false);
    if answers_miss && !orders {
        loading
            .at("answersMiss")
            .fault("executors that answer 'miss' load by orders alone; orders are off");
    }
    let reports: Vec<_> = top
        .at("reports")
        .list()
        .iter()
        .filter_map(Place::text)
        .collect();
    let policy = PolicyConfig {
        trigger_types,
        quotas,
        over_quota_value_factor: top
            .maybe("overShareValue", |p| p.number(0.0..=1.0))
            .unwrap_or(0.1),
        bills_by_work: top.at("valueByWork").flag(false),
        front_ends: f64::from(count),
        front_end_index: f64::from(index),
        zone,
        cross_zone_cost: top
            .maybe("crossing", |p| p.number(0.0..=10.0))
            .unwrap_or(0.02),
        zone_regions: regions(&top, &locations),
        clock_tick: tick,
        max_dispatches: whole("maxDispatches", 1..=255, 4) as u8,
        allows_hedging: limits.at("secondCopies").flag(false),
        allows_cancellation: limits.at("cancel").flag(true),
        max_retry_after: limits
            .maybe("maxRetryAfter", |p| p.seconds(0.0..=3_600.0))
            .unwrap_or(1.0),
        polls_endpoints: !matches!(source, EndpointSource::Listed(_)),
        slow_start_duration: safety
            .maybe("cold", |p| p.seconds(0.001..=3_600.0))
            .unwrap_or(15.0),
        slow_start_initial_weight: safety
            .maybe("coldFrom", |p| p.number(0.001..=1.0))
            .unwrap_or(0.15),
        overload_factor: safety
            .maybe("overloadFactor", |p| p.number(1.0..=100.0))
            .unwrap_or(2.0),
        overload_window: safety
            .maybe("fall", |p| p.seconds(0.01..=60.0))
            .unwrap_or(1.0),
        // Deployment files name no grace: the module takes its own.
        drain_grace: 0.0,
        max_clock_skew: skew,
        allows_load_commands: orders,
        load_command_cost: 0.0,
        rejects_unloaded: answers_miss,
        reports_concurrency: loading.at("tellsCrowd").flag(true),
        keep_alive: loading
            .maybe("keepAlive", |p| p.seconds(0.0..=86_400.0))
            .unwrap_or(8.0),
        load_budget_floor: loading
            .maybe("rationFloor", |p| p.number(0.0..=1e6))
            .unwrap_or(2.0),
        load_budget_fraction: loading
            .maybe("rationShare", |p| p.number(0.0..=1.0))
            .unwrap_or(0.2),
        load_budget_window: loading
            .maybe("rationWindow", |p| p.seconds(0.0..=3_600.0))
            .unwrap_or(5.0),
        backlog_field: reports.iter().position(|r| r == "backlog"),
        pending_loads_field: reports.iter().position(|r| r == "loads"),
    };
    let deployment = Deployment {
        name,
        listen: listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 7300))),
        policy,
        trigger_types: triggers,
        customers,
        functions,
        other_functions,
        locations,
        kinds,
        source,
        allowed,
        coordinators,
        rollouts_asked,
        configuration: configuration(&top, count),
        journal: journalling(&top, count, &triggers_journalled),
        bounds,
    };
    let more = more(&top.at("mqtt"), &deployment);
    Some((deployment, more))
}

fn journalling(top: &Fields, front_ends: u32, journalled: &[String]) -> Option<JournalSettings> {
    let place = top.at("journal");
    if !place.is_given() {
        if let Some(name) = journalled.first() {
            place.fault(format!(
                "is missing; the trigger type '{name}' is journalled"
            ));
        }
        return None;
    }
    let fields = place.object(&["folder", "maxBytes", "keep", "mostKept"]);
    let folder = fields.at("folder").text();
    if folder
        .as_ref()
        .is_some_and(|f| front_ends > 1 && !f.contains("{index}"))
    {
        fields
            .at("folder")
            .fault("there are several front ends; '{index}' has to stand in it for each one's own");
    }
    Some(JournalSettings {
        folder: folder?,
        max_bytes: fields
            .maybe("maxBytes", |p| p.bytes(65_536.0..=1e12))
            .unwrap_or(268_435_456.0) as u64,
        keep: fields
            .maybe("keep", |p| p.seconds(1.0..=2_592_000.0))
            .unwrap_or(3_600.0),
        most_kept: fields
            .maybe("mostKept", |p| p.whole(1..=10_000_000))
            .unwrap_or(100_000) as usize,
    })
}

/// The fields of an object that may be left out whole.
pub(crate) fn optional<'a, 'd>(top: &Fields<'a, 'd>, name: &str, keys: &[&str]) -> Fields<'a, 'd> {
    let place = top.at(name);
    if place.is_given() {
        place.object(keys)
    } else {
        top.nothing(name)
    }
}

fn names(place: &Place, absent: &str, most: usize) -> Vec<String> {
    let list = place.list();
    if list.len() > most {
        place.fault(format!("{} are too many, {most} at most", list.len()));
    }
    let mut names: Vec<String> = vec![];
    for p in &list {
        match p.text() {
            Some(name) if names.contains(&name) => p.fault(format!("'{name}' is given twice")),
            Some(name) => names.push(name),
            None => {}
        }
    }
    if names.is_empty() {
        names.push(absent.into());
    }
    names
}

/// The place of a name in its list; the first where it is left out.
pub(crate) fn place_of(fields: &Fields, key: &str, names: &[String]) -> Option<u8> {
    let pairs: Vec<(&str, u8)> = names
        .iter()
        .enumerate()
        .map(|(n, s)| (s.as_str(), n as u8))
        .collect();
    if fields.at(key).is_given() {
        fields.at(key).one_of(&pairs)
    } else {
        Some(0)
    }
}
