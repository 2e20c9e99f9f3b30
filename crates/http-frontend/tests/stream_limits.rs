//! Executors that serve fewer HTTP/2 streams than the deployment allows, or that open no flow control window: a dispatch
//! that waits for them is decided anew when its message leaves, and is returned as never run if it can't leave in time.

mod gateway_kit;
mod scripted_executor;

use gateway_kit::front_end_kit::start_executor_with;
use gateway_kit::*;
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use orchidtally_test_servers::executor::{Executor, ExecutorSpec, Program, echo};
use orchidtally_test_servers::publisher::Publisher;
use orchidtally_test_servers::raw::{self, Frame, FrameKind, ScriptAction};
use orchidtally_test_servers::{TestEnvironment, unused_address};
use scripted_executor::{NO_LOAD_COMMANDS, answered, scripted, scripted_with_settings};
use std::cell::RefCell;
use std::rc::Rc;

/// The duration of an invocation in seconds, for which the next one waits for its stream.
const WORK: f64 = 0.6;

/// Starts an executor that serves one stream at a time.
fn single_stream_executor(environment: &TestEnvironment) -> Rc<Executor> {
    let spec = ExecutorSpec {
        max_streams: 1,
        ..ExecutorSpec::with_ample_capacity(0)
    };
    start_executor_with(environment, spec, |_| {
        Some(Program {
            concurrency: 32,
            load_time: 0.01,
            cpu_time: WORK,
            run: echo,
            ..Program::default()
        })
    })
}

/// Starts a front end with one connection to each executor, and many streams on it.
fn start_gateway(source: &str, connect_time: &str) -> Gateway {
    let limits = format!("limits: {{ connectTime: \"{connect_time}\", connectionsPerExecutor: 1,");
    let text = deployment_text(source, NO_LOAD_COMMANDS);
    gateway(text.replace("limits: { connectTime: \"200ms\",", &limits))
}

/// The number of dispatches that arrived for invocations whose names begin with `label`.
fn arrived(environment: &TestEnvironment, label: &str) -> usize {
    let records = environment.records();
    let is_arrival = |record: &&TrafficRecord| matches!(record, TrafficRecord::DispatchArrived { invocation, .. } if invocation.starts_with(label));
    records.iter().filter(is_arrival).count()
}

fn act(name: &str) -> ClientRequest {
    request(name, NON_IDEMPOTENT)
}

/// Guards against a dispatch that waits in the HTTP/2 library, past the peer's limit on streams, and leaves after its
/// executor was reported as draining.
#[test]
fn a_dispatch_over_the_peers_stream_limit_is_not_sent_to_a_draining_executor() {
    let environment = TestEnvironment::new(1);
    let one = single_stream_executor(&environment);
    let listed = vec![endpoint(0, one.address, EndpointState::Ready)];
    let publisher = Publisher::start(&environment, unused_address(), listed).unwrap();
    publisher.max_delay.set(0.0);
    let gateway = start_gateway(&format!("publisher: \"{}\"", publisher.address), "3s");
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    run(&environment, async {
        assert_eq!(status(&client.invoke(&act("warms")).await), 200);
        let requests = (0..3).map(|n| act(&format!("a{n}"))).collect();
        let invocations = invoke_all(&environment, &client, requests);
        let drain = async {
            environment.sleep(WORK / 3.0).await;
            publisher.update_state(0, EndpointState::Draining, f64::NEG_INFINITY);
        };
        let (outcomes, ()) = futures_lite::future::zip(invocations, drain).await;
        let succeeded = outcomes.iter().filter(|outcome| status(outcome) == 200);
        assert_eq!(succeeded.count(), 1, "{outcomes:?}");
    });
    assert_eq!(arrived(&environment, "a"), 1);
    gateway.end();
}

/// Guards against a message that was made before its dispatch waited in the HTTP/2 library: the executor is sent more
/// time than the client has left.
#[test]
fn a_dispatch_over_the_peers_stream_limit_has_the_remaining_time_at_the_moment_of_sending() {
    let environment = TestEnvironment::new(2);
    let one = single_stream_executor(&environment);
    let gateway = start_gateway(&executor_list(&[one.address]), "3s");
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    run(&environment, async {
        assert_eq!(status(&client.invoke(&act("warms")).await), 200);
        let waiting = act("waits");
        let requests = vec![act("goes"), waiting.clone()];
        let outcomes = invoke_all(&environment, &client, requests).await;
        let all_succeeded = outcomes.iter().all(|outcome| status(outcome) == 200);
        assert!(all_succeeded, "{outcomes:?}");
        let (received, remaining) = (one.last_time_left.get(), waiting.timeout - WORK);
        assert!(received <= remaining + 0.15, "{received} s of {remaining}");
    });
    gateway.end();
}

/// Guards against a dispatch whose client has gone while it waited in the HTTP/2 library.
#[test]
fn a_dispatch_over_the_peers_stream_limit_is_not_sent_for_a_client_that_has_gone() {
    let environment = TestEnvironment::new(3);
    let one = single_stream_executor(&environment);
    let gateway = start_gateway(&executor_list(&[one.address]), "3s");
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    run(&environment, async {
        assert_eq!(status(&client.invoke(&act("warms")).await), 200);
        let leaves = ClientRequest {
            cancel_after: Some(WORK / 3.0),
            ..act("leaves")
        };
        let requests = vec![act("goes"), leaves];
        let outcomes = invoke_all(&environment, &client, requests).await;
        assert!(outcomes.contains(&ClientOutcome::Cancelled), "{outcomes:?}");
        environment.sleep(WORK).await;
    });
    assert_eq!(arrived(&environment, "leaves"), 0);
    gateway.end();
}

/// Asserts that an invocation was answered as one that has certainly not run.
fn assert_never_ran(outcome: &ClientOutcome) {
    let has_never_run = matches!(
        outcome,
        ClientOutcome::Answered {
            may_have_run: false,
            ..
        }
    );
    assert!(has_never_run && status(outcome) != 200, "{outcome:?}");
}

/// The frames of requests that an executor received: the stream, and whether it is DATA.
type Received = Rc<RefCell<Vec<(u32, FrameKind)>>>;

fn record(received: &Received, frame: &Frame) {
    if matches!(frame.kind, FrameKind::Headers | FrameKind::Data) {
        received.borrow_mut().push((frame.stream, frame.kind));
    }
}

/// Guards against dispatches that an executor without streams or without a window keeps in the HTTP/2 library.
#[test]
fn a_dispatch_that_gets_no_stream_or_no_window_in_time_has_never_run() {
    for setting in [raw::MAX_CONCURRENT_STREAMS, raw::INITIAL_WINDOW_SIZE] {
        let environment = TestEnvironment::new(4);
        let received = Received::default();
        let recorder = received.clone();
        // The first dispatch may leave before the settings have arrived.
        let script = move |frame: &Frame| {
            record(&recorder, frame);
            ScriptAction::Send(match (frame.stream, frame.ends_stream()) {
                (1, true) => answered(1),
                _ => vec![],
            })
        };
        let executor = scripted_with_settings(&environment, &[(setting, 0)], script);
        let gateway = start_gateway(&executor_list(&[executor]), "200ms");
        let client = TestClient::new(&environment, 0, 0, gateway.address, false);
        run(&environment, async {
            client.invoke(&act("first")).await;
            assert_never_ran(&client.invoke(&act("second")).await);
        });
        let is_late_data =
            |(stream, kind): &(u32, FrameKind)| *stream > 1 && *kind == FrameKind::Data;
        assert!(!received.borrow().iter().any(is_late_data), "{setting}");
        gateway.end();
    }
}

/// Guards against dispatches that are handed to the HTTP/2 library over a limit which the executor lowers while streams
/// are open.
#[test]
fn a_stream_limit_that_is_lowered_while_streams_are_open_counts() {
    for limit in [0, 1] {
        let environment = TestEnvironment::new(5);
        let received = Received::default();
        let recorder = received.clone();
        // The first dispatch is answered. The second one lowers the limit and stays open.
        let script = move |frame: &Frame| {
            record(&recorder, frame);
            match (frame.stream, frame.ends_stream()) {
                (1, true) => ScriptAction::Send(answered(1)),
                (3, true) => {
                    let lowered = [(raw::MAX_CONCURRENT_STREAMS, limit)];
                    ScriptAction::Send(raw::settings_with(&lowered))
                }
                _ => ScriptAction::Send(vec![]),
            }
        };
        let executor = scripted(&environment, script);
        let gateway = start_gateway(&executor_list(&[executor]), "200ms");
        let client = TestClient::new(&environment, 0, 0, gateway.address, false);
        run(&environment, async {
            assert_eq!(status(&client.invoke(&act("first")).await), 200);
            let second = async { client.invoke(&act("second")).await };
            let third = async {
                environment.sleep(0.3).await;
                client.invoke(&act("third")).await
            };
            let (_, third) = futures_lite::future::zip(second, third).await;
            assert_never_ran(&third);
        });
        let streams: Vec<u32> = received
            .borrow()
            .iter()
            .map(|(stream, _)| *stream)
            .collect();
        assert!(streams.iter().all(|stream| *stream <= 3), "{streams:?}");
        gateway.end();
    }
}
