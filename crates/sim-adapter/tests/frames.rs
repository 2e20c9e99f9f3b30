//! Frames are answered whole, or rejected with one line that names the record and the byte.

use orchidtally_sim_adapter::run;

const SETTINGS: &str = r#"{"balancers": 1, "classes": [{"aim": 1000000000, "deadline": 5000000000, "semantics": "pure",
 "surprise": 1}], "limits": {"cancel": true, "maxAttempts": 3, "secondCopies": false, "retryAfter": true,
 "maxRetryAfter": 1000000000}, "safety": {"cold": 9000000000, "coldFrom": 0.2, "fall": 1000000000,
 "overloadFactor": 2.0}, "specifics": {}, "tick": 2000000}"#;

fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    [&[code][..], &(fields.len() as u32).to_le_bytes(), fields].concat()
}

fn frame(now: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let head = [
        &(body.len() as u32 + 12).to_le_bytes()[..],
        &(records.len() as u32).to_le_bytes(),
    ]
    .concat();
    [&head[..], &now.to_le_bytes(), &body].concat()
}

fn start(policy: &str) -> Vec<u8> {
    let text = [&(policy.len() as u32).to_le_bytes()[..], policy.as_bytes()].concat();
    record(
        4,
        &[&0u16.to_le_bytes()[..], &9u64.to_le_bytes(), &text].concat(),
    )
}

fn endpoint_list() -> [Vec<u8>; 2] {
    let endpoint = [
        &[10, 1, 2, 3, 5, 0, 0, 0, 0, 0, 0][..],
        &1f32.to_le_bytes(),
        &0u64.to_le_bytes(),
    ]
    .concat();
    let list = record(8, &[&[3, 0, 1, 0, 0, 0][..], &endpoint].concat());
    [list, record(6, &[0, 0, 2, 1, 0, 0, 0, 3, 0])]
}

fn invocation(extra: &[u8]) -> Vec<u8> {
    let ids = [
        &[0, 0][..],
        &77u32.to_le_bytes(),
        &[0, 0, 0],
        &5u64.to_le_bytes(),
    ]
    .concat();
    let times = [6_000_000_000u64.to_le_bytes(), 0u64.to_le_bytes()].concat();
    let sizes = [
        100f32.to_le_bytes(),
        4f32.to_le_bytes(),
        900f32.to_le_bytes(),
    ]
    .concat();
    record(5, &[&ids[..], &times, &sizes, &[0], extra].concat())
}

fn play(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut output = vec![];
    let ended = run(&mut &input[..], &mut output);
    (ended.map_err(|error| error.to_string()), output)
}

fn session(extra: &[u8]) -> Vec<u8> {
    let [list, update] = endpoint_list();
    [
        frame(1_000_000_000, &[start(SETTINGS), list, update]),
        frame(1_100_000_000, &[invocation(extra)]),
    ]
    .concat()
}

#[test]
fn an_invocation_is_dispatched_and_trailing_bytes_are_skipped() {
    let (ended, output) = play(&session(&[]));
    assert_eq!(ended, Ok(()));
    let dispatch = output.iter().position(|&b| b == 66).expect("a dispatch");
    assert_eq!(output[dispatch + 7..dispatch + 11], 77u32.to_le_bytes());
    assert_eq!(output[dispatch + 11..dispatch + 17], [10, 1, 2, 3, 5, 0]);
    assert_eq!(
        output[dispatch + 17..dispatch + 25],
        4_900_000_000u64.to_le_bytes()
    );
    assert_eq!(play(&session(&[1, 2, 3])), (Ok(()), output));
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    assert_eq!(play(&frame(5, &[])), (Ok(()), vec![0; 4]));
    assert_eq!(play(&[]), (Ok(()), vec![]));
}

#[test]
fn truncated_input_is_rejected_after_whole_replies() {
    let whole = session(&[]);
    let first = frame(
        1_000_000_000,
        &[
            start(SETTINGS),
            endpoint_list()[0].clone(),
            endpoint_list()[1].clone(),
        ],
    )
    .len();
    let (_, answered) = play(&whole[..first]);
    for cut in (1..whole.len()).filter(|&cut| cut != first) {
        let (ended, output) = play(&whole[..cut]);
        assert!(ended.unwrap_err().contains("byte"), "cut at {cut}");
        assert_eq!(
            output,
            if cut < first {
                vec![]
            } else {
                answered.clone()
            },
            "cut at {cut}"
        );
    }
}

#[test]
fn errors_name_the_record_and_the_byte() {
    let error_of = |records: &[Vec<u8>]| {
        let (ended, output) = play(&frame(1, records));
        assert!(output.is_empty());
        ended.unwrap_err()
    };
    assert!(
        error_of(&[invocation(&[])]).contains("record 0, byte 21: instance 0 was never started")
    );
    assert!(
        error_of(&[start(SETTINGS), record(6, &[0, 0, 1, 0, 0, 0, 0, 9, 0])])
            .contains("list 9 was never given")
    );
    assert!(error_of(&[start(SETTINGS), record(1, &[0, 0, 1])]).contains("record 1, byte"));
    assert!(error_of(&[start(SETTINGS), record(99, &[0, 0])]).contains("no event has code 99"));
    assert!(error_of(&[start("{}")]).contains("setting 'classes' is missing"));
    assert!(error_of(&[start("nonsense")]).contains("settings are not JSON"));
    assert!(
        error_of(&[start(
            &SETTINGS.replace("\"tick\": 2000000", "\"tick\": \"x\"")
        )])
        .contains("'tick'")
    );
    let mut long = frame(1, &[]);
    long[0] += 1;
    long.push(0);
    assert!(play(&long).0.unwrap_err().contains("bytes left over"));
}
