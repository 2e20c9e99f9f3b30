//! What an executor is like, what surrounds it, and the faults that a script puts on it.

use super::program::Catalogue;
use crate::TimedFault;
use crate::store::PackageStore;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// What an executor is like. Times are in seconds.
#[derive(Clone)]
pub struct ExecutorSpec {
    /// Its place in the fleet.
    pub number: usize,
    /// Invocations that run at a time without slowing each other.
    pub cores: usize,
    /// Memory for copies of functions, in the unit of `Program::memory`.
    pub memory: f64,
    /// The most invocations that wait.
    pub queue_capacity: usize,
    /// How long an idle copy stays loaded.
    pub keep_alive: f64,
    /// Rejects a dispatch of a function that is not loaded, in place of loading it.
    pub rejects_unloaded: bool,
    /// A dispatch whose load fails ends in `Ending::Miss`, which proves that it never ran, else in an error.
    pub reports_failed_load_as_miss: bool,
    /// How long slow start lasts.
    pub slow_start_duration: f64,
    /// The part of its capacity that it has at its start, from 0 to 1.
    pub slow_start_initial_weight: f64,
    /// The load, as a multiple of its capacity at that time, that overloads it during slow start.
    pub overload_factor: f64,
    /// The time over which that load is counted.
    pub overload_window: f64,
    /// How long it is down after it was overloaded.
    pub downtime: f64,
    /// The age of what reports tell.
    pub report_delay: f64,
    /// The greatest relative error of a report.
    pub report_noise: f64,
    /// The names of the figures in a report: `backlog`, `memory` or `outstanding`.
    pub report_fields: Vec<String>,
}

impl ExecutorSpec {
    /// One with room that is warm at once and tells no reports.
    pub fn with_ample_capacity(number: usize) -> ExecutorSpec {
        ExecutorSpec {
            number,
            cores: 8,
            memory: 100.0,
            queue_capacity: 100,
            keep_alive: 10.0,
            rejects_unloaded: false,
            reports_failed_load_as_miss: true,
            slow_start_duration: 0.01,
            slow_start_initial_weight: 1.0,
            overload_factor: 100.0,
            overload_window: 1.0,
            downtime: 1.0,
            report_delay: 0.0,
            report_noise: 0.0,
            report_fields: vec![],
        }
    }
}

/// Tokens that the executors of a group have seen, and when.
#[derive(Default)]
pub struct TokenCache(RefCell<HashMap<String, f64>>);

impl TokenCache {
    /// Whether it is new within the window; it is remembered either way.
    pub(super) fn is_new(&self, token: &str, now: f64, window: f64) -> bool {
        let mut seen = self.0.borrow_mut();
        seen.retain(|_, at| now < *at + window);
        if seen.contains_key(token) {
            return false;
        }
        seen.insert(token.to_owned(), now);
        true
    }
}

/// What a script may put on an executor.
#[derive(Default)]
pub struct Faults {
    /// Nothing is answered, and nothing run.
    pub hangs: TimedFault,
    /// Every dispatch errors at once.
    pub fails_immediately: TimedFault,
    /// Connections are accepted, and their handshake waits.
    pub slow_handshakes: TimedFault,
    /// Nothing is read from any socket.
    pub reads_paused: TimedFault,
    /// Reports come so much later.
    pub delayed_reports: TimedFault,
}

/// What an executor shares with others.
pub struct SharedResources {
    /// The store from which they load functions.
    pub store: Rc<PackageStore>,
    /// The functions that they know.
    pub catalogue: Catalogue,
    /// Shared by the executors of its group.
    pub token_cache: Rc<TokenCache>,
    /// How long tokens are remembered, in seconds.
    pub deduplication_window: f64,
}
