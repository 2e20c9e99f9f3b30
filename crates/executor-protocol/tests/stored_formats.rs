//! Compares the encoding of one example of each message with the bytes that other builds exchange. `messages.txt` was
//! written by the build of version 0.2.0 and must not be changed.

use bytes::Bytes;
use orchidtally_executor_protocol::v1::{
    Answer, Dispatch, Effect, Ending, Found, Order, OrderAnswer, OrderKind, Probe, ProbeAnswer,
    RosterKind, RosterRow, RosterUpdate, RosterWatch, Sender, Standing,
};
use orchidtally_executor_protocol::{
    CONTENT_TYPE, DISPATCH_PATH, Deframer, ENDPOINT_LIST_PATH, HEALTH_CHECK_PATH, LOAD_PATH,
    MAX_ENDPOINT_LIST_LENGTH, frame,
};
use std::fmt::Debug;

/// One message per line: its name, and its bytes in hexadecimal digits.
const MESSAGES: &str = include_str!("stored_formats/messages.txt");

fn sender() -> Option<Sender> {
    Some(Sender {
        index: 3,
        count: 7,
        incarnation: u64::MAX,
    })
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The stored bytes of an example.
fn stored_bytes(name: &str) -> Vec<u8> {
    let line = MESSAGES
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = line.unwrap_or_default();
    (0..digits.len() / 2)
        .map(|n| u8::from_str_radix(&digits[2 * n..2 * n + 2], 16).unwrap())
        .collect()
}

/// Checks that a message encodes to the stored bytes and is decoded from them.
fn check<Message: prost::Message + Default + PartialEq + Debug>(name: &str, message: Message) {
    let bytes = stored_bytes(name);
    assert_eq!(
        hexadecimal(&frame(&message)),
        hexadecimal(&bytes),
        "encoding of {name}"
    );
    let mut deframer = Deframer::default();
    deframer.push(Bytes::from(bytes));
    let read: Message = deframer
        .next_message(MAX_ENDPOINT_LIST_LENGTH)
        .unwrap()
        .expect("the example is complete");
    assert_eq!(read, message, "{name}");
    assert!(deframer.is_empty());
}

fn dispatch(effect: Effect) -> Dispatch {
    Dispatch {
        from: sender(),
        invocation: "invocation-1".into(),
        number: 2,
        function: "resize".into(),
        trigger_type: "orders".into(),
        customer: "ann".into(),
        effect: effect.into(),
        token: "token-1".into(),
        time_left: 2_500_000,
        payload_bytes: 1_024,
        digest: "1f".into(),
    }
}

#[test]
fn dispatches_and_their_answers_keep_their_encoding() {
    check("dispatch-unspecified", dispatch(Effect::Unspecified));
    check("dispatch-idempotent", dispatch(Effect::Idempotent));
    check("dispatch-tokened", dispatch(Effect::Tokened));
    check("dispatch-non-idempotent", dispatch(Effect::NonIdempotent));
    let answer = |ending: Ending, found: Found| Answer {
        ending: ending.into(),
        found: found.into(),
        crowd: 5,
        report: vec![0.5, 7.0],
        streams: true,
        index_taken: true,
        detail: "why".into(),
        digest_differs: true,
    };
    check(
        "answer-unspecified",
        answer(Ending::Unspecified, Found::Untold),
    );
    check("answer-ok", answer(Ending::Ok, Found::Warm));
    check("answer-error", answer(Ending::Error, Found::Loaded));
    check("answer-full", answer(Ending::Full, Found::Waited));
    check("answer-miss", answer(Ending::Miss, Found::LoadFailed));
}

#[test]
fn orders_probes_and_their_answers_keep_their_encoding() {
    let order = |kind: OrderKind| Order {
        from: sender(),
        kind: kind.into(),
        function: "resize".into(),
        copies: 2,
        digest: "1f".into(),
    };
    check("order-unspecified", order(OrderKind::OrderUnspecified));
    check("order-hold", order(OrderKind::Hold));
    check("order-ask", order(OrderKind::Ask));
    check("order-unload", order(OrderKind::Unload));
    let answer = OrderAnswer {
        ending: Ending::Ok.into(),
        copies: 2,
        report: vec![0.5],
        detail: "why".into(),
        digest_differs: true,
    };
    check("order-answer", answer);
    check("probe", Probe { from: sender() });
    check(
        "probe-answer",
        ProbeAnswer {
            report: vec![0.5, 7.0],
        },
    );
}

#[test]
fn rosters_keep_their_encoding() {
    let row = |standing: Standing| RosterRow {
        address: "10.0.0.1:4100".into(),
        location: "east".into(),
        kind: "std".into(),
        cell: 4,
        standing: standing.into(),
        weight: 1.5,
        since: 1_764_600_000.5,
    };
    let all = [
        Standing::Unspecified,
        Standing::Ready,
        Standing::Draining,
        Standing::Gone,
    ];
    let update = |kind: RosterKind| RosterUpdate {
        kind: kind.into(),
        revision: 42,
        rows: all.map(row).to_vec(),
    };
    check("roster-watch", RosterWatch { from: sender() });
    check("roster-unspecified", update(RosterKind::RosterUnspecified));
    check("roster-full-list", update(RosterKind::FullList));
    check("roster-delta", update(RosterKind::Delta));
}

#[test]
fn paths_and_content_type_are_stable() {
    let paths = [
        DISPATCH_PATH,
        LOAD_PATH,
        HEALTH_CHECK_PATH,
        ENDPOINT_LIST_PATH,
    ];
    let expected = [
        "/orchidtally.v1/dispatch",
        "/orchidtally.v1/order",
        "/orchidtally.v1/probe",
        "/orchidtally.v1/roster",
    ];
    assert_eq!(paths, expected);
    assert_eq!(CONTENT_TYPE, "application/orchidtally.v1+proto");
}
