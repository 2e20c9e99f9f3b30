//! Executors whose connections fail: what is retried, and what ends as failed.

mod gateway_kit;
mod scripted_executor;

use bytes::Bytes;
use gateway_kit::{ACT, LOOK, all, ask, description, executor, gateway, listed, on, row, status};
use orchidtally_invariants::{EndpointState, FinalAnswer};
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use orchidtally_test_servers::publisher::Publisher;
use orchidtally_test_servers::raw::{self, ScriptAction};
use orchidtally_test_servers::{TestEnvironment, reserve_address, unused_address};
use scripted_executor::{NO_LOAD_COMMANDS, answered, scripted};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

#[test]
fn an_executor_that_dies_after_the_first_bytes_leaves_a_non_idempotent_invocation_errored() {
    let stage = TestEnvironment::new(1);
    let dispatches = Rc::new(Cell::new(0));
    let counted = dispatches.clone();
    // Dies with each dispatch, once it is here whole.
    let dies = move |f: &raw::Frame| {
        if f.ends_stream() {
            counted.set(counted.get() + 1);
            return ScriptAction::SendAndReset(vec![]);
        }
        ScriptAction::Send(vec![])
    };
    let two = [scripted(&stage, dies.clone()), scripted(&stage, dies)];
    let gateway = gateway(description(&listed(&two), NO_LOAD_COMMANDS));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    let heard = on(&stage, caller.invoke(&ask("a", ACT)));
    let ClientOutcome::Answered {
        answer: FinalAnswer::Failed,
        may_have_run,
        ..
    } = heard
    else {
        panic!("{heard:?}")
    };
    assert!(may_have_run);
    assert_eq!(dispatches.get(), 1, "never repeated");
    assert_eq!(gateway.end().failed, 1);
}

#[test]
fn an_executor_that_dies_before_any_byte_costs_nothing() {
    let stage = TestEnvironment::new(1);
    let gone = reserve_address().unwrap();
    let stands = executor(&stage, 0, 0.01);
    let gateway = gateway(description(
        &listed(&[gone, stands.address]),
        NO_LOAD_COMMANDS,
    ));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    let asks = (0..12)
        .map(|n| ClientRequest {
            function: format!("f{n}"),
            ..ask(&format!("a{n}"), ACT)
        })
        .collect();
    let heard = on(&stage, all(&stage, &caller, asks));
    assert!(heard.iter().all(|h| status(h) == 200), "{heard:?}");
    let tally = gateway.end();
    assert_eq!(tally.succeeded, 12);
    assert!(
        tally.dispatches > 12,
        "some went to the dead one first: {tally:?}"
    );
}

/// Eight dispatches are out, the peer names the fourth as the last that it looked at and breaks off.
#[test]
fn of_dispatches_at_a_closing_peer_those_above_the_last_stream_alone_go_elsewhere() {
    let stage = TestEnvironment::new(1);
    let streams = Rc::new(RefCell::new(vec![]));
    let seen = streams.clone();
    let closes = scripted(&stage, move |f| {
        if !f.ends_stream() {
            return ScriptAction::Send(vec![]);
        }
        let mut seen = seen.borrow_mut();
        seen.push(f.stream);
        match seen.len() {
            1 => ScriptAction::Send(answered(f.stream)),
            2..9 => ScriptAction::Send(vec![]),
            9 => ScriptAction::SendAndReset(raw::go_away(seen[4], 0)),
            _ => ScriptAction::Send(answered(f.stream)),
        }
    });
    let other = executor(&stage, 1, 0.01);
    let rows = vec![
        row(0, closes, EndpointState::Ready),
        row(1, other.address, EndpointState::Gone),
    ];
    let publisher = Publisher::start(&stage, unused_address(), rows).unwrap();
    publisher.max_delay.set(0.0);
    let gateway = gateway(description(
        &format!("publisher: \"{}\"", publisher.address),
        NO_LOAD_COMMANDS,
    ));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    let heard = on(&stage, async {
        assert_eq!(status(&caller.invoke(&ask("first", ACT)).await), 200);
        publisher.update_state(1, EndpointState::Ready, f64::NEG_INFINITY);
        let asks = (0..16).map(|n| ask(&format!("a{n}"), ACT)).collect();
        all(&stage, &caller, asks).await
    });
    let errored: Vec<_> = heard.iter().filter(|h| status(h) != 200).collect();
    assert_eq!(errored.len(), 4, "those up to the last stream: {heard:?}");
    assert!(errored.iter().all(|h| matches!(
        h,
        ClientOutcome::Answered {
            may_have_run: true,
            ..
        }
    )));
    assert!(
        streams.borrow().len() >= 9,
        "eight were out beside the first"
    );
    let tally = gateway.end();
    assert_eq!(tally.succeeded, 13);
    assert!(
        tally.dispatches >= 17 + 4,
        "each of the other four went once more: {tally:?}"
    );
}

#[test]
fn a_refused_stream_is_proof_and_another_reset_is_none() {
    for (code, expected) in [(raw::REFUSED_STREAM, 200), (8, 502)] {
        let stage = TestEnvironment::new(1);
        let resets = scripted(&stage, move |f| {
            ScriptAction::Send(if f.ends_stream() {
                raw::reset(f.stream, code)
            } else {
                vec![]
            })
        });
        let other = executor(&stage, 1, 0.01);
        let rows = vec![
            row(0, resets, EndpointState::Ready),
            row(1, other.address, EndpointState::Gone),
        ];
        let publisher = Publisher::start(&stage, unused_address(), rows).unwrap();
        let gateway = gateway(description(
            &format!("publisher: \"{}\"", publisher.address),
            NO_LOAD_COMMANDS,
        ));
        let caller = TestClient::new(&stage, 0, 0, gateway.at, true);
        let heard = on(&stage, async {
            // The second executor appears once the first has answered.
            let invoked = stage.spawn({
                let caller = caller.clone();
                async move { caller.invoke(&ask("a", ACT)).await }
            });
            stage.sleep(0.4).await;
            publisher.update_state(1, EndpointState::Ready, f64::NEG_INFINITY);
            invoked.await
        });
        assert_eq!(status(&heard), expected, "code {code}: {heard:?}");
        gateway.end();
    }
}

#[test]
fn an_executor_that_stops_reading_blocks_no_other() {
    let stage = TestEnvironment::new(1);
    let deaf = scripted(&stage, |_| ScriptAction::StopReading);
    let one = executor(&stage, 0, 0.01);
    let more = [1, 2].map(|n| executor(&stage, n, 0.01).address);
    let text = description(
        &listed(&[deaf, one.address, more[0], more[1]]),
        NO_LOAD_COMMANDS,
    );
    let gateway = gateway(text.replace("objective: \"2s\"", "objective: \"300ms\""));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    let heard = on(&stage, async {
        let payload = Bytes::from(vec![7; 100_000]);
        let asks = (0..40)
            .map(|n| ClientRequest {
                function: format!("f{}", n % 10),
                payload: payload.clone(),
                ..ask(&format!("a{n}"), LOOK)
            })
            .collect();
        let heard = all(&stage, &caller, asks).await;
        // Once it is known to be silent nothing waits for it.
        let later = stage.now();
        let asks = (0..20)
            .map(|n| ClientRequest {
                function: format!("g{n}"),
                timeout: 1.5,
                ..ask(&format!("b{n}"), LOOK)
            })
            .collect();
        let after = all(&stage, &caller, asks).await;
        // One at a time is still tried there.
        let well = after.iter().filter(|h| status(h) == 200).count();
        assert!(well >= 10, "{well} of 20: {after:?}");
        assert!(
            stage.now() - later < 2.0,
            "they took {} s",
            stage.now() - later
        );
        heard
    });
    let succeeded = heard.iter().filter(|h| status(h) == 200).count();
    assert!(succeeded >= 20, "{succeeded} of 40 succeeded");
    gateway.end();
}
