//! Rules 3 to 5: draining executors, cold executors and the load budget.

use crate::support::*;
use orchidtally_invariants::*;

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
