//! Executors that hang, fail or can't be reached are ejected, and what is in flight there is retried or hedged.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{RecordedAction, policy, warm_world};

#[test]
fn invocation_at_a_silent_executor_is_hedged() {
    let (mut world, executor) = warm_world(
        PolicyConfig {
            allows_hedging: true,
            ..policy()
        },
        4,
    );
    world.advance(0.01);
    let stuck = world.invoke(0, 1, 5.0);
    for _ in 0..2 {
        world.invoke(2, 1, 5.0);
    }
    world.finish_loads(DispatchStatus::Ok);
    world.advance(0.9);
    let sent = &world.model.accepted[stuck as usize].dispatches;
    assert!(
        sent.len() == 2 && sent[0].executor == executor && sent[1].executor != executor,
        "a hedged request went elsewhere"
    );
}

#[test]
fn executor_that_fails_fast_is_ejected_and_tried_again() {
    let (mut world, executor) = warm_world(policy(), 4);
    for function in 0..40 {
        let invocation = world.invoke(0, function, 5.0);
        world.finish_loads(DispatchStatus::Ok);
        let status = if world.model.accepted[invocation as usize].dispatches[0].executor == executor
        {
            DispatchStatus::Error
        } else {
            DispatchStatus::Ok
        };
        world.finish(invocation, 0, status);
        if status == DispatchStatus::Error {
            world.advance(0.15);
            world.finish(invocation, 1, DispatchStatus::Ok);
        }
    }
    world.finish_loads(DispatchStatus::Ok);
    let before = world.dispatches_to(executor);
    for _ in 0..4 {
        world.invoke(2, 1, 5.0);
    }
    assert_eq!(
        world.dispatches_to(executor),
        before,
        "no non-idempotent invocation is tried there"
    );
    world.advance(6.0);
    world.invoke(0, 9, 5.0);
    world.assert_all_answered();
}

#[test]
fn executor_that_fails_fast_is_ejected_even_if_all_are_slow() {
    let (mut world, executor) = warm_world(policy(), 4);
    (1..40).for_each(|function| {
        let invocation = world.invoke(0, function, 5.0);
        world.finish_loads(DispatchStatus::Ok);
        world.finish(invocation, 0, DispatchStatus::Ok);
    });
    world.latency = 1.0;
    let mut failed = 0;
    for n in 0..160 {
        let invocation = world.invoke(2, 1 + n % 32, 5.0);
        if let Some(sent) = world.model.accepted[invocation as usize].dispatches.first() {
            let has_failed = sent.executor == executor;
            failed += u32::from(has_failed);
            world.finish(
                invocation,
                0,
                if has_failed {
                    DispatchStatus::Error
                } else {
                    DispatchStatus::Ok
                },
            );
        }
        world.advance(0.02);
    }
    assert!(
        failed < 10,
        "{failed} dispatches to the executor that fails"
    );
}

#[test]
fn errors_of_functions_that_no_executor_serves_eject_none() {
    let (mut world, executor) = warm_world(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        4,
    );
    for function in 100..160 {
        let first = world.invoke(2, function, 5.0);
        if world.model.accepted[first as usize].dispatches[0].executor == executor {
            // A client invokes a function that no executor knows.
            world.finish(first, 0, DispatchStatus::Error);
            continue;
        }
        world.finish(first, 0, DispatchStatus::Ok);
        let second = world.invoke(2, function, 5.0);
        world.finish(second, 0, DispatchStatus::Ok);
    }
    let last = world.invoke(2, 1, 5.0);
    assert_eq!(
        world.model.actions.last(),
        Some(&RecordedAction::Dispatch(last, executor)),
        "the function that it serves still goes there"
    );
}

#[test]
fn one_failed_connection_ejects_an_executor() {
    let (mut world, executor) = warm_world(policy(), 4);
    let invocation = world.invoke(2, 1, 5.0);
    world.finish(invocation, 0, DispatchStatus::ConnectFailed);
    world.advance(0.2);
    world.finish_loads(DispatchStatus::Ok);
    assert_eq!(
        world.model.accepted[invocation as usize].dispatches.len(),
        2
    );
    assert_ne!(
        world.model.accepted[invocation as usize].dispatches[1].executor,
        executor
    );
}

/// Found with 300 front ends: an invocation that was retried from an executor that hung was the next to try it again.
#[test]
fn retried_invocation_does_not_return_to_the_silent_executor() {
    let (mut world, executor) = warm_world(policy(), 4);
    world.latency = 0.02;
    for function in 0..200 {
        let invocation = world.invoke(0, 2 + function % 20, 5.0);
        world.finish_loads(DispatchStatus::Ok);
        world.finish(invocation, 0, DispatchStatus::Ok);
    }
    world.advance(0.01);
    let stuck: Vec<u32> = (0..4).map(|_| world.invoke(0, 1, 5.0)).collect();
    world.advance(0.75);
    world.latency = 0.75;
    stuck
        .iter()
        .for_each(|&invocation| world.finish(invocation, 0, DispatchStatus::Cancelled));
    world.finish_loads(DispatchStatus::Ok);
    let retried: Vec<Vec<usize>> = stuck
        .iter()
        .map(|&invocation| world.executors_of(invocation))
        .filter(|executors| executors[0] == executor && executors.len() > 1)
        .collect();
    assert!(
        !retried.is_empty() && retried.iter().all(|executors| executors[1] != executor),
        "{retried:?} from {executor}"
    );
}
