//! Entries `quotas/<customer>`: the rate at which a customer may invoke functions.

use super::InvalidEntry;
use super::envelope::{check_range, parse_spec};
use serde::{Deserialize, Serialize};

const EXAMPLE: &str = r#"{"calls_per_second":100}"#;

/// A customer's quota over the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSpec {
    /// Maximum number of invocations a second; 0 revokes the customer's access.
    pub calls_per_second: f64,
}

impl QuotaSpec {
    /// Parses and checks the `spec` of a quota.
    ///
    /// # Errors
    ///
    /// If it is malformed or the rate is out of its range.
    pub fn parse(spec: serde_json::Value) -> Result<QuotaSpec, InvalidEntry> {
        let quota: QuotaSpec = parse_spec(spec, EXAMPLE)?;
        check_range("calls_per_second", quota.calls_per_second, 0.0..=1e9)?;
        Ok(quota)
    }

    /// Whether the customer may invoke functions.
    pub fn is_allowed(&self) -> bool {
        self.calls_per_second > 0.0
    }
}
