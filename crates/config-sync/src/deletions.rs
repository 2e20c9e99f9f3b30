//! Names the entries that were deleted from a bucket by the bucket's digest.
//!
//! A digest is the sum of its entries' hashes. A bucket that only lost entries differs by the sum of their hashes, which
//! few subsets of a bucket can have. A name found so is a guess: a writer that left the digest as it was makes an entry
//! look deleted that is still there. Whoever uses it asks the store for that key.

use crate::keys::EntryKey;
use crate::stored::StoredEntry;

/// Deleted entries of one bucket that are looked for at most.
const MAX_DELETED: usize = 3;
/// The largest bucket that is searched: 64 entries have some 44,000 subsets of up to three.
const MAX_ENTRIES: usize = 64;

/// The fewest entries whose hashes sum up to what the digest lacks; `None` if no few do.
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
            .map(|&place| bucket[place].key.clone())
            .collect()
    })
}

/// Chooses so many hashes, from a place on, that sum up to `sum`.
fn choose(hashes: &[u64], from: usize, count: usize, sum: u64, chosen: &mut Vec<usize>) -> bool {
    if count == 0 {
        return sum == 0;
    }
    for (place, hash) in hashes.iter().enumerate().skip(from) {
        chosen.push(place);
        if choose(
            hashes,
            place + 1,
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
