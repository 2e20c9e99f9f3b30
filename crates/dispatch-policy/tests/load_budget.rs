//! The budget of load commands and its use by prewarming.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{Harness, policy};

#[test]
fn prewarming_uses_half_of_the_load_budget_and_renews_replicas() {
    let mut harness = Harness::new(
        PolicyConfig {
            load_budget_floor: 4.0,
            load_budget_fraction: 0.0,
            ..policy()
        },
        6,
    );
    let commands = |harness: &Harness| harness.model.load_commands.len();
    for function in 1..=4 {
        assert_eq!(harness.prewarm(function, 1), 0);
    }
    assert_eq!(
        commands(&harness),
        2,
        "the rest of the budget is reserved for placements"
    );
    harness.invoke(0, 9, 5.0);
    assert_eq!(commands(&harness), 3);
    harness.finish_loads(DispatchStatus::Ok);
    assert_eq!(harness.prewarm(1, 1), 1, "the replica is warm");
    harness.advance(5.5);
    assert_eq!(
        (harness.prewarm(1, 1), commands(&harness)),
        (1, 4),
        "it is renewed before it expires"
    );
    harness.finish_loads(DispatchStatus::Ok);
    harness.advance(5.0);
    assert_eq!(
        harness.prewarm(1, 0),
        1,
        "the renewed replica is still warm"
    );
    assert_eq!(harness.prewarm(2, 0), 0, "the other replica has expired");
}

#[test]
fn cancelled_invocations_grant_no_load_command() {
    let mut harness = Harness::new(
        PolicyConfig {
            load_budget_floor: 1.0,
            ..policy()
        },
        6,
    );
    for _ in 0..20 {
        let invocation = harness.invoke(0, 1, 5.0);
        harness.cancel(invocation);
    }
    for function in 2..6 {
        harness.invoke(0, function, 5.0);
    }
    assert_eq!(
        harness.model.load_commands.len(),
        1,
        "only the budget's floor is granted"
    );
}
