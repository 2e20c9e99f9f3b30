//! Examples of each line of the platform's protocol between front ends and executors. Other builds write and read these
//! lines, so the examples must not be changed.

use orchidtally_platform_executor_protocol::{
    Decoder, Dispatch, LoadNote, Response, ResponseKind, encode_cancel, encode_dispatch,
    encode_health_check, encode_load_command, encode_unload_command, parse_load_report,
    parse_response,
};

/// Lines that front ends send to executors.
const SENT: &str = include_str!("stored_formats/sent.jsonl");
/// Lines that executors send to front ends.
const RECEIVED: &str = include_str!("stored_formats/received.jsonl");

#[test]
fn commands_are_encoded_as_earlier_builds_encode_them() {
    let with_key = Dispatch {
        id: "9b1f03aa5c7e2d41",
        trigger_type: "update",
        function: "resize",
        timeout_ms: 2500,
        idempotency_key: Some("token-1"),
        body: b"body\x00\xff",
    };
    let without_key = Dispatch {
        idempotency_key: None,
        body: b"",
        ..with_key
    };
    let encoded = [
        encode_dispatch(&with_key),
        encode_dispatch(&without_key),
        encode_cancel("9b1f03aa5c7e2d41"),
        encode_load_command("order-7", "resize", 2),
        encode_unload_command("resize"),
        encode_health_check("probe-1"),
    ];
    let text = String::from_utf8(encoded.concat()).unwrap();
    assert_eq!(text, SENT);
}

/// A response without optional fields and without a body.
fn minimal(kind: ResponseKind, id: &str) -> Response {
    Response {
        kind,
        id: id.into(),
        load_note: LoadNote::Nothing,
        function_concurrency: 0,
        replica_count: 0,
        load_report: String::new(),
        body: vec![],
    }
}

fn expected() -> Vec<Response> {
    let done = |load_note, function_concurrency, load_report: &str, body: &[u8]| Response {
        load_note,
        function_concurrency,
        load_report: load_report.into(),
        body: body.to_vec(),
        ..minimal(ResponseKind::Done, "1")
    };
    vec![
        done(LoadNote::Warm, 3, "backlog:7;x1:0.61", &[0, 255]),
        done(LoadNote::Cold, 4, "", b"body"),
        done(LoadNote::Joined, 0, "", b""),
        done(LoadNote::LoadFailed, 0, "", b""),
        minimal(ResponseKind::Miss, "2"),
        Response {
            replica_count: 2,
            ..minimal(ResponseKind::Full, "3")
        },
        minimal(ResponseKind::Error, "4"),
        minimal(ResponseKind::AlreadyOver, "5"),
        minimal(ResponseKind::Healthy, "6"),
        minimal(ResponseKind::Unhealthy, "7"),
    ]
}

#[test]
fn responses_are_parsed_from_single_lines() {
    let responses: Vec<Response> = RECEIVED
        .lines()
        .map(|line| parse_response(line.as_bytes()).expect(line))
        .collect();
    assert_eq!(responses, expected());
}

#[test]
fn responses_are_decoded_from_a_stream() {
    let mut decoder = Decoder::default();
    decoder.push(RECEIVED.as_bytes());
    let responses: Vec<Response> =
        std::iter::from_fn(|| decoder.next_response().unwrap()).collect();
    assert_eq!(responses, expected());
}

#[test]
fn a_load_report_is_returned_in_the_order_of_the_names() {
    let names = ["x1", "backlog"].map(str::to_owned);
    assert_eq!(
        parse_load_report(&expected()[0].load_report, &names),
        [0.61, 7.0]
    );
}
