//! The interface of the host process, and the metadata of an executor's response.

use orchidtally_dispatch_policy::interface::{ExecutorId, ReplicaState};

/// Why an invocation failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// No response came within the client timeout.
    TimedOut,
    /// An executor responded with an error, its connection broke, or the invocation could not be retried.
    Failed,
}

/// Carries out the engine's actions. An action takes effect immediately; its result is reported to the engine in a
/// later call, never from within the callback. Durations are in seconds.
pub trait Host {
    /// Notifies the host that an invocation was admitted under this id, before any action for it.
    fn admitted(&mut self, invocation: u32);

    /// Sends a dispatch of an invocation to an executor. The engine times the dispatch out after `timeout`.
    fn dispatch(&mut self, invocation: u32, dispatch: u8, executor: ExecutorId, timeout: f64);

    /// Cancels a dispatch in flight; a response to it is ignored.
    fn cancel(&mut self, invocation: u32, dispatch: u8);

    /// Final answer: the response of a dispatch. Each admitted invocation gets exactly one of `succeeded`, `rejected`
    /// and `failed`, unless its client cancels first.
    fn succeeded(&mut self, invocation: u32, dispatch: u8);

    /// Final answer: the invocation did not run and may be retried after `retry_after`. `is_over_quota` states that its
    /// customer has exhausted its quota.
    fn rejected(&mut self, invocation: u32, retry_after: f64, is_over_quota: bool);

    /// Final answer: the invocation failed. `may_have_run` is false only if it provably never ran.
    fn failed(&mut self, invocation: u32, reason: FailureReason, may_have_run: bool);

    /// Commands an executor to keep at least this number of replicas of a function loaded.
    fn load(&mut self, executor: ExecutorId, function: u64, replicas: u8);

    /// Asks an executor how many replicas of a function are loaded.
    fn query_replicas(&mut self, executor: ExecutorId, function: u64);

    /// Commands an executor to unload the idle replicas of a function.
    fn unload(&mut self, executor: ExecutorId, function: u64);

    /// Asks an executor for its health and load.
    fn health_check(&mut self, executor: ExecutorId);

    /// Subscribes to the endpoint list, unless it is pushed to the host.
    fn subscribe_to_endpoints(&mut self);
}

/// What an executor's response reports besides its status.
#[derive(Clone, Copy, Debug)]
pub struct ResponseMetadata<'a> {
    /// The state of the function's replica when the dispatch arrived.
    pub replica_state: ReplicaState,
    /// The number of invocations of the same function at the executor when the dispatch arrived.
    pub function_concurrency: u32,
    /// The fields of the executor's load report, in the configured order; empty if there is no report.
    pub load_report: &'a [f32],
}

/// The metadata of a dispatch that ended without a response.
pub const NO_METADATA: ResponseMetadata<'static> = ResponseMetadata {
    replica_state: ReplicaState::Unknown,
    function_concurrency: 0,
    load_report: &[],
};
