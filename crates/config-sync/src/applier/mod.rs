//! Applies transactions to the view atomically, and keeps those that were rejected.
//!
//! A rejected transaction is *blocked*: its keys keep their last good entries. It is retried when a later transaction
//! changes one of its keys, and periodically while the view changes. A view without blocked transactions equals the
//! store, regardless of the sequence of reads and changes by which the front end reached it.

mod candidate;

pub(crate) use candidate::{Context, parse_record};

use crate::keys::EntryKey;
use crate::schema::{Rejection, Schema};
use crate::view::{Record, View};
use candidate::{build_candidate, differences};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of rejections that are kept; further ones are only counted.
const MAX_REJECTIONS: usize = 1_024;
/// Maximum number of blocked transactions that one retry tries individually.
const MAX_RETRIES: usize = 256;

/// Keys that change together, and the revision of their transaction.
#[derive(Clone, Debug)]
pub(crate) struct Transaction {
    pub(crate) revision: i64,
    pub(crate) keys: Vec<EntryKey>,
}

/// The entry in force under a blocked key.
#[derive(Debug)]
pub(crate) struct LastGood<E> {
    pub(crate) key: EntryKey,
    /// `None` if nothing was in force.
    pub(crate) record: Option<Arc<Record<E>>>,
    /// The revision of the transaction that is blocked.
    pub(crate) blocked_revision: i64,
}

/// A transaction that was rejected.
#[derive(Debug)]
struct Blocked {
    transaction: Transaction,
    rejections: Vec<Rejection>,
    /// Number of rejections of this transaction that aren't kept.
    omitted: usize,
}

/// A key of a blocked transaction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BlockedKey {
    /// The revision of the transaction.
    pub(crate) revision: i64,
    /// The time as of which the entry in force under the key was proven current.
    pub(crate) as_of: f64,
}

#[derive(Debug)]
pub(crate) struct Applier<E> {
    view: Arc<View<E>>,
    blocked: Vec<Blocked>,
    /// Keys of blocked transactions.
    blocked_keys: BTreeMap<EntryKey, BlockedKey>,
    /// Index of the transaction at which the next retry starts.
    retry_from: usize,
    /// Whether the view has changed since the last retry.
    retry_wanted: bool,
}

impl<E> Default for Applier<E> {
    fn default() -> Applier<E> {
        Applier {
            view: Arc::default(),
            blocked: vec![],
            blocked_keys: BTreeMap::new(),
            retry_from: 0,
            retry_wanted: false,
        }
    }
}

impl<E> Applier<E> {
    pub(crate) fn view(&self) -> &Arc<View<E>> {
        &self.view
    }

    /// Whether blocked transactions should be retried.
    pub(crate) fn wants_retry(&self) -> bool {
        self.retry_wanted && !self.blocked.is_empty()
    }

    /// Blocked keys, and the revisions of their transactions.
    pub(crate) fn blocked_keys(&self) -> impl Iterator<Item = (&EntryKey, i64)> {
        self.blocked_keys
            .iter()
            .map(|(key, blocked)| (key, blocked.revision))
    }

    /// The time as of which the entry in force under a blocked key was proven current; `None` if the key isn't blocked.
    pub(crate) fn blocked_as_of(&self, key: &str) -> Option<f64> {
        self.blocked_keys.get(key).map(|blocked| blocked.as_of)
    }

    /// The rejections in the order of revisions, and the number of those that aren't kept.
    pub(crate) fn rejections(&self) -> (Vec<&Rejection>, usize) {
        let mut rejections: Vec<&Rejection> = self
            .blocked
            .iter()
            .flat_map(|blocked| &blocked.rejections)
            .collect();
        rejections.sort_by_key(|rejection| rejection.revision);
        (
            rejections,
            self.blocked.iter().map(|blocked| blocked.omitted).sum(),
        )
    }

    /// Applies one transaction, or blocks it if the result would be invalid. `context.stored` has to contain its values
    /// already.
    pub(crate) fn apply<S: Schema<Entry = E>>(
        &mut self,
        context: &Context<'_, S>,
        transaction: Transaction,
    ) {
        let remainders = self.take_superseded(&transaction.keys);
        if !remainders.is_empty() && self.apply_together(context, &transaction, &remainders) {
            return;
        }
        self.apply_or_block(context, transaction);
        for remainder in remainders {
            self.apply_or_block(context, remainder);
        }
    }

    /// Updates the view to `context.stored`, which may differ anywhere: at once if the result is valid, otherwise
    /// transaction by transaction. A deletion has no revision, so it is a transaction of its own unless its
    /// transaction was blocked before.
    pub(crate) fn apply_all<S: Schema<Entry = E>>(&mut self, context: &Context<'_, S>) {
        let before = std::mem::take(&mut self.blocked_keys);
        let transactions = differences(context, &self.view, &before);
        self.blocked.clear();
        let keys: Vec<EntryKey> = transactions
            .iter()
            .flat_map(|t| t.keys.iter().cloned())
            .collect();
        if let Ok(view) = build_candidate(context, &self.view, &keys, context.revision) {
            self.commit(view);
            return;
        }
        // Keys that were blocked before keep the time as of which they were proven current.
        for key in &keys {
            if let Some(blocked) = before.get(key) {
                self.blocked_keys.insert(key.clone(), *blocked);
            }
        }
        for transaction in transactions {
            self.apply_or_block(context, transaction);
        }
        let blocked = &self.blocked;
        let still_blocked: BTreeSet<&EntryKey> =
            blocked.iter().flat_map(|b| &b.transaction.keys).collect();
        self.blocked_keys
            .retain(|key, _| still_blocked.contains(key));
        self.retry(context);
    }

    /// Retries blocked transactions: first all together, then a bounded number individually.
    pub(crate) fn retry<S: Schema<Entry = E>>(&mut self, context: &Context<'_, S>) {
        self.retry_wanted = false;
        let all: Vec<EntryKey> = self
            .blocked
            .iter()
            .flat_map(|b| b.transaction.keys.iter().cloned())
            .collect();
        if let Ok(view) = build_candidate(context, &self.view, &all, context.revision) {
            self.blocked.clear();
            self.blocked_keys.clear();
            self.commit(view);
            return;
        }
        let count = self.blocked.len();
        let tried = count.min(MAX_RETRIES);
        let mut indices: Vec<usize> = (0..tried)
            .map(|offset| (self.retry_from + offset) % count)
            .collect();
        self.retry_from = if count > tried {
            (self.retry_from + tried) % count
        } else {
            0
        };
        indices.sort_unstable();
        let mut applied = BTreeSet::new();
        for index in indices {
            let transaction = &self.blocked[index].transaction;
            if let Ok(view) =
                build_candidate(context, &self.view, &transaction.keys, transaction.revision)
            {
                self.commit(view);
                applied.insert(index);
            }
        }
        self.unblock(&applied);
    }

    /// Restores the view that was in force: the store's entries, with the last good documents of blocked keys.
    pub(crate) fn load<S: Schema<Entry = E>>(
        &mut self,
        context: &Context<'_, S>,
        last_good: Vec<LastGood<E>>,
    ) {
        let mut view = View::default();
        view.set_position(context.generation, context.revision);
        let mut unreadable = vec![];
        for entry in context.stored.iter() {
            match parse_record(context, &entry.key, &entry.document, entry.mod_revision) {
                Ok(record) => view.set(&entry.key, Some(Arc::new(record))),
                Err(_) => unreadable.push(entry.key.clone()),
            }
        }
        let as_of = f64::NEG_INFINITY;
        for key in unreadable {
            self.blocked_keys.insert(
                key,
                BlockedKey {
                    revision: context.revision,
                    as_of,
                },
            );
        }
        for LastGood {
            key,
            record,
            blocked_revision,
        } in last_good
        {
            view.set(&key, record);
            self.blocked_keys.insert(
                key,
                BlockedKey {
                    revision: blocked_revision,
                    as_of,
                },
            );
        }
        self.view = Arc::new(view);
        self.apply_all(context);
    }

    /// Removes the transactions that share keys with a new one from the blocked ones, and returns their other keys.
    fn take_superseded(&mut self, keys: &[EntryKey]) -> Vec<Transaction> {
        if !keys.iter().any(|key| self.blocked_keys.contains_key(key)) {
            return vec![];
        }
        let (superseded, others) =
            std::mem::take(&mut self.blocked)
                .into_iter()
                .partition(|blocked: &Blocked| {
                    blocked
                        .transaction
                        .keys
                        .iter()
                        .any(|key| keys.contains(key))
                });
        self.blocked = others;
        let mut remainders: Vec<Transaction> = superseded
            .into_iter()
            .map(|blocked: Blocked| blocked.transaction)
            .collect();
        for remainder in &mut remainders {
            remainder.keys.retain(|key| !keys.contains(key));
        }
        remainders.retain(|remainder| !remainder.keys.is_empty());
        remainders
    }

    fn apply_together<S: Schema<Entry = E>>(
        &mut self,
        context: &Context<'_, S>,
        transaction: &Transaction,
        remainders: &[Transaction],
    ) -> bool {
        let mut keys = transaction.keys.clone();
        keys.extend(
            remainders
                .iter()
                .flat_map(|remainder| remainder.keys.iter().cloned()),
        );
        let Ok(view) = build_candidate(context, &self.view, &keys, transaction.revision) else {
            return false;
        };
        for key in &keys {
            self.blocked_keys.remove(key);
        }
        self.commit(view);
        true
    }

    fn apply_or_block<S: Schema<Entry = E>>(
        &mut self,
        context: &Context<'_, S>,
        transaction: Transaction,
    ) {
        match build_candidate(context, &self.view, &transaction.keys, transaction.revision) {
            Ok(view) => {
                for key in &transaction.keys {
                    self.blocked_keys.remove(key);
                }
                self.commit(view);
            }
            Err(rejections) => self.block(context.fresh_as_of, transaction, rejections),
        }
    }

    fn block(
        &mut self,
        fresh_as_of: f64,
        transaction: Transaction,
        mut rejections: Vec<Rejection>,
    ) {
        let kept: usize = self
            .blocked
            .iter()
            .map(|blocked| blocked.rejections.len())
            .sum();
        let found = rejections.len();
        rejections.truncate(MAX_REJECTIONS.saturating_sub(kept));
        let omitted = found - rejections.len();
        let revision = transaction.revision;
        for key in &transaction.keys {
            let new = BlockedKey {
                revision,
                as_of: fresh_as_of,
            };
            self.blocked_keys.entry(key.clone()).or_insert(new).revision = revision;
        }
        self.blocked.push(Blocked {
            transaction,
            rejections,
            omitted,
        });
    }

    fn unblock(&mut self, applied: &BTreeSet<usize>) {
        let mut index = 0;
        let blocked_keys = &mut self.blocked_keys;
        self.blocked.retain(|blocked| {
            let is_applied = applied.contains(&index);
            index += 1;
            if is_applied {
                for key in &blocked.transaction.keys {
                    blocked_keys.remove(key);
                }
            }
            !is_applied
        });
    }

    fn commit(&mut self, view: View<E>) {
        self.view = Arc::new(view);
        self.retry_wanted = true;
    }
}
