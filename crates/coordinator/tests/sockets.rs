//! Hard cases of rollouts on sockets: coordinators, front ends and executors in one process, on threads.

mod kit;

use http::Method;
use kit::{
    ACT, ALL_AT_ONCE, LOOK, NEW, OLD, ask, folder, free, gateway, gateway_ahead, on, order, phase,
    plan, plan_of, start_coordinator, succeeded, world,
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
fn taken_back_while_executors_still_load_what_waits_goes_to_the_old_version_at_once() {
    let at = free();
    // The ration has no order to spare for copies ahead, so that the first invocations bring them.
    let w = world(&[at], "rationFloor: 1");
    let coordinator = start_coordinator(&w.text, at, &folder("loading"));
    let gateway = gateway(&w.text);
    let caller = TestClient::new(&w.stage, 0, 0, gateway.at, false);
    w.load.set(1.5);
    let taken_back = Cell::new(0.0);
    on(&w.stage, async {
        w.until_runs(&caller, "before", OLD).await;
        assert_eq!(order(at, plan(ALL_AT_ONCE)).await.0, 200);
        w.stage.sleep(0.8).await;
        // Both effects: nothing of what waits has run.
        let asks: Vec<_> = (0..10)
            .map(|n| ask(&format!("w{n}"), if n % 2 == 0 { LOOK } else { ACT }))
            .collect();
        let tasks: Vec<_> = asks
            .into_iter()
            .map(|ask| {
                let caller = caller.clone();
                w.stage.spawn(async move { caller.invoke(&ask).await })
            })
            .collect();
        w.stage.sleep(0.3).await;
        let none = (0..10).all(|n| w.ran(&format!("w{n}")).is_empty());
        assert!(none, "they wait on the load");
        assert_eq!(
            order(
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
        taken_back.set(w.stage.now());
        // The one whose dispatch loads the version ends there; those that waited on it don't wait any longer.
        for task in tasks {
            let heard = task.await;
            assert!(succeeded(&heard), "{heard:?}");
        }
        let new = (0..10)
            .filter(|n| w.ran(&format!("w{n}")) == [digest(NEW)])
            .count();
        assert!(new <= 1, "{new} ran the new version");
        // Started again within seconds, and taken back again while the first load may still be under way.
        assert_eq!(order(at, plan(ALL_AT_ONCE)).await.0, 200);
        w.stage.sleep(0.2).await;
        assert_eq!(
            order(
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
        w.stage.sleep(0.3).await;
        assert!(succeeded(&caller.invoke(&ask("after", ACT)).await));
    });
    let ended = |n: usize| {
        let name = format!("w{n}");
        let at = |r: &TrafficRecord| {
            matches!(r, TrafficRecord::ExecutionStarted { invocation, .. } if *invocation == name)
                .then(|| r.at())
        };
        w.stage.records().iter().find_map(at).unwrap()
    };
    let soon = (0..10)
        .filter(|&n| ended(n) < taken_back.get() + 0.5)
        .count();
    assert!(
        soon >= 9,
        "{soon} of 10 ran within half a second of the word"
    );
    let moved = (0..10)
        .filter(|n| w.ran(&format!("w{n}")) == [digest(OLD)])
        .count();
    assert!(moved >= 9, "{moved} ran once, the old version");
    assert_eq!(w.ran("after"), [digest(OLD)]);
    gateway.end();
    assert_eq!(coordinator.end(), StopReason::Stopped);
}

#[test]
fn an_alias_that_moves_changes_nothing_for_what_is_out_and_all_for_what_comes_after() {
    let at = free();
    let w = world(&[at], "rationFloor: 4");
    let coordinator = start_coordinator(&w.text, at, &folder("alias"));
    let gateway = gateway(&w.text);
    let caller = TestClient::new(&w.stage, 0, 0, gateway.at, false);
    on(&w.stage, async {
        w.until_runs(&caller, "before", OLD).await;
        let steps = "{ share: 0.5, leastTime: '300ms', leastEvidence: 5 }, { share: 1, leastTime: '300ms', leastEvidence: 5 }";
        assert_eq!(order(at, plan(steps)).await.0, 200);
        let mut n = 0;
        while phase(at).await != Some(Phase::Finished) {
            let name = format!("during-{n}");
            assert!(succeeded(&caller.invoke(&ask(&name, ACT)).await));
            assert_eq!(w.ran(&name).len(), 1, "each effect once");
            n += 1;
            w.stage.sleep(0.005).await;
        }
        assert!(n > 20, "{n} were offered during the rollout");
        w.stage.sleep(0.3).await;
        let heard = caller.invoke(&ask("after", LOOK)).await;
        assert!(succeeded(&heard), "{heard:?}");
        assert_eq!(w.ran("after"), [digest(NEW)]);
        // A digest names what it names, whatever the aliases do.
        let named = ClientRequest {
            function: format!("f@sha256:{}", digest(OLD)),
            ..ask("named", LOOK)
        };
        assert!(succeeded(&caller.invoke(&named).await));
        assert_eq!(w.ran("named"), [digest(OLD)]);
    });
    gateway.end();
    coordinator.end();
    let (_, kept) =
        recover(&PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("coordinator-alias")).unwrap();
    assert_eq!(
        kept.published.aliases["f"]["stable"],
        digest(NEW),
        "it outlives the process"
    );
}

#[test]
fn a_coordinator_that_is_gone_holds_the_step_and_says_the_same_when_it_is_back() {
    let (at, kept) = (free(), folder("gone"));
    let w = world(&[at], "rationFloor: 4");
    let first = start_coordinator(&w.text, at, &kept);
    let one = gateway(&w.text);
    let caller = TestClient::new(&w.stage, 0, 0, one.at, false);
    on(&w.stage, async {
        w.until_runs(&caller, "before", OLD).await;
        assert_eq!(order(at, plan(ALL_AT_ONCE)).await.0, 200);
        w.until_runs(&caller, "shifted", NEW).await;
    });
    assert_eq!(first.end(), StopReason::Stopped);
    // One that starts while nobody says how the rollout stands serves the old version.
    let late = gateway(&w.text);
    let late_caller = TestClient::new(&w.stage, 1, 0, late.at, false);
    on(&w.stage, async {
        assert!(succeeded(&caller.invoke(&ask("held", LOOK)).await));
        assert!(succeeded(&late_caller.invoke(&ask("late", LOOK)).await));
    });
    assert_eq!(
        (w.ran("held"), w.ran("late")),
        (vec![digest(NEW)], vec![digest(OLD)])
    );
    let second = start_coordinator(&w.text, at, &kept);
    on(&w.stage, async {
        w.until_runs(&late_caller, "later", NEW).await;
        assert_eq!(phase(at).await, Some(Phase::Shifting));
        let (status, told) = order(at, plan(ALL_AT_ONCE)).await;
        assert!(
            status == 409 && told.contains("is in progress"),
            "{status} {told}"
        );
    });
    late.end();
    one.end();
    second.end();
    let (_, kept) = recover(&kept).unwrap();
    assert_eq!(kept.published.epoch.term, 2);
    assert_eq!(
        kept.runs["r"].history.len(),
        2,
        "started, then the first step"
    );
}

#[test]
fn of_two_coordinators_the_higher_term_wins_and_the_other_stops() {
    let (a, b) = (free(), free());
    let (first, second) = (folder("first"), folder("second"));
    let w = world(&[a, b], "rationFloor: 4");
    // The second one has had terms before.
    for _ in 0..3 {
        start_coordinator(&w.text, b, &second).end();
    }
    let one = start_coordinator(&w.text, a, &first);
    let gateway = gateway(&w.text);
    let caller = TestClient::new(&w.stage, 0, 0, gateway.at, false);
    on(&w.stage, async {
        w.until_runs(&caller, "before", OLD).await;
        assert_eq!(order(a, plan(ALL_AT_ONCE)).await.0, 200);
        w.until_runs(&caller, "shifted", NEW).await;
    });
    let two = start_coordinator(&w.text, b, &second);
    match one.thread.join().unwrap().unwrap() {
        StopReason::Superseded(epoch) => assert_eq!(epoch.term, 4),
        other => panic!("{other:?}"),
    }
    on(&w.stage, async {
        // What the second one doesn't know is not given any more.
        w.until_runs(&caller, "after", OLD).await;
        assert_eq!(order(b, plan(ALL_AT_ONCE)).await.0, 200);
        w.until_runs(&caller, "again", NEW).await;
    });
    assert_eq!(w.executors.len(), 2);
    gateway.end();
    two.end();
}

#[test]
fn ten_rollouts_at_once_on_front_ends_whose_clocks_are_a_second_apart_come_to_their_ends() {
    let at = free();
    let w = world(&[at], "rationFloor: 30, rationWindow: '5s'");
    let coordinator = start_coordinator(&w.text, at, &folder("ten"));
    let gateways = [gateway_ahead(&w.text, -0.5), gateway_ahead(&w.text, 0.5)];
    let callers: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(n, g)| TestClient::new(&w.stage, n as u32, n as u32, g.at, false))
        .collect();
    let steps = "{ share: 0.5, leastTime: '300ms', leastEvidence: 5 }, { share: 1, leastTime: '300ms', leastEvidence: 5 }";
    on(&w.stage, async {
        for n in 0..10 {
            assert_eq!(
                order(at, plan_of(&format!("r{n}"), &format!("g{n}"), 3.0, steps))
                    .await
                    .0,
                200
            );
        }
        assert_eq!(
            order(
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
            for caller in &callers {
                let name = format!("t{n}");
                let asked = ClientRequest {
                    function: format!("g{}", n % 10),
                    ..ask(&name, ACT)
                };
                assert!(succeeded(&caller.invoke(&asked).await));
                assert_eq!(w.ran(&name).len(), 1, "each effect once");
                n += 1;
            }
        }
        w.stage.sleep(0.3).await;
        for (g, caller) in (0..10).flat_map(|g| callers.iter().map(move |c| (g, c))) {
            let name = format!("last-{g}-{}", caller.number);
            let asked = ClientRequest {
                function: format!("g{g}"),
                ..ask(&name, LOOK)
            };
            assert!(succeeded(&caller.invoke(&asked).await));
            let wanted = if g == 3 { OLD } else { NEW };
            assert_eq!(w.ran(&name), [digest(wanted)]);
        }
    });
    for gateway in gateways {
        gateway.end();
    }
    coordinator.end();
}
