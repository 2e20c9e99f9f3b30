//! The fleet run in its short form: few front ends and seconds. Judged is what always holds; no timings.

use orchidtally_capacity_model::fleet::{Counts, Fault, Plan, Policy, Scenario, Simulation, play};
use orchidtally_capacity_model::size::Size;

fn plan(scenario: Scenario, fault: Option<Fault>) -> Plan {
    let size = Size {
        front_ends: 16,
        executors: 48,
        functions: 400,
        instances: 4_560,
        calls_per_s: 1_500.0,
        ..Size::default()
    };
    Plan {
        size,
        scenario,
        policy: Policy::Dispatcher,
        regions_known: true,
        warm_up_thinned: 2.0,
        warm_up: 6.0,
        seconds: 14.0,
        seed: 7,
        fault,
    }
}

fn counts(plan: &Plan) -> Counts {
    Simulation::new(plan.clone()).run().counts
}

/// Counts that are not numbers are compared by their text.
fn text(counts: &Counts) -> String {
    format!("{counts:?}")
}

#[test]
fn every_call_gets_one_final_answer_and_runs_once_where_it_must() {
    for scenario in Scenario::ALL {
        let counts = counts(&plan(scenario, None));
        assert!(counts.all.arrived > 15_000, "{scenario:?}: {counts:?}");
        assert_eq!(counts.unanswered, 0, "{scenario:?}: {counts:?}");
        assert_eq!(counts.answered_twice, 0, "{scenario:?}: {counts:?}");
        assert_eq!(counts.ran_twice, 0, "{scenario:?}: {counts:?}");
        assert!(
            counts.calls_begun >= counts.all.succeeded,
            "{scenario:?}: {counts:?}"
        );
        assert!(counts.dispatches >= counts.crossing && counts.loads >= counts.loads_beyond_need);
    }
}

#[test]
fn a_calm_fleet_serves_its_calls() {
    let counts = counts(&plan(Scenario::Calm, None));
    assert!(counts.all.share(counts.all.in_time) > 0.97, "{counts:?}");
    assert_eq!(counts.all.front_end_lost, 0, "{counts:?}");
}

#[test]
fn failures_are_seen_in_the_counts() {
    let zone = counts(&plan(Scenario::ZoneLost, None));
    assert!(zone.all.front_end_lost > 0, "{zone:?}");
    // Where no regions are told, calls cross them and are lost with the way there.
    let without_regions = |scenario| {
        counts(&Plan {
            regions_known: false,
            ..plan(scenario, None)
        })
    };
    let cut = without_regions(Scenario::RegionCut);
    assert!(
        cut.cut_off.arrived > 2_000 && cut.not_cut_off.arrived > cut.cut_off.arrived,
        "{cut:?}"
    );
    let settled = cut.cut_off_settled.arrived * 2;
    assert!(
        settled.abs_diff(cut.cut_off.arrived) * 10 < cut.cut_off.arrived,
        "{cut:?}"
    );
    let calm = without_regions(Scenario::Calm);
    assert!(calm.crossing * 4 > calm.dispatches, "{calm:?}");
    assert_eq!((calm.cut_off.arrived, calm.not_cut_off.arrived), (0, 0));
    assert!(
        cut.all.errored + cut.all.throttled > calm.all.errored + calm.all.throttled,
        "{cut:?}, {calm:?}"
    );
}

#[test]
fn where_regions_are_told_calls_stay_in_theirs_and_a_cut_costs_none() {
    for scenario in [Scenario::Calm, Scenario::RegionCut] {
        let counts = counts(&plan(scenario, None));
        assert_eq!(counts.crossing, 0, "{scenario:?}: {counts:?}");
    }
    let cut = counts(&plan(Scenario::RegionCut, None)).cut_off;
    assert!(
        cut.arrived > 2_000 && cut.share(cut.in_time) > 0.97,
        "{cut:?}"
    );
}

#[test]
fn the_same_seed_gives_the_same_counts_also_side_by_side() {
    let plans = [Scenario::Calm, Scenario::Restarts, Scenario::RegionCut].map(|s| plan(s, None));
    let side_by_side = play(plans.to_vec());
    assert_eq!(side_by_side.played.len(), plans.len());
    for (plan, played) in plans.iter().zip(&side_by_side.played) {
        assert_eq!(played.plan.scenario, plan.scenario);
        assert_eq!(text(&counts(plan)), text(&played.finding.counts));
    }
    let other = Plan {
        seed: 8,
        ..plans[0].clone()
    };
    assert_ne!(text(&counts(&plans[0])), text(&counts(&other)));
}

#[test]
fn a_dispatch_delivered_twice_is_found() {
    let counts = counts(&plan(Scenario::Calm, Some(Fault::DuplicateDispatch)));
    assert!(counts.ran_twice > 0, "{counts:?}");
}

#[test]
fn a_final_answer_that_is_lost_is_found() {
    let counts = counts(&plan(Scenario::Calm, Some(Fault::LostAnswer)));
    assert!(counts.unanswered > 0, "{counts:?}");
}
