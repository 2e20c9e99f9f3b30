//! Placement within the front end's own region and across its zones.

use crate::fixtures::*;
use crate::reference_model::Harness;
use orchidtally_dispatch_policy::interface::*;

#[test]
fn functions_are_placed_in_the_front_ends_own_region() {
    let placements = place_all(regional_harness());
    assert!(
        placements.iter().all(|&executor| in_own_region(executor)),
        "{placements:?}"
    );
    assert!(
        (0..6).all(|executor| placements.contains(&executor)),
        "all executors of the region are used: {placements:?}"
    );
    let without_regions = place_all(Harness::in_zones(
        PolicyConfig {
            zone_regions: vec![],
            ..regional()
        },
        &ZONES,
    ));
    assert!(
        without_regions
            .iter()
            .any(|&executor| !in_own_region(executor)),
        "without known regions, other regions are used too"
    );
}

#[test]
fn all_front_ends_of_a_region_choose_the_same_executors() {
    let other = PolicyConfig {
        zone: 2,
        front_end_index: 1.0,
        ..regional()
    };
    assert_eq!(
        place_all(Harness::in_zones(other, &ZONES)),
        place_all(regional_harness())
    );
    let elsewhere = PolicyConfig {
        zone: 4,
        ..regional()
    };
    assert!(
        place_all(Harness::in_zones(elsewhere, &ZONES))
            .iter()
            .all(|&executor| !in_own_region(executor))
    );
}

#[test]
fn first_two_candidates_are_in_different_zones() {
    for function in FUNCTIONS {
        let (first, second) = first_two_candidates(function);
        assert!(
            in_own_region(second) && zone(second) != zone(first),
            "{function}: {first}, {second}"
        );
    }
}

#[test]
fn zone_without_region_is_used_where_the_own_region_has_none() {
    let zones: Vec<u8> = ZONES.iter().copied().chain([9, 9]).collect();
    let mut harness = Harness::in_zones(regional(), &zones);
    assert!(
        FUNCTIONS
            .map(|function| serve(&mut harness, function))
            .all(in_own_region)
    );
    set_states(&mut harness, 0..12, EndpointState::Draining);
    assert!(
        FUNCTIONS
            .map(|function| serve(&mut harness, function))
            .all(|executor| executor >= 12)
    );
}

#[test]
fn front_end_in_a_zone_without_region_places_anywhere() {
    let zones: Vec<u8> = ZONES.iter().copied().chain([9, 9]).collect();
    let place_with_regions = |regions| {
        place_all(Harness::in_zones(
            PolicyConfig {
                zone: 9,
                zone_regions: regions,
                ..regional()
            },
            &zones,
        ))
    };
    assert_eq!(
        place_with_regions(REGIONS.into()),
        place_with_regions(vec![])
    );
}

#[test]
fn region_with_one_zone_has_two_candidates() {
    for function in FUNCTIONS {
        let mut harness = Harness::in_zones(
            PolicyConfig {
                zone_regions: vec![Some(0)],
                ..regional()
            },
            &[0; 6],
        );
        let invocation = harness.invoke(0, function, 5.0);
        let first = harness.executors_of(invocation)[0];
        harness.finish(invocation, 0, DispatchStatus::Full);
        harness.advance(0.3);
        assert!(
            harness.executors_of(invocation).len() == 2
                && harness.executors_of(invocation)[1] != first,
            "{:?}",
            harness.executors_of(invocation)
        );
    }
}

#[test]
fn second_candidate_is_the_only_executor_of_another_zone() {
    let zones: Vec<u8> = (0..40).map(|_| 0).chain([1]).collect();
    for function in FUNCTIONS {
        let mut harness = Harness::in_zones(regional(), &zones);
        let invocation = harness.invoke(0, function, 5.0);
        harness.finish(invocation, 0, DispatchStatus::Full);
        harness.advance(0.3);
        assert!(
            harness.executors_of(invocation).len() == 2
                && harness.executors_of(invocation).contains(&40),
            "{:?}",
            harness.executors_of(invocation)
        );
    }
}

/// The number of replicas depends on the traffic of the region only, so a region beside another one is served like a
/// fleet of its own.
#[test]
fn region_is_served_like_a_whole_fleet() {
    let served = |regions: Vec<Option<u8>>, zones: &[u8]| {
        let mut harness = Harness::in_zones(
            PolicyConfig {
                zone_regions: regions,
                ..regional()
            },
            zones,
        );
        for n in 0..400 {
            let invocation = harness.invoke(0, 1 + n % 7 / 4, 5.0);
            if let Some(early) = invocation
                .checked_sub(20)
                .filter(|&early| !harness.executors_of(early).is_empty())
            {
                harness.finish(early, 0, DispatchStatus::Ok);
            }
            harness.advance(0.01);
        }
        harness.model.actions
    };
    let alone = served(vec![], &[0; 8]);
    assert_eq!(
        served(vec![Some(0), Some(1)], &[[0; 8], [1; 8]].concat()),
        alone
    );
}

#[test]
fn executor_moved_to_another_region_serves_that_region() {
    let mut harness = regional_harness();
    let moved = serve(&mut harness, 1);
    let move_to_zone = |harness: &mut Harness, zone: u8| {
        harness.model.executors[moved].zone = zone;
        harness.update_endpoint(moved, EndpointState::Ready, LONG_AGO);
    };
    move_to_zone(&mut harness, 3);
    let after_move: Vec<usize> = FUNCTIONS
        .map(|function| serve(&mut harness, function))
        .collect();
    assert!(
        after_move
            .iter()
            .all(|&executor| in_own_region(executor) && executor != moved),
        "{after_move:?}"
    );
    assert_ne!(after_move, place_all(regional_harness()));
    let mut harness = Harness::in_zones(regional(), &ZONES);
    move_to_zone(&mut harness, 3);
    move_to_zone(&mut harness, ZONES[moved]);
    assert_eq!(
        place_all(harness),
        place_all(regional_harness()),
        "after it has moved back"
    );
}

#[test]
fn prewarming_stays_within_the_region() {
    let mut harness = Harness::in_zones(
        PolicyConfig {
            allows_load_commands: true,
            load_budget_window: 0.0,
            ..regional()
        },
        &ZONES,
    );
    for _ in 0..12 {
        harness.prewarm(1, 6);
        harness.finish_loads(DispatchStatus::Ok);
    }
    let mut loaded: Vec<usize> = harness
        .model
        .load_commands
        .iter()
        .map(|command| command.executor)
        .collect();
    loaded.sort_unstable();
    loaded.dedup();
    assert_eq!(loaded, [0, 1, 2, 3, 4, 5]);
    assert_eq!(harness.prewarm(1, 6), 6);
}
