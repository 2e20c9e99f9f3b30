//! Infers from a bucket's digest which of its entries were deleted.
//!
//! A digest is the sum of its entries' hashes. A bucket that only lost entries differs by the sum of their hashes, which
//! few subsets of the bucket have. The result is a guess: if a writer didn't update the digest, an entry that still
//! exists looks deleted. Callers therefore confirm each key by a read.

use crate::keys::EntryKey;
use crate::stored::StoredEntry;

/// The most deleted entries that are searched for.
const MAX_DELETED: usize = 3;
/// The most entries of a bucket that is searched: 64 entries have some 44,000 subsets of up to three.
const MAX_ENTRIES: usize = 64;

/// The smallest set of entries whose hashes sum up to `lacking`; `None` if no small set does.
pub(crate) fn likely_deleted(bucket: &[StoredEntry], lacking: u64) -> Option<Vec<EntryKey>> {
    if lacking == 0 || bucket.len() > MAX_ENTRIES {
        return None;
    }
    let hashes: Vec<u64> = bucket.iter().map(StoredEntry::hash).collect();
    let mut chosen = vec![];
    let is_found = (1..=MAX_DELETED).any(|count| choose(&hashes, 0, count, lacking, &mut chosen));
    is_found.then(|| {
        chosen
            .iter()
            .map(|&index| bucket[index].key.clone())
            .collect()
    })
}

/// Chooses `count` hashes, from the index `from` on, that sum up to `sum`.
fn choose(hashes: &[u64], from: usize, count: usize, sum: u64, chosen: &mut Vec<usize>) -> bool {
    if count == 0 {
        return sum == 0;
    }
    for (index, hash) in hashes.iter().enumerate().skip(from) {
        chosen.push(index);
        if choose(
            hashes,
            index + 1,
            count - 1,
            sum.wrapping_sub(*hash),
            chosen,
        ) {
            return true;
        }
        chosen.pop();
    }
    false
}
