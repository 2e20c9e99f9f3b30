//! Reads, one after another and at the pace.
//!
//! Digests come first. A front end that has nothing reads all entries once. One that has something reads, of the
//! groups in which digests differ, what was changed since; then the keys of buckets that still differ, where something
//! was deleted; then what differs even so, whole.

use super::{ConfigSync, Need, Phase};
use crate::action::{Action, ReadKind, ReadRequest};
use crate::digest::Digests;
use crate::keys::{EntryKey, KeyRange, Keyspace};
use crate::message::{RequestFailure, RequestId};
use crate::schema::Schema;
use crate::stored::{Stored, StoredEntry};
use std::collections::{BTreeSet, VecDeque};

/// Bytes of an entry on the wire before any was seen, and of a digest group.
const ENTRY_BYTES_GUESS: f64 = 400.0;
const DIGEST_GROUP_BYTES: f64 = 330.0;
/// Bytes of a key on the wire without its value.
const KEY_BYTES: f64 = 100.0;
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
    /// What was changed, in these ranges, the first one now.
    Changed { ranges: VecDeque<KeyRange> },
    /// Keys of buckets; what isn't among them was deleted.
    BucketKeys {
        /// Buckets to be read, the first one now.
        remaining: VecDeque<usize>,
        /// What was read of the first.
        listed: BTreeSet<EntryKey>,
    },
    Buckets {
        /// Buckets to be read, the first one now.
        remaining: VecDeque<usize>,
        /// What was read of the first.
        entries: Vec<StoredEntry>,
    },
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
    /// Where the next page begins.
    pub(super) rest: Option<KeyRange>,
    /// The store's digests at `revision`, once they are read.
    pub(super) digests: Digests,
    pub(super) open: Option<OpenRead>,
    /// Not before this time, after a failure.
    not_before: f64,
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

/// A read that isn't answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenRead {
    pub(super) id: RequestId,
    deadline: f64,
    /// Applied when it was asked: a linearizable answer can't be older in the same history.
    pub(super) known_revision: i64,
}

impl Reading {
    pub(super) fn new(need: Need, revision: i64, changed_from: i64, staged: Stored) -> Reading {
        Reading {
            need,
            step: Step::Digests { read: Digests::default() },
            revision,
            changed_from,
            scan: None,
            staged,
            rest: None,
            digests: Digests::default(),
            open: None,
            not_before: f64::NEG_INFINITY,
            pause: FIRST_PAUSE,
            entry_bytes: ENTRY_BYTES_GUESS,
        }
    }

    /// Reads everything.
    fn first_load() -> Reading {
        let reading = Reading::new(Need::CatchUp, 0, 0, Stored::default());
        Reading { scan: Some(Scan::default()), ..reading }
    }

    /// Whether what is staged serves this need.
    fn goes_on_with(&self, need: Need) -> bool {
        self.need == need && !self.is_verification()
    }

    pub(super) fn is_verification(&self) -> bool {
        self.need == Need::Verification
    }

    /// Begins anew at the newest revision; what is staged stays.
    pub(super) fn begin_anew(&mut self) {
        self.step = Step::Digests { read: Digests::default() };
        (self.revision, self.rest, self.open) = (0, None, None);
    }

    /// Goes on with what comes next.
    pub(super) fn enter(&mut self, step: Step) {
        (self.step, self.rest) = (step, None);
    }

    /// Learns the size of entries from an answer.
    pub(super) fn learn_size(&mut self, entries: usize, bytes: usize) {
        let has_values = !matches!(self.step, Step::Digests { .. } | Step::BucketKeys { .. });
        if entries > 0 && has_values {
            let size = bytes as f64 / entries as f64;
            self.entry_bytes += NEWEST_WEIGHT * (size - self.entry_bytes);
        }
        self.pause = FIRST_PAUSE;
    }

    /// Entries that fit one page.
    fn limit(&self, page_bytes: f64) -> i64 {
        let each = match self.step {
            Step::Digests { .. } => DIGEST_GROUP_BYTES,
            Step::BucketKeys { .. } => KEY_BYTES,
            Step::Scan | Step::Changed { .. } | Step::Buckets { .. } => self.entry_bytes.max(1.0),
        };
        (page_bytes / each).clamp(1.0, MAX_LIMIT) as i64
    }

    /// The range of the next read.
    pub(super) fn range(&self, keyspace: &Keyspace) -> KeyRange {
        let scanned = self.scan.as_ref().and_then(|scan| scan.rest.clone());
        let whole = match &self.step {
            Step::Digests { .. } => keyspace.digests(),
            Step::Scan => return scanned.unwrap_or_else(|| keyspace.entries()),
            Step::Changed { ranges } => ranges.front().cloned().unwrap_or_else(|| keyspace.entries()),
            Step::BucketKeys { remaining, .. } | Step::Buckets { remaining, .. } => {
                keyspace.bucket(remaining.front().copied().unwrap_or(0))
            }
        };
        self.rest.clone().unwrap_or(whole)
    }

    fn min_mod_revision(&self) -> i64 {
        match self.step {
            Step::Changed { .. } => self.changed_from,
            _ => 0,
        }
    }

    fn kind(&self) -> ReadKind {
        match &self.step {
            Step::Digests { .. } => ReadKind::Digests,
            Step::Scan => ReadKind::Scan,
            Step::Changed { .. } => ReadKind::Changed,
            Step::BucketKeys { remaining, .. } | Step::Buckets { remaining, .. } => {
                ReadKind::Bucket(remaining.front().copied().unwrap_or(0))
            }
        }
    }
}

impl<S: Schema> ConfigSync<S> {
    /// Begins what is needed before the watch is followed.
    pub(super) fn begin_reading(&mut self) {
        self.phase = Phase::Reading;
        if let Some(reading) = self.reading.as_mut().filter(|reading| reading.goes_on_with(self.need)) {
            reading.begin_anew();
            return;
        }
        self.reading = Some(match self.need {
            Need::Verification => Reading::new(self.need, self.applied_revision, 0, self.stored.clone()),
            Need::CatchUp if self.loaded.is_some() => {
                Reading::new(self.need, 0, self.applied_revision + 1, self.stored.clone())
            }
            Need::CatchUp => Reading::first_load(),
            Need::Rebase => Reading::new(self.need, 0, 0, self.stored.clone()),
        });
    }

    /// Compares digests while the watch is followed.
    pub(super) fn begin_audit(&mut self) {
        let staged = self.stored.clone();
        self.reading = Some(Reading::new(Need::Verification, self.applied_revision, 0, staged));
    }

    /// When something is to be done about reads.
    pub(super) fn read_timer(&self) -> f64 {
        let Some(reading) = &self.reading else { return f64::INFINITY };
        if !matches!(self.phase, Phase::Reading | Phase::Following) {
            return f64::INFINITY;
        }
        match reading.open {
            Some(open) => open.deadline,
            None => self.read_pace.ready_at(self.settings.page_bytes).max(reading.not_before),
        }
    }

    pub(super) fn run_read_timer(&mut self, now: f64) {
        if now < self.read_timer() {
            return;
        }
        match self.reading.as_ref().and_then(|reading| reading.open) {
            Some(open) => self.request_failed(now, open.id, RequestFailure::Unavailable),
            None => self.send_read(now),
        }
    }

    /// Waits a while after a failed read.
    pub(super) fn pause_reading(&mut self, now: f64) {
        let Some(pause) = self.reading.as_ref().map(|reading| reading.pause) else { return };
        let drawn = self.draw(2.0 * pause);
        if let Some(reading) = &mut self.reading {
            reading.not_before = now + drawn;
            reading.pause = (2.0 * pause).min(LONGEST_PAUSE);
        }
    }

    /// What was asked is not waited for; a verification begins anew, a catch-up keeps what it has read.
    pub(super) fn forget_requests(&mut self) {
        if self.reading.as_ref().is_some_and(Reading::is_verification) {
            self.reading = None;
        }
        if let Some(reading) = &mut self.reading {
            reading.begin_anew();
        }
        let is_local =
            |action: &Action<S::Entry>| matches!(action, Action::Apply(_) | Action::WriteSnapshot { .. });
        self.actions.retain(is_local);
    }

    fn send_read(&mut self, now: f64) {
        let id = self.request_id();
        let known_revision = if self.loaded == self.source { self.applied_revision } else { 0 };
        let deadline = now + self.settings.request_timeout;
        let Some(reading) = &mut self.reading else { return };
        reading.open = Some(OpenRead { id, deadline, known_revision });
        let request = ReadRequest {
            id,
            kind: reading.kind(),
            range: reading.range(&self.keyspace),
            min_mod_revision: reading.min_mod_revision(),
            at_revision: reading.revision,
            limit: reading.limit(self.settings.page_bytes),
            keys_only: matches!(reading.step, Step::BucketKeys { .. }),
        };
        self.actions.push_back(Action::Read(request));
    }
}
