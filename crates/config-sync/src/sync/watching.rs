//! The watch: opened behind what is known, its changes applied transaction by transaction.

use super::{ConfigSync, Need, Phase};
use crate::action::Action;
use crate::applier::Transaction;
use crate::backlog::ChangesByKey;
use crate::keys::EntryKey;
use crate::message::{Header, WatchBatch};
use crate::report::ReportedState;
use crate::schema::{Rejection, Schema};
use crate::stored::{Stored, StoredEntry};

/// Keys that are no entries' and are named at most.
const MAX_FOREIGN_KEYS: usize = 16;
/// The greatest drawn pause before a watch that the store ended is opened again, in seconds.
const REOPEN_PAUSE: f64 = 1.0;

impl<S: Schema> ConfigSync<S> {
    /// The store can be reached: requests can be sent and watches be opened.
    pub fn connected(&mut self, now: f64) {
        if self.is_connected() {
            self.disconnected(now);
        }
        self.phase = Phase::AwaitingBarrier;
        self.start_barriers(now);
        if self.need == Need::Verification && !self.distrusts {
            self.open_watch();
        }
        self.restart_reports(now);
    }

    /// The store can't be reached, or the watch's connection broke. What was asked and not answered is forgotten;
    /// what a catch-up has read stays.
    pub fn disconnected(&mut self, now: f64) {
        self.phase = Phase::Disconnected;
        self.watch_is_open = false;
        self.reopen_watch_at = f64::INFINITY;
        self.freshness.forget_questions();
        self.stop_barriers();
        self.audit_at = f64::INFINITY;
        self.forget_reads();
        let is_local = |action: &Action<S::Entry>| {
            matches!(action, Action::Apply(_) | Action::WriteSnapshot { .. })
        };
        self.actions.retain(is_local);
        self.mark_report(now);
    }

    /// The watch told of changes, in the order of revisions.
    pub fn watch_batch(&mut self, now: f64, batch: WatchBatch) {
        if !self.watch_is_open || !self.is_followed(now, &batch.header) {
            return;
        }
        if !batch.changes.is_empty() {
            self.watch_told_at = now;
        }
        if self.backlog.push(batch.changes, batch.complete).is_err() {
            self.close_watch();
            self.reading = None;
            self.start_reading(now, Need::CatchUp);
            return;
        }
        self.apply_backlog(now);
    }

    /// The watch told that all changes up to the header's revision were told.
    pub fn watch_progress(&mut self, now: f64, header: Header) {
        if !self.watch_is_open || !self.is_followed(now, &header) {
            return;
        }
        self.backlog.told_through(header.revision);
        self.apply_backlog(now);
    }

    /// The watch can't go on: what it would go on from is compacted up to this revision.
    pub fn watch_compacted(&mut self, now: f64, _compact_revision: i64) {
        if !self.watch_is_open {
            return;
        }
        self.watch_is_open = false;
        self.reading = None;
        if self.phase == Phase::AwaitingBarrier {
            self.need = Need::CatchUp;
        } else {
            self.start_reading(now, Need::CatchUp);
        }
    }

    /// The store ended the watch for another reason.
    pub fn watch_cancelled(&mut self, now: f64) {
        if self.watch_is_open {
            self.watch_is_open = false;
            self.reopen_watch_at = now + self.draw(REOPEN_PAUSE);
        }
    }

    /// Opens the watch behind what is applied.
    pub(super) fn open_watch(&mut self) {
        self.backlog.restart(self.applied_revision);
        self.watch_is_open = true;
        self.reopen_watch_at = f64::INFINITY;
        self.actions.push_back(Action::Watch {
            from_revision: self.applied_revision + 1,
        });
    }

    /// Opens the watch anew, behind all that was told whole.
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

    /// Applies what was told whole, if the view follows the watch.
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
            self.settle_freshness();
        }
    }

    /// The view is as fresh as answered barriers show, while it follows the watch.
    pub(super) fn settle_freshness(&mut self) {
        if self.phase == Phase::Following {
            self.freshness.applied(self.applied_revision);
        }
    }

    /// Takes in one transaction; `false` if the front end can't hold it and has halted.
    fn apply_revision(&mut self, now: f64, revision: i64, changes: ChangesByKey) -> bool {
        let (stored, keys) = self.store_changes(revision, changes);
        if self.is_too_large(&stored) {
            self.halt(now, ReportedState::StoreTooLarge);
            self.need = Need::CatchUp;
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
    fn store_changes(&mut self, revision: i64, changes: ChangesByKey) -> (Stored, Vec<EntryKey>) {
        let mut stored = self.stored.clone();
        let mut keys = vec![];
        for (store_key, document) in changes {
            let Some(key) = self.keyspace.parse_entry(&store_key) else {
                self.note_foreign_key(store_key, document.is_some(), revision);
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

    pub(super) fn is_too_large(&self, stored: &Stored) -> bool {
        stored.len() > self.settings.max_entries || stored.bytes() > self.settings.max_bytes
    }

    /// Names a key that stands among the entries and is none.
    pub(super) fn note_foreign_key(&mut self, store_key: Vec<u8>, is_there: bool, revision: i64) {
        if !is_there {
            self.foreign_keys.remove(&store_key);
            return;
        }
        if self.foreign_keys.len() >= MAX_FOREIGN_KEYS
            && !self.foreign_keys.contains_key(&store_key)
        {
            return;
        }
        let rejection = Rejection {
            key: String::from_utf8_lossy(&store_key).chars().take(crate::keys::MAX_KEY_BYTES).collect(),
            revision,
            reason:
                "the key is no entry's: it has no kind and name, or stands in another bucket than its own"
                    .into(),
            remedy: "delete it, and write entries by the writer's tool".into(),
        };
        self.foreign_keys.insert(store_key, rejection);
    }

    /// Whether an answer of the watch comes from the store that is followed; if not, the front end halts.
    fn is_followed(&mut self, now: f64, header: &Header) -> bool {
        if self
            .source
            .is_some_and(|source| source.cluster == header.cluster)
        {
            return true;
        }
        self.halt(now, ReportedState::StoreSetBack);
        false
    }
}
