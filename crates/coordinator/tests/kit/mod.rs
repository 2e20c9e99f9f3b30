//! Starts coordinators, front ends and executors in one process, on threads.

use bytes::Bytes;
use futures_lite::future;
use http::Method;
use orchidtally_coordinator::{OperatorRequest, StopReason};
use orchidtally_deployment::Deployment;
use orchidtally_http_frontend::FrontEndOptions;
use orchidtally_invariants::TrafficRecord;
use orchidtally_rollout::Phase;
use orchidtally_socket_io::http::fetch as http_fetch;
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use orchidtally_test_servers::executor::{
    Executor, ExecutorSpec, Program, SharedResources, digest,
};
use orchidtally_test_servers::store::PackageStore;
use orchidtally_test_servers::{TestEnvironment, reserve_address, unused_address};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

pub const OLD: &[u8] = b"old";
pub const NEW: &[u8] = b"new";
pub const IDEMPOTENT: (usize, &str) = (0, "look");
pub const NON_IDEMPOTENT: (usize, &str) = (1, "act");

pub struct FrontEndThread {
    pub at: SocketAddr,
    pub stop: async_channel::Sender<()>,
    pub thread: JoinHandle<()>,
}

impl FrontEndThread {
    pub fn stop_and_join(self) {
        drop(self.stop);
        self.thread.join().unwrap();
    }
}

pub struct CoordinatorThread {
    pub stop: async_channel::Sender<()>,
    pub thread: JoinHandle<std::io::Result<StopReason>>,
}

impl CoordinatorThread {
    pub fn stop_and_join(self) -> StopReason {
        drop(self.stop);
        self.thread.join().unwrap().unwrap()
    }
}

pub struct Cluster {
    pub environment: TestEnvironment,
    pub executors: Vec<Rc<Executor>>,
    /// Duration of a load of the new version in seconds.
    pub load_time: Rc<Cell<f64>>,
    pub text: String,
}

pub fn free_address() -> SocketAddr {
    reserve_address().unwrap()
}

pub fn empty_directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("coordinator-{name}"));
    let _ = std::fs::remove_dir_all(&path);
    path
}

pub fn start_cluster(coordinators: &[SocketAddr], loading: &str) -> Cluster {
    let environment = TestEnvironment::new(1);
    let load = Rc::new(Cell::new(0.05));
    let store = PackageStore::new(&environment, 8.0, 8);
    let executors: Vec<_> = (0..2)
        .map(|number| {
            let make = ExecutorSpec::with_ample_capacity(number);
            let load = load.clone();
            let catalogue = move |name: &str| {
                let is_new = name.ends_with(&format!("@{}", digest(NEW)));
                Some(Program {
                    concurrency: 32,
                    load_time: if is_new { load.get() } else { 0.05 },
                    cpu_time: 0.005,
                    package: Bytes::from_static(if is_new { NEW } else { OLD }),
                    ..Program::default()
                })
            };
            let around = SharedResources {
                store: store.clone(),
                catalogue: Rc::new(catalogue),
                token_cache: Rc::default(),
                deduplication_window: 5.0,
            };
            Executor::start(&environment, make, unused_address(), around).unwrap()
        })
        .collect();
    let list: Vec<_> = executors
        .iter()
        .map(|e| format!("{{ address: \"{}\" }}", e.address))
        .collect();
    let addresses: Vec<_> = coordinators.iter().map(|a| format!("\"{a}\"")).collect();
    let (old, new) = (digest(OLD), digest(NEW));
    let function = |name: &str| {
        format!(
            r#"{{ name: "{name}", lanes: 32, loadTime: "200ms",
                versions: [{{ digest: "sha256:{old}" }}, {{ digest: "sha256:{new}" }}],
                aliases: {{ stable: "sha256:{old}", next: "sha256:{new}" }} }}"#
        )
    };
    let functions: Vec<String> = ["f".into()]
        .into_iter()
        .chain((0..10).map(|n| format!("g{n}")))
        .map(|n: String| function(&n))
        .collect();
    let functions = functions.join(", ");
    let text = format!(
        r#"{{
            triggerTypes: [
                {{ name: "look", effect: "idempotent", objective: "2s", timeout: "4s", lateShare: 0.5 }},
                {{ name: "act", effect: "nonIdempotent", objective: "2s", timeout: "4s", lateShare: 0.5 }},
            ],
            functions: [{functions}],
            executors: {{ list: [{}] }},
            safety: {{ cold: "50ms", fall: "10ms" }},
            loading: {{ {loading} }},
            rollouts: {{ coordinators: [{}], every: "50ms" }},
        }}"#,
        list.join(", "),
        addresses.join(", ")
    );
    Cluster {
        environment,
        executors,
        load_time: load,
        text,
    }
}

pub fn start_front_end(text: &str) -> FrontEndThread {
    start_front_end_ahead(text, 0.0)
}

/// Starts a front end whose wall clock is ahead by `ahead` seconds.
pub fn start_front_end_ahead(text: &str, ahead: f64) -> FrontEndThread {
    let listener = orchidtally_http_frontend::listen(unused_address()).unwrap();
    let at = listener.get_ref().local_addr().unwrap();
    let (stop, stopped) = async_channel::bounded(1);
    let (text, seed) = (text.to_owned(), u64::from(at.port()));
    let thread = std::thread::spawn(move || {
        let deployment = Deployment::parse(&text).unwrap_or_else(|f| panic!("{f:?}"));
        let start = FrontEndOptions {
            deployment,
            seed,
            clock_offset: ahead,
            clock_step: None,
            shutdown: stopped,
            uses_random_policy: false,
            message_triggers: None,
            durable_invocation_store: None,
            reloads: None,
        };
        let tally = orchidtally_http_frontend::run(start, listener);
        assert_eq!(tally.overdue, 0);
    });
    FrontEndThread { at, stop, thread }
}

pub fn start_coordinator(text: &str, at: SocketAddr, directory: &Path) -> CoordinatorThread {
    let (stop, stopped) = async_channel::bounded(1);
    let (text, directory) = (text.to_owned(), directory.to_owned());
    let listener = orchidtally_socket_io::listen(at).unwrap();
    let thread = std::thread::spawn(move || {
        let deployment = Deployment::parse(&text).unwrap_or_else(|f| panic!("{f:?}"));
        orchidtally_coordinator::run(deployment, &directory, listener, stopped)
    });
    CoordinatorThread { stop, thread }
}

pub async fn send_request(at: SocketAddr, request: OperatorRequest) -> (u16, String) {
    let body = serde_json::to_vec(&request).unwrap();
    let (status, body) = http_fetch(
        at,
        Method::POST,
        "/v1/rollouts/orders",
        body,
        Duration::from_secs(3),
    )
    .await
    .unwrap();
    (status.as_u16(), String::from_utf8_lossy(&body).into_owned())
}

pub fn plan(steps: &str) -> OperatorRequest {
    plan_of("r", "f", 0.1, steps)
}

pub fn plan_of(name: &str, function: &str, pace: f64, steps: &str) -> OperatorRequest {
    let plan = format!(
        "{{ name: '{name}', function: '{function}', to: 'next', loadsPerSecond: {pace}, holdback: 0, keepFrom: '200ms', steps: [{steps}] }}"
    );
    OperatorRequest::Start {
        plan,
        dry_run: false,
    }
}

pub const FULL_SHARE_STEP: &str = "{ share: 1, leastTime: '60s' }";

pub async fn phase(at: SocketAddr) -> Option<Phase> {
    let (_, body) = http_fetch(
        at,
        Method::GET,
        "/v1/rollouts",
        vec![],
        Duration::from_secs(3),
    )
    .await
    .ok()?;
    let value: serde_json::Value = serde_json::from_slice(&body).ok()?;
    serde_json::from_value(value["rollouts"][0]["phase"].clone()).ok()
}

pub fn run_with_timeout<T>(environment: &TestEnvironment, work: impl Future<Output = T>) -> T {
    let late = async {
        environment.sleep(30.0).await;
        panic!("the test did not end within 30 s");
    };
    async_io::block_on(environment.tasks.run(future::or(work, late)))
}

pub fn request(name: &str, trigger_type: (usize, &str)) -> ClientRequest {
    ClientRequest {
        invocation: name.into(),
        function: "f".into(),
        trigger_type: (trigger_type.0, trigger_type.1.into()),
        timeout: 4.0,
        ..ClientRequest::default()
    }
}

pub fn succeeded(outcome: &ClientOutcome) -> bool {
    matches!(outcome, ClientOutcome::Answered { status: 200, .. })
}

impl Cluster {
    /// The digests of the versions that executed an invocation, one for each execution.
    pub fn executed_digests(&self, invocation: &str) -> Vec<String> {
        let records = self.environment.records();
        let of = |r: &TrafficRecord| match r {
            TrafficRecord::VersionExecuted {
                invocation: i,
                loaded_digest: loaded,
                ..
            } if i == invocation => Some(loaded.clone()),
            _ => None,
        };
        records.iter().filter_map(of).collect()
    }

    /// Sends one invocation after another until one is executed by the version with this package.
    pub async fn invoke_until_executed_by(
        &self,
        client: &Rc<TestClient>,
        label: &str,
        package: &[u8],
    ) {
        for n in 0..400 {
            let name = format!("{label}-{n}");
            assert!(succeeded(&client.invoke(&request(&name, IDEMPOTENT)).await));
            if self.executed_digests(&name) == [digest(package)] {
                return;
            }
            self.environment.sleep(0.02).await;
        }
        panic!("{label}: no invocation was executed by the version");
    }
}
