//! A front end whose publisher is lost without a word: nothing is told of its end, and the list stands still.

mod gateway_kit;

use gateway_kit::front_end_kit::executors_of;
use gateway_kit::{LOOK, all, ask, description, executor, gateway, on, row, status};
use orchidtally_invariants::EndpointState;
use orchidtally_test_servers::client::{ClientRequest, TestClient};
use orchidtally_test_servers::fault_proxy::FaultProxy;
use orchidtally_test_servers::publisher::{PublishedEndpoint, Publisher};
use orchidtally_test_servers::{TestEnvironment, unused_address};

/// For so long a front end may take a publisher for there that isn't, in seconds, and then ask it anew.
const FOUND_OUT_WITHIN: f64 = 6.0;

/// Invokes some functions and returns the executors at which they ran.
async fn invoke_some(
    stage: &TestEnvironment,
    caller: &std::rc::Rc<TestClient>,
    label: &str,
) -> Vec<usize> {
    let asks = (0..24).map(|n| ClientRequest {
        function: format!("f{}", n % 8),
        ..ask(&format!("{label}-{n}"), LOOK)
    });
    let heard = all(stage, caller, asks.collect()).await;
    assert!(heard.iter().all(|heard| status(heard) == 200), "{heard:?}");
    executors_of(stage, label)
}

#[test]
fn a_publisher_whose_path_is_lost_is_asked_anew() {
    let stage = TestEnvironment::new(1);
    let executors: Vec<_> = (0..2).map(|n| executor(&stage, n, 0.01)).collect();
    let rows = (0..2)
        .map(|n| row(n, executors[n].address, EndpointState::Ready))
        .collect();
    let publisher = Publisher::start(&stage, unused_address(), rows).unwrap();
    publisher.max_delay.set(0.0);
    let path = FaultProxy::start(&stage, publisher.address).unwrap();
    let gateway = gateway(description(&format!("publisher: \"{}\"", path.address), ""));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    on(&stage, async {
        assert_eq!(
            invoke_some(&stage, &caller, "before").await,
            [0, 1],
            "both serve"
        );
        path.freeze();
        publisher.update_state(0, EndpointState::Draining, f64::NEG_INFINITY);
        stage.sleep(FOUND_OUT_WITHIN).await;
        assert_eq!(
            invoke_some(&stage, &caller, "after").await,
            [1],
            "the other was told to drain"
        );
    });
    gateway.end();
}

/// The first message of a publisher is as long as its list.
#[test]
fn a_list_longer_than_the_head_of_a_message_is_taken() {
    let stage = TestEnvironment::new(2);
    let executors: Vec<_> = (0..2).map(|n| executor(&stage, n, 0.01)).collect();
    let mut rows: Vec<PublishedEndpoint> = (0..2)
        .map(|n| row(n, executors[n].address, EndpointState::Ready))
        .collect();
    let others = (2..3_000).map(|n: u16| {
        row(
            usize::from(n),
            ([127, 0, 0, 1], n).into(),
            EndpointState::Gone,
        )
    });
    rows.extend(others);
    let publisher = Publisher::start(&stage, unused_address(), rows).unwrap();
    let gateway = gateway(description(
        &format!("publisher: \"{}\"", publisher.address),
        "",
    ));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    on(&stage, async {
        assert_eq!(invoke_some(&stage, &caller, "long").await, [0, 1]);
    });
    gateway.end();
}
