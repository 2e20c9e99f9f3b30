//! Processor time and memory of decisions at one front end, in simulated time.

use super::fit::{self, Axes};
use crate::clock;
use crate::hollow::decisions::{FrontEnd, Traffic, roster_row};
use crate::report::{Basis, Role, Row, Slope};
use crate::size::Size;
use orchidtally_dispatch_policy::interface::{EndpointState, EndpointUpdateKind};

/// Executors of the small and the large fleet whose decision costs are compared.
const SMALL_FLEET: usize = 36;
const LARGE_FLEET: usize = 3_000;
/// The mean time that an answer takes, in seconds.
const ANSWER_TIME: f64 = 0.05;
/// How often a list and a change are taken in for one figure.
const LISTS: usize = 20;

/// How long a front end plays, in simulated seconds: before the measurement and during it.
#[derive(Clone, Copy, Debug)]
struct Duration {
    warm_up: f64,
    measured: f64,
}

impl Duration {
    fn of(short: bool) -> Duration {
        match short {
            true => Duration {
                warm_up: 2.0,
                measured: 2.0,
            },
            false => Duration {
                warm_up: 120.0,
                measured: 60.0,
            },
        }
    }
}

/// What one front end cost.
#[derive(Clone, Copy, Debug)]
struct Cost {
    cpu_us_per_call: f64,
    heap_bytes: f64,
    list_us: f64,
    change_us: f64,
    functions_in_tables: usize,
    succeeded_share: f64,
}

fn measure(traffic: &Traffic, duration: Duration) -> Cost {
    let heap_before = clock::heap_bytes();
    let mut front_end = FrontEnd::new(traffic);
    front_end.play(duration.warm_up);
    let before = front_end.finished();
    let started = clock::thread_cpu_s();
    let calls = front_end.play(duration.measured).max(1) as f64;
    let cpu = clock::thread_cpu_s() - started;
    let after = front_end.finished();
    let succeeded = (after.succeeded - before.succeeded) as f64;
    let failed = (after.failed - before.failed) as f64;
    let heap_bytes = clock::heap_bytes() - heap_before;
    let functions_in_tables = front_end.table_sizes().functions;
    Cost {
        cpu_us_per_call: 1e6 * cpu / calls,
        heap_bytes,
        list_us: list_us(&mut front_end, traffic.executors),
        change_us: change_us(&mut front_end, traffic.executors),
        functions_in_tables,
        succeeded_share: succeeded / (succeeded + failed).max(1.0),
    }
}

/// The processor time of a full endpoint list without changes, with the call after it.
fn list_us(front_end: &mut FrontEnd, executors: usize) -> f64 {
    let rows: Vec<_> = (0..executors).map(|x| roster_row(x, 8)).collect();
    let started = clock::thread_cpu_s();
    for _ in 0..LISTS {
        front_end.roster(EndpointUpdateKind::Full, &rows);
        front_end.call_now();
    }
    1e6 * (clock::thread_cpu_s() - started) / LISTS as f64
}

/// The time that a change of one executor takes, with the call after it.
fn change_us(front_end: &mut FrontEnd, executors: usize) -> f64 {
    let mut cpu = 0.0;
    for n in 0..LISTS {
        let mut row = roster_row(n % executors, 8);
        row.state = if n % 2 == 0 {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        };
        let started = clock::thread_cpu_s();
        front_end.roster(EndpointUpdateKind::Delta, &[row]);
        front_end.call_now();
        cpu += clock::thread_cpu_s() - started;
    }
    1e6 * cpu / LISTS as f64
}

/// One measurement for each value of a dimension.
fn sweep(
    name: &str,
    values: &[usize],
    duration: Duration,
    traffic: impl Fn(usize) -> Traffic,
) -> Vec<(usize, Cost)> {
    let measure_one = |&value: &usize| {
        let cost = measure(&traffic(value), duration);
        eprintln!(
            "slopes: {value} {name}: {:.1} us a call, {:.2} MB, {} functions known, {:.1} % served",
            cost.cpu_us_per_call,
            cost.heap_bytes / 1e6,
            cost.functions_in_tables,
            100.0 * cost.succeeded_share
        );
        (value, cost)
    };
    values.iter().map(measure_one).collect()
}

fn fitted(axes: Axes, costs: &[(usize, Cost)], figure: impl Fn(&Cost) -> f64) -> Option<Slope> {
    let points: Vec<(f64, f64)> = costs
        .iter()
        .map(|(value, cost)| (*value as f64, figure(cost)))
        .collect();
    fit::line(axes, &points)
}

/// Rows and slopes of decisions.
pub fn run(size: &Size, seed: u64, short: bool) -> super::Slopes {
    let duration = Duration::of(short);
    let base = Traffic {
        front_ends: size.front_ends,
        executors: size.executors,
        functions: size.functions,
        calls_per_s: size.calls_per_front_end(),
        answer_time: ANSWER_TIME,
        seed,
    };
    let (executors, functions, rates, busy): (&[usize], &[usize], &[usize], &[usize]) = match short
    {
        true => (
            &[36, 100, 300],
            &[210, 2_100, 21_000],
            &[18, 60, 182],
            &[5, 10, 20],
        ),
        false => (
            &[36, 100, 300, 1_000, 3_000],
            &[210, 1_050, 4_200, 10_500, 21_000, 42_000],
            &[18, 60, 182, 600, 1_820],
            &[5, 10, 20, 50, 95],
        ),
    };
    let by_executors = sweep("executors", executors, duration, |executors| Traffic {
        executors,
        ..base.clone()
    });
    let by_functions = sweep("functions", functions, duration, |functions| Traffic {
        functions,
        ..base.clone()
    });
    let by_rate = sweep("calls a second", rates, duration, |rate| {
        let front_ends = (size.calls_per_s / rate as f64).round().max(1.0) as usize;
        Traffic {
            calls_per_s: rate as f64,
            front_ends,
            ..base.clone()
        }
    });
    let by_instances = sweep("thousand busy instances", busy, duration, |thousands| {
        Traffic {
            // Instances that work at a time are calls a second times the time of one.
            answer_time: thousands as f64 * 1_000.0 / size.calls_per_s,
            ..base.clone()
        }
    });
    let cpu = |dimension| Axes {
        figure: "CPU of a decision",
        unit: "us a call",
        dimension,
    };
    let heap = |dimension| Axes {
        figure: "memory of decisions",
        unit: "MB a front end",
        dimension,
    };
    let list = Axes {
        figure: "CPU of a whole roster list",
        unit: "us",
        dimension: "executors",
    };
    let change = Axes {
        figure: "CPU of a roster change of one row",
        unit: "us",
        dimension: "executors",
    };
    let cpu_of = |cost: &Cost| cost.cpu_us_per_call;
    let heap_of = |cost: &Cost| cost.heap_bytes / 1e6;
    let slopes = [
        fitted(cpu("executors"), &by_executors, cpu_of),
        fitted(cpu("functions"), &by_functions, cpu_of),
        fitted(cpu("calls a second at the front end"), &by_rate, cpu_of),
        fitted(cpu("thousand busy instances"), &by_instances, cpu_of),
        fitted(heap("executors"), &by_executors, heap_of),
        fitted(heap("functions"), &by_functions, heap_of),
        fitted(heap("thousand busy instances"), &by_instances, heap_of),
        fitted(list, &by_executors, |cost| cost.list_us),
        fitted(change, &by_executors, |cost| cost.change_us),
    ];
    super::Slopes {
        rows: rows(size, &by_executors),
        slopes: slopes.into_iter().flatten().collect(),
    }
}

fn rows(size: &Size, by_executors: &[(usize, Cost)]) -> Vec<Row> {
    let at = |executors| {
        by_executors
            .iter()
            .find(|(value, _)| *value == executors)
            .map(|(_, cost)| cost)
    };
    let share = Row::at_most(
        "decision_cpu_us",
        Role::FrontEnd,
        "us a call at 3000 executors",
        // A tenth of a core at this rate.
        1e5 / size.calls_per_front_end(),
        "one engine in simulated time, its host in memory included",
    );
    let growth = Row::at_most(
        "decision_cpu_growth",
        Role::FrontEnd,
        "ratio, 3000 executors over 36",
        2.0,
        "one engine in simulated time, its host in memory included",
    );
    let share = match at(LARGE_FLEET) {
        Some(large) => share.with(large.cpu_us_per_call, Basis::Measured),
        None => share,
    };
    let growth = match (at(SMALL_FLEET), at(LARGE_FLEET)) {
        (Some(small), Some(large)) => growth.with(
            large.cpu_us_per_call / small.cpu_us_per_call,
            Basis::Measured,
        ),
        _ => growth,
    };
    vec![share, growth]
}
