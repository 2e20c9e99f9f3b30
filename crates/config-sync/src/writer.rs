//! Builds the transactions of configuration writers. A transaction changes entries and their digests together, with
//! guards against concurrent writers. This module does no I/O: the caller reads and commits.
//!
//! 1. Read [`keys_to_read`] at one revision (one transaction of range requests).
//! 2. [`plan`] the transaction.
//! 3. Commit it if all its guards hold. If they don't, another writer has committed meanwhile: start again at 1.

use crate::digest::{Digests, entry_hash};
use crate::keys::{EntryKey, FORMAT, GROUP_COUNT, Keyspace, group_of};
use crate::schema::{Envelope, InvalidEntry, Schema};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// etcd's default limit of operations in a transaction (`--max-txn-ops`).
pub const DEFAULT_MAX_OPERATIONS: usize = 128;

/// The value of the generation key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Generation {
    /// The format of keys and values; [`FORMAT`].
    pub format: u32,
    /// Raised by the operator to have front ends follow a store that was rolled back.
    pub generation: u64,
}

impl Generation {
    /// Creates a generation in this crate's format.
    pub fn new(generation: u64) -> Generation {
        Generation {
            format: FORMAT,
            generation,
        }
    }

    /// The JSON for the store.
    pub fn to_json(self) -> Vec<u8> {
        serde_json::to_vec(&self).unwrap_or_default()
    }
}

/// A value that was read, with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadValue {
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub mod_revision: i64,
}

/// The values that were read at one revision, by key in the store. Absent keys aren't in the store.
pub type ReadValues = BTreeMap<Vec<u8>, ReadValue>;

/// A change of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryChange {
    /// The entry.
    pub key: EntryKey,
    /// The new document; `None` deletes the entry.
    pub document: Option<Vec<u8>>,
}

/// A condition of a transaction on the revision of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModRevisionGuard {
    /// The key in the store, with its prefix.
    pub key: Vec<u8>,
    /// The required revision; 0 if the key must not exist.
    pub mod_revision: i64,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Puts a value under a key.
    Put {
        /// The key in the store, with its prefix.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
    },
    /// Deletes a key.
    Delete {
        /// The key in the store, with its prefix.
        key: Vec<u8>,
    },
}

/// A transaction for the store: all operations are applied if all guards hold, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The conditions.
    pub guards: Vec<ModRevisionGuard>,
    /// The operations.
    pub operations: Vec<Operation>,
}

/// Why a transaction can't be built.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum WriteError {
    /// An entry is changed twice.
    #[error("'{0}' is changed twice in one transaction; keep one of the changes")]
    ChangedTwice(EntryKey),
    /// A document isn't a valid entry.
    #[error("'{key}': {invalid}")]
    Invalid {
        /// The entry.
        key: EntryKey,
        /// Why the document is invalid.
        invalid: InvalidEntry,
    },
    /// The transaction exceeds the store's limit.
    #[error(
        "the transaction has {operations} operations, over the store's limit of {max_operations}; split it, or raise \
         the limit"
    )]
    TooManyOperations {
        /// Number of operations, including those on digests.
        operations: usize,
        /// The store's limit.
        max_operations: usize,
    },
    /// The value of this digest key has a wrong length.
    #[error("the digests under '{0}' have a wrong length; repair them")]
    MalformedDigest(String),
}

/// The store keys that [`plan`] needs, to be read at one revision.
pub fn keys_to_read(keyspace: &Keyspace, changes: &[EntryChange]) -> Vec<Vec<u8>> {
    let entries = changes.iter().map(|change| keyspace.entry(&change.key));
    let groups: BTreeSet<usize> = changes
        .iter()
        .map(|change| group_of(change.key.bucket()))
        .collect();
    entries
        .chain(groups.into_iter().map(|group| keyspace.digest(group)))
        .collect()
}

/// Builds the transaction for some changes. Each document is validated by the schema; the front ends check the rules
/// between entries.
///
/// # Errors
///
/// If a change is invalid, or the transaction would exceed `max_operations`.
pub fn plan<S: Schema>(
    keyspace: &Keyspace,
    schema: &S,
    changes: &[EntryChange],
    read: &ReadValues,
    max_value_bytes: usize,
    max_operations: usize,
) -> Result<Transaction, WriteError> {
    check_changes(schema, changes, max_value_bytes)?;
    let mut plan = Plan {
        keyspace,
        read,
        groups: BTreeMap::new(),
        transaction: Transaction::default(),
    };
    for change in changes {
        plan.add(change)?;
    }
    let transaction = plan.finish();
    let operations = transaction.operations.len();
    if operations > max_operations {
        return Err(WriteError::TooManyOperations {
            operations,
            max_operations,
        });
    }
    Ok(transaction)
}

/// Builds the transaction that corrects all digests that don't match their entries. `read` has all entries and digests
/// of the store at one revision. There must be no other writer meanwhile: the guards don't detect an entry that was
/// written without [`plan`].
pub fn repair(keyspace: &Keyspace, read: &ReadValues) -> Transaction {
    let mut digests = Digests::default();
    for (store_key, value) in read {
        if let Some(key) = keyspace.parse_entry(store_key) {
            digests.add(key.bucket(), entry_hash(key.as_str(), &value.value));
        }
    }
    let mut transaction = Transaction::default();
    for group in 0..GROUP_COUNT {
        let (key, value) = (keyspace.digest(group), digests.encode_group(group));
        let known = read.get(&key);
        let is_empty = value.iter().all(|byte| *byte == 0);
        if known.map_or(is_empty, |known| known.value == value) {
            continue;
        }
        let mod_revision = known.map_or(0, |known| known.mod_revision);
        transaction.guards.push(ModRevisionGuard {
            key: key.clone(),
            mod_revision,
        });
        transaction.operations.push(Operation::Put { key, value });
    }
    transaction
}

fn check_changes<S: Schema>(
    schema: &S,
    changes: &[EntryChange],
    max_value_bytes: usize,
) -> Result<(), WriteError> {
    let mut seen = BTreeSet::new();
    for EntryChange { key, document } in changes {
        if !seen.insert(key) {
            return Err(WriteError::ChangedTwice(key.clone()));
        }
        let Some(document) = document else { continue };
        Envelope::parse(document, max_value_bytes)
            .and_then(|envelope| schema.parse(key, envelope.spec))
            .map_err(|invalid| WriteError::Invalid {
                key: key.clone(),
                invalid,
            })?;
    }
    Ok(())
}

/// A transaction under construction.
struct Plan<'p> {
    keyspace: &'p Keyspace,
    read: &'p ReadValues,
    /// The new digests of the groups that change.
    groups: BTreeMap<usize, Digests>,
    transaction: Transaction,
}

impl Plan<'_> {
    fn add(&mut self, change: &EntryChange) -> Result<(), WriteError> {
        let store_key = self.keyspace.entry(&change.key);
        let known = self.read.get(&store_key);
        let bucket = change.key.bucket();
        self.load_group(group_of(bucket))?;
        let Some(digests) = self.groups.get_mut(&group_of(bucket)) else {
            return Ok(());
        };
        if let Some(known) = known {
            digests.remove(bucket, entry_hash(change.key.as_str(), &known.value));
        }
        if let Some(document) = &change.document {
            digests.add(bucket, entry_hash(change.key.as_str(), document));
        }
        let mod_revision = known.map_or(0, |known| known.mod_revision);
        self.transaction.guards.push(ModRevisionGuard {
            key: store_key.clone(),
            mod_revision,
        });
        self.transaction.operations.push(match &change.document {
            Some(document) => Operation::Put {
                key: store_key,
                value: document.clone(),
            },
            None => Operation::Delete { key: store_key },
        });
        Ok(())
    }

    /// Loads the digests of a group and guards them, at the first change in the group.
    fn load_group(&mut self, group: usize) -> Result<(), WriteError> {
        if self.groups.contains_key(&group) {
            return Ok(());
        }
        let key = self.keyspace.digest(group);
        let known = self.read.get(&key);
        let mut digests = Digests::default();
        if let Some(known) = known
            && !digests.decode_group(group, &known.value)
        {
            return Err(WriteError::MalformedDigest(
                String::from_utf8_lossy(&key).into_owned(),
            ));
        }
        let mod_revision = known.map_or(0, |known| known.mod_revision);
        self.transaction
            .guards
            .push(ModRevisionGuard { key, mod_revision });
        self.groups.insert(group, digests);
        Ok(())
    }

    fn finish(mut self) -> Transaction {
        for (group, digests) in &self.groups {
            let (key, value) = (self.keyspace.digest(*group), digests.encode_group(*group));
            self.transaction
                .operations
                .push(Operation::Put { key, value });
        }
        self.transaction
    }
}
