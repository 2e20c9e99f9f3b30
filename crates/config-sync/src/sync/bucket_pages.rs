//! Pages of buckets, collected until all pages of a bucket are received.

use std::collections::BTreeMap;

/// The items of each bucket that were received so far.
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
    /// Adds a page. Returns the number of items of the bucket that were received so far.
    pub(super) fn add(&mut self, bucket: usize, page: impl IntoIterator<Item = T>) -> usize {
        let collected = self.by_bucket.entry(bucket).or_default();
        collected.extend(page);
        collected.len()
    }

    /// Removes and returns the items of a bucket.
    pub(super) fn take(&mut self, bucket: usize) -> Vec<T> {
        self.by_bucket.remove(&bucket).unwrap_or_default()
    }
}
