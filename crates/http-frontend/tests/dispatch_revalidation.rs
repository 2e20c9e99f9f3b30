//! What was decided is asked again as its bytes leave, which may be long after: dispatches that wait for a stream.

mod gateway_kit;

use gateway_kit::front_end_kit::start_executor;
use gateway_kit::*;
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::client::TestClient;
use orchidtally_test_servers::executor::{Executor, Program, echo};
use orchidtally_test_servers::publisher::Publisher;
use orchidtally_test_servers::{TestEnvironment, unused_address};
use std::rc::Rc;

/// Seconds that an invocation takes; the next one waits for its stream for as long.
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

/// A front end with one stream to each executor.
fn narrow_gateway(source: &str) -> Gateway {
    let narrow =
        "limits: { connectTime: \"3s\", streamsPerConnection: 1, connectionsPerExecutor: 1,";
    let text = description(source, "loading: { orders: false }");
    gateway(text.replace("limits: { connectTime: \"200ms\",", narrow))
}

#[test]
fn nothing_leaves_for_an_executor_that_was_told_draining_while_it_waited_for_a_stream() {
    let stage = TestEnvironment::new(1);
    let one = slow_executor(&stage);
    let publisher = Publisher::start(
        &stage,
        unused_address(),
        vec![row(0, one.address, EndpointState::Ready)],
    )
    .unwrap();
    publisher.max_delay.set(0.0);
    let gateway = narrow_gateway(&format!("publisher: \"{}\"", publisher.address));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    on(&stage, async {
        assert_eq!(status(&caller.invoke(&ask("warms", LOOK)).await), 200);
        let out = all(
            &stage,
            &caller,
            (0..3).map(|n| ask(&format!("a{n}"), ACT)).collect(),
        );
        let drain = async {
            stage.sleep(WORK / 3.0).await;
            publisher.update_state(0, EndpointState::Draining, f64::NEG_INFINITY);
        };
        let (heard, ()) = futures_lite::future::zip(out, drain).await;
        let statuses: Vec<u16> = heard.iter().map(status).collect();
        assert_eq!(
            statuses.iter().filter(|&&s| s == 200).count(),
            1,
            "{statuses:?}"
        );
    });
    let reached = |r: &TrafficRecord| matches!(r, TrafficRecord::DispatchArrived { invocation, .. } if invocation.starts_with('a'));
    assert_eq!(
        stage.records().iter().filter(|r| reached(r)).count(),
        1,
        "only the one that had its stream"
    );
    gateway.end();
}

/// The term: at most what the client has left, with 0.15 s of slack.
#[test]
fn an_executor_is_told_the_time_that_is_left_as_the_dispatch_leaves() {
    let stage = TestEnvironment::new(2);
    let one = slow_executor(&stage);
    let gateway = narrow_gateway(&listed(&[one.address]));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    on(&stage, async {
        assert_eq!(status(&caller.invoke(&ask("warms", LOOK)).await), 200);
        let asked = ask("waits", ACT);
        let heard = all(&stage, &caller, vec![ask("goes", ACT), asked.clone()]).await;
        assert!(heard.iter().all(|heard| status(heard) == 200), "{heard:?}");
        let (told, left) = (one.last_time_left.get(), asked.timeout - WORK);
        assert!(
            told <= left + 0.15 && told > left / 2.0,
            "{told} s of {left}"
        );
    });
    gateway.end();
}
