//! Scenarios of platform front ends (the `orchidtally` binary) with test executors, a test resolver and test clients,
//! with scripted faults. The invariant checker checks the five rules against the traffic on the sockets.

mod scenario;

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use orchidtally_invariants::EndpointState;
use orchidtally_platform_client_protocol as frames;
use orchidtally_test_servers::platform::{ClientRequest, ResponseFault};
use scenario::*;
use serde_json::{Value, json};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

#[test]
fn without_faults_invocations_succeed_and_no_rule_is_broken() {
    let (verdict, succeeded) = run_scenario("calm", 2, 3.0, |_| async {});
    assert!(
        verdict.rules[4].checked > 0,
        "no load commands were sent: {verdict:?}"
    );
    assert_rules_hold("calm", (verdict, succeeded), 0.98);
}

#[test]
fn invalid_responses_and_broken_connections_break_no_rule() {
    for (response_fault, least) in [
        (ResponseFault::ResetUnread, 0.8),
        (ResponseFault::CutShort, 0.8),
        (ResponseFault::Garbage, 0.8),
        (ResponseFault::InvalidBody, 0.8),
        (ResponseFault::Duplicated, 0.98),
        (ResponseFault::Dropped, 0.8),
    ] {
        let name = format!("{response_fault:?}");
        let outcome = run_scenario(&name, 2, 1.6, |fleet| async move {
            fleet
                .executors
                .iter()
                .for_each(|e| e.faults.response_fault.set(Some((response_fault, 0.1))));
        });
        assert_rules_hold(&name, outcome, least);
    }
}

#[test]
fn an_executor_that_goes_silent_and_returns_breaks_no_rule() {
    let outcome = run_scenario("silent", 2, 3.0, |fleet| async move {
        fleet.environment.sleep(0.8).await;
        fleet.executors[2].go_silent(1.5);
    });
    assert_rules_hold("silent", outcome, 0.7);
}

#[test]
fn a_graceful_shutdown_and_a_kill_of_front_ends_break_no_rule() {
    let outcome = run_scenario("restart", 3, 3.0, |fleet| async move {
        fleet.environment.sleep(0.8).await;
        fleet.signal(0, "TERM");
        fleet.kill(1);
        fleet.start(1).await;
        fleet.environment.sleep(1.2).await;
        let exit_status = fleet.processes.borrow_mut()[0]
            .as_mut()
            .and_then(|p| p.try_wait().unwrap());
        assert_eq!(
            exit_status.and_then(|c| c.code()),
            Some(0),
            "the front end exits by itself after SIGTERM"
        );
        fleet.start(0).await;
    });
    assert_rules_hold("restart", outcome, 0.9);
}

/// Sends lines to an executor at the address for a front end, as a front end that breaks the rules would.
async fn send_lines(fleet: &Fleet, executor: usize, lines: impl IntoIterator<Item = Value>) {
    let mut stream = Async::<TcpStream>::connect(fleet.executors[executor].addresses[0])
        .await
        .unwrap();
    for line in lines {
        stream
            .write_all(format!("{line}\n").as_bytes())
            .await
            .unwrap();
    }
    fleet.environment.sleep(0.3).await;
}

fn dispatch_message(id: u64, service: &str) -> Value {
    let fields = json!({"cls": service, "item": "0000000000000001", "limit": 1000, "nonce": format!("{id:032x}")});
    json!({"t": "DO", "i": format!("{id:016x}"), "f": fields, "b": ""})
}

/// Acts as a front end that accepts one invocation and sends the given number of responses.
async fn send_responses(listener: Async<TcpListener>, times: usize) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut invocation = [0; 1_024];
    let _ = stream.read(&mut invocation).await.unwrap();
    let mut output = vec![];
    (0..times).for_each(|_| {
        frames::write_frame(
            &mut output,
            frames::RESPONSE,
            1,
            Some(frames::ERRORED),
            Some(&[]),
            &[],
        )
    });
    stream.write_all(&output).await.unwrap();
    future::pending().await
}

/// Runs a script without a front end. Returns the rules that the invariant checker finds broken.
fn broken_rules<F: Future<Output = ()>>(script: impl FnOnce(Rc<Fleet>) -> F) -> Vec<u8> {
    let fleet = Fleet::new("injected", 1, 5);
    fleet.incarnations.begin(0);
    fleet.resolver.initial_list(0);
    async_io::block_on(fleet.environment.tasks.run(script(fleet.clone())));
    fleet
        .verdict()
        .rules
        .iter()
        .filter(|r| r.violations > 0)
        .map(|r| r.rule)
        .collect()
}

async fn invoke_with_responses(fleet: Rc<Fleet>, times: usize) {
    let listener = Async::<TcpListener>::bind(fleet.addresses[0]).unwrap();
    fleet
        .environment
        .spawn(send_responses(listener, times))
        .detach();
    let request = ClientRequest {
        id: 1,
        trigger_type: (0, "read"),
        function: 1,
        timeout: 0.3,
        body: vec![],
    };
    fleet.clients[0].invoke(&request).await;
}

/// Guards against checks that cannot fail: each violation is reported under its rule, and nothing is reported where no
/// rule is broken.
#[test]
fn injected_violations_are_found() {
    assert_eq!(
        broken_rules(|fleet| invoke_with_responses(fleet, 0)),
        [1],
        "no response"
    );
    assert!(broken_rules(|fleet| invoke_with_responses(fleet, 1)).is_empty());
    assert_eq!(
        broken_rules(|fleet| invoke_with_responses(fleet, 2)),
        [1],
        "two responses"
    );
    for (service, to, expected) in [
        ("command", 1, &[2][..]),
        ("update", 2, &[2]),
        ("update", 1, &[]),
        ("read", 5, &[]),
    ] {
        let found = broken_rules(|fleet| async move {
            send_lines(&fleet, 0, [dispatch_message(1, service)]).await;
            send_lines(&fleet, to, [dispatch_message(1, service)]).await;
        });
        assert_eq!(
            found, expected,
            "{service} dispatched again to executor {to}"
        );
    }
    for (state, expected) in [
        (EndpointState::Draining, &[3][..]),
        (EndpointState::Gone, &[3]),
        (EndpointState::Ready, &[]),
    ] {
        let found = broken_rules(|fleet| async move {
            fleet.set_endpoint_state(0, state);
            fleet.resolver.initial_list(0);
            fleet.environment.sleep(DRAIN_GRACE + 0.2).await;
            send_lines(&fleet, 0, [dispatch_message(1, "read")]).await;
        });
        assert_eq!(
            found, expected,
            "dispatched to an executor announced as {state:?}"
        );
    }
    for (dispatches, expected) in [(20, &[][..]), (40, &[4])] {
        let found = broken_rules(|fleet| async move {
            fleet.set_endpoint_state(0, EndpointState::Gone);
            fleet.resolver.initial_list(0);
            fleet.executors[0].started_at.set(fleet.environment.now());
            fleet.set_endpoint_state(0, EndpointState::Ready);
            fleet.resolver.initial_list(0);
            send_lines(
                &fleet,
                0,
                (0..dispatches).map(|n| dispatch_message(n, "read")),
            )
            .await;
        });
        assert_eq!(
            found, expected,
            "{dispatches} dispatched to a cold executor"
        );
    }
    for (load_commands, expected) in [(4, &[][..]), (6, &[5])] {
        let load_command = |n| json!({"t": "PIN", "i": format!("order-{n}"), "f": {"item": "0000000000000001", "count": 1}});
        let found = broken_rules(|fleet| async move {
            send_lines(&fleet, 0, (0..load_commands).map(load_command)).await
        });
        assert_eq!(found, expected, "{load_commands} load commands");
    }
}
