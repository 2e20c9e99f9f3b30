//! Tests of a front end whose connection to the publisher is lost without being closed, so that the endpoint list does not
//! change any more.

mod gateway_kit;

use gateway_kit::front_end_kit::executors_of;
use gateway_kit::{
    IDEMPOTENT, deployment_text, endpoint, executor, gateway, invoke_all, request, run, status,
};
use orchidtally_invariants::EndpointState;
use orchidtally_test_servers::client::{ClientRequest, TestClient};
use orchidtally_test_servers::fault_proxy::FaultProxy;
use orchidtally_test_servers::publisher::{PublishedEndpoint, Publisher};
use orchidtally_test_servers::{TestEnvironment, unused_address};

/// The maximum time in seconds to detect a lost publisher and reconnect.
const FOUND_OUT_WITHIN: f64 = 6.0;

/// Invokes some functions and returns the executors at which they ran.
async fn invoke_some(
    environment: &TestEnvironment,
    client: &std::rc::Rc<TestClient>,
    label: &str,
) -> Vec<usize> {
    let requests = (0..24).map(|n| ClientRequest {
        function: format!("f{}", n % 8),
        ..request(&format!("{label}-{n}"), IDEMPOTENT)
    });
    let outcomes = invoke_all(environment, client, requests.collect()).await;
    assert!(
        outcomes.iter().all(|outcome| status(outcome) == 200),
        "{outcomes:?}"
    );
    executors_of(environment, label)
}

#[test]
fn a_lost_connection_to_the_publisher_is_detected_and_reopened() {
    let environment = TestEnvironment::new(1);
    let executors: Vec<_> = (0..2).map(|n| executor(&environment, n, 0.01)).collect();
    let endpoints = (0..2)
        .map(|n| endpoint(n, executors[n].address, EndpointState::Ready))
        .collect();
    let publisher = Publisher::start(&environment, unused_address(), endpoints).unwrap();
    publisher.max_delay.set(0.0);
    let path = FaultProxy::start(&environment, publisher.address).unwrap();
    let gateway = gateway(deployment_text(
        &format!("publisher: \"{}\"", path.address),
        "",
    ));
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    run(&environment, async {
        assert_eq!(
            invoke_some(&environment, &client, "before").await,
            [0, 1],
            "both serve"
        );
        path.freeze();
        publisher.update_state(0, EndpointState::Draining, f64::NEG_INFINITY);
        environment.sleep(FOUND_OUT_WITHIN).await;
        assert_eq!(
            invoke_some(&environment, &client, "after").await,
            [1],
            "the other executor drains"
        );
    });
    gateway.end();
}

/// The first message of a publisher contains the whole list and can exceed the size of a message's head.
#[test]
fn a_list_longer_than_the_head_of_a_message_is_accepted() {
    let environment = TestEnvironment::new(2);
    let executors: Vec<_> = (0..2).map(|n| executor(&environment, n, 0.01)).collect();
    let mut endpoints: Vec<PublishedEndpoint> = (0..2)
        .map(|n| endpoint(n, executors[n].address, EndpointState::Ready))
        .collect();
    let others = (2..3_000).map(|n: u16| {
        endpoint(
            usize::from(n),
            ([127, 0, 0, 1], n).into(),
            EndpointState::Gone,
        )
    });
    endpoints.extend(others);
    let publisher = Publisher::start(&environment, unused_address(), endpoints).unwrap();
    let gateway = gateway(deployment_text(
        &format!("publisher: \"{}\"", publisher.address),
        "",
    ));
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    run(&environment, async {
        assert_eq!(invoke_some(&environment, &client, "long").await, [0, 1]);
    });
    gateway.end();
}
