//! What the decision module is told and what it answers with. Times are seconds.

use std::net::IpAddr;

/// An executor's address and port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExecutorId(pub IpAddr, pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Tokened,
    NonIdempotent,
}

/// The executors among which a repeat of a tokened invocation is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TriggerType {
    /// Latency objective.
    pub objective: f64,
    /// The objective grows by this many times the invocation's own work.
    pub stretch: f64,
    /// Client timeout, at the longest.
    pub timeout: f64,
    pub billed_value: f64,
    /// What is left of the billed value after the objective.
    pub late_share: f64,
    pub effect: Effect,
    pub group: Group,
    /// How long the group remembers a token.
    pub window: f64,
}

impl TriggerType {
    /// Whether it can stand at an index, where those before `next` are taken.
    ///
    /// # Errors
    /// Its times have to be positive and finite, and the index at most the next one.
    pub fn check(&self, index: usize, next: usize) -> Result<(), ConfigRefused> {
        let is_time = |seconds: f64| seconds > 0.0 && seconds.is_finite();
        if index > next {
            Err(ConfigRefused::OutOfOrder { index, next })
        } else if !is_time(self.objective) || !is_time(self.timeout) {
            Err(ConfigRefused::NoTime { index })
        } else {
            Ok(())
        }
    }
}

/// Checks customers' shares, in invocations a second over all front ends.
///
/// # Errors
/// Each share has to be a finite number, and not negative.
pub fn check_quotas(quotas: &[f64]) -> Result<(), ConfigRefused> {
    match quotas.iter().position(|q| !q.is_finite() || *q < 0.0) {
        Some(customer) => Err(ConfigRefused::NoQuota { customer }),
        None => Ok(()),
    }
}

/// Why a change of configuration was not taken. What was in force before stays so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigRefused {
    /// An invocation is still of the trigger type that stands at the index.
    InUse { index: usize },
    /// Trigger types are appended one after the other.
    OutOfOrder { index: usize, next: usize },
    /// The trigger type's latency objective or client timeout is no time.
    NoTime { index: usize },
    /// A customer's share is no rate.
    NoQuota { customer: usize },
}

impl std::fmt::Display for ConfigRefused {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ConfigRefused::InUse { index } => write!(
                f,
                "trigger type {index} has invocations open; append the new one, or try again when they are over"
            ),
            ConfigRefused::OutOfOrder { index, next } => {
                write!(
                    f,
                    "trigger type {index} leaves a gap; the next one to append is {next}"
                )
            }
            ConfigRefused::NoTime { index } => write!(
                f,
                "trigger type {index} needs a latency objective and a client timeout of more than 0 s"
            ),
            ConfigRefused::NoQuota { customer } => {
                write!(
                    f,
                    "the share of customer {customer} has to be 0 or more invocations a second"
                )
            }
        }
    }
}

impl std::error::Error for ConfigRefused {}

/// What a deployment grants and demands, decoded once when a front end starts.
#[derive(Clone, Debug, Default)]
pub struct PolicyConfig {
    pub trigger_types: Vec<TriggerType>,
    /// Invocations a second within each customer's share, over all front ends.
    pub quotas: Vec<f64>,
    pub over_share_value: f64,
    pub value_by_work: bool,
    pub front_ends: f64,
    /// Which of them this is.
    pub index: f64,
    /// Its location, and what a dispatch to another one costs.
    pub zone: u8,
    pub crossing: f64,
    /// The region of each zone, by the zone's number; zones past its end have none. Where the front end's own zone
    /// has one, functions are placed there while it has an executor that is ready and sound. Empty: anywhere.
    pub regions: Vec<Option<u8>>,
    pub tick: f64,
    pub max_dispatches: u8,
    pub second_copies: bool,
    pub cancel: bool,
    pub max_retry_after: f64,
    pub roster_asked: bool,
    pub cold: f64,
    pub cold_from: f64,
    pub overload_factor: f64,
    pub fall: f64,
    /// Work may go to an executor for so long after it was told draining; 0 where that is not told.
    pub drain_grace: f64,
    /// How far the clocks of any two front ends may differ.
    pub skew: f64,
    pub orders: bool,
    /// What an order costs, in invocations.
    pub order_price: f64,
    pub answers_miss: bool,
    pub tells_crowd: bool,
    /// An idle copy stays loaded at least this long.
    pub keep_alive: f64,
    pub ration_floor: f64,
    pub ration_share: f64,
    pub ration_window: f64,
    /// Where in a load report the invocations waiting are found.
    pub backlog_field: Option<usize>,
    /// Where in it the loads under way or waiting are found.
    pub loads_field: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RosterRow {
    pub executor: ExecutorId,
    pub zone: u8,
    pub kind: u8,
    pub cell: u16,
    pub standing: Standing,
    pub weight: f64,
    /// When it last started; minus infinity for long ago.
    pub since: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterKind {
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
    pub repeat: bool,
    /// It was taken before, under another id: it grants no further order to load.
    pub moved: bool,
    /// The moment the client gives up.
    pub timeout_at: f64,
    /// Expected work, where the hint is valid.
    pub work: Option<f64>,
    pub lanes: f64,
    /// Usual time of a load, where told.
    pub load_time: Option<f64>,
}

/// Copies that are wanted ahead of invocations.
#[derive(Clone, Copy, Debug)]
pub struct Ahead {
    pub function: u64,
    pub lanes: f64,
    pub load_time: Option<f64>,
    pub copies: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
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

impl Ending {
    /// Whether it proves that the dispatch never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Ending::Full | Ending::ConnectFailed | Ending::NeverSent | Ending::Miss
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    Untold,
    Warm,
    Loaded,
    Waited,
    LoadFailed,
}

#[derive(Clone, Debug)]
pub struct Outcome<'a> {
    pub inv: u32,
    pub dispatch: u8,
    pub executor: ExecutorId,
    pub ending: Ending,
    pub took: f64,
    /// The invocation has had its final answer.
    pub closed: bool,
    pub found: Found,
    /// Invocations of the same function that the executor held, where told.
    pub crowd: u32,
    pub report: &'a [f32],
}

impl Outcome<'_> {
    /// What its load report says in a field, if the field is told; never under 0.
    pub fn reported(&self, field: Option<usize>) -> Option<f64> {
        self.report
            .get(field?)
            .map(|&told| f64::from(told).max(0.0))
    }
}

/// The module's answers, in the order in which they take effect.
pub trait Actions {
    fn dispatch(&mut self, inv: u32, to: ExecutorId, time_out: f64);
    /// `past_share`: for its customer's having had its share.
    fn throttle(&mut self, inv: u32, retry_after: f64, past_share: bool);
    fn error(&mut self, inv: u32);
    fn cancel(&mut self, inv: u32, dispatch: u8);
    /// Orders an executor to hold copies of a function.
    fn hold(&mut self, to: ExecutorId, function: u64, copies: u8);
    /// Asks how many copies of a function stand.
    fn ask(&mut self, to: ExecutorId, function: u64);
    fn unload(&mut self, to: ExecutorId, function: u64);
    fn probe(&mut self, to: ExecutorId);
    fn wake(&mut self, delay: f64, mark: u64);
    /// Subscribes to the roster where it has to be asked for.
    fn watch_roster(&mut self);
}

/// The front ends that live, as far as this one knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipView {
    /// What they share by.
    pub front_ends: f64,
    /// Time slots into which a shared budget is divided; the same at all that share.
    pub slot_count: f64,
    /// This one's place in it, which no other has.
    pub index: f64,
    /// Whether it has a part of what all of them strictly share.
    pub shares: bool,
}

/// Entries in the module's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    pub executors: usize,
    pub functions: usize,
    pub invocations: usize,
}
