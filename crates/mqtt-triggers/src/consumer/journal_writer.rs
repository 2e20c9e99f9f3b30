//! Passes records to the journal and recovers from failed writes.
//!
//! After a failed append the content of the journal is unknown: the disk may be full, or a sync may have failed. No
//! record is appended after that until a snapshot of the whole state has replaced the journal's content.

use super::{Consumer, HostAction, Notice};
use crate::ledger::Record;
use std::collections::VecDeque;

/// Seconds between a failed write and the attempt to write a snapshot.
const RETRY_AFTER: f64 = 0.5;
/// The fraction of the journal's maximum size at which its entries are replaced by a snapshot.
const SNAPSHOT_THRESHOLD: f64 = 0.5;
/// Bytes that the journal adds to each entry.
const ENTRY_OVERHEAD: u64 = 12;

/// The result of an append operation.
enum Appended {
    /// The record is on the disk.
    Persisted(Record),
    /// The append failed.
    Refused,
    /// The result of a record appended after a failed one, which is known to have failed too, or of no known record.
    Ignored,
}

/// The state of a consumer's journal.
pub(super) struct JournalWriter {
    /// Records passed to the host whose results have not arrived, oldest first.
    outstanding: VecDeque<Record>,
    /// Records that could not be appended, and those created since then.
    refused: VecDeque<Record>,
    /// The number of outstanding results of records that were appended after a failed one: these have failed too.
    refused_results: usize,
    /// The number of refused records, counted from the oldest, that the snapshot being written contains.
    in_snapshot: usize,
    /// When the next snapshot is attempted; `None` while the journal can be written.
    retry_at: Option<f64>,
    /// A snapshot is being written.
    is_replacing: bool,
    /// Bytes of the entries since the last snapshot, bytes of that snapshot, and the maximum of their sum.
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

    /// Whether the journal exceeds its maximum size.
    pub(super) fn is_full(&self) -> bool {
        self.entry_bytes + self.snapshot_bytes > self.most_bytes
    }

    /// Whether a snapshot has to be written now.
    pub(super) fn is_snapshot_due(&self, now: f64) -> bool {
        let retries = self.retry_at.is_some_and(|at| now >= at) && self.refused_results == 0;
        let is_long = self.entry_bytes as f64 > SNAPSHOT_THRESHOLD * self.most_bytes as f64;
        (retries || is_long && !self.is_failing()) && !self.is_replacing
    }

    /// Starts a snapshot of these records, which are on disk, and of those that are not yet. Returns its content.
    pub(super) fn begin_snapshot(&mut self, mut records: Vec<Record>) -> Vec<u8> {
        records.extend(self.outstanding.iter().chain(&self.refused).cloned());
        let snapshot = serde_json::to_vec(&records).unwrap_or_default();
        self.in_snapshot = self.refused.len();
        self.entry_bytes = 0;
        self.snapshot_bytes = snapshot.len() as u64;
        self.is_replacing = true;
        snapshot
    }

    /// Returns the entry to append for a record; `None` while the journal can't be written.
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
        // Records appended after the failed one have failed too. All of them keep their order, before later records.
        self.refused_results = self.outstanding.len();
        self.refused.push_back(record);
        self.refused.append(&mut self.outstanding);
        Appended::Refused
    }

    /// Takes the refused records: those that the new snapshot contains, and those added while it was written.
    fn take_refused(&mut self) -> (VecDeque<Record>, VecDeque<Record>) {
        let mut in_snapshot = std::mem::take(&mut self.refused);
        let missing = in_snapshot.split_off(self.in_snapshot.min(in_snapshot.len()));
        (in_snapshot, missing)
    }
}

impl Consumer {
    /// Passes a record to the journal.
    pub(super) fn persist(&mut self, record: Record) {
        if let Some(entry) = self.journal.append(record) {
            self.host_actions.push_back(HostAction::Append(entry));
        }
    }

    /// Handles the result of the next outstanding `HostAction::Append`.
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

    /// Handles the result of a `HostAction::Replace`.
    ///
    /// Failure mode: after a full disk or a failed sync the content of the journal is unknown, and records on which
    /// guarantees rest may be missing. The snapshot therefore contains the whole state, including the failed records.
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
            // Failure mode: a message that the broker redelivers before it is dispatched would keep its slot in flight
            // forever, as no answer of its invocation frees it.
            self.admission.cancel(*message_id);
            self.deliveries.remove(*message_id);
        }
        let actions = self.ledger.persisted(record);
        self.perform(now, actions);
    }
}
