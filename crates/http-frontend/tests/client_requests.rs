//! Clients, drains and ends of front ends that are hard to handle, each case with a front end of its own and the
//! smallest test servers that bring it about.

mod gateway_kit;

use async_io::Async;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use gateway_kit::{ACT, LOOK, all, ask, description, executor, gateway, listed, on, row, status};
use orchidtally_deployment::Deployment;
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use orchidtally_test_servers::publisher::Publisher;
use orchidtally_test_servers::{TestEnvironment, unused_address};
use std::net::TcpStream;

#[test]
fn twenty_invocations_waiting_on_a_load_go_elsewhere_when_it_drains() {
    let stage = TestEnvironment::new(1);
    // Both load slowly; whichever is drawn is told to drain.
    let two = [executor(&stage, 0, 0.8), executor(&stage, 1, 0.8)];
    let rows = two
        .iter()
        .map(|e| row(e.spec.number, e.address, EndpointState::Ready))
        .collect();
    let publisher = Publisher::start(&stage, unused_address(), rows).unwrap();
    publisher.max_delay.set(0.0);
    let gateway = gateway(description(
        &format!("publisher: \"{}\"", publisher.address),
        "",
    ));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    let (heard, drained, told) = on(&stage, async {
        stage.sleep(0.2).await;
        let asks = (0..20).map(|n| ask(&format!("a{n}"), LOOK)).collect();
        let work = all(&stage, &caller, asks);
        let drain = async {
            stage.sleep(0.3).await;
            let ordered = stage.records().iter().find_map(|r| match r {
                TrafficRecord::LoadCommandArrived { executor, .. } => Some(*executor),
                _ => None,
            });
            let drained = ordered.expect("a load was ordered");
            two[drained].draining.set(true);
            publisher.update_state(drained, EndpointState::Draining, f64::NEG_INFINITY);
            (drained, stage.now())
        };
        let (heard, (drained, told)) = futures_lite::future::zip(work, drain).await;
        (heard, drained, told)
    });
    assert!(heard.iter().all(|h| status(h) == 200), "{heard:?}");
    let late = stage.records().iter().any(|r| match r {
        TrafficRecord::DispatchArrived { at, executor, .. } => {
            *executor == drained && *at > told + 0.1
        }
        _ => false,
    });
    assert!(!late, "something was sent to the draining one");
    assert_eq!(gateway.end().succeeded, 20);
}

#[test]
fn a_client_that_leaves_during_a_placement_is_forgotten_and_the_placement_still_counts() {
    let stage = TestEnvironment::new(1);
    let one = executor(&stage, 0, 0.5);
    let gateway = gateway(description(&listed(&[one.address]), ""));
    on(&stage, async {
        for plain in [true, false] {
            let caller = TestClient::new(&stage, 0, 0, gateway.at, plain);
            let function = format!("f-{plain}");
            let leaves = ClientRequest {
                function: function.clone(),
                cancel_after: Some(0.15),
                ..ask("leaves", ACT)
            };
            assert_eq!(caller.invoke(&leaves).await, ClientOutcome::Cancelled);
            stage.sleep(0.6).await;
            let next = ClientRequest {
                function,
                timeout: 0.4,
                ..ask("next", ACT)
            };
            assert_eq!(status(&caller.invoke(&next).await), 200, "the copy stands");
        }
    });
    let ran = stage
        .records()
        .iter()
        .filter(|r| matches!(r, TrafficRecord::ExecutionStarted { .. }))
        .count();
    assert_eq!(ran, 2, "nothing was sent for those that left");
    let tally = gateway.end();
    assert_eq!(
        (tally.admitted, tally.cancelled_by_client, tally.succeeded),
        (4, 2, 2)
    );
}

#[test]
fn a_slow_upload_holds_nothing_and_is_told_so() {
    let stage = TestEnvironment::new(1);
    let one = executor(&stage, 0, 0.01);
    let gateway = gateway(description(&listed(&[one.address]), ""));
    on(&stage, async {
        let mut slow = Async::<TcpStream>::connect(gateway.at).await.unwrap();
        let head = b"POST /v1/functions/f/invocations HTTP/1.1\r\nhost: x\r\n\
                     orchidtally-trigger-type: act\r\ncontent-length: 100\r\n\r\nhalf";
        slow.write_all(head).await.unwrap();
        let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
        let asks = (0..20).map(|n| ask(&format!("a{n}"), LOOK)).collect();
        let heard = all(&stage, &caller, asks).await;
        assert!(heard.iter().all(|h| status(h) == 200), "{heard:?}");
        let mut answer = vec![0; 12];
        slow.read_exact(&mut answer).await.unwrap();
        assert_eq!(answer, b"HTTP/1.1 408");
    });
    assert_eq!(gateway.end().admitted, 20, "the slow one was never taken");
}

#[test]
fn what_is_malformed_gets_its_4xx_and_reaches_no_executor() {
    let stage = TestEnvironment::new(1);
    let one = executor(&stage, 0, 0.01);
    let more = "customers: [{ name: \"known\", share: 10 }],";
    let gateway = gateway(description(&listed(&[one.address]), more));
    on(&stage, async {
        let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
        let known = ClientRequest {
            customer: "known".into(),
            ..ask("a", LOOK)
        };
        let cases = [
            (
                ClientRequest {
                    customer: "other".into(),
                    ..known.clone()
                },
                403,
            ),
            (
                ClientRequest {
                    customer: String::new(),
                    ..known.clone()
                },
                400,
            ),
            (
                ClientRequest {
                    trigger_type: (0, "none".into()),
                    ..known.clone()
                },
                400,
            ),
            (
                ClientRequest {
                    payload: vec![0; 200_000].into(),
                    ..known.clone()
                },
                413,
            ),
            (
                ClientRequest {
                    function: "a/b".into(),
                    ..known.clone()
                },
                404,
            ),
            (
                ClientRequest {
                    function: "%zz".into(),
                    ..known.clone()
                },
                400,
            ),
            (known.clone(), 200),
        ];
        for (ask, expected) in cases {
            let heard = caller.invoke(&ask).await;
            assert_eq!(status(&heard), expected, "{ask:?}: {heard:?}");
        }
    });
    let reached = stage
        .records()
        .iter()
        .filter(|r| matches!(r, TrafficRecord::DispatchArrived { .. }))
        .count();
    assert_eq!(reached, 1);
    assert_eq!(gateway.end().admitted, 1);
}

#[test]
fn an_ending_front_end_answers_what_is_open_and_takes_nothing_new() {
    let stage = TestEnvironment::new(1);
    let one = executor(&stage, 0, 0.6);
    let gateway = gateway(description(&listed(&[one.address]), ""));
    let at = gateway.at;
    let caller = TestClient::new(&stage, 0, 0, at, false);
    on(&stage, async {
        let asks = (0..10).map(|n| ask(&format!("a{n}"), ACT)).collect();
        let stop = async {
            stage.sleep(0.2).await;
            gateway.stop.close();
            stage.sleep(0.1).await;
            let refused =
                orchidtally_socket_io::connect(at, std::time::Duration::from_secs(1)).await;
            assert!(refused.is_err(), "it listens no more");
        };
        let (heard, ()) = futures_lite::future::zip(all(&stage, &caller, asks), stop).await;
        assert!(heard.iter().all(|h| status(h) == 200), "{heard:?}");
    });
    assert_eq!(gateway.end().succeeded, 10);
}

#[test]
fn two_front_ends_with_one_index_are_told() {
    let stage = TestEnvironment::new(1);
    let one = executor(&stage, 0, 0.01);
    let two = [1, 2].map(|_| gateway(description(&listed(&[one.address]), "")));
    // Their seeds are their incarnations, and differ as they would in service.
    let standing = on(&stage, async {
        for round in 0..3 {
            for (n, gateway) in two.iter().enumerate() {
                let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
                assert_eq!(
                    status(&caller.invoke(&ask(&format!("{round}-{n}"), LOOK)).await),
                    200
                );
            }
        }
        let mut socket = Async::<TcpStream>::connect(two[0].at).await.unwrap();
        let ask = b"GET /v1/front-end HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        socket.write_all(ask).await.unwrap();
        let mut text = String::new();
        socket.read_to_string(&mut text).await.unwrap();
        text
    });
    assert!(
        standing.contains("\"indexTaken\":") && !standing.contains("\"indexTaken\":0"),
        "{standing}"
    );
    for gateway in two {
        gateway.end();
    }
}

#[test]
fn an_executor_outside_the_allowed_networks_is_never_used() {
    let stage = TestEnvironment::new(1);
    let outside = executor(&stage, 0, 0.01);
    let rows = vec![row(0, outside.address, EndpointState::Ready)];
    let publisher = Publisher::start(&stage, unused_address(), rows).unwrap();
    let own = format!("{}/32", publisher.address.ip());
    let within = format!(
        "publisher: \"{}\", allowedNetworks: [\"{own}\", \"10.0.0.0/8\"]",
        publisher.address
    );
    // The executor's own address is let out of the list once the file was checked.
    for (networks, expected) in [(within.clone(), 200), (within.replace(&own, "::1/128"), 0)] {
        if expected == 0 {
            let faults = Deployment::parse(&description(&networks, ""))
                .expect_err("the publisher is outside");
            assert!(
                faults[0]
                    .message
                    .contains("in none of the allowed networks"),
                "{faults:?}"
            );
            continue;
        }
        let gateway = gateway(description(&networks, ""));
        let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
        assert_eq!(
            status(&on(&stage, caller.invoke(&ask("a", LOOK)))),
            expected
        );
        gateway.end();
    }
    let far = row(1, "192.0.2.7:7000".parse().unwrap(), EndpointState::Ready);
    let publisher = Publisher::start(&stage, unused_address(), vec![far]).unwrap();
    let within = format!(
        "publisher: \"{}\", allowedNetworks: [\"127.0.0.0/8\"]",
        publisher.address
    );
    let gateway = gateway(description(&within, ""));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    let heard = on(
        &stage,
        caller.invoke(&ClientRequest {
            timeout: 0.5,
            ..ask("b", ACT)
        }),
    );
    assert_eq!(status(&heard), 503, "{heard:?}");
    assert_eq!(gateway.end().dispatches, 0);
}
