//! What the host process does for the engine, and what it reports of an executor's response.

use orchidtally_dispatch_policy::interface::{CopyState, ExecutorId};

/// Why an invocation failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// No response came within the client timeout.
    TimedOut,
    /// An executor answered with an error or broke off, or the invocation could not be retried.
    Failed,
}

/// Carries out the engine's actions. A call takes effect at once; its result is reported to the engine in a later
/// call, never from within this one. Durations are in seconds.
pub trait Host {
    /// An invocation was admitted under this id; no action was taken for it yet.
    fn admitted(&mut self, invocation: u32);

    /// Sends a dispatch of an invocation to an executor, which has to respond within a time.
    fn dispatch(&mut self, invocation: u32, dispatch: u8, executor: ExecutorId, timeout: f64);

    /// Stops waiting for a dispatch; its response is discarded.
    fn cancel(&mut self, invocation: u32, dispatch: u8);

    /// Final answer: the response of a dispatch. Each admitted invocation gets exactly one of `succeeded`, `rejected`
    /// and `failed`, unless its client went away.
    fn succeeded(&mut self, invocation: u32, dispatch: u8);

    /// Final answer: the invocation did not run and may be retried after a time. `is_over_quota`: because its
    /// customer has used up its quota.
    fn rejected(&mut self, invocation: u32, retry_after: f64, is_over_quota: bool);

    /// Final answer: the invocation failed, and whether it may have run.
    fn failed(&mut self, invocation: u32, reason: FailureReason, may_have_run: bool);

    /// Commands an executor to hold at least so many loaded replicas of a function.
    fn load(&mut self, executor: ExecutorId, function: u64, replicas: u8);

    /// Asks an executor how many replicas of a function are loaded.
    fn query_replicas(&mut self, executor: ExecutorId, function: u64);

    /// Commands an executor to unload the idle replicas of a function.
    fn unload(&mut self, executor: ExecutorId, function: u64);

    /// Asks an executor for its health and load.
    fn health_check(&mut self, executor: ExecutorId);

    /// Subscribes to the endpoint list, where it is not pushed.
    fn subscribe_to_endpoints(&mut self);
}

/// What a response tells besides its status.
#[derive(Clone, Copy, Debug)]
pub struct ResponseMetadata<'a> {
    /// What the executor found loaded.
    pub copy_state: CopyState,
    /// Invocations of the same function that the executor had when the dispatch arrived.
    pub function_concurrency: u32,
    /// The fields of the executor's load report, in the order of the settings; empty where there is none.
    pub load_report: &'a [f32],
}

/// The metadata of a dispatch that ended without a response.
pub const NO_METADATA: ResponseMetadata<'static> = ResponseMetadata {
    copy_state: CopyState::Unknown,
    function_concurrency: 0,
    load_report: &[],
};
