//! Requests for admission, and the reasons for refusing it.

/// An invocation that a client requests; the engine assigns its id.
#[derive(Clone, Debug)]
pub struct InvocationRequest {
    /// The index of its trigger type in the configuration.
    pub trigger_type: usize,
    /// The index of its customer in the configuration.
    pub customer: usize,
    /// The key of the function version.
    pub function: u64,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Whether it was admitted before and now migrates to another version of the function.
    pub is_migrated: bool,
    /// The time at which the client times out, in seconds on the engine's clock.
    pub timeout_at: f64,
    /// The expected work in seconds, if the client states it.
    pub expected_work: Option<f64>,
    /// The number of invocations that one replica runs at a time.
    pub concurrency: f64,
    /// The usual time to load a replica in seconds, if known.
    pub load_time: Option<f64>,
}

/// The reason for refusing admission. The invocation did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// The limit of open invocations is reached.
    AtCapacity,
    /// The front end is shutting down.
    ShuttingDown,
}
