//! Digests of buckets: an order-independent sum over the hashes of a bucket's entries.
//!
//! They find accidental differences (missed deletions, a store that was set back); they are no protection against a
//! writer who means harm, who could as well write entries.

use crate::keys::{BUCKET_COUNT, BUCKETS_PER_GROUP, group_of};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of one bucket's digest as it stands in the store.
const DIGEST_BYTES: usize = 8;

/// The hash of an entry: of its logical key and its value.
pub fn entry_hash(key: &str, value: &[u8]) -> u64 {
    let key_hash = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(value, key_hash)
}

/// The digests of all buckets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digests(Vec<u64>);

impl Default for Digests {
    fn default() -> Digests {
        Digests(vec![0; BUCKET_COUNT])
    }
}

impl Digests {
    /// The digest of one bucket; 0 for an empty one.
    pub fn bucket(&self, bucket: usize) -> u64 {
        self.0[bucket]
    }

    /// Adds an entry's hash to its bucket.
    pub fn add(&mut self, bucket: usize, hash: u64) {
        self.0[bucket] = self.0[bucket].wrapping_add(hash);
    }

    /// Takes an entry's hash out of its bucket.
    pub fn remove(&mut self, bucket: usize, hash: u64) {
        self.0[bucket] = self.0[bucket].wrapping_sub(hash);
    }

    /// Sets a bucket's digest.
    pub fn set(&mut self, bucket: usize, digest: u64) {
        self.0[bucket] = digest;
    }

    /// Buckets in which the two differ, in ascending order.
    pub fn differing(&self, other: &Digests) -> Vec<usize> {
        (0..BUCKET_COUNT)
            .filter(|&bucket| self.0[bucket] != other.0[bucket])
            .collect()
    }

    /// The value of a group's key in the store: its buckets' digests, big-endian, one behind the other.
    pub fn encode_group(&self, group: usize) -> Vec<u8> {
        let first = group * BUCKETS_PER_GROUP;
        self.0[first..first + BUCKETS_PER_GROUP]
            .iter()
            .flat_map(|digest| digest.to_be_bytes())
            .collect()
    }

    /// Takes in the value of a group's key; `false` if it has another length than it must have, and nothing changed.
    pub fn decode_group(&mut self, group: usize, value: &[u8]) -> bool {
        if value.len() != BUCKETS_PER_GROUP * DIGEST_BYTES {
            return false;
        }
        let (digests, _) = value.as_chunks::<DIGEST_BYTES>();
        for (offset, bytes) in digests.iter().enumerate() {
            self.0[group * BUCKETS_PER_GROUP + offset] = u64::from_be_bytes(*bytes);
        }
        debug_assert!(
            digests.len() == BUCKETS_PER_GROUP && group_of(group * BUCKETS_PER_GROUP) == group
        );
        true
    }
}
