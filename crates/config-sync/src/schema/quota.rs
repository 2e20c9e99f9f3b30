//! Entries `quotas/<customer>`: how much a customer may call.

use super::InvalidEntry;
use super::envelope::{check_range, read_spec};
use serde::{Deserialize, Serialize};

const SHAPE: &str = r#"{"calls_per_second":100}"#;

/// A customer's quota over the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSpec {
    /// Calls a second at most; 0 takes the customer's access away.
    pub calls_per_second: f64,
}

impl QuotaSpec {
    /// Reads and checks a quota's `spec`.
    pub fn parse(spec: serde_json::Value) -> Result<QuotaSpec, InvalidEntry> {
        let quota: QuotaSpec = read_spec(spec, SHAPE)?;
        check_range("calls_per_second", quota.calls_per_second, 0.0..=1e9)?;
        Ok(quota)
    }

    /// Whether the customer may call at all.
    pub fn is_allowed(&self) -> bool {
        self.calls_per_second > 0.0
    }
}
