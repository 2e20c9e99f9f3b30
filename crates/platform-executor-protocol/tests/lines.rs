//! The line decoder and encoder.

use orchidtally_platform_executor_protocol::*;
use proptest::prelude::*;

type Read = (Vec<Response>, bool);

/// What is read when the bytes come in these pieces, and whether a fault ended it.
fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Read {
    let mut decoder = Decoder::default();
    let mut answers = vec![];
    for piece in pieces {
        decoder.push(piece);
        loop {
            match decoder.next_response() {
                Ok(Some(answer)) => answers.push(answer),
                Ok(None) => break,
                Err(_) => return (answers, true),
            }
        }
    }
    (answers, false)
}

const SOUND: &[u8] = br#"{"t":"DONE","i":"9b1f03aa5c7e2d41","f":{"tell":"joined","crowd":"3","meter":"backlog:7;x1:0.61"},"b":"AP8="}
{"t":"WAIT","i":"order-7","f":{"count":2}}
{"i":"x","t":"PAST"}
"#;

#[test]
fn answers_are_read_whole_with_figures_as_numbers_or_strings() {
    let (answers, fault) = read([SOUND]);
    assert!(!fault);
    let [done, wait, past] = answers.as_slice() else {
        panic!("three answers, not {}", answers.len())
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
fn each_cut_gives_the_same_answers() {
    let whole = read([SOUND]);
    for cut in 0..=SOUND.len() {
        assert_eq!(read([&SOUND[..cut], &SOUND[cut..]]), whole, "cut at {cut}");
    }
    assert_eq!(read(SOUND.chunks(1)), whole);
}

#[test]
fn what_is_no_answer_ends_the_reading_but_not_what_came_before() {
    for bad in [
        &b"noise"[..],
        b"{}",
        br#"{"t":"DONE","i":7}"#,
        br#"{"t":"DONE","i":"a","b":"%%"}"#,
        br#"{"t":"DONE","i":"a","f":{"crowd":[]}}"#,
        br#"{"t":"DONE","i":"a","f":{"crowd":-1}}"#,
        br#"{"t":"GONE","i":"a"}"#,
        b"\xff\xfe",
    ] {
        let bytes = [SOUND, bad, b"\n", SOUND].concat();
        assert_eq!(
            read([bytes.as_slice()]),
            (read([SOUND]).0, true),
            "{}",
            String::from_utf8_lossy(bad)
        );
    }
}

#[test]
fn a_line_without_end_is_given_up_at_its_bound() {
    let mut decoder = Decoder::default();
    let chunk = [b'a'; 1024];
    let fault = (0..).find(|_| {
        decoder.push(&chunk);
        decoder.next_response().is_err()
    });
    assert_eq!(fault, Some(MAX_LINE_LENGTH / 1024));
}

#[test]
fn a_report_that_lacks_a_figure_is_none() {
    let names = ["backlog", "x1"].map(str::to_owned);
    for meter in [
        "",
        "backlog:1",
        "backlog:1;x1:much",
        "backlog:1;x1:NaN",
        "backlog 1;x1:2",
    ] {
        assert!(parse_load_report(meter, &names).is_empty(), "{meter}");
    }
}

#[test]
fn a_dispatch_is_one_line_with_its_parts_unchanged() {
    let d = Dispatch {
        id: "9b1f03aa5c7e2d41",
        trigger_type: "set\"point",
        function: "7f3a9c21e0b4d655",
        timeout_ms: 1500,
        idempotency_key: Some("5c0f6e1a"),
        body: b"\n\x00",
    };
    let line = encode_dispatch(&d);
    assert_eq!(line.iter().position(|&b| b == b'\n'), Some(line.len() - 1));
    let read: serde_json::Value = serde_json::from_slice(&line).expect("it is JSON");
    let f = serde_json::json!({"cls": "set\"point", "item": "7f3a9c21e0b4d655", "limit": 1500, "nonce": "5c0f6e1a"});
    assert_eq!(
        read,
        serde_json::json!({"t": "DO", "i": "9b1f03aa5c7e2d41", "f": f, "b": "CgA="})
    );
}

proptest! {
    #[test]
    fn no_bytes_in_no_pieces_upset_it(bytes in prop::collection::vec(any::<u8>(), 0..600), size in 1usize..50) {
        prop_assert_eq!(read(bytes.chunks(size)), read([bytes.as_slice()]));
    }
}
