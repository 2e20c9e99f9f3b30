//! Handles the answers to reads: detects that the store has another history, stages the entries that are missing, and
//! puts them into force together, at one revision.

use super::range_read::{OpenRead, PendingRange};
use super::session::{MIN_READ_BYTES, StageOutcome, SyncSession, SyncStage};
use super::{ConfigSync, Phase, SyncMode};
use crate::keys::EntryKey;
use crate::message::{RangeAnswer, RangeEntry};
use crate::report::ReportedState;
use crate::schema::Schema;
use crate::store_copy::{StoreCopy, StoredEntry};
use std::collections::BTreeSet;

/// A page of a bucket's keys or entries.
struct BucketPage {
    bucket: usize,
    entries: Vec<RangeEntry>,
    is_last: bool,
}

impl<S: Schema> ConfigSync<S> {
    /// Handles the answer to an [`Action::Read`](crate::Action::Read).
    pub fn on_range_answer(&mut self, now: f64, answer: RangeAnswer) {
        let Some(open) = self.take_open_read(answer.id) else {
            return;
        };
        let bytes = (answer.bytes as f64).max(MIN_READ_BYTES);
        self.read_limiter.charge(now, bytes - open.charged);
        match self.process_answer(open, answer) {
            StageOutcome::Continue => self.end_slow_start(now),
            StageOutcome::Complete { digest_faults } => self.finish_session(now, digest_faults),
            StageOutcome::HistoryMismatch => self.halt(now, ReportedState::StoreRolledBack),
            StageOutcome::TooLarge => {
                self.halt(now, ReportedState::StoreTooLarge);
                if self.view_source == self.source {
                    self.mode = SyncMode::CatchUp;
                }
            }
        }
    }

    /// Ends the slow start once the digests show that something has to be read.
    fn end_slow_start(&mut self, now: f64) {
        let reads_digests =
            |session: &SyncSession| matches!(session.stage, SyncStage::Digests { .. });
        if !self.session.as_ref().is_some_and(reads_digests) {
            self.read_limiter.end_slow_start(now);
        }
    }

    fn process_answer(&mut self, open: OpenRead, answer: RangeAnswer) -> StageOutcome {
        let is_same_cluster = self
            .source
            .is_some_and(|source| source.cluster == answer.header.cluster);
        if !is_same_cluster || answer.header.revision < open.known_revision {
            return StageOutcome::HistoryMismatch;
        }
        let Some(mut session) = self.session.take() else {
            return StageOutcome::Continue;
        };
        if session.revision == 0 {
            session.revision = answer.header.revision;
        }
        session.record_answer(answer.entries.len(), answer.bytes);
        let last = answer.entries.last().filter(|_| answer.more);
        if let Some(last) = last {
            let rest = open.range.after_page(&last.key, answer.entries.len());
            session.pending.push_front(rest);
        }
        let is_last_page = last.is_none();
        let outcome = self.process_page(&mut session, &open.range, answer.entries, is_last_page);
        self.session = Some(session);
        outcome
    }

    fn process_page(
        &mut self,
        session: &mut SyncSession,
        range: &PendingRange,
        entries: Vec<RangeEntry>,
        is_last: bool,
    ) -> StageOutcome {
        let bucket = range.bucket;
        let page = BucketPage {
            bucket,
            entries,
            is_last,
        };
        match &session.stage {
            SyncStage::Digests { .. } => self.process_digests(session, page.entries),
            SyncStage::Scan => self.process_scan(session, page.entries),
            SyncStage::Deletions { .. } => self.process_deletion(session, bucket, page.entries),
            SyncStage::Changed => self.process_changed(session, page.entries),
            SyncStage::BucketKeys { .. } => self.process_bucket_keys(session, page),
            SyncStage::Buckets { .. } => self.process_bucket(session, page),
        }
    }

    fn process_digests(&self, session: &mut SyncSession, entries: Vec<RangeEntry>) -> StageOutcome {
        let is_complete = session.is_stage_complete();
        let SyncStage::Digests { received } = &mut session.stage else {
            return StageOutcome::Continue;
        };
        for entry in entries {
            if let Some(group) = self.keyspace.parse_digest(&entry.key) {
                // A value that can't be decoded leaves zeros: its buckets differ then, and are read.
                received.decode_group(group, &entry.value);
            }
        }
        if !is_complete {
            return StageOutcome::Continue;
        }
        session.digests = std::mem::take(received);
        if let Some(scan) = &session.scan {
            let rest = scan.rest.clone();
            let rest = rest.unwrap_or_else(|| self.keyspace.entries());
            session.enter(SyncStage::Scan, [PendingRange::new(rest, 0, 0)]);
            return StageOutcome::Continue;
        }
        self.enter_deletions(session, false)
    }

    fn process_scan(
        &mut self,
        session: &mut SyncSession,
        entries: Vec<RangeEntry>,
    ) -> StageOutcome {
        if self.stage_entries(session, entries) {
            return StageOutcome::TooLarge;
        }
        let Some(scan) = &mut session.scan else {
            return StageOutcome::Continue;
        };
        if scan.started_at == 0 {
            scan.started_at = session.revision;
        }
        if let Some(rest) = session.pending.front() {
            scan.rest = Some(rest.range.clone());
            return StageOutcome::Continue;
        }
        session.changed_from = scan.started_at + 1;
        session.scan = None;
        self.enter_changed(session)
    }

    /// Handles the read of a key that digests showed as deleted. If the key exists, the digest of its bucket is wrong.
    fn process_deletion(
        &mut self,
        session: &mut SyncSession,
        bucket: usize,
        entries: Vec<RangeEntry>,
    ) -> StageOutcome {
        if !entries.is_empty() {
            session.false_deletions.insert(bucket);
        }
        let is_complete = session.is_stage_complete();
        let SyncStage::Deletions {
            candidates,
            changes_are_read,
        } = &mut session.stage
        else {
            return StageOutcome::Continue;
        };
        if !is_complete {
            return StageOutcome::Continue;
        }
        let changes_are_read = *changes_are_read;
        for (bucket, keys) in std::mem::take(candidates) {
            if !session.false_deletions.contains(&bucket) {
                keys.iter().for_each(|key| session.staged.delete(key));
            }
        }
        self.leave_deletions(session, changes_are_read)
    }

    fn process_changed(
        &mut self,
        session: &mut SyncSession,
        entries: Vec<RangeEntry>,
    ) -> StageOutcome {
        if self.stage_entries(session, entries) {
            return StageOutcome::TooLarge;
        }
        if !session.is_stage_complete() {
            return StageOutcome::Continue;
        }
        session.changed_from = session.revision + 1;
        self.enter_deletions(session, true)
    }

    /// Stages entries; whether the staged entries exceed the front end's limits.
    fn stage_entries(&mut self, session: &mut SyncSession, entries: Vec<RangeEntry>) -> bool {
        for entry in entries {
            if let Some(entry) = self.read_entry(entry) {
                session.staged.put(entry);
            }
        }
        self.is_too_large(&session.staged)
    }

    fn process_bucket_keys(&self, session: &mut SyncSession, page: BucketPage) -> StageOutcome {
        let SyncStage::BucketKeys { listed } = &mut session.stage else {
            return StageOutcome::Continue;
        };
        let keys = page
            .entries
            .iter()
            .filter_map(|entry| self.keyspace.parse_entry(&entry.key));
        listed.add(page.bucket, keys);
        if !page.is_last {
            return StageOutcome::Continue;
        }
        let listed: BTreeSet<EntryKey> = listed.take(page.bucket).into_iter().collect();
        let deleted: Vec<EntryKey> = session
            .staged
            .bucket(page.bucket)
            .iter()
            .map(|entry| entry.key.clone())
            .filter(|key| !listed.contains(key))
            .collect();
        for key in &deleted {
            session.staged.delete(key);
        }
        if session.is_stage_complete() {
            self.enter_buckets(session)
        } else {
            StageOutcome::Continue
        }
    }

    fn process_bucket(&mut self, session: &mut SyncSession, page: BucketPage) -> StageOutcome {
        let SyncStage::Buckets { collected } = &mut session.stage else {
            return StageOutcome::Continue;
        };
        let bucket = page.bucket;
        let entries = page
            .entries
            .into_iter()
            .filter_map(|entry| self.read_entry(entry))
            .filter(|entry| entry.key.bucket() == bucket);
        let count = collected.add(bucket, entries);
        if count > self.settings.max_entries {
            return StageOutcome::TooLarge;
        }
        if !page.is_last {
            return StageOutcome::Continue;
        }
        let entries = collected.take(bucket);
        if self.is_other_history(session, bucket, &entries) {
            return StageOutcome::HistoryMismatch;
        }
        session.staged.replace_bucket(bucket, entries);
        if self.is_too_large(&session.staged) {
            return StageOutcome::TooLarge;
        }
        if session.is_stage_complete() {
            session.complete()
        } else {
            StageOutcome::Continue
        }
    }

    /// Whether a bucket can't belong to the known history. In the same history, each entry that was written up to the
    /// applied revision is known with the same document, and at the applied revision itself the whole bucket equals the
    /// known one. Revisions aren't compared: an entry that was rewritten with the same value in a compacted range of
    /// revisions leaves the digest unchanged, and therefore isn't read again.
    fn is_other_history(
        &self,
        session: &SyncSession,
        bucket: usize,
        received: &[StoredEntry],
    ) -> bool {
        match session.mode {
            SyncMode::Rebase => false,
            SyncMode::Verification => !has_same_content(session.staged.bucket(bucket), received),
            SyncMode::CatchUp if self.view_source.is_none() => false,
            SyncMode::CatchUp => {
                let is_known = |entry: &StoredEntry| {
                    self.stored
                        .get(&entry.key)
                        .is_some_and(|known| known.document == entry.document)
                };
                received
                    .iter()
                    .filter(|entry| entry.mod_revision <= self.applied_revision)
                    .any(|entry| !is_known(entry))
            }
        }
    }

    fn read_entry(&mut self, entry: RangeEntry) -> Option<StoredEntry> {
        let Some(key) = self.keyspace.parse_entry(&entry.key) else {
            self.record_invalid_key(entry.key, true, entry.mod_revision);
            return None;
        };
        Some(StoredEntry {
            key,
            document: entry.value.into(),
            mod_revision: entry.mod_revision,
        })
    }

    fn finish_session(&mut self, now: f64, digest_faults: usize) {
        let Some(session) = self.session.take() else {
            return;
        };
        if self.digest_faults != digest_faults {
            self.digest_faults = digest_faults;
            self.schedule_report(now);
        }
        if session.is_verification() {
            self.is_history_suspect = false;
        } else {
            self.adopt(now, session.staged, session.revision);
        }
        self.follow(now);
    }

    /// Puts the staged entries into force, all at once.
    fn adopt(&mut self, now: f64, staged: StoreCopy, revision: i64) {
        self.stored = staged;
        self.applied_revision = revision;
        self.view_source = self.source;
        self.with_applier(revision, |applier, context| applier.apply_all(context));
        self.publish_change(now);
    }

    /// Starts to follow the watch, and opens it if necessary.
    fn follow(&mut self, now: f64) {
        let was_following = self.phase == Phase::Following;
        self.phase = Phase::Following;
        self.halt_reason = None;
        self.mode = SyncMode::Verification;
        if !self.watch_is_open && self.reopen_watch_at == f64::INFINITY {
            self.open_watch();
        }
        self.schedule_audit(now);
        if !was_following {
            self.schedule_report(now);
        }
        self.apply_backlog(now);
    }
}

/// Whether two buckets, both sorted by key, have the same keys and documents.
fn has_same_content(known: &[StoredEntry], received: &[StoredEntry]) -> bool {
    let is_same = |(known, received): (&StoredEntry, &StoredEntry)| {
        known.key == received.key && known.document == received.document
    };
    known.len() == received.len() && known.iter().zip(received).all(is_same)
}
