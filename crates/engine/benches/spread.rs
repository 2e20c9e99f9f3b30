//! Spread over executors in simulated time, the module beside references on the same arrivals, in one run:
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

fn by_truth(
    _: &PolicyConfig,
    seed: u64,
    true_loads: &TrueLoads,
) -> Option<Box<dyn DispatchPolicy>> {
    let true_loads = true_loads.clone();
    let load = move |id: ExecutorId| {
        fleet::executor_number(id).map_or(u32::MAX, |x| true_loads.borrow()[x])
    };
    baseline(
        BaselineSelection::TwoChoicesByTrueLoad(Box::new(load)),
        seed,
    )
}

fn main() {
    // Cargo adds a flag of its own.
    let mut numbers = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse::<u64>().ok());
    let front_ends = numbers.next().unwrap_or(300) as usize;
    let seed = numbers.next().unwrap_or(1);
    let policies: [(&str, &PolicyFactory); 4] = [
        ("module", &|_, _, _| None),
        ("random", &|_, seed, _| {
            baseline(BaselineSelection::Random, seed)
        }),
        ("own least busy", &|_, seed, _| {
            baseline(BaselineSelection::LeastInFlight, seed)
        }),
        ("two by truth", &by_truth),
    ];
    for (day, replaced_at, restarted_at) in [
        ("calm", None, None),
        ("replaced at 12 s", Some(12.0), None),
        ("restarted at 12 s", None, Some(12.0)),
    ] {
        println!("{day}, {front_ends} front ends, 36 executors, load 0.5, seed {seed}");
        for (name, policy_factory) in policies {
            let (functions, length) = (150, 24.0);
            let (executors, load) = (36, 0.5);
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
            let seen = measure_spread(&world.records, 8.0);
            let asked = (world.succeeded + world.failed) as f64;
            println!(
                "  {name:<15} herds {:>3} (last {:>4.1} s), idle beside queue {:>5.3}, peak over fair {:>5.2}, copies {:>4} ({:>4} elsewhere), in time {:.3}",
                seen.herds,
                seen.last_herd.unwrap_or(f64::NAN),
                seen.idle_beside_queue,
                seen.peak_over_fair,
                seen.copies,
                seen.copies_elsewhere,
                world.in_time as f64 / asked
            );
        }
    }
}
