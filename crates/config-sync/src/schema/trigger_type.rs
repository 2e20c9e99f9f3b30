//! Entries `trigger-types/<name>`: the latency objective and timeout of a kind of invocation.

use super::InvalidEntry;
use super::envelope::{check_range, parse_spec};
use serde::{Deserialize, Serialize};

const EXAMPLE: &str = r#"{"objective":0.5,"timeout":10}"#;

/// A trigger type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TriggerTypeSpec {
    /// Latency objective in seconds.
    pub objective: f64,
    /// Client timeout in seconds; not below the objective.
    pub timeout: f64,
}

impl TriggerTypeSpec {
    /// Parses and checks the `spec` of a trigger type.
    ///
    /// # Errors
    ///
    /// If it is malformed, or a time is out of its range.
    pub fn parse(spec: serde_json::Value) -> Result<TriggerTypeSpec, InvalidEntry> {
        let trigger_type: TriggerTypeSpec = parse_spec(spec, EXAMPLE)?;
        check_range("objective", trigger_type.objective, 0.001..=3_600.0)?;
        check_range("timeout", trigger_type.timeout, 0.001..=3_600.0)?;
        if trigger_type.timeout < trigger_type.objective {
            let reason = format!(
                "the client timeout of {} s is below the latency objective of {} s",
                trigger_type.timeout, trigger_type.objective
            );
            return Err(InvalidEntry::new(
                reason,
                "raise the timeout, or lower the objective",
            ));
        }
        Ok(trigger_type)
    }
}
