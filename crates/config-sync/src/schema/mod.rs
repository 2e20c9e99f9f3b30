//! The contents of entries. The host passes a [`Schema`] to the core; [`GatewaySchema`] is the schema of this gateway.

mod envelope;
mod function;
mod gateway;
mod quota;
mod trigger_type;

pub use envelope::Envelope;
pub use function::{FunctionSpec, VersionSpec};
pub use gateway::{GatewayEntry, GatewaySchema};
pub use quota::QuotaSpec;
pub use trigger_type::TriggerTypeSpec;

use crate::keys::EntryKey;
use crate::view::View;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a document isn't a valid entry, and what to do about it.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{reason}; {remedy}")]
pub struct InvalidEntry {
    /// What is wrong with it.
    pub reason: String,
    /// What the writer can do about it.
    pub remedy: String,
}

impl InvalidEntry {
    /// Creates an error from its reason and remedy.
    pub fn new(reason: impl Into<String>, remedy: impl Into<String>) -> InvalidEntry {
        InvalidEntry {
            reason: reason.into(),
            remedy: remedy.into(),
        }
    }
}

/// An entry whose transaction was rejected. The last good entry stays in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The logical key, or the key in the store if it isn't that of an entry.
    pub key: String,
    /// The revision of the rejected transaction.
    pub revision: i64,
    /// What is wrong.
    pub reason: String,
    /// What the writer can do about it.
    pub remedy: String,
}

/// A violation of a rule between entries that [`Schema::check`] found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The entry that violates the rule.
    pub key: EntryKey,
    /// The rule, and the remedy.
    pub invalid: InvalidEntry,
}

/// Parses documents into entries, and checks rules between them.
pub trait Schema {
    /// A parsed entry.
    type Entry;

    /// Parses the `spec` of a document.
    ///
    /// # Errors
    ///
    /// If it isn't a valid entry of the key's kind.
    fn parse(&self, key: &EntryKey, spec: serde_json::Value) -> Result<Self::Entry, InvalidEntry>;

    /// Checks rules between the entries of a view before it is in force. `changed` has the keys that differ from the
    /// previous view, including deleted ones; rules that they can't affect needn't be checked again.
    fn check(&self, candidate: &View<Self::Entry>, changed: &[EntryKey]) -> Vec<Violation>;

    /// Whether the entry allows its function, customer or trigger type to be used.
    fn is_allowed(&self, entry: &Self::Entry) -> bool;
}
