//! Results of dispatches and load commands.

use crate::endpoint::ExecutorId;

/// Outcome of a dispatch or a load command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchStatus {
    /// The function ran and returned a response.
    Ok,
    /// The function or the executor failed. The function may have run.
    Error,
    /// The executor had no capacity. The function did not run.
    Full,
    /// No result arrived before the client timeout.
    TimedOut,
    /// The connection to the executor could not be established. The function did not run.
    ConnectFailed,
    /// The connection broke before the result arrived. The function may have run.
    Reset,
    /// The dispatch was cancelled. The function may have run.
    Cancelled,
    /// The dispatch was withdrawn before any of its bytes were sent.
    NeverSent,
    /// The executor rejected the invocation because it had not loaded the function.
    NotLoaded,
}

impl DispatchStatus {
    /// Whether the status proves that the function did not run.
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

/// State of the function's replica at the executor when the dispatch arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// The executor does not report the state.
    Unknown,
    /// The replica was loaded.
    Warm,
    /// The dispatch started a load.
    ColdStart,
    /// The dispatch waited for a load that was already in progress.
    JoinedLoad,
    /// The load failed.
    LoadFailed,
}

/// Result of a dispatch.
#[derive(Clone, Debug)]
pub struct DispatchResult<'a> {
    /// Identifier of the invocation.
    pub invocation: u32,
    /// Number of the dispatch among the dispatches of its invocation, from 0.
    pub dispatch: u8,
    /// Executor to which the dispatch was sent.
    pub executor: ExecutorId,
    /// Outcome of the dispatch.
    pub status: DispatchStatus,
    /// Time from the dispatch to the result, in seconds.
    pub duration: f64,
    /// Whether the invocation has received its final answer.
    pub is_answered: bool,
    /// State of the replica when the dispatch arrived.
    pub replica_state: ReplicaState,
    /// Concurrent invocations of the function at the executor; 0 if the executor does not report them.
    pub function_concurrency: u32,
    /// Fields of the executor's load report; empty if the result has no report.
    pub load_report: &'a [f32],
}

impl DispatchResult<'_> {
    /// Returns the value of a field of the load report, or `None` if the report does not contain it. Negative values
    /// are returned as 0.
    pub fn reported_value(&self, field: Option<usize>) -> Option<f64> {
        self.load_report
            .get(field?)
            .map(|&value| f64::from(value).max(0.0))
    }
}
