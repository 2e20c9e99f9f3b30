//! Guards the compatibility of the JSON that operators' tools exchange with a coordinator, and of the files of its
//! journal. The examples in `stored_formats` were checked against the build of version 0.2.0 and must not be changed.

use orchidtally_coordinator::{OperatorRequest, RolloutStatus, recover};
use orchidtally_journal::Journal;
use orchidtally_rollout::Phase;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::PathBuf;

const OPERATOR_REQUESTS: &str = include_str!("stored_formats/orders.jsonl");
const STATUS: &str = include_str!("stored_formats/status.json");
const COORDINATOR_STATE: &str =
    include_str!("../../rollout/tests/stored_formats/coordinator_state.json");

/// Deserializes one value a line, and checks that serializing it gives the same bytes.
fn round_trip<Value: Serialize + DeserializeOwned>(lines: &str) -> Vec<Value> {
    let read_line = |line: &str| {
        let value: Value =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"));
        assert_eq!(serde_json::to_string(&value).unwrap(), line);
        value
    };
    lines.lines().map(read_line).collect()
}

#[test]
fn operator_requests_round_trip() {
    let requests: Vec<OperatorRequest> = round_trip(OPERATOR_REQUESTS);
    let kind = |request: &OperatorRequest| match request {
        OperatorRequest::Start { .. } => "start",
        OperatorRequest::Pause { .. } => "pause",
        OperatorRequest::Resume { .. } => "resume",
        OperatorRequest::RollBack { .. } => "back",
        OperatorRequest::Advance { .. } => "advance",
        OperatorRequest::Finish { .. } => "finish",
    };
    let kinds: Vec<&str> = requests.iter().map(kind).collect();
    assert_eq!(
        kinds,
        ["start", "pause", "resume", "back", "advance", "finish"]
    );
}

#[test]
fn a_status_round_trips() {
    let status: RolloutStatus = round_trip(STATUS).remove(0);
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
fn recovery_reads_the_last_entry_of_the_journal() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("stored-formats");
    let _ = std::fs::remove_dir_all(&directory);
    let (mut journal, _) = Journal::open(&directory).unwrap();
    journal
        .append(b"{\"published\":\"an earlier entry is not looked at\"}")
        .unwrap();
    let text = COORDINATOR_STATE.trim_end();
    journal.append(text.as_bytes()).unwrap();
    drop(journal);
    let (_, state) = recover(&directory).unwrap();
    assert_eq!(serde_json::to_string(&state).unwrap(), text);
}
