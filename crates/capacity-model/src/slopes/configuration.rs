//! What changes of configuration cost, and how long they take, by how many there are: front ends that come back behind a
//! compaction, and bursts through the watch, against the store's process over loopback sockets.

mod measurement;

use super::fit::{self, Axes};
use crate::config::RunError;
use crate::config::entries;
use crate::report::Slope;
use crate::size::Size;
use async_executor::{LocalExecutor, Task};
use measurement::{Burst, Cost, Setting, measure};
use std::rc::Rc;
use std::time::Instant;

/// Changes in one transaction.
const TRANSACTION: usize = 50;
/// The sizes of each dimension.
struct Sizes {
    missed: Vec<usize>,
    entries: Vec<usize>,
    front_ends: Vec<usize>,
    bursts: Vec<usize>,
    /// What the other dimensions have meanwhile.
    baseline: Setting,
}

impl Sizes {
    fn new(size: &Size, seed: u64, short: bool) -> Sizes {
        let share = |part: usize| (size.front_ends * part / 100).max(1);
        if short {
            let baseline = Setting {
                front_ends: 2,
                entries: 100,
                missed: 2,
                bursts: vec![5],
                seed,
                spread: 0.0,
            };
            return Sizes {
                missed: vec![2, 4, 8],
                entries: vec![50, 100, 200],
                front_ends: vec![2, 4, 8],
                bursts: vec![5, 10, 20],
                baseline,
            };
        }
        let spread = entries::settings().spread;
        let baseline = Setting {
            front_ends: 5,
            entries: 500,
            missed: 20,
            bursts: vec![TRANSACTION],
            seed,
            spread,
        };
        Sizes {
            missed: vec![20, 40, 80, 140, 200],
            entries: vec![1_000, 2_000, 4_000, 8_000, 16_000],
            front_ends: vec![share(5), share(10), share(20), share(50), size.front_ends],
            bursts: vec![20, 50, 100, 200, 500],
            baseline,
        }
    }
}

/// Measured costs by size.
type Costs = Vec<(usize, Cost)>;

/// Measurements that run, by size.
type Started = Vec<(usize, Task<Result<Cost, RunError>>)>;

/// Starts measuring several settings side by side: few front ends each, which mostly wait for their pace.
fn side_by_side(
    sizes: &[usize],
    setting: impl Fn(usize) -> Setting,
    tasks: &Rc<LocalExecutor<'static>>,
) -> Started {
    let start = |size: &usize| (*size, tasks.spawn(measure(setting(*size), tasks.clone())));
    sizes.iter().map(start).collect()
}

async fn finished(started: Started) -> Result<Costs, RunError> {
    let mut costs = vec![];
    for (size, task) in started {
        costs.push((size, task.await?));
    }
    Ok(costs)
}

/// Measures several numbers of front ends, one after the other.
async fn by_front_ends(
    sizes: &Sizes,
    tasks: &Rc<LocalExecutor<'static>>,
) -> Result<Costs, RunError> {
    let mut costs = vec![];
    for &front_ends in &sizes.front_ends {
        let setting = Setting {
            front_ends,
            ..sizes.baseline.clone()
        };
        costs.push((front_ends, measure(setting, tasks.clone()).await?));
    }
    Ok(costs)
}

fn log_costs(dimension: &str, costs: &Costs) {
    for (size, cost) in costs {
        let burst = cost.bursts.first().map(|burst| burst.in_force_s);
        eprintln!(
            "slopes: {size} {dimension}: back after {:.2} s with {:.0} bytes{}",
            cost.return_s,
            cost.return_bytes,
            burst.map_or(String::new(), |seconds| format!(
                ", a burst in force after {seconds:.2} s"
            ))
        );
    }
}

/// Measures all dimensions.
pub fn run(size: &Size, seed: u64, short: bool) -> Result<Vec<Slope>, RunError> {
    let sizes = Sizes::new(size, seed, short);
    let tasks = Rc::new(LocalExecutor::new());
    let baseline = || sizes.baseline.clone();
    let began = Instant::now();
    let work = async {
        let missed = Setting {
            bursts: vec![],
            ..baseline()
        };
        let missed = side_by_side(
            &sizes.missed,
            |count| Setting {
                missed: count,
                ..missed.clone()
            },
            &tasks,
        );
        let entries = side_by_side(
            &sizes.entries,
            |entries| Setting {
                entries,
                ..baseline()
            },
            &tasks,
        );
        let front_ends = by_front_ends(&sizes, &tasks).await?;
        let (missed, entries) = (finished(missed).await?, finished(entries).await?);
        log_costs("changes missed", &missed);
        log_costs("entries", &entries);
        log_costs("front ends", &front_ends);
        // Alone, as processor time is the whole process's.
        let few = sizes.front_ends[0];
        let bursts = sizes.bursts.clone();
        let setting = Setting {
            front_ends: few,
            missed: 1,
            spread: 0.0,
            bursts,
            ..baseline()
        };
        let in_bursts = measure(setting, tasks.clone()).await?.bursts;
        eprintln!(
            "slopes: configuration took {:.1} s",
            began.elapsed().as_secs_f64()
        );
        Ok(slopes(&sizes, &missed, &entries, &front_ends, &in_bursts))
    };
    async_io::block_on(tasks.run(work))
}

fn slopes(
    sizes: &Sizes,
    missed: &Costs,
    entries: &Costs,
    front_ends: &Costs,
    bursts: &[Burst],
) -> Vec<Slope> {
    let line = |figure: &str, unit: &str, dimension: &str, points: Vec<(f64, f64)>| {
        fit::line(
            Axes {
                figure,
                unit,
                dimension,
            },
            &points,
        )
    };
    let of = |costs: &Costs, value: &dyn Fn(&Cost) -> Option<f64>| -> Vec<(f64, f64)> {
        costs
            .iter()
            .filter_map(|(size, cost)| Some((*size as f64, value(cost)?)))
            .collect()
    };
    let back = |cost: &Cost| Some(cost.return_s);
    let bytes_back = |cost: &Cost| Some(cost.return_bytes);
    let in_force = |cost: &Cost| cost.bursts.first().map(|burst| burst.in_force_s);
    let by_burst = |value: fn(&Burst) -> f64| -> Vec<(f64, f64)> {
        sizes
            .bursts
            .iter()
            .zip(bursts)
            .map(|(count, burst)| (*count as f64, value(burst)))
            .collect()
    };
    let (changes, entries_held, all, burst) = (
        "changes missed",
        "entries held",
        "front ends",
        "changes in a burst",
    );
    [
        line("time to return", "s", changes, of(missed, &back)),
        line(
            "bytes to return",
            "bytes a front end",
            changes,
            of(missed, &bytes_back),
        ),
        line("time to return", "s", entries_held, of(entries, &back)),
        line("time to return", "s", all, of(front_ends, &back)),
        line(
            "time in force",
            "s",
            burst,
            by_burst(|burst| burst.in_force_s),
        ),
        line("time in force", "s", entries_held, of(entries, &in_force)),
        line("time in force", "s", all, of(front_ends, &in_force)),
        line(
            "bytes of changes",
            "bytes a front end",
            burst,
            by_burst(|burst| burst.bytes),
        ),
        line(
            "CPU of changes",
            "us a front end",
            burst,
            by_burst(|burst| burst.cpu_us),
        ),
    ]
    .into_iter()
    .flatten()
    .collect()
}
