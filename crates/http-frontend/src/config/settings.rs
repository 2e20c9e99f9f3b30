//! What a host needs to know besides the core's settings.

use super::SnapshotFile;
use std::time::Duration;

/// A host's own settings.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Names the front end in the store; no other that lives may have the same.
    pub front_end: String,
    /// Where its snapshot stands; `None` for no snapshot.
    pub snapshot: Option<SnapshotFile>,
    /// The time to live of the front end's lease in the store.
    pub lease: Duration,
    /// A request without an answer, or a store without a word, has failed after this time.
    pub patience: Duration,
}

impl HostSettings {
    /// The usual settings of a front end by this name, without a snapshot.
    pub fn new(front_end: impl Into<String>) -> HostSettings {
        HostSettings {
            front_end: front_end.into(),
            snapshot: None,
            lease: Duration::from_secs(10),
            patience: Duration::from_millis(2_500),
        }
    }
}
