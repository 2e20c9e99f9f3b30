//! Queries of the front end to its configuration host.

use super::host::ConfigHost;
use super::status::ConfigStatus;
use super::{ConfigTarget, SnapshotFile};
use orchidtally_config_sync::{Schema, Verdict, View};
use orchidtally_etcd::Client;

impl<S: Schema, T: ConfigTarget<S::Entry>> ConfigHost<S, T> {
    /// Whether a new invocation may use an entry.
    pub fn admits(&self, key: &str) -> Verdict {
        self.core.borrow().admits(self.now(), key)
    }

    /// Whether an invocation that was admitted under a view may still use an entry.
    pub fn still_admits(&self, admitted: &View<S::Entry>, key: &str) -> Verdict {
        self.core.borrow().still_admitted(self.now(), admitted, key)
    }

    /// Whether a view is in force.
    pub fn is_loaded(&self) -> bool {
        self.core.borrow().is_loaded()
    }

    /// The revision up to which every transaction is applied or rejected.
    pub fn applied_revision(&self) -> i64 {
        self.core.borrow().applied_revision()
    }

    /// The target to which views are applied.
    pub fn target(&self) -> &T {
        &self.target
    }

    /// The client of the store, which counts its traffic.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Where the snapshot is stored.
    pub fn snapshot(&self) -> Option<&SnapshotFile> {
        self.settings.snapshot.as_ref()
    }

    /// The status of the host.
    pub fn status(&self) -> ConfigStatus {
        let core = self.core.borrow();
        let age = self.now() - core.fresh_as_of();
        ConfigStatus {
            state: core.state(),
            connected: self.is_connected.get(),
            loaded: core.is_loaded(),
            generation: core.view().generation(),
            applied_revision: core.applied_revision(),
            entries: core.view().len(),
            age: age.is_finite().then_some(age),
            rejected: core.rejections(),
            snapshot_fault: self.snapshot_fault.borrow().clone(),
            apply_fault: self.apply_fault.borrow().clone(),
            bytes_sent: self.client.traffic().sent(),
            bytes_received: self.client.traffic().received(),
        }
    }
}
