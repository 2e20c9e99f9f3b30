//! What the answers of reads mean: the store's history is the one that is known, or another; what is missing is
//! staged, and comes into force whole at one revision.

use super::reading::{LEAST_READ_BYTES, Part, Reading, Step};
use super::requests::OpenRead;
use super::{ConfigSync, Need, Phase};
use crate::keys::EntryKey;
use crate::message::{RangeAnswer, RangeEntry};
use crate::report::ReportedState;
use crate::schema::Schema;
use crate::stored::{Stored, StoredEntry};

/// What is to be done after an answer.
pub(super) enum Outcome {
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
        let Some(open) = self.take_open_read(answer.id) else {
            return;
        };
        let bytes = (answer.bytes as f64).max(LEAST_READ_BYTES);
        self.read_pace.charge(now, bytes - open.charged);
        match self.judge_answer(open, answer) {
            Outcome::GoOn => self.leave_slow_start(now),
            Outcome::Done { digest_faults } => self.finish_reading(now, digest_faults),
            Outcome::OtherHistory => self.halt(now, ReportedState::StoreSetBack),
            Outcome::TooLarge => {
                self.halt(now, ReportedState::StoreTooLarge);
                self.need = if self.loaded == self.source {
                    Need::CatchUp
                } else {
                    self.need
                };
            }
        }
    }

    /// Once digests are read the pace is known to be needed, or not.
    fn leave_slow_start(&mut self, now: f64) {
        let reads_digests = |reading: &Reading| matches!(reading.step, Step::Digests { .. });
        if !self.reading.as_ref().is_some_and(reads_digests) {
            self.read_pace.end_slow_start(now);
        }
    }

    fn judge_answer(&mut self, open: OpenRead, answer: RangeAnswer) -> Outcome {
        let same_cluster = self
            .source
            .is_some_and(|source| source.cluster == answer.header.cluster);
        if !same_cluster || answer.header.revision < open.known_revision {
            return Outcome::OtherHistory;
        }
        let Some(mut reading) = self.reading.take() else {
            return Outcome::GoOn;
        };
        if reading.revision == 0 {
            reading.revision = answer.header.revision;
        }
        reading.learn_size(answer.entries.len(), answer.bytes);
        let last = answer.entries.last().filter(|_| answer.more);
        if let Some(last) = last {
            reading
                .pending
                .push_front(open.part.after(&last.key, answer.entries.len()));
        }
        let is_page = last.is_some();
        let outcome = self.take_in(&mut reading, &open.part, answer.entries, is_page);
        self.reading = Some(reading);
        outcome
    }

    fn take_in(
        &mut self,
        reading: &mut Reading,
        part: &Part,
        entries: Vec<RangeEntry>,
        is_page: bool,
    ) -> Outcome {
        match &reading.step {
            Step::Digests { .. } => self.take_digests(reading, entries),
            Step::Scan => self.take_scanned(reading, entries),
            Step::Deletions { .. } => self.take_deletion(reading, part, entries),
            Step::Changed => self.take_changed(reading, entries),
            Step::BucketKeys { .. } => {
                self.take_bucket_keys(reading, part.bucket, entries, is_page)
            }
            Step::Buckets { .. } => self.take_bucket(reading, part.bucket, entries, is_page),
        }
    }

    fn take_digests(&self, reading: &mut Reading, entries: Vec<RangeEntry>) -> Outcome {
        let is_through = reading.step_is_through();
        let Step::Digests { read } = &mut reading.step else {
            return Outcome::GoOn;
        };
        for entry in entries {
            if let Some(group) = self.keyspace.parse_digest(&entry.key) {
                // A value that can't be read leaves zeros: its buckets differ then, and are read.
                read.decode_group(group, &entry.value);
            }
        }
        if !is_through {
            return Outcome::GoOn;
        }
        reading.digests = std::mem::take(read);
        if let Some(scan) = &reading.scan {
            let rest = scan.rest.clone().unwrap_or_else(|| self.keyspace.entries());
            reading.enter(Step::Scan, [Part::new(rest, 0, 0)]);
            return Outcome::GoOn;
        }
        self.enter_deletions(reading, false)
    }

    fn take_scanned(&mut self, reading: &mut Reading, entries: Vec<RangeEntry>) -> Outcome {
        if self.stage(reading, entries) {
            return Outcome::TooLarge;
        }
        let Some(scan) = &mut reading.scan else {
            return Outcome::GoOn;
        };
        if scan.began_at == 0 {
            scan.began_at = reading.revision;
        }
        if let Some(rest) = reading.pending.front() {
            scan.rest = Some(rest.range.clone());
            return Outcome::GoOn;
        }
        reading.changed_from = scan.began_at + 1;
        reading.scan = None;
        self.enter_changed(reading)
    }

    /// A key that digests showed as deleted was asked for. If it is there, its bucket's digest misleads.
    fn take_deletion(
        &mut self,
        reading: &mut Reading,
        part: &Part,
        entries: Vec<RangeEntry>,
    ) -> Outcome {
        if !entries.is_empty() {
            reading.misleading.insert(part.bucket);
        }
        let is_through = reading.step_is_through();
        let Step::Deletions {
            likely,
            changes_are_read,
        } = &mut reading.step
        else {
            return Outcome::GoOn;
        };
        if !is_through {
            return Outcome::GoOn;
        }
        let changes_are_read = *changes_are_read;
        for (bucket, keys) in std::mem::take(likely) {
            if !reading.misleading.contains(&bucket) {
                keys.iter().for_each(|key| reading.staged.delete(key));
            }
        }
        self.leave_deletions(reading, changes_are_read)
    }

    fn take_changed(&mut self, reading: &mut Reading, entries: Vec<RangeEntry>) -> Outcome {
        if self.stage(reading, entries) {
            return Outcome::TooLarge;
        }
        if !reading.step_is_through() {
            return Outcome::GoOn;
        }
        reading.changed_from = reading.revision + 1;
        self.enter_deletions(reading, true)
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
        bucket: usize,
        entries: Vec<RangeEntry>,
        is_page: bool,
    ) -> Outcome {
        let Step::BucketKeys { listed } = &mut reading.step else {
            return Outcome::GoOn;
        };
        let of_bucket = listed.entry(bucket).or_default();
        of_bucket.extend(
            entries
                .iter()
                .filter_map(|entry| self.keyspace.parse_entry(&entry.key)),
        );
        if is_page {
            return Outcome::GoOn;
        }
        let of_bucket = listed.remove(&bucket).unwrap_or_default();
        let staged = reading
            .staged
            .bucket(bucket)
            .iter()
            .map(|entry| entry.key.clone());
        let deleted: Vec<EntryKey> = staged.filter(|key| !of_bucket.contains(key)).collect();
        deleted.iter().for_each(|key| reading.staged.delete(key));
        if reading.step_is_through() {
            self.enter_buckets(reading)
        } else {
            Outcome::GoOn
        }
    }

    fn take_bucket(
        &mut self,
        reading: &mut Reading,
        bucket: usize,
        entries: Vec<RangeEntry>,
        is_page: bool,
    ) -> Outcome {
        let Step::Buckets { collected } = &mut reading.step else {
            return Outcome::GoOn;
        };
        let of_bucket = collected.entry(bucket).or_default();
        for entry in entries {
            of_bucket.extend(
                self.read_entry(entry)
                    .filter(|entry| entry.key.bucket() == bucket),
            );
        }
        let is_too_large = of_bucket.len() > self.settings.max_entries;
        if is_page && !is_too_large {
            return Outcome::GoOn;
        }
        let of_bucket = collected.remove(&bucket).unwrap_or_default();
        if is_too_large {
            return Outcome::TooLarge;
        }
        if self.shows_other_history(reading, bucket, &of_bucket) {
            return Outcome::OtherHistory;
        }
        reading.staged.replace_bucket(bucket, of_bucket);
        if self.is_too_large(&reading.staged) {
            return Outcome::TooLarge;
        }
        if reading.step_is_through() {
            done(reading)
        } else {
            Outcome::GoOn
        }
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
                let mut old = read
                    .iter()
                    .filter(|entry| entry.mod_revision <= self.applied_revision);
                let is_known = |entry: &StoredEntry| {
                    self.stored
                        .get(&entry.key)
                        .is_some_and(|known| known.document == entry.document)
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
        Some(StoredEntry {
            key,
            document: entry.value.into(),
            mod_revision: entry.mod_revision,
        })
    }

    fn finish_reading(&mut self, now: f64, digest_faults: usize) {
        let Some(reading) = self.reading.take() else {
            return;
        };
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

/// Whether two buckets, both sorted by key, hold the same keys and documents.
fn same_content(known: &[StoredEntry], read: &[StoredEntry]) -> bool {
    let same = |(known, read): (&StoredEntry, &StoredEntry)| {
        known.key == read.key && known.document == read.document
    };
    known.len() == read.len() && known.iter().zip(read).all(same)
}

/// All buckets that differed were read whole: where digests still differ, they are at fault.
pub(super) fn done(reading: &Reading) -> Outcome {
    Outcome::Done {
        digest_faults: reading.digests.differing(reading.staged.digests()).len(),
    }
}
