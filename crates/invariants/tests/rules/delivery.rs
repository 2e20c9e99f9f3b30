//! Rules 1 and 2: one final answer before the timeout, and no repeated side effect.

use crate::support::*;
use orchidtally_invariants::*;

#[test]
fn rule_1_detects_missing_repeated_and_late_answers() {
    assert_eq!(violated_rules(vec![invocation_sent(4.0, "b", 0)]), [1]);
    assert_eq!(
        violated_rules(vec![answer_received(1.8, "a", FinalAnswer::Succeeded)]),
        [1]
    );
    assert_eq!(
        violated_rules(vec![
            invocation_sent(4.0, "b", 0),
            answer_received(7.1, "b", FinalAnswer::Failed)
        ]),
        [1]
    );
    let lost = TrafficRecord::ConnectionLost {
        at: 5.0,
        invocation: "b".into(),
    };
    assert_eq!(
        violated_rules(vec![invocation_sent(4.0, "b", 0), lost.clone()]),
        [1]
    );
    let killed = TrafficRecord::FrontEndKilled {
        at: 4.5,
        front_end: 0,
    };
    assert!(
        violated_rules(vec![invocation_sent(4.0, "b", 0), lost, killed]).is_empty(),
        "no answer is required of a killed front end"
    );
}

#[test]
fn rule_2_detects_repeated_side_effects() {
    let repeated = vec![
        dispatch_arrived(1.9, "a", 2, 0, "act"),
        dispatch_ended(2.0, "a", 2, 0, DispatchOutcome::Rejected),
    ];
    assert_eq!(
        violated_rules(repeated),
        [2],
        "dispatched again after it ran"
    );
    let rejected_invocation = |trigger_type| {
        vec![
            invocation_sent(4.0, "b", trigger_type),
            answer_received(5.0, "b", FinalAnswer::Rejected),
        ]
    };
    let mut rejected = rejected_invocation(2);
    rejected.extend([
        dispatch_arrived(4.1, "b", 0, 0, "act"),
        dispatch_ended(4.2, "b", 0, 0, DispatchOutcome::Crashed),
    ]);
    assert_eq!(
        violated_rules(rejected),
        [2],
        "rejected, but it may have run"
    );
    let mut other_cell = rejected_invocation(0);
    other_cell.extend([
        dispatch_arrived(4.1, "b", 0, 0, "plan"),
        dispatch_ended(4.2, "b", 0, 0, DispatchOutcome::Crashed),
    ]);
    other_cell[1] = answer_received(5.0, "b", FinalAnswer::Failed);
    let mut same_cell = other_cell.clone();
    other_cell.push(dispatch_arrived(4.3, "b", 1, 2, "plan"));
    same_cell.push(dispatch_arrived(4.3, "b", 1, 1, "plan"));
    assert_eq!(violated_rules(other_cell), [2], "another cell");
    assert!(violated_rules(same_cell.clone()).is_empty());
    same_cell.extend([
        execution_started(4.1, "b", 0),
        execution_started(4.3, "b", 1),
    ]);
    assert_eq!(
        violated_rules(same_cell),
        [2],
        "one idempotency key executed twice in one cell"
    );
    let mut overlapping = vec![
        invocation_sent(4.0, "b", 0),
        answer_received(5.0, "b", FinalAnswer::Succeeded),
    ];
    overlapping.extend([
        dispatch_arrived(4.1, "b", 0, 0, "look"),
        dispatch_arrived(4.2, "b", 1, 1, "look"),
    ]);
    overlapping.push(dispatch_ended(4.9, "b", 0, 0, DispatchOutcome::Succeeded));
    assert_eq!(
        violated_rules(overlapping.clone()),
        [2],
        "two dispatches in flight"
    );
    overlapping.push(TrafficRecord::ReadsPaused {
        at: 4.0,
        executor: 0,
        until: 4.8,
    });
    assert!(
        violated_rules(overlapping).is_empty(),
        "the executor could not read the cancellation"
    );
    let mut delayed = vec![
        invocation_sent(4.0, "b", 0),
        answer_received(5.0, "b", FinalAnswer::Succeeded),
    ];
    delayed.extend([
        dispatch_arrived(4.1, "b", 1, 1, "look"),
        dispatch_arrived(4.5, "b", 0, 0, "look"),
    ]);
    delayed.push(dispatch_ended(4.9, "b", 1, 1, DispatchOutcome::Succeeded));
    assert_eq!(violated_rules(delayed.clone()), [2]);
    delayed.push(TrafficRecord::ReadsPaused {
        at: 3.0,
        executor: 0,
        until: 4.45,
    });
    assert!(
        violated_rules(delayed).is_empty(),
        "it may have been sent earlier and read late"
    );
}

/// A paused front end can't answer; overdue answers are required as soon as it resumes.
#[test]
fn an_answer_due_while_its_front_end_is_paused_is_required_once_it_resumes() {
    let paused = |from: f64, until: f64| TrafficRecord::FrontEndPaused {
        at: from,
        front_end: 0,
        until,
    };
    let answered_late = |at: f64| {
        vec![
            invocation_sent(4.0, "b", 0),
            answer_received(at, "b", FinalAnswer::Rejected),
        ]
    };
    let with_pause =
        |pause: TrafficRecord, at: f64| violated_rules([vec![pause], answered_late(at)].concat());
    assert_eq!(
        violated_rules(answered_late(8.05)),
        [1],
        "it was due at 7.0"
    );
    assert!(with_pause(paused(6.0, 8.0), 8.05).is_empty());
    assert_eq!(
        with_pause(paused(6.0, 8.0), 8.2),
        [1],
        "too long after the front end resumed"
    );
    assert_eq!(
        with_pause(paused(7.5, 8.0), 8.05),
        [1],
        "it was due before the pause"
    );
    assert_eq!(
        violated_rules(vec![paused(6.0, 8.0), invocation_sent(4.0, "b", 0)]),
        [1],
        "it was never answered"
    );
    let client_timed_out = |at: f64| TrafficRecord::ClientTimedOut {
        at,
        invocation: "b".into(),
    };
    assert!(
        violated_rules(vec![
            paused(6.0, 8.0),
            invocation_sent(4.0, "b", 0),
            client_timed_out(7.5)
        ])
        .is_empty()
    );
    assert_eq!(
        violated_rules(vec![
            paused(6.0, 7.35),
            invocation_sent(4.0, "b", 0),
            client_timed_out(7.5)
        ]),
        [1],
        "the front end had resumed long enough before"
    );
}

/// A dispatch that starts after its client has cancelled is wasted work. The cancellation margin and the time of a pause
/// are allowed for.
#[test]
fn a_dispatch_that_arrives_long_after_its_client_cancelled_is_detected() {
    let client_cancelled = |at| TrafficRecord::ClientCancelled {
        at,
        invocation: "a".into(),
    };
    let rule_1_violations =
        |records: &[TrafficRecord]| check_rules(&limits(), &[], records).rules[0].violations;
    let records = |arrived_at| {
        vec![
            invocation_sent(1.0, "a", 0),
            client_cancelled(1.5),
            dispatch_arrived(arrived_at, "a", 0, 0, "look"),
        ]
    };
    assert_eq!(rule_1_violations(&records(1.4)), 0);
    assert_eq!(
        rule_1_violations(&records(1.79)),
        0,
        "within the margin of 0.1 s and the transit time"
    );
    assert_eq!(rule_1_violations(&records(1.81)), 1);
    let paused = TrafficRecord::FrontEndPaused {
        at: 1.4,
        front_end: 0,
        until: 2.0,
    };
    assert_eq!(
        rule_1_violations(&[records(2.2), vec![paused.clone()]].concat()),
        0,
        "the paused front end could not read the cancellation earlier"
    );
    assert_eq!(rule_1_violations(&[records(2.4), vec![paused]].concat()), 1);
    let reads_paused = |until| TrafficRecord::ReadsPaused {
        at: 1.4,
        executor: 0,
        until,
    };
    assert_eq!(
        rule_1_violations(&[records(2.2), vec![reads_paused(2.1)]].concat()),
        0,
        "it may have been delayed in the executor's socket"
    );
    assert_eq!(
        rule_1_violations(&[records(2.4), vec![reads_paused(2.1)]].concat()),
        1
    );
}
