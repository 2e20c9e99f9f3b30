//! Applies transactions to the view, whole or not at all, and keeps those that were rejected.
//!
//! A rejected transaction is *blocked*: its keys keep their last good entries. It is tried again when a later
//! transaction changes one of its keys, and now and then when the view has changed. So a view with nothing blocked is
//! what the store holds, by whatever way the front end came there.

use crate::keys::EntryKey;
use crate::schema::{Envelope, Rejection, Schema};
use crate::stored::Stored;
use crate::view::{Record, View};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Rejections that are kept in all; more are counted.
const MAX_REJECTIONS: usize = 1_024;
/// Characters of a reason or a remedy that are kept.
const MAX_REASON_CHARS: usize = 300;
/// Blocked transactions that one retry tries one by one.
const MAX_RETRIES: usize = 256;

/// Keys that change together, and the revision of their transaction.
#[derive(Clone, Debug)]
pub(crate) struct Transaction {
    pub(crate) revision: i64,
    pub(crate) keys: Vec<EntryKey>,
}

/// What is in force under a blocked key.
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
    /// Rejections of this transaction that found no place.
    omitted: usize,
}

/// A key of a blocked transaction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BlockedKey {
    /// The revision of the transaction.
    pub(crate) revision: i64,
    /// What is in force under the key was certainly current as of this time.
    pub(crate) as_of: f64,
}

/// What a transaction is judged by.
pub(crate) struct Context<'c, S> {
    pub(crate) schema: &'c S,
    pub(crate) stored: &'c Stored,
    pub(crate) max_value_bytes: usize,
    pub(crate) generation: u64,
    pub(crate) revision: i64,
    /// The view was certainly current as of this time, before what is applied now.
    pub(crate) fresh_as_of: f64,
}

#[derive(Debug)]
pub(crate) struct Applier<E> {
    view: Arc<View<E>>,
    blocked: Vec<Blocked>,
    /// Keys of blocked transactions.
    blocked_keys: BTreeMap<EntryKey, BlockedKey>,
    /// Where the next retry begins.
    retry_from: usize,
    /// The view has changed since the last retry.
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

    /// Whether blocked transactions should be tried again.
    pub(crate) fn wants_retry(&self) -> bool {
        self.retry_wanted && !self.blocked.is_empty()
    }

    /// Blocked keys, and the revisions of their transactions.
    pub(crate) fn blocked_keys(&self) -> impl Iterator<Item = (&EntryKey, i64)> {
        self.blocked_keys
            .iter()
            .map(|(key, blocked)| (key, blocked.revision))
    }

    /// As of when the entry in force under a blocked key was certainly current; `None` if the key isn't blocked.
    pub(crate) fn blocked_as_of(&self, key: &str) -> Option<f64> {
        self.blocked_keys.get(key).map(|blocked| blocked.as_of)
    }

    /// Rejections in the order of revisions, and how many found no place.
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

    /// Applies one transaction, whose values `context.stored` holds already.
    pub(crate) fn apply<S: Schema<Entry = E>>(
        &mut self,
        context: &Context<'_, S>,
        transaction: Transaction,
    ) {
        let remainders = self.take_overtaken(&transaction.keys);
        if !remainders.is_empty() && self.apply_together(context, &transaction, &remainders) {
            return;
        }
        self.apply_or_block(context, transaction);
        for remainder in remainders {
            self.apply_or_block(context, remainder);
        }
    }

    /// Brings the view to what `context.stored` holds, from a view that differs anywhere: in one step if all of it is
    /// valid together, else transaction by transaction. A deletion has no revision: unless its transaction is known
    /// from before, it stands for itself.
    pub(crate) fn apply_all<S: Schema<Entry = E>>(&mut self, context: &Context<'_, S>) {
        let before = std::mem::take(&mut self.blocked_keys);
        let transactions = differences(context, &self.view, &before);
        self.blocked.clear();
        let keys: Vec<EntryKey> = transactions
            .iter()
            .flat_map(|t| t.keys.iter().cloned())
            .collect();
        if let Ok(view) = candidate(context, &self.view, &keys, context.revision) {
            self.commit(view);
            return;
        }
        // What was blocked before is as old as it was.
        for key in &keys {
            if let Some(blocked) = before.get(key) {
                self.blocked_keys.insert(key.clone(), *blocked);
            }
        }
        for transaction in transactions {
            self.apply_or_block(context, transaction);
        }
        let blocked = &self.blocked;
        let still: BTreeSet<&EntryKey> = blocked.iter().flat_map(|b| &b.transaction.keys).collect();
        self.blocked_keys.retain(|key, _| still.contains(key));
        self.retry(context);
    }

    /// Tries blocked transactions again: all together, then a bounded number one by one.
    pub(crate) fn retry<S: Schema<Entry = E>>(&mut self, context: &Context<'_, S>) {
        self.retry_wanted = false;
        let all: Vec<EntryKey> = self
            .blocked
            .iter()
            .flat_map(|b| b.transaction.keys.iter().cloned())
            .collect();
        if let Ok(view) = candidate(context, &self.view, &all, context.revision) {
            self.blocked.clear();
            self.blocked_keys.clear();
            self.commit(view);
            return;
        }
        let count = self.blocked.len();
        let tried = count.min(MAX_RETRIES);
        let mut places: Vec<usize> = (0..tried)
            .map(|offset| (self.retry_from + offset) % count)
            .collect();
        self.retry_from = if count > tried {
            (self.retry_from + tried) % count
        } else {
            0
        };
        places.sort_unstable();
        let mut healed = BTreeSet::new();
        for place in places {
            let transaction = &self.blocked[place].transaction;
            if let Ok(view) =
                candidate(context, &self.view, &transaction.keys, transaction.revision)
            {
                self.commit(view);
                healed.insert(place);
            }
        }
        self.unblock(&healed);
    }

    /// Loads a view as it was in force: what the store held, with the last good documents of blocked keys.
    pub(crate) fn load<S: Schema<Entry = E>>(
        &mut self,
        context: &Context<'_, S>,
        last_good: Vec<LastGood<E>>,
    ) {
        let mut view = View::default();
        view.set_position(context.generation, context.revision);
        let mut unread = vec![];
        for entry in context.stored.iter() {
            match read_record(context, &entry.key, &entry.document, entry.mod_revision) {
                Ok(record) => view.set(&entry.key, Some(Arc::new(record))),
                Err(_) => unread.push(entry.key.clone()),
            }
        }
        let as_of = f64::NEG_INFINITY;
        for key in unread {
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

    /// Takes the transaction's keys out of what is blocked, and gives what remains of the transactions that it
    /// touched.
    fn take_overtaken(&mut self, keys: &[EntryKey]) -> Vec<Transaction> {
        if !keys.iter().any(|key| self.blocked_keys.contains_key(key)) {
            return vec![];
        }
        let (overtaken, others) =
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
        let mut remainders: Vec<Transaction> = overtaken
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
        let Ok(view) = candidate(context, &self.view, &keys, transaction.revision) else {
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
        match candidate(context, &self.view, &transaction.keys, transaction.revision) {
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

    fn unblock(&mut self, healed: &BTreeSet<usize>) {
        let mut place = 0;
        let blocked_keys = &mut self.blocked_keys;
        self.blocked.retain(|blocked| {
            let heals = healed.contains(&place);
            place += 1;
            if heals {
                for key in &blocked.transaction.keys {
                    blocked_keys.remove(key);
                }
            }
            !heals
        });
    }

    fn commit(&mut self, view: View<E>) {
        self.view = Arc::new(view);
        self.retry_wanted = true;
    }
}

/// The view with some keys set to what the store holds, or why it would break rules.
fn candidate<S: Schema>(
    context: &Context<'_, S>,
    view: &View<S::Entry>,
    keys: &[EntryKey],
    revision: i64,
) -> Result<View<S::Entry>, Vec<Rejection>> {
    let mut candidate = view.clone();
    candidate.set_position(context.generation, context.revision);
    let mut rejections = vec![];
    for key in keys {
        let Some(entry) = context.stored.get(key) else {
            candidate.set(key, None);
            continue;
        };
        match read_record(context, key, &entry.document, entry.mod_revision) {
            Ok(record) => candidate.set(key, Some(Arc::new(record))),
            Err(invalid) => {
                rejections.push(rejection(key, revision, &invalid.reason, &invalid.remedy))
            }
        }
    }
    if rejections.is_empty() {
        let violations = context.schema.check(&candidate, keys);
        let of = |v: &crate::schema::Violation| {
            rejection(&v.key, revision, &v.invalid.reason, &v.invalid.remedy)
        };
        rejections.extend(violations.iter().map(of));
    }
    if rejections.is_empty() {
        Ok(candidate)
    } else {
        Err(rejections)
    }
}

/// Reads a document into a record.
pub(crate) fn read_record<S: Schema>(
    context: &Context<'_, S>,
    key: &EntryKey,
    document: &Arc<[u8]>,
    mod_revision: i64,
) -> Result<Record<S::Entry>, crate::schema::InvalidEntry> {
    let envelope = Envelope::parse(document, context.max_value_bytes)?;
    let entry = context.schema.parse(key, envelope.spec)?;
    Ok(Record {
        mod_revision,
        when_stale: envelope.when_stale,
        document: document.clone(),
        entry,
    })
}

fn rejection(key: &EntryKey, revision: i64, reason: &str, remedy: &str) -> Rejection {
    let shorten = |text: &str| text.chars().take(MAX_REASON_CHARS).collect();
    Rejection {
        key: key.to_string(),
        revision,
        reason: shorten(reason),
        remedy: shorten(remedy),
    }
}

/// Where the store differs from the view: by transaction in the order of revisions, then each deletion whose
/// transaction isn't known.
fn differences<S: Schema>(
    context: &Context<'_, S>,
    view: &View<S::Entry>,
    blocked: &BTreeMap<EntryKey, BlockedKey>,
) -> Vec<Transaction> {
    let stored = context.stored;
    let mut changed: BTreeMap<i64, Vec<EntryKey>> = BTreeMap::new();
    for entry in stored.iter() {
        let known = view.get(entry.key.as_str());
        let is_same = known.is_some_and(|known| {
            known.mod_revision == entry.mod_revision && known.document == entry.document
        });
        if !is_same {
            changed
                .entry(entry.mod_revision)
                .or_default()
                .push(entry.key.clone());
        }
    }
    let mut deleted = vec![];
    for (key, _) in view.iter().filter(|(key, _)| stored.get(key).is_none()) {
        match blocked.get(key) {
            Some(known) => changed.entry(known.revision).or_default().push(key.clone()),
            None => deleted.push(Transaction {
                revision: context.revision,
                keys: vec![key.clone()],
            }),
        }
    }
    let changed = changed
        .into_iter()
        .map(|(revision, keys)| Transaction { revision, keys });
    changed.chain(deleted).collect()
}
