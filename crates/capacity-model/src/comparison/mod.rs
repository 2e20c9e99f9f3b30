//! Hollow front ends beside real `orchidtally serve` processes: the same store, roster, changes and time for both, and
//! what control costs each.
//!
//! A hollow front end runs the true hosts and cores. Where its figures part from a real one's, that is known to come from
//! two things. Many in one process are waked together, which saves processor time: those in processes of their own show how
//! much. And the system's allocator keeps memory of buffers as large as a snapshot, which the heap's count of what is in
//! use does not have.

mod alone;
mod front_ends;
mod gateway;
mod meter;
mod rows;
mod run;

pub use alone::serve as serve_alone;
pub use gateway::{GatewayError, gateway_program};
pub use rows::rows;
pub use run::ComparisonError;

use crate::report::Row;
use crate::size::Size;
use std::ops::Range;
use std::path::Path;

/// How many front ends are compared, and for how long.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Hollow front ends, all in one process.
    pub hollow: usize,
    /// Hollow front ends in processes of their own.
    pub alone: usize,
    /// Processes of `orchidtally serve` that follow the store.
    pub real: usize,
    /// Processes of `orchidtally serve` without a store: what a front end costs besides control.
    pub without_store: usize,
    /// Number of executors.
    pub executors: usize,
    /// Number of functions.
    pub functions: usize,
    /// Seconds from the moment when all front ends follow the store to the measurement.
    pub settle_s: f64,
    /// Seconds of the measurement. A change of the roster and one of the configuration fall into each.
    pub measured_s: usize,
    /// How long the front ends may take to follow the store, in seconds.
    pub start_timeout_s: f64,
    /// Seed of every random draw.
    pub seed: u64,
    /// Whether the figures stand for the design: a short run only shows that the comparison works.
    pub is_judged: bool,
}

impl Plan {
    /// Plans a comparison at a size; a short one only shows that the comparison works.
    pub fn new(size: &Size, seed: u64, short: bool) -> Plan {
        let full = Plan {
            hollow: 20,
            alone: 3,
            real: 5,
            without_store: 2,
            executors: size.executors,
            functions: size.functions,
            settle_s: 4.0,
            measured_s: 15,
            start_timeout_s: 60.0,
            seed,
            is_judged: true,
        };
        if !short {
            return full;
        }
        Plan {
            hollow: 2,
            alone: 1,
            real: 2,
            without_store: 1,
            settle_s: 0.5,
            measured_s: 2,
            is_judged: false,
            ..full
        }
    }

    /// Front ends that have their entries in the store.
    pub fn front_ends(&self) -> usize {
        self.hollow + self.real + self.alone
    }

    /// The numbers of front ends that are real: behind the hollow ones in one process.
    pub fn real_numbers(&self) -> Range<usize> {
        self.hollow..self.hollow + self.real
    }

    /// The numbers of hollow front ends in processes of their own: the last ones.
    pub fn alone_numbers(&self) -> Range<usize> {
        self.hollow + self.real..self.front_ends()
    }
}

/// What control costs one front end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ControlCost {
    /// Both ways, at the store's sockets.
    pub bytes_per_s: f64,
    /// In cores.
    pub cpu_cores: f64,
    /// Memory in bytes.
    pub memory_bytes: f64,
}

/// What a comparison found.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Comparison {
    /// A hollow front end among others in one process.
    pub hollow: ControlCost,
    /// A hollow front end in a process of its own, by the clock and the memory of that; a process without a store is
    /// subtracted from its memory.
    pub alone: ControlCost,
    /// Memory as the kernel counts it for the process, for one hollow front end; its `memory_bytes` are of the heap.
    pub hollow_resident_bytes: f64,
    /// A process without a store is subtracted.
    pub real: ControlCost,
    /// The process without a store.
    pub without_store: ControlCost,
    /// Whole lists of the executors, which come too seldom to fall into the measurement, in bytes a second.
    pub list_bytes_per_s: f64,
}

/// Runs the plan with this program as the real front end, and returns its rows.
pub fn run(plan: &Plan, gateway: &Path) -> Vec<Row> {
    let found = run::play(plan, gateway);
    match &found {
        Ok(found) => log_comparison(plan, found),
        Err(why) => {
            eprintln!("comparison: hollow and real front ends could not be compared: {why}")
        }
    }
    rows(plan, &found)
}

fn log_comparison(plan: &Plan, found: &Comparison) {
    let costs = [
        ("hollow", plan.hollow, &found.hollow),
        ("hollow alone", plan.alone, &found.alone),
        ("real", plan.real, &found.real),
        ("without a store", plan.without_store, &found.without_store),
    ];
    for (name, count, cost) in costs {
        eprintln!(
            "comparison: {count} {name}: {:.0} bytes/s, {:.4} % of a core, {:.2} MB a front end",
            cost.bytes_per_s,
            100.0 * cost.cpu_cores,
            cost.memory_bytes / 1e6
        );
    }
    eprintln!(
        "comparison: resident memory of a hollow one: {:.2} MB",
        found.hollow_resident_bytes / 1e6
    );
}
