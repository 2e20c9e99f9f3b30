//! The adaptive concurrency limit of a front end among many, and load shedding.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{Harness, RecordedAction, policy, warm_harness};

/// Regression test for a fleet of 300 front ends: a concurrency limit that slow responses had reduced to its minimum
/// left a front end with little traffic one turn in thirty at an executor, long after latencies had recovered.
#[test]
fn low_traffic_needs_no_turns_after_slow_responses() {
    let (mut harness, executor) = warm_harness(
        PolicyConfig {
            front_ends: 300.0,
            ..policy()
        },
        36,
    );
    let mut serve_one = |latency: f64| {
        harness.latency = latency;
        let before = harness.dispatches_to(executor);
        harness.invoke(0, 1, 2.0);
        let dispatched_at_once = harness.dispatches_to(executor) > before;
        harness.finish_all_in_flight();
        harness.advance(0.3);
        dispatched_at_once
    };
    (0..40).for_each(|_| _ = serve_one(0.6));
    assert_eq!((0..30).filter(|_| serve_one(0.05)).count(), 30);
}

/// Regression test for a fleet of 300 front ends: when the concurrency limit had been reduced to its minimum, a front
/// end with several times the mean traffic had only an equal share of it and rejected invocations that an idle fleet
/// could have served.
#[test]
fn busy_front_end_keeps_capacity_after_the_limit_is_reduced() {
    let (mut harness, _) = warm_harness(
        PolicyConfig {
            front_ends: 300.0,
            reports_concurrency: true,
            ..policy()
        },
        36,
    );
    let mut run_rounds = |latency: f64, rounds: usize| {
        harness.latency = latency;
        let mut dispatched_at_once = 0;
        for _ in 0..rounds {
            let all: Vec<u32> = (0..4).map(|_| harness.invoke(0, 1, 2.0)).collect();
            dispatched_at_once += all
                .iter()
                .filter(|&&invocation| {
                    !harness.model.accepted[invocation as usize]
                        .dispatches
                        .is_empty()
                })
                .count();
            harness.finish_loads(DispatchStatus::Ok);
            harness.advance(0.2);
            harness.finish_all_in_flight();
        }
        dispatched_at_once
    };
    run_rounds(0.6, 40);
    run_rounds(0.2, 10);
    assert_eq!(
        run_rounds(0.2, 10),
        40,
        "twenty a second, four in flight at a time, each with a baseline latency of 0.2 s"
    );
}

/// Regression test for a fleet of 300 front ends: an invocation for which no executor had capacity waited until its
/// client gave up, although it could no longer meet its latency objective.
#[test]
fn late_invocation_without_a_placement_is_shed() {
    let mut harness = Harness::new(policy(), 1);
    let invocation = harness.invoke(0, 1, 5.0);
    harness.advance(1.2);
    assert!(
        harness.model.accepted[invocation as usize]
            .answered_at
            .is_none(),
        "its placement is waited for"
    );
    harness.finish_loads(DispatchStatus::Full);
    harness.advance(0.05);
    assert!(
        harness.model.accepted[invocation as usize]
            .answered_at
            .is_some()
    );
}

/// Regression test for a failure in a socket test of rollouts: invocations of low priority had no capacity even at an
/// idle executor.
#[test]
fn idle_fleet_serves_the_lowest_priority() {
    let mut policy = PolicyConfig {
        front_ends: 1.0,
        ..policy()
    };
    policy.trigger_types[2].billed_value = 0.001;
    let (mut harness, executor) = warm_harness(policy, 4);
    for _ in 0..20 {
        let invocation = harness.invoke(0, 1, 5.0);
        harness.finish(invocation, 0, DispatchStatus::Ok);
        harness.advance(0.1);
    }
    let lowest = harness.invoke(2, 1, 5.0);
    assert_eq!(
        harness.model.actions.last(),
        Some(&RecordedAction::Dispatch(lowest, executor))
    );
}
