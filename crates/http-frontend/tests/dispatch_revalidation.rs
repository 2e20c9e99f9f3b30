//! Tests that a dispatch decision is validated again when the dispatch is sent, which may be long after the decision if
//! the dispatch waits for a free stream.

mod gateway_kit;

use gateway_kit::front_end_kit::start_executor;
use gateway_kit::*;
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::client::TestClient;
use orchidtally_test_servers::executor::{Executor, Program, echo};
use orchidtally_test_servers::publisher::Publisher;
use orchidtally_test_servers::{TestEnvironment, unused_address};
use std::rc::Rc;

/// The duration of an invocation in seconds, for which the next one waits for its stream.
const WORK: f64 = 0.6;

fn slow_executor(environment: &TestEnvironment) -> Rc<Executor> {
    start_executor(environment, 0, |_| {
        Some(Program {
            concurrency: 32,
            load_time: 0.01,
            cpu_time: WORK,
            run: echo,
            ..Program::default()
        })
    })
}

/// Starts a front end with one stream per executor.
fn narrow_gateway(source: &str) -> Gateway {
    let narrow =
        "limits: { connectTime: \"3s\", streamsPerConnection: 1, connectionsPerExecutor: 1,";
    let text = deployment_text(source, "loading: { orders: false }");
    gateway(text.replace("limits: { connectTime: \"200ms\",", narrow))
}

#[test]
fn a_dispatch_waiting_for_a_stream_is_not_sent_to_a_draining_executor() {
    let environment = TestEnvironment::new(1);
    let one = slow_executor(&environment);
    let publisher = Publisher::start(
        &environment,
        unused_address(),
        vec![endpoint(0, one.address, EndpointState::Ready)],
    )
    .unwrap();
    publisher.max_delay.set(0.0);
    let gateway = narrow_gateway(&format!("publisher: \"{}\"", publisher.address));
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    run(&environment, async {
        assert_eq!(
            status(&client.invoke(&request("warms", IDEMPOTENT)).await),
            200
        );
        let invocations = invoke_all(
            &environment,
            &client,
            (0..3)
                .map(|n| request(&format!("a{n}"), NON_IDEMPOTENT))
                .collect(),
        );
        let drain = async {
            environment.sleep(WORK / 3.0).await;
            publisher.update_state(0, EndpointState::Draining, f64::NEG_INFINITY);
        };
        let (outcomes, ()) = futures_lite::future::zip(invocations, drain).await;
        let statuses: Vec<u16> = outcomes.iter().map(status).collect();
        assert_eq!(
            statuses.iter().filter(|&&s| s == 200).count(),
            1,
            "{statuses:?}"
        );
    });
    let reached = |r: &TrafficRecord| matches!(r, TrafficRecord::DispatchArrived { invocation, .. } if invocation.starts_with('a'));
    assert_eq!(
        environment.records().iter().filter(|r| reached(r)).count(),
        1,
        "only the invocation with a stream may reach the draining executor"
    );
    gateway.end();
}

/// The time sent to the executor is at most the client's remaining time, with a tolerance of 0.15 s.
#[test]
fn an_executor_receives_the_remaining_time_at_the_moment_of_sending() {
    let environment = TestEnvironment::new(2);
    let one = slow_executor(&environment);
    let gateway = narrow_gateway(&executor_list(&[one.address]));
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    run(&environment, async {
        assert_eq!(
            status(&client.invoke(&request("warms", IDEMPOTENT)).await),
            200
        );
        let waiting = request("waits", NON_IDEMPOTENT);
        let outcomes = invoke_all(
            &environment,
            &client,
            vec![request("goes", NON_IDEMPOTENT), waiting.clone()],
        )
        .await;
        assert!(
            outcomes.iter().all(|outcome| status(outcome) == 200),
            "{outcomes:?}"
        );
        let (received, remaining) = (one.last_time_left.get(), waiting.timeout - WORK);
        assert!(
            received <= remaining + 0.15 && received > remaining / 2.0,
            "{received} s of {remaining}"
        );
    });
    gateway.end();
}
