//! The real program on a machine whose wall clock is stepped and whose system calls fail now and then
//! (`examples/fault_shim.rs`).

mod day;

use day::*;
use orchidtally_invariants::{EndpointState, TrafficRecord};
use std::cell::Cell;
use std::rc::Rc;

const HOUR: f64 = 3_600.0;

#[test]
fn a_wall_clock_that_is_stepped_changes_no_span_of_time() {
    for by in [HOUR, -HOUR, 3.0, -3.0] {
        let name = format!("stepped{by}");
        let step = |day: &Day| day.shim(&[("FAULT_WALL", format!("1.2,{by}"))]);
        let day = play_prepared(&name, 2, 4.0, step, |day| async move {
            day.stage.sleep(1.5).await;
            day.change(0, EndpointState::Draining);
            day.stage.sleep(0.5).await;
            day.signal(0, "TERM");
            day.stage.sleep(1.0).await;
            day.change(1, EndpointState::Gone);
        });
        assert!(day.0.rules[2].checked > 0, "{:?}", day.0);
        kept(&name, day, 0.7);
    }
}

/// An executor that has just started, on the list of a front end that starts an hour ahead of it.
#[test]
fn a_front_end_that_starts_after_a_step_takes_a_new_executor_for_new() {
    for ahead in [0.0, HOUR, -HOUR] {
        let (reached_cold, reached) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let counts = (reached_cold.clone(), reached.clone());
        let name = format!("starts-ahead{ahead}");
        let shim = |day: &Day| {
            day.shim(&[("FAULT_WALL", format!("0,{ahead}"))]);
            (2..6).for_each(|x| day.change(x, EndpointState::Gone));
            day.executors[0].started_at.set(day.stage.now());
        };
        let (verdict, _) = play_prepared(&name, 1, 2.0, shim, |day| async move {
            day.stage.sleep(0.75).await;
            for record in day.stage.records() {
                let TrafficRecord::DispatchArrived { executor, .. } = record else {
                    continue;
                };
                let count = if executor == 0 { &counts.0 } else { &counts.1 };
                count.set(count.get() + 1);
            }
        });
        println!(
            "{name}: {} cold, {} warm",
            reached_cold.get(),
            reached.get()
        );
        assert!(verdict.holds(), "{verdict:?}");
        assert!(reached.get() >= 10, "{name}: the warm one serves");
        // Warm, it would get as many as the other; its budget grants one for each span at the start.
        assert!(
            4 * reached_cold.get() <= reached.get(),
            "{name}: {} cold",
            reached_cold.get()
        );
    }
}

/// Nothing is held against executors, no client goes without an answer, and a drain is heard of.
#[test]
fn system_calls_that_fail_now_and_then_break_nothing() {
    for (seed, percent) in [(1, 2), (2, 10), (3, 10), (4, 15), (5, 15)] {
        let name = format!("calls-{seed}");
        let shim = |day: &Day| {
            day.shim(&[
                ("FAULT_PERCENT", format!("{percent}")),
                ("FAULT_SEED", format!("{seed}")),
            ]);
        };
        let day = play_prepared(&name, 2, 3.0, shim, |day| async move {
            day.stage.sleep(0.6).await;
            day.change(0, EndpointState::Draining);
            day.stage.sleep(0.8).await;
            day.signal(0, "HUP");
            day.change(1, EndpointState::Gone);
        });
        assert!(day.0.rules[2].checked > 0, "{:?}", day.0);
        kept(&name, day, 0.95);
    }
}

/// A connection that is broken shows as ETIMEDOUT or EHOSTUNREACH too; what was sent over it may have run all the same.
#[test]
fn connections_that_break_with_any_error_break_no_rule() {
    for (seed, broken) in [(1, 5), (2, 20), (3, 60)] {
        let name = format!("broken-{seed}");
        let shim = |day: &Day| {
            day.shim(&[
                ("FAULT_BROKEN", format!("{broken}")),
                ("FAULT_SEED", format!("{seed}")),
            ]);
        };
        let day = play_prepared(&name, 2, 3.0, shim, |day| async move {
            day.stage.sleep(1.0).await;
            day.change(0, EndpointState::Draining);
        });
        println!("{name}: {} succeeded", day.1);
        kept(&name, day, 0.6);
    }
}
