//! An executor that is replaced by another at the same address.

mod gateway_kit;

use gateway_kit::{ACT, all, ask, description, executor, gateway, on, row, status};
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::client::TestClient;
use orchidtally_test_servers::publisher::Publisher;
use orchidtally_test_servers::{TestEnvironment, unused_address};

#[test]
fn a_replacement_at_the_same_address_has_none_of_the_copies_of_the_one_before() {
    let stage = TestEnvironment::new(1);
    let one = executor(&stage, 0, 0.15);
    let publisher = Publisher::start(
        &stage,
        unused_address(),
        vec![row(0, one.address, EndpointState::Ready)],
    )
    .unwrap();
    publisher.max_delay.set(0.0);
    let soon_warm = "safety: { cold: \"50ms\", fall: \"10ms\" }";
    let gateway = gateway(description(
        &format!("publisher: \"{}\"", publisher.address),
        soon_warm,
    ));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    on(&stage, async {
        assert_eq!(status(&caller.invoke(&ask("first", ACT)).await), 200);
        let out = all(
            &stage,
            &caller,
            (0..5).map(|n| ask(&format!("a{n}"), ACT)).collect(),
        );
        let replace = async {
            stage.sleep(0.003).await;
            one.crash();
            let loads_before = one.store.completed_fetches.get();
            publisher.update_state(0, EndpointState::Gone, f64::NEG_INFINITY);
            stage.sleep(0.3).await;
            one.restart().unwrap();
            publisher.update_state(0, EndpointState::Ready, one.started_at());
            stage.sleep(0.1).await;
            loads_before
        };
        let (heard, loads_before) = futures_lite::future::zip(out, replace).await;
        assert!(
            heard.iter().all(|h| [200, 502, 503].contains(&status(h))),
            "{heard:?}"
        );
        let after = all(
            &stage,
            &caller,
            (0..10).map(|n| ask(&format!("b{n}"), ACT)).collect(),
        )
        .await;
        assert!(after.iter().all(|h| status(h) == 200), "{after:?}");
        // On a busy machine some of the first five wait for the replacement, and one of them may load the copy.
        let loads = one.store.completed_fetches.get() - loads_before;
        assert_eq!(
            loads, 1,
            "the replacement loaded its copy once, for all that came to it"
        );
    });
    let mut ran: Vec<_> = (stage.records().iter())
        .filter_map(|r| {
            if let TrafficRecord::ExecutionStarted { invocation, .. } = r {
                Some(invocation.clone())
            } else {
                None
            }
        })
        .collect();
    ran.sort();
    let all = ran.len();
    ran.dedup();
    assert_eq!(ran.len(), all, "no effect twice");
    gateway.end();
}
