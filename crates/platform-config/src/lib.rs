//! The platform's settings object, read straight into the `PolicyConfig` that the module keeps. The simulator's
//! adapter and the front end on sockets read it here.

mod fault;

pub use fault::SettingsError;
use orchidtally_dispatch_policy::interface::{
    DeduplicationScope, Idempotency, PolicyConfig, TriggerType,
};
use serde_json::Value;

fn need<'a>(value: &'a Value, key: &str) -> Result<&'a Value, SettingsError> {
    key.split('.')
        .try_fold(value, |v, k| v.get(k))
        .ok_or_else(|| SettingsError::Missing { key: key.into() })
}

fn number(value: &Value, key: &str) -> Result<f64, SettingsError> {
    need(value, key)?
        .as_f64()
        .ok_or_else(|| SettingsError::form(key, "a number"))
}

/// A number within bounds.
fn within(value: &Value, key: &str, least: f64, most: f64) -> Result<f64, SettingsError> {
    let number = number(value, key)?;
    if (least..=most).contains(&number) {
        return Ok(number);
    }
    let bounds = if most.is_finite() {
        format!("{least} to {most}")
    } else {
        format!("{least} or more")
    };
    Err(SettingsError::OutOfRange {
        key: key.into(),
        value: number,
        bounds,
    })
}

/// One that can't be under zero.
fn amount(value: &Value, key: &str) -> Result<f64, SettingsError> {
    within(value, key, 0.0, f64::INFINITY)
}

fn seconds(value: &Value, key: &str) -> Result<f64, SettingsError> {
    Ok(amount(value, key)? / 1e9)
}

/// What some sites leave out.
fn amount_or(value: &Value, key: &str, absent: f64) -> Result<f64, SettingsError> {
    if need(value, key).is_err() {
        Ok(absent)
    } else {
        amount(value, key)
    }
}

/// Whether a setting of two kinds is the second; the first stands where it is left out. Guards against a third
/// that would be held for the first.
fn is_second(value: &Value, key: &str, kinds: [&str; 2]) -> Result<bool, SettingsError> {
    if need(value, key).is_err() {
        return Ok(false);
    }
    let kind = text(value, key)?;
    let known = kinds.iter().position(|k| *k == kind);
    known
        .map(|n| n == 1)
        .ok_or_else(|| SettingsError::unknown(key, kind, &kinds))
}

fn flag(value: &Value, key: &str) -> Result<bool, SettingsError> {
    match need(value, key) {
        Err(_) => Ok(false),
        Ok(v) => v
            .as_bool()
            .ok_or_else(|| SettingsError::form(key, "true or false")),
    }
}

fn text<'a>(value: &'a Value, key: &str) -> Result<&'a str, SettingsError> {
    need(value, key)?
        .as_str()
        .ok_or_else(|| SettingsError::form(key, "a text"))
}

fn list<'a>(value: &'a Value, key: &str) -> Result<&'a [Value], SettingsError> {
    let found = need(value, key)?
        .as_array()
        .ok_or_else(|| SettingsError::form(key, "a list"))?;
    Ok(found)
}

/// Which field of a load report is meant, by its name and by what the settings say of it, if they do.
fn reported(
    v: &Value,
    is_meant: impl Fn(&str, &str) -> bool,
) -> Result<Option<usize>, SettingsError> {
    if need(v, "feedback.fields").is_err() {
        return Ok(None);
    }
    let meaning = |name: &str| {
        text(v, &format!("specifics.report{}", name.to_uppercase())).unwrap_or_default()
    };
    let meant = |f: &Value| f.as_str().is_some_and(|name| is_meant(name, meaning(name)));
    Ok(list(v, "feedback.fields")?.iter().position(meant))
}

fn trigger_type(v: &Value) -> Result<TriggerType, SettingsError> {
    let effect = match text(v, "semantics")? {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::Keyed,
        "side_effect" => Idempotency::NonIdempotent,
        other => {
            return Err(SettingsError::unknown(
                "classes[].semantics",
                other,
                &["pure", "token", "side_effect"],
            ));
        }
    };
    let (group, window) = if effect == Idempotency::Keyed {
        let group = match text(v, "dedupScope")? {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            other => {
                return Err(SettingsError::unknown(
                    "classes[].dedupScope",
                    other,
                    &["all", "zone", "cell"],
                ));
            }
        };
        (group, seconds(v, "dedupWindow")?)
    } else {
        (DeduplicationScope::All, 0.0)
    };
    Ok(TriggerType {
        latency_objective: seconds(v, "aim")?,
        objective_work_factor: amount_or(v, "aimStretch", 0.0)?,
        client_timeout: seconds(v, "deadline")?,
        billed_value: amount_or(v, "credit", 1.0)?,
        late_value_fraction: amount_or(v, "lateWorth", 0.0)?,
        idempotency: effect,
        deduplication_scope: group,
        deduplication_window: window,
    })
}

/// Reads the platform's settings object, in JSON, into the module's configuration; durations become seconds.
///
/// # Errors
/// It is no JSON, or a key is missing, of another form or out of its range: the fault names the key.
pub fn read(bytes: &[u8]) -> Result<PolicyConfig, SettingsError> {
    decode(&serde_json::from_slice(bytes).map_err(|e| SettingsError::NotJson(e.to_string()))?)
}

fn customers(v: &Value) -> Result<&[Value], SettingsError> {
    if need(v, "customers").is_ok() {
        list(v, "customers")
    } else {
        Ok(&[])
    }
}

fn decode(v: &Value) -> Result<PolicyConfig, SettingsError> {
    let customers = customers(v)?;
    Ok(PolicyConfig {
        trigger_types: list(v, "classes")?
            .iter()
            .map(trigger_type)
            .collect::<Result<_, _>>()?,
        quotas: customers
            .iter()
            .map(|c| amount(c, "quotaRps"))
            .collect::<Result<_, _>>()?,
        over_quota_value_factor: amount_or(v, "overShareWorth", 1.0)?,
        bills_by_work: is_second(v, "valueBy", ["request", "work"])?,
        front_ends: amount_or(v, "balancers", 1.0)?.max(1.0),
        front_end_index: amount_or(v, "index", 0.0)?,
        zone: if need(v, "zone").is_ok() {
            within(v, "zone", 0.0, 255.0)? as u8
        } else {
            0
        },
        cross_zone_cost: amount_or(v, "penalties.crossZone", 0.0)?,
        zone_regions: vec![],
        clock_tick: seconds(v, "tick")?,
        max_dispatches: within(v, "limits.maxAttempts", 1.0, f64::INFINITY)?.min(255.0) as u8,
        allows_hedging: flag(v, "limits.secondCopies")?,
        allows_cancellation: flag(v, "limits.cancel")?,
        max_retry_after: if flag(v, "limits.retryAfter")? {
            seconds(v, "limits.maxRetryAfter")?
        } else {
            0.0
        },
        polls_endpoints: is_second(v, "registryMode", ["push", "ask"])?,
        slow_start_duration: seconds(v, "safety.cold")?,
        slow_start_initial_weight: within(v, "safety.coldFrom", 0.0, 1.0)?,
        overload_factor: amount(v, "safety.overloadFactor")?,
        overload_window: seconds(v, "safety.fall")?,
        drain_grace: amount_or(v, "safety.drainGrace", 0.0)? / 1e9,
        max_clock_skew: 0.0,
        allows_load_commands: flag(v, "specifics.loadControl")?,
        load_command_cost: amount_or(v, "penalties.probe", 0.0)?,
        rejects_unloaded: is_second(v, "specifics.notLoaded", ["load", "miss"])?,
        reports_concurrency: flag(v, "specifics.notesPeersInHand")?,
        keep_alive: amount_or(v, "specifics.staysLoaded", 0.0)? / 1e9,
        load_budget_floor: amount_or(v, "specifics.loadFloor", 0.0)?,
        load_budget_fraction: amount_or(v, "specifics.loadPart", 0.0)?,
        load_budget_window: amount_or(v, "specifics.loadPeriod", 0.0)? / 1e9,
        backlog_field: reported(v, |name, _| name == "backlog")?,
        pending_loads_field: reported(v, |_, meaning| meaning.starts_with("loads under way"))?,
    })
}

/// What the platform's front end needs of the settings besides the policy configuration.
#[derive(Clone, Debug)]
pub struct FrontEndSettings {
    pub policy: PolicyConfig,
    /// Names, each list by the index that the module knows.
    pub trigger_types: Vec<String>,
    /// Those that have shares; none on some deployments.
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    pub executor_kinds: Vec<String>,
    pub load_report_fields: Vec<String>,
    pub max_open_invocations: usize,
    pub max_streams_per_connection: usize,
    pub connect_timeout: f64,
    /// Executors close what was idle for so long.
    pub idle_timeout: f64,
    /// An order to load without an answer by then has timed out.
    pub load_command_timeout: f64,
}

fn names(value: &Value, key: &str) -> Result<Vec<String>, SettingsError> {
    let name = |v: &Value| v.as_str().map(str::to_owned);
    let all = list(value, key)?.iter().map(name).collect::<Option<_>>();
    all.ok_or_else(|| SettingsError::form(key, "a list of texts"))
}

/// Reads settings for a front end on sockets.
///
/// # Errors
/// A key is missing, of another form or out of its range: the fault names the key.
pub fn front_end_settings(v: &Value) -> Result<FrontEndSettings, SettingsError> {
    let trigger_types = list(v, "classes")?
        .iter()
        .map(|c| text(c, "name").map(str::to_owned));
    Ok(FrontEndSettings {
        policy: decode(v)?,
        trigger_types: trigger_types.collect::<Result<_, _>>()?,
        customers: customers(v)?
            .iter()
            .map(|c| text(c, "name").map(str::to_owned))
            .collect::<Result<_, _>>()?,
        zones: names(v, "zones")?,
        executor_kinds: names(v, "shapes")?,
        load_report_fields: if need(v, "feedback.fields").is_ok() {
            names(v, "feedback.fields")?
        } else {
            vec![]
        },
        max_open_invocations: within(v, "limits.maxOpen", 1.0, f64::INFINITY)?.min(1e6) as usize,
        max_streams_per_connection: within(v, "limits.streamsPerConn", 1.0, f64::INFINITY)?.min(1e4)
            as usize,
        connect_timeout: seconds(v, "limits.connectTimeout")?,
        idle_timeout: seconds(v, "limits.idleClose")?,
        load_command_timeout: amount_or(v, "specifics.answerWithin", f64::INFINITY)? / 1e9,
    })
}
