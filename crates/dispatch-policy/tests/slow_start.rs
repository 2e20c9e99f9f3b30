//! Slow start of executors, with one front end.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{Harness, policy};

/// Without slow start, an executor that has just started counts as warm.
#[test]
fn new_executor_is_used_at_once_without_slow_start() {
    let mut harness = Harness::new(
        PolicyConfig {
            slow_start_duration: 0.0,
            allows_load_commands: false,
            front_ends: 300.0,
            ..policy()
        },
        1,
    );
    let started = harness.model.now;
    harness.update_endpoint(0, EndpointState::Ready, started);
    (0..5).for_each(|function| _ = harness.invoke(0, function, 5.0));
    assert_eq!(harness.dispatches_to(0), 5);
}

/// Regression test for a fleet of 300 front ends: while most executors were cold, invocations waited for a turn at the
/// executor with a warm replica, and turns at other executors stayed unused.
#[test]
fn another_executor_is_used_without_a_turn_at_a_warming_one() {
    let at_once = |trial: u32| {
        let mut harness = Harness::new(
            PolicyConfig {
                slow_start_duration: 1e4,
                allows_load_commands: false,
                front_ends: 2.0,
                ..policy()
            },
            2,
        );
        let now = harness.model.now;
        (0..2).for_each(|executor| harness.update_endpoint(executor, EndpointState::Ready, now));
        harness.advance(trial.into());
        let mut is_sent = |finishes: bool| {
            let invocation = harness.invoke(0, 1, 5.0);
            let sent = !harness.model.accepted[invocation as usize]
                .dispatches
                .is_empty();
            if finishes && sent {
                harness.finish(invocation, 0, DispatchStatus::Ok);
            }
            harness.advance(1.0);
            sent
        };
        while !is_sent(true) {}
        is_sent(false)
    };
    // The earlier dispatch still counts at the first executor. The front end has a turn at the other one half of the
    // time.
    let served = (0..200).filter(|&trial| at_once(trial)).count();
    assert!(served > 70, "{served} of 200");
}

/// A front end that restarts has lost the record of what it sent, so it waits for the end of the current overload
/// window.
#[test]
fn restarted_front_end_waits_for_the_window_under_way() {
    let mut harness = Harness::new(
        PolicyConfig {
            allows_load_commands: false,
            front_ends: 1.0,
            ..policy()
        },
        1,
    );
    harness.update_endpoint(0, EndpointState::Ready, harness.model.now - 5.0);
    harness.invoke(0, 1, 5.0);
    harness.advance(1.0);
    assert_eq!(harness.dispatches_to(0), 0);
    harness.advance(0.1);
    harness.invoke(0, 1, 5.0);
    assert_eq!(harness.dispatches_to(0), 1, "the window is over");
}

/// Changes of the membership may become known late. A front end that can't know its share of the budget sends nothing
/// to a cold executor until it knows its share.
#[test]
fn front_end_without_budget_share_sends_nothing_to_warming_executors() {
    let sent_to_cold = |has_budget_share: bool| {
        let mut harness = Harness::new(
            PolicyConfig {
                allows_load_commands: false,
                ..policy()
            },
            2,
        );
        let began = harness.model.now;
        let membership = MembershipView {
            front_ends: 3.0,
            slot_count: 4.0,
            front_end_index: 1.0,
            has_budget_share,
        };
        harness
            .dispatcher
            .on_membership_change(harness.model.now, membership, &mut harness.model);
        harness.update_endpoint(0, EndpointState::Gone, f64::NEG_INFINITY);
        harness.update_endpoint(1, EndpointState::Ready, harness.model.now);
        for n in 0..100 {
            harness.invoke(0, n % 3, 0.5);
            harness.advance(0.1);
        }
        harness
            .model
            .accepted
            .iter()
            .flat_map(|accepted| &accepted.dispatches)
            .filter(|dispatch| dispatch.sent_at < began + 10.0)
            .count()
    };
    assert_eq!(sent_to_cold(false), 0);
    assert!(sent_to_cold(true) > 0);
}
