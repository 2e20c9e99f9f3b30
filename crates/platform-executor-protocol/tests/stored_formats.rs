//! One example of each line between front ends and executors of the platform, as other builds write and read it.
//! They must not be changed.

use orchidtally_platform_executor_protocol::{
    Decoder, Dispatch, LoadNote, Response, ResponseKind, encode_cancel, encode_dispatch,
    encode_health_check, encode_load_command, encode_unload_command, parse_load_report,
    parse_response,
};

/// Lines to executors.
const SENT: &str = include_str!("stored_formats/sent.jsonl");
/// Lines from executors.
const RECEIVED: &str = include_str!("stored_formats/received.jsonl");

#[test]
fn lines_to_executors_are_written_as_earlier_builds_write_them() {
    let with_token = Dispatch {
        id: "9b1f03aa5c7e2d41",
        trigger_type: "update",
        function: "resize",
        timeout_ms: 2500,
        idempotency_key: Some("token-1"),
        body: b"body\x00\xff",
    };
    let without_token = Dispatch {
        idempotency_key: None,
        body: b"",
        ..with_token
    };
    let written = [
        encode_dispatch(&with_token),
        encode_dispatch(&without_token),
        encode_cancel("9b1f03aa5c7e2d41"),
        encode_load_command("order-7", "resize", 2),
        encode_unload_command("resize"),
        encode_health_check("probe-1"),
    ];
    let text = String::from_utf8(written.concat()).unwrap();
    assert_eq!(text, SENT);
}

/// An answer without figures and body.
fn plain(word: ResponseKind, id: &str) -> Response {
    Response {
        kind: word,
        id: id.into(),
        load_note: LoadNote::Nothing,
        function_concurrency: 0,
        replica_count: 0,
        load_report: String::new(),
        body: vec![],
    }
}

fn expected() -> Vec<Response> {
    let told = |tell, crowd, meter: &str, body: &[u8]| Response {
        load_note: tell,
        function_concurrency: crowd,
        load_report: meter.into(),
        body: body.to_vec(),
        ..plain(ResponseKind::Done, "1")
    };
    vec![
        told(LoadNote::Warm, 3, "backlog:7;x1:0.61", &[0, 255]),
        told(LoadNote::Cold, 4, "", b"body"),
        told(LoadNote::Joined, 0, "", b""),
        told(LoadNote::LoadFailed, 0, "", b""),
        plain(ResponseKind::Miss, "2"),
        Response {
            replica_count: 2,
            ..plain(ResponseKind::Full, "3")
        },
        plain(ResponseKind::Error, "4"),
        plain(ResponseKind::AlreadyOver, "5"),
        plain(ResponseKind::Healthy, "6"),
        plain(ResponseKind::Unhealthy, "7"),
    ]
}

#[test]
fn lines_from_executors_are_read_with_their_values() {
    let read: Vec<Response> = RECEIVED
        .lines()
        .map(|line| parse_response(line.as_bytes()).expect(line))
        .collect();
    assert_eq!(read, expected());
}

#[test]
fn lines_in_a_stream_are_read_with_their_values() {
    let mut decoder = Decoder::default();
    decoder.push(RECEIVED.as_bytes());
    let read: Vec<Response> = std::iter::from_fn(|| decoder.next_response().unwrap()).collect();
    assert_eq!(read, expected());
}

#[test]
fn a_load_report_is_read_by_the_names_of_its_values() {
    let names = ["x1", "backlog"].map(str::to_owned);
    assert_eq!(
        parse_load_report(&expected()[0].load_report, &names),
        [0.61, 7.0]
    );
}
