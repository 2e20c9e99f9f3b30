//! Executors that hang, fail or can't be reached are ejected, and their dispatches in flight are retried or hedged.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{RecordedAction, policy, warm_harness};

#[test]
fn invocation_at_a_silent_executor_is_hedged() {
    let (mut harness, executor) = warm_harness(
        PolicyConfig {
            allows_hedging: true,
            ..policy()
        },
        4,
    );
    harness.advance(0.01);
    let stuck = harness.invoke(0, 1, 5.0);
    for _ in 0..2 {
        harness.invoke(2, 1, 5.0);
    }
    harness.finish_loads(DispatchStatus::Ok);
    harness.advance(0.9);
    let sent = &harness.model.accepted[stuck as usize].dispatches;
    assert!(
        sent.len() == 2 && sent[0].executor == executor && sent[1].executor != executor,
        "a hedged dispatch goes to another executor"
    );
}

#[test]
fn executor_that_fails_fast_is_ejected_and_tried_again() {
    let (mut harness, executor) = warm_harness(policy(), 4);
    for function in 0..40 {
        let invocation = harness.invoke(0, function, 5.0);
        harness.finish_loads(DispatchStatus::Ok);
        let status =
            if harness.model.accepted[invocation as usize].dispatches[0].executor == executor {
                DispatchStatus::Error
            } else {
                DispatchStatus::Ok
            };
        harness.finish(invocation, 0, status);
        if status == DispatchStatus::Error {
            harness.advance(0.15);
            harness.finish(invocation, 1, DispatchStatus::Ok);
        }
    }
    harness.finish_loads(DispatchStatus::Ok);
    let before = harness.dispatches_to(executor);
    for _ in 0..4 {
        harness.invoke(2, 1, 5.0);
    }
    assert_eq!(
        harness.dispatches_to(executor),
        before,
        "no non-idempotent invocation is used as a trial"
    );
    harness.advance(6.0);
    harness.invoke(0, 9, 5.0);
    harness.assert_all_answered();
}

#[test]
fn executor_that_fails_fast_is_ejected_even_if_all_are_slow() {
    let (mut harness, executor) = warm_harness(policy(), 4);
    (1..40).for_each(|function| {
        let invocation = harness.invoke(0, function, 5.0);
        harness.finish_loads(DispatchStatus::Ok);
        harness.finish(invocation, 0, DispatchStatus::Ok);
    });
    harness.latency = 1.0;
    let mut failed = 0;
    for n in 0..160 {
        let invocation = harness.invoke(2, 1 + n % 32, 5.0);
        if let Some(sent) = harness.model.accepted[invocation as usize]
            .dispatches
            .first()
        {
            let has_failed = sent.executor == executor;
            failed += u32::from(has_failed);
            harness.finish(
                invocation,
                0,
                if has_failed {
                    DispatchStatus::Error
                } else {
                    DispatchStatus::Ok
                },
            );
        }
        harness.advance(0.02);
    }
    assert!(
        failed < 10,
        "{failed} dispatches to the executor that fails"
    );
}

#[test]
fn errors_of_functions_that_no_executor_serves_eject_none() {
    let (mut harness, executor) = warm_harness(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        4,
    );
    for function in 100..160 {
        let first = harness.invoke(2, function, 5.0);
        if harness.model.accepted[first as usize].dispatches[0].executor == executor {
            // The client invoked a function that no executor knows.
            harness.finish(first, 0, DispatchStatus::Error);
            continue;
        }
        harness.finish(first, 0, DispatchStatus::Ok);
        let second = harness.invoke(2, function, 5.0);
        harness.finish(second, 0, DispatchStatus::Ok);
    }
    let last = harness.invoke(2, 1, 5.0);
    assert_eq!(
        harness.model.actions.last(),
        Some(&RecordedAction::Dispatch(last, executor)),
        "the executor is not ejected"
    );
}

#[test]
fn one_failed_connection_ejects_an_executor() {
    let (mut harness, executor) = warm_harness(policy(), 4);
    let invocation = harness.invoke(2, 1, 5.0);
    harness.finish(invocation, 0, DispatchStatus::ConnectFailed);
    harness.advance(0.2);
    harness.finish_loads(DispatchStatus::Ok);
    assert_eq!(
        harness.model.accepted[invocation as usize].dispatches.len(),
        2
    );
    assert_ne!(
        harness.model.accepted[invocation as usize].dispatches[1].executor,
        executor
    );
}

/// Regression test for a fleet of 300 front ends: an invocation retried from an executor that hung was dispatched there
/// again as the next trial.
#[test]
fn retried_invocation_does_not_return_to_the_silent_executor() {
    let (mut harness, executor) = warm_harness(policy(), 4);
    harness.latency = 0.02;
    for function in 0..200 {
        let invocation = harness.invoke(0, 2 + function % 20, 5.0);
        harness.finish_loads(DispatchStatus::Ok);
        harness.finish(invocation, 0, DispatchStatus::Ok);
    }
    harness.advance(0.01);
    let stuck: Vec<u32> = (0..4).map(|_| harness.invoke(0, 1, 5.0)).collect();
    harness.advance(0.75);
    harness.latency = 0.75;
    stuck
        .iter()
        .for_each(|&invocation| harness.finish(invocation, 0, DispatchStatus::Cancelled));
    harness.finish_loads(DispatchStatus::Ok);
    let retried: Vec<Vec<usize>> = stuck
        .iter()
        .map(|&invocation| harness.executors_of(invocation))
        .filter(|executors| executors[0] == executor && executors.len() > 1)
        .collect();
    assert!(
        !retried.is_empty() && retried.iter().all(|executors| executors[1] != executor),
        "{retried:?} from {executor}"
    );
}
