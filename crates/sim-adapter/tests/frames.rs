//! A valid frame gets a complete reply; a malformed one is rejected with an error that names the record and the byte.

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
    let header = [
        &(body.len() as u32 + 12).to_le_bytes()[..],
        &(records.len() as u32).to_le_bytes(),
    ]
    .concat();
    [&header[..], &now.to_le_bytes(), &body].concat()
}

fn start(settings: &str) -> Vec<u8> {
    let text = [
        &(settings.len() as u32).to_le_bytes()[..],
        settings.as_bytes(),
    ]
    .concat();
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

fn invocation(trailing: &[u8]) -> Vec<u8> {
    let identifiers = [
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
    record(
        5,
        &[&identifiers[..], &times, &sizes, &[0], trailing].concat(),
    )
}

fn run_adapter(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut output = vec![];
    let result = run(&mut &input[..], &mut output);
    (result.map_err(|error| error.to_string()), output)
}

/// A frame that starts an instance and delivers an endpoint list, and a frame with an invocation record that ends in
/// `trailing` bytes.
fn valid_input(trailing: &[u8]) -> Vec<u8> {
    let [list, update] = endpoint_list();
    [
        frame(1_000_000_000, &[start(SETTINGS), list, update]),
        frame(1_100_000_000, &[invocation(trailing)]),
    ]
    .concat()
}

#[test]
fn an_invocation_is_dispatched_and_trailing_bytes_are_skipped() {
    let (result, output) = run_adapter(&valid_input(&[]));
    assert_eq!(result, Ok(()));
    let dispatch = output.iter().position(|&b| b == 66).expect("a dispatch");
    assert_eq!(output[dispatch + 7..dispatch + 11], 77u32.to_le_bytes());
    assert_eq!(output[dispatch + 11..dispatch + 17], [10, 1, 2, 3, 5, 0]);
    assert_eq!(
        output[dispatch + 17..dispatch + 25],
        4_900_000_000u64.to_le_bytes()
    );
    assert_eq!(run_adapter(&valid_input(&[1, 2, 3])), (Ok(()), output));
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    assert_eq!(run_adapter(&frame(5, &[])), (Ok(()), vec![0; 4]));
    assert_eq!(run_adapter(&[]), (Ok(()), vec![]));
}

#[test]
fn truncated_input_is_rejected_after_whole_replies() {
    let input = valid_input(&[]);
    let first_length = frame(
        1_000_000_000,
        &[
            start(SETTINGS),
            endpoint_list()[0].clone(),
            endpoint_list()[1].clone(),
        ],
    )
    .len();
    let (_, first_reply) = run_adapter(&input[..first_length]);
    for cut in (1..input.len()).filter(|&cut| cut != first_length) {
        let (result, output) = run_adapter(&input[..cut]);
        assert!(result.unwrap_err().contains("byte"), "cut at {cut}");
        assert_eq!(
            output,
            if cut < first_length {
                vec![]
            } else {
                first_reply.clone()
            },
            "cut at {cut}"
        );
    }
}

#[test]
fn errors_name_the_record_and_the_byte() {
    let error_of = |records: &[Vec<u8>]| {
        let (result, output) = run_adapter(&frame(1, records));
        assert!(output.is_empty());
        result.unwrap_err()
    };
    assert!(
        error_of(&[invocation(&[])]).contains("record 0, byte 21: instance 0 was never started")
    );
    assert!(
        error_of(&[start(SETTINGS), record(6, &[0, 0, 1, 0, 0, 0, 0, 9, 0])])
            .contains("endpoint list 9 was never received")
    );
    assert!(error_of(&[start(SETTINGS), record(1, &[0, 0, 1])]).contains("record 1, byte"));
    assert!(error_of(&[start(SETTINGS), record(99, &[0, 0])]).contains("unknown event code 99"));
    assert!(error_of(&[start("{}")]).contains("setting 'classes' is missing"));
    assert!(error_of(&[start("nonsense")]).contains("settings are not JSON"));
    assert!(
        error_of(&[start(
            &SETTINGS.replace("\"tick\": 2000000", "\"tick\": \"x\"")
        )])
        .contains("'tick'")
    );
    let mut too_long = frame(1, &[]);
    too_long[0] += 1;
    too_long.push(0);
    assert!(
        run_adapter(&too_long)
            .0
            .unwrap_err()
            .contains("trailing bytes")
    );
}
