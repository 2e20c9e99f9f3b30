//! The script of a day: the traffic, and what goes wrong when.

use orchidtally_deployment::reader::{DeploymentFault, Document, Place};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// What goes wrong. `size` is the share of those that it can befall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FaultKind {
    /// Executors crash and come back.
    Crash,
    /// Executors answer nothing for a while.
    Hang,
    /// Executors answer with errors at once.
    FastErrors,
    /// Executors are told to drain, end and come back cold, one after the other.
    RollingDeploy,
    /// Executors drain at short notice and are gone.
    Preemption,
    /// Changes of the roster are kept back.
    StaleEndpoints,
    /// The publisher breaks all connections off.
    PublisherDisconnect,
    /// Executors report their load late.
    LateReports,
    /// All copies of all functions are dropped at once.
    MassRelease,
    /// Clients wait a fraction of their time only, or leave.
    ImpatientClients,
    /// A part of the traffic is for one function.
    HotFunction,
    /// A part of the traffic is for functions that are invoked once.
    OneTimeFunctions,
    /// The traffic goes to the front ends of one location.
    TrafficShift,
    /// All executors of a location crash.
    LoseLocation,
    /// Executors accept connections slowly.
    SlowHandshakes,
    /// Clients ask again without end.
    RepeatingClients,
    /// Front ends are killed and come back.
    KillFrontEnds,
    /// Front ends are restarted gracefully.
    RollFrontEnds,
    /// Executors read nothing from their sockets.
    ExecutorsStopReading,
    /// Bytes that are no messages, to front ends and executors.
    Garbage,
    /// Clients that send and never read.
    ClientsStopReading,
    /// Clients that send a byte now and then.
    SlowClients,
    /// The executors' store refuses loads.
    StoreRefuses,
}

/// Each kind with its name in day files, its usual size, and its name on the users' bench.
pub const KINDS: [(FaultKind, &str, f64, &str); 23] = [
    (FaultKind::Crash, "crash", 0.17, "crash"),
    (FaultKind::Hang, "hang", 0.17, "hang"),
    (FaultKind::FastErrors, "fastErrors", 0.17, "fast_errors"),
    (FaultKind::RollingDeploy, "deploy", 0.5, "deploy"),
    (FaultKind::Preemption, "preempt", 0.1, "preempt"),
    (
        FaultKind::StaleEndpoints,
        "staleRoster",
        1.0,
        "discovery_stale",
    ),
    (FaultKind::PublisherDisconnect, "rosterCut", 1.0, ""),
    (FaultKind::LateReports, "lateReports", 1.0, "report_late"),
    (FaultKind::MassRelease, "rerelease", 1.0, "flush"),
    (FaultKind::ImpatientClients, "shortPatience", 0.3, "give_up"),
    (FaultKind::HotFunction, "hotFunction", 0.4, "hot_key"),
    (FaultKind::OneTimeFunctions, "oneOffs", 0.15, "scan"),
    (FaultKind::TrafficShift, "shift", 0.7, "shift"),
    (FaultKind::LoseLocation, "loseLocation", 0.33, "zone_loss"),
    (
        FaultKind::SlowHandshakes,
        "slowHandshakes",
        0.3,
        "handshake_slow",
    ),
    (
        FaultKind::RepeatingClients,
        "repeatingClients",
        0.3,
        "retry_abuse",
    ),
    (
        FaultKind::KillFrontEnds,
        "killFrontEnds",
        0.5,
        "balancer_crash",
    ),
    (
        FaultKind::RollFrontEnds,
        "rollFrontEnds",
        0.5,
        "balancer_roll",
    ),
    (FaultKind::ExecutorsStopReading, "halfOpen", 0.1, ""),
    (FaultKind::Garbage, "garbage", 1.0, ""),
    (FaultKind::ClientsStopReading, "stopReading", 1.0, ""),
    (FaultKind::SlowClients, "slowSenders", 1.0, ""),
    (FaultKind::StoreRefuses, "storeRefuses", 1.0, ""),
];

impl FaultKind {
    /// The name in day files.
    pub fn name(self) -> &'static str {
        KINDS
            .iter()
            .find(|k| k.0 == self)
            .map_or("unknown", |k| k.1)
    }
}

/// Something that goes wrong. Times are in seconds.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When, from the begin of the day.
    pub at: f64,
    /// For how long.
    pub duration: f64,
    /// The share of those that it can befall.
    pub size: f64,
}

/// The script of a day. Times are in seconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The length of the day.
    pub length: f64,
    /// The number of front ends.
    pub front_ends: u32,
    /// The number of executors.
    pub executors: usize,
    /// The number of locations.
    pub locations: u32,
    /// Invocations a second, without those that clients send again.
    pub rate: f64,
    /// The number of functions.
    pub functions: usize,
    /// What goes wrong, in the order of time.
    pub faults: Vec<ScheduledFault>,
    /// The greatest difference between the wall clocks of two front ends.
    pub clock_skew: f64,
    /// By how much the wall clock of one front end is stepped in the middle of the day.
    pub clock_step: f64,
}

impl Scenario {
    /// The built-in bad day: every kind of trouble, overlapping, drawn by the seed.
    pub fn with_all_faults(seed: u64, length: f64) -> Scenario {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut faults = vec![];
        for (kind, _, size, _) in KINDS {
            // Nothing in the first tenth, so that there is a day to spoil; the last fifth sees recovery.
            let at = length * random.random_range(0.1..0.6);
            let duration = length * random.random_range(0.1..0.22);
            faults.push(ScheduledFault {
                kind,
                at,
                duration,
                size,
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

    /// Reads a day file, or tells every fault in it.
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
        let whole = |key: &str, most: u32, absent: u32| {
            top.optional(key, |p| p.integer(1..=most)).unwrap_or(absent)
        };
        let locations = whole("locations", 50, default.locations);
        let executors = whole("executors", 200, default.executors as u32);
        if executors < locations {
            let place = if top.at("executors").is_given() {
                top.at("executors")
            } else {
                top.at("locations")
            };
            place.fault(format!(
                "{executors} executors are too few for {locations} locations"
            ));
        }
        let scenario = Scenario {
            length,
            front_ends: whole("frontEnds", 32, default.front_ends),
            executors: executors as usize,
            locations,
            rate: top
                .optional("rate", |p| p.number(0.1..=5_000.0))
                .unwrap_or(default.rate),
            functions: whole("functions", 100_000, default.functions as u32) as usize,
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

fn fault(place: &Place, length: f64) -> Option<ScheduledFault> {
    let fields = place.object(&["kind", "at", "for", "size"]);
    let names: Vec<(&str, FaultKind)> = KINDS.iter().map(|k| (k.1, k.0)).collect();
    let kind = fields.at("kind").choice(&names);
    let at = fields.at("at").seconds(0.0..=length);
    let duration = fields.at("for").seconds(0.01..=length);
    let size = fields.optional("size", |p| p.number(0.001..=1.0));
    let kind = kind?;
    let default = KINDS.iter().find(|k| k.0 == kind).map_or(1.0, |k| k.2);
    Some(ScheduledFault {
        kind,
        at: at?,
        duration: duration?,
        size: size.unwrap_or(default),
    })
}

/// A time in microseconds, as the users' bench prints it, in seconds.
fn from_micros(micros: f64) -> f64 {
    micros / 1e6
}

/// Troubles of a day of the users' bench, with their times stretched to another length; `left_out` gets those that the
/// rehearsal does not know.
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
        let known = KINDS
            .iter()
            .find(|known| !known.3.is_empty() && known.3 == name);
        let Some(&(kind, _, default, _)) = known else {
            left_out.push(format!("the trouble '{name}'"));
            continue;
        };
        let size = field("size")
            .filter(|size| *size > 0.0 && *size <= 1.0)
            .unwrap_or(default);
        let at = (from_micros(field("at").unwrap_or(0.0)) * stretch).clamp(0.0, length);
        let duration = (from_micros(field("len").unwrap_or(1e6)) * stretch).clamp(0.2, length);
        faults.push(ScheduledFault {
            kind,
            at,
            duration,
            size,
        });
    }
    faults
}

/// Reads a day as the users' bench prints it, scaled down to this machine. Returns what of it could not be carried
/// over too.
pub fn from_bench(text: &str) -> Result<(Scenario, Vec<String>), String> {
    let bench_day: serde_json::Value =
        serde_json::from_str(text).map_err(|e| format!("not a day of the bench: {e}"))?;
    let number = |key: &str| bench_day.pointer(key).and_then(serde_json::Value::as_f64);
    let count = |key: &str| {
        bench_day
            .get(key)
            .and_then(|list| list.as_array())
            .map(Vec::len)
    };
    let seconds = from_micros(number("/length").ok_or("not a day of the bench: it has no length")?);
    let mut left_out = vec![];
    let length = seconds.clamp(5.0, 30.0);
    let stretch = length / seconds;
    if (stretch - 1.0).abs() > 1e-9 {
        left_out.push(format!("{seconds:.1} s are played in {length:.1} s"));
    }
    let (servers, balancers) = (
        count("servers").unwrap_or(12),
        count("balancers").unwrap_or(4),
    );
    let locations = count("zones").unwrap_or(1).clamp(1, 6);
    let (executors, front_ends) = (servers.clamp(locations, 24), balancers.clamp(1, 6));
    if (executors, front_ends) != (servers, balancers) {
        left_out.push(format!(
            "{servers} executors and {balancers} front ends are played by {executors} and {front_ends}"
        ));
    }
    let faults = bench_faults(&bench_day, stretch, length, &mut left_out);
    let unlike = [
        (
            "/traffic/shape",
            "the shape of the traffic over the day: it is even",
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
    let unlike = unlike
        .iter()
        .filter(|(key, _)| bench_day.pointer(key).is_some());
    left_out.extend(unlike.map(|(_, what)| (*what).to_owned()));
    let load = number("/traffic/load").unwrap_or(0.7);
    let rate = (load * executors as f64 * 40.0).min(600.0);
    left_out.push(format!(
        "its rate: {rate:.0} invocations a second, {load:.2} of what these executors can do"
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
    Ok((scenario, left_out))
}
