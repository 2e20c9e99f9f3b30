//! Retries of keyed invocations are limited to the deduplication scope and window of the first dispatch that may have
//! run.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{Harness, policy};

/// Creates a harness without load commands, with a keyed invocation in flight. Returns also the invocation and the
/// other executor in the deduplication scope of its dispatch.
fn harness_with_possible_execution(function: u64) -> (Harness, u32, usize) {
    let mut harness = Harness::new(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        8,
    );
    let invocation = harness.invoke(1, function, 5.0);
    let first = harness.model.accepted[invocation as usize].dispatches[0].executor;
    (harness, invocation, first ^ 1)
}

/// Regression test for a failure in socket tests: an invocation without a warm replica in its scope waited until its
/// client timed out.
#[test]
fn keyed_invocation_is_retried_within_its_scope() {
    for function in 0..40 {
        let (mut harness, invocation, peer) = harness_with_possible_execution(function);
        harness.finish(invocation, 0, DispatchStatus::Error);
        harness.advance(0.5);
        assert_eq!(
            harness.executors_of(invocation),
            [peer ^ 1, peer],
            "function {function}"
        );
        harness.finish(invocation, 1, DispatchStatus::Ok);
        harness.assert_all_answered();
    }
}

#[test]
fn keyed_invocation_is_retried_within_its_scope_despite_warm_replicas_outside() {
    for function in 0..40 {
        let (mut harness, invocation, peer) = harness_with_possible_execution(function);
        let outside: Vec<usize> = (0..8).filter(|executor| executor / 2 != peer / 2).collect();
        outside[1..].iter().for_each(|&executor| {
            harness.update_endpoint(executor, EndpointState::Draining, f64::NEG_INFINITY)
        });
        harness.update_endpoint(peer, EndpointState::Draining, f64::NEG_INFINITY);
        harness.finish(invocation, 0, DispatchStatus::Error);
        harness.advance(0.2);
        let other = harness.invoke(0, function, 5.0);
        assert_eq!(
            harness.executors_of(other),
            outside[..1],
            "function {function}"
        );
        harness.finish(other, 0, DispatchStatus::Ok);
        harness.advance(0.1);
        assert_eq!(
            harness.executors_of(invocation),
            [peer ^ 1, peer ^ 1],
            "function {function}"
        );
        harness.finish(invocation, 1, DispatchStatus::Ok);
        harness.assert_all_answered();
    }
}

#[test]
fn keyed_invocation_is_never_retried_outside_its_scope_or_window() {
    for function in 0..40 {
        // Executors remember a key for 2 s.
        for (back_after, sent) in [(1.9, 2), (2.1, 1)] {
            let (mut harness, invocation, peer) = harness_with_possible_execution(function);
            harness.update_endpoint(peer, EndpointState::Draining, f64::NEG_INFINITY);
            harness.finish(invocation, 0, DispatchStatus::Error);
            harness.advance(back_after);
            assert_eq!(
                harness.executors_of(invocation),
                [peer ^ 1],
                "function {function}, without another executor in its scope"
            );
            harness.update_endpoint(peer, EndpointState::Ready, f64::NEG_INFINITY);
            harness.advance(0.1);
            assert_eq!(
                harness.executors_of(invocation).len(),
                sent,
                "function {function}, back after {back_after} s"
            );
            harness.assert_all_answered();
        }
    }
}

/// An executor whose cell changes counts as another executor. An invocation that may have run at the former one is
/// retried only in the former one's scope.
#[test]
fn reused_address_keeps_the_scope_of_the_earlier_executor() {
    let mut harness = Harness::new(
        PolicyConfig {
            load_budget_window: 0.0,
            ..policy()
        },
        2,
    );
    for _ in 0..2 {
        harness.prewarm(1, 2);
        harness.finish_loads(DispatchStatus::Ok);
    }
    let (invocation, other) = (harness.invoke(1, 1, 5.0), harness.invoke(0, 1, 5.0));
    let (first, second) = (
        harness.executors_of(invocation)[0],
        harness.executors_of(other)[0],
    );
    assert_ne!(first, second, "each executor has one dispatch");
    harness.model.executors[first].cell = 9;
    harness.update_endpoint(first, EndpointState::Ready, f64::NEG_INFINITY);
    harness.finish(invocation, 0, DispatchStatus::Error);
    assert_eq!(
        harness.executors_of(invocation),
        [first, second],
        "the idle executor is in another cell now"
    );
}
