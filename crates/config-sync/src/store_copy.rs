//! The local copy of the store: raw documents, whether they are in force or not, with their digests. Cloning is cheap;
//! a change copies one bucket.

use crate::digest::{Digests, entry_hash};
use crate::keys::{BUCKET_COUNT, EntryKey};
use std::sync::Arc;

/// An entry of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredEntry {
    pub(crate) key: EntryKey,
    pub(crate) document: Arc<[u8]>,
    pub(crate) mod_revision: i64,
}

impl StoredEntry {
    pub(crate) fn hash(&self) -> u64 {
        entry_hash(self.key.as_str(), &self.document)
    }

    fn bytes(&self) -> usize {
        self.key.as_str().len() + self.document.len()
    }
}

/// All entries of the store, by bucket, each bucket sorted by key.
#[derive(Clone, Debug)]
pub(crate) struct StoreCopy {
    buckets: Vec<Arc<Vec<StoredEntry>>>,
    digests: Digests,
    len: usize,
    bytes: usize,
}

impl Default for StoreCopy {
    fn default() -> StoreCopy {
        let empty = Arc::new(vec![]);
        StoreCopy {
            buckets: vec![empty; BUCKET_COUNT],
            digests: Digests::default(),
            len: 0,
            bytes: 0,
        }
    }
}

impl StoreCopy {
    pub(crate) fn digests(&self) -> &Digests {
        &self.digests
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Bytes of all keys and documents.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn bucket(&self, bucket: usize) -> &[StoredEntry] {
        &self.buckets[bucket]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &StoredEntry> {
        self.buckets.iter().flat_map(|bucket| bucket.iter())
    }

    pub(crate) fn get(&self, key: &EntryKey) -> Option<&StoredEntry> {
        let bucket = &self.buckets[key.bucket()];
        let index = bucket.binary_search_by(|entry| entry.key.cmp(key)).ok()?;
        Some(&bucket[index])
    }

    pub(crate) fn put(&mut self, entry: StoredEntry) {
        let number = entry.key.bucket();
        let bucket = Arc::make_mut(&mut self.buckets[number]);
        self.digests.add(number, entry.hash());
        self.bytes += entry.bytes();
        match bucket.binary_search_by(|known| known.key.cmp(&entry.key)) {
            Ok(index) => {
                let old = std::mem::replace(&mut bucket[index], entry);
                self.digests.remove(number, old.hash());
                self.bytes -= old.bytes();
            }
            Err(index) => {
                bucket.insert(index, entry);
                self.len += 1;
            }
        }
    }

    pub(crate) fn delete(&mut self, key: &EntryKey) {
        let number = key.bucket();
        let Ok(index) = self.buckets[number].binary_search_by(|known| known.key.cmp(key)) else {
            return;
        };
        let old = Arc::make_mut(&mut self.buckets[number]).remove(index);
        self.digests.remove(number, old.hash());
        self.bytes -= old.bytes();
        self.len -= 1;
    }

    /// Replaces the contents of a bucket.
    pub(crate) fn replace_bucket(&mut self, bucket: usize, entries: Vec<StoredEntry>) {
        let old: Vec<EntryKey> = self.buckets[bucket]
            .iter()
            .map(|entry| entry.key.clone())
            .collect();
        for key in old
            .iter()
            .filter(|key| !entries.iter().any(|entry| entry.key == **key))
        {
            self.delete(key);
        }
        for entry in entries {
            self.put(entry);
        }
    }
}
