//! The envelope of all documents: `{"when_stale":"serve"|"refuse","spec":{...}}`.

use super::InvalidEntry;
use crate::view::WhenStale;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// A document whose `spec` isn't parsed yet.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// What applies while the view can't be proven current.
    #[serde(default)]
    pub when_stale: WhenStale,
    /// The contents, which the schema parses.
    pub spec: serde_json::Value,
}

/// The remedy for a document without a valid envelope.
const ENVELOPE_REMEDY: &str = r#"write {"when_stale":"serve" or "refuse","spec":{...}}"#;

impl Envelope {
    /// Parses a document of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// If the document is longer, or isn't a valid envelope.
    pub fn parse(document: &[u8], max_bytes: usize) -> Result<Envelope, InvalidEntry> {
        if document.len() > max_bytes {
            let reason = format!(
                "the document has {} bytes, over the limit of {max_bytes}",
                document.len()
            );
            return Err(InvalidEntry::new(
                reason,
                "shorten it, or raise max_value_bytes at all front ends",
            ));
        }
        serde_json::from_slice(document)
            .map_err(|error| InvalidEntry::new(error.to_string(), ENVELOPE_REMEDY))
    }
}

/// Parses a `spec`; `example` is shown in the remedy.
pub(super) fn parse_spec<T: DeserializeOwned>(
    spec: serde_json::Value,
    example: &str,
) -> Result<T, InvalidEntry> {
    serde_json::from_value(spec).map_err(|error| {
        InvalidEntry::new(
            format!("spec: {error}"),
            format!("write a spec such as {example}"),
        )
    })
}

/// Checks that a number is within its range.
pub(super) fn check_range(
    field: &str,
    value: f64,
    range: std::ops::RangeInclusive<f64>,
) -> Result<(), InvalidEntry> {
    if range.contains(&value) {
        return Ok(());
    }
    let remedy = format!(
        "choose {field} between {} and {}",
        range.start(),
        range.end()
    );
    Err(InvalidEntry::new(format!("{field} is {value}"), remedy))
}
