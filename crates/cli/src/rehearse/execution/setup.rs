//! Sets up a rehearsal: the deployment file for the front ends, executors, the source of the endpoint list, front ends.

use super::{FrontEnd, MAX_TRANSIT_TIME, Options, Rehearsal};
use crate::rehearse::endpoint_store::EndpointStore;
use crate::rehearse::messages::Messages;
use crate::rehearse::rollout_run::RolloutRun;
use crate::rehearse::scenario::Scenario;
use orchidtally_deployment::Deployment;
use orchidtally_invariants::{DeduplicationScope, EndpointState, Idempotency, Limits, TriggerType};
use orchidtally_test_servers::client::TestClient;
use orchidtally_test_servers::executor::{
    Catalogue, Executor, ExecutorSpec, Program, SharedResources, TokenCache, echo,
};
use orchidtally_test_servers::publisher::{PublishedEndpoint, Publisher};
use orchidtally_test_servers::store::PackageStore;
use orchidtally_test_servers::{TestEnvironment, reserve_address, unused_address};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// Cores of an executor.
const CORES: usize = 2;
/// Memory of an executor.
const MEMORY_MB: f64 = 2_000.0;
/// Memory that a replica takes.
const REPLICA_MB: f64 = 100.0;

/// The text of the deployment file.
fn deployment_text(scenario: &Scenario, endpoint_source: &str, sections: &str) -> String {
    let locations: Vec<String> = (0..scenario.locations)
        .map(|n| format!("\"room-{n}\""))
        .collect();
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
  executors: {{ allowedNetworks: ["127.0.0.0/8"], {endpoint_source} }},
  limits: {{
    maxDispatches: 4, maxRetryAfter: "1s", openInvocations: 4000, connections: 400, bodyBytes: "64KiB",
    senderTime: "1s", answerMargin: "200ms", streamsPerConnection: 64, connectionsPerExecutor: 4,
    connectTime: "250ms", idleClose: "5s",
  }},
  safety: {{ cold: "4s", coldFrom: 0.25, overloadFactor: 2, fall: "500ms" }},
  loading: {{ orders: true, keepAlive: "6s", rationFloor: 2, rationShare: 0.2, rationWindow: "5s" }},
  reports: ["backlog", "memory"],
  {sections}
}}
"#,
        locations = locations.join(", "),
        count = scenario.front_ends,
        skew = (scenario.clock_skew * 1e3).ceil(),
    )
}

/// The limits that the rules are checked against, from the same deployment that the front ends read.
fn limits(deployment: &Deployment) -> Limits {
    let policy = &deployment.policy;
    let trigger_type = |(trigger, ty): (
        &orchidtally_deployment::TriggerTypeSettings,
        &orchidtally_dispatch_policy::interface::TriggerType,
    )| {
        TriggerType {
            name: trigger.name.clone(),
            idempotency: match ty.idempotency {
                orchidtally_dispatch_policy::interface::Idempotency::Idempotent => {
                    Idempotency::Idempotent
                }
                orchidtally_dispatch_policy::interface::Idempotency::Keyed => Idempotency::Keyed,
                orchidtally_dispatch_policy::interface::Idempotency::NonIdempotent => {
                    Idempotency::NonIdempotent
                }
            },
            deduplication_scope: match ty.deduplication_scope {
                orchidtally_dispatch_policy::interface::DeduplicationScope::All => {
                    DeduplicationScope::All
                }
                orchidtally_dispatch_policy::interface::DeduplicationScope::Zone => {
                    DeduplicationScope::Zone
                }
                orchidtally_dispatch_policy::interface::DeduplicationScope::Cell => {
                    DeduplicationScope::Cell
                }
            },
            deduplication_window: ty.deduplication_window,
            latency_objective: ty.latency_objective,
        }
    };
    Limits {
        trigger_types: deployment
            .trigger_types
            .iter()
            .zip(&policy.trigger_types)
            .map(trigger_type)
            .collect(),
        allows_hedging: policy.allows_hedging,
        drain_grace: 1.0,
        overload_window: policy.overload_window,
        load_budget_floor: policy.load_budget_floor,
        load_budget_fraction: policy.load_budget_fraction,
        load_budget_window: policy.load_budget_window,
        max_transit_time: MAX_TRANSIT_TIME,
        cancellation_margin: None,
    }
}

/// The cell of an executor. Executors are assigned to locations in turn; a cell is a pair within a location.
pub(super) fn cell(n: usize, scenario: &Scenario) -> u32 {
    let locations = scenario.locations as usize;
    ((n / locations / 2) * locations + n % locations) as u32
}

/// The catalogue of functions: the rollout's function, and a default program for any other name.
fn catalogue(rollout: Option<Rc<RolloutRun>>) -> Catalogue {
    Rc::new(move |name| {
        if let Some(program) = rollout.as_ref().and_then(|rollout| rollout.program(name)) {
            return Some(program);
        }
        let streams = if name.starts_with("watch") { 3 } else { 0 };
        Some(Program {
            concurrency: 4,
            memory: REPLICA_MB,
            load_time: 0.3,
            cpu_time: 0.02,
            run: echo,
            response_parts: streams,
            ..Program::default()
        })
    })
}

/// The specification of an executor.
fn executor_spec(number: usize) -> ExecutorSpec {
    ExecutorSpec {
        number,
        cores: CORES,
        memory: MEMORY_MB,
        queue_capacity: 40,
        keep_alive: 6.0,
        rejects_unloaded: false,
        reports_failed_load_as_miss: number.is_multiple_of(2),
        slow_start_duration: 4.0,
        slow_start_initial_weight: 0.25,
        overload_factor: 2.0,
        overload_window: 0.5,
        downtime: 2.0,
        report_delay: 0.3,
        report_noise: 0.2,
        max_streams: 1_000,
        report_fields: vec!["backlog".into(), "memory".into()],
    }
}

/// Starts all executors. Those of a cell share a token cache.
fn start_executors(
    environment: &TestEnvironment,
    scenario: &Scenario,
    store: &Rc<PackageStore>,
    catalogue: &Catalogue,
) -> io::Result<Vec<Rc<Executor>>> {
    let mut tokens: HashMap<u32, Rc<TokenCache>> = HashMap::new();
    let mut executors = vec![];
    for number in 0..scenario.executors {
        let resources = SharedResources {
            store: store.clone(),
            catalogue: catalogue.clone(),
            token_cache: tokens.entry(cell(number, scenario)).or_default().clone(),
            deduplication_window: 3.0,
        };
        executors.push(Executor::start(
            environment,
            executor_spec(number),
            unused_address(),
            resources,
        )?);
    }
    Ok(executors)
}

/// An executor's entry in the publisher's endpoint list.
fn published_endpoint(executor: &Executor, scenario: &Scenario) -> PublishedEndpoint {
    let number = executor.spec.number;
    PublishedEndpoint {
        executor: number,
        address: executor.address,
        location: format!("room-{}", number as u32 % scenario.locations),
        kind: "box".into(),
        cell: cell(number, scenario),
        weight: 1.0,
        state: EndpointState::Ready,
        started_at: f64::NEG_INFINITY,
    }
}

/// Creates the front ends, which are not started yet, and their clients. Their wall clocks are spread evenly over the
/// scenario's skew.
fn front_ends(environment: &TestEnvironment, scenario: &Scenario) -> io::Result<Vec<Rc<FrontEnd>>> {
    let mut front_ends = vec![];
    for n in 0..scenario.front_ends as usize {
        let (index, at) = (n as u32, reserve_address()?);
        let clients = (0..4)
            .map(|c| TestClient::new(environment, 10 * index + c, index, at, c == 3))
            .collect();
        let spread = if scenario.front_ends > 1 {
            n as f64 / f64::from(scenario.front_ends - 1)
        } else {
            0.0
        };
        front_ends.push(Rc::new(FrontEnd {
            index,
            at,
            child: RefCell::default(),
            in_use: Cell::new(true),
            clients,
            clock_ahead: scenario.clock_skew * (spread - 0.5),
            clock_step: if n == 0 { scenario.clock_step } else { 0.0 },
        }));
    }
    Ok(front_ends)
}

/// Starts an etcd server for the endpoint list.
fn start_endpoint_store(
    environment: &TestEnvironment,
    scenario: &Scenario,
) -> io::Result<Rc<EndpointStore>> {
    let scenario = scenario.clone();
    EndpointStore::new(environment, move |n| {
        (n as u32 % scenario.locations, cell(n, &scenario))
    })
}

/// The path of the deployment file, in the temporary folder.
fn deployment_path(seed: u64) -> PathBuf {
    let name = format!("orchidtally-rehearsal-{}-{seed}.json5", std::process::id());
    std::env::temp_dir().join(name)
}

/// Sets up a rehearsal. The front ends are not started yet.
pub(super) fn set_up(
    environment: TestEnvironment,
    scenario: &Scenario,
    options: &Options,
) -> io::Result<Rc<Rehearsal>> {
    let store = PackageStore::new(&environment, 12.0, 48);
    let rollout = options
        .rollout
        .as_ref()
        .map(|options| RolloutRun::new(&environment, options));
    let rollout = rollout.transpose()?.map(Rc::new);
    let messages = if options.messages {
        Some(Rc::new(Messages::new(&environment, options.seed)?))
    } else {
        None
    };
    let executors = start_executors(&environment, scenario, &store, &catalogue(rollout.clone()))?;
    let published_endpoints = executors
        .iter()
        .map(|executor| published_endpoint(executor, scenario))
        .collect();
    let publisher = Publisher::start(&environment, unused_address(), published_endpoints)?;
    let endpoint_store = if options.etcd {
        Some(start_endpoint_store(&environment, scenario)?)
    } else {
        None
    };
    let endpoint_source = match &endpoint_store {
        Some(endpoint_store) => endpoint_store.deployment_setting(),
        None => format!("publisher: \"{}\"", publisher.address),
    };
    let mut sections = rollout
        .as_ref()
        .map(|rollout| rollout.deployment_sections())
        .unwrap_or_default();
    sections += &messages
        .as_ref()
        .map(|messages| messages.deployment_section())
        .unwrap_or_default();
    let text = deployment_text(scenario, &endpoint_source, &sections);
    let deployment = Deployment::parse(&text).map_err(|f| io::Error::other(format!("{f:?}")))?;
    let file = deployment_path(options.seed);
    std::fs::write(&file, text)?;
    Ok(Rc::new(Rehearsal {
        front_ends: front_ends(&environment, scenario)?,
        environment,
        scenario: scenario.clone(),
        seed: options.seed,
        front_end_log: options.front_end_log.clone(),
        file,
        limits: limits(&deployment),
        deployment,
        store,
        publisher,
        executors,
        impatient: Default::default(),
        hot: Default::default(),
        one_time: Default::default(),
        shifted: Default::default(),
        repeating: Default::default(),
        running_parts: Cell::new(0),
        name_count: Cell::new(0),
        lag: Cell::new(0.0),
        rollout,
        messages,
        endpoint_store,
        relists: Cell::new(0),
    }))
}
