//! What was decided is checked again as its bytes are sent, which may be long after.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{RecordedAction, World, executor_id, policy, warm_world};

fn may_send_dispatch(world: &mut World, invocation: u32, dispatch: u8) -> bool {
    world
        .dispatcher
        .revalidate_dispatch(world.model.now, invocation, dispatch)
}

/// Whether a load command that is given now may be sent now.
fn may_send_load(world: &mut World, executor: usize) -> bool {
    world
        .dispatcher
        .revalidate_load(world.model.now, executor_id(executor), world.model.now)
}

/// A world with a dispatch in flight, its invocation and its executor.
fn world_with_dispatch(policy: PolicyConfig) -> (World, u32, usize) {
    let (mut world, executor) = warm_world(policy, 4);
    let invocation = world.invoke(0, 1, 5.0);
    assert_eq!(
        world.model.actions.last(),
        Some(&RecordedAction::Dispatch(invocation, executor))
    );
    (world, invocation, executor)
}

#[test]
fn nothing_is_sent_to_an_executor_that_drains_or_is_gone_by_then() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let (mut world, invocation, executor) = world_with_dispatch(policy());
        assert!(
            may_send_dispatch(&mut world, invocation, 0) && may_send_load(&mut world, executor)
        );
        world.update_endpoint(executor, state, f64::NEG_INFINITY);
        assert!(
            !may_send_dispatch(&mut world, invocation, 0) && !may_send_load(&mut world, executor),
            "{state:?}"
        );
    }
    let (mut world, ..) = world_with_dispatch(policy());
    assert!(!may_send_load(&mut world, 200), "there is no such executor");
}

/// The window runs from the first dispatch that may have run; the retry may be delayed for as long as a connection takes.
#[test]
fn retry_is_not_sent_after_the_deduplication_window() {
    let (mut world, executor) = warm_world(policy(), 4);
    let invocation = world.invoke(1, 1, 5.0);
    assert_eq!(
        world.model.actions.last(),
        Some(&RecordedAction::Dispatch(invocation, executor))
    );
    assert!(
        may_send_dispatch(&mut world, invocation, 0),
        "the first has no window"
    );
    world.advance(1.5);
    assert!(may_send_dispatch(&mut world, invocation, 0));
    world.finish(invocation, 0, DispatchStatus::Error);
    assert_eq!(
        world.model.accepted[invocation as usize].dispatches.len(),
        2,
        "it may be retried"
    );
    assert!(may_send_dispatch(&mut world, invocation, 1));
    world.advance(0.49);
    assert!(may_send_dispatch(&mut world, invocation, 1));
    world.advance(0.02);
    assert!(
        !may_send_dispatch(&mut world, invocation, 1),
        "2 s after the first"
    );
}

#[test]
fn nothing_is_sent_after_the_timeout_or_the_answer() {
    let (mut world, invocation, _) = world_with_dispatch(policy());
    world.model.now += 4.997;
    assert!(may_send_dispatch(&mut world, invocation, 0));
    world.model.now += 0.002;
    assert!(
        !may_send_dispatch(&mut world, invocation, 0),
        "less than a clock tick is left"
    );
    let (mut world, invocation, _) = world_with_dispatch(policy());
    world.cancel(invocation);
    assert!(
        !may_send_dispatch(&mut world, invocation, 0) && !may_send_dispatch(&mut world, 999, 0)
    );
    let (mut world, invocation, _) = world_with_dispatch(policy());
    world.finish(invocation, 0, DispatchStatus::Ok);
    assert!(!may_send_dispatch(&mut world, invocation, 0));
}

/// An executor that restarted while a connection to it was being made is as cold as any, and a late dispatch counts when
/// it is sent.
#[test]
fn late_dispatch_counts_in_the_slow_start_budget_when_it_is_sent() {
    let (mut world, executor) = warm_world(
        PolicyConfig {
            allows_load_commands: false,
            front_ends: 1.0,
            ..policy()
        },
        1,
    );
    world.advance(3.0);
    let first = world.invoke(0, 1, 4.0);
    assert_eq!(world.model.accepted[first as usize].dispatches.len(), 1);
    world.advance(2.0);
    world.update_endpoint(executor, EndpointState::Ready, world.model.now);
    assert!(may_send_dispatch(&mut world, first, 0), "its budget of one");
    let second = world.invoke(0, 2, 4.0);
    world.advance(0.5);
    assert!(
        world.model.accepted[second as usize].dispatches.is_empty(),
        "the first was just sent"
    );
}

/// While the endpoint list is unavailable nothing says which executor drains: one that rejects whatever comes gets
/// nothing until the list is available again.
#[test]
fn rejecting_executor_gets_nothing_while_the_endpoint_list_is_unavailable() {
    let is_rejected = |world: &mut World, pause: f64| {
        let invocation = world.invoke(0, 1, 5.0);
        let sent = !world.model.accepted[invocation as usize]
            .dispatches
            .is_empty();
        if sent {
            world.finish(invocation, 0, DispatchStatus::Full);
        }
        world.cancel(invocation);
        world.advance(pause);
        sent
    };
    let update_list = |world: &mut World, kind| {
        world
            .dispatcher
            .on_endpoint_update(world.model.now, kind, &[], &mut world.model)
    };
    let pauses = [0.15, 0.25, 0.45, 0.85];
    let (mut world, executor) = warm_world(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        1,
    );
    assert!(
        pauses
            .into_iter()
            .all(|pause| is_rejected(&mut world, pause)),
        "with a list it is tried again"
    );
    update_list(&mut world, EndpointUpdateKind::Failed);
    assert!(!is_rejected(&mut world, 0.1) && !may_send_load(&mut world, executor));
    update_list(&mut world, EndpointUpdateKind::Delta);
    assert!(may_send_load(&mut world, executor) && is_rejected(&mut world, 0.1));
    // One that serves in between is crowded, not draining.
    let (mut world, executor) = warm_world(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        1,
    );
    update_list(&mut world, EndpointUpdateKind::Failed);
    assert!(
        pauses[..3]
            .iter()
            .all(|&pause| is_rejected(&mut world, pause))
    );
    let invocation = world.invoke(0, 1, 5.0);
    world.finish(invocation, 0, DispatchStatus::Ok);
    assert!(
        pauses[..3]
            .iter()
            .all(|&pause| is_rejected(&mut world, pause))
            && may_send_load(&mut world, executor)
    );
}

/// A load command that is sent late counts in the window in which it is sent.
#[test]
fn load_command_counts_in_the_budget_when_it_is_sent() {
    let mut world = World::new(
        PolicyConfig {
            load_budget_floor: 1.0,
            load_budget_fraction: 0.0,
            ..policy()
        },
        4,
    );
    world.invoke(0, 1, 4.0);
    let command = &world.model.load_commands[0];
    let (commanded_at, executor) = (command.sent_at, command.executor);
    world.advance(0.3);
    assert!(
        world
            .dispatcher
            .revalidate_load(world.model.now, executor_id(executor), commanded_at)
    );
    world.advance(4.8);
    world.invoke(0, 2, 4.0);
    assert_eq!(
        world.model.load_commands.len(),
        1,
        "within 5 s of its sending"
    );
    world.advance(0.3);
    world.invoke(0, 3, 4.0);
    assert_eq!(world.model.load_commands.len(), 2, "and not after that");
    // Another one that waited for a connection meanwhile has no budget left.
    assert!(!world.dispatcher.revalidate_load(
        world.model.now,
        executor_id(executor),
        commanded_at
    ));
}
