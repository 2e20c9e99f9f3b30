//! Why an executor's entry can't be used.

use std::net::AddrParseError;

/// An executor's entry that can't be used. The texts are printed under `roster.faults` of `GET /v1/front-end`.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The value isn't JSON.
    #[error("no JSON: {0}")]
    InvalidJson(#[source] serde_json::Error),
    /// The key has no last segment that could be an address.
    #[error("no address in its key")]
    MissingAddress,
    /// The address isn't `IP:PORT`.
    #[error("{0}")]
    InvalidAddress(#[source] AddrParseError),
    /// The deployment file doesn't allow the address.
    #[error("its address is in none of the allowed networks")]
    AddressNotAllowed,
    /// The state is neither of those that an executor can register with.
    #[error("the standing '{0}' is neither 'ready' nor 'draining'")]
    UnknownState(String),
    /// The state isn't set.
    #[error("its standing is not told")]
    MissingState,
    /// A field that has to be a number is of another type.
    #[error("'{field}' is no number")]
    NotANumber {
        /// Name of the field.
        field: &'static str,
    },
    /// The deployment file doesn't have the location or executor kind.
    #[error("{category} '{name}' is not in the deployment file")]
    UnknownName {
        /// What the name stands for: `location` or `kind`.
        category: &'static str,
        /// The name in the entry.
        name: String,
    },
    /// The cell number is too large.
    #[error("cell {0} is over 65535")]
    CellOutOfRange(u32),
}
