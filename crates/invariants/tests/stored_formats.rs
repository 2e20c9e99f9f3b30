//! `orchidtally rehearse --records` writes traffic records to files that later runs read, so that their JSON is a
//! stored format. The examples in `stored_formats` were checked against the build of version 0.2.0 and must not be
//! changed.

use orchidtally_invariants::{
    DeduplicationScope, Executor, Idempotency, Limits, MessageReport, SpreadReport, TrafficRecord,
    check_rules,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const RECORDS: &str = include_str!("stored_formats/records.jsonl");
const LIMITS: &str = include_str!("stored_formats/limits.jsonl");
const EXECUTOR: &str = include_str!("stored_formats/executor.json");

/// Reads one value per line and checks that each is written back byte for byte.
fn read_and_rewrite<Value: Serialize + DeserializeOwned>(lines: &str) -> Vec<Value> {
    let read_line = |line: &str| {
        let value: Value =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"));
        assert_eq!(serde_json::to_string(&value).unwrap(), line);
        value
    };
    lines.lines().map(read_line).collect()
}

#[test]
fn records_round_trip() {
    let records: Vec<TrafficRecord> = read_and_rewrite(RECORDS);
    assert_eq!(records.len(), 32);
    assert!(records.iter().all(|record| record.at() == 1.5));
    let kind = |line: &str| {
        let value: serde_json::Value = serde_json::from_str(line).unwrap();
        value["what"].as_str().unwrap().to_owned()
    };
    let mut kinds: Vec<String> = RECORDS.lines().map(kind).collect();
    kinds.dedup();
    assert_eq!(kinds.len(), 23, "{kinds:?}");
}

#[test]
fn limits_round_trip() {
    let limits: Vec<Limits> = read_and_rewrite(LIMITS);
    let first = &limits[0];
    let kinds: Vec<(Idempotency, DeduplicationScope)> = first
        .trigger_types
        .iter()
        .map(|trigger_type| (trigger_type.idempotency, trigger_type.deduplication_scope))
        .collect();
    let expected = [
        (Idempotency::Idempotent, DeduplicationScope::All),
        (Idempotency::Keyed, DeduplicationScope::Zone),
        (Idempotency::NonIdempotent, DeduplicationScope::Cell),
    ];
    assert_eq!(kinds, expected);
    assert_eq!(
        (
            first.allows_hedging,
            first.drain_grace,
            first.overload_window
        ),
        (true, 1.5, 2.5)
    );
    assert_eq!(
        (
            first.load_budget_floor,
            first.load_budget_fraction,
            first.load_budget_window
        ),
        (3.5, 0.5, 5.5)
    );
    assert_eq!(
        (
            first.max_transit_time,
            first.cancellation_margin,
            limits[1].cancellation_margin
        ),
        (0.25, Some(0.125), None)
    );
    let executor: Executor = read_and_rewrite(EXECUTOR).remove(0);
    assert_eq!((executor.zone, executor.cell), (1, 2));
}

#[test]
fn reports_are_written_with_the_same_keys() {
    let limits: Limits = read_and_rewrite(LIMITS).remove(0);
    let verdict = serde_json::to_string(&check_rules(&limits, &[], &[])).unwrap();
    let messages = serde_json::to_string(&MessageReport::default()).unwrap();
    let spread = serde_json::to_string(&SpreadReport::default()).unwrap();
    let written = [verdict, messages, spread].join("\n") + "\n";
    assert_eq!(
        written,
        include_str!("stored_formats/findings.jsonl"),
        "\n{written}"
    );
}
