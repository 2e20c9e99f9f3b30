//! Digests of buckets: an order-independent sum over the hashes of a bucket's entries.
//!
//! They detect accidental differences (missed deletions, a store that was rolled back). They give no protection against
//! a malicious writer, who could also write entries.

use crate::keys::{BUCKET_COUNT, BUCKETS_PER_GROUP, group_of};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a bucket's digest in the store.
const DIGEST_BYTES: usize = 8;

/// The hash of an entry's logical key and value.
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

    /// Removes an entry's hash from its bucket.
    pub fn remove(&mut self, bucket: usize, hash: u64) {
        self.0[bucket] = self.0[bucket].wrapping_sub(hash);
    }

    /// Sets a bucket's digest.
    pub fn set(&mut self, bucket: usize, digest: u64) {
        self.0[bucket] = digest;
    }

    /// The buckets whose digests differ from those in `other`, in ascending order.
    pub fn differing(&self, other: &Digests) -> Vec<usize> {
        (0..BUCKET_COUNT)
            .filter(|&bucket| self.0[bucket] != other.0[bucket])
            .collect()
    }

    /// The value of a group's key in the store: the digests of its buckets in order, big-endian.
    pub fn encode_group(&self, group: usize) -> Vec<u8> {
        let first = group * BUCKETS_PER_GROUP;
        self.0[first..first + BUCKETS_PER_GROUP]
            .iter()
            .flat_map(|digest| digest.to_be_bytes())
            .collect()
    }

    /// Decodes the value of a group's key. Returns `false` and changes nothing if its length is wrong.
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
