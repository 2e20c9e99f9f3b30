//! Scenarios of platform front ends on a machine whose wall clock is stepped and whose system calls fail at times. The
//! library `examples/fault_shim.rs` injects these faults.

mod scenario;

use orchidtally_invariants::{EndpointState, TrafficRecord};
use scenario::*;
use std::cell::Cell;
use std::rc::Rc;

const HOUR: f64 = 3_600.0;

#[test]
fn a_wall_clock_step_changes_no_duration() {
    for clock_step in [HOUR, -HOUR, 3.0, -3.0] {
        let name = format!("stepped{clock_step}");
        let set_up = |fleet: &Fleet| {
            fleet.preload_fault_shim(&[("FAULT_WALL", format!("1.2,{clock_step}"))])
        };
        let outcome = run_scenario_with_setup(&name, 2, 4.0, set_up, |fleet| async move {
            fleet.environment.sleep(1.5).await;
            fleet.set_endpoint_state(0, EndpointState::Draining);
            fleet.environment.sleep(0.5).await;
            fleet.signal(0, "TERM");
            fleet.environment.sleep(1.0).await;
            fleet.set_endpoint_state(1, EndpointState::Gone);
        });
        assert!(outcome.0.rules[2].checked > 0, "{:?}", outcome.0);
        assert_rules_hold(&name, outcome, 0.7);
    }
}

/// An executor that has just started is on the endpoint list of a front end whose wall clock is an hour ahead or
/// behind. The front end must still treat the executor as cold.
#[test]
fn a_front_end_with_a_wrong_wall_clock_recognises_a_cold_executor() {
    for clock_offset in [0.0, HOUR, -HOUR] {
        let (cold_dispatches, warm_dispatches) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let counts = (cold_dispatches.clone(), warm_dispatches.clone());
        let name = format!("starts-ahead{clock_offset}");
        let set_up = |fleet: &Fleet| {
            fleet.preload_fault_shim(&[("FAULT_WALL", format!("0,{clock_offset}"))]);
            (2..6).for_each(|x| fleet.set_endpoint_state(x, EndpointState::Gone));
            fleet.executors[0].started_at.set(fleet.environment.now());
        };
        let (verdict, _) = run_scenario_with_setup(&name, 1, 2.0, set_up, |fleet| async move {
            fleet.environment.sleep(0.75).await;
            for record in fleet.environment.records() {
                let TrafficRecord::DispatchArrived { executor, .. } = record else {
                    continue;
                };
                let count = if executor == 0 { &counts.0 } else { &counts.1 };
                count.set(count.get() + 1);
            }
        });
        println!(
            "{name}: {} cold, {} warm",
            cold_dispatches.get(),
            warm_dispatches.get()
        );
        assert!(verdict.holds(), "{verdict:?}");
        assert!(
            warm_dispatches.get() >= 10,
            "{name}: the warm executor serves"
        );
        // A warm executor would get as many as the other one. The budget of a cold executor grants one dispatch for
        // each time span at the start.
        assert!(
            4 * cold_dispatches.get() <= warm_dispatches.get(),
            "{name}: {} cold",
            cold_dispatches.get()
        );
    }
}

/// Failed system calls of the front end do not count against executors, every client gets a response, and a drain is
/// still noticed.
#[test]
fn intermittent_system_call_failures_break_no_rule() {
    for (seed, percent) in [(1, 2), (2, 10), (3, 10), (4, 15), (5, 15)] {
        let name = format!("calls-{seed}");
        let set_up = |fleet: &Fleet| {
            fleet.preload_fault_shim(&[
                ("FAULT_PERCENT", format!("{percent}")),
                ("FAULT_SEED", format!("{seed}")),
            ]);
        };
        let outcome = run_scenario_with_setup(&name, 2, 3.0, set_up, |fleet| async move {
            fleet.environment.sleep(0.6).await;
            fleet.set_endpoint_state(0, EndpointState::Draining);
            fleet.environment.sleep(0.8).await;
            fleet.signal(0, "HUP");
            fleet.set_endpoint_state(1, EndpointState::Gone);
        });
        assert!(outcome.0.rules[2].checked > 0, "{:?}", outcome.0);
        assert_rules_hold(&name, outcome, 0.95);
    }
}

/// A broken connection can also show as ETIMEDOUT or EHOSTUNREACH. What was sent over it may have run nevertheless, so
/// the front end must not treat such an error as a failure to connect.
#[test]
fn connections_that_break_with_any_error_break_no_rule() {
    for (seed, broken) in [(1, 5), (2, 20), (3, 60)] {
        let name = format!("broken-{seed}");
        let set_up = |fleet: &Fleet| {
            fleet.preload_fault_shim(&[
                ("FAULT_BROKEN", format!("{broken}")),
                ("FAULT_SEED", format!("{seed}")),
            ]);
        };
        let outcome = run_scenario_with_setup(&name, 2, 3.0, set_up, |fleet| async move {
            fleet.environment.sleep(1.0).await;
            fleet.set_endpoint_state(0, EndpointState::Draining);
        });
        println!("{name}: {} succeeded", outcome.1);
        assert_rules_hold(&name, outcome, 0.6);
    }
}
