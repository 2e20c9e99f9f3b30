//! Scenarios: the traffic and the scheduled faults of a rehearsal.

mod bench;
mod fault_kind;

pub use bench::from_bench;
pub use fault_kind::{FAULT_KINDS, FaultKind};

use orchidtally_deployment::reader::{DeploymentFault, Document, Place};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// A fault of a scenario. Times are in seconds.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// The start, from the beginning of the scenario.
    pub at: f64,
    /// The duration; some kinds of faults take effect at once and ignore it.
    pub duration: f64,
    /// The share of the candidates that the fault affects.
    pub size: f64,
}

/// A scenario of a rehearsal. Times are in seconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The duration of the scenario.
    pub length: f64,
    /// The number of front ends.
    pub front_ends: u32,
    /// The number of executors.
    pub executors: usize,
    /// The number of locations.
    pub locations: u32,
    /// Invocations per second, without retries.
    pub rate: f64,
    /// The number of functions.
    pub functions: usize,
    /// The faults; those of the built-in scenario are sorted by time.
    pub faults: Vec<ScheduledFault>,
    /// The greatest difference between the wall clocks of two front ends.
    pub clock_skew: f64,
    /// The step of one front end's wall clock in the middle of the scenario.
    pub clock_step: f64,
}

impl Scenario {
    /// The built-in scenario: every kind of fault once, overlapping, at times drawn from the seed.
    pub fn with_all_faults(seed: u64, length: f64) -> Scenario {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut faults = vec![];
        for known in FAULT_KINDS {
            // The first tenth has no faults, so that they meet normal operation; the last fifth is for the recovery.
            let at = length * random.random_range(0.1..0.6);
            let duration = length * random.random_range(0.1..0.22);
            faults.push(ScheduledFault {
                kind: known.kind,
                at,
                duration,
                size: known.default_size,
            });
        }
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        Scenario {
            length,
            front_ends: 4,
            executors: 12,
            locations: 3,
            rate: 300.0,
            functions: 40,
            faults,
            clock_skew: 0.3,
            clock_step: 60.0,
        }
    }

    /// Parses a scenario file.
    ///
    /// # Errors
    /// All errors in the file.
    pub fn read(text: &str) -> Result<Scenario, Vec<DeploymentFault>> {
        let document = Document::new(text);
        let Some(value) = document.parse() else {
            return Err(document.faults());
        };
        let root = document.root(&value);
        let top = root.object(&[
            "length",
            "frontEnds",
            "executors",
            "locations",
            "rate",
            "functions",
            "troubles",
            "clockSkew",
            "clockStep",
        ]);
        let default = Scenario::with_all_faults(1, 20.0);
        let length = top
            .optional("length", |p| p.seconds(1.0..=600.0))
            .unwrap_or(default.length);
        let integer_or = |key: &str, max: u32, default_value: u32| {
            top.optional(key, |p| p.integer(1..=max))
                .unwrap_or(default_value)
        };
        let locations = integer_or("locations", 50, default.locations);
        let executors = integer_or("executors", 200, default.executors as u32);
        if executors < locations {
            let place = if top.at("executors").is_given() {
                top.at("executors")
            } else {
                top.at("locations")
            };
            place.fault(format!(
                "{executors} executors are not enough for {locations} locations"
            ));
        }
        let scenario = Scenario {
            length,
            front_ends: integer_or("frontEnds", 32, default.front_ends),
            executors: executors as usize,
            locations,
            rate: top
                .optional("rate", |p| p.number(0.1..=5_000.0))
                .unwrap_or(default.rate),
            functions: integer_or("functions", 100_000, default.functions as u32) as usize,
            faults: top
                .at("troubles")
                .list()
                .iter()
                .filter_map(|p| fault(p, length))
                .collect(),
            clock_skew: top
                .optional("clockSkew", |p| p.seconds(0.0..=10.0))
                .unwrap_or(default.clock_skew),
            clock_step: top
                .optional("clockStep", |p| p.seconds(0.0..=3_600.0))
                .unwrap_or(0.0),
        };
        let faults = document.faults();
        if faults.is_empty() {
            Ok(scenario)
        } else {
            Err(faults)
        }
    }
}

/// Parses a fault of a scenario; `None` if a required field is invalid.
fn fault(place: &Place, length: f64) -> Option<ScheduledFault> {
    let fields = place.object(&["kind", "at", "for", "size"]);
    let names: Vec<(&str, FaultKind)> = FAULT_KINDS
        .iter()
        .map(|known| (known.name, known.kind))
        .collect();
    let kind = fields.at("kind").choice(&names);
    let at = fields.at("at").seconds(0.0..=length);
    let duration = fields.at("for").seconds(0.01..=length);
    let size = fields.optional("size", |p| p.number(0.001..=1.0));
    let kind = kind?;
    let default = FAULT_KINDS
        .iter()
        .find(|known| known.kind == kind)
        .map_or(1.0, |known| known.default_size);
    Some(ScheduledFault {
        kind,
        at: at?,
        duration: duration?,
        size: size.unwrap_or(default),
    })
}
