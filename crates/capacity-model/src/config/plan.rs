//! How long the parts of a configuration run last and how much they do.

use crate::size::{Injection, Size};

/// Bytes of memory that all hosts together may take.
const MEMORY_BUDGET: f64 = 5e9;
/// Bytes of memory of one entry at one front end, measured once; it sizes the run and goes into no figure.
const BYTES_PER_ENTRY: f64 = 1_500.0;
/// Front ends that come back at once.
const RETURNING: usize = 180;

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of front ends.
    pub front_ends: usize,
    /// Number of executors.
    pub executors: usize,
    /// Functions of the design; the memory of one front end is measured with all of them.
    pub functions: usize,
    /// Functions that the front ends of the run hold: as many as fit into memory.
    pub functions_loaded: usize,
    /// Seconds without a change, in which the cost of rest is measured.
    pub idle_s: f64,
    /// Seconds of single changes.
    pub daily_s: f64,
    /// Changes a second in them.
    pub daily_rate: f64,
    /// Changes within one second.
    pub burst: usize,
    /// Changes in one transaction of the burst.
    pub burst_transaction: usize,
    /// Window over which the bytes of a burst are averaged, in seconds: the time within which it has to be in force.
    pub burst_window_s: f64,
    /// Seconds for which a region is cut off.
    pub cut_s: f64,
    /// Front ends that restart at once.
    pub returning: usize,
    /// How long a phase waits for its changes, in seconds; then they count as not in force.
    pub timeout_s: f64,
    /// How long front ends may take to start, in seconds.
    pub start_timeout_s: f64,
    /// Fault that is injected, if any.
    pub injection: Option<Injection>,
    /// Seed of every random draw.
    pub seed: u64,
}

impl Plan {
    /// Plans a configuration run at a size.
    pub fn new(size: &Size, seed: u64, injection: Option<Injection>, short: bool) -> Plan {
        let fitting = (MEMORY_BUDGET / BYTES_PER_ENTRY / size.front_ends as f64) as usize;
        let functions_loaded = size.functions.min(fitting.max(1));
        let full = Plan {
            front_ends: size.front_ends,
            executors: size.executors,
            functions: size.functions,
            functions_loaded,
            idle_s: 12.0,
            daily_s: 20.0,
            daily_rate: 1.0,
            burst: 500,
            burst_transaction: 50,
            burst_window_s: 18.0,
            cut_s: 30.0,
            returning: RETURNING.min(size.front_ends),
            timeout_s: 45.0,
            start_timeout_s: 60.0,
            injection,
            seed,
        };
        if !short {
            return full;
        }
        Plan {
            idle_s: 1.0,
            daily_s: 2.0,
            daily_rate: 2.0,
            burst: 20,
            burst_transaction: 10,
            burst_window_s: 2.0,
            cut_s: 2.0,
            returning: (size.front_ends / 3).max(1),
            timeout_s: if injection.is_some() { 6.0 } else { 18.0 },
            ..full
        }
    }
}
