//! Builds views from transactions, and compares the store with a view.

use super::{BlockedKey, Transaction};
use crate::keys::EntryKey;
use crate::schema::{Envelope, InvalidEntry, Rejection, Schema, Violation};
use crate::store_copy::StoreCopy;
use crate::view::{Record, View};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of characters of a reason or a remedy; the rest is cut off.
const MAX_REASON_CHARS: usize = 300;

/// The state of the store and the schema with which a transaction is validated.
pub(crate) struct Context<'c, S> {
    pub(crate) schema: &'c S,
    pub(crate) stored: &'c StoreCopy,
    pub(crate) max_value_bytes: usize,
    pub(crate) generation: u64,
    pub(crate) revision: i64,
    /// The time as of which the view is proven current, before the present transaction.
    pub(crate) fresh_as_of: f64,
}

/// Builds a copy of the view in which `keys` are set to the store's entries.
///
/// # Errors
///
/// The rejections, if the view would be invalid.
pub(super) fn build_candidate<S: Schema>(
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
        match parse_record(context, key, &entry.document, entry.mod_revision) {
            Ok(record) => candidate.set(key, Some(Arc::new(record))),
            Err(invalid) => {
                rejections.push(rejection(key, revision, &invalid.reason, &invalid.remedy))
            }
        }
    }
    if rejections.is_empty() {
        let violations = context.schema.check(&candidate, keys);
        let to_rejection =
            |v: &Violation| rejection(&v.key, revision, &v.invalid.reason, &v.invalid.remedy);
        rejections.extend(violations.iter().map(to_rejection));
    }
    if rejections.is_empty() {
        Ok(candidate)
    } else {
        Err(rejections)
    }
}

/// Parses a document into a record.
pub(crate) fn parse_record<S: Schema>(
    context: &Context<'_, S>,
    key: &EntryKey,
    document: &Arc<[u8]>,
    mod_revision: i64,
) -> Result<Record<S::Entry>, InvalidEntry> {
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

/// The differences between the store and the view: first the known transactions, in the order of revisions, then each
/// deletion whose transaction isn't known.
pub(super) fn differences<S: Schema>(
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
