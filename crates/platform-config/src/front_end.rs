//! The settings of the platform's front end, the process that serves clients over sockets.

use crate::SettingsError;
use crate::policy::policy_config;
use crate::value::{
    customers, is_present, list, names, number_within, seconds, seconds_or, strings,
};
use orchidtally_dispatch_policy::interface::PolicyConfig;
use serde_json::Value;

/// The upper bound on open invocations, whatever the settings allow.
const MAX_OPEN_INVOCATIONS: f64 = 1e6;
/// The upper bound on streams per connection, whatever the settings allow.
const MAX_STREAMS_PER_CONNECTION: f64 = 1e4;

/// The settings that the platform's front end uses.
#[derive(Clone, Debug)]
pub struct FrontEndSettings {
    /// The configuration of the dispatch policy.
    pub policy: PolicyConfig,
    /// The names of the trigger types, by the policy's index.
    pub trigger_types: Vec<String>,
    /// The names of the customers with a quota, by the policy's index; empty if the settings name none.
    pub customers: Vec<String>,
    /// The names of the zones, by the policy's index.
    pub zones: Vec<String>,
    /// The names of the executor kinds, by the policy's index.
    pub executor_kinds: Vec<String>,
    /// The names of the fields of load reports, in the policy's order; empty if the settings name none.
    pub load_report_fields: Vec<String>,
    /// The maximum number of invocations that are open at the same time.
    pub max_open_invocations: usize,
    /// The maximum number of dispatches that are open at the same time on a connection to an executor.
    pub max_streams_per_connection: usize,
    /// The timeout of connection attempts to executors, in seconds.
    pub connect_timeout: f64,
    /// The time in seconds after which executors close an idle connection.
    pub idle_timeout: f64,
    /// The timeout of load commands, in seconds; infinite if the settings have none.
    pub load_command_timeout: f64,
}

/// Reads the settings of a front end from the platform's settings object.
///
/// # Errors
/// A key is missing, or a value has the wrong type or is out of range; the error names the key.
pub fn front_end_settings(settings: &Value) -> Result<FrontEndSettings, SettingsError> {
    let classes = list(settings, "classes")?;
    Ok(FrontEndSettings {
        policy: policy_config(settings)?,
        trigger_types: names(classes)?,
        customers: names(customers(settings)?)?,
        zones: strings(settings, "zones")?,
        executor_kinds: strings(settings, "shapes")?,
        load_report_fields: load_report_fields(settings)?,
        max_open_invocations: number_within(settings, "limits.maxOpen", 1.0, f64::INFINITY)?
            .min(MAX_OPEN_INVOCATIONS) as usize,
        max_streams_per_connection: number_within(
            settings,
            "limits.streamsPerConn",
            1.0,
            f64::INFINITY,
        )?
        .min(MAX_STREAMS_PER_CONNECTION) as usize,
        connect_timeout: seconds(settings, "limits.connectTimeout")?,
        idle_timeout: seconds(settings, "limits.idleClose")?,
        load_command_timeout: seconds_or(settings, "specifics.answerWithin", f64::INFINITY)?,
    })
}

fn load_report_fields(settings: &Value) -> Result<Vec<String>, SettingsError> {
    if is_present(settings, "feedback.fields") {
        strings(settings, "feedback.fields")
    } else {
        Ok(vec![])
    }
}
