//! What the dispatch policy has its caller do.

use crate::endpoint::ExecutorId;

/// Performs the decisions of the dispatch policy, in the order in which they are made.
pub trait Actions {
    /// Sends an invocation to an executor, for `timeout` seconds at most.
    fn dispatch(&mut self, invocation: u32, executor: ExecutorId, timeout: f64);
    /// Answers an invocation with a rejection and a Retry-After in seconds. `over_quota`: its customer has used up
    /// its quota.
    fn reject(&mut self, invocation: u32, retry_after: f64, over_quota: bool);
    /// Answers an invocation with an error that advises no retry.
    fn fail(&mut self, invocation: u32);
    /// Cancels a dispatch in flight, by its number among those of the invocation.
    fn cancel(&mut self, invocation: u32, dispatch: u8);
    /// Commands an executor to load replicas of a function.
    fn load(&mut self, executor: ExecutorId, function: u64, replicas: u8);
    /// Asks an executor how many replicas of a function it has loaded.
    fn query_replicas(&mut self, executor: ExecutorId, function: u64);
    /// Commands an executor to unload a function.
    fn unload(&mut self, executor: ExecutorId, function: u64);
    /// Sends an executor a health check.
    fn health_check(&mut self, executor: ExecutorId);
    /// Has the timer fire after `delay` seconds, with a mark that is handed back.
    fn set_timer(&mut self, delay: f64, mark: u64);
    /// Subscribes to the endpoint list where it has to be polled.
    fn subscribe_to_endpoints(&mut self);
}

/// Numbers of entries in the tables of the dispatch policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Executors, with those that are gone but not yet forgotten.
    pub executors: usize,
    /// Functions.
    pub functions: usize,
    /// Slots of invocations, the free ones included.
    pub invocations: usize,
}
