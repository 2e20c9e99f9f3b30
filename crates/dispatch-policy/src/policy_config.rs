//! Deployment settings of the dispatch policy, and the errors of configuration changes at run time.

use thiserror::Error;

/// Whether an invocation can have a second effect if it is dispatched again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of executions have the same effect as one.
    Idempotent,
    /// Executors drop a repeated execution by its idempotency key, within a deduplication scope and window.
    Keyed,
    /// A second execution has a second effect.
    NonIdempotent,
}

/// The executors among which a repeated idempotency key is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All executors of the fleet.
    All,
    /// The executors of one zone.
    Zone,
    /// The executors of one cell.
    Cell,
}

/// Service level, billing and idempotency of a class of invocations.
#[derive(Clone, Debug, PartialEq)]
pub struct TriggerType {
    /// Latency objective in seconds.
    pub latency_objective: f64,
    /// Seconds added to the latency objective for each second of expected work.
    pub objective_work_factor: f64,
    /// Longest client timeout in seconds.
    pub client_timeout: f64,
    /// Amount billed for one invocation, or for a unit of work with [`PolicyConfig::bills_by_work`], in the
    /// deployment's unit of account.
    pub billed_value: f64,
    /// Fraction of the billed value that remains after the latency objective has passed.
    pub late_value_fraction: f64,
    /// Whether invocations may be executed repeatedly.
    pub idempotency: Idempotency,
    /// Executors among which an idempotency key is recognized.
    pub deduplication_scope: DeduplicationScope,
    /// Seconds for which these executors remember an idempotency key.
    pub deduplication_window: f64,
}

impl TriggerType {
    /// Validates the trigger type for the position `index`; `next` is the number of existing trigger types.
    ///
    /// # Errors
    /// `OutOfOrder` if `index` is greater than `next`. `InvalidTime` unless the latency objective and the client
    /// timeout are positive and finite.
    pub fn check(&self, index: usize, next: usize) -> Result<(), ConfigError> {
        let is_time = |seconds: f64| seconds > 0.0 && seconds.is_finite();
        if index > next {
            Err(ConfigError::OutOfOrder { index, next })
        } else if !is_time(self.latency_objective) || !is_time(self.client_timeout) {
            Err(ConfigError::InvalidTime { index })
        } else {
            Ok(())
        }
    }
}

/// Validates the customers' quotas, in invocations per second over all front ends.
///
/// # Errors
/// `InvalidQuota` for the first quota that is negative or not finite.
pub fn check_quotas(quotas: &[f64]) -> Result<(), ConfigError> {
    match quotas.iter().position(|q| !q.is_finite() || *q < 0.0) {
        Some(customer) => Err(ConfigError::InvalidQuota { customer }),
        None => Ok(()),
    }
}

/// Reason why a configuration change was rejected. The active configuration is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The trigger type has open invocations.
    #[error(
        "trigger type {index} has open invocations; append the new trigger type at the end, or retry when they have completed"
    )]
    InUse {
        /// Index of the trigger type.
        index: usize,
    },
    /// The index would leave a gap: trigger types are appended one after the other.
    #[error("trigger type {index} would leave a gap; the next one to append is {next}")]
    OutOfOrder {
        /// Requested index.
        index: usize,
        /// Index at which the next trigger type is appended.
        next: usize,
    },
    /// The latency objective or the client timeout is not positive and finite.
    #[error(
        "trigger type {index}: the latency objective and the client timeout must be positive and finite"
    )]
    InvalidTime {
        /// Index of the trigger type.
        index: usize,
    },
    /// The quota of a customer is negative or not finite.
    #[error("quota of customer {customer} must be finite and at least 0 invocations per second")]
    InvalidQuota {
        /// Index of the customer.
        customer: usize,
    },
}

/// Deployment settings, decoded once when a front end starts. Times are in seconds.
#[derive(Clone, Debug, Default)]
pub struct PolicyConfig {
    /// Trigger types, by index.
    pub trigger_types: Vec<TriggerType>,
    /// Quota of each customer, in invocations per second over all front ends.
    pub quotas: Vec<f64>,
    /// Factor on the billed value of invocations that exceed their customer's quota.
    pub over_quota_value_factor: f64,
    /// Whether the billed value applies to a unit of work instead of an invocation.
    pub bills_by_work: bool,
    /// Number of front ends.
    pub front_ends: f64,
    /// Index of this front end.
    pub front_end_index: f64,
    /// Zone of this front end.
    pub zone: u8,
    /// Cost of a dispatch to another zone, as a fraction of an invocation.
    pub cross_zone_cost: f64,
    /// Region of each zone, by zone number. A zone beyond the end has no region. If the front end's own zone has a
    /// region, functions are placed in that region while it has an executor that is ready and not ejected. If the list
    /// is empty, functions are placed anywhere.
    pub zone_regions: Vec<Option<u8>>,
    /// Number of functions above which unused ones are forgotten at once; `None` for the default of the policy. A
    /// function takes about [`FUNCTION_BYTES`](crate::state::FUNCTION_BYTES) of memory.
    pub max_functions: Option<usize>,
    /// Resolution of the clock.
    pub clock_tick: f64,
    /// Maximum number of dispatches of one invocation.
    pub max_dispatches: u8,
    /// Whether an invocation may have two dispatches in flight.
    pub allows_hedging: bool,
    /// Whether a dispatch in flight may be cancelled.
    pub allows_cancellation: bool,
    /// Maximum Retry-After of a rejection.
    pub max_retry_after: f64,
    /// Whether the front end has to subscribe to the endpoint list; otherwise the list is pushed.
    pub polls_endpoints: bool,
    /// Time that an executor needs to warm up after a start.
    pub slow_start_duration: f64,
    /// Capacity of an executor immediately after its start, as a fraction of that of a warm executor.
    pub slow_start_initial_weight: f64,
    /// Overload threshold of a warming executor, as a multiple of its fair share of the traffic.
    pub overload_factor: f64,
    /// Time over which that overload is measured.
    pub overload_window: f64,
    /// Time for which an executor may receive work after its draining was announced; 0 if draining is not announced.
    pub drain_grace: f64,
    /// Largest difference between the clocks of any two front ends.
    pub max_clock_skew: f64,
    /// Whether executors accept load commands.
    pub allows_load_commands: bool,
    /// Cost of a load command, as a fraction of an invocation.
    pub load_command_cost: f64,
    /// Whether executors reject invocations of functions that they have not loaded.
    pub rejects_unloaded: bool,
    /// Whether executors report the concurrency of a function with each result.
    pub reports_concurrency: bool,
    /// Minimum time for which an idle replica stays loaded; 0 if unknown.
    pub keep_alive: f64,
    /// Load commands granted in each window regardless of traffic.
    pub load_budget_floor: f64,
    /// Load commands granted for each invocation in the window.
    pub load_budget_fraction: f64,
    /// Length of the load budget window; 0 if load commands are unlimited.
    pub load_budget_window: f64,
    /// Index of the load report field with the number of waiting invocations.
    pub backlog_field: Option<usize>,
    /// Index of the load report field with the number of loads in progress or waiting.
    pub pending_loads_field: Option<usize>,
}
