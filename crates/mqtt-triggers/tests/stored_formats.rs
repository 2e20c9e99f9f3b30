//! The JSON of journal records is a stored format: a new build has to read what an older one wrote, and to write the
//! same. The examples were written by hand against the build of version 0.2.0 and must not be changed.

use bytes::Bytes;
use orchidtally_mqtt_triggers::durable_invocations::{
    self, DurableInvocations, DurableOutcome, InvocationState,
};
use orchidtally_mqtt_triggers::ledger::{self, Answer, Idempotency, Ledger, Reply};
use serde::Serialize;
use serde::de::DeserializeOwned;

const LEDGER: &str = include_str!("stored_formats/ledger.jsonl");
const PROMISES: &str = include_str!("stored_formats/promises.jsonl");

/// Reads one record a line, and checks that each is written again byte for byte.
fn read_and_rewrite<Record: Serialize + DeserializeOwned>(lines: &str) -> Vec<Record> {
    let read_line = |line: &str| {
        let record: Record =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"));
        assert_eq!(serde_json::to_string(&record).unwrap(), line);
        record
    };
    lines.lines().map(read_line).collect()
}

/// The values of a key in all lines, without repetitions that follow each other.
fn tags(lines: &str, key: &str) -> Vec<String> {
    let tag = |line: &str| {
        let value: serde_json::Value = serde_json::from_str(line).unwrap();
        value[key].as_str().unwrap().to_owned()
    };
    let mut tags: Vec<String> = lines.lines().map(tag).collect();
    tags.dedup();
    tags
}

#[test]
fn ledger_records_are_read_and_written_again() {
    let records: Vec<ledger::Record> = read_and_rewrite(LEDGER);
    assert_eq!(records.len(), 14);
    let expected = [
        "taken",
        "owned",
        "again",
        "dispatching",
        "answered",
        "publishing",
        "released",
        "done",
    ];
    assert_eq!(tags(LEDGER, "what"), expected);
}

#[test]
fn a_taken_message_has_the_values_of_its_record() {
    let records: Vec<ledger::Record> = read_and_rewrite(LEDGER);
    let ledger::Record::Accepted {
        message_id: n,
        idempotency: effect,
        packet_id,
        is_qos2,
        delivery_count: times,
        stored: held,
        answer,
    } = &records[0]
    else {
        panic!("{:?}", records[0]);
    };
    assert_eq!(
        (*n, *effect, *packet_id, *is_qos2, *times),
        (1, Idempotency::Idempotent, Some(7), true, 1)
    );
    assert_eq!(
        (held.name.as_str(), held.topic.as_str(), held.expires_at),
        ("m-1", "orders/new", 1764600000.5)
    );
    assert_eq!(held.payload, Bytes::from_static(b"hello\0\xff"));
    let reply = Reply {
        topic: "answers/m-1".into(),
        correlation: Bytes::from_static(b"corr"),
    };
    assert_eq!(held.reply, Some(reply));
    let target = &held.target;
    let names = [
        &target.function,
        &target.trigger_type,
        &target.customer,
        &target.token,
    ];
    assert_eq!(names, ["resize", "orders", "ann", "token-1"]);
    assert_eq!(*answer, None);
}

#[test]
fn effects_and_answers_have_the_values_of_their_records() {
    let records: Vec<ledger::Record> = read_and_rewrite(LEDGER);
    let effect = |record: &ledger::Record| match record {
        ledger::Record::Accepted {
            idempotency: effect,
            ..
        } => Some(*effect),
        _ => None,
    };
    let effects: Vec<Idempotency> = records.iter().filter_map(effect).collect();
    assert_eq!(
        effects,
        [
            Idempotency::Idempotent,
            Idempotency::Keyed {
                expires_at: 1764600300.25
            },
            Idempotency::NonIdempotent
        ]
    );
    let answer = |record: &ledger::Record| match record {
        ledger::Record::Answered { answer, .. } => Some(answer.clone()),
        _ => None,
    };
    let answers: Vec<Answer> = records.iter().filter_map(answer).collect();
    let expected = [
        Answer::Succeeded {
            payload: Bytes::from_static(&[0, 1, 2]),
        },
        Answer::Rejected,
        Answer::Failed {
            reason: "it failed".into(),
            may_have_run: true,
        },
        Answer::Unknown,
        Answer::DeadLettered {
            reason: "taken too often".into(),
        },
    ];
    assert_eq!(answers, expected);
}

#[test]
fn a_ledger_recovered_from_a_journal_writes_the_same_snapshot() {
    let read: Vec<ledger::Record> = read_and_rewrite(LEDGER);
    let (ledger, _) = Ledger::recover(&read[..6], u32::MAX, 1764600000.0);
    let lines: Vec<String> = ledger
        .snapshot()
        .iter()
        .map(|r| serde_json::to_string(r).unwrap())
        .collect();
    let expected = include_str!("stored_formats/ledger_snapshot.jsonl");
    assert_eq!(
        lines,
        expected.lines().collect::<Vec<_>>(),
        "\n{}",
        lines.join("\n")
    );
}

#[test]
fn promises_are_read_and_written_again() {
    let records: Vec<durable_invocations::Record> = read_and_rewrite(PROMISES);
    assert_eq!(records.len(), 5);
    assert_eq!(tags(PROMISES, "promise"), ["taken", "over", "dropped"]);
}

#[test]
fn promises_have_the_values_of_their_records() {
    let records: Vec<durable_invocations::Record> = read_and_rewrite(PROMISES);
    let promises = DurableInvocations::new(600.0, 100, 1_000).with_records(&records);
    let answered = |status, body: &'static [u8], whole| {
        InvocationState::Ended(DurableOutcome::Answered {
            status,
            body: Bytes::from_static(body),
            is_complete: whole,
        })
    };
    assert_eq!(
        promises.state("invocation-1"),
        Some(InvocationState::Running)
    );
    assert_eq!(
        promises.state("invocation-2"),
        Some(answered(200, b"hello\0\xff", true))
    );
    assert_eq!(
        promises.state("invocation-3"),
        Some(answered(504, b"", false))
    );
    assert_eq!(
        promises.state("invocation-4"),
        Some(InvocationState::Ended(DurableOutcome::Unknown))
    );
    assert_eq!(promises.state("invocation-5"), None);
}

#[test]
fn a_snapshot_of_promises_is_the_records_that_still_count() {
    let records: Vec<durable_invocations::Record> = read_and_rewrite(PROMISES);
    let promises = DurableInvocations::new(600.0, 100, 1_000).with_records(&records);
    let written: Vec<String> = promises
        .records()
        .iter()
        .map(|record| serde_json::to_string(record).unwrap())
        .collect();
    assert_eq!(written, PROMISES.lines().take(4).collect::<Vec<_>>());
}
