//! Why an executor's entry can't be used.

use std::net::AddrParseError;

/// An executor's entry that can't be used. The texts are printed under `roster.faults` of `GET /v1/front-end`.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The value isn't JSON.
    #[error("invalid JSON: {0}")]
    InvalidJson(#[source] serde_json::Error),
    /// The key has no last segment that could be an address.
    #[error("the key has no address")]
    MissingAddress,
    /// The address isn't `IP:PORT`.
    #[error("{0}")]
    InvalidAddress(#[source] AddrParseError),
    /// The deployment file doesn't allow the address.
    #[error("the address is in none of the allowed networks")]
    AddressNotAllowed,
    /// The state is neither of the two that an executor can register with.
    #[error("'standing' is '{0}'; it has to be 'ready' or 'draining'")]
    UnknownState(String),
    /// The state isn't set.
    #[error("'standing' is missing")]
    MissingState,
    /// A field that has to be a number is of another type.
    #[error("'{field}' is not a number")]
    NotANumber {
        /// Name of the field.
        field: &'static str,
    },
    /// The deployment file doesn't have the location or executor kind.
    #[error("{category} '{name}' is not in the deployment file")]
    UnknownName {
        /// What the name refers to: `location` or `kind`.
        category: &'static str,
        /// The name in the entry.
        name: String,
    },
    /// The cell number is too large.
    #[error("cell {0} exceeds 65535")]
    CellOutOfRange(u32),
}
