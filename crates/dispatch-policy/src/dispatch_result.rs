//! How a dispatch or a load command ended.

use crate::endpoint::ExecutorId;

/// How a dispatch or a load command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchStatus {
    /// The function ran and answered.
    Ok,
    /// The function or the executor failed; it may have run.
    Error,
    /// The executor had no capacity; nothing ran.
    Full,
    /// No result came before the client's timeout.
    TimedOut,
    /// No connection to the executor could be made; nothing ran.
    ConnectFailed,
    /// The connection broke before the result; it may have run.
    Reset,
    /// The dispatch was cancelled; it may have run.
    Cancelled,
    /// The dispatch was withdrawn before any of it was sent.
    NeverSent,
    /// The executor had not loaded the function and rejected the invocation.
    NotLoaded,
}

impl DispatchStatus {
    /// Whether the status proves that the dispatch never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            DispatchStatus::Full
                | DispatchStatus::ConnectFailed
                | DispatchStatus::NeverSent
                | DispatchStatus::NotLoaded
        )
    }
}

/// In which state the executor found its replica of the function when the dispatch arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// The executor does not say.
    Unknown,
    /// The replica was loaded.
    Warm,
    /// The dispatch started a load.
    ColdStart,
    /// The dispatch waited for a load that was under way.
    JoinedLoad,
    /// The load failed.
    LoadFailed,
}

/// The result of a dispatch.
#[derive(Clone, Debug)]
pub struct DispatchResult<'a> {
    /// Identifier of the invocation.
    pub invocation: u32,
    /// Number of the dispatch among those of its invocation, from 0.
    pub dispatch: u8,
    /// The executor that it was sent to.
    pub executor: ExecutorId,
    /// How it ended.
    pub status: DispatchStatus,
    /// Seconds from the dispatch to the result.
    pub duration: f64,
    /// The invocation has had its final answer.
    pub is_answered: bool,
    /// In which state the executor found its replica.
    pub replica_state: ReplicaState,
    /// Invocations of the same function at the executor, where reported; else 0.
    pub function_concurrency: u32,
    /// Fields of the executor's load report; empty where there is none.
    pub load_report: &'a [f32],
}

impl DispatchResult<'_> {
    /// The value of a field of the load report, if it is there; negative values count as 0.
    pub fn reported_value(&self, field: Option<usize>) -> Option<f64> {
        self.load_report
            .get(field?)
            .map(|&value| f64::from(value).max(0.0))
    }
}
