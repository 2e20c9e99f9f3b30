//! What an entry may hold. The core takes a [`Schema`] from its host; [`GatewaySchema`] is that of this gateway.

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

/// Why a document is no entry, and what to do about it.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{reason}; {remedy}")]
pub struct InvalidEntry {
    /// What is wrong with it.
    pub reason: String,
    /// What the writer can do about it.
    pub remedy: String,
}

impl InvalidEntry {
    /// A reason and its remedy.
    pub fn new(reason: impl Into<String>, remedy: impl Into<String>) -> InvalidEntry {
        InvalidEntry {
            reason: reason.into(),
            remedy: remedy.into(),
        }
    }
}

/// An entry whose transaction was rejected; the last good one stays in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The logical key, or the store key where it is no entry's.
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
    /// The entry that the rule is broken at.
    pub key: EntryKey,
    /// The rule, and what to do.
    pub invalid: InvalidEntry,
}

/// Reads documents into entries, and checks rules between them.
pub trait Schema {
    /// What the host uses of an entry.
    type Entry;

    /// Reads the `spec` of a document.
    fn parse(&self, key: &EntryKey, spec: serde_json::Value) -> Result<Self::Entry, InvalidEntry>;

    /// Checks rules between entries in a view that would be in force. `changed` names the keys that differ from
    /// the view before, deleted ones included; what can't be touched by them need not be checked again.
    fn check(&self, candidate: &View<Self::Entry>, changed: &[EntryKey]) -> Vec<Violation>;

    /// Whether the entry lets its function, customer or trigger type be used at all.
    fn is_allowed(&self, entry: &Self::Entry) -> bool;
}
