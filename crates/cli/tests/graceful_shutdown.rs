//! SIGTERM on `orchidtally serve` with triggers: every invocation that was admitted before it gets one answer, none is
//! admitted after it, and the process exits within a second of the longest client timeout.

mod serve_kit;

use bytes::Bytes;
use orchidtally_invariants::TrafficRecord;
use orchidtally_mqtt::packet::Qos;
use orchidtally_test_servers::broker::{BrokerServer, Message};
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use orchidtally_test_servers::executor::{Executor, ExecutorSpec, Program, SharedResources, echo};
use orchidtally_test_servers::store::PackageStore;
use orchidtally_test_servers::{TestEnvironment, unused_address};
use serve_kit::{Serve, read_response, write_file};
use std::cell::RefCell;
use std::future::Future;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The client timeout of the deployment, in seconds.
const CLIENT_TIMEOUT: f64 = 3.0;
/// The time in seconds within which the process exits after SIGTERM: one second past the client timeout
/// (docs/operate/gateway.md), and half a second for a busy machine.
const EXIT_TIME: f64 = CLIENT_TIMEOUT + 1.0 + 0.5;
/// How long the functions run, in seconds.
const WORK: f64 = 0.7;

/// A front end's process, its executor and its broker.
struct TestBed {
    environment: TestEnvironment,
    broker: Rc<BrokerServer>,
    _executor: Rc<Executor>,
    deployment: PathBuf,
    serve: RefCell<Serve>,
}

/// Runs a test case to its end.
fn run<F: Future<Output = ()>>(name: &str, case: impl FnOnce(Rc<TestBed>) -> F) {
    let environment = TestEnvironment::new(1);
    let test_bed = Rc::new(TestBed::new(name, &environment));
    let late = async {
        environment.sleep(30.0).await;
        panic!("the test case exceeded its time limit");
    };
    let work = futures_lite::future::or(case(test_bed), late);
    async_io::block_on(environment.tasks.run(work));
}

impl TestBed {
    fn new(name: &str, environment: &TestEnvironment) -> TestBed {
        let program = |function: &str| {
            Some(Program {
                concurrency: 32,
                load_time: 0.01,
                cpu_time: if function == "endless" { 60.0 } else { WORK },
                run: echo,
                ..Program::default()
            })
        };
        let resources = SharedResources {
            store: PackageStore::new(environment, 8.0, 8),
            catalogue: Rc::new(program),
            token_cache: Rc::default(),
            deduplication_window: 5.0,
        };
        let spec = ExecutorSpec::with_ample_capacity(0);
        let executor = Executor::start(environment, spec, unused_address(), resources).unwrap();
        let broker = BrokerServer::start(environment, unused_address(), None).unwrap();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("shutdown-{name}"));
        let _ = std::fs::remove_dir_all(&folder);
        let text = deployment(&executor, &broker, &folder);
        let deployment = write_file(&format!("shutdown-{name}.json5"), &text);
        TestBed {
            serve: RefCell::new(Serve::start(&[
                "--deployment",
                deployment.to_str().unwrap(),
            ])),
            environment: environment.clone(),
            broker,
            _executor: executor,
            deployment,
        }
    }

    /// Publishes a message once the front end has subscribed, and waits until it has taken the message over.
    async fn publish_and_wait(&self) {
        while self.broker.accepted_connections() == 0 {
            self.environment.sleep(0.01).await;
        }
        self.environment.sleep(0.3).await;
        self.publish();
        let is_taken_over = || {
            let broker = self.broker.broker.borrow();
            broker.undelivered() == 0 && broker.unacknowledged() == 0
        };
        while !is_taken_over() {
            self.environment.sleep(0.01).await;
        }
    }

    fn publish(&self) {
        self.broker.publish(Message {
            topic: "act".into(),
            payload: Bytes::from_static(b"on"),
            qos: Qos::ExactlyOnce,
            retain: false,
            properties: vec![],
            expires_at: f64::INFINITY,
        });
    }

    /// The number of executions of functions.
    fn runs(&self) -> usize {
        let records = self.environment.records();
        let is_execution =
            |record: &&TrafficRecord| matches!(record, TrafficRecord::ExecutionStarted { .. });
        records.iter().filter(is_execution).count()
    }

    /// Stops the broker for some seconds.
    fn stop_broker(&self, seconds: f64) {
        let broker = self.broker.clone();
        let restart = async move {
            broker.restart(seconds, true).await.unwrap();
        };
        self.environment.spawn(restart).detach();
    }

    fn has_published_an_answer(&self) -> bool {
        let broker = self.broker.broker.borrow();
        broker
            .published
            .iter()
            .any(|message| message.topic == "done")
    }

    fn terminate(&self) -> f64 {
        self.serve.borrow().signal("TERM");
        self.environment.now()
    }

    /// Waits until the process has exited; returns the time of the exit.
    async fn exit(&self) -> f64 {
        while self.serve.borrow_mut().is_alive() {
            self.environment.sleep(0.005).await;
        }
        let status = self.serve.borrow_mut().wait_for_exit();
        assert_eq!(status.code(), Some(0), "{}", self.serve.borrow().log());
        self.environment.now()
    }

    fn has_run(&self, name: &str) -> bool {
        self.environment.records().iter().any(|record| {
            matches!(record, TrafficRecord::ExecutionStarted { invocation, .. } if invocation == name)
        })
    }

    fn request(&self, name: String, function: &str) -> ClientRequest {
        ClientRequest {
            invocation: name,
            function: function.into(),
            trigger_type: (0, "act".into()),
            timeout: CLIENT_TIMEOUT,
            payload: Bytes::from_static(b"open"),
            ..ClientRequest::default()
        }
    }

    /// Invokes a function again and again over one connection, until an invocation does not succeed. Returns when the
    /// last one that succeeded was sent, and asserts that no invocation that ran was left without an answer.
    async fn keep_invoking(self: Rc<Self>, client: u32) -> f64 {
        let address = self.serve.borrow().address;
        let test_client = TestClient::new(&self.environment, client, 0, address, false);
        let mut last_admitted_at = f64::NEG_INFINITY;
        for n in 0.. {
            let name = format!("command-{client}-{n}");
            let sent_at = self.environment.now();
            match test_client
                .invoke(&self.request(name.clone(), "vent"))
                .await
            {
                ClientOutcome::Answered { status: 200, .. } => last_admitted_at = sent_at,
                ClientOutcome::Answered { may_have_run, .. } => {
                    assert!(!may_have_run, "{name} was rejected after it may have run");
                    break;
                }
                outcome => {
                    assert!(
                        !self.has_run(&name),
                        "{name} ran and got no answer: {outcome:?}"
                    );
                    break;
                }
            }
        }
        last_admitted_at
    }
}

fn deployment(executor: &Executor, broker: &BrokerServer, folder: &std::path::Path) -> String {
    format!(
        r#"{{
            name: "shutdown",
            triggerTypes: [{{ name: "act", effect: "nonIdempotent", objective: "1s", timeout: "{CLIENT_TIMEOUT}s", journalled: true }}],
            functions: [{{ name: "vent", lanes: 32, loadTime: "50ms" }}, {{ name: "endless", lanes: 32, loadTime: "50ms" }}],
            executors: {{ list: [{{ address: "{}" }}] }},
            journal: {{ folder: "{folder}/http-{{index}}" }},
            mqtt: {{
                broker: "{}", version: "5", journal: {{ folder: "{folder}/mqtt-{{index}}" }},
                triggers: [{{ topic: "act", function: "vent", triggerType: "act", answer: "done" }}],
            }},
        }}"#,
        executor.address,
        broker.address,
        folder = folder.display(),
    )
}

/// Guards against invocations that are admitted after SIGTERM and cut off at the exit: a message's answer waited for a
/// broker that was away, and admission by HTTP ended only after it (docs/incidents/2026-12-04-lost-at-shutdown.md).
#[test]
fn no_invocation_is_lost_when_the_broker_is_away_at_sigterm() {
    for (name, away, signals) in [("away", 30.0, 1), ("back", 1.5, 1), ("twice", 30.0, 2)] {
        run(name, |test_bed| async move {
            let clients: Vec<_> = (0..4)
                .map(|client| {
                    let work = test_bed.clone().keep_invoking(client);
                    test_bed.environment.spawn(work)
                })
                .collect();
            test_bed.publish_and_wait().await;
            test_bed.stop_broker(away);
            test_bed.environment.sleep(0.2).await;
            let terminated_at = test_bed.terminate();
            if signals > 1 {
                test_bed.environment.sleep(0.3).await;
                test_bed.terminate();
            }
            for client in clients {
                let last_admitted_at = client.await;
                assert!(last_admitted_at.is_finite(), "{name}: nothing succeeded");
                // The process learns of the signal within a few milliseconds.
                assert!(
                    last_admitted_at < terminated_at + 0.2,
                    "{name}: admitted after SIGTERM"
                );
            }
            let took = test_bed.exit().await - terminated_at;
            assert!(took < EXIT_TIME, "{name}: {took} s");
            assert_eq!(
                test_bed.has_published_an_answer(),
                away < CLIENT_TIMEOUT,
                "{name}"
            );
        });
    }
}

/// Guards against an invocation whose function outlasts its client timeout and that gets no answer at a shutdown.
#[test]
fn an_invocation_that_takes_its_whole_timeout_is_answered_after_sigterm() {
    run("endless", |test_bed| async move {
        let address = test_bed.serve.borrow().address;
        let client = TestClient::new(&test_bed.environment, 0, 0, address, true);
        let request = test_bed.request("endless".into(), "endless");
        let (environment, bed) = (test_bed.environment.clone(), test_bed.clone());
        let terminate = async {
            environment.sleep(0.3).await;
            bed.terminate()
        };
        let (outcome, terminated_at) =
            futures_lite::future::zip(client.invoke(&request), terminate).await;
        let is_answered = matches!(
            outcome,
            ClientOutcome::Answered {
                may_have_run: true,
                ..
            }
        );
        assert!(is_answered, "{outcome:?}");
        let took = test_bed.exit().await - terminated_at;
        assert!(took < EXIT_TIME, "{took} s");
    });
}

/// Guards against an invocation that is rejected and can never run: SIGTERM came between its headers and its body, and
/// the journal had its start, so that it was answered as one of unknown outcome when it was sent again.
#[test]
fn an_invocation_whose_body_comes_after_sigterm_runs_when_it_is_sent_again() {
    run("body", |test_bed| async move {
        let address = test_bed.serve.borrow().address;
        let mut stream = TcpStream::connect(address).unwrap();
        let head = "POST /v1/functions/vent/invocations HTTP/1.1\r\nhost: test\r\norchidtally-invocation: late\r\n\
                    content-length: 2\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        test_bed.environment.sleep(0.3).await;
        test_bed.terminate();
        test_bed.environment.sleep(0.3).await;
        stream.write_all(b"hi").unwrap();
        let (status, text) = read_response(stream);
        assert_eq!(status, 503, "{text}");
        test_bed.exit().await;
        let again = Serve::start(&["--deployment", test_bed.deployment.to_str().unwrap()]);
        *test_bed.serve.borrow_mut() = again;
        let address = test_bed.serve.borrow().address;
        let client = TestClient::new(&test_bed.environment, 0, 0, address, true);
        let outcome = client
            .invoke(&test_bed.request("late".into(), "vent"))
            .await;
        assert!(
            matches!(outcome, ClientOutcome::Answered { status: 200, .. }),
            "{outcome:?}"
        );
        test_bed.terminate();
        test_bed.exit().await;
    });
}

/// Guards against messages that are taken over after SIGTERM, while an invocation of a client keeps the process alive.
#[test]
fn no_message_is_taken_over_after_sigterm() {
    run("message", |test_bed| async move {
        let address = test_bed.serve.borrow().address;
        let client = TestClient::new(&test_bed.environment, 0, 0, address, true);
        let request = test_bed.request("endless".into(), "endless");
        let bed = test_bed.clone();
        let invocation = test_bed
            .environment
            .spawn(async move { client.invoke(&request).await });
        bed.publish_and_wait().await;
        while !bed.has_published_an_answer() {
            bed.environment.sleep(0.01).await;
        }
        let runs = bed.runs();
        bed.terminate();
        bed.environment.sleep(0.3).await;
        bed.publish();
        invocation.await;
        bed.exit().await;
        assert_eq!(bed.runs(), runs, "the second message ran");
        let broker = bed.broker.broker.borrow();
        let is_at_broker = broker.undelivered() + broker.unacknowledged() == 1;
        assert!(is_at_broker, "the second message is not at the broker");
    });
}

/// Guards against a reload that delays a shutdown, or that is applied during it.
#[test]
fn sigterm_right_after_sighup_ends_the_process_in_time() {
    run("reload", |test_bed| async move {
        let address = test_bed.serve.borrow().address;
        let client = TestClient::new(&test_bed.environment, 0, 0, address, true);
        let request = test_bed.request("during-reload".into(), "vent");
        let bed = test_bed.clone();
        let invocation = test_bed
            .environment
            .spawn(async move { client.invoke(&request).await });
        bed.environment.sleep(0.3).await;
        bed.serve.borrow().signal("HUP");
        let terminated_at = bed.terminate();
        let outcome = invocation.await;
        assert!(
            matches!(outcome, ClientOutcome::Answered { status: 200, .. }),
            "{outcome:?}"
        );
        let took = bed.exit().await - terminated_at;
        assert!(took < EXIT_TIME, "{took} s");
    });
}

/// Guards against a shutdown that waits for a source of the endpoint list that is away.
#[test]
fn sigterm_ends_the_process_in_time_without_its_endpoint_source() {
    let away = unused_address();
    let sources = [
        ("publisher", format!(r#"publisher: "{away}""#)),
        ("etcd", format!(r#"etcd: {{ endpoints: ["{away}"] }}"#)),
    ];
    for (name, source) in sources {
        let text = format!(
            r#"{{ triggerTypes: [{{ name: "act", effect: "idempotent", objective: "1s", timeout: "{CLIENT_TIMEOUT}s" }}],
                functions: [{{ name: "vent", lanes: 4, loadTime: "50ms" }}], executors: {{ {source} }} }}"#
        );
        let file = write_file(&format!("shutdown-without-{name}.json5"), &text);
        let mut serve = Serve::start(&["--deployment", file.to_str().unwrap()]);
        let stream = serve.send("vent", &[]);
        std::thread::sleep(Duration::from_millis(300));
        serve.signal("TERM");
        let terminated_at = Instant::now();
        let (status, _) = read_response(stream);
        assert!(status >= 500, "{name}: there is no executor");
        assert_eq!(serve.wait_for_exit().code(), Some(0), "{name}");
        let took = terminated_at.elapsed().as_secs_f64();
        assert!(took < EXIT_TIME, "{name}: {took} s");
    }
}
