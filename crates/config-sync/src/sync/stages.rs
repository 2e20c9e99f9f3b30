//! The transitions between the stages of a session: from digests to deletions, changed entries, keys of buckets, and
//! whole buckets.

use super::bucket_pages::BucketPages;
use super::range_read::PendingRange;
use super::session::{StageOutcome, SyncSession, SyncStage};
use super::{ConfigSync, SyncMode};
use crate::deletions::likely_deleted;
use crate::keys::{EntryKey, Keyspace, group_of};
use crate::schema::Schema;
use std::collections::BTreeMap;

/// The buckets of one digest group that differ.
#[derive(Clone, Copy, Debug)]
struct DifferingSpan {
    first: usize,
    last: usize,
    /// How many buckets of the span differ. Each has at least one changed entry, unless it only lost entries.
    differing: usize,
}

impl<S: Schema> ConfigSync<S> {
    /// Reads the keys that digests show as deleted, if there are any.
    pub(super) fn enter_deletions(
        &self,
        session: &mut SyncSession,
        changes_are_read: bool,
    ) -> StageOutcome {
        // The buckets of another history differ in their values, so their digests don't show deletions.
        let candidates = match session.mode {
            SyncMode::CatchUp => likely_deletions(session),
            SyncMode::Verification | SyncMode::Rebase => BTreeMap::new(),
        };
        if candidates.is_empty() {
            return self.leave_deletions(session, changes_are_read);
        }
        let mut ranges = vec![];
        for (&bucket, keys) in &candidates {
            for key in keys {
                ranges.push(PendingRange::new(self.keyspace.entry_alone(key), bucket, 1));
            }
        }
        let stage = SyncStage::Deletions {
            candidates,
            changes_are_read,
        };
        session.enter(stage, ranges);
        StageOutcome::Continue
    }

    pub(super) fn leave_deletions(
        &self,
        session: &mut SyncSession,
        changes_are_read: bool,
    ) -> StageOutcome {
        if changes_are_read {
            self.enter_bucket_keys(session)
        } else {
            self.enter_changed(session)
        }
    }

    /// Reads the entries that changed in the groups that differ, if revisions show which entries these are.
    pub(super) fn enter_changed(&self, session: &mut SyncSession) -> StageOutcome {
        if session.changed_from == 0 || session.changed_from > session.revision {
            return self.enter_bucket_keys(session);
        }
        let mut spans: BTreeMap<usize, DifferingSpan> = BTreeMap::new();
        for bucket in session.differing_buckets() {
            let new = DifferingSpan {
                first: bucket,
                last: bucket,
                differing: 0,
            };
            let span = spans.entry(group_of(bucket)).or_insert(new);
            span.last = bucket;
            span.differing += 1;
        }
        if spans.is_empty() {
            return session.complete();
        }
        let ranges = spans.values().map(|span| span_range(&self.keyspace, span));
        session.enter(SyncStage::Changed, ranges);
        StageOutcome::Continue
    }

    /// Reads the keys of buckets that still differ, to find further deletions.
    fn enter_bucket_keys(&self, session: &mut SyncSession) -> StageOutcome {
        let differing = session.differing_buckets();
        // The entries of another history differ in their values, so keys alone aren't enough.
        if differing.is_empty() || session.mode != SyncMode::CatchUp {
            return self.enter_buckets(session);
        }
        let ranges = self.bucket_ranges(session, differing);
        let stage = SyncStage::BucketKeys {
            listed: BucketPages::default(),
        };
        session.enter(stage, ranges);
        StageOutcome::Continue
    }

    /// Reads the buckets that differ, if any do.
    pub(super) fn enter_buckets(&self, session: &mut SyncSession) -> StageOutcome {
        let differing = session.differing_buckets();
        if differing.is_empty() {
            return session.complete();
        }
        let ranges = self.bucket_ranges(session, differing);
        let stage = SyncStage::Buckets {
            collected: BucketPages::default(),
        };
        session.enter(stage, ranges);
        StageOutcome::Continue
    }

    fn bucket_ranges(&self, session: &SyncSession, buckets: Vec<usize>) -> Vec<PendingRange> {
        let range_of = |bucket| {
            let expected = session.staged.bucket(bucket).len().max(1);
            PendingRange::new(self.keyspace.bucket(bucket), bucket, expected)
        };
        buckets.into_iter().map(range_of).collect()
    }
}

fn span_range(keyspace: &Keyspace, span: &DifferingSpan) -> PendingRange {
    let last = keyspace.bucket(span.last);
    let range = keyspace.bucket(span.first).through(last);
    PendingRange::new(range, span.first, span.differing)
}

/// The keys that digests show as deleted, by bucket.
fn likely_deletions(session: &SyncSession) -> BTreeMap<usize, Vec<EntryKey>> {
    let mut candidates = BTreeMap::new();
    for bucket in session.differing_buckets() {
        if session.false_deletions.contains(&bucket) {
            continue;
        }
        let local = session.staged.digests().bucket(bucket);
        let missing_sum = local.wrapping_sub(session.digests.bucket(bucket));
        if let Some(keys) = likely_deleted(session.staged.bucket(bucket), missing_sum) {
            candidates.insert(bucket, keys);
        }
    }
    candidates
}
