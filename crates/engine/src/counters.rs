//! The counters of an engine, for metrics.

/// The numbers of invocations and actions since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Invocations that were admitted.
    pub admitted: u64,
    /// Invocations that were refused admission.
    pub not_admitted: u64,
    /// Invocations answered with a response.
    pub succeeded: u64,
    /// Invocations rejected after admission.
    pub rejected: u64,
    /// Invocations that failed.
    pub failed: u64,
    /// Invocations cancelled by their client before a final answer.
    pub cancelled_by_client: u64,
    /// Dispatches handed to the host.
    pub dispatches: u64,
    /// Commands to load at least one replica.
    pub load_commands: u64,
    /// Invocations that the engine failed because the policy did not answer them by their timeout. Each is a bug.
    pub overdue: u64,
}
