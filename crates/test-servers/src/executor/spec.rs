//! The configuration of an executor, the resources that it shares with others, and the faults that a script injects.

use super::program::Catalogue;
use crate::TimedFault;
use crate::store::PackageStore;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// The configuration of an executor. Times are in seconds.
#[derive(Clone)]
pub struct ExecutorSpec {
    /// The executor's number in the fleet.
    pub number: usize,
    /// The number of invocations that run at a time without slowing each other.
    pub cores: usize,
    /// Memory for replicas of functions, in the unit of `Program::memory`.
    pub memory: f64,
    /// The largest number of dispatches that wait in addition to one per core. Further dispatches are rejected.
    pub queue_capacity: usize,
    /// How long an idle replica stays loaded.
    pub keep_alive: f64,
    /// Whether a dispatch of a function that is not loaded is rejected instead of loading the function.
    pub rejects_unloaded: bool,
    /// Whether a dispatch whose load fails ends in `Ending::Miss`, which proves that it never ran. Otherwise it ends in
    /// `Ending::Error`.
    pub reports_failed_load_as_miss: bool,
    /// How long slow start lasts.
    pub slow_start_duration: f64,
    /// The fraction of its capacity that is available right after a start, from 0 to 1.
    pub slow_start_initial_weight: f64,
    /// The load that overloads it during slow start, as a multiple of its capacity at that time.
    pub overload_factor: f64,
    /// The window over which that load is summed.
    pub overload_window: f64,
    /// How long it is down after an overload.
    pub downtime: f64,
    /// The age of the values in a report.
    pub report_delay: f64,
    /// The largest relative error of the backlog in a report.
    pub report_noise: f64,
    /// The largest number of streams on a connection at a time, as the executor states it.
    pub max_streams: u32,
    /// The names of the values in a report, in their order: `backlog`, `memory` or `outstanding`.
    pub report_fields: Vec<String>,
}

impl ExecutorSpec {
    /// A configuration with ample capacity, no slow start, and empty reports.
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
            max_streams: 1_000,
            report_fields: vec![],
        }
    }
}

/// Idempotency keys that the executors of a group have received, and when.
#[derive(Default)]
pub struct TokenCache(RefCell<HashMap<String, f64>>);

impl TokenCache {
    /// Whether a key was not received within the last `window` seconds. Stores a new key; an earlier one keeps its
    /// time.
    pub(super) fn is_new(&self, token: &str, now: f64, window: f64) -> bool {
        let mut received_at = self.0.borrow_mut();
        received_at.retain(|_, at| now < *at + window);
        if received_at.contains_key(token) {
            return false;
        }
        received_at.insert(token.to_owned(), now);
        true
    }
}

/// The faults that a script can inject into an executor.
#[derive(Default)]
pub struct Faults {
    /// Dispatches and load commands wait until the fault ends.
    pub hangs: TimedFault,
    /// Every dispatch of a known function ends in an error at once.
    pub fails_immediately: TimedFault,
    /// Connections are accepted, but their handshake waits until the fault ends.
    pub slow_handshakes: TimedFault,
    /// Nothing is read from any connection.
    pub reads_paused: TimedFault,
    /// The values in reports are 8 seconds old, instead of `ExecutorSpec::report_delay`.
    pub delayed_reports: TimedFault,
}

/// Resources that executors share.
pub struct SharedResources {
    /// The store from which functions are loaded.
    pub store: Rc<PackageStore>,
    /// The functions that exist.
    pub catalogue: Catalogue,
    /// The idempotency keys that the executors of a group have received.
    pub token_cache: Rc<TokenCache>,
    /// How long idempotency keys are stored, in seconds.
    pub deduplication_window: f64,
}
