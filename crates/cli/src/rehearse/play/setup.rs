//! Sets a rehearsal up: the deployment file that front ends read, executors, the roster's source and front ends.

use super::{FrontEnd, Rehearsal, TRANSIT, Wish};
use crate::rehearse::day::Day;
use crate::rehearse::messages::Messages;
use crate::rehearse::rolling::Rolling;
use crate::rehearse::roster::Roster;
use orchidtally_deployment::Deployment;
use orchidtally_invariants::{Effect, Group, Limits, Standing, TriggerType};
use orchidtally_test_servers::client::Caller;
use orchidtally_test_servers::executor::{Catalogue, Executor, Make, Program, Surroundings, Tokens, echo};
use orchidtally_test_servers::publisher::{Publisher, Row};
use orchidtally_test_servers::store::Store;
use orchidtally_test_servers::{Stage, any_port, port_for_later};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;

const CORES: usize = 2;
const MEMORY_MB: f64 = 2_000.0;
const COPY_MB: f64 = 100.0;

fn description(day: &Day, source: &str, more: &str) -> String {
    let locations: Vec<String> = (0..day.locations).map(|n| format!("\"room-{n}\"")).collect();
    format!(
        r#"{{
  name: "rehearsal",
  locations: [{locations}],
  kinds: ["box"],
  frontEnds: {{ count: {count}, clockSkew: "{skew}ms" }},
  triggerTypes: [
    {{ name: "look", effect: "idempotent", objective: "500ms", timeout: "3s", lateShare: 0.3 }},
    {{ name: "plan", effect: "tokened", group: "cell", window: "3s", objective: "800ms", timeout: "4s", billedValue: 2 }},
    {{ name: "act", effect: "nonIdempotent", objective: "600ms", timeout: "3s", billedValue: 3, lateShare: 0.1 }},
    {{ name: "watch", effect: "idempotent", objective: "500ms", timeout: "4s", streams: true }},
  ],
  otherFunctions: {{ lanes: 4, memory: "100MB", loadTime: "300ms" }},
  executors: {{ allowedNetworks: ["127.0.0.0/8"], {source} }},
  limits: {{
    maxDispatches: 4, maxRetryAfter: "1s", openInvocations: 4000, connections: 400, bodyBytes: "64KiB",
    senderTime: "1s", answerMargin: "200ms", streamsPerConnection: 64, connectionsPerExecutor: 4,
    connectTime: "250ms", idleClose: "5s",
  }},
  safety: {{ cold: "4s", coldFrom: 0.25, overloadFactor: 2, fall: "500ms" }},
  loading: {{ orders: true, keepAlive: "6s", rationFloor: 2, rationShare: 0.2, rationWindow: "5s" }},
  reports: ["backlog", "memory"],
  {more}
}}
"#,
        locations = locations.join(", "),
        count = day.front_ends,
        skew = (day.clock_skew * 1e3).ceil(),
    )
}

/// What the rules are checked against, from the same description that the front ends read.
fn limits(deployment: &Deployment) -> Limits {
    let t = &deployment.policy;
    let ty = |(trigger, ty): (&orchidtally_deployment::Trigger, &orchidtally::interface::TriggerType)| {
        TriggerType {
            name: trigger.name.clone(),
            effect: match ty.effect {
                orchidtally::interface::Effect::Idempotent => Effect::Idempotent,
                orchidtally::interface::Effect::Tokened => Effect::Tokened,
                orchidtally::interface::Effect::NonIdempotent => Effect::NonIdempotent,
            },
            group: match ty.group {
                orchidtally::interface::Group::All => Group::All,
                orchidtally::interface::Group::Zone => Group::Location,
                orchidtally::interface::Group::Cell => Group::Cell,
            },
            window: ty.window,
            objective: ty.objective,
        }
    };
    Limits {
        trigger_types: deployment.trigger_types.iter().zip(&t.trigger_types).map(ty).collect(),
        second_copies: t.second_copies,
        drain_grace: 1.0,
        fall: t.fall,
        ration_floor: t.ration_floor,
        ration_share: t.ration_share,
        ration_window: t.ration_window,
        transit: TRANSIT,
    }
}

/// Executors stand in locations by turns; cells are pairs within a location.
pub(super) fn cell(n: usize, day: &Day) -> u32 {
    let locations = day.locations as usize;
    ((n / locations / 2) * locations + n % locations) as u32
}

pub(super) fn set(stage: Stage, day: &Day, wish: &Wish) -> io::Result<Rc<Rehearsal>> {
    let store = Store::new(&stage, 12.0, 48);
    let rolling = wish.rollout.as_ref().map(|w| Rolling::new(&stage, w)).transpose()?.map(Rc::new);
    let messages = if wish.messages { Some(Rc::new(Messages::new(&stage, wish.seed)?)) } else { None };
    let rolled = rolling.clone();
    let catalogue: Catalogue = Rc::new(move |name| {
        if let Some(program) = rolled.as_ref().and_then(|r| r.program(name)) {
            return Some(program);
        }
        let streams = if name.starts_with("watch") { 3 } else { 0 };
        Some(Program {
            lanes: 4,
            memory: COPY_MB,
            load_time: 0.3,
            work: 0.02,
            run: echo,
            streams,
            ..Program::default()
        })
    });
    let mut tokens: HashMap<u32, Rc<Tokens>> = HashMap::new();
    let mut executors = vec![];
    let mut rows = vec![];
    for number in 0..day.executors {
        let make = Make {
            number,
            cores: CORES,
            memory: MEMORY_MB,
            queue: 40,
            keep_alive: 6.0,
            answers_miss: false,
            fail_is_miss: number % 2 == 0,
            cold: 4.0,
            cold_from: 0.25,
            overload_factor: 2.0,
            fall: 0.5,
            down: 2.0,
            report_delay: 0.3,
            report_noise: 0.2,
            report_fields: vec!["backlog".into(), "memory".into()],
        };
        let around = Surroundings {
            store: store.clone(),
            catalogue: catalogue.clone(),
            tokens: tokens.entry(cell(number, day)).or_default().clone(),
            token_window: 3.0,
        };
        let executor = Executor::start(&stage, make, any_port(), around)?;
        rows.push(Row {
            executor: number,
            address: executor.address,
            location: format!("room-{}", number as u32 % day.locations),
            kind: "box".into(),
            cell: cell(number, day),
            weight: 1.0,
            standing: Standing::Ready,
            since: f64::NEG_INFINITY,
        });
        executors.push(executor);
    }
    let publisher = Publisher::start(&stage, any_port(), rows)?;
    let mut more = rolling.as_ref().map(|r| r.description()).unwrap_or_default();
    more += &messages.as_ref().map(|m| m.description()).unwrap_or_default();
    let placed = day.clone();
    let roster = if wish.etcd {
        Some(Roster::new(&stage, move |n| (n as u32 % placed.locations, cell(n, &placed)))?)
    } else {
        None
    };
    let source = match &roster {
        Some(roster) => roster.description(),
        None => format!("publisher: \"{}\"", publisher.address),
    };
    let text = description(day, &source, &more);
    let deployment = Deployment::read(&text).map_err(|f| io::Error::other(format!("{f:?}")))?;
    let file = std::env::temp_dir().join(format!(
        "orchidtally-rehearsal-{}-{}.json5",
        std::process::id(),
        wish.seed
    ));
    std::fs::write(&file, text)?;
    let mut front_ends = vec![];
    for n in 0..day.front_ends as usize {
        let (index, at) = (n as u32, port_for_later()?);
        let callers = (0..4).map(|c| Caller::new(&stage, 10 * index + c, index, at, c == 3)).collect();
        let spread = if day.front_ends > 1 { n as f64 / f64::from(day.front_ends - 1) } else { 0.0 };
        front_ends.push(Rc::new(FrontEnd {
            index,
            at,
            child: RefCell::default(),
            used: Cell::new(true),
            callers,
            ahead: day.clock_skew * (spread - 0.5),
            step: if n == 0 { day.clock_step } else { 0.0 },
        }));
    }
    let limits = limits(&deployment);
    Ok(Rc::new(Rehearsal {
        stage,
        day: day.clone(),
        wish_seed: wish.seed,
        log: wish.front_end_log.clone(),
        file,
        deployment,
        limits,
        store,
        publisher,
        executors,
        front_ends,
        short_patience: Default::default(),
        hot: Default::default(),
        one_offs: Default::default(),
        shifted: Default::default(),
        repeating: Default::default(),
        pending: Cell::new(0),
        names: Cell::new(0),
        lag: Cell::new(0.0),
        rolling,
        messages,
        roster,
        relists: Cell::new(0),
    }))
}
