//! The adaptive concurrency limit of a front end among many, and load shedding.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{Harness, RecordedAction, policy, warm_harness};

/// Found with 300 front ends: cut to its lowest, the limit let a front end use an executor in one of thirty turns, long
/// after answers were quick again.
#[test]
fn little_traffic_needs_no_turns_after_slow_answers() {
    let (mut harness, executor) = warm_harness(
        PolicyConfig {
            front_ends: 300.0,
            ..policy()
        },
        36,
    );
    let mut play = |latency: f64| {
        harness.latency = latency;
        let before = harness.dispatches_to(executor);
        harness.invoke(0, 1, 2.0);
        let at_once = harness.dispatches_to(executor) > before;
        harness.finish_all_in_flight();
        harness.advance(0.3);
        at_once
    };
    (0..40).for_each(|_| _ = play(0.6));
    assert_eq!((0..30).filter(|_| play(0.05)).count(), 30);
}

/// Found with 300 front ends: one with several times the mean traffic had an equal part of a limit that was cut to its
/// lowest, and rejected what an idle fleet could have served.
#[test]
fn busy_front_end_keeps_capacity_after_a_cut() {
    let (mut harness, _) = warm_harness(
        PolicyConfig {
            front_ends: 300.0,
            reports_concurrency: true,
            ..policy()
        },
        36,
    );
    let mut play = |latency: f64, rounds: usize| {
        harness.latency = latency;
        let mut at_once = 0;
        for _ in 0..rounds {
            let all: Vec<u32> = (0..4).map(|_| harness.invoke(0, 1, 2.0)).collect();
            at_once += all
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
        at_once
    };
    play(0.6, 40);
    play(0.2, 10);
    assert_eq!(
        play(0.2, 10),
        40,
        "twenty a second, four in flight at a time, each with a baseline latency of 0.2 s"
    );
}

/// Found with 300 front ends: an invocation without capacity anywhere waited until its client gave up, though it could
/// no longer be in time.
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

/// Found by a rollout's test over sockets: low priorities had no capacity even at an idle executor.
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
