//! What the decision module is told and what it answers with. Times are seconds.

use std::net::IpAddr;

/// An executor's address and port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExecutorId(pub IpAddr, pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    Keyed,
    NonIdempotent,
}

/// The executors among which a repeat of a tokened invocation is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TriggerType {
    /// Latency objective.
    pub latency_objective: f64,
    /// The objective grows by this many times the invocation's own work.
    pub objective_work_factor: f64,
    /// Client timeout, at the longest.
    pub client_timeout: f64,
    pub billed_value: f64,
    /// What is left of the billed value after the objective.
    pub late_value_fraction: f64,
    pub idempotency: Idempotency,
    pub deduplication_scope: DeduplicationScope,
    /// How long the group remembers a token.
    pub deduplication_window: f64,
}

impl TriggerType {
    /// Whether it can stand at an index, where those before `next` are taken.
    ///
    /// # Errors
    /// Its times have to be positive and finite, and the index at most the next one.
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

/// Checks customers' shares, in invocations a second over all front ends.
///
/// # Errors
/// Each share has to be a finite number, and not negative.
pub fn check_quotas(quotas: &[f64]) -> Result<(), ConfigError> {
    match quotas.iter().position(|q| !q.is_finite() || *q < 0.0) {
        Some(customer) => Err(ConfigError::InvalidQuota { customer }),
        None => Ok(()),
    }
}

/// Why a change of configuration was not taken. What was in force before stays so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// An invocation is still of the trigger type that stands at the index.
    InUse { index: usize },
    /// Trigger types are appended one after the other.
    OutOfOrder { index: usize, next: usize },
    /// The trigger type's latency objective or client timeout is no time.
    InvalidTime { index: usize },
    /// A customer's share is no rate.
    InvalidQuota { customer: usize },
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ConfigError::InUse { index } => write!(
                f,
                "trigger type {index} has invocations open; append the new one, or try again when they are over"
            ),
            ConfigError::OutOfOrder { index, next } => {
                write!(
                    f,
                    "trigger type {index} leaves a gap; the next one to append is {next}"
                )
            }
            ConfigError::InvalidTime { index } => write!(
                f,
                "trigger type {index} needs a latency objective and a client timeout of more than 0 s"
            ),
            ConfigError::InvalidQuota { customer } => {
                write!(
                    f,
                    "the share of customer {customer} has to be 0 or more invocations a second"
                )
            }
        }
    }
}

impl std::error::Error for ConfigError {}

/// What a deployment grants and demands, decoded once when a front end starts.
#[derive(Clone, Debug, Default)]
pub struct PolicyConfig {
    pub trigger_types: Vec<TriggerType>,
    /// Invocations a second within each customer's share, over all front ends.
    pub quotas: Vec<f64>,
    pub over_quota_value_factor: f64,
    pub bills_by_work: bool,
    pub front_ends: f64,
    /// Which of them this is.
    pub front_end_index: f64,
    /// Its location, and what a dispatch to another one costs.
    pub zone: u8,
    pub cross_zone_cost: f64,
    /// The region of each zone, by the zone's number; zones past its end have none. Where the front end's own zone
    /// has one, functions are placed there while it has an executor that is ready and sound. Empty: anywhere.
    pub zone_regions: Vec<Option<u8>>,
    pub clock_tick: f64,
    pub max_dispatches: u8,
    pub allows_hedging: bool,
    pub allows_cancellation: bool,
    pub max_retry_after: f64,
    pub polls_endpoints: bool,
    pub slow_start_duration: f64,
    pub slow_start_initial_weight: f64,
    pub overload_factor: f64,
    pub overload_window: f64,
    /// Work may go to an executor for so long after it was told draining; 0 where that is not told.
    pub drain_grace: f64,
    /// How far the clocks of any two front ends may differ.
    pub max_clock_skew: f64,
    pub allows_load_commands: bool,
    /// What an order costs, in invocations.
    pub load_command_cost: f64,
    pub rejects_unloaded: bool,
    pub reports_concurrency: bool,
    /// An idle copy stays loaded at least this long.
    pub keep_alive: f64,
    pub load_budget_floor: f64,
    pub load_budget_fraction: f64,
    pub load_budget_window: f64,
    /// Where in a load report the invocations waiting are found.
    pub backlog_field: Option<usize>,
    /// Where in it the loads under way or waiting are found.
    pub pending_loads_field: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub executor: ExecutorId,
    pub zone: u8,
    pub kind: u8,
    pub cell: u16,
    pub state: EndpointState,
    pub weight: f64,
    /// When it last started; minus infinity for long ago.
    pub started_at: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    Delta,
    Full,
    Failed,
}

#[derive(Clone, Debug)]
pub struct Invocation {
    pub id: u32,
    pub trigger_type: usize,
    pub customer: usize,
    pub function: u64,
    /// The client says that it asks again.
    pub is_retry: bool,
    /// It was taken before, under another id: it grants no further order to load.
    pub is_migrated: bool,
    /// The moment the client gives up.
    pub timeout_at: f64,
    /// Expected work, where the hint is valid.
    pub expected_work: Option<f64>,
    pub concurrency: f64,
    /// Usual time of a load, where told.
    pub load_time: Option<f64>,
}

/// Copies that are wanted ahead of invocations.
#[derive(Clone, Copy, Debug)]
pub struct PrewarmRequest {
    pub function: u64,
    pub concurrency: f64,
    pub load_time: Option<f64>,
    pub replicas: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchStatus {
    Ok,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NeverSent,
    Miss,
}

impl DispatchStatus {
    /// Whether it proves that the dispatch never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            DispatchStatus::Full
                | DispatchStatus::ConnectFailed
                | DispatchStatus::NeverSent
                | DispatchStatus::Miss
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyState {
    Unknown,
    Warm,
    ColdLoad,
    JoinedLoad,
    LoadFailed,
}

#[derive(Clone, Debug)]
pub struct DispatchResult<'a> {
    pub invocation: u32,
    pub dispatch: u8,
    pub executor: ExecutorId,
    pub status: DispatchStatus,
    pub duration: f64,
    /// The invocation has had its final answer.
    pub is_answered: bool,
    pub copy_state: CopyState,
    /// Invocations of the same function that the executor held, where told.
    pub function_concurrency: u32,
    pub load_report: &'a [f32],
}

impl DispatchResult<'_> {
    /// What its load report says in a field, if the field is told; never under 0.
    pub fn reported_value(&self, field: Option<usize>) -> Option<f64> {
        self.load_report
            .get(field?)
            .map(|&told| f64::from(told).max(0.0))
    }
}

/// The module's answers, in the order in which they take effect.
pub trait Actions {
    fn dispatch(&mut self, inv: u32, to: ExecutorId, time_out: f64);
    /// `past_share`: for its customer's having had its share.
    fn reject(&mut self, inv: u32, retry_after: f64, past_share: bool);
    fn fail(&mut self, inv: u32);
    fn cancel(&mut self, inv: u32, dispatch: u8);
    /// Orders an executor to hold copies of a function.
    fn load(&mut self, to: ExecutorId, function: u64, copies: u8);
    /// Asks how many copies of a function stand.
    fn query_replicas(&mut self, to: ExecutorId, function: u64);
    fn unload(&mut self, to: ExecutorId, function: u64);
    fn health_check(&mut self, to: ExecutorId);
    fn set_timer(&mut self, delay: f64, mark: u64);
    /// Subscribes to the roster where it has to be asked for.
    fn subscribe_to_endpoints(&mut self);
}

/// The front ends that live, as far as this one knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipView {
    /// What they share by.
    pub front_ends: f64,
    /// Time slots into which a shared budget is divided; the same at all that share.
    pub slot_count: f64,
    /// This one's place in it, which no other has.
    pub front_end_index: f64,
    /// Whether it has a part of what all of them strictly share.
    pub has_budget_share: bool,
}

/// Entries in the module's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    pub executors: usize,
    pub functions: usize,
    pub invocations: usize,
}
