//! Requests to the dispatch policy.

/// An invocation of a function that is to be answered.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Identifier, unique among the open invocations of the front end.
    pub id: u32,
    /// Index of its trigger type.
    pub trigger_type: usize,
    /// Index of the customer that it is billed to.
    pub customer: usize,
    /// Key of the function.
    pub function: u64,
    /// The client marks it as a retry of an earlier request.
    pub is_retry: bool,
    /// It was accepted earlier under another identifier and migrated here; it grants no further load command.
    pub is_migrated: bool,
    /// When the client gives up, in seconds.
    pub timeout_at: f64,
    /// Expected work in seconds, where the hint is valid.
    pub expected_work: Option<f64>,
    /// Invocations of the function that one replica runs at a time.
    pub concurrency: f64,
    /// Usual time of a load in seconds, where known.
    pub load_time: Option<f64>,
}

/// Replicas of a function that are wanted before its invocations arrive.
#[derive(Clone, Copy, Debug)]
pub struct PrewarmRequest {
    /// Key of the function.
    pub function: u64,
    /// Invocations of the function that one replica runs at a time.
    pub concurrency: f64,
    /// Usual time of a load in seconds, where known.
    pub load_time: Option<f64>,
    /// Number of replicas wanted.
    pub replicas: usize,
}
