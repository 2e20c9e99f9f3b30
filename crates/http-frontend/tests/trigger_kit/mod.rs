//! Shared test code: a front end on loopback sockets that serves MQTT triggers, with its broker and its executor.

#[path = "../front_end_kit/mod.rs"]
pub mod front_end_kit;

use bytes::Bytes;
use front_end_kit::{FrontEndThread, run_within, start_executor, start_options};
use orchidtally_http_frontend::FrontEndOptions;
use orchidtally_http_frontend::durable_invocation_store::DurableInvocationStore;
use orchidtally_http_frontend::mqtt::MessageTriggers;
use orchidtally_invariants::TrafficRecord;
use orchidtally_mqtt::packet::{Property, Qos};
use orchidtally_test_servers::broker::{BrokerServer, Message, StreamWrapper};
use orchidtally_test_servers::executor::{Executor, Program, echo};
use orchidtally_test_servers::{TestEnvironment, unused_address};
use std::future::Future;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// A broker, an executor, and the deployment file of a front end that uses both.
pub struct TestBed {
    pub environment: TestEnvironment,
    pub broker: Rc<BrokerServer>,
    _executor: Rc<Executor>,
    pub text: String,
}

/// Creates an empty directory for a test.
pub fn temp_dir(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("triggers-{name}"));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Starts a broker and an executor. `at` is the directory of the front end's journals.
pub fn test_bed(at: &Path, version: &str, tls: &str, wrap: Option<StreamWrapper>) -> TestBed {
    let environment = TestEnvironment::new(1);
    let executor = start_executor(&environment, 0, |_| {
        Some(Program {
            concurrency: 32,
            load_time: 0.05,
            cpu_time: 0.005,
            run: echo,
            ..Program::default()
        })
    });
    let broker = BrokerServer::start(&environment, unused_address(), wrap).unwrap();
    let text = format!(
        r#"{{
            triggerTypes: [
                {{ name: "act", effect: "nonIdempotent", objective: "2s", timeout: "4s", journalled: true }},
                {{ name: "look", effect: "idempotent", objective: "2s", timeout: "4s" }},
            ],
            functions: [{{ name: "mist", lanes: 32, loadTime: "200ms" }}],
            executors: {{ list: [{{ address: "{}" }}] }},
            safety: {{ cold: "50ms", fall: "10ms" }},
            journal: {{ folder: "{}/promises-{{index}}" }},
            mqtt: {{
                broker: "{}", version: "{version}", {tls} keepAlive: "1s",
                journal: {{ folder: "{}/journal-{{index}}" }}, setAside: {{ topic: "aside", after: 3 }},
                triggers: [
                    {{ topic: "act/{{n}}", function: "mist", triggerType: "act", answer: "done/{{n}}" }},
                    {{ topic: "look/{{n}}", function: "mist", triggerType: "look", answer: "done/{{n}}", qos: 1, payload: "json" }},
                ],
            }},
        }}"#,
        executor.address,
        at.display(),
        broker.address,
        at.display()
    );
    TestBed {
        environment,
        broker,
        _executor: executor,
        text,
    }
}

/// Starts a front end with the triggers of a deployment file.
pub fn gateway(text: &str) -> FrontEndThread {
    let text = text.to_owned();
    FrontEndThread::spawn(move |listening| {
        let (deployment, section) =
            orchidtally_mqtt_triggers::read(&text).unwrap_or_else(|f| panic!("{f:?}"));
        let triggers = Some(MessageTriggers::open(section.unwrap(), 0).unwrap());
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_secs_f64();
        let durable_invocation_store = DurableInvocationStore::open(&deployment, now).unwrap();
        let start = FrontEndOptions {
            message_triggers: triggers,
            durable_invocation_store,
            ..start_options(deployment, 7, listening.stopped)
        };
        orchidtally_http_frontend::run(start, listening.listener)
    })
}

/// Runs a test case to its end.
pub fn run<T>(environment: &TestEnvironment, work: impl Future<Output = T>) -> T {
    run_within(environment, 40.0, work)
}

impl TestBed {
    /// Publishes a message to the front end's triggers.
    pub fn publish(&self, topic: &str, payload: &str) {
        self.broker.publish(Message {
            topic: topic.into(),
            payload: Bytes::copy_from_slice(payload.as_bytes()),
            qos: Qos::ExactlyOnce,
            retain: false,
            properties: vec![],
            expires_at: f64::INFINITY,
        });
    }

    /// Returns the outcomes and payloads of the answers published to a topic so far.
    pub fn answers(&self, topic: &str) -> Vec<(String, String)> {
        let broker = self.broker.broker.borrow();
        let outcome = |m: &Message| {
            let outcome = m.properties.iter().find_map(|p| match p {
                Property::User(name, value) if name == "orchidtally-outcome" => Some(value.clone()),
                _ => None,
            });
            outcome.unwrap_or_default()
        };
        let of = broker.published.iter().filter(|m| m.topic == topic);
        of.map(|m| (outcome(m), String::from_utf8_lossy(&m.payload).into_owned()))
            .collect()
    }

    /// Waits for an answer on a topic and returns the latest.
    pub async fn answer(&self, topic: &str) -> (String, String) {
        loop {
            if let Some(answer) = self.answers(topic).pop() {
                return answer;
            }
            self.environment.sleep(0.01).await;
        }
    }

    /// The number of executions of functions.
    pub fn runs(&self) -> usize {
        self.environment
            .records()
            .iter()
            .filter(|r| matches!(r, TrafficRecord::ExecutionStarted { .. }))
            .count()
    }
}
