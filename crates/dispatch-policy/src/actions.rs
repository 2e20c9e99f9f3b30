//! The actions that the dispatch policy requests from its caller.

use crate::endpoint::ExecutorId;

/// Executes the decisions of the dispatch policy. The policy calls the methods in the order of its decisions.
pub trait Actions {
    /// Sends an invocation to an executor. The dispatch times out after `timeout` seconds.
    fn dispatch(&mut self, invocation: u32, executor: ExecutorId, timeout: f64);
    /// Rejects an invocation with a Retry-After in seconds. `over_quota` is set if the customer has exceeded its quota.
    fn reject(&mut self, invocation: u32, retry_after: f64, over_quota: bool);
    /// Answers an invocation with an error that does not advise a retry.
    fn fail(&mut self, invocation: u32);
    /// Cancels a dispatch in flight. `dispatch` is its number among the dispatches of the invocation, from 0.
    fn cancel(&mut self, invocation: u32, dispatch: u8);
    /// Sends an executor a command to load replicas of a function.
    fn load(&mut self, executor: ExecutorId, function: u64, replicas: u8);
    /// Queries how many replicas of a function an executor has loaded.
    fn query_replicas(&mut self, executor: ExecutorId, function: u64);
    /// Sends an executor a command to unload a function.
    fn unload(&mut self, executor: ExecutorId, function: u64);
    /// Sends a health check to an executor.
    fn health_check(&mut self, executor: ExecutorId);
    /// Sets a timer that fires after `delay` seconds and passes `token` back to the policy.
    fn set_timer(&mut self, delay: f64, token: u64);
    /// Subscribes to the endpoint list, in deployments where the front end has to request it.
    fn subscribe_to_endpoints(&mut self);
}

/// Number of entries in each table of the dispatch policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Executor slots, including those of executors that have left the fleet and those that are free.
    pub executors: usize,
    /// Functions.
    pub functions: usize,
    /// Invocation slots, including the free ones.
    pub invocations: usize,
}
