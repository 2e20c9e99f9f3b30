//! A day of the platform's front end: the real program between stand-ins, with faults by script.

// Each test program uses a part of it.
#![allow(dead_code)]

use futures_lite::future;
use orchidtally_invariants::{
    DeduplicationScope, EndpointState, FinalAnswer, Idempotency, Limits, TriggerType, Verdict,
    check_rules,
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
pub const TYPES: [&str; 3] = ["read", "update", "command"];
pub const WINDOW: f64 = 5.0;
/// As the platform grants it; a front end asks some six times within it.
pub const GRACE: f64 = 1.0;
/// Clients that leave do so within this time, in seconds: about what an invocation takes.
const LONGEST_PATIENCE: f64 = 0.05;

fn settings(front_ends: u32, index: u32, deadline: f64) -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": 1e9, "deadline": deadline * 1e9, "credit": 1.0, "lateWorth": 0.2,
            "semantics": semantics, "dedupScope": "cell", "dedupWindow": WINDOW * 1e9})
    };
    json!({
        "balancers": front_ends, "index": index, "zone": 0, "zones": ["east"], "shapes": ["std"], "tick": 2e6,
        "classes": [class(TYPES[0], "pure"), class(TYPES[1], "token"), class(TYPES[2], "side_effect")],
        "limits": {"maxAttempts": 4, "cancel": true, "retryAfter": true, "maxRetryAfter": 1e9,
            "secondCopies": false, "maxOpen": 1000, "streamsPerConn": 32, "connectTimeout": 2.5e8,
            "idleClose": 1.5e10},
        "safety": {"cold": 1e9, "coldFrom": 0.2, "overloadFactor": 2.0, "fall": 1e9, "drainGrace": GRACE * 1e9},
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
    let types = TYPES.iter().zip(effects).map(|(name, effect)| TriggerType {
        name: (*name).to_owned(),
        idempotency: effect,
        deduplication_scope: DeduplicationScope::Cell,
        deduplication_window: WINDOW,
        latency_objective: 1.0,
    });
    Limits {
        trigger_types: types.collect(),
        allows_hedging: false,
        drain_grace: GRACE,
        overload_window: 1.0,
        load_budget_floor: 4.0,
        load_budget_fraction: 0.2,
        load_budget_window: 5.0,
        max_transit_time: 0.05,
        cancellation_margin: Some(0.1),
    }
}

/// A fleet with its front ends, on one stage.
pub struct Day {
    pub name: String,
    pub stage: TestEnvironment,
    pub lives: Rc<Incarnations>,
    pub executors: Vec<Rc<Executor>>,
    pub resolver: Rc<Resolver>,
    pub at: Vec<SocketAddr>,
    pub dns: RefCell<Vec<SocketAddr>>,
    pub processes: RefCell<Vec<Option<Child>>>,
    pub clients: Vec<Rc<Client>>,
    pub next: Cell<u64>,
    /// The client timeout of the settings, in seconds.
    pub deadline: Cell<f64>,
    /// Seconds for which clients wait.
    pub allow: Cell<f64>,
    /// The share of invocations whose clients withdraw them soon.
    pub leaving: Cell<f64>,
    /// What is set in the environment of front ends that start from now on.
    pub environment: RefCell<Vec<(&'static str, String)>>,
    /// By trigger type: succeeded, throttled, errored, without an answer.
    pub answered: Cell<[[u32; 4]; 3]>,
}

impl Drop for Day {
    fn drop(&mut self) {
        for process in self.processes.get_mut().iter_mut().flatten() {
            // One that has ended needs no end.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Day {
    pub fn new(name: &str, front_ends: u32, seed: u64) -> Rc<Day> {
        let (stage, lives) = (TestEnvironment::new(seed), Rc::new(Incarnations::default()));
        let executors = executors(&stage, &lives, 6, front_ends, WINDOW).unwrap();
        let resolver = Resolver::new(&stage, &lives, &executors);
        let at: Vec<SocketAddr> = (0..front_ends)
            .map(|_| orchidtally_test_servers::reserve_address().unwrap())
            .collect();
        let dns = (0..front_ends).map(|j| resolver.open(j).unwrap()).collect();
        let clients = (0..front_ends)
            .map(|j| Client::new(&stage, j, at[j as usize]))
            .collect();
        Rc::new(Day {
            name: name.to_owned(),
            stage,
            lives,
            executors,
            resolver,
            at,
            dns: RefCell::new(dns),
            processes: RefCell::new((0..front_ends).map(|_| None).collect()),
            clients,
            next: Cell::new(1),
            deadline: Cell::new(3.0),
            allow: Cell::new(2.5),
            leaving: Cell::new(0.0),
            environment: RefCell::default(),
            answered: Cell::default(),
        })
    }

    pub fn file(&self, j: u32) -> PathBuf {
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("day-{}-{j}.json", self.name))
    }

    /// Where its log goes on, life after life.
    fn log(&self, j: u32) -> Stdio {
        let path = self.file(j).with_extension("log");
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path);
        file.map_or_else(|_| Stdio::null(), Stdio::from)
    }

    /// Has front ends that start from now on run with the library of faults in `examples/fault_shim.rs`.
    pub fn shim(&self, variables: &[(&'static str, String)]) {
        let beside = PathBuf::from(PROGRAM)
            .with_file_name("examples")
            .join("libfault_shim.so");
        assert!(
            beside.is_file(),
            "{} is missing: cargo build -p orchidtally-cli --examples",
            beside.display()
        );
        let mut environment = variables.to_vec();
        environment.push(("LD_PRELOAD", beside.display().to_string()));
        *self.environment.borrow_mut() = environment;
    }

    /// Puts links between front ends that start from now on and all executors.
    pub fn link(&self) {
        self.executors
            .iter()
            .for_each(|executor| executor.start_proxies().unwrap());
    }

    pub fn configure(&self, j: u32) {
        let told = json!({
            "name": format!("n{j}"), "listen": self.at[j as usize], "seed": format!("{:016x}", 77 + j),
            "dns": self.dns.borrow()[j as usize],
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 128},
            "settings": settings(self.at.len() as u32, j, self.deadline.get()), "known": self.resolver.initial_list(j),
        });
        std::fs::write(self.file(j), told.to_string()).unwrap();
    }

    pub async fn start(&self, j: u32) {
        self.lives.begin(j);
        self.configure(j);
        let mut command = Command::new(PROGRAM);
        command
            .args(["serve", "--platform"])
            .env("LB_CONFIG", self.file(j))
            .stderr(self.log(j));
        command.envs(
            self.environment
                .borrow()
                .iter()
                .map(|(key, value)| (*key, value.clone())),
        );
        self.processes.borrow_mut()[j as usize] = Some(command.spawn().unwrap());
        for _ in 0..1_000 {
            if TcpStream::connect(self.at[j as usize]).is_ok() {
                return;
            }
            self.stage.sleep(0.01).await;
        }
        panic!("front end {j} never listened");
    }

    pub fn signal(&self, j: u32, name: &str) {
        let id = self.processes.borrow()[j as usize]
            .as_ref()
            .map(Child::id)
            .expect("it was started");
        let told = Command::new("sh")
            .args(["-c", &format!("kill -{name} {id}")])
            .status();
        assert!(told.unwrap().success());
    }

    /// Sends to each front end forty invocations a second for a while, and waits for what comes of them.
    pub async fn traffic(self: &Rc<Self>, seconds: f64) {
        let mut out = vec![];
        let until = self.stage.now() + seconds;
        while self.stage.now() < until {
            for client in &self.clients {
                let n = self.next.get();
                self.next.set(n + 1);
                let ty = (n * 7 % 3) as usize;
                let ask = ClientRequest {
                    id: n,
                    trigger_type: (ty, TYPES[ty]),
                    function: 0x100 + n * n % 11,
                    timeout: self.allow.get(),
                    body: n.to_string().into_bytes(),
                };
                let (client, day) = (client.clone(), self.clone());
                let leaves = self.leaving.get() > 0.0 && self.stage.unit() < self.leaving.get();
                let patience = if leaves {
                    LONGEST_PATIENCE * self.stage.unit()
                } else {
                    f64::INFINITY
                };
                out.push(self.stage.spawn(async move {
                    let answer = client.invoke_with_timeout(&ask, patience).await;
                    if leaves && answer.is_none() {
                        return;
                    }
                    let mut all = day.answered.get();
                    all[ask.trigger_type.0][match answer {
                        Some(FinalAnswer::Succeeded) => 0,
                        Some(FinalAnswer::Rejected) => 1,
                        Some(_) => 2,
                        None => 3,
                    }] += 1;
                    day.answered.set(all);
                }));
            }
            self.stage.sleep(0.025).await;
        }
        for task in out {
            task.await;
        }
    }

    pub fn verdict(&self) -> Verdict {
        let stands = |e: &Rc<Executor>| orchidtally_invariants::Executor {
            zone: 0,
            cell: e.cell.into(),
        };
        check_rules(
            &limits(),
            &self.executors.iter().map(stands).collect::<Vec<_>>(),
            &self.stage.records(),
        )
    }

    pub fn change(&self, executor: usize, standing: EndpointState) {
        self.resolver.change(|rows| {
            rows.retain(|r| r.executor.number != executor);
            if standing != EndpointState::Gone {
                rows.push(ListedEndpoint {
                    executor: self.executors[executor].clone(),
                    state: standing,
                });
            }
        });
    }
}

/// Plays a day with its script beside the traffic, and tells the verdict and the share that succeeded.
pub fn play<F: Future<Output = ()>>(
    name: &str,
    front_ends: u32,
    seconds: f64,
    script: impl FnOnce(Rc<Day>) -> F,
) -> (Verdict, f64) {
    play_prepared(name, front_ends, seconds, |_| {}, script)
}

/// The same; something is done before the front ends start.
pub fn play_prepared<F: Future<Output = ()>>(
    name: &str,
    front_ends: u32,
    seconds: f64,
    prepare: impl FnOnce(&Day),
    script: impl FnOnce(Rc<Day>) -> F,
) -> (Verdict, f64) {
    let day = Day::new(name, front_ends, 11);
    prepare(&day);
    let all = async {
        for j in 0..front_ends {
            day.start(j).await;
        }
        future::zip(day.traffic(seconds), script(day.clone())).await;
    };
    async_io::block_on(day.stage.tasks.run(all));
    let share = |[well, throttled, errored, none]: [u32; 4]| {
        f64::from(well) / f64::from((well + throttled + errored + none).max(1))
    };
    let all = day.answered.get();
    for (ty, [well, throttled, errored, none]) in TYPES.into_iter().zip(all) {
        println!(
            "{name}, {ty}: {well} succeeded, {throttled} throttled, {errored} errored, {none} without an answer"
        );
        // None may be served at the cost of another.
        assert!(
            share([well, throttled, errored, none]) >= 0.5,
            "{name}, {ty}: under half succeeded"
        );
    }
    let sum = all
        .into_iter()
        .fold([0; 4], |sum, ty| std::array::from_fn(|n| sum[n] + ty[n]));
    (day.verdict(), share(sum))
}

pub fn kept(name: &str, (verdict, succeeded): (Verdict, f64), least: f64) {
    let breaches: Vec<&String> = verdict.rules.iter().flat_map(|r| &r.examples).collect();
    assert!(verdict.holds(), "{name}: {breaches:#?}");
    // How many come depends on the machine.
    assert!(
        verdict.rules[0].checked > 50 && verdict.rules[1].checked > 50,
        "{name}: {verdict:?}"
    );
    assert!(succeeded >= least, "{name}: {succeeded} succeeded");
}
