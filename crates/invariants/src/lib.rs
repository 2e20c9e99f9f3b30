//! Checks the five rules of the dispatcher against recorded traffic.
//!
//! A record states what a client sent or received, what arrived at an executor and how it ended there, or which
//! endpoint states a front end was notified of. The checks use these records alone and depend on neither the dispatch
//! policy nor the engine. All times are seconds on one clock.

mod messages;
mod rules;
mod spread;

pub use messages::{MessageReport, check_messages};
pub use rules::{RuleReport, Verdict, check_rules};
use serde::{Deserialize, Serialize};
pub use spread::{SpreadReport, measure_spread};

/// Whether an invocation may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Idempotency {
    /// Repeated execution is harmless.
    Idempotent,
    /// Repeated execution under the same idempotency key is harmless within a scope and a window of time.
    #[serde(rename = "tokened")]
    Keyed,
    /// It may run at most once.
    NonIdempotent,
}

/// The executors that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum DeduplicationScope {
    /// All executors.
    All,
    /// Executors of one zone.
    #[serde(rename = "location")]
    Zone,
    /// Executors of one cell.
    Cell,
}

/// What the rules are checked against.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Limits {
    /// The trigger types.
    pub trigger_types: Vec<TriggerType>,
    /// Whether an idempotent invocation may have two dispatches in flight at a time.
    #[serde(rename = "secondCopies")]
    pub allows_hedging: bool,
    /// Seconds after the notification that an executor drains during which a front end may still send it new work.
    pub drain_grace: f64,
    /// Length of the window, in seconds, before the overload of an executor in slow start; dispatches that arrived
    /// within it count as the cause.
    #[serde(rename = "fall")]
    pub overload_window: f64,
    /// Load commands that a front end may send in a window even if it admits no invocation.
    #[serde(rename = "rationFloor")]
    pub load_budget_floor: f64,
    /// Additional load commands that each invocation of the window allows.
    #[serde(rename = "rationShare")]
    pub load_budget_fraction: f64,
    /// The length of that window in seconds; 0 disables the load budget.
    #[serde(rename = "rationWindow")]
    pub load_budget_window: f64,
    /// The longest time in seconds that a message may be in transit. The sender's and the receiver's record of one
    /// message differ by at most this.
    #[serde(rename = "transit")]
    pub max_transit_time: f64,
    /// Seconds after a client's cancellation during which a dispatch of its invocation may still arrive at an executor;
    /// `None` disables this check.
    #[serde(rename = "leaveMargin", default)]
    pub cancellation_margin: Option<f64>,
}

/// A trigger type.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct TriggerType {
    /// The name.
    pub name: String,
    /// Whether its invocations may run more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// The executors that share their record of idempotency keys.
    #[serde(rename = "group")]
    pub deduplication_scope: DeduplicationScope,
    /// Seconds for which they remember an idempotency key.
    #[serde(rename = "window")]
    pub deduplication_window: f64,
    /// The latency objective in seconds.
    #[serde(rename = "objective")]
    pub latency_objective: f64,
}

/// The zone and cell of an executor.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Executor {
    /// The index of its zone.
    #[serde(rename = "location")]
    pub zone: u32,
    /// The index of its cell.
    pub cell: u32,
}

/// The final answer of an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum FinalAnswer {
    /// The function succeeded.
    Succeeded,
    /// The invocation did not run, and may be retried.
    #[serde(rename = "throttled")]
    Rejected,
    /// The invocation failed.
    #[serde(rename = "errored")]
    Failed,
    /// The request was malformed or exceeded a limit, and never became an invocation.
    #[serde(rename = "notTaken")]
    NotAdmitted,
}

/// How a dispatch ended at its executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum DispatchOutcome {
    /// The function succeeded.
    Succeeded,
    /// The function failed.
    Failed,
    /// The dispatch was rejected or its function could not be loaded; it never ran.
    #[serde(rename = "refused")]
    Rejected,
    /// The front end reset the stream, or the connection broke.
    Abandoned,
    /// The executor crashed while the dispatch was queued or running.
    Crashed,
}

/// The state of an executor in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum EndpointState {
    /// The executor accepts new work.
    Ready,
    /// The executor finishes its work and accepts no more.
    Draining,
    /// The executor no longer exists.
    Gone,
}

/// A traffic event as recorded by a client, an executor or a fault script.
///
/// `at` is the time of the observation in seconds; executors and front ends are given by index. A front end's
/// incarnation identifies one run of its process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(
    rename_all = "camelCase",
    rename_all_fields = "camelCase",
    tag = "what"
)]
#[expect(
    missing_docs,
    reason = "the documentation of each variant describes its fields"
)]
pub enum TrafficRecord {
    /// A client sent an invocation and waits for the answer until `timeout_at`.
    #[serde(rename = "offered")]
    InvocationSent {
        at: f64,
        client: u32,
        invocation: String,
        front_end: u32,
        trigger_type: usize,
        #[serde(rename = "until")]
        timeout_at: f64,
    },
    /// A client received the final answer.
    #[serde(rename = "answered")]
    AnswerReceived {
        at: f64,
        invocation: String,
        answer: FinalAnswer,
    },
    /// The client's connection broke before the answer arrived.
    #[serde(rename = "lost")]
    ConnectionLost { at: f64, invocation: String },
    /// The client cancelled the invocation or closed its connection on its own initiative.
    #[serde(rename = "left")]
    ClientCancelled { at: f64, invocation: String },
    /// The client timeout expired without an answer.
    #[serde(rename = "gaveUp")]
    ClientTimedOut { at: f64, invocation: String },
    /// A dispatch arrived at an executor.
    #[serde(rename = "reached")]
    DispatchArrived {
        at: f64,
        executor: usize,
        front_end: u32,
        #[serde(rename = "life")]
        incarnation: u64,
        invocation: String,
        number: u32,
        #[serde(rename = "token")]
        idempotency_key: String,
        trigger_type: String,
    },
    /// An executor began to run a dispatch. From this moment on its side effect counts as having happened.
    #[serde(rename = "ran")]
    ExecutionStarted {
        at: f64,
        executor: usize,
        invocation: String,
    },
    /// An executor ran the package with the digest `loaded_digest` for a dispatch that requested `requested_digest`.
    #[serde(rename = "ranVersion")]
    VersionExecuted {
        at: f64,
        executor: usize,
        invocation: String,
        #[serde(rename = "named")]
        requested_digest: String,
        #[serde(rename = "loaded")]
        loaded_digest: String,
    },
    /// An executor recognised the idempotency key of a dispatch and did not run it again.
    #[serde(rename = "dropped")]
    Deduplicated {
        at: f64,
        executor: usize,
        invocation: String,
    },
    /// A dispatch ended at an executor.
    #[serde(rename = "ended")]
    DispatchEnded {
        at: f64,
        executor: usize,
        invocation: String,
        number: u32,
        #[serde(rename = "ending")]
        outcome: DispatchOutcome,
    },
    /// A load command arrived at an executor.
    #[serde(rename = "ordered")]
    LoadCommandArrived {
        at: f64,
        executor: usize,
        front_end: u32,
        #[serde(rename = "life")]
        incarnation: u64,
        #[serde(rename = "copies")]
        replicas: u32,
    },
    /// A front end was notified of an executor's state and start time.
    #[serde(rename = "told")]
    EndpointNotified {
        at: f64,
        front_end: u32,
        #[serde(rename = "life")]
        incarnation: u64,
        executor: usize,
        #[serde(rename = "standing")]
        state: EndpointState,
        #[serde(rename = "since")]
        started_at: f64,
    },
    /// An executor became overloaded during its slow start and failed.
    #[serde(rename = "fell")]
    ExecutorOverloaded {
        at: f64,
        executor: usize,
        #[serde(rename = "since")]
        started_at: f64,
    },
    /// An executor became ready, without work or loaded replicas; it runs `concurrency` invocations at a time.
    #[serde(rename = "stands")]
    ExecutorReady {
        at: f64,
        executor: usize,
        #[serde(rename = "lanes")]
        concurrency: u32,
    },
    /// An executor ended, or stopped accepting new work.
    #[serde(rename = "down")]
    ExecutorDown { at: f64, executor: usize },
    /// An executor began to load a replica of a function.
    #[serde(rename = "loads")]
    LoadStarted {
        at: f64,
        executor: usize,
        function: String,
    },
    /// An executor unloaded its last replica of a function.
    #[serde(rename = "unloads")]
    ReplicaUnloaded {
        at: f64,
        executor: usize,
        function: String,
    },
    /// An executor does not read from its sockets until `until`.
    #[serde(rename = "deaf")]
    ReadsPaused {
        at: f64,
        executor: usize,
        until: f64,
    },
    /// A publisher sent a message that a front end turns into an invocation.
    #[serde(rename = "published")]
    MessagePublished {
        at: f64,
        invocation: String,
        trigger_type: String,
    },
    /// The publisher of a message received an answer.
    #[serde(rename = "heard")]
    MessageAnswered {
        at: f64,
        invocation: String,
        outcome: String,
    },
    /// A front end was paused (SIGSTOP) and was resumed at `until`.
    #[serde(rename = "stopped")]
    FrontEndPaused { at: f64, front_end: u32, until: f64 },
    /// A front end was killed.
    #[serde(rename = "killed")]
    FrontEndKilled { at: f64, front_end: u32 },
    /// A front end began to admit invocations, for the first time or after a restart.
    #[serde(rename = "up")]
    FrontEndReady { at: f64, front_end: u32 },
}

impl TrafficRecord {
    /// The time of the observation, in seconds.
    pub fn at(&self) -> f64 {
        match *self {
            TrafficRecord::InvocationSent { at, .. }
            | TrafficRecord::AnswerReceived { at, .. }
            | TrafficRecord::ConnectionLost { at, .. }
            | TrafficRecord::ClientCancelled { at, .. }
            | TrafficRecord::ClientTimedOut { at, .. }
            | TrafficRecord::DispatchArrived { at, .. }
            | TrafficRecord::ExecutionStarted { at, .. }
            | TrafficRecord::VersionExecuted { at, .. }
            | TrafficRecord::Deduplicated { at, .. }
            | TrafficRecord::DispatchEnded { at, .. }
            | TrafficRecord::LoadCommandArrived { at, .. }
            | TrafficRecord::EndpointNotified { at, .. }
            | TrafficRecord::ExecutorOverloaded { at, .. }
            | TrafficRecord::ExecutorReady { at, .. }
            | TrafficRecord::ExecutorDown { at, .. }
            | TrafficRecord::LoadStarted { at, .. }
            | TrafficRecord::ReplicaUnloaded { at, .. }
            | TrafficRecord::ReadsPaused { at, .. }
            | TrafficRecord::MessagePublished { at, .. }
            | TrafficRecord::MessageAnswered { at, .. }
            | TrafficRecord::FrontEndPaused { at, .. }
            | TrafficRecord::FrontEndKilled { at, .. }
            | TrafficRecord::FrontEndReady { at, .. } => at,
        }
    }
}
