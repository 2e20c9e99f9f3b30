//! Guards the compatibility of the JSON of rollouts: the state in a coordinator's journal, operators' commands, the
//! state that is published to front ends, and their reports. The examples in `stored_formats` were checked against the
//! build of version 0.2.0 and must not be changed.

use orchidtally_rollout::coordinator::{Command, CoordinatorState};
use orchidtally_rollout::evidence::{Counts, StratumKey};
use orchidtally_rollout::forecast::StepForecast;
use orchidtally_rollout::frontend::EvidenceReport;
use orchidtally_rollout::plan::{GATES, Gate, InconclusiveAction, StickyKey};
use orchidtally_rollout::{Epoch, Phase, Plan, PublishedState};
use serde::Serialize;
use serde::de::DeserializeOwned;

const COMMANDS: &str = include_str!("stored_formats/commands.jsonl");
const PUBLISHED: &str = include_str!("stored_formats/published.json");
const COORDINATOR_STATE: &str = include_str!("stored_formats/coordinator_state.json");
const REPORTS: &str = include_str!("stored_formats/reports.jsonl");
const FORECASTS: &str = include_str!("stored_formats/forecasts.jsonl");

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

fn plans(commands: &[Command]) -> Vec<&Plan> {
    let mut plans = vec![];
    for command in commands {
        if let Command::Start { plan, .. } = command {
            plans.push(&**plan);
        }
    }
    plans
}

#[test]
fn commands_round_trip() {
    let commands: Vec<Command> = round_trip(COMMANDS);
    let kind = |command: &Command| match command {
        Command::Start { .. } => "start",
        Command::Pause { .. } => "pause",
        Command::Resume { .. } => "resume",
        Command::RollBack { .. } => "back",
        Command::Advance { .. } => "advance",
        Command::Finish { .. } => "finish",
    };
    let mut kinds: Vec<&str> = commands.iter().map(kind).collect();
    kinds.dedup();
    assert_eq!(
        kinds,
        ["start", "pause", "resume", "back", "advance", "finish"]
    );
}

#[test]
fn a_plan_has_the_values_of_its_json() {
    let commands: Vec<Command> = round_trip(COMMANDS);
    let plans = plans(&commands);
    let keys: Vec<StickyKey> = plans.iter().map(|plan| plan.key.clone()).collect();
    assert_eq!(
        keys,
        [
            StickyKey::Header("x-session".into()),
            StickyKey::Invocation,
            StickyKey::Customer,
            StickyKey::Token
        ]
    );
    let inconclusive_actions: Vec<InconclusiveAction> =
        plans.iter().map(|plan| plan.on_inconclusive).collect();
    assert_eq!(
        inconclusive_actions,
        [
            InconclusiveAction::Hold,
            InconclusiveAction::Advance,
            InconclusiveAction::RollBack,
            InconclusiveAction::Hold
        ]
    );
    let plan = plans[0];
    let gates: Vec<(Gate, f64, bool)> = plan
        .gates
        .iter()
        .map(|policy| (policy.gate, policy.ratio, policy.rolls_back))
        .collect();
    let expected = [
        (Gate::Errors, 1.25, true),
        (Gate::Slow, 1.5, true),
        (Gate::SlowTail, 2.0, false),
        (Gate::LoadFailures, 3.0, true),
        (Gate::Throttled, 1.125, false),
    ];
    assert_eq!(gates, expected);
    assert_eq!(
        (
            plan.false_positive_rate,
            plan.loads_per_second,
            plan.priority
        ),
        (0.01, 2.5, 3)
    );
    assert_eq!(
        (plan.holdback, plan.old_version_retention, plan.rate),
        (0.0625, 600.0, Some(120.5))
    );
    let step = &plan.steps[0];
    assert_eq!(
        (
            step.share,
            step.min_duration,
            step.min_samples,
            step.max_duration
        ),
        (0.05, 60.0, 100, Some(3600.0))
    );
    assert_eq!(
        (step.customers[0].as_str(), step.locations[0].as_str()),
        ("ann", "east")
    );
}

#[test]
fn the_published_state_round_trips() {
    let published: PublishedState = round_trip(PUBLISHED).remove(0);
    assert_eq!(
        published.epoch,
        Epoch {
            term: 7,
            nonce: u64::MAX - 1
        }
    );
    let phases: Vec<Phase> = published
        .rollouts
        .values()
        .map(|rollout| rollout.phase)
        .collect();
    let expected = [
        Phase::Planned,
        Phase::Shifting,
        Phase::Paused,
        Phase::RetainingOld,
        Phase::Finished,
        Phase::RolledBack,
    ];
    assert_eq!(phases, expected);
    assert_eq!(published.aliases["resize"]["canary"], "2f");
}

#[test]
fn the_state_in_a_coordinators_journal_round_trips() {
    let state: CoordinatorState = round_trip(COORDINATOR_STATE).remove(0);
    assert_eq!(
        (state.published.revision, state.rounds[&13]),
        (42, (4, 1764600002.5))
    );
    let run = &state.runs["r1"];
    assert_eq!(
        run.step_counts[1],
        Counts {
            answers: 20,
            warm: 19,
            loads: 2,
            events: [6, 7, 8, 9, 10]
        }
    );
    assert_eq!(
        run.total_counts[0],
        Counts {
            answers: 30,
            warm: 29,
            loads: 3,
            events: [11, 12, 13, 14, 15]
        }
    );
    assert_eq!(
        (run.step_duration, run.is_held, run.digest_mismatches),
        (61.5, true, 2)
    );
    assert_eq!(
        run.local_rollback.as_deref(),
        Some("'errors' is worse by its own evidence")
    );
    let event = &run.history[1];
    assert_eq!((event.at, event.run, event.revision), (1764600060.25, 5, 2));
    assert_eq!(
        (event.phase, event.step, event.by_operator),
        (Phase::Shifting, 1, false)
    );
    assert!(run.tests.evidence(Gate::Errors) > run.tests.evidence(Gate::Slow));
}

#[test]
fn evidence_reports_round_trip() {
    let reports: Vec<EvidenceReport> = round_trip(REPORTS);
    let report = &reports[0];
    assert_eq!((report.front_end, report.index, report.round), (99, 3, 17));
    let delta = &report.deltas[0];
    assert_eq!(
        (delta.run, delta.digest_mismatches, delta.ready, delta.rate),
        (5, 1, true, 60.25)
    );
    let slot = &delta.slots[0];
    assert_eq!(
        slot.stratum,
        StratumKey {
            trigger_type: 1,
            customer: 2,
            location: 3
        }
    );
    assert_eq!((slot.share, slot.old.warm, slot.new.loads), (0.05, 9, 2));
}

#[test]
fn forecasts_round_trip() {
    let forecasts: Vec<StepForecast> = round_trip(FORECASTS);
    let first = &forecasts[0];
    assert_eq!(
        (
            first.step,
            first.replicas,
            first.load_commands,
            first.answers_to_detect
        ),
        (0, 3, 6, 900)
    );
    assert_eq!(
        (first.load_duration, first.sampling_duration, first.duration),
        (1.5, Some(120.5), 180.0)
    );
}

#[test]
fn gates_keep_their_names_and_order() {
    assert_eq!(
        GATES.map(Gate::name),
        ["errors", "slow", "slowTail", "loadFailures", "throttled"]
    );
    let names = GATES.map(|gate| serde_json::to_value(gate).unwrap());
    assert_eq!(names, GATES.map(Gate::name));
}
