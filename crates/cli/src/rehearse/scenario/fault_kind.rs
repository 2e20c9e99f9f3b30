//! The kinds of faults, and their names in scenario files.

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

/// A kind of fault as scenario files have it.
#[derive(Clone, Copy, Debug)]
pub struct FaultDescription {
    /// The kind.
    pub kind: FaultKind,
    /// The name in scenario files.
    pub name: &'static str,
    /// The share of those that it can befall, where a file does not say.
    pub default_size: f64,
    /// The name on the users' bench, where it has the kind too.
    pub bench_name: Option<&'static str>,
}

const fn described(
    kind: FaultKind,
    name: &'static str,
    default_size: f64,
    bench_name: Option<&'static str>,
) -> FaultDescription {
    FaultDescription {
        kind,
        name,
        default_size,
        bench_name,
    }
}

/// Every kind of fault. Scenarios that are drawn by a seed depend on this order.
pub const FAULT_KINDS: [FaultDescription; 23] = [
    described(FaultKind::Crash, "crash", 0.17, Some("crash")),
    described(FaultKind::Hang, "hang", 0.17, Some("hang")),
    described(
        FaultKind::FastErrors,
        "fastErrors",
        0.17,
        Some("fast_errors"),
    ),
    described(FaultKind::RollingDeploy, "deploy", 0.5, Some("deploy")),
    described(FaultKind::Preemption, "preempt", 0.1, Some("preempt")),
    described(
        FaultKind::StaleEndpoints,
        "staleRoster",
        1.0,
        Some("discovery_stale"),
    ),
    described(FaultKind::PublisherDisconnect, "rosterCut", 1.0, None),
    described(
        FaultKind::LateReports,
        "lateReports",
        1.0,
        Some("report_late"),
    ),
    described(FaultKind::MassRelease, "rerelease", 1.0, Some("flush")),
    described(
        FaultKind::ImpatientClients,
        "shortPatience",
        0.3,
        Some("give_up"),
    ),
    described(FaultKind::HotFunction, "hotFunction", 0.4, Some("hot_key")),
    described(FaultKind::OneTimeFunctions, "oneOffs", 0.15, Some("scan")),
    described(FaultKind::TrafficShift, "shift", 0.7, Some("shift")),
    described(
        FaultKind::LoseLocation,
        "loseLocation",
        0.33,
        Some("zone_loss"),
    ),
    described(
        FaultKind::SlowHandshakes,
        "slowHandshakes",
        0.3,
        Some("handshake_slow"),
    ),
    described(
        FaultKind::RepeatingClients,
        "repeatingClients",
        0.3,
        Some("retry_abuse"),
    ),
    described(
        FaultKind::KillFrontEnds,
        "killFrontEnds",
        0.5,
        Some("balancer_crash"),
    ),
    described(
        FaultKind::RollFrontEnds,
        "rollFrontEnds",
        0.5,
        Some("balancer_roll"),
    ),
    described(FaultKind::ExecutorsStopReading, "halfOpen", 0.1, None),
    described(FaultKind::Garbage, "garbage", 1.0, None),
    described(FaultKind::ClientsStopReading, "stopReading", 1.0, None),
    described(FaultKind::SlowClients, "slowSenders", 1.0, None),
    described(FaultKind::StoreRefuses, "storeRefuses", 1.0, None),
];

impl FaultKind {
    /// The name in scenario files.
    pub fn name(self) -> &'static str {
        FAULT_KINDS
            .iter()
            .find(|known| known.kind == self)
            .map_or("unknown", |known| known.name)
    }
}
