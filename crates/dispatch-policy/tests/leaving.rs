//! What was decided is asked again as its bytes leave, which may be long after.

mod plain;

use orchidtally_dispatch_policy::interface::*;
use plain::warm::warm;
use plain::{Said, World, id, policy};

fn leaves(w: &mut World, inv: u32, dispatch: u8) -> bool {
    w.dispatcher.revalidate_dispatch(w.plain.now, inv, dispatch)
}

/// Whether an order that is given now may leave now.
fn order_leaves(w: &mut World, x: usize) -> bool {
    w.dispatcher
        .revalidate_load(w.plain.now, id(x), w.plain.now)
}

/// One dispatch that is out, and where.
fn out(policy: PolicyConfig) -> (World, u32, usize) {
    let (mut w, x) = warm(policy, 4);
    let inv = w.invoke(0, 1, 5.0);
    assert_eq!(w.plain.said.last(), Some(&Said::Dispatch(inv, x)));
    (w, inv, x)
}

#[test]
fn nothing_leaves_for_an_executor_that_was_told_draining_or_gone_meanwhile() {
    for standing in [EndpointState::Draining, EndpointState::Gone] {
        let (mut w, inv, x) = out(policy());
        assert!(leaves(&mut w, inv, 0) && order_leaves(&mut w, x));
        w.roster(x, standing, f64::NEG_INFINITY);
        assert!(
            !leaves(&mut w, inv, 0) && !order_leaves(&mut w, x),
            "{standing:?}"
        );
    }
    let (mut w, ..) = out(policy());
    assert!(!order_leaves(&mut w, 200), "nobody knows it");
}

/// The window runs from the first that may have run; the repeat may be on its way for as long as a connection takes.
#[test]
fn a_repeat_does_not_leave_once_the_window_of_its_token_is_over() {
    let (mut w, x) = warm(policy(), 4);
    let inv = w.invoke(1, 1, 5.0);
    assert_eq!(w.plain.said.last(), Some(&Said::Dispatch(inv, x)));
    assert!(leaves(&mut w, inv, 0), "the first has no window");
    w.pass(1.5);
    assert!(leaves(&mut w, inv, 0));
    w.end(inv, 0, DispatchStatus::Error);
    assert_eq!(
        w.plain.taken[inv as usize].sent.len(),
        2,
        "it may be repeated"
    );
    assert!(leaves(&mut w, inv, 1));
    w.pass(0.49);
    assert!(leaves(&mut w, inv, 1));
    w.pass(0.02);
    assert!(!leaves(&mut w, inv, 1), "2 s after the first");
}

#[test]
fn nothing_leaves_after_its_time_nor_once_it_is_over() {
    let (mut w, inv, _) = out(policy());
    w.plain.now += 4.997;
    assert!(leaves(&mut w, inv, 0));
    w.plain.now += 0.002;
    assert!(!leaves(&mut w, inv, 0), "less than a moment is left");
    let (mut w, inv, _) = out(policy());
    w.withdraw(inv);
    assert!(!leaves(&mut w, inv, 0) && !leaves(&mut w, 999, 0));
    let (mut w, inv, _) = out(policy());
    w.end(inv, 0, DispatchStatus::Ok);
    assert!(!leaves(&mut w, inv, 0));
}

/// An executor that restarted while a connection to it was being made is as cold as any, and what leaves late weighs
/// when it leaves.
#[test]
fn what_leaves_late_counts_at_a_cold_executor_when_it_leaves() {
    let (mut w, x) = warm(
        PolicyConfig {
            allows_load_commands: false,
            front_ends: 1.0,
            ..policy()
        },
        1,
    );
    w.pass(3.0);
    let first = w.invoke(0, 1, 4.0);
    assert_eq!(w.plain.taken[first as usize].sent.len(), 1);
    w.pass(2.0);
    w.roster(x, EndpointState::Ready, w.plain.now);
    assert!(leaves(&mut w, first, 0), "its turn of one");
    let second = w.invoke(0, 2, 4.0);
    w.pass(0.5);
    assert!(
        w.plain.taken[second as usize].sent.is_empty(),
        "the first has just left"
    );
}

/// While no list can be had nobody is told who drains: one that turns away whatever comes is left alone until one can.
#[test]
fn one_that_turns_all_away_is_left_alone_while_no_list_can_be_had() {
    let turn_away = |w: &mut World, pause: f64| {
        let inv = w.invoke(0, 1, 5.0);
        let sent = !w.plain.taken[inv as usize].sent.is_empty();
        if sent {
            w.end(inv, 0, DispatchStatus::Full);
        }
        w.withdraw(inv);
        w.pass(pause);
        sent
    };
    let list = |w: &mut World, kind| {
        w.dispatcher
            .on_endpoint_update(w.plain.now, kind, &[], &mut w.plain)
    };
    let pauses = [0.15, 0.25, 0.45, 0.85];
    let (mut w, x) = warm(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        1,
    );
    assert!(
        pauses.into_iter().all(|pause| turn_away(&mut w, pause)),
        "with a list it is asked again"
    );
    list(&mut w, EndpointUpdateKind::Failed);
    assert!(!turn_away(&mut w, 0.1) && !order_leaves(&mut w, x));
    list(&mut w, EndpointUpdateKind::Delta);
    assert!(order_leaves(&mut w, x) && turn_away(&mut w, 0.1));
    // One that serves in between is crowded, not draining.
    let (mut w, x) = warm(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        1,
    );
    list(&mut w, EndpointUpdateKind::Failed);
    assert!(pauses[..3].iter().all(|&pause| turn_away(&mut w, pause)));
    let inv = w.invoke(0, 1, 5.0);
    w.end(inv, 0, DispatchStatus::Ok);
    assert!(pauses[..3].iter().all(|&pause| turn_away(&mut w, pause)) && order_leaves(&mut w, x));
}

/// An order that took its time to leave is one of the span in which it left.
#[test]
fn an_order_counts_against_the_ration_when_it_leaves() {
    let mut w = World::new(
        PolicyConfig {
            load_budget_floor: 1.0,
            load_budget_fraction: 0.0,
            ..policy()
        },
        4,
    );
    w.invoke(0, 1, 4.0);
    let (given, x, ..) = w.plain.holds[0];
    w.pass(0.3);
    assert!(w.dispatcher.revalidate_load(w.plain.now, id(x), given));
    w.pass(4.8);
    w.invoke(0, 2, 4.0);
    assert_eq!(w.plain.holds.len(), 1, "within 5 s of its leaving");
    w.pass(0.3);
    w.invoke(0, 3, 4.0);
    assert_eq!(w.plain.holds.len(), 2, "and not after that");
    // Another that waited for a connection meanwhile finds nothing left.
    assert!(!w.dispatcher.revalidate_load(w.plain.now, id(x), given));
}
