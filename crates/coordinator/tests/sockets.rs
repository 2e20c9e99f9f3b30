//! Rollouts over sockets: rollback during loads, alias moves, and restarts and conflicts of coordinators. All processes
//! run as threads of the test.

mod kit;

use http::Method;
use kit::{
    FULL_SHARE_STEP, IDEMPOTENT, NEW, NON_IDEMPOTENT, OLD, empty_directory, free_address, phase,
    plan, plan_of, request, run_with_timeout, send_request, start_cluster, start_coordinator,
    start_front_end, start_front_end_ahead, succeeded,
};
use orchidtally_coordinator::{OperatorRequest, StopReason, recover};
use orchidtally_invariants::TrafficRecord;
use orchidtally_rollout::Phase;
use orchidtally_socket_io::http::fetch as http_fetch;
use orchidtally_test_servers::client::{ClientRequest, TestClient};
use orchidtally_test_servers::executor::digest;
use std::cell::Cell;
use std::path::PathBuf;
use std::time::Duration;

#[test]
fn invocations_that_wait_on_a_load_move_to_the_old_version_at_a_rollback() {
    let at = free_address();
    // The load budget leaves no load command for prewarming, so the first invocations load the new version.
    let cluster = start_cluster(&[at], "rationFloor: 1");
    let coordinator = start_coordinator(&cluster.text, at, &empty_directory("loading"));
    let front_end = start_front_end(&cluster.text);
    let client = TestClient::new(&cluster.environment, 0, 0, front_end.at, false);
    cluster.load_time.set(1.5);
    let rolled_back_at = Cell::new(0.0);
    run_with_timeout(&cluster.environment, async {
        cluster
            .invoke_until_executed_by(&client, "before", OLD)
            .await;
        assert_eq!(send_request(at, plan(FULL_SHARE_STEP)).await.0, 200);
        cluster.environment.sleep(0.8).await;
        // Idempotent and non-idempotent invocations: none of them runs while it waits on the load.
        let requests: Vec<_> = (0..10)
            .map(|n| {
                request(
                    &format!("w{n}"),
                    if n % 2 == 0 {
                        IDEMPOTENT
                    } else {
                        NON_IDEMPOTENT
                    },
                )
            })
            .collect();
        let tasks: Vec<_> = requests
            .into_iter()
            .map(|request| {
                let client = client.clone();
                cluster
                    .environment
                    .spawn(async move { client.invoke(&request).await })
            })
            .collect();
        cluster.environment.sleep(0.3).await;
        let none = (0..10).all(|n| cluster.executed_digests(&format!("w{n}")).is_empty());
        assert!(none, "an invocation ran during the load");
        assert_eq!(
            send_request(
                at,
                OperatorRequest::RollBack {
                    name: "r".into(),
                    reason: "a test".into()
                }
            )
            .await
            .0,
            200
        );
        rolled_back_at.set(cluster.environment.now());
        // The invocation whose dispatch loads the version may run there; those that wait on the load move at once.
        for task in tasks {
            let outcome = task.await;
            assert!(succeeded(&outcome), "{outcome:?}");
        }
        let new = (0..10)
            .filter(|n| cluster.executed_digests(&format!("w{n}")) == [digest(NEW)])
            .count();
        assert!(new <= 1, "{new} ran the new version");
        // Start and roll back again while the first load may still be in progress.
        assert_eq!(send_request(at, plan(FULL_SHARE_STEP)).await.0, 200);
        cluster.environment.sleep(0.2).await;
        assert_eq!(
            send_request(
                at,
                OperatorRequest::RollBack {
                    name: "r".into(),
                    reason: "again".into()
                }
            )
            .await
            .0,
            200
        );
        cluster.environment.sleep(0.3).await;
        assert!(succeeded(
            &client.invoke(&request("after", NON_IDEMPOTENT)).await
        ));
    });
    let ended = |n: usize| {
        let name = format!("w{n}");
        let at = |r: &TrafficRecord| {
            matches!(r, TrafficRecord::ExecutionStarted { invocation, .. } if *invocation == name)
                .then(|| r.at())
        };
        cluster.environment.records().iter().find_map(at).unwrap()
    };
    let prompt = (0..10)
        .filter(|&n| ended(n) < rolled_back_at.get() + 0.5)
        .count();
    assert!(
        prompt >= 9,
        "{prompt} of 10 ran within half a second of the rollback"
    );
    let moved = (0..10)
        .filter(|n| cluster.executed_digests(&format!("w{n}")) == [digest(OLD)])
        .count();
    assert!(
        moved >= 9,
        "{moved} of 10 ran exactly once, on the old version"
    );
    assert_eq!(cluster.executed_digests("after"), [digest(OLD)]);
    front_end.stop_and_join();
    assert_eq!(coordinator.stop_and_join(), StopReason::Stopped);
}

#[test]
fn a_finished_rollout_moves_the_alias_without_repeating_invocations() {
    let at = free_address();
    let cluster = start_cluster(&[at], "rationFloor: 4");
    let coordinator = start_coordinator(&cluster.text, at, &empty_directory("alias"));
    let front_end = start_front_end(&cluster.text);
    let client = TestClient::new(&cluster.environment, 0, 0, front_end.at, false);
    run_with_timeout(&cluster.environment, async {
        cluster
            .invoke_until_executed_by(&client, "before", OLD)
            .await;
        let steps = "{ share: 0.5, leastTime: '300ms', leastEvidence: 5 }, { share: 1, leastTime: '300ms', leastEvidence: 5 }";
        assert_eq!(send_request(at, plan(steps)).await.0, 200);
        let mut n = 0;
        while phase(at).await != Some(Phase::Finished) {
            let name = format!("during-{n}");
            assert!(succeeded(
                &client.invoke(&request(&name, NON_IDEMPOTENT)).await
            ));
            assert_eq!(
                cluster.executed_digests(&name).len(),
                1,
                "each invocation runs once"
            );
            n += 1;
            cluster.environment.sleep(0.005).await;
        }
        assert!(n > 20, "only {n} invocations were sent during the rollout");
        cluster.environment.sleep(0.3).await;
        let outcome = client.invoke(&request("after", IDEMPOTENT)).await;
        assert!(succeeded(&outcome), "{outcome:?}");
        assert_eq!(cluster.executed_digests("after"), [digest(NEW)]);
        // A digest selects its version regardless of aliases.
        let named = ClientRequest {
            function: format!("f@sha256:{}", digest(OLD)),
            ..request("named", IDEMPOTENT)
        };
        assert!(succeeded(&client.invoke(&named).await));
        assert_eq!(cluster.executed_digests("named"), [digest(OLD)]);
    });
    front_end.stop_and_join();
    coordinator.stop_and_join();
    let (_, recovered) =
        recover(&PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("coordinator-alias")).unwrap();
    assert_eq!(
        recovered.published.aliases["f"]["stable"],
        digest(NEW),
        "the moved alias is persisted"
    );
}

#[test]
fn a_stopped_coordinator_holds_the_step_and_publishes_it_again_after_its_restart() {
    let (at, directory) = (free_address(), empty_directory("gone"));
    let cluster = start_cluster(&[at], "rationFloor: 4");
    let first = start_coordinator(&cluster.text, at, &directory);
    let one = start_front_end(&cluster.text);
    let client = TestClient::new(&cluster.environment, 0, 0, one.at, false);
    run_with_timeout(&cluster.environment, async {
        cluster
            .invoke_until_executed_by(&client, "before", OLD)
            .await;
        assert_eq!(send_request(at, plan(FULL_SHARE_STEP)).await.0, 200);
        cluster
            .invoke_until_executed_by(&client, "shifted", NEW)
            .await;
    });
    assert_eq!(first.stop_and_join(), StopReason::Stopped);
    // A front end that starts while no coordinator is reachable serves the old version.
    let late = start_front_end(&cluster.text);
    let late_client = TestClient::new(&cluster.environment, 1, 0, late.at, false);
    run_with_timeout(&cluster.environment, async {
        assert!(succeeded(
            &client.invoke(&request("held", IDEMPOTENT)).await
        ));
        assert!(succeeded(
            &late_client.invoke(&request("late", IDEMPOTENT)).await
        ));
    });
    assert_eq!(
        (
            cluster.executed_digests("held"),
            cluster.executed_digests("late")
        ),
        (vec![digest(NEW)], vec![digest(OLD)])
    );
    let second = start_coordinator(&cluster.text, at, &directory);
    run_with_timeout(&cluster.environment, async {
        cluster
            .invoke_until_executed_by(&late_client, "later", NEW)
            .await;
        assert_eq!(phase(at).await, Some(Phase::Shifting));
        let (status, body) = send_request(at, plan(FULL_SHARE_STEP)).await;
        assert!(
            status == 409 && body.contains("is in progress"),
            "{status} {body}"
        );
    });
    late.stop_and_join();
    one.stop_and_join();
    second.stop_and_join();
    let (_, recovered) = recover(&directory).unwrap();
    assert_eq!(recovered.published.epoch.term, 2);
    assert_eq!(
        recovered.runs["r"].history.len(),
        2,
        "started, then the first step"
    );
}

#[test]
fn the_coordinator_with_the_lower_term_stops() {
    let (a, b) = (free_address(), free_address());
    let (first, second) = (empty_directory("first"), empty_directory("second"));
    let cluster = start_cluster(&[a, b], "rationFloor: 4");
    // The second coordinator starts with a higher term than the first.
    for _ in 0..3 {
        start_coordinator(&cluster.text, b, &second).stop_and_join();
    }
    let one = start_coordinator(&cluster.text, a, &first);
    let front_end = start_front_end(&cluster.text);
    let client = TestClient::new(&cluster.environment, 0, 0, front_end.at, false);
    run_with_timeout(&cluster.environment, async {
        cluster
            .invoke_until_executed_by(&client, "before", OLD)
            .await;
        assert_eq!(send_request(a, plan(FULL_SHARE_STEP)).await.0, 200);
        cluster
            .invoke_until_executed_by(&client, "shifted", NEW)
            .await;
    });
    let two = start_coordinator(&cluster.text, b, &second);
    match one.thread.join().unwrap().unwrap() {
        StopReason::Superseded(epoch) => assert_eq!(epoch.term, 4),
        other => panic!("{other:?}"),
    }
    run_with_timeout(&cluster.environment, async {
        // The second coordinator doesn't know the rollout, so front ends return to the old version.
        cluster
            .invoke_until_executed_by(&client, "after", OLD)
            .await;
        assert_eq!(send_request(b, plan(FULL_SHARE_STEP)).await.0, 200);
        cluster
            .invoke_until_executed_by(&client, "again", NEW)
            .await;
    });
    assert_eq!(cluster.executors.len(), 2);
    front_end.stop_and_join();
    two.stop_and_join();
}

#[test]
fn ten_concurrent_rollouts_end_on_front_ends_with_a_clock_skew_of_a_second() {
    let at = free_address();
    let cluster = start_cluster(&[at], "rationFloor: 30, rationWindow: '5s'");
    let coordinator = start_coordinator(&cluster.text, at, &empty_directory("ten"));
    let front_ends = [
        start_front_end_ahead(&cluster.text, -0.5),
        start_front_end_ahead(&cluster.text, 0.5),
    ];
    let clients: Vec<_> = front_ends
        .iter()
        .enumerate()
        .map(|(n, g)| TestClient::new(&cluster.environment, n as u32, n as u32, g.at, false))
        .collect();
    let steps = "{ share: 0.5, leastTime: '300ms', leastEvidence: 5 }, { share: 1, leastTime: '300ms', leastEvidence: 5 }";
    run_with_timeout(&cluster.environment, async {
        for n in 0..10 {
            assert_eq!(
                send_request(at, plan_of(&format!("r{n}"), &format!("g{n}"), 3.0, steps))
                    .await
                    .0,
                200
            );
        }
        assert_eq!(
            send_request(
                at,
                OperatorRequest::RollBack {
                    name: "r3".into(),
                    reason: "a test".into()
                }
            )
            .await
            .0,
            200
        );
        let over = async || {
            let (_, body) = http_fetch(
                at,
                Method::GET,
                "/v1/rollouts",
                vec![],
                Duration::from_secs(3),
            )
            .await
            .unwrap();
            let value: serde_json::Value = serde_json::from_slice(&body).unwrap();
            let phases = value["rollouts"]
                .as_array()
                .unwrap()
                .iter()
                .map(|r| r["phase"].as_str().unwrap().to_owned());
            let phases: Vec<_> = phases.collect();
            (
                phases.iter().filter(|p| *p == "finished").count(),
                phases.iter().filter(|p| *p == "takenBack").count(),
            )
        };
        let mut n = 0;
        while over().await != (9, 1) {
            for client in &clients {
                let name = format!("t{n}");
                let request = ClientRequest {
                    function: format!("g{}", n % 10),
                    ..request(&name, NON_IDEMPOTENT)
                };
                assert!(succeeded(&client.invoke(&request).await));
                assert_eq!(
                    cluster.executed_digests(&name).len(),
                    1,
                    "each invocation runs once"
                );
                n += 1;
            }
        }
        cluster.environment.sleep(0.3).await;
        for (g, client) in (0..10).flat_map(|g| clients.iter().map(move |c| (g, c))) {
            let name = format!("last-{g}-{}", client.number);
            let request = ClientRequest {
                function: format!("g{g}"),
                ..request(&name, IDEMPOTENT)
            };
            assert!(succeeded(&client.invoke(&request).await));
            let wanted = if g == 3 { OLD } else { NEW };
            assert_eq!(cluster.executed_digests(&name), [digest(wanted)]);
        }
    });
    for front_end in front_ends {
        front_end.stop_and_join();
    }
    coordinator.stop_and_join();
}
