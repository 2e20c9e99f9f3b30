//! Tests of the line decoder and encoder.

use orchidtally_platform_executor_protocol::*;
use proptest::prelude::*;

/// The decoded responses, and whether an error ended decoding.
type Decoded = (Vec<Response>, bool);

/// Decodes bytes that arrive in chunks.
fn decode<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> Decoded {
    let mut decoder = Decoder::default();
    let mut responses = vec![];
    for chunk in chunks {
        decoder.push(chunk);
        loop {
            match decoder.next_response() {
                Ok(Some(response)) => responses.push(response),
                Ok(None) => break,
                Err(_) => return (responses, true),
            }
        }
    }
    (responses, false)
}

const VALID_LINES: &[u8] = br#"{"t":"DONE","i":"9b1f03aa5c7e2d41","f":{"tell":"joined","crowd":"3","meter":"backlog:7;x1:0.61"},"b":"AP8="}
{"t":"WAIT","i":"order-7","f":{"count":2}}
{"i":"x","t":"PAST"}
"#;

#[test]
fn numeric_fields_are_read_from_numbers_and_strings() {
    let (responses, has_failed) = decode([VALID_LINES]);
    assert!(!has_failed);
    let [done, wait, past] = responses.as_slice() else {
        panic!("expected three responses, got {}", responses.len())
    };
    assert_eq!(
        (
            done.kind,
            done.load_note,
            done.function_concurrency,
            done.body.as_slice()
        ),
        (ResponseKind::Done, LoadNote::Joined, 3, &[0, 255][..])
    );
    let names = ["x1", "backlog"].map(str::to_owned);
    assert_eq!(parse_load_report(&done.load_report, &names), [0.61, 7.0]);
    assert_eq!(
        (wait.kind, wait.id.as_str(), wait.replica_count),
        (ResponseKind::Full, "order-7", 2)
    );
    assert_eq!((past.kind, past.body.len()), (ResponseKind::AlreadyOver, 0));
}

#[test]
fn decoding_does_not_depend_on_chunk_boundaries() {
    let expected = decode([VALID_LINES]);
    for split in 0..=VALID_LINES.len() {
        assert_eq!(
            decode([&VALID_LINES[..split], &VALID_LINES[split..]]),
            expected,
            "split at {split}"
        );
    }
    assert_eq!(decode(VALID_LINES.chunks(1)), expected);
}

#[test]
fn an_invalid_line_ends_decoding_after_the_responses_before_it() {
    for invalid in [
        &b"noise"[..],
        b"{}",
        br#"{"t":"DONE","i":7}"#,
        br#"{"t":"DONE","i":"a","b":"%%"}"#,
        br#"{"t":"DONE","i":"a","f":{"crowd":[]}}"#,
        br#"{"t":"DONE","i":"a","f":{"crowd":-1}}"#,
        br#"{"t":"GONE","i":"a"}"#,
        b"\xff\xfe",
    ] {
        let bytes = [VALID_LINES, invalid, b"\n", VALID_LINES].concat();
        assert_eq!(
            decode([bytes.as_slice()]),
            (decode([VALID_LINES]).0, true),
            "{}",
            String::from_utf8_lossy(invalid)
        );
    }
}

#[test]
fn a_line_without_line_feed_is_rejected_at_the_maximum_length() {
    let mut decoder = Decoder::default();
    let chunk = [b'a'; 1024];
    let failed_chunk = (0..).find(|_| {
        decoder.push(&chunk);
        decoder.next_response().is_err()
    });
    assert_eq!(failed_chunk, Some(MAX_LINE_LENGTH / 1024));
}

#[test]
fn a_load_report_with_a_missing_or_invalid_value_is_empty() {
    let names = ["backlog", "x1"].map(str::to_owned);
    for load_report in [
        "",
        "backlog:1",
        "backlog:1;x1:much",
        "backlog:1;x1:NaN",
        "backlog 1;x1:2",
    ] {
        assert!(
            parse_load_report(load_report, &names).is_empty(),
            "{load_report}"
        );
    }
}

#[test]
fn a_dispatch_is_encoded_as_one_line_of_json() {
    let to_encode = Dispatch {
        id: "9b1f03aa5c7e2d41",
        trigger_type: "set\"point",
        function: "7f3a9c21e0b4d655",
        timeout_ms: 1500,
        idempotency_key: Some("5c0f6e1a"),
        body: b"\n\x00",
    };
    let line = encode_dispatch(&to_encode);
    assert_eq!(line.iter().position(|&b| b == b'\n'), Some(line.len() - 1));
    let decoded: serde_json::Value = serde_json::from_slice(&line).expect("valid JSON");
    let fields = serde_json::json!({"cls": "set\"point", "item": "7f3a9c21e0b4d655", "limit": 1500, "nonce": "5c0f6e1a"});
    assert_eq!(
        decoded,
        serde_json::json!({"t": "DO", "i": "9b1f03aa5c7e2d41", "f": fields, "b": "CgA="})
    );
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_alike_in_chunks_of_any_size(bytes in prop::collection::vec(any::<u8>(), 0..600), size in 1usize..50) {
        prop_assert_eq!(decode(bytes.chunks(size)), decode([bytes.as_slice()]));
    }
}
