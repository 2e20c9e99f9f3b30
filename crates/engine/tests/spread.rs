//! Spread over executors in simulated time: forty front ends that each see little, beside references on the same
//! arrivals. What is bounded here is what holds today; `docs/design/spread.md` tells what it is to come to.

mod fleet;

use fleet::{PolicyFactory, Scenario, TrueLoads};
use orchidtally_dispatch_policy::interface::{ExecutorId, PolicyConfig};
use orchidtally_engine::DispatchPolicy;
use orchidtally_engine::baseline::{BaselinePolicy, BaselineSelection};
use orchidtally_invariants::{SpreadReport, measure_spread};

const WARM: f64 = 6.0;

/// The spread, and the share answered in time.
fn seen(
    policy_factory: &PolicyFactory,
    replaced_at: Option<f64>,
    restarted_at: Option<f64>,
) -> (SpreadReport, f64) {
    let (front_ends, executors, load, functions, length, seed) = (40, 12, 0.5, 40, 18.0, 3);
    let scenario = Scenario {
        front_ends,
        executors,
        load,
        functions,
        length,
        replaced_at,
        restarted_at,
        seed,
    };
    let world = fleet::simulate(&scenario, policy_factory);
    let asked = (world.succeeded + world.failed) as f64;
    (
        measure_spread(&world.records, WARM),
        world.in_time as f64 / asked,
    )
}

fn module(_: &PolicyConfig, _: u64, _: &TrueLoads) -> Option<Box<dyn DispatchPolicy>> {
    None
}

fn random(_: &PolicyConfig, seed: u64, _: &TrueLoads) -> Option<Box<dyn DispatchPolicy>> {
    Some(Box::new(BaselinePolicy::new(seed)))
}

fn two_by_truth(
    _: &PolicyConfig,
    seed: u64,
    true_loads: &TrueLoads,
) -> Option<Box<dyn DispatchPolicy>> {
    let true_loads = true_loads.clone();
    let load = move |id: ExecutorId| {
        fleet::executor_number(id).map_or(u32::MAX, |x| true_loads.borrow()[x])
    };
    Some(Box::new(BaselinePolicy::with_selection(
        BaselineSelection::TwoChoicesByTrueLoad(Box::new(load)),
        seed,
    )))
}

#[test]
fn few_copies_are_loaded_and_nothing_comes_late_for_it() {
    let ((ours, in_time), (any, _)) = (seen(&module, None, None), seen(&random, None, None));
    assert!(
        ours.dispatches > 2_000 && in_time > 0.98,
        "{in_time} in time, {ours:?}"
    );
    assert!(ours.copies * 4 < any.copies, "{ours:?} beside {any:?}");
    assert!(
        ours.peak_over_fair < 2.5 && ours.idle_beside_queue < 0.2,
        "{ours:?}"
    );
}

#[test]
fn who_sees_the_true_state_has_no_idleness_beside_a_queue() {
    let (best, _) = seen(&two_by_truth, None, None);
    assert!(
        best.herds == 0 && best.idle_beside_queue < 0.002,
        "{best:?}"
    );
}

#[test]
fn replaced_executors_and_restarted_front_ends_keep_what_is_asked_in_time() {
    for (replaced_at, restarted_at) in [(Some(10.0), None), (None, Some(10.0))] {
        let (ours, in_time) = seen(&module, replaced_at, restarted_at);
        assert!(in_time > 0.95, "{in_time} in time, {ours:?}");
        assert!(ours.herds <= 6, "{ours:?}");
    }
}

/// Same seed, same arrivals, same decisions.
#[test]
fn a_play_is_the_same_every_time() {
    assert_eq!(seen(&module, None, None), seen(&module, None, None));
}
