//! Why settings can't be used, and what to do about it.

use thiserror::Error;

#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    #[error("settings are not JSON: {0}; write them as one JSON object")]
    NotJson(String),
    #[error("settings lack '{key}'; add it")]
    Missing { key: String },
    #[error("setting '{key}' is not {wanted}; write one")]
    WrongType { key: String, wanted: &'static str },
    #[error("setting '{key}' is {value}; {bounds} is wanted")]
    OutOfRange {
        key: String,
        value: f64,
        bounds: String,
    },
    #[error("setting '{key}' has an unknown value '{value}'; {known} are known")]
    Unknown {
        key: String,
        value: String,
        known: String,
    },
}

impl SettingsError {
    pub(crate) fn form(key: &str, wanted: &'static str) -> SettingsError {
        SettingsError::WrongType {
            key: key.into(),
            wanted,
        }
    }

    pub(crate) fn unknown(key: &str, value: &str, known: &[&str]) -> SettingsError {
        SettingsError::Unknown {
            key: key.into(),
            value: value.into(),
            known: known.join(", "),
        }
    }
}
