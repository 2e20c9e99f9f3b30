//! The error type of this crate.

use thiserror::Error;

/// Why settings can't be used. The message names the key and what to write there.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The bytes are not JSON.
    #[error("settings are not JSON: {0}; expected one JSON object")]
    NotJson(#[source] serde_json::Error),
    /// A required key is missing.
    #[error("setting '{key}' is missing; add it")]
    MissingKey {
        /// The key.
        key: String,
    },
    /// A value has the wrong type.
    #[error("setting '{key}' must be {expected}")]
    WrongType {
        /// The key.
        key: String,
        /// The expected type, with its article.
        expected: &'static str,
    },
    /// A number is out of range.
    #[error("setting '{key}' is {value}; expected {bounds}")]
    OutOfRange {
        /// The key.
        key: String,
        /// The value.
        value: f64,
        /// The allowed range, in words.
        bounds: String,
    },
    /// A value is not one of the allowed names.
    #[error("setting '{key}' has an unknown value '{value}'; expected one of {known}")]
    UnknownValue {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The allowed values, separated by commas.
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
