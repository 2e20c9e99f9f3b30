//! Dispatches and load commands are checked again when their bytes are sent, which may be long after the decision.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{Harness, RecordedAction, executor_id, policy, warm_harness};

fn may_send_dispatch(harness: &mut Harness, invocation: u32, dispatch: u8) -> bool {
    harness
        .dispatcher
        .revalidate_dispatch(harness.model.now, invocation, dispatch)
}

/// Returns whether a load command that is decided now may be sent now.
fn may_send_load(harness: &mut Harness, executor: usize) -> bool {
    harness
        .dispatcher
        .revalidate_load(harness.model.now, executor_id(executor), harness.model.now)
}

/// Creates a harness with a dispatch in flight. Returns also its invocation and its executor.
fn harness_with_dispatch(policy: PolicyConfig) -> (Harness, u32, usize) {
    let (mut harness, executor) = warm_harness(policy, 4);
    let invocation = harness.invoke(0, 1, 5.0);
    assert_eq!(
        harness.model.actions.last(),
        Some(&RecordedAction::Dispatch(invocation, executor))
    );
    (harness, invocation, executor)
}

#[test]
fn nothing_is_sent_to_an_executor_that_is_draining_or_gone_by_then() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let (mut harness, invocation, executor) = harness_with_dispatch(policy());
        assert!(
            may_send_dispatch(&mut harness, invocation, 0) && may_send_load(&mut harness, executor)
        );
        harness.update_endpoint(executor, state, f64::NEG_INFINITY);
        assert!(
            !may_send_dispatch(&mut harness, invocation, 0)
                && !may_send_load(&mut harness, executor),
            "{state:?}"
        );
    }
    let (mut harness, ..) = harness_with_dispatch(policy());
    assert!(!may_send_load(&mut harness, 200), "the executor is unknown");
}

/// The window starts with the first dispatch that may have run. Sending the retry may be delayed while a connection is
/// established.
#[test]
fn retry_is_not_sent_after_the_deduplication_window() {
    let (mut harness, executor) = warm_harness(policy(), 4);
    let invocation = harness.invoke(1, 1, 5.0);
    assert_eq!(
        harness.model.actions.last(),
        Some(&RecordedAction::Dispatch(invocation, executor))
    );
    assert!(
        may_send_dispatch(&mut harness, invocation, 0),
        "the window does not limit the first dispatch"
    );
    harness.advance(1.5);
    assert!(may_send_dispatch(&mut harness, invocation, 0));
    harness.finish(invocation, 0, DispatchStatus::Error);
    assert_eq!(
        harness.model.accepted[invocation as usize].dispatches.len(),
        2,
        "it may be retried"
    );
    assert!(may_send_dispatch(&mut harness, invocation, 1));
    harness.advance(0.49);
    assert!(may_send_dispatch(&mut harness, invocation, 1));
    harness.advance(0.02);
    assert!(
        !may_send_dispatch(&mut harness, invocation, 1),
        "more than 2 s after the first dispatch"
    );
}

#[test]
fn nothing_is_sent_after_the_timeout_or_the_answer() {
    let (mut harness, invocation, _) = harness_with_dispatch(policy());
    harness.model.now += 4.997;
    assert!(may_send_dispatch(&mut harness, invocation, 0));
    harness.model.now += 0.002;
    assert!(
        !may_send_dispatch(&mut harness, invocation, 0),
        "less than a clock tick is left"
    );
    let (mut harness, invocation, _) = harness_with_dispatch(policy());
    harness.cancel(invocation);
    assert!(
        !may_send_dispatch(&mut harness, invocation, 0) && !may_send_dispatch(&mut harness, 999, 0)
    );
    let (mut harness, invocation, _) = harness_with_dispatch(policy());
    harness.finish(invocation, 0, DispatchStatus::Ok);
    assert!(!may_send_dispatch(&mut harness, invocation, 0));
}

/// An executor that restarted while a connection to it was being established is cold. A delayed dispatch counts in its
/// budget from the time when it is sent.
#[test]
fn late_dispatch_counts_in_the_slow_start_budget_when_it_is_sent() {
    let (mut harness, executor) = warm_harness(
        PolicyConfig {
            allows_load_commands: false,
            front_ends: 1.0,
            ..policy()
        },
        1,
    );
    harness.advance(3.0);
    let first = harness.invoke(0, 1, 4.0);
    assert_eq!(harness.model.accepted[first as usize].dispatches.len(), 1);
    harness.advance(2.0);
    harness.update_endpoint(executor, EndpointState::Ready, harness.model.now);
    assert!(
        may_send_dispatch(&mut harness, first, 0),
        "within the budget of one"
    );
    let second = harness.invoke(0, 2, 4.0);
    harness.advance(0.5);
    assert!(
        harness.model.accepted[second as usize]
            .dispatches
            .is_empty(),
        "the first was just sent"
    );
}

/// While the endpoint list is unavailable, a draining executor can only be recognized by its rejections. An executor
/// that rejects everything gets nothing until the list is available again.
#[test]
fn rejecting_executor_gets_nothing_while_the_endpoint_list_is_unavailable() {
    let is_rejected = |harness: &mut Harness, pause: f64| {
        let invocation = harness.invoke(0, 1, 5.0);
        let sent = !harness.model.accepted[invocation as usize]
            .dispatches
            .is_empty();
        if sent {
            harness.finish(invocation, 0, DispatchStatus::Full);
        }
        harness.cancel(invocation);
        harness.advance(pause);
        sent
    };
    let update_list = |harness: &mut Harness, kind| {
        harness
            .dispatcher
            .on_endpoint_update(harness.model.now, kind, &[], &mut harness.model)
    };
    let pauses = [0.15, 0.25, 0.45, 0.85];
    let (mut harness, executor) = warm_harness(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        1,
    );
    assert!(
        pauses
            .into_iter()
            .all(|pause| is_rejected(&mut harness, pause)),
        "with an endpoint list it is tried again"
    );
    update_list(&mut harness, EndpointUpdateKind::Failed);
    assert!(!is_rejected(&mut harness, 0.1) && !may_send_load(&mut harness, executor));
    update_list(&mut harness, EndpointUpdateKind::Delta);
    assert!(may_send_load(&mut harness, executor) && is_rejected(&mut harness, 0.1));
    // An executor that serves an invocation between rejections is busy, not draining.
    let (mut harness, executor) = warm_harness(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        1,
    );
    update_list(&mut harness, EndpointUpdateKind::Failed);
    assert!(
        pauses[..3]
            .iter()
            .all(|&pause| is_rejected(&mut harness, pause))
    );
    let invocation = harness.invoke(0, 1, 5.0);
    harness.finish(invocation, 0, DispatchStatus::Ok);
    assert!(
        pauses[..3]
            .iter()
            .all(|&pause| is_rejected(&mut harness, pause))
            && may_send_load(&mut harness, executor)
    );
}

/// A load command that is sent late counts in the budget of the window in which it is sent.
#[test]
fn load_command_counts_in_the_budget_when_it_is_sent() {
    let mut harness = Harness::new(
        PolicyConfig {
            load_budget_floor: 1.0,
            load_budget_fraction: 0.0,
            ..policy()
        },
        4,
    );
    harness.invoke(0, 1, 4.0);
    let command = &harness.model.load_commands[0];
    let (commanded_at, executor) = (command.sent_at, command.executor);
    harness.advance(0.3);
    assert!(harness.dispatcher.revalidate_load(
        harness.model.now,
        executor_id(executor),
        commanded_at
    ));
    harness.advance(4.8);
    harness.invoke(0, 2, 4.0);
    assert_eq!(
        harness.model.load_commands.len(),
        1,
        "less than 5 s after it was sent"
    );
    harness.advance(0.3);
    harness.invoke(0, 3, 4.0);
    assert_eq!(
        harness.model.load_commands.len(),
        2,
        "more than 5 s after it was sent"
    );
    // No budget remains for another command that waited for a connection meanwhile.
    assert!(!harness.dispatcher.revalidate_load(
        harness.model.now,
        executor_id(executor),
        commanded_at
    ));
}
