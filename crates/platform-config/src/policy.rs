//! Reads the configuration of the dispatch policy.

use crate::SettingsError;
use crate::value::{
    boolean_or_false, customers, has_second_value, is_present, list, non_negative, non_negative_or,
    number_within, seconds, seconds_or, string,
};
use orchidtally_dispatch_policy::interface::{
    DeduplicationScope, Idempotency, PolicyConfig, TriggerType,
};
use serde_json::Value;

/// Parses the platform's settings object from JSON into the configuration of the dispatch policy.
///
/// # Errors
/// The bytes are not JSON, a key is missing, or a value has the wrong type or is out of range; the error names the key.
pub fn parse_policy_config(bytes: &[u8]) -> Result<PolicyConfig, SettingsError> {
    let settings = serde_json::from_slice(bytes).map_err(SettingsError::NotJson)?;
    policy_config(&settings)
}

pub(crate) fn policy_config(settings: &Value) -> Result<PolicyConfig, SettingsError> {
    let customers = customers(settings)?;
    Ok(PolicyConfig {
        trigger_types: list(settings, "classes")?
            .iter()
            .map(trigger_type)
            .collect::<Result<_, _>>()?,
        quotas: customers
            .iter()
            .map(|customer| non_negative(customer, "quotaRps"))
            .collect::<Result<_, _>>()?,
        over_quota_value_factor: non_negative_or(settings, "overShareWorth", 1.0)?,
        bills_by_work: has_second_value(settings, "valueBy", ["request", "work"])?,
        front_ends: non_negative_or(settings, "balancers", 1.0)?.max(1.0),
        front_end_index: non_negative_or(settings, "index", 0.0)?,
        zone: if is_present(settings, "zone") {
            number_within(settings, "zone", 0.0, 255.0)? as u8
        } else {
            0
        },
        cross_zone_cost: non_negative_or(settings, "penalties.crossZone", 0.0)?,
        zone_regions: vec![],
        max_functions: None,
        clock_tick: seconds(settings, "tick")?,
        max_dispatches: number_within(settings, "limits.maxAttempts", 1.0, f64::INFINITY)?
            .min(255.0) as u8,
        allows_hedging: boolean_or_false(settings, "limits.secondCopies")?,
        allows_cancellation: boolean_or_false(settings, "limits.cancel")?,
        max_retry_after: if boolean_or_false(settings, "limits.retryAfter")? {
            seconds(settings, "limits.maxRetryAfter")?
        } else {
            0.0
        },
        polls_endpoints: has_second_value(settings, "registryMode", ["push", "ask"])?,
        slow_start_duration: seconds(settings, "safety.cold")?,
        slow_start_initial_weight: number_within(settings, "safety.coldFrom", 0.0, 1.0)?,
        overload_factor: non_negative(settings, "safety.overloadFactor")?,
        overload_window: seconds(settings, "safety.fall")?,
        drain_grace: seconds_or(settings, "safety.drainGrace", 0.0)?,
        max_clock_skew: 0.0,
        allows_load_commands: boolean_or_false(settings, "specifics.loadControl")?,
        load_command_cost: non_negative_or(settings, "penalties.probe", 0.0)?,
        rejects_unloaded: has_second_value(settings, "specifics.notLoaded", ["load", "miss"])?,
        reports_concurrency: boolean_or_false(settings, "specifics.notesPeersInHand")?,
        keep_alive: seconds_or(settings, "specifics.staysLoaded", 0.0)?,
        load_budget_floor: non_negative_or(settings, "specifics.loadFloor", 0.0)?,
        load_budget_fraction: non_negative_or(settings, "specifics.loadPart", 0.0)?,
        load_budget_window: seconds_or(settings, "specifics.loadPeriod", 0.0)?,
        backlog_field: load_report_index(settings, |name, _| name == "backlog")?,
        pending_loads_field: load_report_index(settings, |_, description| {
            description.starts_with("loads under way")
        })?,
    })
}

/// Returns the index of the first load report field that `matches` accepts, given its name and its description in the
/// settings.
fn load_report_index(
    settings: &Value,
    matches: impl Fn(&str, &str) -> bool,
) -> Result<Option<usize>, SettingsError> {
    if !is_present(settings, "feedback.fields") {
        return Ok(None);
    }
    let description = |name: &str| {
        let key = format!("specifics.report{}", name.to_uppercase());
        string(settings, &key).unwrap_or_default()
    };
    let index = list(settings, "feedback.fields")?.iter().position(|field| {
        field
            .as_str()
            .is_some_and(|name| matches(name, description(name)))
    });
    Ok(index)
}

fn trigger_type(class: &Value) -> Result<TriggerType, SettingsError> {
    let idempotency = idempotency(class)?;
    let (deduplication_scope, deduplication_window) = if idempotency == Idempotency::Keyed {
        (deduplication_scope(class)?, seconds(class, "dedupWindow")?)
    } else {
        (DeduplicationScope::All, 0.0)
    };
    Ok(TriggerType {
        latency_objective: seconds(class, "aim")?,
        objective_work_factor: non_negative_or(class, "aimStretch", 0.0)?,
        client_timeout: seconds(class, "deadline")?,
        billed_value: non_negative_or(class, "credit", 1.0)?,
        late_value_fraction: non_negative_or(class, "lateWorth", 0.0)?,
        idempotency,
        deduplication_scope,
        deduplication_window,
    })
}

fn idempotency(class: &Value) -> Result<Idempotency, SettingsError> {
    match string(class, "semantics")? {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => Ok(Idempotency::Keyed),
        "side_effect" => Ok(Idempotency::NonIdempotent),
        other => Err(SettingsError::unknown_value(
            "classes[].semantics",
            other,
            &["pure", "token", "side_effect"],
        )),
    }
}

fn deduplication_scope(class: &Value) -> Result<DeduplicationScope, SettingsError> {
    match string(class, "dedupScope")? {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(SettingsError::unknown_value(
            "classes[].dedupScope",
            other,
            &["all", "zone", "cell"],
        )),
    }
}
