//! Settings of a deployment that the dispatch policy obeys, and the errors of changing them at run time.

use thiserror::Error;

/// Whether another dispatch of an invocation that may have run could have a second effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of executions have the effect of one.
    Idempotent,
    /// Executors drop a repeated execution by its idempotency key, within a scope and a window of time.
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

/// What a trigger type is promised and how its invocations may be repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct TriggerType {
    /// Latency objective in seconds.
    pub latency_objective: f64,
    /// The objective grows by this many times the invocation's expected work.
    pub objective_work_factor: f64,
    /// Longest client timeout in seconds.
    pub client_timeout: f64,
    /// What one invocation is billed, in units of the deployment.
    pub billed_value: f64,
    /// Fraction of the billed value that is left after the objective.
    pub late_value_fraction: f64,
    /// Whether its invocations may be repeated.
    pub idempotency: Idempotency,
    /// Executors among which an idempotency key is recognized.
    pub deduplication_scope: DeduplicationScope,
    /// Seconds for which these executors remember a key.
    pub deduplication_window: f64,
}

impl TriggerType {
    /// Checks that the trigger type can be set at `index`, where those before `next` are taken.
    ///
    /// # Errors
    /// `OutOfOrder` if the index is above `next`; `InvalidTime` unless objective and client timeout are positive and
    /// finite.
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

/// Checks the customers' quotas, in invocations a second over all front ends.
///
/// # Errors
/// `InvalidQuota` with the first quota that is negative or not finite.
pub fn check_quotas(quotas: &[f64]) -> Result<(), ConfigError> {
    match quotas.iter().position(|q| !q.is_finite() || *q < 0.0) {
        Some(customer) => Err(ConfigError::InvalidQuota { customer }),
        None => Ok(()),
    }
}

/// Why a change of the configuration was rejected. The configuration in force stays unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// An invocation of the trigger type at the index is still open.
    #[error(
        "trigger type {index} has invocations open; append the new one, or try again when they are over"
    )]
    InUse {
        /// Index of the trigger type.
        index: usize,
    },
    /// Trigger types are appended one after the other.
    #[error("trigger type {index} leaves a gap; the next one to append is {next}")]
    OutOfOrder {
        /// Index that was asked for.
        index: usize,
        /// Index at which the next trigger type is appended.
        next: usize,
    },
    /// The trigger type's latency objective or client timeout is not a positive, finite time.
    #[error("trigger type {index} needs a latency objective and a client timeout of more than 0 s")]
    InvalidTime {
        /// Index of the trigger type.
        index: usize,
    },
    /// A customer's quota is negative or not finite.
    #[error("the share of customer {customer} has to be 0 or more invocations a second")]
    InvalidQuota {
        /// Index of the customer.
        customer: usize,
    },
}

/// Settings of a deployment, decoded once when a front end starts. Times are in seconds.
#[derive(Clone, Debug, Default)]
pub struct PolicyConfig {
    /// Trigger types, by their index.
    pub trigger_types: Vec<TriggerType>,
    /// Each customer's quota in invocations a second, over all front ends.
    pub quotas: Vec<f64>,
    /// Factor on the billed value of invocations that exceed their customer's quota.
    pub over_quota_value_factor: f64,
    /// Whether the billed value is that of a unit of work; else it is that of an invocation.
    pub bills_by_work: bool,
    /// Number of front ends.
    pub front_ends: f64,
    /// Index of this front end among them.
    pub front_end_index: f64,
    /// Zone of this front end.
    pub zone: u8,
    /// Cost of a dispatch into another zone, as a fraction of an invocation.
    pub cross_zone_cost: f64,
    /// The region of each zone, by the zone's number; a zone past its end has none. Where the front end's own zone
    /// has a region, functions are placed there while it has an executor that is ready and not ejected. Empty:
    /// functions are placed anywhere.
    pub zone_regions: Vec<Option<u8>>,
    /// Resolution of the clock.
    pub clock_tick: f64,
    /// Largest number of dispatches of one invocation.
    pub max_dispatches: u8,
    /// Whether an invocation may have two dispatches in flight.
    pub allows_hedging: bool,
    /// Whether a dispatch in flight may be cancelled.
    pub allows_cancellation: bool,
    /// Longest Retry-After of a rejection.
    pub max_retry_after: f64,
    /// Whether the endpoint list has to be subscribed to; else it is pushed.
    pub polls_endpoints: bool,
    /// Time that an executor needs to warm up after its start.
    pub slow_start_duration: f64,
    /// Capacity of an executor that just started, as a fraction of a warm one's.
    pub slow_start_initial_weight: f64,
    /// Factor on a warming executor's fair part of the traffic that overloads it.
    pub overload_factor: f64,
    /// Time over which that overload is measured.
    pub overload_window: f64,
    /// Work may go to an executor for so long after its draining was announced; 0 where it is not announced.
    pub drain_grace: f64,
    /// Largest difference between the clocks of any two front ends.
    pub max_clock_skew: f64,
    /// Whether executors take commands to load a function.
    pub allows_load_commands: bool,
    /// Cost of a load command, as a fraction of an invocation.
    pub load_command_cost: f64,
    /// Whether executors reject invocations of a function that they have not loaded.
    pub rejects_unloaded: bool,
    /// Whether executors report the concurrency of a function with each result.
    pub reports_concurrency: bool,
    /// An idle replica stays loaded at least this long; 0 where that is unknown.
    pub keep_alive: f64,
    /// Load commands granted in each window regardless of traffic.
    pub load_budget_floor: f64,
    /// Load commands granted for each invocation in the window.
    pub load_budget_fraction: f64,
    /// Length of that window; 0 where load commands are unlimited.
    pub load_budget_window: f64,
    /// Index of the field of a load report with the invocations waiting.
    pub backlog_field: Option<usize>,
    /// Index of the field of a load report with the loads under way or waiting.
    pub pending_loads_field: Option<usize>,
}
