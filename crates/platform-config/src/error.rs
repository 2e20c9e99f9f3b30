//! Why settings can't be used, and what to do about it.

use thiserror::Error;

/// Why settings can't be used; the text names the key and the remedy.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The bytes are not JSON.
    #[error("settings are not JSON: {0}; write them as one JSON object")]
    NotJson(#[source] serde_json::Error),
    /// A key is missing.
    #[error("settings lack '{key}'; add it")]
    MissingKey {
        /// The key.
        key: String,
    },
    /// A value has another type.
    #[error("setting '{key}' is not {expected}; write one")]
    WrongType {
        /// The key.
        key: String,
        /// The type that is expected.
        expected: &'static str,
    },
    /// A number is out of range.
    #[error("setting '{key}' is {value}; {bounds} is expected")]
    OutOfRange {
        /// The key.
        key: String,
        /// Its value.
        value: f64,
        /// The range.
        bounds: String,
    },
    /// A name is none of those that are known.
    #[error("setting '{key}' has an unknown value '{value}'; {known} are known")]
    UnknownValue {
        /// The key.
        key: String,
        /// Its value.
        value: String,
        /// The values that are known.
        known: String,
    },
}

impl SettingsError {
    pub(crate) fn wrong_type(key: &str, expected: &'static str) -> SettingsError {
        SettingsError::WrongType {
            key: key.into(),
            expected,
        }
    }

    pub(crate) fn unknown_value(key: &str, value: &str, known: &[&str]) -> SettingsError {
        SettingsError::UnknownValue {
            key: key.into(),
            value: value.into(),
            known: known.join(", "),
        }
    }
}
