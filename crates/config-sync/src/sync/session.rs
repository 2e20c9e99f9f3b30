//! A synchronization session: a sequence of reads that compares the local entries with the store's and fetches what
//! differs (anti-entropy).
//!
//! A session reads digests first. A front end without entries then scans all entries once. A front end with entries
//! goes through these stages: it confirms the keys that digests show as deleted; it reads, in the digest groups that
//! differ, the entries that changed since its revision; it reads the keys of buckets that still differ; and it reads
//! whole buckets if they differ even then. The ranges of one stage don't depend on each other, so several are read at a
//! time.

use super::bucket_pages::BucketPages;
use super::range_read::{OpenRead, PendingRange};
use super::{ConfigSync, Phase, SyncMode};
use crate::action::ReadKind;
use crate::digest::Digests;
use crate::keys::{EntryKey, KeyRange};
use crate::schema::Schema;
use crate::store_copy::{StoreCopy, StoredEntry};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Estimated bytes of an entry on the wire, before any was received.
const INITIAL_ENTRY_BYTES: f64 = 400.0;
/// Bytes of a digest group on the wire.
const DIGEST_GROUP_BYTES: f64 = 330.0;
/// Bytes of a key on the wire without its value.
const KEY_BYTES: f64 = 100.0;
/// Bytes of an answer without entries.
const EMPTY_ANSWER_BYTES: f64 = 100.0;
/// The minimum that a read is charged, in bytes: its request is as long as a small answer.
pub(super) const MIN_READ_BYTES: f64 = 300.0;
/// Weight of the newest answer in the moving average of the entry size.
const ENTRY_SIZE_WEIGHT: f64 = 0.3;
/// Maximum number of entries in one read.
const MAX_READ_LIMIT: f64 = 1_000.0;
/// The first and the longest backoff after a failed read, in seconds. The delay is random, up to twice the backoff.
const INITIAL_BACKOFF: f64 = 0.25;
const MAX_BACKOFF: f64 = 2.0;

/// The stage of a session: what it reads at present.
#[derive(Clone, Debug)]
pub(super) enum SyncStage {
    /// The digests of all buckets.
    Digests {
        /// Digests received so far. Groups that no answer contained have no entries.
        received: Digests,
    },
    /// All entries; only for the first load.
    Scan,
    /// Keys that digests show as deleted, each in a range of its own.
    Deletions {
        /// The keys of each bucket.
        candidates: BTreeMap<usize, Vec<EntryKey>>,
        /// Whether changed entries were read before.
        changes_are_read: bool,
    },
    /// Entries that changed, in the digest groups that differ.
    Changed,
    /// Keys of buckets; local keys that aren't among them were deleted.
    BucketKeys {
        /// Keys received so far.
        listed: BucketPages<EntryKey>,
    },
    /// Whole buckets.
    Buckets {
        /// Entries received so far.
        collected: BucketPages<StoredEntry>,
    },
}

/// The state of a session after an answer.
pub(super) enum StageOutcome {
    /// The session continues.
    Continue,
    /// The session is complete.
    Complete {
        /// Buckets whose digests in the store don't match their entries.
        digest_faults: usize,
    },
    /// The store's history isn't the one that the front end has followed.
    HistoryMismatch,
    /// The store exceeds the front end's limits.
    TooLarge,
}

/// A session of reads at one revision of the store.
#[derive(Clone, Debug)]
pub(super) struct SyncSession {
    pub(super) mode: SyncMode,
    pub(super) stage: SyncStage,
    /// The revision at which the session reads; 0 until the first answer of a catch-up gives it.
    pub(super) revision: i64,
    /// The first revision whose changes are missing; 0 if revisions don't identify the missing changes.
    pub(super) changed_from: i64,
    /// Progress of a first load; `None` if no scan is needed, or it is complete.
    pub(super) scan: Option<Scan>,
    /// The local entries at `revision` (verification), or the local entries with what was read so far (catch-up).
    pub(super) staged: StoreCopy,
    /// The store's digests at `revision`, once they are read.
    pub(super) digests: Digests,
    /// Buckets whose digests showed entries as deleted that the store still has.
    pub(super) false_deletions: BTreeSet<usize>,
    /// Ranges of the present stage that weren't requested yet.
    pub(super) pending: VecDeque<PendingRange>,
    /// Reads in flight.
    pub(super) open: Vec<OpenRead>,
    /// The earliest time of the next read, after a failure.
    pub(super) not_before: f64,
    backoff: f64,
    entry_bytes: f64,
}

/// A scan of all entries. It continues at a newer revision if its own is compacted.
#[derive(Clone, Debug, Default)]
pub(super) struct Scan {
    /// The revision of the first page; entries that changed later have to be read again.
    pub(super) started_at: i64,
    /// The range that remains; `None` before the first page.
    pub(super) rest: Option<KeyRange>,
}

impl SyncSession {
    fn new(
        mode: SyncMode,
        revision: i64,
        changed_from: i64,
        staged: StoreCopy,
        digests: KeyRange,
    ) -> SyncSession {
        let mut session = SyncSession {
            mode,
            stage: SyncStage::Scan,
            revision,
            changed_from,
            scan: None,
            staged,
            digests: Digests::default(),
            false_deletions: BTreeSet::new(),
            pending: VecDeque::new(),
            open: vec![],
            not_before: f64::NEG_INFINITY,
            backoff: INITIAL_BACKOFF,
            entry_bytes: INITIAL_ENTRY_BYTES,
        };
        session.enter_digests(digests);
        session
    }

    /// Whether the session can continue in this mode with what it has staged.
    fn can_continue_in(&self, mode: SyncMode) -> bool {
        self.mode == mode && !self.is_verification()
    }

    pub(super) fn is_verification(&self) -> bool {
        self.mode == SyncMode::Verification
    }

    /// Restarts at the newest revision and keeps what is staged.
    pub(super) fn restart(&mut self, digests: KeyRange) {
        self.revision = 0;
        self.false_deletions.clear();
        self.enter_digests(digests);
    }

    fn enter_digests(&mut self, digests: KeyRange) {
        let stage = SyncStage::Digests {
            received: Digests::default(),
        };
        self.enter(stage, [PendingRange::new(digests, 0, 0)]);
    }

    /// Enters a stage that reads these ranges.
    pub(super) fn enter(
        &mut self,
        stage: SyncStage,
        ranges: impl IntoIterator<Item = PendingRange>,
    ) {
        self.stage = stage;
        self.pending = ranges.into_iter().collect();
        self.open.clear();
    }

    /// Whether all ranges of the present stage are read.
    pub(super) fn is_stage_complete(&self) -> bool {
        self.pending.is_empty() && self.open.is_empty()
    }

    /// The buckets in which the store's digests differ from those of the staged entries.
    pub(super) fn differing_buckets(&self) -> Vec<usize> {
        self.digests.differing(self.staged.digests())
    }

    /// The outcome once all buckets that differed were read. Digests that still differ are wrong.
    pub(super) fn complete(&self) -> StageOutcome {
        StageOutcome::Complete {
            digest_faults: self.differing_buckets().len(),
        }
    }

    /// Updates the estimate of the entry size from an answer, and resets the backoff.
    pub(super) fn record_answer(&mut self, entries: usize, bytes: usize) {
        let has_values = matches!(
            self.stage,
            SyncStage::Scan | SyncStage::Changed | SyncStage::Buckets { .. }
        );
        if entries > 0 && has_values {
            let size = bytes as f64 / entries as f64;
            self.entry_bytes += ENTRY_SIZE_WEIGHT * (size - self.entry_bytes);
        }
        self.backoff = INITIAL_BACKOFF;
    }

    /// Delays further reads after a failure. Reads that fail during a delay count as the same failure. `random` is
    /// uniform in 0 to 1.
    pub(super) fn back_off(&mut self, now: f64, random: f64) {
        if self.not_before > now {
            return;
        }
        self.not_before = now + 2.0 * self.backoff * random;
        self.backoff = (2.0 * self.backoff).min(MAX_BACKOFF);
    }

    /// Estimated bytes of each entry in the present stage's answers.
    fn bytes_per_entry(&self) -> f64 {
        match self.stage {
            SyncStage::Digests { .. } => DIGEST_GROUP_BYTES,
            SyncStage::Deletions { .. } | SyncStage::BucketKeys { .. } => KEY_BYTES,
            SyncStage::Scan | SyncStage::Changed | SyncStage::Buckets { .. } => {
                self.entry_bytes.max(1.0)
            }
        }
    }

    /// The number of entries that fit into one page.
    pub(super) fn limit(&self, page_bytes: f64) -> i64 {
        (page_bytes / self.bytes_per_entry()).clamp(1.0, MAX_READ_LIMIT) as i64
    }

    /// Expected bytes of the answer to the read of a range.
    pub(super) fn expected_bytes(&self, range: &PendingRange, page_bytes: f64) -> f64 {
        match self.stage {
            SyncStage::Digests { .. } | SyncStage::Scan => page_bytes,
            // The key should no longer be there.
            SyncStage::Deletions { .. } => MIN_READ_BYTES,
            SyncStage::Changed | SyncStage::BucketKeys { .. } | SyncStage::Buckets { .. } => {
                let entries = range.expected as f64 * self.bytes_per_entry();
                (EMPTY_ANSWER_BYTES + entries).clamp(MIN_READ_BYTES.min(page_bytes), page_bytes)
            }
        }
    }

    pub(super) fn min_mod_revision(&self) -> i64 {
        match self.stage {
            SyncStage::Changed => self.changed_from,
            _ => 0,
        }
    }

    pub(super) fn reads_keys_only(&self) -> bool {
        matches!(
            self.stage,
            SyncStage::Deletions { .. } | SyncStage::BucketKeys { .. }
        )
    }

    pub(super) fn kind(&self, range: &PendingRange) -> ReadKind {
        match self.stage {
            SyncStage::Digests { .. } => ReadKind::Digests,
            SyncStage::Scan => ReadKind::Scan,
            SyncStage::Deletions { .. } => ReadKind::Deletion,
            SyncStage::Changed => ReadKind::Changed,
            SyncStage::BucketKeys { .. } | SyncStage::Buckets { .. } => {
                ReadKind::Bucket(range.bucket)
            }
        }
    }
}

impl<S: Schema> ConfigSync<S> {
    /// Starts the session that has to precede the watch. It starts slowly, since other front ends may have connected
    /// at the same time.
    pub(super) fn start_session(&mut self, now: f64, mode: SyncMode) {
        self.mode = mode;
        self.phase = Phase::Synchronizing;
        let random = self.random_below(1.0);
        self.read_limiter
            .start_slowly(now, self.settings.spread, random);
        let digests = self.keyspace.digests();
        if let Some(session) = &mut self.session
            && session.can_continue_in(mode)
        {
            session.restart(digests);
            return;
        }
        self.session = Some(self.new_session(mode, digests));
    }

    fn new_session(&self, mode: SyncMode, digests: KeyRange) -> SyncSession {
        let local = self.stored.clone();
        match mode {
            SyncMode::Verification => {
                SyncSession::new(mode, self.applied_revision, 0, local, digests)
            }
            SyncMode::CatchUp if self.view_source.is_some() => {
                SyncSession::new(mode, 0, self.applied_revision + 1, local, digests)
            }
            SyncMode::CatchUp => SyncSession {
                scan: Some(Scan::default()),
                ..SyncSession::new(mode, 0, 0, StoreCopy::default(), digests)
            },
            SyncMode::Rebase => SyncSession::new(mode, 0, 0, local, digests),
        }
    }

    /// Starts a comparison of digests while the watch is followed.
    pub(super) fn start_audit(&mut self) {
        let digests = self.keyspace.digests();
        self.session = Some(self.new_session(SyncMode::Verification, digests));
    }

    /// Abandons the reads in flight. A verification is dropped; a catch-up restarts and keeps what it has read.
    pub(super) fn abandon_reads(&mut self) {
        let digests = self.keyspace.digests();
        let Some(session) = &mut self.session else {
            return;
        };
        if session.is_verification() {
            self.session = None;
        } else {
            session.restart(digests);
        }
    }
}
