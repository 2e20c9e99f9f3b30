//! Tests of failing executor connections: which invocations are retried and which fail.

mod gateway_kit;
mod scripted_executor;

use bytes::Bytes;
use gateway_kit::{
    IDEMPOTENT, NON_IDEMPOTENT, deployment_text, endpoint, executor, executor_list, gateway,
    invoke_all, request, run, status,
};
use orchidtally_invariants::{EndpointState, FinalAnswer};
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use orchidtally_test_servers::publisher::Publisher;
use orchidtally_test_servers::raw::{self, ScriptAction};
use orchidtally_test_servers::{TestEnvironment, reserve_address, unused_address};
use scripted_executor::{NO_LOAD_COMMANDS, answered, scripted};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

#[test]
fn a_non_idempotent_invocation_fails_if_its_executor_crashes_after_receiving_it() {
    let environment = TestEnvironment::new(1);
    let dispatches = Rc::new(Cell::new(0));
    let counter = dispatches.clone();
    // Breaks the connection once a dispatch has arrived completely.
    let breaks = move |f: &raw::Frame| {
        if f.ends_stream() {
            counter.set(counter.get() + 1);
            return ScriptAction::SendAndReset(vec![]);
        }
        ScriptAction::Send(vec![])
    };
    let two = [
        scripted(&environment, breaks.clone()),
        scripted(&environment, breaks),
    ];
    let gateway = gateway(deployment_text(&executor_list(&two), NO_LOAD_COMMANDS));
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    let outcome = run(&environment, client.invoke(&request("a", NON_IDEMPOTENT)));
    let ClientOutcome::Answered {
        answer: FinalAnswer::Failed,
        may_have_run,
        ..
    } = outcome
    else {
        panic!("{outcome:?}")
    };
    assert!(may_have_run);
    assert_eq!(
        dispatches.get(),
        1,
        "a non-idempotent invocation was dispatched again"
    );
    assert_eq!(gateway.end().failed, 1);
}

#[test]
fn dispatches_to_an_unreachable_executor_are_retried_elsewhere() {
    let environment = TestEnvironment::new(1);
    let unreachable = reserve_address().unwrap();
    let available = executor(&environment, 0, 0.01);
    let gateway = gateway(deployment_text(
        &executor_list(&[unreachable, available.address]),
        NO_LOAD_COMMANDS,
    ));
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    let requests = (0..12)
        .map(|n| ClientRequest {
            function: format!("f{n}"),
            ..request(&format!("a{n}"), NON_IDEMPOTENT)
        })
        .collect();
    let outcomes = run(&environment, invoke_all(&environment, &client, requests));
    assert!(outcomes.iter().all(|h| status(h) == 200), "{outcomes:?}");
    let counters = gateway.end();
    assert_eq!(counters.succeeded, 12);
    assert!(
        counters.dispatches > 12,
        "no dispatch went to the unreachable executor first: {counters:?}"
    );
}

/// With eight dispatches in flight, the executor sends GOAWAY with the fourth as the last processed stream and closes the
/// connection. Only the streams above it may be retried.
#[test]
fn only_dispatches_above_the_last_stream_of_a_goaway_are_retried() {
    let environment = TestEnvironment::new(1);
    let streams = Rc::new(RefCell::new(vec![]));
    let stream_ids = streams.clone();
    let closes = scripted(&environment, move |f| {
        if !f.ends_stream() {
            return ScriptAction::Send(vec![]);
        }
        let mut stream_ids = stream_ids.borrow_mut();
        stream_ids.push(f.stream);
        match stream_ids.len() {
            1 => ScriptAction::Send(answered(f.stream)),
            2..9 => ScriptAction::Send(vec![]),
            9 => ScriptAction::SendAndReset(raw::go_away(stream_ids[4], 0)),
            _ => ScriptAction::Send(answered(f.stream)),
        }
    });
    let other = executor(&environment, 1, 0.01);
    let endpoints = vec![
        endpoint(0, closes, EndpointState::Ready),
        endpoint(1, other.address, EndpointState::Gone),
    ];
    let publisher = Publisher::start(&environment, unused_address(), endpoints).unwrap();
    publisher.max_delay.set(0.0);
    let gateway = gateway(deployment_text(
        &format!("publisher: \"{}\"", publisher.address),
        NO_LOAD_COMMANDS,
    ));
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    let outcomes = run(&environment, async {
        assert_eq!(
            status(&client.invoke(&request("first", NON_IDEMPOTENT)).await),
            200
        );
        publisher.update_state(1, EndpointState::Ready, f64::NEG_INFINITY);
        let requests = (0..16)
            .map(|n| request(&format!("a{n}"), NON_IDEMPOTENT))
            .collect();
        invoke_all(&environment, &client, requests).await
    });
    let failed: Vec<_> = outcomes.iter().filter(|h| status(h) != 200).collect();
    assert_eq!(
        failed.len(),
        4,
        "the streams up to the last one have to fail: {outcomes:?}"
    );
    assert!(failed.iter().all(|h| matches!(
        h,
        ClientOutcome::Answered {
            may_have_run: true,
            ..
        }
    )));
    assert!(
        streams.borrow().len() >= 9,
        "eight dispatches have to be in flight besides the first"
    );
    let counters = gateway.end();
    assert_eq!(counters.succeeded, 13);
    assert!(
        counters.dispatches >= 17 + 4,
        "each of the other four has to be dispatched again: {counters:?}"
    );
}

#[test]
fn a_refused_stream_is_retried_and_other_resets_are_not() {
    for (code, expected) in [(raw::REFUSED_STREAM, 200), (8, 502)] {
        let environment = TestEnvironment::new(1);
        let resets = scripted(&environment, move |f| {
            ScriptAction::Send(if f.ends_stream() {
                raw::reset(f.stream, code)
            } else {
                vec![]
            })
        });
        let other = executor(&environment, 1, 0.01);
        let endpoints = vec![
            endpoint(0, resets, EndpointState::Ready),
            endpoint(1, other.address, EndpointState::Gone),
        ];
        let publisher = Publisher::start(&environment, unused_address(), endpoints).unwrap();
        let gateway = gateway(deployment_text(
            &format!("publisher: \"{}\"", publisher.address),
            NO_LOAD_COMMANDS,
        ));
        let client = TestClient::new(&environment, 0, 0, gateway.address, true);
        let outcome = run(&environment, async {
            // The second executor is added after the first has reset the stream.
            let invoked = environment.spawn({
                let client = client.clone();
                async move { client.invoke(&request("a", NON_IDEMPOTENT)).await }
            });
            environment.sleep(0.4).await;
            publisher.update_state(1, EndpointState::Ready, f64::NEG_INFINITY);
            invoked.await
        });
        assert_eq!(status(&outcome), expected, "code {code}: {outcome:?}");
        gateway.end();
    }
}

#[test]
fn an_executor_that_stops_reading_does_not_block_the_others() {
    let environment = TestEnvironment::new(1);
    let unresponsive = scripted(&environment, |_| ScriptAction::StopReading);
    let one = executor(&environment, 0, 0.01);
    let other_addresses = [1, 2].map(|n| executor(&environment, n, 0.01).address);
    let text = deployment_text(
        &executor_list(&[
            unresponsive,
            one.address,
            other_addresses[0],
            other_addresses[1],
        ]),
        NO_LOAD_COMMANDS,
    );
    let gateway = gateway(text.replace("objective: \"2s\"", "objective: \"300ms\""));
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    let outcomes = run(&environment, async {
        let payload = Bytes::from(vec![7; 100_000]);
        let requests = (0..40)
            .map(|n| ClientRequest {
                function: format!("f{}", n % 10),
                payload: payload.clone(),
                ..request(&format!("a{n}"), IDEMPOTENT)
            })
            .collect();
        let outcomes = invoke_all(&environment, &client, requests).await;
        // Once the executor is known to be unresponsive, invocations don't wait for it.
        let second_round_at = environment.now();
        let requests = (0..20)
            .map(|n| ClientRequest {
                function: format!("g{n}"),
                timeout: 1.5,
                ..request(&format!("b{n}"), IDEMPOTENT)
            })
            .collect();
        let after = invoke_all(&environment, &client, requests).await;
        // The front end still probes it with one invocation at a time.
        let succeeded = after.iter().filter(|h| status(h) == 200).count();
        assert!(succeeded >= 10, "{succeeded} of 20: {after:?}");
        assert!(
            environment.now() - second_round_at < 2.0,
            "the invocations took {} s",
            environment.now() - second_round_at
        );
        outcomes
    });
    let succeeded = outcomes.iter().filter(|h| status(h) == 200).count();
    assert!(succeeded >= 20, "{succeeded} of 40 succeeded");
    gateway.end();
}
