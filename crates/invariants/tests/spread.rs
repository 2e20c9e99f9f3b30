//! The measures of spread on records written by hand: each finds what it is for, and nothing where that is not.

use orchidtally_invariants::{DispatchOutcome, SpreadReport, TrafficRecord, measure_spread};

fn stands(executor: usize, lanes: u32) -> TrafficRecord {
    TrafficRecord::ExecutorReady {
        at: 0.0,
        executor,
        concurrency: lanes,
    }
}

fn reached(at: f64, executor: usize) -> TrafficRecord {
    TrafficRecord::DispatchArrived {
        at,
        executor,
        front_end: 0,
        incarnation: 1,
        invocation: format!("{at}-{executor}"),
        number: 1,
        idempotency_key: String::new(),
        trigger_type: "look".into(),
    }
}

fn ended(at: f64, executor: usize) -> TrafficRecord {
    let (invocation, number, ending) = (String::new(), 1, DispatchOutcome::Succeeded);
    TrafficRecord::DispatchEnded {
        at,
        executor,
        invocation,
        number,
        outcome: ending,
    }
}

/// Four executors, the last with twice the lanes; a hundred dispatches a second by lanes, each over in 10 ms.
fn even(seconds: u32) -> Vec<TrafficRecord> {
    let mut records: Vec<TrafficRecord> = [2, 2, 2, 4]
        .into_iter()
        .enumerate()
        .map(|(x, l)| stands(x, l))
        .collect();
    for n in 0..seconds * 100 {
        let (at, x) = (
            f64::from(n) / 100.0 + 0.005,
            [0, 3, 1, 3, 2][n as usize % 5],
        );
        records.extend([reached(at, x), ended(at + 0.01, x)]);
    }
    records
}

#[test]
fn even_traffic_has_no_herd_no_idleness_and_no_peak() {
    let seen = measure_spread(&even(4), 0.0);
    assert_eq!((seen.executors, seen.dispatches, seen.herds), (4, 400, 0));
    assert_eq!(seen.idle_beside_queue, 0.0);
    assert!((seen.peak_over_fair - 1.0).abs() < 0.05, "{seen:?}");
}

#[test]
fn many_at_once_to_one_executor_are_one_herd() {
    // Five of the usual ones and 19 more: a fair part of 9 bears 9 + 4 * 3 + 4. With 35 it is 12, and 30 are borne.
    let with = |more: u32| {
        let mut records = even(4);
        records.extend((0..more).map(|n| reached(2.0 + f64::from(n) * 1e-3, 0)));
        records
    };
    assert_eq!(measure_spread(&with(19), 0.0).herds, 0);
    let records = with(35);
    let seen = measure_spread(&records, 0.0);
    assert_eq!(seen.herds, 1, "{seen:?}");
    assert!(seen.last_herd.is_some_and(|at| (2.0..2.3).contains(&at)));
    assert!(seen.peak_over_fair > 1.1, "{seen:?}");
    assert_eq!(
        measure_spread(&records, 2.5).herds,
        0,
        "looked at from later on"
    );
}

#[test]
fn an_empty_executor_beside_a_queue_is_counted_for_as_long_as_both_last() {
    let mut records = vec![stands(0, 1), stands(1, 1)];
    // Four in hand at the first from 1 s on; two of them end at 3 s.
    records.extend((0..4).map(|n| reached(1.0 + f64::from(n) * 1e-6, 0)));
    records.extend([ended(3.0, 0), ended(3.0, 0), ended(5.0, 0), ended(5.0, 0)]);
    let seen = measure_spread(&records, 0.0);
    assert!(
        (seen.idle_beside_queue - 2.0 / 10.0).abs() < 1e-3,
        "{seen:?}"
    );
    records.push(TrafficRecord::ExecutorDown {
        at: 0.5,
        executor: 1,
    });
    assert_eq!(
        measure_spread(&records, 0.0).idle_beside_queue,
        0.0,
        "one that is down is not idle"
    );
}

#[test]
fn copies_of_what_stands_elsewhere_are_told_apart() {
    let loads = |at, executor| TrafficRecord::LoadStarted {
        at,
        executor,
        function: "f".into(),
    };
    let records = [
        stands(0, 1),
        stands(1, 1),
        loads(1.0, 0),
        loads(2.0, 1),
        TrafficRecord::ReplicaUnloaded {
            at: 3.0,
            executor: 0,
            function: "f".into(),
        },
        TrafficRecord::ExecutorDown {
            at: 3.0,
            executor: 1,
        },
        loads(4.0, 0),
    ];
    let seen = measure_spread(&records, 0.0);
    assert_eq!(
        seen,
        SpreadReport {
            executors: 2,
            copies: 3,
            copies_elsewhere: 1,
            ..seen.clone()
        }
    );
}
