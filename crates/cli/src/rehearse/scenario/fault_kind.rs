//! The kinds of faults, and their names in scenario files.

/// A kind of fault. `size` in a scenario is the share of the candidates that a fault affects, such as of the executors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FaultKind {
    /// Executors crash and restart.
    Crash,
    /// Executors stop answering for a while.
    Hang,
    /// Executors answer with errors immediately.
    FastErrors,
    /// Executors are drained and restarted cold in sequence.
    RollingDeploy,
    /// Executors are drained at short notice and then crash.
    Preemption,
    /// The publisher holds back changes of the endpoint list.
    StaleEndpoints,
    /// The publisher closes all connections.
    PublisherDisconnect,
    /// Executors report their load late.
    LateReports,
    /// All executors drop all replicas at once.
    MassRelease,
    /// Clients wait only a fraction of their client timeout, or cancel.
    ImpatientClients,
    /// A share of the traffic invokes one function.
    HotFunction,
    /// A share of the traffic invokes functions that are invoked only once.
    OneTimeFunctions,
    /// A share of the traffic goes to a third of the front ends.
    TrafficShift,
    /// All executors of a location crash.
    LoseLocation,
    /// Executors accept connections slowly.
    SlowHandshakes,
    /// Clients retry at once and often.
    RepeatingClients,
    /// Front ends are killed and restarted.
    KillFrontEnds,
    /// Front ends are restarted gracefully.
    RollFrontEnds,
    /// Executors stop reading from their sockets.
    ExecutorsStopReading,
    /// Clients send invalid bytes to front ends and executors.
    Garbage,
    /// Clients send requests and never read the responses.
    ClientsStopReading,
    /// Clients send requests one byte at a time.
    SlowClients,
    /// The executors' package store refuses loads.
    StoreRefuses,
}

/// A kind of fault as it is named in scenario files.
#[derive(Clone, Copy, Debug)]
pub struct FaultDescription {
    /// The kind.
    pub kind: FaultKind,
    /// The name in scenario files.
    pub name: &'static str,
    /// The size if a scenario file gives none.
    pub default_size: f64,
    /// The name on the users' bench; `None` if the bench does not have the kind.
    pub bench_name: Option<&'static str>,
}

const fn description(
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

/// Every kind of fault. The order determines which scenario a seed generates.
pub const FAULT_KINDS: [FaultDescription; 23] = [
    description(FaultKind::Crash, "crash", 0.17, Some("crash")),
    description(FaultKind::Hang, "hang", 0.17, Some("hang")),
    description(
        FaultKind::FastErrors,
        "fastErrors",
        0.17,
        Some("fast_errors"),
    ),
    description(FaultKind::RollingDeploy, "deploy", 0.5, Some("deploy")),
    description(FaultKind::Preemption, "preempt", 0.1, Some("preempt")),
    description(
        FaultKind::StaleEndpoints,
        "staleRoster",
        1.0,
        Some("discovery_stale"),
    ),
    description(FaultKind::PublisherDisconnect, "rosterCut", 1.0, None),
    description(
        FaultKind::LateReports,
        "lateReports",
        1.0,
        Some("report_late"),
    ),
    description(FaultKind::MassRelease, "rerelease", 1.0, Some("flush")),
    description(
        FaultKind::ImpatientClients,
        "shortPatience",
        0.3,
        Some("give_up"),
    ),
    description(FaultKind::HotFunction, "hotFunction", 0.4, Some("hot_key")),
    description(FaultKind::OneTimeFunctions, "oneOffs", 0.15, Some("scan")),
    description(FaultKind::TrafficShift, "shift", 0.7, Some("shift")),
    description(
        FaultKind::LoseLocation,
        "loseLocation",
        0.33,
        Some("zone_loss"),
    ),
    description(
        FaultKind::SlowHandshakes,
        "slowHandshakes",
        0.3,
        Some("handshake_slow"),
    ),
    description(
        FaultKind::RepeatingClients,
        "repeatingClients",
        0.3,
        Some("retry_abuse"),
    ),
    description(
        FaultKind::KillFrontEnds,
        "killFrontEnds",
        0.5,
        Some("balancer_crash"),
    ),
    description(
        FaultKind::RollFrontEnds,
        "rollFrontEnds",
        0.5,
        Some("balancer_roll"),
    ),
    description(FaultKind::ExecutorsStopReading, "halfOpen", 0.1, None),
    description(FaultKind::Garbage, "garbage", 1.0, None),
    description(FaultKind::ClientsStopReading, "stopReading", 1.0, None),
    description(FaultKind::SlowClients, "slowSenders", 1.0, None),
    description(FaultKind::StoreRefuses, "storeRefuses", 1.0, None),
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
