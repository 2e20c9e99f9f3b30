//! What front ends and the store spend meanwhile.

use super::front_ends::RunError;
use super::phases::Run;
use crate::clock;
use crate::hollow::control::{Bytes, LIST_INTERVAL_S};
use crate::store::Usage;
use std::time::Instant;

/// What one front end and the store spent in some seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    /// Of one front end, in cores.
    pub cpu_cores: f64,
    /// Both ways, of one front end.
    pub bytes_per_s: f64,
    /// Of one member of the store, in cores.
    pub store_cpu_cores: f64,
}

/// Measures what is spent from its start to its stop.
pub struct Meter {
    began: Instant,
    cpu_s: f64,
    bytes: Bytes,
    store: Usage,
}

impl Meter {
    pub fn start(run: &mut Run) -> Result<Meter, RunError> {
        let store = run.store.usage()?;
        let bytes = run.front_ends.bytes();
        Ok(Meter {
            began: Instant::now(),
            cpu_s: clock::process_cpu_s(),
            bytes,
            store,
        })
    }

    pub fn stop(self, run: &mut Run) -> Result<Spent, RunError> {
        let cpu_s = clock::process_cpu_s() - self.cpu_s;
        let seconds = self.began.elapsed().as_secs_f64();
        let bytes = run.front_ends.bytes();
        let store = run.store.usage()?;
        let count = run.front_ends.count() as f64;
        let both_ways = (bytes.sent - self.bytes.sent) + (bytes.received - self.bytes.received);
        let members = store.members.len().max(1) as f64;
        // The measured seconds are too few for a list to fall into them.
        let lists_per_s = run.front_ends.mean_list_bytes() / LIST_INTERVAL_S;
        Ok(Spent {
            cpu_cores: cpu_s / seconds / count,
            bytes_per_s: both_ways as f64 / seconds / count + lists_per_s,
            store_cpu_cores: (store.cpu_s - self.store.cpu_s) / seconds / members,
        })
    }
}
