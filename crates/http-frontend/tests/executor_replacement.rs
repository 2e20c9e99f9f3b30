//! Tests the replacement of an executor by another one at the same address.

mod gateway_kit;

use gateway_kit::{
    NON_IDEMPOTENT, deployment_text, endpoint, executor, gateway, invoke_all, request, run, status,
};
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::client::TestClient;
use orchidtally_test_servers::publisher::Publisher;
use orchidtally_test_servers::{TestEnvironment, unused_address};

#[test]
fn replicas_of_the_previous_executor_are_not_assumed_on_a_replacement_at_the_same_address() {
    let environment = TestEnvironment::new(1);
    let one = executor(&environment, 0, 0.15);
    let publisher = Publisher::start(
        &environment,
        unused_address(),
        vec![endpoint(0, one.address, EndpointState::Ready)],
    )
    .unwrap();
    publisher.max_delay.set(0.0);
    let soon_warm = "safety: { cold: \"50ms\", fall: \"10ms\" }";
    let gateway = gateway(deployment_text(
        &format!("publisher: \"{}\"", publisher.address),
        soon_warm,
    ));
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    run(&environment, async {
        assert_eq!(
            status(&client.invoke(&request("first", NON_IDEMPOTENT)).await),
            200
        );
        let invocations = invoke_all(
            &environment,
            &client,
            (0..5)
                .map(|n| request(&format!("a{n}"), NON_IDEMPOTENT))
                .collect(),
        );
        let replace = async {
            environment.sleep(0.003).await;
            one.crash();
            let loads_before = one.store.completed_fetches.get();
            publisher.update_state(0, EndpointState::Gone, f64::NEG_INFINITY);
            environment.sleep(0.3).await;
            one.restart().unwrap();
            publisher.update_state(0, EndpointState::Ready, one.started_at());
            environment.sleep(0.1).await;
            loads_before
        };
        let (outcomes, loads_before) = futures_lite::future::zip(invocations, replace).await;
        assert!(
            outcomes
                .iter()
                .all(|h| [200, 502, 503].contains(&status(h))),
            "{outcomes:?}"
        );
        let after = invoke_all(
            &environment,
            &client,
            (0..10)
                .map(|n| request(&format!("b{n}"), NON_IDEMPOTENT))
                .collect(),
        )
        .await;
        assert!(after.iter().all(|h| status(h) == 200), "{after:?}");
        // On a busy machine some of the first five invocations wait for the replacement, and one of them may load the
        // replica.
        let loads = one.store.completed_fetches.get() - loads_before;
        assert_eq!(
            loads, 1,
            "the replacement has to load its replica exactly once"
        );
    });
    let mut ran: Vec<_> = (environment.records().iter())
        .filter_map(|r| {
            if let TrafficRecord::ExecutionStarted { invocation, .. } = r {
                Some(invocation.clone())
            } else {
                None
            }
        })
        .collect();
    ran.sort();
    let execution_count = ran.len();
    ran.dedup();
    assert_eq!(ran.len(), execution_count, "an invocation ran twice");
    gateway.end();
}
