//! Pages of buckets, collected until all pages of a bucket are there.

use std::collections::BTreeMap;

/// What was read of each bucket so far.
#[derive(Clone, Debug)]
pub(super) struct BucketPages<T> {
    by_bucket: BTreeMap<usize, Vec<T>>,
}

impl<T> Default for BucketPages<T> {
    fn default() -> BucketPages<T> {
        BucketPages {
            by_bucket: BTreeMap::new(),
        }
    }
}

impl<T> BucketPages<T> {
    /// Adds a page; returns how many items of the bucket were collected so far.
    pub(super) fn add(&mut self, bucket: usize, page: impl IntoIterator<Item = T>) -> usize {
        let collected = self.by_bucket.entry(bucket).or_default();
        collected.extend(page);
        collected.len()
    }

    /// Removes and returns what was collected of a bucket.
    pub(super) fn take(&mut self, bucket: usize) -> Vec<T> {
        self.by_bucket.remove(&bucket).unwrap_or_default()
    }
}
