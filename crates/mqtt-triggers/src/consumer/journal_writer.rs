//! Records on their way to the journal.
//!
//! When the journal refuses an entry, what it holds is not known: the disk may be full, or a sync may have failed.
//! Then no record is appended until a snapshot of all that is in hand has replaced the journal's content.

use super::{Consumer, HostAction, Notice};
use crate::ledger::Record;
use std::collections::VecDeque;

/// Seconds until a snapshot is tried after the journal refused an entry.
const RETRY_AFTER: f64 = 0.5;
/// The part of the journal's bound from which on its entries are replaced by a snapshot.
const SNAPSHOT_THRESHOLD: f64 = 0.5;
/// Bytes that the journal adds to each entry.
const ENTRY_OVERHEAD: u64 = 12;

/// The result of an append.
enum Appended {
    /// The record is on the disk.
    Persisted(Record),
    /// The journal refused the record.
    Refused,
    /// Nothing new: the record was handed over after one that was refused, or none was.
    Ignored,
}

/// The state of a consumer's journal.
pub(super) struct JournalWriter {
    /// Records that were handed to the host, oldest first.
    outstanding: VecDeque<Record>,
    /// Records that the journal refused, and those that came since.
    refused: VecDeque<Record>,
    /// Results to come of records that were handed over after one that was refused: these were refused too.
    refused_results: usize,
    /// The number of refused records, oldest first, that are in the snapshot that is being written.
    in_snapshot: usize,
    /// When a snapshot is tried; set while the journal can't be written.
    retry_at: Option<f64>,
    /// A snapshot is being written.
    is_replacing: bool,
    /// Bytes of the entries since the last snapshot, of that snapshot, and the bound of both.
    entry_bytes: u64,
    snapshot_bytes: u64,
    most_bytes: u64,
}

impl JournalWriter {
    pub(super) fn new(most_bytes: u64) -> JournalWriter {
        JournalWriter {
            outstanding: VecDeque::new(),
            refused: VecDeque::new(),
            refused_results: 0,
            in_snapshot: 0,
            retry_at: None,
            is_replacing: false,
            entry_bytes: 0,
            snapshot_bytes: 0,
            most_bytes,
        }
    }

    /// Whether the journal can't be written.
    pub(super) fn is_failing(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Whether the journal holds more than it may.
    pub(super) fn is_full(&self) -> bool {
        self.entry_bytes + self.snapshot_bytes > self.most_bytes
    }

    /// Whether the journal's content is to be replaced by a snapshot now.
    pub(super) fn is_snapshot_due(&self, now: f64) -> bool {
        let retries = self.retry_at.is_some_and(|at| now >= at) && self.refused_results == 0;
        let is_long = self.entry_bytes as f64 > SNAPSHOT_THRESHOLD * self.most_bytes as f64;
        (retries || is_long && !self.is_failing()) && !self.is_replacing
    }

    /// The snapshot, of records on the disk and those that are not.
    pub(super) fn begin_snapshot(&mut self, mut records: Vec<Record>) -> Vec<u8> {
        records.extend(self.outstanding.iter().chain(&self.refused).cloned());
        let snapshot = serde_json::to_vec(&records).unwrap_or_default();
        self.in_snapshot = self.refused.len();
        self.entry_bytes = 0;
        self.snapshot_bytes = snapshot.len() as u64;
        self.is_replacing = true;
        snapshot
    }

    /// The entry to append for a record; `None` while the journal can't be written.
    fn append(&mut self, record: Record) -> Option<Vec<u8>> {
        if self.is_failing() {
            self.refused.push_back(record);
            return None;
        }
        let entry = serde_json::to_vec(&record).unwrap_or_default();
        self.entry_bytes += entry.len() as u64 + ENTRY_OVERHEAD;
        self.outstanding.push_back(record);
        Some(entry)
    }

    fn appended(&mut self, succeeded: bool) -> Appended {
        if self.refused_results > 0 {
            self.refused_results -= 1;
            return Appended::Ignored;
        }
        let Some(record) = self.outstanding.pop_front() else {
            return Appended::Ignored;
        };
        if succeeded {
            return Appended::Persisted(record);
        }
        // What was handed over after it was refused too. The records stay in their order, before those to come.
        self.refused_results = self.outstanding.len();
        self.refused.push_back(record);
        self.refused.append(&mut self.outstanding);
        Appended::Refused
    }

    /// The refused records that the new snapshot contains, and those that came while it was written.
    fn take_refused(&mut self) -> (VecDeque<Record>, VecDeque<Record>) {
        let mut in_snapshot = std::mem::take(&mut self.refused);
        let missing = in_snapshot.split_off(self.in_snapshot.min(in_snapshot.len()));
        (in_snapshot, missing)
    }
}

impl Consumer {
    /// Hands a record to the journal.
    pub(super) fn persist(&mut self, record: Record) {
        if let Some(entry) = self.journal.append(record) {
            self.host_actions.push_back(HostAction::Append(entry));
        }
    }

    /// The journal has persisted the next of the entries that were handed to it, or it can't.
    pub fn journal_appended(&mut self, now: f64, succeeded: bool) {
        match self.journal.appended(succeeded) {
            Appended::Persisted(record) => self.record_persisted(now, &record),
            Appended::Refused => self.journal_failed(now),
            Appended::Ignored => {}
        }
    }

    fn journal_failed(&mut self, now: f64) {
        if !self.journal.is_failing() {
            self.notices.push_back(Notice::JournalFailed);
        }
        self.journal.retry_at = Some(now + RETRY_AFTER);
        self.next_decision_at = now;
    }

    /// All that the journal holds has been replaced, or could not be.
    ///
    /// Guards promises against a disk that is full or that was not synced: what such a journal holds is not known,
    /// so that all that is in hand is written anew.
    pub fn journal_replaced(&mut self, now: f64, succeeded: bool) {
        self.journal.is_replacing = false;
        if !succeeded {
            self.journal_failed(now);
            return;
        }
        if self.journal.retry_at.take().is_some() {
            self.notices.push_back(Notice::JournalRecovered);
        }
        let (in_snapshot, missing) = self.journal.take_refused();
        for record in missing {
            self.persist(record);
        }
        for record in in_snapshot {
            self.record_persisted(now, &record);
        }
        self.decide(now);
    }

    fn record_persisted(&mut self, now: f64, record: &Record) {
        if let Record::Done { message_id } = record {
            // Guards a place in flight against a message that was given again before it was dispatched.
            self.admission.cancel(*message_id);
            self.deliveries.remove(*message_id);
        }
        let actions = self.ledger.persisted(record);
        self.perform(now, actions);
    }
}
