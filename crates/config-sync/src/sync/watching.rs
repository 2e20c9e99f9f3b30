//! Follows the watch, which starts after the applied revision, and applies its changes transaction by transaction.

use super::{ConfigSync, Phase, SyncMode};
use crate::action::Action;
use crate::applier::Transaction;
use crate::backlog::ChangesByKey;
use crate::keys::EntryKey;
use crate::message::{Header, WatchBatch};
use crate::report::ReportedState;
use crate::schema::{Rejection, Schema};
use crate::store_copy::{StoreCopy, StoredEntry};

/// Maximum number of reported keys that are in the range of entries but aren't keys of entries.
const MAX_INVALID_KEYS: usize = 16;
/// The longest random delay before a watch that the store cancelled is opened again, in seconds.
const MAX_REOPEN_DELAY: f64 = 1.0;

impl<S: Schema> ConfigSync<S> {
    /// Handles that the store is reachable: requests can be sent and watches opened.
    pub fn on_connected(&mut self, now: f64) {
        if self.is_connected() {
            self.on_disconnected(now);
        }
        self.phase = Phase::AwaitingBarrier;
        self.start_barriers(now);
        if self.mode == SyncMode::Verification && !self.is_history_suspect {
            self.open_watch();
        }
        self.restart_reports(now);
    }

    /// Handles that the store is unreachable, or that the connection of the watch broke. Requests in flight are
    /// abandoned; the entries that a catch-up has read so far are kept.
    pub fn on_disconnected(&mut self, now: f64) {
        self.phase = Phase::Disconnected;
        self.watch_is_open = false;
        self.reopen_watch_at = f64::INFINITY;
        self.freshness.clear_pending();
        self.stop_barriers();
        self.audit_at = f64::INFINITY;
        self.abandon_reads();
        let is_local = |action: &Action<S::Entry>| {
            matches!(action, Action::Apply(_) | Action::WriteSnapshot { .. })
        };
        self.actions.retain(is_local);
        self.schedule_report(now);
    }

    /// Handles changes from the watch, in the order of revisions.
    pub fn on_watch_batch(&mut self, now: f64, batch: WatchBatch) {
        if !self.watch_is_open || !self.is_followed(now, &batch.header) {
            return;
        }
        if !batch.changes.is_empty() {
            self.last_watch_change_at = now;
        }
        if self.backlog.push(batch.changes, batch.complete).is_err() {
            self.close_watch();
            self.session = None;
            self.start_session(now, SyncMode::CatchUp);
            return;
        }
        self.apply_backlog(now);
    }

    /// Handles a progress notification: the watch has sent all changes up to the header's revision.
    pub fn on_watch_progress(&mut self, now: f64, header: Header) {
        if !self.watch_is_open || !self.is_followed(now, &header) {
            return;
        }
        self.backlog.mark_received_through(header.revision);
        self.apply_backlog(now);
    }

    /// Handles that the watch's next revision is compacted.
    pub fn on_watch_compacted(&mut self, now: f64, _compact_revision: i64) {
        if !self.watch_is_open {
            return;
        }
        self.watch_is_open = false;
        self.session = None;
        if self.phase == Phase::AwaitingBarrier {
            self.mode = SyncMode::CatchUp;
        } else {
            self.start_session(now, SyncMode::CatchUp);
        }
    }

    /// Handles that the store cancelled the watch for another reason than compaction.
    pub fn on_watch_cancelled(&mut self, now: f64) {
        if self.watch_is_open {
            self.watch_is_open = false;
            self.reopen_watch_at = now + self.random_below(MAX_REOPEN_DELAY);
        }
    }

    /// Opens a watch that starts after the applied revision.
    pub(super) fn open_watch(&mut self) {
        self.backlog.restart(self.applied_revision);
        self.watch_is_open = true;
        self.reopen_watch_at = f64::INFINITY;
        self.actions.push_back(Action::Watch {
            from_revision: self.applied_revision + 1,
        });
    }

    /// Opens the watch again, starting after the last revision that was received completely.
    pub(super) fn reopen_watch(&mut self) {
        self.close_watch();
        self.backlog.drop_incomplete();
        self.watch_is_open = true;
        self.actions.push_back(Action::Watch {
            from_revision: self.backlog.complete_through() + 1,
        });
    }

    pub(super) fn close_watch(&mut self) {
        self.reopen_watch_at = f64::INFINITY;
        if !std::mem::take(&mut self.watch_is_open) {
            return;
        }
        let queued = self.actions.len();
        self.actions
            .retain(|action| !matches!(action, Action::Watch { .. }));
        if self.actions.len() == queued {
            self.actions.push_back(Action::CancelWatch);
        }
    }

    pub(super) fn request_progress(&mut self) {
        if !self
            .actions
            .iter()
            .any(|action| matches!(action, Action::RequestProgress))
        {
            self.actions.push_back(Action::RequestProgress);
        }
    }

    /// Applies the transactions that were received completely, if the view follows the watch.
    pub(super) fn apply_backlog(&mut self, now: f64) {
        if self.phase != Phase::Following {
            return;
        }
        let mut is_changed = false;
        while let Some((revision, changes)) = self.backlog.pop_complete() {
            if !self.apply_revision(now, revision, changes) {
                break;
            }
            is_changed = true;
        }
        if is_changed {
            self.publish_change(now);
        }
        if self.phase == Phase::Following {
            self.applied_revision = self.applied_revision.max(self.backlog.complete_through());
            self.update_freshness();
        }
    }

    /// Updates the freshness from answered barriers, while the view follows the watch.
    pub(super) fn update_freshness(&mut self) {
        if self.phase == Phase::Following {
            self.freshness.on_applied(self.applied_revision);
        }
    }

    /// Applies one transaction; `false` if it exceeds the limits and the front end has halted.
    fn apply_revision(&mut self, now: f64, revision: i64, changes: ChangesByKey) -> bool {
        let (stored, keys) = self.store_changes(revision, changes);
        if self.is_too_large(&stored) {
            self.halt(now, ReportedState::StoreTooLarge);
            self.mode = SyncMode::CatchUp;
            return false;
        }
        self.stored = stored;
        self.applied_revision = revision;
        self.with_applier(revision, |applier, context| {
            applier.apply(context, Transaction { revision, keys })
        });
        true
    }

    /// The store's content after a transaction, and the entries that it changed.
    fn store_changes(
        &mut self,
        revision: i64,
        changes: ChangesByKey,
    ) -> (StoreCopy, Vec<EntryKey>) {
        let mut stored = self.stored.clone();
        let mut keys = vec![];
        for (store_key, document) in changes {
            let Some(key) = self.keyspace.parse_entry(&store_key) else {
                self.record_invalid_key(store_key, document.is_some(), revision);
                continue;
            };
            match document {
                Some(document) => {
                    let document = document.into();
                    stored.put(StoredEntry {
                        key: key.clone(),
                        document,
                        mod_revision: revision,
                    });
                }
                None => stored.delete(&key),
            }
            keys.push(key);
        }
        (stored, keys)
    }

    pub(super) fn is_too_large(&self, stored: &StoreCopy) -> bool {
        stored.len() > self.settings.max_entries || stored.bytes() > self.settings.max_bytes
    }

    /// Records a key in the range of entries that isn't the key of an entry, or removes the record.
    pub(super) fn record_invalid_key(&mut self, store_key: Vec<u8>, exists: bool, revision: i64) {
        if !exists {
            self.invalid_keys.remove(&store_key);
            return;
        }
        if self.invalid_keys.len() >= MAX_INVALID_KEYS
            && !self.invalid_keys.contains_key(&store_key)
        {
            return;
        }
        let rejection = Rejection {
            key: String::from_utf8_lossy(&store_key)
                .chars()
                .take(crate::keys::MAX_KEY_BYTES)
                .collect(),
            revision,
            reason: "the key is not an entry's: it has no kind and name, or is in the wrong bucket"
                .into(),
            remedy: "delete it, and write entries with the writer's tool".into(),
        };
        self.invalid_keys.insert(store_key, rejection);
    }

    /// Whether a response of the watch comes from the cluster that is followed; if not, the front end halts.
    fn is_followed(&mut self, now: f64, header: &Header) -> bool {
        if self
            .source
            .is_some_and(|source| source.cluster == header.cluster)
        {
            return true;
        }
        self.halt(now, ReportedState::StoreRolledBack);
        false
    }
}
