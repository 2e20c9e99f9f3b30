//! The configuration of the dispatch policy.

use crate::SettingsError;
use crate::value::{
    amount, amount_or, customers, flag, is_present, is_second, list, number_within, seconds,
    seconds_or, text,
};
use orchidtally_dispatch_policy::interface::{
    DeduplicationScope, Idempotency, PolicyConfig, TriggerType,
};
use serde_json::Value;

/// Reads the platform's settings object, in JSON, into the configuration of the dispatch policy.
///
/// # Errors
/// It is no JSON, or a key is missing, of another type or out of range; the error names the key.
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
            .map(|customer| amount(customer, "quotaRps"))
            .collect::<Result<_, _>>()?,
        over_quota_value_factor: amount_or(settings, "overShareWorth", 1.0)?,
        bills_by_work: is_second(settings, "valueBy", ["request", "work"])?,
        front_ends: amount_or(settings, "balancers", 1.0)?.max(1.0),
        front_end_index: amount_or(settings, "index", 0.0)?,
        zone: if is_present(settings, "zone") {
            number_within(settings, "zone", 0.0, 255.0)? as u8
        } else {
            0
        },
        cross_zone_cost: amount_or(settings, "penalties.crossZone", 0.0)?,
        zone_regions: vec![],
        clock_tick: seconds(settings, "tick")?,
        max_dispatches: number_within(settings, "limits.maxAttempts", 1.0, f64::INFINITY)?
            .min(255.0) as u8,
        allows_hedging: flag(settings, "limits.secondCopies")?,
        allows_cancellation: flag(settings, "limits.cancel")?,
        max_retry_after: if flag(settings, "limits.retryAfter")? {
            seconds(settings, "limits.maxRetryAfter")?
        } else {
            0.0
        },
        polls_endpoints: is_second(settings, "registryMode", ["push", "ask"])?,
        slow_start_duration: seconds(settings, "safety.cold")?,
        slow_start_initial_weight: number_within(settings, "safety.coldFrom", 0.0, 1.0)?,
        overload_factor: amount(settings, "safety.overloadFactor")?,
        overload_window: seconds(settings, "safety.fall")?,
        drain_grace: seconds_or(settings, "safety.drainGrace", 0.0)?,
        max_clock_skew: 0.0,
        allows_load_commands: flag(settings, "specifics.loadControl")?,
        load_command_cost: amount_or(settings, "penalties.probe", 0.0)?,
        rejects_unloaded: is_second(settings, "specifics.notLoaded", ["load", "miss"])?,
        reports_concurrency: flag(settings, "specifics.notesPeersInHand")?,
        keep_alive: seconds_or(settings, "specifics.staysLoaded", 0.0)?,
        load_budget_floor: amount_or(settings, "specifics.loadFloor", 0.0)?,
        load_budget_fraction: amount_or(settings, "specifics.loadPart", 0.0)?,
        load_budget_window: seconds_or(settings, "specifics.loadPeriod", 0.0)?,
        backlog_field: load_report_index(settings, |name, _| name == "backlog")?,
        pending_loads_field: load_report_index(settings, |_, meaning| {
            meaning.starts_with("loads under way")
        })?,
    })
}

/// The index of the field of a load report that `is_meant` accepts by its name and by what the settings tell of it.
fn load_report_index(
    settings: &Value,
    is_meant: impl Fn(&str, &str) -> bool,
) -> Result<Option<usize>, SettingsError> {
    if !is_present(settings, "feedback.fields") {
        return Ok(None);
    }
    let meaning = |name: &str| {
        let key = format!("specifics.report{}", name.to_uppercase());
        text(settings, &key).unwrap_or_default()
    };
    let index = list(settings, "feedback.fields")?.iter().position(|field| {
        field
            .as_str()
            .is_some_and(|name| is_meant(name, meaning(name)))
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
        objective_work_factor: amount_or(class, "aimStretch", 0.0)?,
        client_timeout: seconds(class, "deadline")?,
        billed_value: amount_or(class, "credit", 1.0)?,
        late_value_fraction: amount_or(class, "lateWorth", 0.0)?,
        idempotency,
        deduplication_scope,
        deduplication_window,
    })
}

fn idempotency(class: &Value) -> Result<Idempotency, SettingsError> {
    match text(class, "semantics")? {
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
    match text(class, "dedupScope")? {
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
