//! Runs platform front ends (the `orchidtally` binary) against test executors, a test resolver and test clients, while
//! a script injects faults.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use futures_lite::future;
use orchidtally_invariants::{
    DeduplicationScope, EndpointState, FinalAnswer, Idempotency, Limits, TrafficRecord,
    TriggerType, Verdict, check_rules,
};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::platform::{
    Client, ClientRequest, Executor, Incarnations, ListedEndpoint, Resolver, executors,
};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidtally");
pub const TRIGGER_TYPES: [&str; 3] = ["read", "update", "command"];
pub const DEDUPLICATION_WINDOW: f64 = 5.0;
/// The drain grace that the platform grants, in seconds. A front end queries its resolver about six times within it.
pub const DRAIN_GRACE: f64 = 1.0;
/// The memory limit of a front end in MiB.
pub const MEMORY_MB: u64 = 32;
/// Clients that cancel do so within this time, in seconds: about the duration of an invocation.
const MAX_CANCELLATION_DELAY: f64 = 0.05;

fn settings(front_ends: u32, index: u32, client_timeout: f64) -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": 1e9, "deadline": client_timeout * 1e9, "credit": 1.0, "lateWorth": 0.2,
            "semantics": semantics, "dedupScope": "cell", "dedupWindow": DEDUPLICATION_WINDOW * 1e9})
    };
    json!({
        "balancers": front_ends, "index": index, "zone": 0, "zones": ["east"], "shapes": ["std"], "tick": 2e6,
        "classes": [class(TRIGGER_TYPES[0], "pure"), class(TRIGGER_TYPES[1], "token"), class(TRIGGER_TYPES[2], "side_effect")],
        "limits": {"maxAttempts": 4, "cancel": true, "retryAfter": true, "maxRetryAfter": 1e9,
            "secondCopies": false, "maxOpen": 1000, "streamsPerConn": 32, "connectTimeout": 2.5e8,
            "idleClose": 1.5e10},
        "safety": {"cold": 1e9, "coldFrom": 0.2, "overloadFactor": 2.0, "fall": 1e9, "drainGrace": DRAIN_GRACE * 1e9},
        "specifics": {"loadControl": true, "notLoaded": "load", "notesPeersInHand": true, "tellsWarm": true,
            "staysLoaded": 8e9, "loadFloor": 4.0, "loadPart": 0.2, "loadPeriod": 5e9},
    })
}

fn limits() -> Limits {
    let effects = [
        Idempotency::Idempotent,
        Idempotency::Keyed,
        Idempotency::NonIdempotent,
    ];
    let types = TRIGGER_TYPES
        .iter()
        .zip(effects)
        .map(|(name, effect)| TriggerType {
            name: (*name).to_owned(),
            idempotency: effect,
            deduplication_scope: DeduplicationScope::Cell,
            deduplication_window: DEDUPLICATION_WINDOW,
            latency_objective: 1.0,
        });
    Limits {
        trigger_types: types.collect(),
        allows_hedging: false,
        drain_grace: DRAIN_GRACE,
        overload_window: 1.0,
        load_budget_floor: 4.0,
        load_budget_fraction: 0.2,
        load_budget_window: 5.0,
        max_transit_time: 0.05,
        cancellation_margin: Some(0.1),
    }
}

/// Front ends with their executors, resolver and clients, in one test environment.
pub struct Fleet {
    pub name: String,
    pub environment: TestEnvironment,
    pub incarnations: Rc<Incarnations>,
    pub executors: Vec<Rc<Executor>>,
    pub resolver: Rc<Resolver>,
    pub addresses: Vec<SocketAddr>,
    pub resolver_addresses: RefCell<Vec<SocketAddr>>,
    pub processes: RefCell<Vec<Option<Child>>>,
    pub clients: Vec<Rc<Client>>,
    pub next_id: Cell<u64>,
    /// The client timeout of the settings, in seconds.
    pub client_timeout: Cell<f64>,
    /// Time that clients allow for an invocation, in seconds.
    pub time_allowed: Cell<f64>,
    /// The share of invocations that their clients cancel early.
    pub cancelled_share: Cell<f64>,
    /// Environment variables of front ends that start from now on.
    pub env_vars: RefCell<Vec<(&'static str, String)>>,
    /// Invocations by trigger type: succeeded, throttled, errored, without a response.
    pub outcome_counts: Cell<[[u32; 4]; 3]>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.get_mut().iter_mut().flatten() {
            // Fails if the process has exited already.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Fleet {
    pub fn new(name: &str, front_ends: u32, seed: u64) -> Rc<Fleet> {
        let (environment, incarnations) =
            (TestEnvironment::new(seed), Rc::new(Incarnations::default()));
        let executors = executors(
            &environment,
            &incarnations,
            6,
            front_ends,
            DEDUPLICATION_WINDOW,
        )
        .unwrap();
        let resolver = Resolver::new(&environment, &incarnations, &executors);
        let addresses: Vec<SocketAddr> = (0..front_ends)
            .map(|_| orchidtally_test_servers::reserve_address().unwrap())
            .collect();
        let resolver_addresses = (0..front_ends).map(|j| resolver.open(j).unwrap()).collect();
        let clients = (0..front_ends)
            .map(|j| Client::new(&environment, j, addresses[j as usize]))
            .collect();
        Rc::new(Fleet {
            name: name.to_owned(),
            environment,
            incarnations,
            executors,
            resolver,
            addresses,
            resolver_addresses: RefCell::new(resolver_addresses),
            processes: RefCell::new((0..front_ends).map(|_| None).collect()),
            clients,
            next_id: Cell::new(1),
            client_timeout: Cell::new(3.0),
            time_allowed: Cell::new(2.5),
            cancelled_share: Cell::new(0.0),
            env_vars: RefCell::default(),
            outcome_counts: Cell::default(),
        })
    }

    /// The settings file of a front end.
    pub fn settings_path(&self, j: u32) -> PathBuf {
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("scenario-{}-{j}.json", self.name))
    }

    /// The front end's log file, to which each incarnation appends.
    fn log(&self, j: u32) -> Stdio {
        let path = self.settings_path(j).with_extension("log");
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path);
        file.map_or_else(|_| Stdio::null(), Stdio::from)
    }

    /// Preloads the fault library of `examples/fault_shim.rs` into front ends that start from now on.
    pub fn preload_fault_shim(&self, variables: &[(&'static str, String)]) {
        let library = PathBuf::from(PROGRAM)
            .with_file_name("examples")
            .join("libfault_shim.so");
        assert!(
            library.is_file(),
            "{} is missing: cargo build -p orchidtally-cli --examples",
            library.display()
        );
        let mut env_vars = variables.to_vec();
        env_vars.push(("LD_PRELOAD", library.display().to_string()));
        *self.env_vars.borrow_mut() = env_vars;
    }

    /// Puts a fault proxy between each executor and the front ends that start from now on.
    pub fn link(&self) {
        self.executors
            .iter()
            .for_each(|executor| executor.start_proxies().unwrap());
    }

    /// Writes a front end's settings file, with the resolver's current address and endpoint list.
    pub fn write_settings(&self, j: u32) {
        let settings = json!({
            "name": format!("n{j}"), "listen": self.addresses[j as usize], "seed": format!("{:016x}", 77 + j),
            "dns": self.resolver_addresses.borrow()[j as usize],
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 128},
            "settings": settings(self.addresses.len() as u32, j, self.client_timeout.get()), "known": self.resolver.initial_list(j),
        });
        std::fs::write(self.settings_path(j), settings.to_string()).unwrap();
    }

    /// Starts a front end, as a new incarnation, and waits until it listens.
    pub async fn start(&self, j: u32) {
        self.incarnations.begin(j);
        self.write_settings(j);
        let mut command = Command::new(PROGRAM);
        command
            .args(["serve", "--platform"])
            .env("LB_CONFIG", self.settings_path(j))
            .stderr(self.log(j));
        command.envs(
            self.env_vars
                .borrow()
                .iter()
                .map(|(key, value)| (*key, value.clone())),
        );
        self.processes.borrow_mut()[j as usize] = Some(command.spawn().unwrap());
        for _ in 0..1_000 {
            if TcpStream::connect(self.addresses[j as usize]).is_ok() {
                return;
            }
            self.environment.sleep(0.01).await;
        }
        panic!("front end {j} did not start to listen");
    }

    /// Kills a front end and waits for its end.
    pub fn kill(&self, j: u32) {
        let at = self.environment.now();
        self.environment
            .record(TrafficRecord::FrontEndKilled { at, front_end: j });
        let process = self.processes.borrow_mut()[j as usize].take();
        let mut process = process.expect("the front end is running");
        process.kill().unwrap();
        process.wait().unwrap();
    }

    pub fn signal(&self, j: u32, name: &str) {
        let id = self.processes.borrow()[j as usize]
            .as_ref()
            .map(Child::id)
            .expect("the front end has been started");
        let status = Command::new("sh")
            .args(["-c", &format!("kill -{name} {id}")])
            .status();
        assert!(status.unwrap().success());
    }

    /// Sends forty invocations a second to each front end for the given time, and waits for their outcomes.
    pub async fn run_traffic(self: &Rc<Self>, seconds: f64) {
        let mut tasks = vec![];
        let until = self.environment.now() + seconds;
        while self.environment.now() < until {
            for client in &self.clients {
                let n = self.next_id.get();
                self.next_id.set(n + 1);
                let ty = (n * 7 % 3) as usize;
                let request = ClientRequest {
                    id: n,
                    trigger_type: (ty, TRIGGER_TYPES[ty]),
                    function: 0x100 + n * n % 11,
                    timeout: self.time_allowed.get(),
                    body: n.to_string().into_bytes(),
                };
                let (client, fleet) = (client.clone(), self.clone());
                let cancels = self.cancelled_share.get() > 0.0
                    && self.environment.random_unit() < self.cancelled_share.get();
                let cancel_after = if cancels {
                    MAX_CANCELLATION_DELAY * self.environment.random_unit()
                } else {
                    f64::INFINITY
                };
                tasks.push(self.environment.spawn(async move {
                    let answer = client.invoke_with_timeout(&request, cancel_after).await;
                    if cancels && answer.is_none() {
                        return;
                    }
                    let mut all = fleet.outcome_counts.get();
                    all[request.trigger_type.0][match answer {
                        Some(FinalAnswer::Succeeded) => 0,
                        Some(FinalAnswer::Rejected) => 1,
                        Some(_) => 2,
                        None => 3,
                    }] += 1;
                    fleet.outcome_counts.set(all);
                }));
            }
            self.environment.sleep(0.025).await;
        }
        for task in tasks {
            task.await;
        }
    }

    /// Checks the rules on everything recorded so far.
    pub fn verdict(&self) -> Verdict {
        let to_checked_executor = |e: &Rc<Executor>| orchidtally_invariants::Executor {
            zone: 0,
            cell: e.cell.into(),
        };
        check_rules(
            &limits(),
            &self
                .executors
                .iter()
                .map(to_checked_executor)
                .collect::<Vec<_>>(),
            &self.environment.records(),
        )
    }

    /// Changes the state of an executor on the endpoint list; `Gone` removes it.
    pub fn set_endpoint_state(&self, executor: usize, state: EndpointState) {
        self.resolver.change(|rows| {
            rows.retain(|r| r.executor.number != executor);
            if state != EndpointState::Gone {
                rows.push(ListedEndpoint {
                    executor: self.executors[executor].clone(),
                    state,
                });
            }
        });
    }
}

/// Starts front ends and runs the script while traffic goes on. Returns the verdict on the rules and the share of
/// invocations that succeeded.
pub fn run_scenario<F: Future<Output = ()>>(
    name: &str,
    front_ends: u32,
    seconds: f64,
    script: impl FnOnce(Rc<Fleet>) -> F,
) -> (Verdict, f64) {
    run_scenario_with_setup(name, front_ends, seconds, |_| {}, script)
}

/// Like [`run_scenario`], but calls `prepare` before the front ends start.
pub fn run_scenario_with_setup<F: Future<Output = ()>>(
    name: &str,
    front_ends: u32,
    seconds: f64,
    prepare: impl FnOnce(&Fleet),
    script: impl FnOnce(Rc<Fleet>) -> F,
) -> (Verdict, f64) {
    let fleet = Fleet::new(name, front_ends, 11);
    prepare(&fleet);
    let all = async {
        for j in 0..front_ends {
            fleet.start(j).await;
        }
        future::zip(fleet.run_traffic(seconds), script(fleet.clone())).await;
    };
    async_io::block_on(fleet.environment.tasks.run(all));
    let share = |[succeeded, throttled, errored, none]: [u32; 4]| {
        f64::from(succeeded) / f64::from((succeeded + throttled + errored + none).max(1))
    };
    let all = fleet.outcome_counts.get();
    for (ty, [succeeded, throttled, errored, none]) in TRIGGER_TYPES.into_iter().zip(all) {
        println!(
            "{name}, {ty}: {succeeded} succeeded, {throttled} throttled, {errored} errored, {none} without a response"
        );
        // No trigger type may be served at the expense of another.
        assert!(
            share([succeeded, throttled, errored, none]) >= 0.5,
            "{name}, {ty}: under half succeeded"
        );
    }
    let sum = all
        .into_iter()
        .fold([0; 4], |sum, ty| std::array::from_fn(|n| sum[n] + ty[n]));
    (fleet.verdict(), share(sum))
}

/// Asserts that no rule is broken, that enough was checked, and that at least the share `least` succeeded.
pub fn assert_rules_hold(name: &str, (verdict, succeeded): (Verdict, f64), least: f64) {
    let violations: Vec<&String> = verdict.rules.iter().flat_map(|r| &r.examples).collect();
    assert!(verdict.holds(), "{name}: {violations:#?}");
    // The number of invocations depends on the speed of the machine.
    assert!(
        verdict.rules[0].checked > 50 && verdict.rules[1].checked > 50,
        "{name}: {verdict:?}"
    );
    assert!(succeeded >= least, "{name}: {succeeded} succeeded");
}
