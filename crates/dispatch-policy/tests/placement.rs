//! Placement of further replicas: the choice of the executor and the time.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{Harness, RecordedAction, policy, warm_harness};

#[test]
fn invocations_of_a_cold_function_share_one_placement() {
    let mut harness = Harness::new(policy(), 6);
    for _ in 0..4 {
        harness.invoke(0, 1, 5.0);
    }
    assert_eq!(
        harness.model.actions.len(),
        1,
        "one load command, no dispatch: {:?}",
        harness.model.actions
    );
    harness.finish_loads(DispatchStatus::Ok);
    let sent = harness
        .model
        .actions
        .iter()
        .filter(|action| matches!(action, RecordedAction::Dispatch(..)))
        .count();
    assert_eq!(
        sent, 4,
        "all are dispatched after its result: {:?}",
        harness.model.actions
    );
}

#[test]
fn all_front_ends_choose_the_same_placement_target() {
    let target = |timers: u64| {
        let mut harness = Harness::new(policy(), 6);
        for _ in 0..timers {
            harness.dispatcher.on_timer(100.0, 0, &mut harness.model);
        }
        harness.invoke(0, 42, 5.0);
        harness.model.actions[0].clone()
    };
    assert_eq!(target(0), target(3));
}

/// Regression test for a fleet of 300 front ends: small differences in their dispatches in flight made front ends
/// choose different executors of the two drawn. Both executors loaded a replica while all executors reported as many
/// pending loads as they can run.
#[test]
fn front_ends_choose_the_same_executor_while_loads_are_pending() {
    let pending_loads = std::cell::Cell::new(0.0);
    let new_harness = || {
        let mut harness = Harness::new(
            PolicyConfig {
                front_ends: 300.0,
                load_budget_floor: 9.0,
                pending_loads_field: Some(0),
                ..policy()
            },
            6,
        );
        harness.load_report = vec![pending_loads.get()];
        let invocation = harness.invoke(0, 1, 5.0);
        harness.finish_loads(DispatchStatus::Ok);
        harness.finish(invocation, 0, DispatchStatus::Ok);
        harness
    };
    let drawn = |mut harness: Harness| {
        harness.invoke(0, 42, 5.0);
        let Some(&RecordedAction::Load(executor, 42)) = harness.model.actions.last() else {
            panic!("{:?}", harness.model.actions)
        };
        (executor, harness)
    };
    let first = drawn(new_harness()).0;
    let elsewhere_count = || {
        let elsewhere = |other: &u64| {
            let mut harness = new_harness();
            harness.invoke(0, *other, 5.0);
            harness.finish_loads(DispatchStatus::Ok);
            drawn(harness).0 != first
        };
        (100..160).filter(elsewhere).count()
    };
    assert!(
        elsewhere_count() > 0,
        "an idle fleet spreads the placements"
    );
    pending_loads.set(8.0);
    assert_eq!(elsewhere_count(), 0);
}

/// Regression test for a fleet of 300 front ends: load commands cost 0.08 of an invocation each, and most arrived at an
/// executor that already had the function loaded.
#[test]
fn invocation_is_the_placement_where_load_commands_are_expensive() {
    let placed = |load_command_cost: f64, rejects_unloaded: bool| {
        let mut harness = Harness::new(
            PolicyConfig {
                load_command_cost,
                rejects_unloaded,
                ..policy()
            },
            6,
        );
        harness.invoke(0, 1, 5.0);
        harness.model.actions[0].clone()
    };
    assert!(matches!(
        placed(0.08, false),
        RecordedAction::Dispatch(0, _)
    ));
    assert!(matches!(placed(0.011, false), RecordedAction::Load(_, 1)));
    assert!(
        matches!(placed(0.08, true), RecordedAction::Load(_, 1)),
        "executors that reject unloaded functions load only on command"
    );
}

#[test]
fn function_with_high_reported_concurrency_gets_more_replicas() {
    let (mut harness, _) = warm_harness(
        PolicyConfig {
            reports_concurrency: true,
            ..policy()
        },
        6,
    );
    harness.function_concurrency = 24;
    for _ in 0..8 {
        let invocation = harness.invoke(0, 1, 5.0);
        harness.finish_loads(DispatchStatus::Ok);
        harness.finish(invocation, 0, DispatchStatus::Ok);
        harness.advance(3.0);
    }
    assert!(
        (0..6)
            .filter(|&executor| harness.dispatches_to(executor) > 0)
            .count()
            > 2
    );
}

/// Regression test for a fault with 100,000 functions: an expired replica that had not been swept yet delayed the next
/// placement.
#[test]
fn expired_replica_delays_no_placement() {
    let (mut harness, _) = warm_harness(policy(), 6);
    harness.advance(9.0);
    let before = harness.model.actions.len();
    harness.invoke(0, 1, 5.0);
    assert!(
        matches!(
            harness.model.actions[before..],
            [RecordedAction::Load(_, 1)]
        ),
        "{:?}",
        &harness.model.actions[before..]
    );
}

/// Regression test for a flaky test of the HTTP front end: a function whose placement had failed at an executor was
/// never placed there again, even if there was no other executor.
#[test]
fn only_executor_is_tried_again_after_it_was_full() {
    let mut harness = Harness::new(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        1,
    );
    let invocation = harness.invoke(0, 1, 5.0);
    assert_eq!(
        harness.model.actions.last(),
        Some(&RecordedAction::Dispatch(invocation, 0))
    );
    harness.finish(invocation, 0, DispatchStatus::Full);
    harness.advance(0.6);
    assert_eq!(harness.dispatches_to(0), 2, "{:?}", harness.model.actions);
}

/// As above, with a second executor that accepts no connections: after one failed dispatch the full executor is
/// preferred.
#[test]
fn full_executor_is_preferred_to_one_without_connection() {
    let mut harness = Harness::new(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        2,
    );
    let invocation = harness.invoke(0, 1, 5.0);
    let gone = usize::from(harness.dispatches_to(1) > 0);
    harness.finish(invocation, 0, DispatchStatus::ConnectFailed);
    harness.advance(0.2);
    assert_eq!(
        (harness.dispatches_to(gone), harness.dispatches_to(1 - gone)),
        (1, 1),
        "{:?}",
        harness.model.actions
    );
    harness.finish(invocation, 1, DispatchStatus::Full);
    harness.advance(0.6);
    assert_eq!(
        (harness.dispatches_to(gone), harness.dispatches_to(1 - gone)),
        (1, 2),
        "{:?}",
        harness.model.actions
    );
}
