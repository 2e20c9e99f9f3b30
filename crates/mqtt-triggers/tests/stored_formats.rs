//! Tests that the JSON of journal records stays compatible: a build has to read the records of older builds and write
//! the same text. The fixtures were written by hand against version 0.2.0 and must not be changed.

use bytes::Bytes;
use orchidtally_mqtt_triggers::durable_invocations::{
    self, DurableInvocations, DurableOutcome, InvocationState,
};
use orchidtally_mqtt_triggers::ledger::{self, Answer, Idempotency, Ledger, Reply};
use serde::Serialize;
use serde::de::DeserializeOwned;

const LEDGER: &str = include_str!("stored_formats/ledger.jsonl");
const DURABLE_INVOCATIONS: &str = include_str!("stored_formats/promises.jsonl");

/// Reads one record per line, and checks that each serializes to the same bytes.
fn read_and_rewrite<Record: Serialize + DeserializeOwned>(lines: &str) -> Vec<Record> {
    let read_line = |line: &str| {
        let record: Record =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"));
        assert_eq!(serde_json::to_string(&record).unwrap(), line);
        record
    };
    lines.lines().map(read_line).collect()
}

/// Returns the values of a key in all lines, without consecutive duplicates.
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
fn ledger_records_round_trip() {
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
fn an_accepted_message_has_the_values_of_its_record() {
    let records: Vec<ledger::Record> = read_and_rewrite(LEDGER);
    let ledger::Record::Accepted {
        message_id,
        idempotency,
        packet_id,
        is_qos2,
        delivery_count,
        stored,
        answer,
    } = &records[0]
    else {
        panic!("{:?}", records[0]);
    };
    assert_eq!(
        (
            *message_id,
            *idempotency,
            *packet_id,
            *is_qos2,
            *delivery_count
        ),
        (1, Idempotency::Idempotent, Some(7), true, 1)
    );
    assert_eq!(
        (
            stored.name.as_str(),
            stored.topic.as_str(),
            stored.expires_at
        ),
        ("m-1", "orders/new", 1764600000.5)
    );
    assert_eq!(stored.payload, Bytes::from_static(b"hello\0\xff"));
    let reply = Reply {
        topic: "answers/m-1".into(),
        correlation: Bytes::from_static(b"corr"),
    };
    assert_eq!(stored.reply, Some(reply));
    let target = &stored.target;
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
fn idempotency_and_answers_have_the_values_of_their_records() {
    let records: Vec<ledger::Record> = read_and_rewrite(LEDGER);
    let idempotency = |record: &ledger::Record| match record {
        ledger::Record::Accepted { idempotency, .. } => Some(*idempotency),
        _ => None,
    };
    let idempotencies: Vec<Idempotency> = records.iter().filter_map(idempotency).collect();
    assert_eq!(
        idempotencies,
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
fn durable_invocation_records_round_trip() {
    let records: Vec<durable_invocations::Record> = read_and_rewrite(DURABLE_INVOCATIONS);
    assert_eq!(records.len(), 5);
    assert_eq!(
        tags(DURABLE_INVOCATIONS, "promise"),
        ["taken", "over", "dropped"]
    );
}

#[test]
fn durable_invocations_have_the_values_of_their_records() {
    let records: Vec<durable_invocations::Record> = read_and_rewrite(DURABLE_INVOCATIONS);
    let invocations = DurableInvocations::new(600.0, 100, 1_000).with_records(&records);
    let answered = |status, body: &'static [u8], is_complete| {
        InvocationState::Ended(DurableOutcome::Answered {
            status,
            body: Bytes::from_static(body),
            is_complete,
        })
    };
    assert_eq!(
        invocations.state("invocation-1"),
        Some(InvocationState::Running)
    );
    assert_eq!(
        invocations.state("invocation-2"),
        Some(answered(200, b"hello\0\xff", true))
    );
    assert_eq!(
        invocations.state("invocation-3"),
        Some(answered(504, b"", false))
    );
    assert_eq!(
        invocations.state("invocation-4"),
        Some(InvocationState::Ended(DurableOutcome::Unknown))
    );
    assert_eq!(invocations.state("invocation-5"), None);
}

#[test]
fn a_snapshot_of_durable_invocations_omits_released_names() {
    let records: Vec<durable_invocations::Record> = read_and_rewrite(DURABLE_INVOCATIONS);
    let invocations = DurableInvocations::new(600.0, 100, 1_000).with_records(&records);
    let written: Vec<String> = invocations
        .records()
        .iter()
        .map(|record| serde_json::to_string(record).unwrap())
        .collect();
    assert_eq!(
        written,
        DURABLE_INVOCATIONS.lines().take(4).collect::<Vec<_>>()
    );
}
