//! Days of the platform's front end: the real program between executors, a resolver and clients of the project's
//! own, with faults by script; the five rules are judged by the invariant checker from what went over the sockets.

mod day;

use async_io::Async;
use day::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_platform_client_protocol as frames;
use orchidtally_test_servers::platform::{ClientRequest, ResponseFault};
use serde_json::{Value, json};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

#[test]
fn a_calm_day_is_served_and_keeps_the_rules() {
    let (verdict, succeeded) = play("calm", 2, 3.0, |_| async {});
    assert!(
        verdict.rules[4].checked > 0,
        "orders were given: {verdict:?}"
    );
    kept("calm", (verdict, succeeded), 0.98);
}

#[test]
fn spoilt_answers_and_broken_connections_keep_the_rules() {
    for (spoil, least) in [
        (ResponseFault::ResetUnread, 0.8),
        (ResponseFault::CutShort, 0.8),
        (ResponseFault::Garbage, 0.8),
        (ResponseFault::InvalidBody, 0.8),
        (ResponseFault::Duplicated, 0.98),
        (ResponseFault::Dropped, 0.8),
    ] {
        let name = format!("{spoil:?}");
        let day = play(&name, 2, 1.6, |day| async move {
            day.executors
                .iter()
                .for_each(|e| e.faults.response_fault.set(Some((spoil, 0.1))));
        });
        kept(&name, day, least);
    }
}

#[test]
fn a_machine_that_vanishes_and_comes_back_keeps_the_rules() {
    let day = play("silent", 2, 3.0, |day| async move {
        day.stage.sleep(0.8).await;
        day.executors[2].go_silent(1.5);
    });
    kept("silent", day, 0.7);
}

#[test]
fn a_front_end_told_to_end_and_one_killed_keep_the_rules() {
    let day = play("restart", 3, 3.0, |day| async move {
        day.stage.sleep(0.8).await;
        day.signal(0, "TERM");
        let at = day.stage.now();
        day.stage
            .record(TrafficRecord::FrontEndKilled { at, front_end: 1 });
        let killed = day.processes.borrow_mut()[1].take();
        let mut killed = killed.expect("it runs");
        killed.kill().unwrap();
        killed.wait().unwrap();
        day.start(1).await;
        day.stage.sleep(1.2).await;
        let code = day.processes.borrow_mut()[0]
            .as_mut()
            .and_then(|p| p.try_wait().unwrap());
        assert_eq!(code.and_then(|c| c.code()), Some(0), "it ended by itself");
        day.start(0).await;
    });
    kept("restart", day, 0.9);
}

/// Says lines to an executor under a front end's address, as one that breaks the rules would.
async fn say(day: &Day, executor: usize, lines: impl IntoIterator<Item = Value>) {
    let mut stream = Async::<TcpStream>::connect(day.executors[executor].addresses[0])
        .await
        .unwrap();
    for line in lines {
        stream
            .write_all(format!("{line}\n").as_bytes())
            .await
            .unwrap();
    }
    day.stage.sleep(0.3).await;
}

fn invoked(id: u64, service: &str) -> Value {
    let fields = json!({"cls": service, "item": "0000000000000001", "limit": 1000, "nonce": format!("{id:032x}")});
    json!({"t": "DO", "i": format!("{id:016x}"), "f": fields, "b": ""})
}

/// A front end that takes one invocation and answers it so many times.
async fn answers(listener: Async<TcpListener>, times: usize) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut invocation = [0; 1_024];
    let _ = stream.read(&mut invocation).await.unwrap();
    let mut out = vec![];
    (0..times).for_each(|_| {
        frames::write_frame(
            &mut out,
            frames::RESPONSE,
            1,
            Some(frames::ERRORED),
            Some(&[]),
            &[],
        )
    });
    stream.write_all(&out).await.unwrap();
    future::pending().await
}

/// What the invariant checker finds of a script without a front end: the rules that are broken.
fn broken<F: Future<Output = ()>>(script: impl FnOnce(Rc<Day>) -> F) -> Vec<u8> {
    let day = Day::new("planted", 1, 5);
    day.lives.begin(0);
    day.resolver.initial_list(0);
    async_io::block_on(day.stage.tasks.run(script(day.clone())));
    day.verdict()
        .rules
        .iter()
        .filter(|r| r.violations > 0)
        .map(|r| r.rule)
        .collect()
}

async fn ask_rogue(day: Rc<Day>, times: usize) {
    let listener = Async::<TcpListener>::bind(day.at[0]).unwrap();
    day.stage.spawn(answers(listener, times)).detach();
    let ask = ClientRequest {
        id: 1,
        trigger_type: (0, "read"),
        function: 1,
        timeout: 0.3,
        body: vec![],
    };
    day.clients[0].invoke(&ask).await;
}

/// The checks can fail: each of these breaks one rule, and nothing is found where none is broken.
#[test]
fn planted_breaches_are_found() {
    assert_eq!(broken(|day| ask_rogue(day, 0)), [1], "never answered");
    assert!(broken(|day| ask_rogue(day, 1)).is_empty());
    assert_eq!(broken(|day| ask_rogue(day, 2)), [1], "answered twice");
    for (service, to, found) in [
        ("command", 1, &[2][..]),
        ("update", 2, &[2]),
        ("update", 1, &[]),
        ("read", 5, &[]),
    ] {
        let found_now = broken(|day| async move {
            say(&day, 0, [invoked(1, service)]).await;
            say(&day, to, [invoked(1, service)]).await;
        });
        assert_eq!(found_now, found, "{service} again at executor {to}");
    }
    for (standing, found) in [
        (EndpointState::Draining, &[3][..]),
        (EndpointState::Gone, &[3]),
        (EndpointState::Ready, &[]),
    ] {
        let found_now = broken(|day| async move {
            day.change(0, standing);
            day.resolver.initial_list(0);
            day.stage.sleep(GRACE + 0.2).await;
            say(&day, 0, [invoked(1, "read")]).await;
        });
        assert_eq!(found_now, found, "sent to one told {standing:?}");
    }
    for (dispatches, found) in [(20, &[][..]), (40, &[4])] {
        let found_now = broken(|day| async move {
            day.change(0, EndpointState::Gone);
            day.resolver.initial_list(0);
            day.executors[0].started_at.set(day.stage.now());
            day.change(0, EndpointState::Ready);
            day.resolver.initial_list(0);
            say(&day, 0, (0..dispatches).map(|n| invoked(n, "read"))).await;
        });
        assert_eq!(found_now, found, "{dispatches} sent to a cold one");
    }
    for (orders, found) in [(4, &[][..]), (6, &[5])] {
        let order = |n| json!({"t": "PIN", "i": format!("order-{n}"), "f": {"item": "0000000000000001", "count": 1}});
        let found_now = broken(|day| async move { say(&day, 0, (0..orders).map(order)).await });
        assert_eq!(found_now, found, "{orders} orders");
    }
}
