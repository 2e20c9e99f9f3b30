//! Each rule finds the breach that is planted, and nothing in a clean day.

use orchidtally_invariants::*;

fn limits() -> Limits {
    let ty = |name: &str, effect, group| TriggerType {
        name: name.into(),
        idempotency: effect,
        deduplication_scope: group,
        deduplication_window: 5.0,
        latency_objective: 1.0,
    };
    Limits {
        trigger_types: vec![
            ty("look", Idempotency::Idempotent, DeduplicationScope::All),
            ty("plan", Idempotency::Keyed, DeduplicationScope::Cell),
            ty("act", Idempotency::NonIdempotent, DeduplicationScope::All),
        ],
        allows_hedging: false,
        drain_grace: 1.0,
        overload_window: 1.0,
        load_budget_floor: 2.0,
        load_budget_fraction: 0.5,
        load_budget_window: 5.0,
        max_transit_time: 0.2,
        cancellation_margin: Some(0.1),
    }
}

fn offered(at: f64, name: &str, trigger_type: usize) -> TrafficRecord {
    TrafficRecord::InvocationSent {
        at,
        client: 0,
        invocation: name.into(),
        front_end: 0,
        trigger_type,
        timeout_at: at + 3.0,
    }
}

fn answered(at: f64, name: &str, answer: FinalAnswer) -> TrafficRecord {
    TrafficRecord::AnswerReceived {
        at,
        invocation: name.into(),
        answer,
    }
}

fn reached(at: f64, name: &str, number: u32, executor: usize, trigger_type: &str) -> TrafficRecord {
    let token = if trigger_type == "plan" { "token" } else { "" };
    TrafficRecord::DispatchArrived {
        at,
        executor,
        front_end: 0,
        incarnation: 7,
        invocation: name.into(),
        number,
        token: token.into(),
        trigger_type: trigger_type.into(),
    }
}

fn ran(at: f64, name: &str, executor: usize) -> TrafficRecord {
    TrafficRecord::ExecutionStarted {
        at,
        executor,
        invocation: name.into(),
    }
}

fn ended(
    at: f64,
    name: &str,
    number: u32,
    executor: usize,
    ending: DispatchOutcome,
) -> TrafficRecord {
    TrafficRecord::DispatchEnded {
        at,
        executor,
        invocation: name.into(),
        number,
        outcome: ending,
    }
}

fn told(at: f64, executor: usize, standing: EndpointState, since: f64) -> TrafficRecord {
    TrafficRecord::EndpointNotified {
        at,
        front_end: 0,
        incarnation: 7,
        executor,
        state: standing,
        started_at: since,
    }
}

fn clean() -> Vec<TrafficRecord> {
    vec![
        told(0.0, 0, EndpointState::Ready, f64::NEG_INFINITY),
        told(0.0, 1, EndpointState::Ready, f64::NEG_INFINITY),
        offered(1.0, "a", 2),
        reached(1.1, "a", 0, 0, "act"),
        ended(1.2, "a", 0, 0, DispatchOutcome::Rejected),
        reached(1.3, "a", 1, 1, "act"),
        ran(1.3, "a", 1),
        ended(1.6, "a", 1, 1, DispatchOutcome::Succeeded),
        answered(1.7, "a", FinalAnswer::Succeeded),
        TrafficRecord::LoadCommandArrived {
            at: 2.0,
            executor: 0,
            front_end: 0,
            incarnation: 7,
            replicas: 1,
        },
    ]
}

/// The rules that are broken when some records are added to a clean day.
fn broken(added: Vec<TrafficRecord>) -> Vec<u8> {
    let fleet = [0, 0, 1].map(|cell| Executor { location: 0, cell });
    let records: Vec<TrafficRecord> = clean().into_iter().chain(added).collect();
    let verdict = check_rules(&limits(), &fleet, &records);
    assert_eq!(
        verdict
            .rules
            .iter()
            .map(|r| r.violations as usize)
            .sum::<usize>()
            == 0,
        verdict.holds()
    );
    verdict
        .rules
        .iter()
        .filter(|r| r.violations > 0)
        .map(|r| r.rule)
        .collect()
}

#[test]
fn a_clean_day_is_kept_and_was_looked_at() {
    let fleet = [0, 0, 1].map(|cell| Executor { location: 0, cell });
    let verdict = check_rules(&limits(), &fleet, &clean());
    assert!(verdict.holds(), "{:?}", verdict.rules);
    assert_eq!((verdict.invocations, verdict.succeeded), (1, 1));
    let checked: Vec<u64> = verdict.rules.iter().map(|r| r.checked).collect();
    assert!(
        checked[0] == 1 && checked[1] >= 4 && checked[2] == 3 && checked[4] == 1,
        "{checked:?}"
    );
}

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

#[test]
fn rule_3_finds_what_is_sent_past_the_grace() {
    let drain = |at| {
        vec![
            told(3.0, 0, EndpointState::Draining, 0.0),
            offered(at, "b", 0),
            reached(at, "b", 0, 0, "look"),
        ]
    };
    let finish = |mut v: Vec<TrafficRecord>, at| {
        v.extend([
            ended(at, "b", 0, 0, DispatchOutcome::Succeeded),
            answered(at, "b", FinalAnswer::Succeeded),
        ]);
        v
    };
    assert!(broken(finish(drain(3.9), 3.95)).is_empty());
    assert_eq!(broken(finish(drain(4.5), 4.6)), [3]);
    let mut again = drain(4.5);
    again.push(told(4.0, 0, EndpointState::Gone, 0.0));
    assert_eq!(
        broken(finish(again, 4.6)),
        [3],
        "told again, it has no new grace"
    );
    let order = TrafficRecord::LoadCommandArrived {
        at: 4.5,
        executor: 0,
        front_end: 0,
        incarnation: 7,
        replicas: 1,
    };
    assert_eq!(
        broken(vec![told(3.0, 0, EndpointState::Gone, 0.0), order]),
        [3]
    );
}

#[test]
fn rule_4_finds_a_cold_executor_pushed_over_by_those_who_knew() {
    let fall = |since| {
        let mut day = vec![
            told(3.0, 2, EndpointState::Ready, since),
            offered(3.5, "b", 0),
        ];
        day.extend([
            reached(3.5, "b", 0, 2, "look"),
            ended(3.6, "b", 0, 2, DispatchOutcome::Crashed),
        ]);
        day.extend([
            answered(3.7, "b", FinalAnswer::Failed),
            TrafficRecord::ExecutorOverloaded {
                at: 3.6,
                executor: 2,
                started_at: 2.9,
            },
        ]);
        day
    };
    assert_eq!(broken(fall(2.9)), [4]);
    assert!(
        broken(fall(f64::NEG_INFINITY)).is_empty(),
        "nobody was told of its start"
    );
}

#[test]
fn rule_5_finds_orders_over_the_ration() {
    let order = |n: usize| TrafficRecord::LoadCommandArrived {
        at: 2.1 + n as f64 / 100.0,
        executor: 1,
        front_end: 0,
        incarnation: 7,
        replicas: 1,
    };
    assert!(broken(vec![order(0)]).is_empty());
    assert_eq!(
        broken(vec![order(0), order(1), order(2)]),
        [5],
        "two and a half are granted"
    );
    let late = TrafficRecord::LoadCommandArrived {
        at: 7.5,
        executor: 1,
        front_end: 0,
        incarnation: 7,
        replicas: 1,
    };
    assert!(
        broken(vec![order(0), late]).is_empty(),
        "the window has moved on"
    );
    let deaf = |executor| TrafficRecord::ReadsPaused {
        at: 1.0,
        executor,
        until: 2.05,
    };
    assert!(
        broken(vec![order(0), order(1), order(2), deaf(1)]).is_empty(),
        "they were given before"
    );
    assert_eq!(
        broken(vec![order(0), order(1), order(2), deaf(2)]),
        [5],
        "another one was deaf"
    );
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
