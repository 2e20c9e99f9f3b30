//! Infers from a bucket's digest which of its entries were deleted.
//!
//! A digest is the sum of its entries' hashes. A bucket that only lost entries differs by the sum of their hashes,
//! which few subsets of the bucket have. The result is a guess: if a writer didn't update the digest, an entry that
//! still exists looks deleted. Callers therefore confirm each key by a read.

use crate::keys::EntryKey;
use crate::store_copy::StoredEntry;

/// Maximum number of deleted entries that are searched for.
const MAX_DELETED: usize = 3;
/// Maximum number of entries of a bucket that is searched: 64 entries have about 44,000 subsets of up to three.
const MAX_ENTRIES: usize = 64;

/// The smallest set of entries whose hashes sum up to `missing_sum`; `None` if no small set does.
pub(crate) fn likely_deleted(bucket: &[StoredEntry], missing_sum: u64) -> Option<Vec<EntryKey>> {
    if missing_sum == 0 || bucket.len() > MAX_ENTRIES {
        return None;
    }
    let hashes: Vec<u64> = bucket.iter().map(StoredEntry::hash).collect();
    let mut subset = vec![];
    let is_found =
        (1..=MAX_DELETED).any(|count| find_subset(&hashes, 0, count, missing_sum, &mut subset));
    is_found.then(|| {
        subset
            .iter()
            .map(|&index| bucket[index].key.clone())
            .collect()
    })
}

/// Chooses `count` hashes, from the index `from` on, that sum up to `sum`.
fn find_subset(
    hashes: &[u64],
    from: usize,
    count: usize,
    sum: u64,
    subset: &mut Vec<usize>,
) -> bool {
    if count == 0 {
        return sum == 0;
    }
    for (index, hash) in hashes.iter().enumerate().skip(from) {
        subset.push(index);
        if find_subset(
            hashes,
            index + 1,
            count - 1,
            sum.wrapping_sub(*hash),
            subset,
        ) {
            return true;
        }
        subset.pop();
    }
    false
}
