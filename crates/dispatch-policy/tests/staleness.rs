//! What may be sent depending on the age of the view of the executors.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{Harness, executor_id, policy, warm_harness};

/// Creates a harness with one executor and a view that is confirmed at the start. The drain grace is one second.
fn confirmed_harness() -> Harness {
    let (mut harness, _) = warm_harness(
        PolicyConfig {
            load_budget_window: 0.0,
            ..policy()
        },
        1,
    );
    let now = harness.model.now;
    harness
        .dispatcher
        .on_view_confirmed(now, now, &mut harness.model);
    harness
}

fn may_load(harness: &mut Harness) -> bool {
    let now = harness.model.now;
    harness.dispatcher.revalidate_load(now, executor_id(0), now)
}

/// Makes the executor reject `count` consecutive load commands.
fn reject(harness: &mut Harness, count: usize) {
    for _ in 0..count {
        harness.dispatcher.on_load_result(
            harness.model.now,
            executor_id(0),
            1,
            DispatchStatus::Full,
            &mut harness.model,
        );
    }
}

#[test]
fn fresh_view_trusts_an_executor_that_rejects() {
    let mut harness = confirmed_harness();
    reject(&mut harness, 10);
    harness.advance(0.9);
    assert!(may_load(&mut harness));
}

#[test]
fn ageing_view_excludes_an_executor_after_four_rejections() {
    let mut harness = confirmed_harness();
    harness.advance(1.1);
    reject(&mut harness, 3);
    assert!(may_load(&mut harness));
    reject(&mut harness, 1);
    assert!(!may_load(&mut harness));
}

#[test]
fn unknown_view_excludes_an_executor_after_one_rejection() {
    let mut harness = confirmed_harness();
    harness.advance(2.7);
    assert!(may_load(&mut harness), "without a rejection");
    reject(&mut harness, 1);
    assert!(!may_load(&mut harness), "the source of the list is late");
    let now = harness.model.now;
    harness.dispatcher.on_view_request_unanswered(now, now);
    assert!(may_load(&mut harness), "the source is known to be silent");
    harness.advance(2.0);
    assert!(
        !may_load(&mut harness),
        "the source has been silent for too long"
    );
}

#[test]
fn confirmation_makes_the_view_fresh_again() {
    let mut harness = confirmed_harness();
    harness.advance(5.0);
    reject(&mut harness, 1);
    assert!(!may_load(&mut harness));
    let now = harness.model.now;
    harness
        .dispatcher
        .on_view_confirmed(now, now, &mut harness.model);
    assert!(may_load(&mut harness));
}

#[test]
fn stalled_process_sends_nothing_until_its_view_is_confirmed() {
    let mut harness = confirmed_harness();
    harness.model.now += 3.0;
    let resumed_at = harness.model.now;
    harness.dispatcher.on_process_stall(resumed_at);
    assert!(!may_load(&mut harness));
    harness
        .dispatcher
        .on_view_confirmed(resumed_at, resumed_at - 2.5, &mut harness.model);
    assert!(
        !may_load(&mut harness),
        "the request was sent before the stall"
    );
    harness
        .dispatcher
        .on_view_confirmed(resumed_at, resumed_at, &mut harness.model);
    assert!(may_load(&mut harness));
}

#[test]
fn stalled_process_resumes_once_its_requests_are_known_to_be_lost() {
    let mut harness = confirmed_harness();
    harness.model.now += 3.0;
    let resumed_at = harness.model.now;
    harness.dispatcher.on_process_stall(resumed_at);
    harness
        .dispatcher
        .on_view_request_unanswered(resumed_at + 0.5, resumed_at - 0.1);
    assert!(
        !may_load(&mut harness),
        "the request was sent before the stall"
    );
    harness
        .dispatcher
        .on_view_request_unanswered(resumed_at + 0.5, resumed_at);
    assert!(may_load(&mut harness));
}
