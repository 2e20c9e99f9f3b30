//! A view: the configuration that is in force at one revision, immutable and shared.

use crate::keys::{BUCKET_COUNT, EntryKey, bucket_of};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What applies to an entry while the view can't be proven current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WhenStale {
    /// The known entry stays in use.
    #[default]
    Serve,
    /// The entry must not be used; for permissions that may be revoked.
    Refuse,
}

/// An entry that is in force.
#[derive(Debug)]
pub struct Record<E> {
    /// The revision of the transaction that wrote it.
    pub mod_revision: i64,
    /// What applies while the view can't be proven current.
    pub when_stale: WhenStale,
    /// The document in the store.
    pub document: Arc<[u8]>,
    /// The document parsed by the schema.
    pub entry: E,
}

/// The entries of one bucket, sorted by key.
type Bucket<E> = Vec<(EntryKey, Arc<Record<E>>)>;

/// The configuration at one revision. An invocation keeps the view under which it was admitted until it ends.
#[derive(Debug)]
pub struct View<E> {
    generation: u64,
    revision: i64,
    len: usize,
    buckets: Vec<Arc<Bucket<E>>>,
}

impl<E> Clone for View<E> {
    fn clone(&self) -> View<E> {
        View {
            generation: self.generation,
            revision: self.revision,
            len: self.len,
            buckets: self.buckets.clone(),
        }
    }
}

impl<E> Default for View<E> {
    fn default() -> View<E> {
        let empty = Arc::new(vec![]);
        View {
            generation: 0,
            revision: 0,
            len: 0,
            buckets: vec![empty; BUCKET_COUNT],
        }
    }
}

impl<E> View<E> {
    /// The generation of the store that the view was read from.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The revision up to which all transactions are applied or rejected, each atomically.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The entry under a logical key such as `functions/resize`.
    pub fn get(&self, key: &str) -> Option<&Arc<Record<E>>> {
        let bucket = &self.buckets[bucket_of(key)];
        let index = bucket
            .binary_search_by(|(known, _)| known.as_str().cmp(key))
            .ok()?;
        Some(&bucket[index].1)
    }

    /// All entries, by bucket and then by key. The order is the same at every front end.
    pub fn iter(&self) -> impl Iterator<Item = (&EntryKey, &Arc<Record<E>>)> {
        self.buckets
            .iter()
            .flat_map(|bucket| bucket.iter().map(|(key, record)| (key, record)))
    }

    /// All entries of a kind, in the order of [`View::iter`]. Entries of other kinds aren't visited.
    pub fn of_kind<'v>(
        &'v self,
        kind: &'v str,
    ) -> impl Iterator<Item = (&'v EntryKey, &'v Arc<Record<E>>)> {
        // The entries of a kind are adjacent: keys are sorted, and start with their kind and a slash.
        let of_bucket = move |bucket: &'v Arc<Bucket<E>>| {
            let first = bucket.partition_point(|(key, _)| is_before_kind(key, kind));
            bucket[first..]
                .iter()
                .take_while(move |(key, _)| key.kind() == kind)
        };
        self.buckets
            .iter()
            .flat_map(of_bucket)
            .map(|(key, record)| (key, record))
    }

    pub(crate) fn set_position(&mut self, generation: u64, revision: i64) {
        (self.generation, self.revision) = (generation, revision);
    }

    /// Puts or, without a record, deletes an entry. Only the entry's bucket is copied.
    pub(crate) fn set(&mut self, key: &EntryKey, record: Option<Arc<Record<E>>>) {
        let bucket = Arc::make_mut(&mut self.buckets[key.bucket()]);
        let index = bucket.binary_search_by(|(known, _)| known.cmp(key));
        match (index, record) {
            (Ok(index), Some(record)) => bucket[index].1 = record,
            (Ok(index), None) => {
                bucket.remove(index);
                self.len -= 1;
            }
            (Err(index), Some(record)) => {
                bucket.insert(index, (key.clone(), record));
                self.len += 1;
            }
            (Err(_), None) => {}
        }
    }
}

/// Whether a key sorts before all keys of a kind.
fn is_before_kind(key: &EntryKey, kind: &str) -> bool {
    let of_kind = kind.bytes().chain([b'/']);
    key.as_str().bytes().lt(of_kind)
}
