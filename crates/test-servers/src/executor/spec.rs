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
    pub cores: usize,
    pub memory: f64,
    /// Invocations that wait here at the most.
    pub queue: usize,
    /// An idle copy is unloaded after this.
    pub keep_alive: f64,
    pub rejects_unloaded: bool,
    /// What waits for a load that fails ends in 'miss', which proves that it never ran, else in an error.
    pub reports_failed_load_as_miss: bool,
    /// A cold start: how long, from which part of its capacity on, and the load that pushes it over.
    pub slow_start_duration: f64,
    pub slow_start_initial_weight: f64,
    pub overload_factor: f64,
    pub overload_window: f64,
    /// Down for so long after it was pushed over.
    pub downtime: f64,
    /// Reports are as old as this, and off by this part.
    pub report_delay: f64,
    pub report_noise: f64,
    pub report_fields: Vec<String>,
}

impl ExecutorSpec {
    /// One with room that is warm at once and tells no reports.
    pub fn with_ample_capacity(number: usize) -> ExecutorSpec {
        ExecutorSpec {
            number,
            cores: 8,
            memory: 100.0,
            queue: 100,
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
    pub fails_at_once: TimedFault,
    /// Connections are accepted, and their handshake waits.
    pub slow_handshakes: TimedFault,
    /// Nothing is read from any socket.
    pub reads_paused: TimedFault,
    /// Reports come so much later.
    pub delayed_reports: TimedFault,
}

/// What an executor shares with others.
pub struct SharedResources {
    pub store: Rc<PackageStore>,
    pub catalogue: Catalogue,
    /// Shared by the executors of its group.
    pub token_cache: Rc<TokenCache>,
    pub deduplication_window: f64,
}
