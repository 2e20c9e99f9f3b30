//! The settings of a configuration host, besides those of the state machine.

use super::SnapshotFile;
use std::time::Duration;

/// The settings of a configuration host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The name of the front end in the store, unique among running front ends.
    pub front_end: String,
    /// Where the snapshot is stored; `None` for no snapshot.
    pub snapshot: Option<SnapshotFile>,
    /// The time to live of the front end's lease in the store.
    pub lease_ttl: Duration,
    /// The time after which a request without an answer, or a silent store, has failed.
    pub request_timeout: Duration,
}

impl HostSettings {
    /// Default settings for a front end of this name, without a snapshot.
    pub fn new(front_end: impl Into<String>) -> HostSettings {
        HostSettings {
            front_end: front_end.into(),
            snapshot: None,
            lease_ttl: Duration::from_secs(10),
            request_timeout: Duration::from_millis(2_500),
        }
    }
}
