//! What the answers of reads mean: the store's history is the one that is known, or another; what is missing is
//! staged, and comes into force whole at one revision.

use super::reading::{OpenRead, Reading, Step};
use super::{ConfigSync, Need, Phase};
use crate::keys::{EntryKey, Keyspace, group_of};
use crate::message::{RangeAnswer, RangeEntry, RequestFailure, RequestId};
use crate::report::ReportedState;
use crate::schema::Schema;
use crate::stored::{Stored, StoredEntry};
use std::collections::{BTreeMap, BTreeSet};

/// What is to be done after an answer.
enum Outcome {
    /// More is to be read.
    GoOn,
    /// All is read; so many buckets have digests that don't fit their entries.
    Done { digest_faults: usize },
    /// The store's history isn't the one that is known.
    OtherHistory,
    /// The store holds more than the front end takes.
    TooLarge,
}

impl<S: Schema> ConfigSync<S> {
    /// A read was answered.
    pub fn range_answer(&mut self, now: f64, answer: RangeAnswer) {
        let Some(open) = self.take_open_read(answer.id) else { return };
        self.read_pace.charge(now, answer.bytes as f64);
        match self.judge_answer(&open, answer) {
            Outcome::GoOn => {}
            Outcome::Done { digest_faults } => self.finish_reading(now, digest_faults),
            Outcome::OtherHistory => self.halt(now, ReportedState::StoreSetBack),
            Outcome::TooLarge => {
                self.halt(now, ReportedState::StoreTooLarge);
                self.need = if self.loaded == self.source { Need::CatchUp } else { self.need };
            }
        }
    }

    /// A read or a barrier failed.
    pub fn request_failed(&mut self, now: f64, id: RequestId, failure: RequestFailure) {
        if self.barrier_failed(now, id) || self.take_open_read(id).is_none() {
            return;
        }
        match failure {
            RequestFailure::Unavailable => self.pause_reading(now),
            RequestFailure::Compacted => self.read_was_compacted(now),
            RequestFailure::FutureRevision => self.halt(now, ReportedState::StoreSetBack),
        }
    }

    fn take_open_read(&mut self, id: RequestId) -> Option<OpenRead> {
        let reading = self.reading.as_mut()?;
        reading.open.take_if(|open| open.id == id)
    }

    /// The revision that was read at is gone.
    fn read_was_compacted(&mut self, now: f64) {
        let Some(reading) = &mut self.reading else { return };
        if !reading.is_verification() {
            reading.begin_anew();
            self.pause_reading(now);
            return;
        }
        self.reading = None;
        match self.phase {
            Phase::Following => self.schedule_audit(now),
            // Without the old revision nothing shows that the history is the same.
            _ if self.distrusts => self.halt(now, ReportedState::StoreSetBack),
            _ => {
                self.close_watch();
                self.delay(now, Need::CatchUp);
            }
        }
    }

    fn judge_answer(&mut self, open: &OpenRead, answer: RangeAnswer) -> Outcome {
        let same_cluster = self.source.is_some_and(|source| source.cluster == answer.header.cluster);
        if !same_cluster || answer.header.revision < open.known_revision {
            return Outcome::OtherHistory;
        }
        let Some(mut reading) = self.reading.take() else { return Outcome::GoOn };
        if reading.revision == 0 {
            reading.revision = answer.header.revision;
        }
        reading.learn_size(answer.entries.len(), answer.bytes);
        let last = answer.entries.last().map(|entry| entry.key.clone()).filter(|_| answer.more);
        let outcome = self.take_in(&mut reading, answer.entries, last);
        self.reading = Some(reading);
        outcome
    }

    fn take_in(&mut self, reading: &mut Reading, entries: Vec<RangeEntry>, last: Option<Vec<u8>>) -> Outcome {
        let rest = last.map(|last| reading.range(&self.keyspace).after(&last));
        let is_page = rest.is_some();
        reading.rest = rest;
        match &mut reading.step {
            Step::Digests { .. } => self.take_digests(reading, entries, is_page),
            Step::Scan => self.take_scanned(reading, entries),
            Step::Changed { .. } => self.take_changed(reading, entries, is_page),
            Step::BucketKeys { .. } => self.take_bucket_keys(reading, entries, is_page),
            Step::Buckets { .. } => self.take_bucket(reading, entries, is_page),
        }
    }

    fn take_digests(&self, reading: &mut Reading, entries: Vec<RangeEntry>, is_page: bool) -> Outcome {
        let Step::Digests { read } = &mut reading.step else { return Outcome::GoOn };
        for entry in entries {
            if let Some(group) = self.keyspace.parse_digest(&entry.key) {
                // A value that can't be read leaves zeros: its buckets differ then, and are read.
                read.decode_group(group, &entry.value);
            }
        }
        if is_page {
            return Outcome::GoOn;
        }
        reading.digests = std::mem::take(read);
        if reading.scan.is_some() {
            reading.enter(Step::Scan);
            return Outcome::GoOn;
        }
        enter_changed(reading, &self.keyspace)
    }

    fn take_scanned(&mut self, reading: &mut Reading, entries: Vec<RangeEntry>) -> Outcome {
        let rest = reading.rest.take();
        if self.stage(reading, entries) {
            return Outcome::TooLarge;
        }
        let Some(scan) = &mut reading.scan else { return Outcome::GoOn };
        if scan.began_at == 0 {
            scan.began_at = reading.revision;
        }
        if rest.is_some() {
            scan.rest = rest;
            return Outcome::GoOn;
        }
        reading.changed_from = scan.began_at + 1;
        reading.scan = None;
        enter_changed(reading, &self.keyspace)
    }

    fn take_changed(&mut self, reading: &mut Reading, entries: Vec<RangeEntry>, is_page: bool) -> Outcome {
        if self.stage(reading, entries) {
            return Outcome::TooLarge;
        }
        let Step::Changed { ranges } = &mut reading.step else { return Outcome::GoOn };
        if is_page {
            return Outcome::GoOn;
        }
        ranges.pop_front();
        if !ranges.is_empty() {
            return Outcome::GoOn;
        }
        reading.changed_from = reading.revision + 1;
        enter_bucket_keys(reading)
    }

    /// Puts what was read to what is staged; whether that is more than the front end takes.
    fn stage(&mut self, reading: &mut Reading, entries: Vec<RangeEntry>) -> bool {
        for entry in entries {
            if let Some(entry) = self.read_entry(entry) {
                reading.staged.put(entry);
            }
        }
        self.is_too_large(&reading.staged)
    }

    fn take_bucket_keys(
        &mut self,
        reading: &mut Reading,
        entries: Vec<RangeEntry>,
        is_page: bool,
    ) -> Outcome {
        let Step::BucketKeys { remaining, listed } = &mut reading.step else { return Outcome::GoOn };
        listed.extend(entries.iter().filter_map(|entry| self.keyspace.parse_entry(&entry.key)));
        if is_page {
            return Outcome::GoOn;
        }
        let listed = std::mem::take(listed);
        if let Some(bucket) = remaining.pop_front() {
            let staged = reading.staged.bucket(bucket).iter().map(|entry| entry.key.clone());
            let deleted: Vec<EntryKey> = staged.filter(|key| !listed.contains(key)).collect();
            deleted.iter().for_each(|key| reading.staged.delete(key));
        }
        if remaining.is_empty() { enter_buckets(reading) } else { Outcome::GoOn }
    }

    fn take_bucket(&mut self, reading: &mut Reading, entries: Vec<RangeEntry>, is_page: bool) -> Outcome {
        let Step::Buckets { remaining, entries: collected } = &mut reading.step else { return Outcome::GoOn };
        let Some(bucket) = remaining.front().copied() else { return Outcome::GoOn };
        for entry in entries {
            collected.extend(self.read_entry(entry).filter(|entry| entry.key.bucket() == bucket));
        }
        let is_too_large = collected.len() > self.settings.max_entries;
        if is_page && !is_too_large {
            return Outcome::GoOn;
        }
        let collected = std::mem::take(collected);
        remaining.pop_front();
        let is_last = remaining.is_empty();
        if is_too_large {
            return Outcome::TooLarge;
        }
        if self.shows_other_history(reading, bucket, &collected) {
            return Outcome::OtherHistory;
        }
        reading.staged.replace_bucket(bucket, collected);
        if self.is_too_large(&reading.staged) {
            return Outcome::TooLarge;
        }
        if !is_last {
            return Outcome::GoOn;
        }
        done(reading)
    }

    /// Whether a bucket can't be the known history's. What was written up to the applied revision never changes: an
    /// entry of that age is known as it is, or the history is another one. At the applied revision itself all of
    /// the bucket has to be as it is known. Revisions aren't compared: what was written again with the same value
    /// during a compacted time leaves the digest as it was, and isn't read again.
    fn shows_other_history(&self, reading: &Reading, bucket: usize, read: &[StoredEntry]) -> bool {
        match reading.need {
            Need::Rebase => false,
            Need::Verification => !same_content(reading.staged.bucket(bucket), read),
            Need::CatchUp if self.loaded.is_none() => false,
            Need::CatchUp => {
                let mut old = read.iter().filter(|entry| entry.mod_revision <= self.applied_revision);
                let is_known = |entry: &StoredEntry| {
                    self.stored.get(&entry.key).is_some_and(|known| known.document == entry.document)
                };
                !old.all(is_known)
            }
        }
    }

    fn read_entry(&mut self, entry: RangeEntry) -> Option<StoredEntry> {
        let Some(key) = self.keyspace.parse_entry(&entry.key) else {
            self.note_foreign_key(entry.key, true, entry.mod_revision);
            return None;
        };
        Some(StoredEntry { key, document: entry.value.into(), mod_revision: entry.mod_revision })
    }

    fn finish_reading(&mut self, now: f64, digest_faults: usize) {
        let Some(reading) = self.reading.take() else { return };
        if self.digest_faults != digest_faults {
            self.digest_faults = digest_faults;
            self.mark_report(now);
        }
        if reading.is_verification() {
            self.distrusts = false;
        } else {
            self.adopt(now, reading.staged, reading.revision);
        }
        self.follow(now);
    }

    /// Brings what was staged into force, whole.
    fn adopt(&mut self, now: f64, staged: Stored, revision: i64) {
        self.stored = staged;
        self.applied_revision = revision;
        self.loaded = self.source;
        self.with_applier(revision, |applier, context| applier.apply_all(context));
        self.publish_change(now);
    }

    /// Follows the watch from now on.
    fn follow(&mut self, now: f64) {
        let was_following = self.phase == Phase::Following;
        self.phase = Phase::Following;
        self.fault = None;
        self.need = Need::Verification;
        if !self.watch_is_open && self.reopen_watch_at == f64::INFINITY {
            self.open_watch();
        }
        self.schedule_audit(now);
        if !was_following {
            self.mark_report(now);
        }
        self.apply_backlog(now);
    }
}

/// Reads what was changed in the groups that differ, if revisions tell.
fn enter_changed(reading: &mut Reading, keyspace: &Keyspace) -> Outcome {
    if reading.changed_from == 0 || reading.changed_from > reading.revision {
        return enter_bucket_keys(reading);
    }
    let mut spans: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
    for bucket in reading.digests.differing(reading.staged.digests()) {
        spans.entry(group_of(bucket)).or_insert((bucket, bucket)).1 = bucket;
    }
    if spans.is_empty() {
        return done(reading);
    }
    let range = |(first, last): &(usize, usize)| keyspace.bucket(*first).through(keyspace.bucket(*last));
    let ranges = spans.values().map(range).collect();
    reading.enter(Step::Changed { ranges });
    Outcome::GoOn
}

/// Finds what was deleted, if anything still differs. Another history's keys are known to differ in their values.
fn enter_bucket_keys(reading: &mut Reading) -> Outcome {
    let differing = reading.digests.differing(reading.staged.digests());
    if differing.is_empty() || reading.need != Need::CatchUp {
        return enter_buckets(reading);
    }
    reading.enter(Step::BucketKeys { remaining: differing.into(), listed: BTreeSet::new() });
    Outcome::GoOn
}

/// Reads the buckets that differ, if any do.
fn enter_buckets(reading: &mut Reading) -> Outcome {
    let differing = reading.digests.differing(reading.staged.digests());
    if differing.is_empty() {
        return done(reading);
    }
    reading.enter(Step::Buckets { remaining: differing.into(), entries: vec![] });
    Outcome::GoOn
}

/// Whether two buckets, both sorted by key, hold the same keys and documents.
fn same_content(known: &[StoredEntry], read: &[StoredEntry]) -> bool {
    let same = |(known, read): (&StoredEntry, &StoredEntry)| {
        known.key == read.key && known.document == read.document
    };
    known.len() == read.len() && known.iter().zip(read).all(same)
}

/// All buckets that differed were read whole: where digests still differ, they are at fault.
fn done(reading: &Reading) -> Outcome {
    Outcome::Done { digest_faults: reading.digests.differing(reading.staged.digests()).len() }
}
