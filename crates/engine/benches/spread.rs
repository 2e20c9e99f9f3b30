//! Compares the spread over executors of the dispatch policy with reference policies on the same arrivals, in simulated
//! time and in one run.
//!
//! `cargo bench -p orchidtally-engine --bench spread [front ends] [seed]`

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::{PolicyFactory, Scenario, TrueLoads};
use orchidtally_dispatch_policy::interface::{ExecutorId, PolicyConfig};
use orchidtally_engine::DispatchPolicy;
use orchidtally_engine::baseline::{BaselinePolicy, BaselineSelection};
use orchidtally_invariants::measure_spread;

fn baseline(selection: BaselineSelection, seed: u64) -> Option<Box<dyn DispatchPolicy>> {
    Some(Box::new(BaselinePolicy::with_selection(selection, seed)))
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
    baseline(
        BaselineSelection::TwoChoicesByTrueLoad(Box::new(load)),
        seed,
    )
}

fn main() {
    // Arguments that are no numbers are ignored, such as the flag that Cargo adds.
    let mut numbers = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse::<u64>().ok());
    let front_ends = numbers.next().unwrap_or(300) as usize;
    let seed = numbers.next().unwrap_or(1);
    let policies: [(&str, &PolicyFactory); 4] = [
        ("dispatch policy", &|_, _, _| None),
        ("random", &|_, seed, _| {
            baseline(BaselineSelection::Random, seed)
        }),
        ("least in flight", &|_, seed, _| {
            baseline(BaselineSelection::LeastInFlight, seed)
        }),
        ("two choices", &two_choices_by_true_load),
    ];
    for (name, executors_replaced_at, front_ends_restarted_at) in [
        ("no disturbance", None, None),
        ("executors replaced at 12 s", Some(12.0), None),
        ("front ends restarted at 12 s", None, Some(12.0)),
    ] {
        println!("{name}, {front_ends} front ends, 36 executors, load 0.5, seed {seed}");
        for (name, policy_factory) in policies {
            let (functions, duration) = (150, 24.0);
            let (executors, load) = (36, 0.5);
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
            let report = measure_spread(&world.records, 8.0);
            let invocations = (world.succeeded + world.failed) as f64;
            println!(
                "  {name:<15} herds {:>3} (last {:>4.1} s), idle beside queue {:>5.3}, peak over fair share {:>5.2}, replicas {:>4} ({:>4} elsewhere), in time {:.3}",
                report.herds,
                report.last_herd.unwrap_or(f64::NAN),
                report.idle_beside_queue,
                report.peak_to_fair_share,
                report.loaded_replicas,
                report.replicas_loaded_elsewhere,
                world.within_objective as f64 / invocations
            );
        }
    }
}
