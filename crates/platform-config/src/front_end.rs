//! The settings of a front end on sockets.

use crate::SettingsError;
use crate::policy::policy_config;
use crate::value::{customers, is_present, list, names, number_within, seconds, seconds_or, texts};
use orchidtally_dispatch_policy::interface::PolicyConfig;
use serde_json::Value;

/// The most invocations that may be open, whatever the settings tell.
const MAX_OPEN_INVOCATIONS: f64 = 1e6;
/// The most streams of a connection, whatever the settings tell.
const MAX_STREAMS: f64 = 1e4;

/// What the platform's front end reads from the settings.
#[derive(Clone, Debug)]
pub struct FrontEndSettings {
    /// The configuration of the dispatch policy.
    pub policy: PolicyConfig,
    /// The names of the trigger types, by the policy's index.
    pub trigger_types: Vec<String>,
    /// The names of the customers with a quota, by the policy's index; some deployments have none.
    pub customers: Vec<String>,
    /// The names of the zones, by the policy's index.
    pub zones: Vec<String>,
    /// The names of the executor kinds, by the policy's index.
    pub executor_kinds: Vec<String>,
    /// The fields of the executors' load reports, in the policy's order.
    pub load_report_fields: Vec<String>,
    /// Invocations that may be open at once.
    pub max_open_invocations: usize,
    /// Dispatches that may be open at once on a connection to an executor.
    pub max_streams_per_connection: usize,
    /// Seconds within which a connection to an executor has to be made.
    pub connect_timeout: f64,
    /// Seconds after which executors close an idle connection.
    pub idle_timeout: f64,
    /// Seconds after which a load command without an answer has timed out.
    pub load_command_timeout: f64,
}

/// Reads the settings of a front end on sockets.
///
/// # Errors
/// A key is missing, of another type or out of range; the error names the key.
pub fn front_end_settings(settings: &Value) -> Result<FrontEndSettings, SettingsError> {
    let classes = list(settings, "classes")?;
    Ok(FrontEndSettings {
        policy: policy_config(settings)?,
        trigger_types: names(classes)?,
        customers: names(customers(settings)?)?,
        zones: texts(settings, "zones")?,
        executor_kinds: texts(settings, "shapes")?,
        load_report_fields: load_report_fields(settings)?,
        max_open_invocations: number_within(settings, "limits.maxOpen", 1.0, f64::INFINITY)?
            .min(MAX_OPEN_INVOCATIONS) as usize,
        max_streams_per_connection: number_within(
            settings,
            "limits.streamsPerConn",
            1.0,
            f64::INFINITY,
        )?
        .min(MAX_STREAMS) as usize,
        connect_timeout: seconds(settings, "limits.connectTimeout")?,
        idle_timeout: seconds(settings, "limits.idleClose")?,
        load_command_timeout: seconds_or(settings, "specifics.answerWithin", f64::INFINITY)?,
    })
}

fn load_report_fields(settings: &Value) -> Result<Vec<String>, SettingsError> {
    if is_present(settings, "feedback.fields") {
        texts(settings, "feedback.fields")
    } else {
        Ok(vec![])
    }
}
