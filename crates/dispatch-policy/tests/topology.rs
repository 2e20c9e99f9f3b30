//! Placement where the regions of zones are told: within the front end's own region, in different zones.

mod plain;

use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use plain::{Said, World, policy};

/// Zones 0 to 2 are a region, zones 3 to 5 another one; two executors stand in each.
const ZONES: [u8; 12] = [0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5];
const REGIONS: [Option<u8>; 6] = [Some(0), Some(0), Some(0), Some(1), Some(1), Some(1)];
const FUNCTIONS: std::ops::Range<u64> = 1..61;
const LONG_AGO: f64 = f64::NEG_INFINITY;

/// A front end in a zone of the first region; placements are dispatches.
fn regional() -> PolicyConfig {
    PolicyConfig {
        allows_load_commands: false,
        zone_regions: REGIONS.into(),
        ..policy()
    }
}

fn world() -> World {
    World::in_zones(regional(), &ZONES)
}

fn in_own_region(x: usize) -> bool {
    x < 6
}

fn zone(x: usize) -> u8 {
    ZONES[x]
}

/// Where an invocation was sent, in order.
fn sent(w: &World, inv: u32) -> Vec<usize> {
    w.plain.taken[inv as usize]
        .sent
        .iter()
        .map(|s| s.x)
        .collect()
}

/// Invokes a function, and has it succeed where it is sent to at once.
fn serve(w: &mut World, function: u64) -> usize {
    let inv = w.invoke(0, function, 5.0);
    let &[x] = sent(w, inv).as_slice() else {
        panic!("{function} was sent to {:?}", sent(w, inv))
    };
    w.end(inv, 0, DispatchStatus::Ok);
    x
}

/// Where functions are placed by a front end that knows none of them.
fn placed(mut w: World) -> Vec<usize> {
    FUNCTIONS.map(|function| serve(&mut w, function)).collect()
}

/// The first two candidates of a function: the second is sent to when the first answers that it is full.
fn first_two(function: u64) -> (usize, usize) {
    let mut w = world();
    let inv = w.invoke(0, function, 5.0);
    w.end(inv, 0, DispatchStatus::Full);
    w.pass(0.3);
    let &[first, second] = sent(&w, inv).as_slice() else {
        panic!("{:?}", sent(&w, inv))
    };
    (first, second)
}

fn set(w: &mut World, executors: impl Iterator<Item = usize>, standing: EndpointState) {
    executors.for_each(|x| w.roster(x, standing, LONG_AGO));
}

/// The same functions where some executors are not to be had.
fn placed_without(gone: impl Fn(usize) -> bool) -> Vec<usize> {
    let mut w = world();
    set(&mut w, (0..12).filter(|&x| gone(x)), EndpointState::Gone);
    placed(w)
}

#[test]
fn functions_are_placed_in_the_front_ends_own_region() {
    let here = placed(world());
    assert!(here.iter().all(|&x| in_own_region(x)), "{here:?}");
    assert!(
        (0..6).all(|x| here.contains(&x)),
        "all of it is used: {here:?}"
    );
    let anywhere = placed(World::in_zones(
        PolicyConfig {
            zone_regions: vec![],
            ..regional()
        },
        &ZONES,
    ));
    assert!(
        anywhere.iter().any(|&x| !in_own_region(x)),
        "where none is told it may be any"
    );
}

#[test]
fn all_front_ends_of_a_region_place_alike() {
    let other = PolicyConfig {
        zone: 2,
        front_end_index: 1.0,
        ..regional()
    };
    assert_eq!(placed(World::in_zones(other, &ZONES)), placed(world()));
    let elsewhere = PolicyConfig {
        zone: 4,
        ..regional()
    };
    assert!(
        placed(World::in_zones(elsewhere, &ZONES))
            .iter()
            .all(|&x| !in_own_region(x))
    );
}

#[test]
fn the_first_two_candidates_stand_in_different_zones() {
    for function in FUNCTIONS {
        let (first, second) = first_two(function);
        assert!(
            in_own_region(second) && zone(second) != zone(first),
            "{function}: {first}, {second}"
        );
    }
}

#[test]
fn a_region_without_executors_is_served_by_the_others() {
    let front_end = |index: f64| {
        let regions = vec![
            Some(0),
            Some(0),
            Some(0),
            Some(1),
            Some(1),
            Some(1),
            Some(2),
        ];
        let policy = PolicyConfig {
            zone: 6,
            front_end_index: index,
            zone_regions: regions,
            ..regional()
        };
        placed(World::in_zones(policy, &ZONES))
    };
    let there = front_end(0.0);
    assert_eq!(there, front_end(1.0), "alike at each of its front ends");
    assert!(
        (0..12).filter(|x| there.contains(x)).count() > 8,
        "all of them are used: {there:?}"
    );
}

#[test]
fn a_region_that_drains_is_left_and_come_back_to() {
    let mut w = world();
    let here: Vec<usize> = FUNCTIONS.map(|function| serve(&mut w, function)).collect();
    set(&mut w, 0..6, EndpointState::Draining);
    for function in FUNCTIONS {
        assert!(!in_own_region(serve(&mut w, function)));
    }
    set(&mut w, 0..6, EndpointState::Ready);
    let back: Vec<usize> = FUNCTIONS.map(|function| serve(&mut w, function)).collect();
    assert_eq!(back, here, "though copies elsewhere are known");
}

/// The copy elsewhere serves on until one at home is loaded.
#[test]
fn nothing_waits_for_the_copy_that_brings_a_function_back() {
    let mut w = World::in_zones(
        PolicyConfig {
            allows_load_commands: true,
            load_budget_floor: 99.0,
            ..regional()
        },
        &ZONES,
    );
    set(&mut w, 0..6, EndpointState::Draining);
    let inv = w.invoke(0, 1, 5.0);
    w.load_all(DispatchStatus::Ok);
    w.end(inv, 0, DispatchStatus::Ok);
    set(&mut w, 0..6, EndpointState::Ready);
    let there = sent(&w, inv)[0];
    let inv = w.invoke(0, 1, 5.0);
    let Some(&Said::Hold(x, 1)) = w.plain.said.iter().rev().nth(1) else {
        panic!("{:?}", w.plain.said)
    };
    assert!(in_own_region(x));
    assert_eq!(w.plain.said.last(), Some(&Said::Dispatch(inv, there)));
}

#[test]
fn a_region_whose_executors_are_all_suspect_is_left_and_come_back_to() {
    let mut w = world();
    // Executors are judged by their fellows: the others have to be seen sound, on copies that they had loaded.
    set(&mut w, 0..6, EndpointState::Draining);
    (1000..1200)
        .chain(1000..1200)
        .for_each(|function| _ = serve(&mut w, function));
    set(&mut w, 0..6, EndpointState::Ready);
    FUNCTIONS.for_each(|function| _ = serve(&mut w, function));
    let mut elsewhere = 0;
    for function in FUNCTIONS.cycle().take(600) {
        let inv = w.invoke(2, function, 5.0);
        if sent(&w, inv).is_empty() {
            // Its last placement failed a moment ago.
            w.pass(0.11);
        }
        let is_near = sent(&w, inv).iter().all(|&x| in_own_region(x));
        elsewhere = if is_near { 0 } else { elsewhere + 1 };
        w.end(
            inv,
            0,
            if is_near {
                DispatchStatus::Error
            } else {
                DispatchStatus::Ok
            },
        );
    }
    assert!(
        elsewhere >= 60,
        "all functions go elsewhere in the end, not the last {elsewhere} calls alone"
    );
    w.pass(10.0);
    // Executors are judged anew while calls are under way.
    serve(&mut w, 9_999);
    w.pass(0.2);
    assert!(
        FUNCTIONS
            .map(|function| serve(&mut w, function))
            .all(in_own_region),
        "though known elsewhere"
    );
}

#[test]
fn of_a_lost_zone_only_what_stood_there_moves() {
    let before = placed(world());
    let after = placed_without(|x| zone(x) == 1);
    for (n, function) in FUNCTIONS.enumerate() {
        if zone(before[n]) != 1 {
            assert_eq!(after[n], before[n], "function {function} stood elsewhere");
            continue;
        }
        assert_eq!(
            (before[n], after[n]),
            first_two(function),
            "function {function} moves to its second candidate"
        );
    }
    assert!(before.iter().any(|&x| zone(x) == 1));
}

#[test]
fn a_zone_that_is_back_cold_is_not_flooded() {
    let mut w = world();
    let before: Vec<usize> = FUNCTIONS.map(|function| serve(&mut w, function)).collect();
    set(
        &mut w,
        (0..12).filter(|&x| zone(x) == 1),
        EndpointState::Gone,
    );
    let meanwhile: Vec<usize> = FUNCTIONS.map(|function| serve(&mut w, function)).collect();
    w.pass(0.5);
    let now = w.plain.now;
    (0..12)
        .filter(|&x| zone(x) == 1)
        .for_each(|x| w.roster(x, EndpointState::Ready, now));
    let returned: Vec<usize> = FUNCTIONS.map(|function| serve(&mut w, function)).collect();
    assert_eq!(returned, meanwhile, "what has a copy stays there");
    // The model beside it judges each dispatch to a cold executor; what has no turn there goes to another zone.
    let others: Vec<usize> = FUNCTIONS
        .map(|function| serve(&mut w, 5000 + function))
        .collect();
    assert!(others.iter().all(|&x| in_own_region(x)), "{others:?}");
    let cold = others.iter().filter(|&&x| zone(x) == 1).count();
    let warm = before.iter().filter(|&&x| zone(x) == 1).count();
    assert!(cold < warm, "{cold} while cold, {warm} otherwise");
}

#[test]
fn while_regions_are_cut_from_each_other_all_is_served_within_one() {
    let mut w = world();
    FUNCTIONS.for_each(|function| _ = serve(&mut w, function));
    for function in FUNCTIONS.chain(5000..5060) {
        let inv = w.invoke(2, function, 5.0);
        let x = sent(&w, inv)[0];
        w.end(
            inv,
            0,
            if in_own_region(x) {
                DispatchStatus::Ok
            } else {
                DispatchStatus::TimedOut
            },
        );
    }
    assert!(
        (6..12).all(|x| w.sent_to(x) == 0),
        "nothing goes where it can't be reached"
    );
}

#[test]
fn a_zone_that_no_region_names_is_used_where_the_own_region_has_none() {
    let zones: Vec<u8> = ZONES.iter().copied().chain([9, 9]).collect();
    let mut w = World::in_zones(regional(), &zones);
    assert!(
        FUNCTIONS
            .map(|function| serve(&mut w, function))
            .all(in_own_region)
    );
    set(&mut w, 0..12, EndpointState::Draining);
    assert!(
        FUNCTIONS
            .map(|function| serve(&mut w, function))
            .all(|x| x >= 12)
    );
}

#[test]
fn a_front_end_in_a_zone_that_no_region_names_places_anywhere() {
    let zones: Vec<u8> = ZONES.iter().copied().chain([9, 9]).collect();
    let there = |regions| {
        placed(World::in_zones(
            PolicyConfig {
                zone: 9,
                zone_regions: regions,
                ..regional()
            },
            &zones,
        ))
    };
    assert_eq!(there(REGIONS.into()), there(vec![]));
}

#[test]
fn a_region_with_one_zone_has_two_candidates() {
    for function in FUNCTIONS {
        let mut w = World::in_zones(
            PolicyConfig {
                zone_regions: vec![Some(0)],
                ..regional()
            },
            &[0; 6],
        );
        let inv = w.invoke(0, function, 5.0);
        let first = sent(&w, inv)[0];
        w.end(inv, 0, DispatchStatus::Full);
        w.pass(0.3);
        assert!(
            sent(&w, inv).len() == 2 && sent(&w, inv)[1] != first,
            "{:?}",
            sent(&w, inv)
        );
    }
}

#[test]
fn a_region_with_a_single_executor_in_another_zone_has_its_second_candidate_there() {
    let zones: Vec<u8> = (0..40).map(|_| 0).chain([1]).collect();
    for function in FUNCTIONS {
        let mut w = World::in_zones(regional(), &zones);
        let inv = w.invoke(0, function, 5.0);
        w.end(inv, 0, DispatchStatus::Full);
        w.pass(0.3);
        assert!(
            sent(&w, inv).len() == 2 && sent(&w, inv).contains(&40),
            "{:?}",
            sent(&w, inv)
        );
    }
}

/// However busy it is beside idle ones elsewhere.
#[test]
fn the_last_executor_of_a_region_serves_it_alone() {
    let mut w = world();
    set(&mut w, 1..6, EndpointState::Draining);
    for function in FUNCTIONS.take(8) {
        let inv = w.invoke(0, function, 5.0);
        assert_eq!(sent(&w, inv), [0], "function {function}");
    }
}

/// Copies are wanted for the region's traffic and not for that of all regions.
#[test]
fn a_region_is_served_as_if_it_were_the_whole_fleet() {
    let served = |regions: Vec<Option<u8>>, zones: &[u8]| {
        let mut w = World::in_zones(
            PolicyConfig {
                zone_regions: regions,
                ..regional()
            },
            zones,
        );
        for n in 0..400 {
            let inv = w.invoke(0, 1 + n % 7 / 4, 5.0);
            if let Some(early) = inv
                .checked_sub(20)
                .filter(|&early| !sent(&w, early).is_empty())
            {
                w.end(early, 0, DispatchStatus::Ok);
            }
            w.pass(0.01);
        }
        w.plain.said
    };
    let alone = served(vec![], &[0; 8]);
    assert_eq!(
        served(vec![Some(0), Some(1)], &[[0; 8], [1; 8]].concat()),
        alone
    );
}

/// The only executor of the region has just failed to load the function.
#[test]
fn a_region_with_one_executor_that_fails_leaves_the_function_to_others() {
    let mut w = world();
    set(&mut w, 1..6, EndpointState::Gone);
    let inv = w.invoke(0, 1, 5.0);
    w.end(inv, 0, DispatchStatus::Error);
    w.pass(0.3);
    assert!(
        sent(&w, inv).len() == 2 && !in_own_region(sent(&w, inv)[1]),
        "{:?}",
        sent(&w, inv)
    );
}

#[test]
fn an_executor_that_a_list_moves_to_another_region_is_placed_at_from_there() {
    let mut w = world();
    let moving = serve(&mut w, 1);
    let place = |w: &mut World, zone: u8| {
        w.plain.fleet[moving].zone = zone;
        w.roster(moving, EndpointState::Ready, LONG_AGO);
    };
    place(&mut w, 3);
    let left: Vec<usize> = FUNCTIONS.map(|function| serve(&mut w, function)).collect();
    assert!(
        left.iter().all(|&x| in_own_region(x) && x != moving),
        "{left:?}"
    );
    assert_ne!(left, placed(world()));
    let mut w = World::in_zones(regional(), &ZONES);
    place(&mut w, 3);
    place(&mut w, ZONES[moving]);
    assert_eq!(placed(w), placed(world()), "and back");
}

#[test]
fn one_that_may_have_run_elsewhere_is_repeated_there() {
    for function in FUNCTIONS {
        let mut w = world();
        set(&mut w, 0..6, EndpointState::Draining);
        let inv = w.invoke(1, function, 5.0);
        let first = sent(&w, inv)[0];
        assert!(!in_own_region(first));
        set(&mut w, 0..6, EndpointState::Ready);
        w.end(inv, 0, DispatchStatus::Error);
        w.pass(0.5);
        // Groups are cells of two executors.
        assert_eq!(sent(&w, inv), [first, first ^ 1], "function {function}");
        w.end(inv, 1, DispatchStatus::Ok);
        w.all_answered();
    }
}

#[test]
fn copies_ahead_are_ordered_within_the_region() {
    let mut w = World::in_zones(
        PolicyConfig {
            allows_load_commands: true,
            load_budget_window: 0.0,
            ..regional()
        },
        &ZONES,
    );
    for _ in 0..12 {
        w.ahead(1, 6);
        w.load_all(DispatchStatus::Ok);
    }
    let mut held: Vec<usize> = w.plain.holds.iter().map(|h| h.1).collect();
    held.sort_unstable();
    held.dedup();
    assert_eq!(held, [0, 1, 2, 3, 4, 5]);
    assert_eq!(w.ahead(1, 6), 6);
}

/// Where a front end that knows nothing puts a function by a large list.
fn placed_in_large(rows: &[Endpoint], function: u64) -> ExecutorId {
    let mut out = Dispatched::default();
    let mut dispatcher = Dispatcher::new(regional(), 7, 100.0, &mut out);
    dispatcher.on_endpoint_update(100.0, EndpointUpdateKind::Full, rows, &mut out);
    dispatcher.on_invocation(
        100.0,
        &Invocation {
            function,
            ..plain::invocation(105.0)
        },
        &mut out,
    );
    out.0[0]
}

/// Where dispatches went.
#[derive(Default)]
struct Dispatched(Vec<ExecutorId>);

impl Actions for Dispatched {
    fn dispatch(&mut self, _: u32, to: ExecutorId, _: f64) {
        self.0.push(to);
    }
    fn reject(&mut self, _: u32, _: f64, _: bool) {}
    fn fail(&mut self, _: u32) {}
    fn cancel(&mut self, _: u32, _: u8) {}
    fn load(&mut self, _: ExecutorId, _: u64, _: u8) {}
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn set_timer(&mut self, _: f64, _: u64) {}
    fn subscribe_to_endpoints(&mut self) {}
}

/// 1,024 executors of the own region stand in a list with as many of another one.
#[test]
fn a_region_of_1024_executors_is_used_whole_and_alone() {
    let executor = |x: u32| ExecutorId(std::net::Ipv4Addr::from(0x0a00_0000 + x).into(), 7000);
    let row = |x: u32, standing| Endpoint {
        executor: executor(x),
        zone: (x % 6) as u8,
        state: standing,
        ..plain::row(0)
    };
    let all: Vec<Endpoint> = (0..2048).map(|x| row(x, EndpointState::Ready)).collect();
    let zone = |id: &ExecutorId| {
        all.iter()
            .find(|r| r.executor == *id)
            .map(|r| r.zone)
            .unwrap()
    };
    let without: Vec<Endpoint> = all.iter().filter(|r| r.zone != 1).cloned().collect();
    let first: Vec<ExecutorId> = (0..300)
        .map(|function| placed_in_large(&all, function))
        .collect();
    for (function, before) in (0..).zip(&first) {
        let after = placed_in_large(&without, function);
        assert!(
            zone(before) < 3 && zone(&after) < 3,
            "{before:?}, {after:?}"
        );
        assert!(
            zone(before) == 1 || *before == after,
            "{before:?} was not lost, and moved to {after:?}"
        );
    }
    let distinct: std::collections::BTreeSet<&ExecutorId> = first.iter().collect();
    assert!(
        distinct.len() > 230,
        "{} executors for 300 functions",
        distinct.len()
    );
}
