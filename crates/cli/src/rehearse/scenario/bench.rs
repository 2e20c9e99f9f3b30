//! Conversion of the users' bench scenarios, as far as a rehearsal supports them.

use super::{FAULT_KINDS, Scenario, ScheduledFault};

/// Converts microseconds, the unit of the users' bench, to seconds.
fn from_micros(micros: f64) -> f64 {
    micros / 1e6
}

/// Converts the faults of a bench scenario, with their times scaled by `stretch`. Those of unknown kinds are appended
/// to `left_out`.
fn bench_faults(
    scenario: &serde_json::Value,
    stretch: f64,
    length: f64,
    left_out: &mut Vec<String>,
) -> Vec<ScheduledFault> {
    let mut faults = vec![];
    for fault in scenario
        .get("troubles")
        .and_then(|list| list.as_array())
        .into_iter()
        .flatten()
    {
        let field = |key: &str| fault.get(key).and_then(serde_json::Value::as_f64);
        let name = fault
            .get("kind")
            .and_then(|kind| kind.as_str())
            .unwrap_or("unnamed");
        let description = FAULT_KINDS
            .iter()
            .find(|description| description.bench_name == Some(name));
        let Some(description) = description else {
            left_out.push(format!("the trouble '{name}'"));
            continue;
        };
        let size = field("size")
            .filter(|size| *size > 0.0 && *size <= 1.0)
            .unwrap_or(description.default_size);
        let at = (from_micros(field("at").unwrap_or(0.0)) * stretch).clamp(0.0, length);
        let duration = (from_micros(field("len").unwrap_or(1e6)) * stretch).clamp(0.2, length);
        faults.push(ScheduledFault {
            kind: description.kind,
            at,
            duration,
            size,
        });
    }
    faults
}

/// A converted scenario of the users' bench.
pub struct BenchScenario {
    /// The scenario, scaled down to this machine.
    pub scenario: Scenario,
    /// Descriptions of what could not be carried over, for the user.
    pub left_out: Vec<String>,
}

/// Why a file is not a scenario of the users' bench.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// The file is not JSON.
    #[error("not a scenario of the bench: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The scenario has no length.
    #[error("not a scenario of the bench: it has no length")]
    NoLength,
}

/// Sections of a bench file that a rehearsal ignores: the JSON pointer and the description for the user.
const IGNORED_SECTIONS: [(&str, &str); 4] = [
    (
        "/traffic/shape",
        "the shape of the traffic over time: the rate is constant",
    ),
    (
        "/classes",
        "its trigger types: the rehearsal's own are used",
    ),
    ("/tenants/0", "its customers and their shares"),
    (
        "/fam",
        "sizes, loads and popularity of its functions: the rehearsal's own are used",
    ),
];
/// Invocations per second that one executor can execute.
const RATE_PER_EXECUTOR: f64 = 40.0;
/// The highest rate of a converted scenario, in invocations per second.
const MAX_RATE: f64 = 600.0;

/// Converts a scenario that the users' bench printed, scaled down to this machine.
///
/// # Errors
/// The text is not JSON, or the scenario has no length.
pub fn from_bench(text: &str) -> Result<BenchScenario, BenchError> {
    let bench_scenario: serde_json::Value = serde_json::from_str(text)?;
    let number = |key: &str| {
        bench_scenario
            .pointer(key)
            .and_then(serde_json::Value::as_f64)
    };
    let seconds = from_micros(number("/length").ok_or(BenchError::NoLength)?);
    let mut left_out = vec![];
    let length = seconds.clamp(5.0, 30.0);
    let stretch = length / seconds;
    if (stretch - 1.0).abs() > 1e-9 {
        left_out.push(format!("{seconds:.1} s are scaled to {length:.1} s"));
    }
    let count = |key: &str| {
        bench_scenario
            .get(key)
            .and_then(|list| list.as_array())
            .map(Vec::len)
    };
    let (servers, balancers) = (
        count("servers").unwrap_or(12),
        count("balancers").unwrap_or(4),
    );
    let locations = count("zones").unwrap_or(1).clamp(1, 6);
    let (executors, front_ends) = (servers.clamp(locations, 24), balancers.clamp(1, 6));
    if (executors, front_ends) != (servers, balancers) {
        left_out.push(format!(
            "{servers} executors and {balancers} front ends are replaced by {executors} and {front_ends}"
        ));
    }
    let faults = bench_faults(&bench_scenario, stretch, length, &mut left_out);
    let ignored = IGNORED_SECTIONS
        .iter()
        .filter(|(key, _)| bench_scenario.pointer(key).is_some());
    left_out.extend(ignored.map(|(_, note)| (*note).to_owned()));
    let load = number("/traffic/load").unwrap_or(0.7);
    let rate = (load * executors as f64 * RATE_PER_EXECUTOR).min(MAX_RATE);
    left_out.push(format!(
        "its rate: {rate:.0} invocations per second are sent, {load:.2} of these executors' capacity"
    ));
    let scenario = Scenario {
        length,
        front_ends: front_ends as u32,
        executors,
        locations: locations as u32,
        rate,
        faults,
        clock_step: 0.0,
        ..Scenario::with_all_faults(1, length)
    };
    Ok(BenchScenario { scenario, left_out })
}
