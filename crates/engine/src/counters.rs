//! Counters of one engine, for metrics.

/// How many invocations and actions there were since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Invocations that were admitted.
    pub admitted: u64,
    /// Invocations that were not admitted.
    pub not_admitted: u64,
    /// Invocations answered with a response.
    pub succeeded: u64,
    /// Invocations rejected after they were admitted.
    pub rejected: u64,
    /// Invocations that failed.
    pub failed: u64,
    /// Invocations whose client went away first.
    pub cancelled_by_client: u64,
    /// Dispatches handed to the host.
    pub dispatches: u64,
    /// Commands to load at least one replica.
    pub load_commands: u64,
    /// Final answers that the engine gave because the policy had not. Each is a fault of the program.
    pub overdue: u64,
}
