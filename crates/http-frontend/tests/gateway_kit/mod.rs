//! Shared test code: a front end on loopback sockets, its executors and its clients.

#![allow(dead_code)] // Each test file uses a part of it.

#[path = "../front_end_kit/mod.rs"]
pub mod front_end_kit;

use bytes::Bytes;
use front_end_kit::{FrontEndThread, run_within, start_executor, start_options};
use orchidtally_deployment::Deployment;
use orchidtally_http_frontend::Counters;
use orchidtally_invariants::EndpointState;
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use orchidtally_test_servers::executor::{Executor, Program, echo};
use orchidtally_test_servers::publisher::PublishedEndpoint;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// A front end on its own thread, with its log.
pub struct Gateway {
    pub address: SocketAddr,
    pub stop: async_channel::Sender<()>,
    thread: JoinHandle<Counters>,
    pub log: Log,
}

/// The warnings and errors that a front end logs.
#[derive(Clone, Default)]
pub struct Log(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Log {
    pub fn lines_with(&self, part: &str) -> usize {
        String::from_utf8_lossy(&self.0.lock().unwrap())
            .lines()
            .filter(|l| l.contains(part))
            .count()
    }
}

/// The text of a deployment file with these executors.
pub fn deployment_text(executors: &str, more: &str) -> String {
    format!(
        r#"{{
            triggerTypes: [
                {{ name: "look", effect: "idempotent", objective: "2s", timeout: "3s", lateShare: 0.5 }},
                {{ name: "act", effect: "nonIdempotent", objective: "2s", timeout: "3s", lateShare: 0.5 }},
            ],
            otherFunctions: {{ lanes: 32, loadTime: "200ms" }},
            executors: {{ {executors} }},
            limits: {{ connectTime: "200ms", senderTime: "600ms", bodyBytes: "128KiB", answerMargin: "100ms" }},
            {more}
        }}"#
    )
}

/// The executor list of a deployment file.
pub fn executor_list(executors: &[SocketAddr]) -> String {
    let list: Vec<_> = executors
        .iter()
        .map(|a| format!("{{ address: \"{a}\" }}"))
        .collect();
    format!("list: [{}]", list.join(", "))
}

/// Starts a front end.
pub fn gateway(text: String) -> Gateway {
    let log = Log::default();
    let writer = log.clone();
    let front_end = FrontEndThread::spawn(move |listening| {
        let lines = tracing_subscriber::fmt()
            .with_ansi(false)
            .with_max_level(tracing_subscriber::filter::LevelFilter::WARN);
        let _logged = tracing_subscriber::util::SubscriberInitExt::set_default(
            lines.with_writer(move || writer.clone()).finish(),
        );
        let deployment = Deployment::parse(&text).unwrap();
        let seed = u64::from(listening.address.port());
        let start = start_options(deployment, seed, listening.stopped);
        orchidtally_http_frontend::run(start, listening.listener)
    });
    Gateway {
        address: front_end.address,
        stop: front_end.stop,
        thread: front_end.thread,
        log,
    }
}

impl Gateway {
    /// Stops the front end gracefully and returns its counters.
    pub fn end(self) -> Counters {
        drop(self.stop);
        let counters = self.thread.join().unwrap();
        assert_eq!(
            counters.overdue, 0,
            "the dispatch policy has to answer each invocation before its timeout"
        );
        counters
    }
}

/// Runs a test case to its end.
pub fn run<T>(environment: &TestEnvironment, work: impl Future<Output = T>) -> T {
    run_within(environment, 30.0, work)
}

/// Creates a request with this name and trigger type.
pub fn request(name: &str, trigger_type: (usize, &str)) -> ClientRequest {
    ClientRequest {
        invocation: name.into(),
        function: "f".into(),
        trigger_type: (trigger_type.0, trigger_type.1.into()),
        timeout: 3.0,
        payload: Bytes::from_static(b"payload"),
        ..ClientRequest::default()
    }
}

pub const IDEMPOTENT: (usize, &str) = (0, "look");
pub const NON_IDEMPOTENT: (usize, &str) = (1, "act");

/// The status of a response.
pub fn status(outcome: &ClientOutcome) -> u16 {
    match outcome {
        ClientOutcome::Answered { status, .. } => *status,
        other => panic!("no answer: {other:?}"),
    }
}

/// Sends requests concurrently and waits for all outcomes.
pub async fn invoke_all(
    environment: &TestEnvironment,
    client: &Rc<TestClient>,
    requests: Vec<ClientRequest>,
) -> Vec<ClientOutcome> {
    let tasks: Vec<_> = requests
        .into_iter()
        .map(|request| {
            let client = client.clone();
            environment.spawn(async move { client.invoke(&request).await })
        })
        .collect();
    let mut outcome = vec![];
    for task in tasks {
        outcome.push(task.await);
    }
    outcome
}

/// Starts an executor with this load time of functions, in seconds.
pub fn executor(environment: &TestEnvironment, number: usize, load_time: f64) -> Rc<Executor> {
    start_executor(environment, number, move |_| {
        Some(Program {
            concurrency: 32,
            load_time,
            cpu_time: 0.005,
            run: echo,
            ..Program::default()
        })
    })
}

/// An executor's entry in the publisher's list.
pub fn endpoint(executor: usize, address: SocketAddr, state: EndpointState) -> PublishedEndpoint {
    PublishedEndpoint {
        executor,
        address,
        location: String::new(),
        kind: String::new(),
        cell: 0,
        weight: 1.0,
        state,
        started_at: f64::NEG_INFINITY,
    }
}
