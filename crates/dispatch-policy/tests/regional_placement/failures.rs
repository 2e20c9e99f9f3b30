//! Regions and zones that drain, fail, or are partitioned.

use crate::fixtures::*;
use crate::reference_model::{Harness, RecordedAction};
use orchidtally_dispatch_policy::interface::*;

#[test]
fn region_without_executors_is_served_by_others() {
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
        place_all(Harness::in_zones(policy, &ZONES))
    };
    let placements = front_end(0.0);
    assert_eq!(
        placements,
        front_end(1.0),
        "the same at each of its front ends"
    );
    assert!(
        (0..12)
            .filter(|executor| placements.contains(executor))
            .count()
            > 8,
        "all of them are used: {placements:?}"
    );
}

#[test]
fn draining_region_is_avoided_and_used_again() {
    let mut harness = regional_harness();
    let before: Vec<usize> = FUNCTIONS
        .map(|function| serve(&mut harness, function))
        .collect();
    set_states(&mut harness, 0..6, EndpointState::Draining);
    for function in FUNCTIONS {
        assert!(!in_own_region(serve(&mut harness, function)));
    }
    set_states(&mut harness, 0..6, EndpointState::Ready);
    let after: Vec<usize> = FUNCTIONS
        .map(|function| serve(&mut harness, function))
        .collect();
    assert_eq!(after, before, "although there are warm replicas elsewhere");
}

/// The replica in another region serves invocations until one in the own region is loaded.
#[test]
fn invocations_do_not_wait_for_the_replica_in_the_own_region() {
    let mut harness = Harness::in_zones(
        PolicyConfig {
            allows_load_commands: true,
            load_budget_floor: 99.0,
            ..regional()
        },
        &ZONES,
    );
    set_states(&mut harness, 0..6, EndpointState::Draining);
    let invocation = harness.invoke(0, 1, 5.0);
    harness.finish_loads(DispatchStatus::Ok);
    harness.finish(invocation, 0, DispatchStatus::Ok);
    set_states(&mut harness, 0..6, EndpointState::Ready);
    let there = harness.executors_of(invocation)[0];
    let invocation = harness.invoke(0, 1, 5.0);
    let Some(&RecordedAction::Load(executor, 1)) = harness.model.actions.iter().rev().nth(1) else {
        panic!("{:?}", harness.model.actions)
    };
    assert!(in_own_region(executor));
    assert_eq!(
        harness.model.actions.last(),
        Some(&RecordedAction::Dispatch(invocation, there))
    );
}

#[test]
fn region_of_ejected_executors_is_avoided_and_used_again() {
    let mut harness = regional_harness();
    // Executors are compared with their peers, so the executors of the other region need successes on warm replicas.
    set_states(&mut harness, 0..6, EndpointState::Draining);
    (1000..1200)
        .chain(1000..1200)
        .for_each(|function| _ = serve(&mut harness, function));
    set_states(&mut harness, 0..6, EndpointState::Ready);
    FUNCTIONS.for_each(|function| _ = serve(&mut harness, function));
    let mut elsewhere = 0;
    for function in FUNCTIONS.cycle().take(600) {
        let invocation = harness.invoke(2, function, 5.0);
        if harness.executors_of(invocation).is_empty() {
            // The function's last placement failed less than 0.11 s ago.
            harness.advance(0.11);
        }
        let is_near = harness
            .executors_of(invocation)
            .iter()
            .all(|&executor| in_own_region(executor));
        elsewhere = if is_near { 0 } else { elsewhere + 1 };
        harness.finish(
            invocation,
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
        "only the last {elsewhere} invocations left the region, fewer than one for each function"
    );
    harness.advance(10.0);
    // Outliers are detected again only while invocations are in flight.
    serve(&mut harness, 9_999);
    harness.advance(0.2);
    assert!(
        FUNCTIONS
            .map(|function| serve(&mut harness, function))
            .all(in_own_region),
        "although the functions are warm elsewhere"
    );
}

#[test]
fn lost_zone_moves_only_its_own_functions() {
    let before = place_all(regional_harness());
    let after = place_all_without(|executor| zone(executor) == 1);
    for (n, function) in FUNCTIONS.enumerate() {
        if zone(before[n]) != 1 {
            assert_eq!(
                after[n], before[n],
                "function {function} was in another zone"
            );
            continue;
        }
        assert_eq!(
            (before[n], after[n]),
            first_two_candidates(function),
            "function {function} moves to its second candidate"
        );
    }
    assert!(before.iter().any(|&executor| zone(executor) == 1));
}

#[test]
fn zone_that_returns_cold_is_not_overloaded() {
    let mut harness = regional_harness();
    let before: Vec<usize> = FUNCTIONS
        .map(|function| serve(&mut harness, function))
        .collect();
    set_states(
        &mut harness,
        (0..12).filter(|&executor| zone(executor) == 1),
        EndpointState::Gone,
    );
    let meanwhile: Vec<usize> = FUNCTIONS
        .map(|function| serve(&mut harness, function))
        .collect();
    harness.advance(0.5);
    let now = harness.model.now;
    (0..12)
        .filter(|&executor| zone(executor) == 1)
        .for_each(|executor| harness.update_endpoint(executor, EndpointState::Ready, now));
    let returned: Vec<usize> = FUNCTIONS
        .map(|function| serve(&mut harness, function))
        .collect();
    assert_eq!(returned, meanwhile, "a function with a replica stays there");
    // The reference model checks each dispatch to a cold executor. Invocations without a turn there go to another zone.
    let others: Vec<usize> = FUNCTIONS
        .map(|function| serve(&mut harness, 5000 + function))
        .collect();
    assert!(
        others.iter().all(|&executor| in_own_region(executor)),
        "{others:?}"
    );
    let cold = others
        .iter()
        .filter(|&&executor| zone(executor) == 1)
        .count();
    let warm = before
        .iter()
        .filter(|&&executor| zone(executor) == 1)
        .count();
    assert!(cold < warm, "{cold} while cold, {warm} otherwise");
}

#[test]
fn partitioned_regions_serve_themselves() {
    let mut harness = regional_harness();
    FUNCTIONS.for_each(|function| _ = serve(&mut harness, function));
    for function in FUNCTIONS.chain(5000..5060) {
        let invocation = harness.invoke(2, function, 5.0);
        let executor = harness.executors_of(invocation)[0];
        harness.finish(
            invocation,
            0,
            if in_own_region(executor) {
                DispatchStatus::Ok
            } else {
                DispatchStatus::TimedOut
            },
        );
    }
    assert!(
        (6..12).all(|executor| harness.dispatches_to(executor) == 0),
        "nothing is sent to the unreachable region"
    );
}

/// This holds however loaded the executor is and although executors of the other region are idle.
#[test]
fn last_executor_of_a_region_serves_it_alone() {
    let mut harness = regional_harness();
    set_states(&mut harness, 1..6, EndpointState::Draining);
    for function in FUNCTIONS.take(8) {
        let invocation = harness.invoke(0, function, 5.0);
        assert_eq!(harness.executors_of(invocation), [0], "function {function}");
    }
}

/// The placement on the only executor of the region has just failed, so the retry goes to the other region.
#[test]
fn function_leaves_a_region_whose_only_executor_fails() {
    let mut harness = regional_harness();
    set_states(&mut harness, 1..6, EndpointState::Gone);
    let invocation = harness.invoke(0, 1, 5.0);
    harness.finish(invocation, 0, DispatchStatus::Error);
    harness.advance(0.3);
    assert!(
        harness.executors_of(invocation).len() == 2
            && !in_own_region(harness.executors_of(invocation)[1]),
        "{:?}",
        harness.executors_of(invocation)
    );
}

#[test]
fn keyed_invocation_is_retried_in_the_region_where_it_may_have_run() {
    for function in FUNCTIONS {
        let mut harness = regional_harness();
        set_states(&mut harness, 0..6, EndpointState::Draining);
        let invocation = harness.invoke(1, function, 5.0);
        let first = harness.executors_of(invocation)[0];
        assert!(!in_own_region(first));
        set_states(&mut harness, 0..6, EndpointState::Ready);
        harness.finish(invocation, 0, DispatchStatus::Error);
        harness.advance(0.5);
        // Scopes are cells of two executors.
        assert_eq!(
            harness.executors_of(invocation),
            [first, first ^ 1],
            "function {function}"
        );
        harness.finish(invocation, 1, DispatchStatus::Ok);
        harness.assert_all_answered();
    }
}
