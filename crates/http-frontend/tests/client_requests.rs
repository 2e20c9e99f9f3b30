//! Tests of difficult client behaviour, drains and shutdowns. Each test has its own front end and the smallest set of test
//! servers that reproduces the case.

mod gateway_kit;

use async_io::Async;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use gateway_kit::{
    IDEMPOTENT, NON_IDEMPOTENT, deployment_text, endpoint, executor, executor_list, gateway,
    invoke_all, request, run, status,
};
use orchidtally_deployment::Deployment;
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use orchidtally_test_servers::publisher::Publisher;
use orchidtally_test_servers::{TestEnvironment, unused_address};
use std::net::TcpStream;

#[test]
fn invocations_waiting_for_a_load_move_to_another_executor_when_theirs_drains() {
    let environment = TestEnvironment::new(1);
    // Both executors load slowly; the one that receives the load command drains.
    let two = [
        executor(&environment, 0, 0.8),
        executor(&environment, 1, 0.8),
    ];
    let endpoints = two
        .iter()
        .map(|e| endpoint(e.spec.number, e.address, EndpointState::Ready))
        .collect();
    let publisher = Publisher::start(&environment, unused_address(), endpoints).unwrap();
    publisher.max_delay.set(0.0);
    let gateway = gateway(deployment_text(
        &format!("publisher: \"{}\"", publisher.address),
        "",
    ));
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    let (outcomes, drained, drained_at) = run(&environment, async {
        environment.sleep(0.2).await;
        let requests = (0..20)
            .map(|n| request(&format!("a{n}"), IDEMPOTENT))
            .collect();
        let work = invoke_all(&environment, &client, requests);
        let drain = async {
            environment.sleep(0.3).await;
            let ordered = environment.records().iter().find_map(|r| match r {
                TrafficRecord::LoadCommandArrived { executor, .. } => Some(*executor),
                _ => None,
            });
            let drained = ordered.expect("a load command has arrived");
            two[drained].draining.set(true);
            publisher.update_state(drained, EndpointState::Draining, f64::NEG_INFINITY);
            (drained, environment.now())
        };
        let (outcomes, (drained, drained_at)) = futures_lite::future::zip(work, drain).await;
        (outcomes, drained, drained_at)
    });
    assert!(outcomes.iter().all(|h| status(h) == 200), "{outcomes:?}");
    let was_dispatched_late = environment.records().iter().any(|r| match r {
        TrafficRecord::DispatchArrived { at, executor, .. } => {
            *executor == drained && *at > drained_at + 0.1
        }
        _ => false,
    });
    assert!(
        !was_dispatched_late,
        "an invocation was dispatched to the draining executor"
    );
    assert_eq!(gateway.end().succeeded, 20);
}

#[test]
fn a_client_that_disconnects_during_a_load_is_cancelled_and_the_replica_is_used() {
    let environment = TestEnvironment::new(1);
    let one = executor(&environment, 0, 0.5);
    let gateway = gateway(deployment_text(&executor_list(&[one.address]), ""));
    run(&environment, async {
        for is_http1 in [true, false] {
            let client = TestClient::new(&environment, 0, 0, gateway.address, is_http1);
            let function = format!("f-{is_http1}");
            let cancelled = ClientRequest {
                function: function.clone(),
                cancel_after: Some(0.15),
                ..request("leaves", NON_IDEMPOTENT)
            };
            assert_eq!(client.invoke(&cancelled).await, ClientOutcome::Cancelled);
            environment.sleep(0.6).await;
            let next = ClientRequest {
                function,
                timeout: 0.4,
                ..request("next", NON_IDEMPOTENT)
            };
            assert_eq!(
                status(&client.invoke(&next).await),
                200,
                "the replica is loaded"
            );
        }
    });
    let ran = environment
        .records()
        .iter()
        .filter(|r| matches!(r, TrafficRecord::ExecutionStarted { .. }))
        .count();
    assert_eq!(ran, 2, "a cancelled invocation was dispatched");
    let counters = gateway.end();
    assert_eq!(
        (
            counters.admitted,
            counters.cancelled_by_client,
            counters.succeeded
        ),
        (4, 2, 2)
    );
}

#[test]
fn a_slow_upload_blocks_no_other_request_and_times_out() {
    let environment = TestEnvironment::new(1);
    let one = executor(&environment, 0, 0.01);
    let gateway = gateway(deployment_text(&executor_list(&[one.address]), ""));
    run(&environment, async {
        let mut slow = Async::<TcpStream>::connect(gateway.address).await.unwrap();
        let head = b"POST /v1/functions/f/invocations HTTP/1.1\r\nhost: x\r\n\
                     orchidtally-trigger-type: act\r\ncontent-length: 100\r\n\r\nhalf";
        slow.write_all(head).await.unwrap();
        let client = TestClient::new(&environment, 0, 0, gateway.address, false);
        let requests = (0..20)
            .map(|n| request(&format!("a{n}"), IDEMPOTENT))
            .collect();
        let outcomes = invoke_all(&environment, &client, requests).await;
        assert!(outcomes.iter().all(|h| status(h) == 200), "{outcomes:?}");
        let mut answer = vec![0; 12];
        slow.read_exact(&mut answer).await.unwrap();
        assert_eq!(answer, b"HTTP/1.1 408");
    });
    assert_eq!(gateway.end().admitted, 20, "the slow request was admitted");
}

/// Guards against bodies of many clients that stop half way, each within its limit, which fill the memory.
#[test]
fn bodies_of_many_slow_uploads_are_turned_away_past_their_common_limit() {
    const UPLOADS: usize = 20;
    const BODY_BYTES: usize = 100 * 1024;
    const HELD_BODIES: usize = 10;
    let environment = TestEnvironment::new(1);
    let executor = executor(&environment, 0, 0.0);
    let text = deployment_text(&executor_list(&[executor.address]), "");
    let limit = format!("heldBodyBytes: \"{}KiB\", bodyBytes", HELD_BODIES * 100);
    let gateway = gateway(text.replace("bodyBytes", &limit));
    let turned_away = run(&environment, async {
        let mut uploads = vec![];
        for _ in 0..UPLOADS {
            let mut upload = Async::<TcpStream>::connect(gateway.address).await.unwrap();
            let head = format!(
                "POST /v1/functions/f/invocations HTTP/1.1\r\nhost: g\r\norchidtally-trigger-type: look\r\ncontent-length: {}\r\n\r\n",
                BODY_BYTES + 1
            );
            upload.write_all(head.as_bytes()).await.unwrap();
            // Fails if the upload is turned away before it is sent.
            let _ = upload.write_all(&vec![b'x'; BODY_BYTES]).await;
            uploads.push(upload);
        }
        let mut turned_away = 0;
        for mut upload in uploads {
            let mut answer = vec![0; 12];
            upload.read_exact(&mut answer).await.unwrap();
            turned_away += usize::from(answer.ends_with(b"503"));
        }
        // The uploads have timed out, and what they held is free again.
        let client = TestClient::new(&environment, 0, 0, gateway.address, false);
        let outcomes = invoke_all(&environment, &client, vec![request("a", IDEMPOTENT)]).await;
        assert_eq!(status(&outcomes[0]), 200, "{outcomes:?}");
        turned_away
    });
    assert_eq!(turned_away, UPLOADS - HELD_BODIES);
    gateway.end();
}

#[test]
fn malformed_requests_get_a_4xx_status_and_reach_no_executor() {
    let environment = TestEnvironment::new(1);
    let one = executor(&environment, 0, 0.01);
    let more = "customers: [{ name: \"known\", share: 10 }],";
    let gateway = gateway(deployment_text(&executor_list(&[one.address]), more));
    run(&environment, async {
        let client = TestClient::new(&environment, 0, 0, gateway.address, false);
        let known = ClientRequest {
            customer: "known".into(),
            ..request("a", IDEMPOTENT)
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
        for (request, expected) in cases {
            let outcome = client.invoke(&request).await;
            assert_eq!(status(&outcome), expected, "{request:?}: {outcome:?}");
        }
    });
    let dispatched = environment
        .records()
        .iter()
        .filter(|r| matches!(r, TrafficRecord::DispatchArrived { .. }))
        .count();
    assert_eq!(dispatched, 1);
    assert_eq!(gateway.end().admitted, 1);
}

#[test]
fn a_stopping_front_end_answers_open_invocations_and_accepts_no_connections() {
    let environment = TestEnvironment::new(1);
    let one = executor(&environment, 0, 0.6);
    let gateway = gateway(deployment_text(&executor_list(&[one.address]), ""));
    let at = gateway.address;
    let client = TestClient::new(&environment, 0, 0, at, false);
    run(&environment, async {
        let requests = (0..10)
            .map(|n| request(&format!("a{n}"), NON_IDEMPOTENT))
            .collect();
        let stop = async {
            environment.sleep(0.2).await;
            gateway.stop.close();
            environment.sleep(0.1).await;
            let refused =
                orchidtally_socket_io::connect(at, std::time::Duration::from_secs(1)).await;
            assert!(refused.is_err(), "the front end still accepts connections");
        };
        let (outcomes, ()) =
            futures_lite::future::zip(invoke_all(&environment, &client, requests), stop).await;
        assert!(outcomes.iter().all(|h| status(h) == 200), "{outcomes:?}");
    });
    assert_eq!(gateway.end().succeeded, 10);
}

#[test]
fn two_front_ends_with_the_same_index_are_reported() {
    let environment = TestEnvironment::new(1);
    let one = executor(&environment, 0, 0.01);
    let two = [1, 2].map(|_| gateway(deployment_text(&executor_list(&[one.address]), "")));
    // The incarnations are the seeds, which differ as in production.
    let front_end_status = run(&environment, async {
        for round in 0..3 {
            for (n, gateway) in two.iter().enumerate() {
                let client = TestClient::new(&environment, 0, 0, gateway.address, false);
                assert_eq!(
                    status(
                        &client
                            .invoke(&request(&format!("{round}-{n}"), IDEMPOTENT))
                            .await
                    ),
                    200
                );
            }
        }
        let mut socket = Async::<TcpStream>::connect(two[0].address).await.unwrap();
        let request = b"GET /v1/front-end HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        socket.write_all(request).await.unwrap();
        let mut text = String::new();
        socket.read_to_string(&mut text).await.unwrap();
        text
    });
    assert!(
        front_end_status.contains("\"indexTaken\":")
            && !front_end_status.contains("\"indexTaken\":0"),
        "{front_end_status}"
    );
    for gateway in two {
        gateway.end();
    }
}

#[test]
fn an_executor_outside_the_allowed_networks_is_never_used() {
    let environment = TestEnvironment::new(1);
    let outside = executor(&environment, 0, 0.01);
    let endpoints = vec![endpoint(0, outside.address, EndpointState::Ready)];
    let publisher = Publisher::start(&environment, unused_address(), endpoints).unwrap();
    let publisher_network = format!("{}/32", publisher.address.ip());
    let source = format!(
        "publisher: \"{}\", allowedNetworks: [\"{publisher_network}\", \"10.0.0.0/8\"]",
        publisher.address
    );
    // The second case excludes the address that the publisher and the executor share.
    for (networks, expected) in [
        (source.clone(), 200),
        (source.replace(&publisher_network, "::1/128"), 0),
    ] {
        if expected == 0 {
            let faults = Deployment::parse(&deployment_text(&networks, ""))
                .expect_err("the publisher is outside");
            assert!(
                faults[0]
                    .message
                    .contains("in none of the allowed networks"),
                "{faults:?}"
            );
            continue;
        }
        let gateway = gateway(deployment_text(&networks, ""));
        let client = TestClient::new(&environment, 0, 0, gateway.address, false);
        assert_eq!(
            status(&run(&environment, client.invoke(&request("a", IDEMPOTENT)))),
            expected
        );
        gateway.end();
    }
    let outside_endpoint = endpoint(1, "192.0.2.7:7000".parse().unwrap(), EndpointState::Ready);
    let publisher =
        Publisher::start(&environment, unused_address(), vec![outside_endpoint]).unwrap();
    let source = format!(
        "publisher: \"{}\", allowedNetworks: [\"127.0.0.0/8\"]",
        publisher.address
    );
    let gateway = gateway(deployment_text(&source, ""));
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    let outcome = run(
        &environment,
        client.invoke(&ClientRequest {
            timeout: 0.5,
            ..request("b", NON_IDEMPOTENT)
        }),
    );
    assert_eq!(status(&outcome), 503, "{outcome:?}");
    assert_eq!(gateway.end().dispatches, 0);
}
