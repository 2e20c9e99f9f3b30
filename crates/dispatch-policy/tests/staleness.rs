//! What is sent at which age of the view of executors.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{World, executor_id, policy, warm_world};

/// A world with one executor, whose endpoint list was confirmed at its start. The drain grace is one second.
fn confirmed_world() -> World {
    let (mut world, _) = warm_world(
        PolicyConfig {
            load_budget_window: 0.0,
            ..policy()
        },
        1,
    );
    let now = world.model.now;
    world
        .dispatcher
        .on_view_confirmed(now, now, &mut world.model);
    world
}

fn may_load(world: &mut World) -> bool {
    let now = world.model.now;
    world.dispatcher.revalidate_load(now, executor_id(0), now)
}

/// Has the executor reject so many load commands in a row.
fn reject(world: &mut World, count: usize) {
    for _ in 0..count {
        world.dispatcher.on_load_result(
            world.model.now,
            executor_id(0),
            1,
            DispatchStatus::Full,
            &mut world.model,
        );
    }
}

#[test]
fn fresh_view_trusts_an_executor_that_rejects() {
    let mut world = confirmed_world();
    reject(&mut world, 10);
    world.advance(0.9);
    assert!(may_load(&mut world));
}

#[test]
fn ageing_view_leaves_out_an_executor_after_four_rejections() {
    let mut world = confirmed_world();
    world.advance(1.1);
    reject(&mut world, 3);
    assert!(may_load(&mut world));
    reject(&mut world, 1);
    assert!(!may_load(&mut world));
}

#[test]
fn unknown_view_leaves_out_an_executor_after_one_rejection() {
    let mut world = confirmed_world();
    world.advance(2.7);
    assert!(may_load(&mut world), "without a rejection");
    reject(&mut world, 1);
    assert!(!may_load(&mut world), "the source answers late");
    let now = world.model.now;
    world.dispatcher.on_view_request_unanswered(now, now);
    assert!(may_load(&mut world), "it is known to be silent");
    world.advance(2.0);
    assert!(!may_load(&mut world), "it is silent for too long");
}

#[test]
fn confirmation_makes_the_view_fresh_again() {
    let mut world = confirmed_world();
    world.advance(5.0);
    reject(&mut world, 1);
    assert!(!may_load(&mut world));
    let now = world.model.now;
    world
        .dispatcher
        .on_view_confirmed(now, now, &mut world.model);
    assert!(may_load(&mut world));
}

#[test]
fn stalled_process_sends_nothing_until_it_has_heard_again() {
    let mut world = confirmed_world();
    world.model.now += 3.0;
    let resumed_at = world.model.now;
    world.dispatcher.on_process_stall(resumed_at);
    assert!(!may_load(&mut world));
    world
        .dispatcher
        .on_view_confirmed(resumed_at, resumed_at - 2.5, &mut world.model);
    assert!(
        !may_load(&mut world),
        "the request is from before the stall"
    );
    world
        .dispatcher
        .on_view_confirmed(resumed_at, resumed_at, &mut world.model);
    assert!(may_load(&mut world));
}

#[test]
fn stalled_process_goes_on_once_its_requests_are_known_to_be_lost() {
    let mut world = confirmed_world();
    world.model.now += 3.0;
    let resumed_at = world.model.now;
    world.dispatcher.on_process_stall(resumed_at);
    world
        .dispatcher
        .on_view_request_unanswered(resumed_at + 0.5, resumed_at - 0.1);
    assert!(
        !may_load(&mut world),
        "the request is from before the stall"
    );
    world
        .dispatcher
        .on_view_request_unanswered(resumed_at + 0.5, resumed_at);
    assert!(may_load(&mut world));
}
