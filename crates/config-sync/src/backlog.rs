//! Changes received from the watch that aren't applied yet, by revision.

use crate::message::Change;
use std::collections::BTreeMap;
use thiserror::Error;

/// The queue is full. The queued changes are dropped, and the entries that changed are read within the rate limit.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the backlog of changes is full")]
pub(crate) struct BacklogFull;

/// The changes of one transaction, by store key; `None` for a deleted key.
pub(crate) type ChangesByKey = BTreeMap<Vec<u8>, Option<Vec<u8>>>;

#[derive(Clone, Debug)]
pub(crate) struct Backlog {
    max_changes: usize,
    max_bytes: usize,
    revisions: BTreeMap<i64, ChangesByKey>,
    changes: usize,
    bytes: usize,
    /// All changes up to this revision were received.
    complete_through: i64,
    /// The revision of a transaction of which only a part was received.
    incomplete: Option<i64>,
}

impl Backlog {
    pub(crate) fn new(max_changes: usize, max_bytes: usize) -> Backlog {
        Backlog {
            max_changes,
            max_bytes,
            revisions: BTreeMap::new(),
            changes: 0,
            bytes: 0,
            complete_through: 0,
            incomplete: None,
        }
    }

    pub(crate) fn complete_through(&self) -> i64 {
        self.complete_through
    }

    /// Drops everything; the watch starts after this revision.
    pub(crate) fn restart(&mut self, revision: i64) {
        self.revisions.clear();
        (self.changes, self.bytes, self.complete_through) = (0, 0, revision);
        self.incomplete = None;
    }

    /// Drops transactions that aren't complete; a new watch sends them again.
    pub(crate) fn drop_incomplete(&mut self) {
        self.incomplete = None;
        let incomplete = self.revisions.split_off(&(self.complete_through + 1));
        for changes in incomplete.values() {
            self.subtract_size(changes);
        }
    }

    /// Queues changes. Those up to `complete_through` were received before and are skipped.
    ///
    /// # Errors
    ///
    /// [`BacklogFull`] if the limits are exceeded.
    pub(crate) fn push(&mut self, changes: Vec<Change>, complete: bool) -> Result<(), BacklogFull> {
        for change in changes {
            self.push_one(change);
        }
        let newest = self
            .revisions
            .last_key_value()
            .map_or(self.complete_through, |(newest, _)| *newest);
        if self.changes > self.max_changes || self.bytes > self.max_bytes {
            return Err(BacklogFull);
        }
        self.incomplete =
            Some(newest).filter(|newest| !complete && *newest > self.complete_through);
        self.mark_received_through(newest);
        Ok(())
    }

    /// Records that all changes up to this revision were received, except for a transaction known to be incomplete.
    pub(crate) fn mark_received_through(&mut self, revision: i64) {
        let complete = self
            .incomplete
            .map_or(revision, |incomplete| revision.min(incomplete - 1));
        self.complete_through = self.complete_through.max(complete);
    }

    /// Removes and returns the oldest complete transaction.
    pub(crate) fn pop_complete(&mut self) -> Option<(i64, ChangesByKey)> {
        let first = self.revisions.first_entry()?;
        if *first.key() > self.complete_through {
            return None;
        }
        let (revision, changes) = first.remove_entry();
        self.subtract_size(&changes);
        Some((revision, changes))
    }

    fn push_one(&mut self, change: Change) {
        if change.mod_revision <= self.complete_through {
            return;
        }
        let bytes = bytes_of(&change.key, change.value.as_deref());
        let changes = self.revisions.entry(change.mod_revision).or_default();
        if changes.contains_key(&change.key) {
            return;
        }
        changes.insert(change.key, change.value);
        self.changes += 1;
        self.bytes += bytes;
    }

    fn subtract_size(&mut self, changes: &ChangesByKey) {
        self.changes -= changes.len();
        self.bytes -= changes
            .iter()
            .map(|(key, value)| bytes_of(key, value.as_deref()))
            .sum::<usize>();
    }
}

fn bytes_of(key: &[u8], value: Option<&[u8]>) -> usize {
    key.len() + value.map_or(0, <[u8]>::len)
}
