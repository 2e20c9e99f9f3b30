//! Rules 3 to 5: draining executors, cold executors and the load budget.

use crate::support::*;
use orchidtally_invariants::*;

#[test]
fn rule_3_detects_work_sent_after_the_drain_grace() {
    let drained = |at| {
        vec![
            endpoint_notified(3.0, 0, EndpointState::Draining, 0.0),
            invocation_sent(at, "b", 0),
            dispatch_arrived(at, "b", 0, 0, "look"),
        ]
    };
    let with_answer = |mut records: Vec<TrafficRecord>, at| {
        records.extend([
            dispatch_ended(at, "b", 0, 0, DispatchOutcome::Succeeded),
            answer_received(at, "b", FinalAnswer::Succeeded),
        ]);
        records
    };
    assert!(violated_rules(with_answer(drained(3.9), 3.95)).is_empty());
    assert_eq!(violated_rules(with_answer(drained(4.5), 4.6)), [3]);
    let mut repeated = drained(4.5);
    repeated.push(endpoint_notified(4.0, 0, EndpointState::Gone, 0.0));
    assert_eq!(
        violated_rules(with_answer(repeated, 4.6)),
        [3],
        "a repeated notification does not restart the grace period"
    );
    let load_command = TrafficRecord::LoadCommandArrived {
        at: 4.5,
        executor: 0,
        front_end: 0,
        incarnation: 7,
        replicas: 1,
    };
    assert_eq!(
        violated_rules(vec![
            endpoint_notified(3.0, 0, EndpointState::Gone, 0.0),
            load_command
        ]),
        [3]
    );
}

#[test]
fn rule_4_detects_a_cold_executor_overloaded_by_notified_front_ends() {
    let overloaded = |notified_start| {
        let mut records = vec![
            endpoint_notified(3.0, 2, EndpointState::Ready, notified_start),
            invocation_sent(3.5, "b", 0),
        ];
        records.extend([
            dispatch_arrived(3.5, "b", 0, 2, "look"),
            dispatch_ended(3.6, "b", 0, 2, DispatchOutcome::Crashed),
        ]);
        records.extend([
            answer_received(3.7, "b", FinalAnswer::Failed),
            TrafficRecord::ExecutorOverloaded {
                at: 3.6,
                executor: 2,
                started_at: 2.9,
            },
        ]);
        records
    };
    assert_eq!(violated_rules(overloaded(2.9)), [4]);
    assert!(
        violated_rules(overloaded(f64::NEG_INFINITY)).is_empty(),
        "no front end was notified of its start"
    );
}

#[test]
fn rule_5_detects_load_commands_over_the_budget() {
    let load_command = |n: usize| TrafficRecord::LoadCommandArrived {
        at: 2.1 + n as f64 / 100.0,
        executor: 1,
        front_end: 0,
        incarnation: 7,
        replicas: 1,
    };
    assert!(violated_rules(vec![load_command(0)]).is_empty());
    assert_eq!(
        violated_rules(vec![load_command(0), load_command(1), load_command(2)]),
        [5],
        "the budget is two and a half"
    );
    let late = TrafficRecord::LoadCommandArrived {
        at: 7.5,
        executor: 1,
        front_end: 0,
        incarnation: 7,
        replicas: 1,
    };
    assert!(
        violated_rules(vec![load_command(0), late]).is_empty(),
        "the window has moved on"
    );
    let reads_paused = |executor| TrafficRecord::ReadsPaused {
        at: 1.0,
        executor,
        until: 2.05,
    };
    assert!(
        violated_rules(vec![
            load_command(0),
            load_command(1),
            load_command(2),
            reads_paused(1)
        ])
        .is_empty(),
        "they may have been sent before the window"
    );
    assert_eq!(
        violated_rules(vec![
            load_command(0),
            load_command(1),
            load_command(2),
            reads_paused(2)
        ]),
        [5],
        "another executor paused its reads"
    );
}
