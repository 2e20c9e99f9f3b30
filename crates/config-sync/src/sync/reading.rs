//! What is read, in which order: the steps of a run of reads, and the ranges of each.
//!
//! Digests come first. A front end that has nothing reads all entries once. One that has something asks for the keys that
//! digests show as deleted; then it reads, of the groups in which digests differ, what was changed since; then the keys of
//! buckets that still differ; then what differs even so, whole. The ranges of one step don't depend on each other:
//! several are read at a time.

use super::requests::OpenRead;
use super::{ConfigSync, Need, Phase};
use crate::action::ReadKind;
use crate::digest::Digests;
use crate::keys::{EntryKey, KeyRange};
use crate::schema::Schema;
use crate::stored::{Stored, StoredEntry};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Bytes of an entry on the wire before any was seen, and of a digest group.
const ENTRY_BYTES_GUESS: f64 = 400.0;
const DIGEST_GROUP_BYTES: f64 = 330.0;
/// Bytes of a key on the wire without its value, and of an answer without entries.
const KEY_BYTES: f64 = 100.0;
const ANSWER_BYTES: f64 = 100.0;
/// Bytes that a read counts at the least: its question takes as much as a small answer.
pub(super) const LEAST_READ_BYTES: f64 = 300.0;
/// The weight of the newest answer in the mean size of entries.
const NEWEST_WEIGHT: f64 = 0.3;
/// Entries that one read asks for at most.
const MAX_LIMIT: f64 = 1_000.0;
/// The first and the longest pause after a failed read, in seconds; each is drawn up to its double.
const FIRST_PAUSE: f64 = 0.25;
const LONGEST_PAUSE: f64 = 2.0;

/// What is read now.
#[derive(Clone, Debug)]
pub(super) enum Step {
    Digests {
        /// Groups that the answers so far left out hold no entries.
        read: Digests,
    },
    /// All entries; for the first load only.
    Scan,
    /// Keys that digests show as deleted, one a range.
    Deletions {
        /// The keys of each bucket.
        likely: BTreeMap<usize, Vec<EntryKey>>,
        /// What was changed was read before.
        changes_are_read: bool,
    },
    /// What was changed in the groups that differ.
    Changed,
    /// Keys of buckets; what isn't among them was deleted.
    BucketKeys {
        /// What was read so far, by bucket.
        listed: BTreeMap<usize, BTreeSet<EntryKey>>,
    },
    /// Whole buckets.
    Buckets {
        /// What was read so far, by bucket.
        collected: BTreeMap<usize, Vec<StoredEntry>>,
    },
}

/// A range of the present step that is to be read.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub(super) range: KeyRange,
    /// The bucket that it is of, where a step reads buckets.
    pub(super) bucket: usize,
    /// Entries that it is expected to hold.
    pub(super) expected: usize,
}

impl Part {
    pub(super) fn new(range: KeyRange, bucket: usize, expected: usize) -> Part {
        Part {
            range,
            bucket,
            expected,
        }
    }

    /// What is left of it behind a page that ended with this key.
    pub(super) fn after(&self, last: &[u8], read: usize) -> Part {
        let expected = self.expected.saturating_sub(read).max(1);
        Part {
            range: self.range.after(last),
            bucket: self.bucket,
            expected,
        }
    }
}

/// A run of reads at one revision of the store.
#[derive(Clone, Debug)]
pub(super) struct Reading {
    pub(super) need: Need,
    pub(super) step: Step,
    /// The revision that is read at; 0 until the first answer of a catch-up names it.
    pub(super) revision: i64,
    /// Changes at this revision or later are missing; 0 if revisions tell nothing about what is known.
    pub(super) changed_from: i64,
    /// Where a first load stands; `None` if none is wanted, or it is through.
    pub(super) scan: Option<Scan>,
    /// What was known at `revision` (verification), or what was known and read so far (catch-up).
    pub(super) staged: Stored,
    /// The store's digests at `revision`, once they are read.
    pub(super) digests: Digests,
    /// Buckets whose digests showed deletions of entries that are still there.
    pub(super) misleading: BTreeSet<usize>,
    /// What the present step has still to ask for.
    pub(super) pending: VecDeque<Part>,
    /// What was asked and not answered.
    pub(super) open: Vec<OpenRead>,
    /// Not before this time, after a failure.
    pub(super) not_before: f64,
    pause: f64,
    entry_bytes: f64,
}

/// A scan of all entries, which goes on at a newer revision when its own is compacted.
#[derive(Clone, Debug, Default)]
pub(super) struct Scan {
    /// The revision of its first page: what was changed later has to be read again.
    pub(super) began_at: i64,
    /// Where the next page begins.
    pub(super) rest: Option<KeyRange>,
}

impl Reading {
    fn new(
        need: Need,
        revision: i64,
        changed_from: i64,
        staged: Stored,
        digests: KeyRange,
    ) -> Reading {
        let mut reading = Reading {
            need,
            step: Step::Scan,
            revision,
            changed_from,
            scan: None,
            staged,
            digests: Digests::default(),
            misleading: BTreeSet::new(),
            pending: VecDeque::new(),
            open: vec![],
            not_before: f64::NEG_INFINITY,
            pause: FIRST_PAUSE,
            entry_bytes: ENTRY_BYTES_GUESS,
        };
        reading.enter_digests(digests);
        reading
    }

    /// Whether what is staged serves this need.
    fn goes_on_with(&self, need: Need) -> bool {
        self.need == need && !self.is_verification()
    }

    pub(super) fn is_verification(&self) -> bool {
        self.need == Need::Verification
    }

    /// Begins anew at the newest revision; what is staged stays.
    pub(super) fn begin_anew(&mut self, digests: KeyRange) {
        self.revision = 0;
        self.misleading.clear();
        self.enter_digests(digests);
    }

    fn enter_digests(&mut self, digests: KeyRange) {
        self.enter(
            Step::Digests {
                read: Digests::default(),
            },
            [Part::new(digests, 0, 0)],
        );
    }

    /// Goes on with what comes next.
    pub(super) fn enter(&mut self, step: Step, parts: impl IntoIterator<Item = Part>) {
        self.step = step;
        self.pending = parts.into_iter().collect();
        self.open.clear();
    }

    /// Whether all of the present step was answered.
    pub(super) fn step_is_through(&self) -> bool {
        self.pending.is_empty() && self.open.is_empty()
    }

    /// Learns the size of entries from an answer.
    pub(super) fn learn_size(&mut self, entries: usize, bytes: usize) {
        let has_values = matches!(self.step, Step::Scan | Step::Changed | Step::Buckets { .. });
        if entries > 0 && has_values {
            let size = bytes as f64 / entries as f64;
            self.entry_bytes += NEWEST_WEIGHT * (size - self.entry_bytes);
        }
        self.pause = FIRST_PAUSE;
    }

    /// Waits a while after a failed read. Reads that fail together are one failure.
    pub(super) fn pause(&mut self, now: f64, part: f64) {
        if self.not_before > now {
            return;
        }
        self.not_before = now + 2.0 * self.pause * part;
        self.pause = (2.0 * self.pause).min(LONGEST_PAUSE);
    }

    /// Bytes of an entry in the present step's answers.
    fn bytes_each(&self) -> f64 {
        match self.step {
            Step::Digests { .. } => DIGEST_GROUP_BYTES,
            Step::Deletions { .. } | Step::BucketKeys { .. } => KEY_BYTES,
            Step::Scan | Step::Changed | Step::Buckets { .. } => self.entry_bytes.max(1.0),
        }
    }

    /// Entries that fit one page.
    pub(super) fn limit(&self, page_bytes: f64) -> i64 {
        (page_bytes / self.bytes_each()).clamp(1.0, MAX_LIMIT) as i64
    }

    /// Bytes that the answer to the next read should have.
    pub(super) fn expected_bytes(&self, part: &Part, page_bytes: f64) -> f64 {
        match self.step {
            Step::Digests { .. } | Step::Scan => page_bytes,
            // The key should be gone.
            Step::Deletions { .. } => LEAST_READ_BYTES,
            Step::Changed | Step::BucketKeys { .. } | Step::Buckets { .. } => {
                let entries = part.expected as f64 * self.bytes_each();
                (ANSWER_BYTES + entries).clamp(LEAST_READ_BYTES.min(page_bytes), page_bytes)
            }
        }
    }

    pub(super) fn min_mod_revision(&self) -> i64 {
        match self.step {
            Step::Changed => self.changed_from,
            _ => 0,
        }
    }

    pub(super) fn reads_keys_only(&self) -> bool {
        matches!(self.step, Step::Deletions { .. } | Step::BucketKeys { .. })
    }

    pub(super) fn kind(&self, part: &Part) -> ReadKind {
        match self.step {
            Step::Digests { .. } => ReadKind::Digests,
            Step::Scan => ReadKind::Scan,
            Step::Deletions { .. } => ReadKind::Deletion,
            Step::Changed => ReadKind::Changed,
            Step::BucketKeys { .. } | Step::Buckets { .. } => ReadKind::Bucket(part.bucket),
        }
    }
}

impl<S: Schema> ConfigSync<S> {
    /// Begins what is needed before the watch is followed: slowly, as others may have come together with this one.
    pub(super) fn start_reading(&mut self, now: f64, need: Need) {
        self.need = need;
        self.phase = Phase::Reading;
        let part = self.draw(1.0);
        self.read_pace.start_slowly(now, self.settings.spread, part);
        let digests = self.keyspace.digests();
        if let Some(reading) = self
            .reading
            .as_mut()
            .filter(|reading| reading.goes_on_with(need))
        {
            reading.begin_anew(digests);
            return;
        }
        self.reading = Some(self.new_reading(need, digests));
    }

    fn new_reading(&self, need: Need, digests: KeyRange) -> Reading {
        let known = self.stored.clone();
        match need {
            Need::Verification => Reading::new(need, self.applied_revision, 0, known, digests),
            Need::CatchUp if self.loaded.is_some() => {
                Reading::new(need, 0, self.applied_revision + 1, known, digests)
            }
            Need::CatchUp => {
                let reading = Reading::new(need, 0, 0, Stored::default(), digests);
                Reading {
                    scan: Some(Scan::default()),
                    ..reading
                }
            }
            Need::Rebase => Reading::new(need, 0, 0, known, digests),
        }
    }

    /// Compares digests while the watch is followed.
    pub(super) fn begin_audit(&mut self) {
        self.reading = Some(self.new_reading(Need::Verification, self.keyspace.digests()));
    }

    /// What was asked is not waited for; a verification begins anew, a catch-up keeps what it has read.
    pub(super) fn forget_reads(&mut self) {
        if self.reading.as_ref().is_some_and(Reading::is_verification) {
            self.reading = None;
        }
        let digests = self.keyspace.digests();
        if let Some(reading) = &mut self.reading {
            reading.begin_anew(digests);
        }
    }
}
