//! The platform's settings object, walked straight into the terms that the module keeps. The simulator's
//! adapter and the front end on sockets read it here.

use orchidtally::interface::{Effect, Group, Terms, TriggerType};
use serde_json::Value;

fn need<'a>(value: &'a Value, key: &str) -> Result<&'a Value, String> {
    key.split('.').try_fold(value, |v, k| v.get(k)).ok_or_else(|| format!("settings lack '{key}'"))
}

fn number(value: &Value, key: &str) -> Result<f64, String> {
    need(value, key)?.as_f64().ok_or_else(|| format!("setting '{key}' is not a number"))
}

fn seconds(value: &Value, key: &str) -> Result<f64, String> {
    Ok(number(value, key)? / 1e9)
}

/// A number that some sites leave out.
fn number_or(value: &Value, key: &str, absent: f64) -> Result<f64, String> {
    if need(value, key).is_err() { Ok(absent) } else { number(value, key) }
}

fn flag(value: &Value, key: &str) -> Result<bool, String> {
    match need(value, key) {
        Err(_) => Ok(false),
        Ok(v) => v.as_bool().ok_or_else(|| format!("setting '{key}' is not true or false")),
    }
}

fn text<'a>(value: &'a Value, key: &str) -> Result<&'a str, String> {
    need(value, key)?.as_str().ok_or_else(|| format!("setting '{key}' is not a text"))
}

fn list<'a>(value: &'a Value, key: &str) -> Result<&'a [Value], String> {
    let found = need(value, key)?.as_array().ok_or_else(|| format!("setting '{key}' is not a list"))?;
    Ok(found)
}

/// Which field of a load report is meant, by its name and by what the settings say of it, if they do.
fn reported(v: &Value, is_meant: impl Fn(&str, &str) -> bool) -> Result<Option<usize>, String> {
    if need(v, "feedback.fields").is_err() {
        return Ok(None);
    }
    let meaning =
        |name: &str| text(v, &format!("specifics.report{}", name.to_uppercase())).unwrap_or_default();
    let meant = |f: &Value| f.as_str().is_some_and(|name| is_meant(name, meaning(name)));
    Ok(list(v, "feedback.fields")?.iter().position(meant))
}

fn trigger_type(v: &Value) -> Result<TriggerType, String> {
    let effect = match text(v, "semantics")? {
        "pure" => Effect::Idempotent,
        "token" => Effect::Tokened,
        "side_effect" => Effect::NonIdempotent,
        other => return Err(format!("setting 'classes[].semantics' has an unknown value '{other}'")),
    };
    let (group, window) = if effect == Effect::Tokened {
        let group = match text(v, "dedupScope")? {
            "all" => Group::All,
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            other => return Err(format!("setting 'classes[].dedupScope' has an unknown value '{other}'")),
        };
        (group, seconds(v, "dedupWindow")?)
    } else {
        (Group::All, 0.0)
    };
    Ok(TriggerType {
        objective: seconds(v, "aim")?,
        stretch: number_or(v, "aimStretch", 0.0)?,
        timeout: seconds(v, "deadline")?,
        billed_value: number_or(v, "credit", 1.0)?,
        late_share: number_or(v, "lateWorth", 0.0)?,
        effect,
        group,
        window,
    })
}

pub fn read(bytes: &[u8]) -> Result<Terms, String> {
    decode(&serde_json::from_slice(bytes).map_err(|e| format!("settings are not JSON: {e}"))?)
}

fn decode(v: &Value) -> Result<Terms, String> {
    let customers = if need(v, "customers").is_ok() { list(v, "customers")? } else { &[] };
    Ok(Terms {
        trigger_types: list(v, "classes")?.iter().map(trigger_type).collect::<Result<_, _>>()?,
        quotas: customers.iter().map(|c| number(c, "quotaRps")).collect::<Result<_, _>>()?,
        over_share_value: number_or(v, "overShareWorth", 1.0)?,
        value_by_work: need(v, "valueBy").is_ok_and(|w| w == "work"),
        front_ends: number_or(v, "balancers", 1.0)?.max(1.0),
        index: number_or(v, "index", 0.0)?.max(0.0),
        zone: number_or(v, "zone", 0.0)?.clamp(0.0, 255.0) as u8,
        crossing: number_or(v, "penalties.crossZone", 0.0)?.max(0.0),
        tick: seconds(v, "tick")?,
        max_dispatches: number(v, "limits.maxAttempts")?.clamp(0.0, 255.0) as u8,
        second_copies: flag(v, "limits.secondCopies")?,
        cancel: flag(v, "limits.cancel")?,
        max_retry_after: if flag(v, "limits.retryAfter")? {
            seconds(v, "limits.maxRetryAfter")?
        } else {
            0.0
        },
        roster_asked: need(v, "registryMode").is_ok_and(|m| m == "ask"),
        cold: seconds(v, "safety.cold")?,
        cold_from: number(v, "safety.coldFrom")?,
        overload_factor: number(v, "safety.overloadFactor")?,
        fall: seconds(v, "safety.fall")?,
        skew: 0.0,
        orders: flag(v, "specifics.loadControl")?,
        order_price: number_or(v, "penalties.probe", 0.0)?.max(0.0),
        answers_miss: need(v, "specifics.notLoaded").is_ok_and(|m| m == "miss"),
        tells_crowd: flag(v, "specifics.notesPeersInHand")?,
        keep_alive: number_or(v, "specifics.staysLoaded", 0.0)? / 1e9,
        ration_floor: number_or(v, "specifics.loadFloor", 0.0)?,
        ration_share: number_or(v, "specifics.loadPart", 0.0)?,
        ration_window: number_or(v, "specifics.loadPeriod", 0.0)? / 1e9,
        backlog_field: reported(v, |name, _| name == "backlog")?,
        loads_field: reported(v, |_, meaning| meaning.starts_with("loads under way"))?,
    })
}

/// What the platform's front end needs of the settings besides the terms.
#[derive(Clone, Debug)]
pub struct Grounds {
    pub terms: Terms,
    /// Names, each list by the index that the module knows.
    pub trigger_types: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report: Vec<String>,
    pub most_open: usize,
    pub streams: usize,
    pub connect_time: f64,
    /// Executors close what was idle for so long.
    pub idle_close: f64,
    /// An order to load without an answer by then has timed out.
    pub order_time: f64,
}

fn names(value: &Value, key: &str) -> Result<Vec<String>, String> {
    let name = |v: &Value| v.as_str().map(str::to_owned);
    let all = list(value, key)?.iter().map(name).collect::<Option<_>>();
    all.ok_or_else(|| format!("setting '{key}' holds something other than texts"))
}

/// Reads settings for a front end on sockets.
pub fn grounds(v: &Value) -> Result<Grounds, String> {
    let trigger_types = list(v, "classes")?.iter().map(|c| text(c, "name").map(str::to_owned));
    Ok(Grounds {
        terms: decode(v)?,
        trigger_types: trigger_types.collect::<Result<_, _>>()?,
        zones: names(v, "zones")?,
        kinds: names(v, "shapes")?,
        report: if need(v, "feedback.fields").is_ok() { names(v, "feedback.fields")? } else { vec![] },
        most_open: number(v, "limits.maxOpen")?.clamp(1.0, 1e6) as usize,
        streams: number(v, "limits.streamsPerConn")?.clamp(1.0, 1e4) as usize,
        connect_time: seconds(v, "limits.connectTimeout")?.max(0.0),
        idle_close: seconds(v, "limits.idleClose")?.max(0.0),
        order_time: number_or(v, "specifics.answerWithin", f64::INFINITY)?.max(0.0) / 1e9,
    })
}
