//! Measures of spread on hand-written records: each detects its condition, and reports nothing without it.

use orchidtally_invariants::{DispatchOutcome, SpreadReport, TrafficRecord, measure_spread};

fn executor_ready(executor: usize, concurrency: u32) -> TrafficRecord {
    TrafficRecord::ExecutorReady {
        at: 0.0,
        executor,
        concurrency,
    }
}

fn dispatch_arrived(at: f64, executor: usize) -> TrafficRecord {
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

fn dispatch_ended(at: f64, executor: usize) -> TrafficRecord {
    let (invocation, number, outcome) = (String::new(), 1, DispatchOutcome::Succeeded);
    TrafficRecord::DispatchEnded {
        at,
        executor,
        invocation,
        number,
        outcome,
    }
}

/// Four executors, the last with twice the concurrency of the others. They get 100 dispatches a second in proportion to
/// their concurrency, each of which takes 10 ms.
fn even_traffic(seconds: u32) -> Vec<TrafficRecord> {
    let mut records: Vec<TrafficRecord> = [2, 2, 2, 4]
        .into_iter()
        .enumerate()
        .map(|(executor, concurrency)| executor_ready(executor, concurrency))
        .collect();
    for n in 0..seconds * 100 {
        let (at, executor) = (
            f64::from(n) / 100.0 + 0.005,
            [0, 3, 1, 3, 2][n as usize % 5],
        );
        records.extend([
            dispatch_arrived(at, executor),
            dispatch_ended(at + 0.01, executor),
        ]);
    }
    records
}

#[test]
fn even_traffic_has_no_herd_no_idle_executor_and_no_peak() {
    let report = measure_spread(&even_traffic(4), 0.0);
    assert_eq!(
        (report.executors, report.dispatches, report.herds),
        (4, 400, 0)
    );
    assert_eq!(report.idle_beside_queue, 0.0);
    assert!((report.peak_to_fair_share - 1.0).abs() < 0.05, "{report:?}");
}

#[test]
fn a_burst_to_one_executor_is_one_herd() {
    // With 19 extra dispatches next to 5 regular ones the fair share is 9, and the threshold 9 + 4 * 3 + 4 = 25 is not
    // exceeded. With 35 extra ones the fair share is 12 and the threshold 30.
    let with_burst = |extra: u32| {
        let mut records = even_traffic(4);
        records.extend((0..extra).map(|n| dispatch_arrived(2.0 + f64::from(n) * 1e-3, 0)));
        records
    };
    assert_eq!(measure_spread(&with_burst(19), 0.0).herds, 0);
    let records = with_burst(35);
    let report = measure_spread(&records, 0.0);
    assert_eq!(report.herds, 1, "{report:?}");
    assert!(report.last_herd.is_some_and(|at| (2.0..2.3).contains(&at)));
    assert!(report.peak_to_fair_share > 1.1, "{report:?}");
    assert_eq!(
        measure_spread(&records, 2.5).herds,
        0,
        "the measured time begins after the herd"
    );
}

#[test]
fn idle_time_is_counted_while_another_executor_has_a_long_queue() {
    let mut records = vec![executor_ready(0, 1), executor_ready(1, 1)];
    // The first executor has four dispatches from 1 s on; two of them end at 3 s.
    records.extend((0..4).map(|n| dispatch_arrived(1.0 + f64::from(n) * 1e-6, 0)));
    records.extend([
        dispatch_ended(3.0, 0),
        dispatch_ended(3.0, 0),
        dispatch_ended(5.0, 0),
        dispatch_ended(5.0, 0),
    ]);
    let report = measure_spread(&records, 0.0);
    assert!(
        (report.idle_beside_queue - 2.0 / 10.0).abs() < 1e-3,
        "{report:?}"
    );
    records.push(TrafficRecord::ExecutorDown {
        at: 0.5,
        executor: 1,
    });
    assert_eq!(
        measure_spread(&records, 0.0).idle_beside_queue,
        0.0,
        "an executor that is down is not idle"
    );
}

#[test]
fn replicas_of_functions_loaded_elsewhere_are_counted_separately() {
    let load_started = |at, executor| TrafficRecord::LoadStarted {
        at,
        executor,
        function: "f".into(),
    };
    let records = [
        executor_ready(0, 1),
        executor_ready(1, 1),
        load_started(1.0, 0),
        load_started(2.0, 1),
        TrafficRecord::ReplicaUnloaded {
            at: 3.0,
            executor: 0,
            function: "f".into(),
        },
        TrafficRecord::ExecutorDown {
            at: 3.0,
            executor: 1,
        },
        load_started(4.0, 0),
    ];
    let report = measure_spread(&records, 0.0);
    assert_eq!(
        report,
        SpreadReport {
            executors: 2,
            loaded_replicas: 3,
            replicas_loaded_elsewhere: 1,
            ..report.clone()
        }
    );
}
