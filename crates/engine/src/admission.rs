//! What a host asks the engine to admit, and why it may not.

/// An invocation as a client requests it; the engine gives it its id.
#[derive(Clone, Debug)]
pub struct InvocationRequest {
    /// Index among the configured trigger types.
    pub trigger_type: usize,
    /// Index among the configured customers.
    pub customer: usize,
    /// The key of the function version.
    pub function: u64,
    /// The client marks it as its retry.
    pub is_retry: bool,
    /// It was admitted before, and now goes to another version of the function.
    pub is_migrated: bool,
    /// When the client gives up, in seconds on the engine's clock.
    pub timeout_at: f64,
    /// Expected work in seconds, where the client gives it.
    pub expected_work: Option<f64>,
    /// Invocations that one loaded replica runs at a time.
    pub concurrency: f64,
    /// The usual duration of a load in seconds, where known.
    pub load_time: Option<f64>,
}

/// Why an invocation was not admitted. It is certain not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// As many invocations are open as the limit allows.
    AtCapacity,
    /// The front end is shutting down.
    ShuttingDown,
}
