//! The JSON that operators' tools and a coordinator exchange is a protocol, and the file names and entries of its
//! journal are a stored format. The examples in `stored_formats` were checked against the build of version 0.2.0 and
//! must not be changed.

use orchidtally_coordinator::{OperatorRequest, RolloutStatus, recover};
use orchidtally_journal::Journal;
use orchidtally_rollout::Phase;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::PathBuf;

const ORDERS: &str = include_str!("stored_formats/orders.jsonl");
const STATUS: &str = include_str!("stored_formats/status.json");
const COORDINATOR_STATE: &str =
    include_str!("../../rollout/tests/stored_formats/coordinator_state.json");

/// Reads one value a line, and checks that each is written again byte for byte.
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
fn orders_are_read_and_written_again() {
    let orders: Vec<OperatorRequest> = read_and_rewrite(ORDERS);
    let kind = |order: &OperatorRequest| match order {
        OperatorRequest::Start { .. } => "start",
        OperatorRequest::Pause { .. } => "pause",
        OperatorRequest::Resume { .. } => "resume",
        OperatorRequest::RollBack { .. } => "back",
        OperatorRequest::Advance { .. } => "advance",
        OperatorRequest::Finish { .. } => "finish",
    };
    let kinds: Vec<&str> = orders.iter().map(kind).collect();
    assert_eq!(
        kinds,
        ["start", "pause", "resume", "back", "advance", "finish"]
    );
}

#[test]
fn a_status_is_read_and_written_again() {
    let status: RolloutStatus = read_and_rewrite(STATUS).remove(0);
    assert_eq!(
        (status.phase, status.step, status.steps, status.share),
        (Phase::Shifting, 1, 2, 0.05)
    );
    assert_eq!(
        (status.step_duration, status.rate, status.rollback_threshold),
        (61.5, 120.5, 300.0)
    );
    assert_eq!(
        (
            status.old.answers,
            status.new.answers,
            status.evidence["errors"]
        ),
        (10, 20, 1.25)
    );
}

#[test]
fn the_last_entry_of_a_journal_is_the_state() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("stored-formats");
    let _ = std::fs::remove_dir_all(&folder);
    let (mut journal, _) = Journal::open(&folder).unwrap();
    journal
        .append(b"{\"published\":\"an earlier entry is not looked at\"}")
        .unwrap();
    let text = COORDINATOR_STATE.trim_end();
    journal.append(text.as_bytes()).unwrap();
    drop(journal);
    let (_, state) = recover(&folder).unwrap();
    assert_eq!(serde_json::to_string(&state).unwrap(), text);
}
