//! One example of each line between front ends and executors of the platform, as other builds write and read it.
//! They must not be changed.

use orchidtally_lines::{
    Answer, Decoder, Dispatch, Tell, Word, answer, cancel, dispatch, hold, probe, report, unload,
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
        limit_ms: 2500,
        token: Some("token-1"),
        body: b"body\x00\xff",
    };
    let without_token = Dispatch { token: None, body: b"", ..with_token };
    let written = [
        dispatch(&with_token),
        dispatch(&without_token),
        cancel("9b1f03aa5c7e2d41"),
        hold("order-7", "resize", 2),
        unload("resize"),
        probe("probe-1"),
    ];
    let text = String::from_utf8(written.concat()).unwrap();
    assert_eq!(text, SENT);
}

/// An answer without figures and body.
fn plain(word: Word, id: &str) -> Answer {
    Answer {
        word,
        id: id.into(),
        tell: Tell::Nothing,
        crowd: 0,
        count: 0,
        meter: String::new(),
        body: vec![],
    }
}

fn expected() -> Vec<Answer> {
    let told = |tell, crowd, meter: &str, body: &[u8]| Answer {
        tell,
        crowd,
        meter: meter.into(),
        body: body.to_vec(),
        ..plain(Word::Done, "1")
    };
    vec![
        told(Tell::Warm, 3, "backlog:7;x1:0.61", &[0, 255]),
        told(Tell::Cold, 4, "", b"body"),
        told(Tell::Joined, 0, "", b""),
        told(Tell::LoadFailed, 0, "", b""),
        plain(Word::Lack, "2"),
        Answer { count: 2, ..plain(Word::Wait, "3") },
        plain(Word::Broke, "4"),
        plain(Word::Past, "5"),
        plain(Word::Fit, "6"),
        plain(Word::Unfit, "7"),
    ]
}

#[test]
fn lines_from_executors_are_read_with_their_values() {
    let read: Vec<Answer> = RECEIVED.lines().map(|line| answer(line.as_bytes()).expect(line)).collect();
    assert_eq!(read, expected());
}

#[test]
fn lines_in_a_stream_are_read_with_their_values() {
    let mut decoder = Decoder::default();
    decoder.push(RECEIVED.as_bytes());
    let read: Vec<Answer> = std::iter::from_fn(|| decoder.read().unwrap()).collect();
    assert_eq!(read, expected());
}

#[test]
fn a_load_report_is_read_by_the_names_of_its_values() {
    let names = ["x1", "backlog"].map(str::to_owned);
    assert_eq!(report(&expected()[0].meter, &names), [0.61, 7.0]);
}
