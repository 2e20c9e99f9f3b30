//! Rules 1 and 2: one final answer in time, and no second effect.

use crate::support::*;
use orchidtally_invariants::*;

#[test]
fn rule_1_finds_what_has_no_answer_two_or_a_late_one() {
    assert_eq!(broken(vec![offered(4.0, "b", 0)]), [1]);
    assert_eq!(
        broken(vec![answered(1.8, "a", FinalAnswer::Succeeded)]),
        [1]
    );
    assert_eq!(
        broken(vec![
            offered(4.0, "b", 0),
            answered(7.1, "b", FinalAnswer::Failed)
        ]),
        [1]
    );
    let lost = TrafficRecord::ConnectionLost {
        at: 5.0,
        invocation: "b".into(),
    };
    assert_eq!(broken(vec![offered(4.0, "b", 0), lost.clone()]), [1]);
    let killed = TrafficRecord::FrontEndKilled {
        at: 4.5,
        front_end: 0,
    };
    assert!(
        broken(vec![offered(4.0, "b", 0), lost, killed]).is_empty(),
        "a killed front end owes nothing"
    );
}

#[test]
fn rule_2_finds_second_effects() {
    let twice = vec![
        reached(1.9, "a", 2, 0, "act"),
        ended(2.0, "a", 2, 0, DispatchOutcome::Rejected),
    ];
    assert_eq!(broken(twice), [2], "sent again after it ran");
    let offer = |ty| {
        vec![
            offered(4.0, "b", ty),
            answered(5.0, "b", FinalAnswer::Rejected),
        ]
    };
    let mut throttled = offer(2);
    throttled.extend([
        reached(4.1, "b", 0, 0, "act"),
        ended(4.2, "b", 0, 0, DispatchOutcome::Crashed),
    ]);
    assert_eq!(broken(throttled), [2], "told harmless, and may have run");
    let mut outside = offer(0);
    outside.extend([
        reached(4.1, "b", 0, 0, "plan"),
        ended(4.2, "b", 0, 0, DispatchOutcome::Crashed),
    ]);
    outside[1] = answered(5.0, "b", FinalAnswer::Failed);
    let mut inside = outside.clone();
    outside.push(reached(4.3, "b", 1, 2, "plan"));
    inside.push(reached(4.3, "b", 1, 1, "plan"));
    assert_eq!(broken(outside), [2], "another cell");
    assert!(broken(inside.clone()).is_empty());
    inside.extend([ran(4.1, "b", 0), ran(4.3, "b", 1)]);
    assert_eq!(broken(inside), [2], "a token's effect twice in one cell");
    let mut both = vec![
        offered(4.0, "b", 0),
        answered(5.0, "b", FinalAnswer::Succeeded),
    ];
    both.extend([
        reached(4.1, "b", 0, 0, "look"),
        reached(4.2, "b", 1, 1, "look"),
    ]);
    both.push(ended(4.9, "b", 0, 0, DispatchOutcome::Succeeded));
    assert_eq!(broken(both.clone()), [2], "two out at a time");
    both.push(TrafficRecord::ReadsPaused {
        at: 4.0,
        executor: 0,
        until: 4.8,
    });
    assert!(
        broken(both).is_empty(),
        "it could not hear that it was cancelled"
    );
    let mut late = vec![
        offered(4.0, "b", 0),
        answered(5.0, "b", FinalAnswer::Succeeded),
    ];
    late.extend([
        reached(4.1, "b", 1, 1, "look"),
        reached(4.5, "b", 0, 0, "look"),
    ]);
    late.push(ended(4.9, "b", 1, 1, DispatchOutcome::Succeeded));
    assert_eq!(broken(late.clone()), [2]);
    late.push(TrafficRecord::ReadsPaused {
        at: 3.0,
        executor: 0,
        until: 4.45,
    });
    assert!(broken(late).is_empty(), "it was sent before, and read late");
}

/// Nobody answers while it is stopped; once it goes on, what is overdue is owed at once.
#[test]
fn an_answer_due_while_its_front_end_is_stopped_is_owed_when_it_goes_on() {
    let stopped = |from: f64, until: f64| TrafficRecord::FrontEndPaused {
        at: from,
        front_end: 0,
        until,
    };
    let late = |at: f64| {
        vec![
            offered(4.0, "b", 0),
            answered(at, "b", FinalAnswer::Rejected),
        ]
    };
    let with = |stop: TrafficRecord, at: f64| broken([vec![stop], late(at)].concat());
    assert_eq!(broken(late(8.05)), [1], "it was due at 7.0");
    assert!(with(stopped(6.0, 8.0), 8.05).is_empty());
    assert_eq!(with(stopped(6.0, 8.0), 8.2), [1], "not at once");
    assert_eq!(
        with(stopped(7.5, 8.0), 8.05),
        [1],
        "it was due before the stop"
    );
    assert_eq!(
        broken(vec![stopped(6.0, 8.0), offered(4.0, "b", 0)]),
        [1],
        "never"
    );
    let gave_up = |at: f64| TrafficRecord::ClientTimedOut {
        at,
        invocation: "b".into(),
    };
    assert!(broken(vec![stopped(6.0, 8.0), offered(4.0, "b", 0), gave_up(7.5)]).is_empty());
    assert_eq!(
        broken(vec![stopped(6.0, 7.35), offered(4.0, "b", 0), gave_up(7.5)]),
        [1],
        "it had its time"
    );
}

/// What has begun for a client that has left is a lost request; a moment is granted, and the time of a stop.
#[test]
fn an_attempt_that_begins_long_after_its_client_has_left_is_found() {
    let left = |at| TrafficRecord::ClientCancelled {
        at,
        invocation: "a".into(),
    };
    let broken =
        |records: &[TrafficRecord]| check_rules(&limits(), &[], records).rules[0].violations;
    let day = |attempt| {
        vec![
            offered(1.0, "a", 0),
            left(1.5),
            reached(attempt, "a", 0, 0, "look"),
        ]
    };
    assert_eq!(broken(&day(1.4)), 0);
    assert_eq!(broken(&day(1.79)), 0, "within 0.1 s and the transit");
    assert_eq!(broken(&day(1.81)), 1);
    let stopped = TrafficRecord::FrontEndPaused {
        at: 1.4,
        front_end: 0,
        until: 2.0,
    };
    assert_eq!(
        broken(&[day(2.2), vec![stopped.clone()]].concat()),
        0,
        "it could not hear of it before"
    );
    assert_eq!(broken(&[day(2.4), vec![stopped]].concat()), 1);
    let deaf = |until| TrafficRecord::ReadsPaused {
        at: 1.4,
        executor: 0,
        until,
    };
    assert_eq!(
        broken(&[day(2.2), vec![deaf(2.1)]].concat()),
        0,
        "it may have waited in the executor's socket"
    );
    assert_eq!(broken(&[day(2.4), vec![deaf(2.1)]].concat()), 1);
}
