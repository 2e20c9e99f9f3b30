//! Property tests of the codec with arbitrary chunk sizes and arbitrary bytes.

use bytes::Bytes;
use orchidtally_executor_protocol::v1::{Answer, Dispatch, Sender};
use orchidtally_executor_protocol::{Deframer, FramingError, MAX_MESSAGE_LENGTH, frame};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

fn dispatch(function: String, time_left: u64) -> Dispatch {
    let from = Some(Sender {
        index: 3,
        count: 7,
        incarnation: u64::MAX,
    });
    Dispatch {
        from,
        function,
        time_left,
        number: 2,
        ..Dispatch::default()
    }
}

#[test]
fn message_and_payload_are_decoded_for_any_chunk_size() {
    let inputs = (
        ".{0,300}",
        any::<u64>(),
        prop::collection::vec(any::<u8>(), 0..500),
        1usize..90,
    );
    let outcome = runner(400).run(&inputs, |(function, time_left, payload, step)| {
        let sent = dispatch(function, time_left);
        let mut bytes = frame(&sent).to_vec();
        bytes.extend(&payload);
        let (mut deframer, mut decoded) = (Deframer::default(), None);
        for chunk in bytes.chunks(step) {
            deframer.push(Bytes::copy_from_slice(chunk));
            if decoded.is_none() {
                decoded = deframer
                    .next_message::<Dispatch>(MAX_MESSAGE_LENGTH)
                    .unwrap();
            }
        }
        prop_assert_eq!(decoded, Some(sent));
        let rest: Vec<u8> = std::iter::from_fn(|| deframer.next_payload_chunk())
            .flatten()
            .collect();
        prop_assert_eq!(rest, payload);
        prop_assert!(deframer.is_empty());
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn arbitrary_bytes_decode_to_a_message_or_an_error_within_the_length_limit() {
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    let mut errors = 0;
    let outcome = runner(2_000).run(&bytes, |bytes| {
        let mut deframer = Deframer::default();
        deframer.push(Bytes::from(bytes.clone()));
        let length = bytes
            .get(..4)
            .map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]) as usize);
        match (deframer.next_message::<Answer>(MAX_MESSAGE_LENGTH), length) {
            (Ok(Some(_)), Some(length)) => prop_assert!(length + 4 <= bytes.len()),
            (Ok(None), Some(length)) => {
                prop_assert!(length + 4 > bytes.len());
                let missing = length + 4 - bytes.len();
                prop_assert_eq!(
                    deframer.truncation_error(),
                    FramingError::Truncated { missing }
                );
            }
            (Ok(None), None) => prop_assert!(bytes.len() < 4),
            (Err(FramingError::TooLong { length, max }), Some(stated)) => {
                prop_assert!(length == stated && length > max);
            }
            (Err(FramingError::Malformed(_)), Some(length)) => {
                prop_assert!(length <= MAX_MESSAGE_LENGTH)
            }
            other => return Err(TestCaseError::fail(format!("{other:?}"))),
        }
        Ok(())
    });
    outcome.unwrap();
    let mut wrong = Deframer::default();
    wrong.push(Bytes::from_static(&[0, 0, 0, 2, 0x0a, 0xff]));
    errors += usize::from(matches!(
        wrong.next_message::<Answer>(MAX_MESSAGE_LENGTH),
        Err(FramingError::Malformed(_))
    ));
    assert_eq!(
        errors, 1,
        "a message whose field extends past its end is malformed"
    );
}
