//! Requests to the dispatch policy.

/// An invocation of a function that needs an answer.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Identifier, unique among the open invocations of the front end.
    pub id: u32,
    /// Index of the trigger type.
    pub trigger_type: usize,
    /// Index of the customer that is billed.
    pub customer: usize,
    /// Key of the function.
    pub function: u64,
    /// Whether the client marks the invocation as a retry of an earlier request.
    pub is_retry: bool,
    /// Whether the invocation was accepted earlier under another identifier and migrated to this front end. A migrated
    /// invocation adds nothing to the load budget.
    pub is_migrated: bool,
    /// Time at which the client timeout expires, in seconds.
    pub timeout_at: f64,
    /// Expected work in seconds; `None` without a valid hint.
    pub expected_work: Option<f64>,
    /// Number of invocations of the function that one replica runs concurrently.
    pub concurrency: f64,
    /// Typical load time of the function in seconds, if known.
    pub load_time: Option<f64>,
}

/// A request to load replicas of a function before its invocations arrive.
#[derive(Clone, Copy, Debug)]
pub struct PrewarmRequest {
    /// Key of the function.
    pub function: u64,
    /// Number of invocations of the function that one replica runs concurrently.
    pub concurrency: f64,
    /// Typical load time of the function in seconds, if known.
    pub load_time: Option<f64>,
    /// Number of replicas requested.
    pub replicas: usize,
}
