//! Spread over executors in simulated time: 40 front ends, each of which sees a small part of the traffic, compared
//! with reference policies on the same arrivals. The limits are what the dispatch policy achieves today;
//! `docs/design/spread.md` states the goals.

mod fleet;

use fleet::{PolicyFactory, Scenario, TrueLoads};
use orchidtally_dispatch_policy::interface::{ExecutorId, PolicyConfig};
use orchidtally_engine::DispatchPolicy;
use orchidtally_engine::baseline::{BaselinePolicy, BaselineSelection};
use orchidtally_invariants::{SpreadReport, measure_spread};

const WARM_UP: f64 = 6.0;

/// The spread after the warm-up, and the fraction of the invocations that were answered within the latency objective.
fn measure(
    policy_factory: &PolicyFactory,
    executors_replaced_at: Option<f64>,
    front_ends_restarted_at: Option<f64>,
) -> (SpreadReport, f64) {
    let (front_ends, executors, load, functions, duration, seed) = (40, 12, 0.5, 40, 18.0, 3);
    let scenario = Scenario {
        front_ends,
        executors,
        load,
        functions,
        duration,
        executors_replaced_at,
        front_ends_restarted_at,
        seed,
    };
    let world = fleet::simulate(&scenario, policy_factory);
    let invocations = (world.succeeded + world.failed) as f64;
    (
        measure_spread(&world.records, WARM_UP),
        world.within_objective as f64 / invocations,
    )
}

fn dispatch_policy(_: &PolicyConfig, _: u64, _: &TrueLoads) -> Option<Box<dyn DispatchPolicy>> {
    None
}

fn random(_: &PolicyConfig, seed: u64, _: &TrueLoads) -> Option<Box<dyn DispatchPolicy>> {
    Some(Box::new(BaselinePolicy::new(seed)))
}

fn two_choices_by_true_load(
    _: &PolicyConfig,
    seed: u64,
    true_loads: &TrueLoads,
) -> Option<Box<dyn DispatchPolicy>> {
    let true_loads = true_loads.clone();
    let load = move |id: ExecutorId| {
        fleet::executor_index(id).map_or(u32::MAX, |executor| true_loads.borrow()[executor])
    };
    Some(Box::new(BaselinePolicy::with_selection(
        BaselineSelection::TwoChoicesByTrueLoad(Box::new(load)),
        seed,
    )))
}

#[test]
fn few_replicas_are_loaded_and_answers_are_in_time() {
    let ((policy_report, in_time), (random_report, _)) = (
        measure(&dispatch_policy, None, None),
        measure(&random, None, None),
    );
    assert!(
        policy_report.dispatches > 2_000 && in_time > 0.98,
        "{in_time} in time, {policy_report:?}"
    );
    assert!(
        policy_report.loaded_replicas * 4 < random_report.loaded_replicas,
        "{policy_report:?}, random: {random_report:?}"
    );
    assert!(
        policy_report.peak_to_fair_share < 2.5 && policy_report.idle_beside_queue < 0.2,
        "{policy_report:?}"
    );
}

#[test]
fn a_policy_that_knows_the_true_load_leaves_no_executor_idle_beside_a_queue() {
    let (report, _) = measure(&two_choices_by_true_load, None, None);
    assert!(
        report.herds == 0 && report.idle_beside_queue < 0.002,
        "{report:?}"
    );
}

#[test]
fn answers_stay_in_time_when_executors_are_replaced_or_front_ends_restart() {
    for (executors_replaced_at, front_ends_restarted_at) in [(Some(10.0), None), (None, Some(10.0))]
    {
        let (policy_report, in_time) = measure(
            &dispatch_policy,
            executors_replaced_at,
            front_ends_restarted_at,
        );
        assert!(in_time > 0.95, "{in_time} in time, {policy_report:?}");
        assert!(policy_report.herds <= 6, "{policy_report:?}");
    }
}

/// The same seed gives the same arrivals and the same decisions.
#[test]
fn a_simulation_is_reproducible() {
    assert_eq!(
        measure(&dispatch_policy, None, None),
        measure(&dispatch_policy, None, None)
    );
}
