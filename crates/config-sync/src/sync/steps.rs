//! What is read after a step was answered: from digests to what was deleted, what was changed, and what differs even so.

use super::catch_up::{Outcome, done};
use super::reading::{Part, Reading, Step};
use super::{ConfigSync, Need};
use crate::deletions::likely_deleted;
use crate::keys::{EntryKey, Keyspace, group_of};
use crate::schema::Schema;
use std::collections::BTreeMap;

/// The buckets of one group that differ.
#[derive(Clone, Copy, Debug)]
struct Span {
    first: usize,
    last: usize,
    /// How many of them differ: each holds a change at the least, unless it only lost entries.
    differing: usize,
}

impl<S: Schema> ConfigSync<S> {
    /// Asks for the keys that digests show as deleted, if there are any.
    pub(super) fn enter_deletions(&self, reading: &mut Reading, changes_are_read: bool) -> Outcome {
        // Another history's buckets are known to differ in their values.
        let likely = match reading.need {
            Need::CatchUp => likely_deletions(reading),
            Need::Verification | Need::Rebase => BTreeMap::new(),
        };
        if likely.is_empty() {
            return self.leave_deletions(reading, changes_are_read);
        }
        let part =
            |bucket: usize, key: &EntryKey| Part::new(self.keyspace.entry_alone(key), bucket, 1);
        let parts: Vec<Part> = likely
            .iter()
            .flat_map(|(bucket, keys)| keys.iter().map(|key| part(*bucket, key)))
            .collect();
        reading.enter(
            Step::Deletions {
                likely,
                changes_are_read,
            },
            parts,
        );
        Outcome::GoOn
    }

    pub(super) fn leave_deletions(&self, reading: &mut Reading, changes_are_read: bool) -> Outcome {
        if changes_are_read {
            self.enter_bucket_keys(reading)
        } else {
            self.enter_changed(reading)
        }
    }

    /// Reads what was changed in the groups that differ, if revisions tell.
    pub(super) fn enter_changed(&self, reading: &mut Reading) -> Outcome {
        if reading.changed_from == 0 || reading.changed_from > reading.revision {
            return self.enter_bucket_keys(reading);
        }
        let mut spans: BTreeMap<usize, Span> = BTreeMap::new();
        for bucket in differing(reading) {
            let new = Span {
                first: bucket,
                last: bucket,
                differing: 0,
            };
            let span = spans.entry(group_of(bucket)).or_insert(new);
            span.last = bucket;
            span.differing += 1;
        }
        if spans.is_empty() {
            return done(reading);
        }
        let parts: Vec<Part> = spans
            .values()
            .map(|span| span_part(&self.keyspace, span))
            .collect();
        reading.enter(Step::Changed, parts);
        Outcome::GoOn
    }

    /// Finds what else was deleted, if anything still differs.
    fn enter_bucket_keys(&self, reading: &mut Reading) -> Outcome {
        let differing = differing(reading);
        // Another history's keys are known to differ in their values.
        if differing.is_empty() || reading.need != Need::CatchUp {
            return self.enter_buckets(reading);
        }
        let parts = self.bucket_parts(reading, differing);
        reading.enter(
            Step::BucketKeys {
                listed: BTreeMap::new(),
            },
            parts,
        );
        Outcome::GoOn
    }

    /// Reads the buckets that differ, if any do.
    pub(super) fn enter_buckets(&self, reading: &mut Reading) -> Outcome {
        let differing = differing(reading);
        if differing.is_empty() {
            return done(reading);
        }
        let parts = self.bucket_parts(reading, differing);
        reading.enter(
            Step::Buckets {
                collected: BTreeMap::new(),
            },
            parts,
        );
        Outcome::GoOn
    }

    fn bucket_parts(&self, reading: &Reading, buckets: Vec<usize>) -> Vec<Part> {
        let part = |bucket| {
            let expected = reading.staged.bucket(bucket).len().max(1);
            Part::new(self.keyspace.bucket(bucket), bucket, expected)
        };
        buckets.into_iter().map(part).collect()
    }
}

fn differing(reading: &Reading) -> Vec<usize> {
    reading.digests.differing(reading.staged.digests())
}

fn span_part(keyspace: &Keyspace, span: &Span) -> Part {
    let range = keyspace
        .bucket(span.first)
        .through(keyspace.bucket(span.last));
    Part::new(range, span.first, span.differing)
}

/// What digests show as deleted, by bucket.
fn likely_deletions(reading: &Reading) -> BTreeMap<usize, Vec<EntryKey>> {
    let staged = reading.staged.digests();
    let keys_of = |bucket: usize| {
        if reading.misleading.contains(&bucket) {
            return None;
        }
        let lacking = staged
            .bucket(bucket)
            .wrapping_sub(reading.digests.bucket(bucket));
        Some((
            bucket,
            likely_deleted(reading.staged.bucket(bucket), lacking)?,
        ))
    };
    differing(reading).into_iter().filter_map(keys_of).collect()
}
