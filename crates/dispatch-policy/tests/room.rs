//! Room, shares, orders and odd inputs: a small test for each failure met.

mod plain;

use orchidtally_dispatch_policy::interface::*;
use plain::warm::warm;
use plain::{Said, World, policy};

#[test]
fn streams_and_odd_inputs_are_taken_calmly() {
    let (mut w, _) = warm(policy(), 2);
    let inv = w.invoke(0, 1, 5.0);
    w.dispatcher
        .on_response_started(w.plain.now, inv, 0, &mut w.plain);
    w.pass(2.0);
    assert_eq!(w.plain.taken[inv as usize].sent.len(), 1);
    w.end(inv, 0, DispatchStatus::Ok);
    w.dispatcher
        .on_client_cancel(w.plain.now, inv, &mut w.plain);
    w.dispatcher
        .on_client_cancel(w.plain.now, 999, &mut w.plain);
    w.dispatcher
        .on_endpoint_update(w.plain.now, EndpointUpdateKind::Failed, &[], &mut w.plain);
    w.dispatcher.on_load_result(
        w.plain.now,
        plain::id(9),
        77,
        DispatchStatus::Ok,
        &mut w.plain,
    );
    let past = w.invoke(2, 1, 0.0);
    assert!(
        w.plain.taken[past as usize].closed_at.is_some(),
        "a client timeout already past is answered at once"
    );
    let mut empty = World::new(policy(), 0);
    empty.invoke(0, 1, 1.0);
    empty.all_answered();
}

#[test]
fn a_function_told_to_be_crowded_reaches_more_executors() {
    let (mut w, _) = warm(
        PolicyConfig {
            reports_concurrency: true,
            ..policy()
        },
        6,
    );
    w.crowd = 24;
    for _ in 0..8 {
        let inv = w.invoke(0, 1, 5.0);
        w.load_all(DispatchStatus::Ok);
        w.end(inv, 0, DispatchStatus::Ok);
        w.pass(3.0);
    }
    assert!((0..6).filter(|&x| w.sent_to(x) > 0).count() > 2);
}

#[test]
fn a_client_that_leaves_early_is_no_executors_fault_and_an_idle_front_end_sleeps() {
    let (mut w, x) = warm(policy(), 4);
    w.invoke(0, 1, 0.2);
    w.pass(1.0);
    assert!(
        w.plain.wakes.is_empty(),
        "no timer with nothing waiting or out"
    );
    w.invoke(0, 1, 5.0);
    assert!(matches!(w.plain.said.last(), Some(&Said::Dispatch(_, to)) if to == x));
}

#[test]
fn where_most_wait_is_served_first() {
    let mut w = World::new(
        PolicyConfig {
            load_budget_floor: 1.0,
            load_budget_fraction: 0.0,
            ..policy()
        },
        4,
    );
    w.invoke(0, 1, 5.0);
    for function in [2, 3, 3, 3, 4] {
        w.invoke(0, function, 5.0);
    }
    // Only one order is granted in a while, and the first function has it; the executors refuse the rest.
    let sent = w.plain.taken[1..].iter().filter(|t| !t.sent.is_empty());
    let refused: Vec<_> = sent.map(|t| t.inv.id).collect();
    for inv in refused {
        w.end(inv, 0, DispatchStatus::Full);
    }
    w.plain.said.clear();
    w.pass(5.1);
    let order = w
        .plain
        .said
        .iter()
        .find(|s| matches!(s, Said::Hold(..) | Said::Dispatch(..)));
    assert!(
        matches!(order, Some(Said::Dispatch(inv, _)) if (2..5).contains(inv)),
        "{order:?}"
    );
}

/// Found with 100,000 functions: an entry that had run out, and was not swept yet, held up the next placement.
#[test]
fn an_entry_past_its_time_holds_up_no_placement() {
    let (mut w, _) = warm(policy(), 6);
    w.pass(9.0);
    let before = w.plain.said.len();
    w.invoke(0, 1, 5.0);
    assert!(
        matches!(w.plain.said[before..], [Said::Hold(_, 1)]),
        "{:?}",
        &w.plain.said[before..]
    );
}

/// Found by a rollout's socket test: what is worth little had no place even at an idle executor.
#[test]
fn what_is_worth_least_is_served_by_an_idle_fleet() {
    let mut policy = PolicyConfig {
        front_ends: 1.0,
        ..policy()
    };
    policy.trigger_types[2].billed_value = 0.001;
    let (mut w, x) = warm(policy, 4);
    for _ in 0..20 {
        let inv = w.invoke(0, 1, 5.0);
        w.end(inv, 0, DispatchStatus::Ok);
        w.pass(0.1);
    }
    let least = w.invoke(2, 1, 5.0);
    assert_eq!(w.plain.said.last(), Some(&Said::Dispatch(least, x)));
}

#[test]
fn copies_ahead_leave_half_of_the_ration_and_are_renewed_before_their_time() {
    let mut w = World::new(
        PolicyConfig {
            load_budget_floor: 4.0,
            load_budget_fraction: 0.0,
            ..policy()
        },
        6,
    );
    let orders = |w: &World| w.plain.holds.len();
    for function in 1..=4 {
        assert_eq!(w.ahead(function, 1), 0);
    }
    assert_eq!(orders(&w), 2, "the rest of the ration is for placements");
    w.invoke(0, 9, 5.0);
    assert_eq!(orders(&w), 3);
    w.load_all(DispatchStatus::Ok);
    assert_eq!(w.ahead(1, 1), 1, "the copy is known");
    w.pass(5.5);
    assert_eq!(
        (w.ahead(1, 1), orders(&w)),
        (1, 4),
        "it is renewed before its time is over"
    );
    w.load_all(DispatchStatus::Ok);
    w.pass(5.0);
    assert_eq!(w.ahead(1, 0), 1, "and known for longer than without");
    assert_eq!(w.ahead(2, 0), 0, "which the other is not");
}

#[test]
fn what_a_client_takes_back_grants_no_order() {
    let mut w = World::new(
        PolicyConfig {
            load_budget_floor: 1.0,
            ..policy()
        },
        6,
    );
    for _ in 0..20 {
        let inv = w.invoke(0, 1, 5.0);
        w.withdraw(inv);
    }
    for function in 2..6 {
        w.invoke(0, function, 5.0);
    }
    assert_eq!(
        w.plain.holds.len(),
        1,
        "the floor, and no fifth part of what was taken back"
    );
}

/// Found by a flaky test of the HTTP front end: a function whose placement had failed went to any executor but that
/// one, for good where there was no other.
#[test]
fn the_only_executor_is_tried_again_after_it_had_no_room() {
    let mut w = World::new(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        1,
    );
    let inv = w.invoke(0, 1, 5.0);
    assert_eq!(w.plain.said.last(), Some(&Said::Dispatch(inv, 0)));
    w.end(inv, 0, DispatchStatus::Full);
    w.pass(0.6);
    assert_eq!(w.sent_to(0), 2, "{:?}", w.plain.said);
}

/// The same with another that takes no connection: what one dispatch found out of it need not be found out again.
#[test]
fn an_executor_that_had_no_room_is_tried_before_one_that_takes_no_connection() {
    let mut w = World::new(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        2,
    );
    let inv = w.invoke(0, 1, 5.0);
    let gone = usize::from(w.sent_to(1) > 0);
    w.end(inv, 0, DispatchStatus::ConnectFailed);
    w.pass(0.2);
    assert_eq!(
        (w.sent_to(gone), w.sent_to(1 - gone)),
        (1, 1),
        "{:?}",
        w.plain.said
    );
    w.end(inv, 1, DispatchStatus::Full);
    w.pass(0.6);
    assert_eq!(
        (w.sent_to(gone), w.sent_to(1 - gone)),
        (1, 2),
        "{:?}",
        w.plain.said
    );
}
