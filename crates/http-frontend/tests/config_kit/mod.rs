//! Shared test code: a configuration store on loopback sockets, its writer, and front ends that follow it.

#![allow(dead_code)] // Each test file uses a part of it.

#[path = "../front_end_kit/mod.rs"]
pub mod front_end_kit;

use front_end_kit::{FrontEndThread, run_within, start_executor, start_options};
use http::{Method, StatusCode};
use orchidtally_config_sync::writer::{self, EntryChange, Operation, ReadValue, ReadValues};
use orchidtally_config_sync::{EntryKey, GatewaySchema, Keyspace, Report};
use orchidtally_deployment::Deployment;
use orchidtally_etcd::rpc::compare::{CompareResult, CompareTarget, TargetUnion};
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::{
    Compare, DeleteRangeRequest, PutRequest, RangeRequest, RangeResponse, RequestOp, TxnRequest,
    TxnResponse,
};
use orchidtally_etcd::{Client, ClientError, RANGE, TXN};
use orchidtally_http_frontend::Counters;
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::EtcdServer;
use orchidtally_test_servers::executor::{Program, digest, echo};
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::Duration;

pub const PREFIX: &str = "orchidtally/config/";
/// The duration in seconds of invocations of functions whose names begin with `slow`.
pub const SLOW: f64 = 1.0;
/// The timeout of `wait_until`, in seconds.
const WAIT_TIMEOUT: f64 = 20.0;
const EXCHANGE_TIME: Duration = Duration::from_millis(700);

/// Runs a test case to its end.
pub fn run<T>(environment: &TestEnvironment, work: impl Future<Output = T>) -> T {
    run_within(environment, 60.0, work)
}

/// An executor that serves any function.
pub fn executor(environment: &TestEnvironment) -> SocketAddr {
    let program = |name: &str| {
        let work = if name.starts_with("slow") {
            SLOW
        } else {
            0.001
        };
        Some(Program {
            concurrency: 32,
            load_time: 0.01,
            cpu_time: work,
            run: echo,
            ..Program::default()
        })
    };
    start_executor(environment, 1, program).address
}

/// Creates an empty directory for a test.
pub fn temp_dir(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// The stored document of a function, with the only version that the executors of these tests load.
pub fn function(allowed: bool, when_stale: &str) -> Value {
    let version = format!("sha256:{}", digest(b""));
    json!({ "when_stale": when_stale, "spec": { "allowed": allowed, "versions": [{ "digest": version, "lanes": 32 }] } })
}

/// The text of a deployment file that follows a store, with short timeouts.
pub fn deployment(executor: SocketAddr, endpoints: &[SocketAddr], snapshot: &Path) -> String {
    deployment_with(executor, endpoints, snapshot, "")
}

/// Like `deployment`, with further sections.
pub fn deployment_with(
    executor: SocketAddr,
    endpoints: &[SocketAddr],
    snapshot: &Path,
    sections: &str,
) -> String {
    let endpoints: Vec<String> = endpoints.iter().map(|at| format!("\"{at}\"")).collect();
    format!(
        r#"{{
            name: "config",
            triggerTypes: [{{ name: "http", effect: "idempotent", objective: "1s", timeout: "5s" }}],
            functions: [{{ name: "listed", lanes: 32 }}, {{ name: "slow", lanes: 32 }}],
            {sections}
            executors: {{ list: [{{ address: "{executor}" }}] }},
            configuration: {{
                store: {{ endpoints: [{}] }},
                snapshot: "{}",
                freshness: "1500ms", inForceWithin: "3s", proveEvery: "300ms", spread: "0s",
                reportEvery: "200ms", snapshotEvery: "100ms", bytesPerSecond: "1MB", burst: "100KB", lease: "3s",
            }},
        }}"#,
        endpoints.join(", "),
        snapshot.display()
    )
}

/// A front end on its own thread, which is stopped on drop.
pub struct FrontEnd {
    pub address: SocketAddr,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<Counters>>,
}

impl FrontEnd {
    pub fn start(text: String, seed: u64) -> FrontEnd {
        let front_end = FrontEndThread::spawn(move |listening| {
            let deployment = Deployment::parse(&text).unwrap_or_else(|faults| panic!("{faults:?}"));
            let start = start_options(deployment, seed, listening.stopped);
            orchidtally_http_frontend::run(start, listening.listener)
        });
        FrontEnd {
            address: front_end.address,
            stop: Some(front_end.stop),
            thread: Some(front_end.thread),
        }
    }

    /// Invokes a function and returns the status and the body of the response.
    pub async fn invoke(&self, function: &str) -> (u16, String) {
        let path = format!("/v1/functions/{function}/invocations");
        let response = orchidtally_socket_io::http::fetch(
            self.address,
            Method::POST,
            &path,
            "hi",
            Duration::from_secs(5),
        );
        let (status, body) = response.await.unwrap();
        (status.as_u16(), String::from_utf8_lossy(&body).into_owned())
    }

    pub async fn status(&self, function: &str) -> u16 {
        self.invoke(function).await.0
    }

    /// Fetches the configuration status of the front end.
    pub async fn configuration(&self) -> Value {
        let response = orchidtally_socket_io::http::fetch(
            self.address,
            Method::GET,
            "/v1/front-end",
            "",
            Duration::from_secs(5),
        );
        let (status, body) = response.await.unwrap();
        assert_eq!(status, StatusCode::OK);
        serde_json::from_slice::<Value>(&body).unwrap()["configuration"].clone()
    }
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread is printed already.
            let _ = thread.join();
        }
    }
}

/// Waits until a condition holds; panics with `what` after `WAIT_TIMEOUT`.
pub async fn wait_until(
    environment: &TestEnvironment,
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) {
    let end = environment.now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(
            environment.now() < end,
            "timeout after {WAIT_TIMEOUT} s: {what}"
        );
        environment.sleep(0.02).await;
    }
}

/// Writes configuration like an operator's tool.
pub struct Writer {
    client: Client,
    keyspace: Keyspace,
    tries: Cell<u32>,
}

impl Writer {
    pub fn new(environment: &TestEnvironment, etcd: &EtcdServer) -> Writer {
        let client = Client::new(etcd.addresses.clone(), environment.tasks.clone());
        Writer {
            client,
            keyspace: Keyspace::new(PREFIX),
            tries: Cell::new(0),
        }
    }

    /// Writes entries in one transaction and returns its revision. An entry without a document is deleted.
    pub async fn write(&self, entries: &[(&str, Option<Value>)]) -> i64 {
        let changes: Vec<EntryChange> = entries
            .iter()
            .map(|(key, document)| EntryChange {
                key: EntryKey::parse(key).unwrap(),
                document: document
                    .as_ref()
                    .map(|document| document.to_string().into_bytes()),
            })
            .collect();
        loop {
            match self.try_write(&changes).await {
                Ok(Some(revision)) => return revision,
                Ok(None) => {}
                Err(fault) => {
                    self.tries.set(self.tries.get() + 1);
                    assert!(
                        self.tries.get() < 50,
                        "the writer can't reach any member: {fault}"
                    );
                    self.client.fail_over();
                    async_io::Timer::after(Duration::from_millis(100)).await;
                }
            }
        }
    }

    /// Returns the revision, or `None` if a concurrent write caused a conflict.
    async fn try_write(&self, changes: &[EntryChange]) -> Result<Option<i64>, ClientError> {
        let mut read = ReadValues::new();
        for key in writer::keys_to_read(&self.keyspace, changes) {
            let question = RangeRequest {
                key: key.clone().into(),
                ..RangeRequest::default()
            };
            let answer: RangeResponse = self.client.unary(RANGE, &question, EXCHANGE_TIME).await?;
            if let Some(pair) = answer.kvs.into_iter().next() {
                read.insert(
                    key,
                    ReadValue {
                        value: pair.value.to_vec(),
                        mod_revision: pair.mod_revision,
                    },
                );
            }
        }
        let plan =
            writer::plan(&self.keyspace, &GatewaySchema, changes, &read, 16_384, 128).unwrap();
        let compare = plan.guards.into_iter().map(|guard| Compare {
            result: CompareResult::Equal.into(),
            target: CompareTarget::Mod.into(),
            key: guard.key.into(),
            target_union: Some(TargetUnion::ModRevision(guard.mod_revision)),
        });
        let success = plan.operations.into_iter().map(|operation| RequestOp {
            request: Some(match operation {
                Operation::Put { key, value } => Request::RequestPut(PutRequest {
                    key: key.into(),
                    value: value.into(),
                    ..PutRequest::default()
                }),
                Operation::Delete { key } => Request::RequestDeleteRange(DeleteRangeRequest {
                    key: key.into(),
                    ..DeleteRangeRequest::default()
                }),
            }),
        });
        let transaction = TxnRequest {
            compare: compare.collect(),
            success: success.collect(),
            failure: vec![],
        };
        let answer: TxnResponse = self.client.unary(TXN, &transaction, EXCHANGE_TIME).await?;
        Ok(answer
            .succeeded
            .then(|| answer.header.unwrap_or_default().revision))
    }

    /// Reads all reports in the store as JSON, by front end.
    pub async fn raw_reports(&self) -> BTreeMap<String, Value> {
        let range = self.keyspace.reports();
        let question = RangeRequest {
            key: range.start.clone().into(),
            range_end: range.end.into(),
            ..RangeRequest::default()
        };
        let answer = self
            .client
            .unary::<RangeResponse>(RANGE, &question, EXCHANGE_TIME)
            .await;
        let Ok(answer) = answer else {
            self.client.fail_over();
            return BTreeMap::new();
        };
        let name = |key: &[u8]| String::from_utf8_lossy(&key[range.start.len()..]).into_owned();
        answer
            .kvs
            .iter()
            .map(|pair| {
                (
                    name(&pair.key),
                    serde_json::from_slice(&pair.value).unwrap(),
                )
            })
            .collect()
    }

    /// Reads all reports in the store, by front end.
    pub async fn reports(&self) -> BTreeMap<String, Report> {
        let raw = self.raw_reports().await;
        raw.into_iter()
            .map(|(name, value)| (name, serde_json::from_value(value).unwrap()))
            .collect()
    }
}
