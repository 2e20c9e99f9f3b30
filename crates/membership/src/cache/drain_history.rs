//! Executors that were reported as draining.

use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState};
use std::collections::BTreeMap;

/// Maximum number of remembered executors; beyond it, those with the lowest keys are dropped.
const MAX_REMEMBERED_DRAINS: usize = 100_000;

/// Start times of executors that were reported as draining, by key.
///
/// Failure mode: the store is restored from a backup that was made before an executor began to drain.
/// Risk: the entry in the backup would make the same start of the executor ready again.
#[derive(Debug, Default)]
pub(super) struct DrainHistory {
    started_at: BTreeMap<Vec<u8>, f64>,
}

impl DrainHistory {
    /// Records the state in which an endpoint is reported.
    pub(super) fn record(&mut self, key: &[u8], endpoint: &Endpoint) {
        match endpoint.state {
            EndpointState::Draining => {
                self.started_at.insert(key.to_vec(), endpoint.started_at);
            }
            // The drain was withdrawn. A drain of an earlier start stays recorded.
            EndpointState::Ready if self.contains(key, endpoint) => {
                self.started_at.remove(key);
            }
            EndpointState::Ready | EndpointState::Gone => {}
        }
        while self.started_at.len() > MAX_REMEMBERED_DRAINS {
            self.started_at.pop_first();
        }
    }

    /// Whether this start of the executor, or a later one under the same key, was reported as draining.
    pub(super) fn contains(&self, key: &[u8], endpoint: &Endpoint) -> bool {
        self.started_at
            .get(key)
            .is_some_and(|started_at| *started_at >= endpoint.started_at)
    }
}
