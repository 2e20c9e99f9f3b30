//! The module beside a plain model of the five rules, and a small test for each failure of executors met.

mod plain;

use orchidtally_dispatch_policy::interface::*;
use plain::warm::warm;
use plain::{Said, World, policy};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// One thing that happens: what, where, how, and how much later.
type Happening = (u8, usize, usize, f64);

const ENDINGS: [DispatchStatus; 9] = [
    DispatchStatus::Ok,
    DispatchStatus::Error,
    DispatchStatus::Full,
    DispatchStatus::TimedOut,
    DispatchStatus::ConnectFailed,
    DispatchStatus::Reset,
    DispatchStatus::Ok,
    DispatchStatus::Miss,
    DispatchStatus::Ok,
];

fn play(policy: PolicyConfig, happenings: &[Happening]) {
    let mut w = World::new(policy, 6);
    for &(what, a, b, later) in happenings {
        match what {
            0..=3 => {
                w.invoke(b % 3, a as u64 % 5, 0.3 + later * 20.0);
            }
            4..=6 => {
                let out = |t: &plain::Taken| {
                    t.sent
                        .iter()
                        .position(|s| s.ending.is_none())
                        .map(|n| (t.inv.id, n))
                };
                let out: Vec<_> = w.plain.taken.iter().filter_map(out).collect();
                if let Some(&(inv, n)) = out.get(a % out.len().max(1)) {
                    w.end(inv, n, ENDINGS[b % ENDINGS.len()]);
                }
            }
            7 => w.load_all(ENDINGS[b % ENDINGS.len()]),
            8 => {
                let standing = [
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Gone,
                    EndpointState::Ready,
                ][b % 4];
                let since = if b >= 4 {
                    w.plain.now - later
                } else {
                    f64::NEG_INFINITY
                };
                w.roster(a % 6, standing, since);
            }
            9 => _ = w.ahead(a as u64 % 5, b % 3),
            _ => {
                w.plain.fleet[a % 6].cell = b as u16 % 4;
                w.roster(a % 6, EndpointState::Ready, f64::NEG_INFINITY);
            }
        }
        w.pass(later);
    }
    w.all_answered();
}

#[test]
fn the_module_and_the_plain_model_agree_on_what_is_allowed() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let happening = (0u8..11, 0usize..60, 0usize..72, 0.0f64..0.25);
    let day = (any::<[bool; 4]>(), prop::collection::vec(happening, 1..250));
    let outcome = runner.run(
        &day,
        |([second_copies, orders, rationed, miss], happenings)| {
            let mut policy = policy();
            (
                policy.allows_hedging,
                policy.allows_load_commands,
                policy.rejects_unloaded,
            ) = (second_copies, orders, miss);
            policy.load_budget_window = if rationed { 5.0 } else { 0.0 };
            play(policy, &happenings);
            Ok(())
        },
    );
    outcome.unwrap();
}

#[test]
fn invocations_of_a_cold_function_share_one_placement() {
    let mut w = World::new(policy(), 6);
    for _ in 0..4 {
        w.invoke(0, 1, 5.0);
    }
    assert_eq!(
        w.plain.said.len(),
        1,
        "one order, nothing sent: {:?}",
        w.plain.said
    );
    w.load_all(DispatchStatus::Ok);
    let sent = w
        .plain
        .said
        .iter()
        .filter(|s| matches!(s, Said::Dispatch(..)))
        .count();
    assert_eq!(sent, 4, "all follow its answer: {:?}", w.plain.said);
}

#[test]
fn a_placement_is_drawn_alike_by_all_front_ends() {
    let drawn = |before: u64| {
        let mut w = World::new(policy(), 6);
        for _ in 0..before {
            w.dispatcher.on_timer(100.0, 0, &mut w.plain);
        }
        w.invoke(0, 42, 5.0);
        w.plain.said[0].clone()
    };
    assert_eq!(drawn(0), drawn(3));
}

#[test]
fn full_answers_do_not_start_a_storm() {
    let (mut w, x) = warm(policy(), 1);
    let inv = w.invoke(0, 1, 5.0);
    w.end(inv, 1 - 1, DispatchStatus::Full);
    w.pass(0.05);
    assert_eq!(w.sent_to(x), 2, "nothing is sent while the pause lasts");
    w.pass(0.1);
    assert_eq!(w.sent_to(x), 3);
}

#[test]
fn an_estimate_never_throttles_everything_for_good() {
    let (mut w, x) = warm(policy(), 1);
    for _ in 0..60 {
        let (inv, now) = (w.invoke(0, 1, 5.0), w.plain.now);
        let dispatch = (w.plain.taken[inv as usize].sent.len().max(1) - 1) as u8;
        w.plain.taken[inv as usize].sent[0].ending = Some(DispatchStatus::Ok);
        w.plain.taken[inv as usize].closed_at = Some(now);
        let (executor, found) = (plain::id(x), CopyState::Warm);
        let ending = DispatchStatus::Ok;
        let o = DispatchResult {
            invocation: inv,
            dispatch,
            executor,
            status: ending,
            duration: 4.0,
            is_answered: true,
            copy_state: found,
            function_concurrency: 0,
            load_report: &[],
        };
        w.dispatcher.on_dispatch_result(now, &o, &mut w.plain);
    }
    let inv = w.invoke(0, 1, 5.0);
    assert!(matches!(w.plain.said.last(), Some(&Said::Dispatch(i, _)) if i == inv));
}

#[test]
fn a_silent_executor_loses_what_may_be_moved() {
    let (mut w, x) = warm(
        PolicyConfig {
            allows_hedging: true,
            ..policy()
        },
        4,
    );
    w.pass(0.01);
    let stuck = w.invoke(0, 1, 5.0);
    for _ in 0..2 {
        w.invoke(2, 1, 5.0);
    }
    w.load_all(DispatchStatus::Ok);
    w.pass(0.9);
    let sent = &w.plain.taken[stuck as usize].sent;
    assert!(
        sent.len() == 2 && sent[0].x == x && sent[1].x != x,
        "a second copy went elsewhere"
    );
}

#[test]
fn one_that_fails_fast_is_left_and_tried_again_later() {
    let (mut w, x) = warm(policy(), 4);
    for function in 0..40 {
        let inv = w.invoke(0, function, 5.0);
        w.load_all(DispatchStatus::Ok);
        let ending = if w.plain.taken[inv as usize].sent[0].x == x {
            DispatchStatus::Error
        } else {
            DispatchStatus::Ok
        };
        w.end(inv, 0, ending);
        if ending == DispatchStatus::Error {
            w.pass(0.15);
            w.end(inv, 1, DispatchStatus::Ok);
        }
    }
    w.load_all(DispatchStatus::Ok);
    let before = w.sent_to(x);
    for _ in 0..4 {
        w.invoke(2, 1, 5.0);
    }
    assert_eq!(
        w.sent_to(x),
        before,
        "no invocation that may run only once is risked there"
    );
    w.pass(6.0);
    w.invoke(0, 9, 5.0);
    w.all_answered();
}

#[test]
fn one_that_fails_fast_is_left_also_where_answers_take_long_everywhere() {
    let (mut w, x) = warm(policy(), 4);
    (1..40).for_each(|function| {
        let inv = w.invoke(0, function, 5.0);
        w.load_all(DispatchStatus::Ok);
        w.end(inv, 0, DispatchStatus::Ok);
    });
    w.took = 1.0;
    let mut failed = 0;
    for n in 0..160 {
        let inv = w.invoke(2, 1 + n % 32, 5.0);
        if let Some(sent) = w.plain.taken[inv as usize].sent.first() {
            let there = sent.x == x;
            failed += u32::from(there);
            w.end(
                inv,
                0,
                if there {
                    DispatchStatus::Error
                } else {
                    DispatchStatus::Ok
                },
            );
        }
        w.pass(0.02);
    }
    assert!(failed < 10, "{failed} were risked at the one that fails");
}

#[test]
fn errors_of_what_no_executor_serves_are_none_of_theirs() {
    let (mut w, x) = warm(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        4,
    );
    for function in 100..160 {
        let first = w.invoke(2, function, 5.0);
        if w.plain.taken[first as usize].sent[0].x == x {
            // One of those that a client invokes though no executor knows them.
            w.end(first, 0, DispatchStatus::Error);
            continue;
        }
        w.end(first, 0, DispatchStatus::Ok);
        let second = w.invoke(2, function, 5.0);
        w.end(second, 0, DispatchStatus::Ok);
    }
    let last = w.invoke(2, 1, 5.0);
    assert_eq!(
        w.plain.said.last(),
        Some(&Said::Dispatch(last, x)),
        "what it serves goes there as before"
    );
}

#[test]
fn a_refused_connection_is_enough_to_leave_an_executor() {
    let (mut w, x) = warm(policy(), 4);
    let inv = w.invoke(2, 1, 5.0);
    w.end(inv, 0, DispatchStatus::ConnectFailed);
    w.pass(0.2);
    w.load_all(DispatchStatus::Ok);
    assert_eq!(w.plain.taken[inv as usize].sent.len(), 2);
    assert_ne!(w.plain.taken[inv as usize].sent[1].x, x);
}

#[test]
fn an_executor_that_restarted_is_known_to_be_empty_and_cold() {
    let (mut w, x) = warm(policy(), 4);
    let now = w.plain.now;
    w.roster(x, EndpointState::Ready, now);
    w.invoke(0, 1, 5.0);
    assert!(
        matches!(w.plain.said.last(), Some(Said::Hold(..))),
        "the copy there is gone"
    );
}

/// Where executors are told to be warm at once, one that started this moment is.
#[test]
fn without_a_cold_time_a_new_executor_is_used_at_once() {
    let mut w = World::new(
        PolicyConfig {
            slow_start_duration: 0.0,
            allows_load_commands: false,
            front_ends: 300.0,
            ..policy()
        },
        1,
    );
    let started = w.plain.now;
    w.roster(0, EndpointState::Ready, started);
    (0..5).for_each(|function| _ = w.invoke(0, function, 5.0));
    assert_eq!(w.sent_to(0), 5);
}

/// Found with 300 front ends: while most executors were cold, invocations waited for a turn at the one that they
/// knew, and the turns at others were left unused.
#[test]
fn without_a_turn_at_a_known_cold_executor_another_is_used() {
    let at_once = |trial: u32| {
        let mut w = World::new(
            PolicyConfig {
                slow_start_duration: 1e4,
                allows_load_commands: false,
                front_ends: 2.0,
                ..policy()
            },
            2,
        );
        let now = w.plain.now;
        (0..2).for_each(|x| w.roster(x, EndpointState::Ready, now));
        w.pass(trial.into());
        let mut sent = |ends: bool| {
            let inv = w.invoke(0, 1, 5.0);
            let sent = !w.plain.taken[inv as usize].sent.is_empty();
            if ends && sent {
                w.end(inv, 0, DispatchStatus::Ok);
            }
            w.pass(1.0);
            sent
        };
        while !sent(true) {}
        sent(false)
    };
    // What went to the known one a moment ago still counts there; the other has a turn half of the time.
    let served = (0..200).filter(|&trial| at_once(trial)).count();
    assert!(served > 70, "{served} of 200");
}

/// Found with 300 front ends: what was moved from an executor that hung was itself the next to try it.
#[test]
fn what_is_moved_from_a_silent_executor_does_not_go_back_there() {
    let (mut w, x) = warm(policy(), 4);
    w.took = 0.02;
    for function in 0..200 {
        let inv = w.invoke(0, 2 + function % 20, 5.0);
        w.load_all(DispatchStatus::Ok);
        w.end(inv, 0, DispatchStatus::Ok);
    }
    w.pass(0.01);
    let stuck: Vec<u32> = (0..4).map(|_| w.invoke(0, 1, 5.0)).collect();
    w.pass(0.75);
    w.took = 0.75;
    stuck
        .iter()
        .for_each(|&inv| w.end(inv, 0, DispatchStatus::Cancelled));
    w.load_all(DispatchStatus::Ok);
    let sent = |inv: &u32| {
        w.plain.taken[*inv as usize]
            .sent
            .iter()
            .map(|s| s.x)
            .collect::<Vec<_>>()
    };
    let moved: Vec<_> = stuck
        .iter()
        .map(sent)
        .filter(|s| s[0] == x && s.len() > 1)
        .collect();
    assert!(
        !moved.is_empty() && moved.iter().all(|s| s[1] != x),
        "{moved:?} from {x}"
    );
}

/// A world whose placements are dispatches, with one tokened invocation that may have run at the first executor it
/// was sent to; and the other executor of that one's group.
fn one_that_may_have_run(function: u64) -> (World, u32, usize) {
    let mut w = World::new(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        8,
    );
    let inv = w.invoke(1, function, 5.0);
    let first = w.plain.taken[inv as usize].sent[0].x;
    (w, inv, first ^ 1)
}

fn sent_to(w: &World, inv: u32) -> Vec<usize> {
    w.plain.taken[inv as usize]
        .sent
        .iter()
        .map(|s| s.x)
        .collect()
}

/// Found on socket days: where no executor was known in its group it was held until its client had left.
#[test]
fn one_that_may_have_run_is_placed_again_within_its_group() {
    for function in 0..40 {
        let (mut w, inv, fellow) = one_that_may_have_run(function);
        w.end(inv, 0, DispatchStatus::Error);
        w.pass(0.5);
        assert_eq!(
            sent_to(&w, inv),
            [fellow ^ 1, fellow],
            "function {function}"
        );
        w.end(inv, 1, DispatchStatus::Ok);
        w.all_answered();
    }
}

#[test]
fn one_that_may_have_run_is_placed_again_though_executors_outside_its_group_are_known() {
    for function in 0..40 {
        let (mut w, inv, fellow) = one_that_may_have_run(function);
        let outside: Vec<usize> = (0..8).filter(|x| x / 2 != fellow / 2).collect();
        outside[1..]
            .iter()
            .for_each(|&x| w.roster(x, EndpointState::Draining, f64::NEG_INFINITY));
        w.roster(fellow, EndpointState::Draining, f64::NEG_INFINITY);
        w.end(inv, 0, DispatchStatus::Error);
        w.pass(0.2);
        let other = w.invoke(0, function, 5.0);
        assert_eq!(sent_to(&w, other), outside[..1], "function {function}");
        w.end(other, 0, DispatchStatus::Ok);
        w.pass(0.1);
        assert_eq!(
            sent_to(&w, inv),
            [fellow ^ 1, fellow ^ 1],
            "function {function}"
        );
        w.end(inv, 1, DispatchStatus::Ok);
        w.all_answered();
    }
}

#[test]
fn one_that_may_have_run_is_never_placed_outside_its_group_or_past_its_window() {
    for function in 0..40 {
        // The executors remember a token for 2 s.
        for (back_after, sent) in [(1.9, 2), (2.1, 1)] {
            let (mut w, inv, fellow) = one_that_may_have_run(function);
            w.roster(fellow, EndpointState::Draining, f64::NEG_INFINITY);
            w.end(inv, 0, DispatchStatus::Error);
            w.pass(back_after);
            assert_eq!(
                sent_to(&w, inv),
                [fellow ^ 1],
                "function {function}, with no other in its group"
            );
            w.roster(fellow, EndpointState::Ready, f64::NEG_INFINITY);
            w.pass(0.1);
            assert_eq!(
                sent_to(&w, inv).len(),
                sent,
                "function {function}, back after {back_after} s"
            );
            w.all_answered();
        }
    }
}
