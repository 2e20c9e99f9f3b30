//! Many front ends, functions and executors, each of which sees little.

mod plain;

use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use plain::warm::warm;
use plain::{Said, World, policy};

/// Dispatches as they are made, final answers other than succeeded ones, and when to ring; nothing is judged.
#[derive(Default)]
struct Heard {
    now: f64,
    sent: Vec<(u32, ExecutorId)>,
    given_up: u32,
    wake_at: f64,
}

impl Actions for Heard {
    fn dispatch(&mut self, inv: u32, to: ExecutorId, _: f64) {
        self.sent.push((inv, to));
    }
    fn reject(&mut self, _: u32, _: f64, _: bool) {
        self.given_up += 1;
    }
    fn fail(&mut self, _: u32) {
        self.given_up += 1;
    }
    fn cancel(&mut self, _: u32, _: u8) {}
    fn load(&mut self, _: ExecutorId, _: u64, _: u8) {}
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn set_timer(&mut self, delay: f64, _: u64) {
        self.wake_at = self.now + delay;
    }
    fn subscribe_to_endpoints(&mut self) {}
}

/// Found with 300 front ends: a small difference in what each had out parted them over both executors drawn,
/// and each of the two loaded a copy, while executors told that they load all they can.
#[test]
fn a_little_more_out_does_not_part_front_ends_while_executors_are_busy_with_loads() {
    let told = std::cell::Cell::new(0.0);
    let many = || {
        let mut w = World::new(
            PolicyConfig {
                front_ends: 300.0,
                load_budget_floor: 9.0,
                pending_loads_field: Some(0),
                ..policy()
            },
            6,
        );
        w.report = vec![told.get()];
        let inv = w.invoke(0, 1, 5.0);
        w.load_all(DispatchStatus::Ok);
        w.end(inv, 0, DispatchStatus::Ok);
        w
    };
    let drawn = |mut w: World| {
        w.invoke(0, 42, 5.0);
        let Some(&Said::Hold(x, 42)) = w.plain.said.last() else {
            panic!("{:?}", w.plain.said)
        };
        (x, w)
    };
    let first = drawn(many()).0;
    let parted = || {
        let elsewhere = |other: &u64| {
            let mut w = many();
            w.invoke(0, *other, 5.0);
            w.load_all(DispatchStatus::Ok);
            drawn(w).0 != first
        };
        (100..160).filter(elsewhere).count()
    };
    assert!(parted() > 0, "an idle fleet is spread over");
    told.set(8.0);
    assert_eq!(parted(), 0);
}

/// Found with 300 front ends: cut to its least, the limit let a front end use an executor in one of thirty
/// turns, long after answers were quick again.
#[test]
fn after_slow_answers_little_traffic_does_not_wait_for_turns() {
    let (mut w, x) = warm(
        PolicyConfig {
            front_ends: 300.0,
            ..policy()
        },
        36,
    );
    let mut play = |took: f64| {
        w.took = took;
        let before = w.sent_to(x);
        w.invoke(0, 1, 2.0);
        let at_once = w.sent_to(x) > before;
        for inv in 0..w.plain.taken.len() {
            if let Some(n) = w.plain.taken[inv]
                .sent
                .iter()
                .position(|s| s.ending.is_none())
            {
                w.end(inv as u32, n, DispatchStatus::Ok);
            }
        }
        w.pass(0.3);
        at_once
    };
    (0..40).for_each(|_| _ = play(0.6));
    assert_eq!((0..30).filter(|_| play(0.05)).count(), 30);
}

/// Found with 300 front ends: what had no place anywhere was held until its client gave up, though it could no
/// longer be in time.
#[test]
fn what_is_late_and_has_no_placement_under_way_is_given_up() {
    let mut w = World::new(policy(), 1);
    let inv = w.invoke(0, 1, 5.0);
    w.pass(1.2);
    assert!(
        w.plain.taken[inv as usize].closed_at.is_none(),
        "its placement is waited for"
    );
    w.load_all(DispatchStatus::Full);
    w.pass(0.05);
    assert!(w.plain.taken[inv as usize].closed_at.is_some());
}

/// Found with 300 front ends: one with several times the mean traffic had an equal part of a limit that was cut
/// to its least, and throttled what an idle fleet could have served.
#[test]
fn a_front_end_with_much_traffic_has_room_for_it_after_a_cut() {
    let (mut w, _) = warm(
        PolicyConfig {
            front_ends: 300.0,
            reports_concurrency: true,
            ..policy()
        },
        36,
    );
    let mut play = |took: f64, rounds: usize| {
        w.took = took;
        let mut at_once = 0;
        for _ in 0..rounds {
            let all: Vec<u32> = (0..4).map(|_| w.invoke(0, 1, 2.0)).collect();
            at_once += all
                .iter()
                .filter(|&&inv| !w.plain.taken[inv as usize].sent.is_empty())
                .count();
            w.load_all(DispatchStatus::Ok);
            w.pass(0.2);
            for inv in 0..w.plain.taken.len() {
                if let Some(n) = w.plain.taken[inv]
                    .sent
                    .iter()
                    .position(|s| s.ending.is_none())
                {
                    w.end(inv as u32, n, DispatchStatus::Ok);
                }
            }
        }
        at_once
    };
    play(0.6, 40);
    play(0.2, 10);
    assert_eq!(
        play(0.2, 10),
        40,
        "twenty a second, four out at a time, each with a usual time of a fifth second"
    );
}

/// Found with 300 front ends: orders cost 0.08 of an invocation each, and most found the copy standing.
#[test]
fn where_orders_are_dear_the_invocation_is_the_placement() {
    let placed = |order_price: f64, answers_miss: bool| {
        let mut w = World::new(
            PolicyConfig {
                load_command_cost: order_price,
                rejects_unloaded: answers_miss,
                ..policy()
            },
            6,
        );
        w.invoke(0, 1, 5.0);
        w.plain.said[0].clone()
    };
    assert!(matches!(placed(0.08, false), Said::Dispatch(0, _)));
    assert!(matches!(placed(0.011, false), Said::Hold(_, 1)));
    assert!(
        matches!(placed(0.08, true), Said::Hold(_, 1)),
        "nothing else loads a copy there"
    );
}

/// The most that is kept of executors, functions and invocations while each round brings ever new ones.
fn most_kept(rounds: u32, executors: u32, invocations: u32, step: f64) -> [usize; 3] {
    let mut heard = Heard::default();
    let mut dispatcher = Dispatcher::new(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        7,
        100.0,
        &mut heard,
    );
    let mut most = [0; 3];
    for round in 0..rounds {
        let now = 100.0 + step * f64::from(round);
        let executor = |n| ExecutorId(std::net::Ipv4Addr::from(0x0b00_0000 + n).into(), 7000);
        let row = |n| Endpoint {
            executor: executor(executors * round + n),
            ..plain::row(0)
        };
        let rows: Vec<Endpoint> = (0..executors).map(row).collect();
        dispatcher.on_endpoint_update(now, EndpointUpdateKind::Full, &rows, &mut heard);
        for id in invocations * round..invocations * (round + 1) {
            let inv = Invocation {
                id,
                function: u64::from(id),
                ..plain::invocation(now + 1.0)
            };
            dispatcher.on_invocation(now, &inv, &mut heard);
        }
        for (inv, executor) in std::mem::take(&mut heard.sent) {
            dispatcher.on_dispatch_result(
                now,
                &DispatchResult {
                    invocation: inv,
                    executor,
                    ..plain::succeeded()
                },
                &mut heard,
            );
        }
        (1..=20).for_each(|n| dispatcher.on_timer(now + f64::from(n) / 20.0 * step, 0, &mut heard));
        let kept = dispatcher.table_sizes();
        (0..3).for_each(|n| {
            most[n] = most[n].max([kept.executors, kept.functions, kept.invocations][n])
        });
    }
    most
}

#[test]
fn tables_level_off_though_executors_functions_and_ids_are_ever_new() {
    let all = most_kept(1_000, 100, 100, 2.0);
    // What two minutes bring, and for functions the 64 looks after that, one a round here; of 100,000 each.
    assert!(
        (6_000..=6_300).contains(&all[0]) && all[1] <= 13_000 && (50..=200).contains(&all[2]),
        "{all:?}"
    );
    // 950 new functions a second for two minutes would be 40 MB and more; the unused give way sooner.
    let many = most_kept(1_200, 10, 95, 0.1)[1];
    assert!((16_384..=30_000).contains(&many), "{many} of 114,000");
}

/// An id that another executor took over, in another cell, is another executor: what may have run at the first
/// is repeated in its group only.
#[test]
fn an_id_that_was_taken_over_stands_for_the_group_it_was_in() {
    let mut w = World::new(
        PolicyConfig {
            load_budget_window: 0.0,
            ..policy()
        },
        2,
    );
    for _ in 0..2 {
        w.ahead(1, 2);
        w.load_all(DispatchStatus::Ok);
    }
    let (inv, other) = (w.invoke(1, 1, 5.0), w.invoke(0, 1, 5.0));
    let at = |w: &World, inv: u32| {
        w.plain.taken[inv as usize]
            .sent
            .iter()
            .map(|s| s.x)
            .collect::<Vec<_>>()
    };
    let (first, second) = (at(&w, inv)[0], at(&w, other)[0]);
    assert_ne!(first, second, "each executor has one of them");
    w.plain.fleet[first].cell = 9;
    w.roster(first, EndpointState::Ready, f64::NEG_INFINITY);
    w.end(inv, 0, DispatchStatus::Error);
    assert_eq!(
        at(&w, inv),
        [first, second],
        "not to the idle one, which is of another cell now"
    );
}

/// An idle fleet of 36 under 60 invocations a second, however many front ends share them, some with many times
/// the mean: the share answered within the objective after the first ten seconds, and the loads of all.
fn idle_fleet(front_ends: u32) -> (f64, usize) {
    const FUNCTIONS: f64 = 20.0;
    let part = |j: u32| PolicyConfig {
        front_ends: front_ends.into(),
        front_end_index: j.into(),
        allows_load_commands: false,
        ..policy()
    };
    let rows: Vec<Endpoint> = (0..36).map(plain::row).collect();
    let mut all: Vec<(Dispatcher, Heard, u32)> = vec![];
    for j in 0..front_ends {
        let mut heard = Heard {
            now: 100.0,
            ..Heard::default()
        };
        let mut dispatcher = Dispatcher::new(part(j), j.into(), 100.0, &mut heard);
        dispatcher.on_endpoint_update(100.0, EndpointUpdateKind::Full, &rows, &mut heard);
        all.push((dispatcher, heard, 0));
    }
    let mut random = orchidtally_dispatch_policy::random::SeededRandom::new(5);
    let (mut copies, mut out) = (std::collections::HashMap::new(), vec![]);
    let (mut functions, mut taken, mut in_time) = (vec![vec![]; front_ends as usize], 0, 0);
    for step in 0..4_000 {
        let now = 100.0 + f64::from(step) * 0.01;
        let mut touched: Vec<usize> = vec![];
        if step % 5 < 3 {
            // Popularity falls as one over the rank, of front ends as of functions.
            let j = (f64::from(front_ends).powf(random.unit()) as usize - 1).min(all.len() - 1);
            let (dispatcher, heard, next) = &mut all[j];
            let function = FUNCTIONS.powf(random.unit()) as u64;
            let (inv, load_time) = (plain::invocation(now + 5.0), Some(1.0));
            heard.now = now;
            dispatcher.on_invocation(
                now,
                &Invocation {
                    id: *next,
                    function,
                    load_time,
                    ..inv
                },
                heard,
            );
            functions[j].push((function, now, 0u8));
            (*next, taken) = (*next + 1, taken + u32::from(step >= 1_000));
            touched.push(j);
        }
        let ends = out.extract_if(
            ..,
            |o: &mut (f64, usize, u32, u8, ExecutorId, f64, CopyState)| o.0 <= now,
        );
        for (_, j, inv, dispatch, executor, took, found) in ends.collect::<Vec<_>>() {
            let (dispatcher, heard, _) = &mut all[j];
            heard.now = now;
            let o = DispatchResult {
                invocation: inv,
                dispatch,
                executor,
                duration: took,
                copy_state: found,
                ..plain::succeeded()
            };
            dispatcher.on_dispatch_result(now, &o, heard);
            let at = functions[j][inv as usize].1;
            in_time += u32::from(at >= 110.0 && now - at <= 1.0);
            touched.push(j);
        }
        for (j, (dispatcher, heard, _)) in all.iter_mut().enumerate() {
            if heard.wake_at > 0.0 && heard.wake_at <= now {
                (heard.now, heard.wake_at) = (now, 0.0);
                dispatcher.on_timer(now, 0, heard);
                touched.push(j);
            }
        }
        for j in touched {
            for (inv, executor) in std::mem::take(&mut all[j].1.sent) {
                let (function, _, sent) = &mut functions[j][inv as usize];
                let stands_at = *copies.entry((executor, *function)).or_insert(now + 1.0);
                let found = if stands_at == now + 1.0 {
                    CopyState::ColdLoad
                } else {
                    CopyState::JoinedLoad
                };
                let found = if stands_at <= now {
                    CopyState::Warm
                } else {
                    found
                };
                let took = (stands_at - now).max(0.0) + 0.25;
                out.push((now + took, j, inv, *sent, executor, took, found));
                *sent += 1;
            }
        }
    }
    // The last quarter of a second's could not be answered yet.
    (f64::from(in_time) / f64::from(taken - 15), copies.len())
}

#[test]
fn an_idle_fleet_serves_sparse_and_uneven_traffic_however_many_front_ends_share_it() {
    for front_ends in [1, 30, 350] {
        let (served, loads) = idle_fleet(front_ends);
        assert!(served > 0.95, "{served} served at {front_ends} front ends");
        assert!(
            loads <= 140,
            "{loads} loads of 20 functions at {front_ends} front ends"
        );
    }
}
