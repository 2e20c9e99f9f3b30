//! The five rules, checked from records of what went over the sockets: what clients sent and received, what reached
//! executors and what came of it there, and what front ends were told of executors. This crate knows neither the
//! dispatch module nor the engine. All times are seconds on one clock.

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
    /// Running again is harmless.
    Idempotent,
    /// Running again under the same idempotency key is harmless within a scope and a window of time.
    #[serde(rename = "tokened")]
    Keyed,
    /// It may run once.
    NonIdempotent,
}

/// The executors that remember an idempotency key together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum DeduplicationScope {
    /// All executors.
    All,
    /// Executors of one zone.
    #[serde(rename = "location")]
    Zone,
    /// Those of one cell.
    Cell,
}

/// What the rules are checked against.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Limits {
    /// The trigger types.
    pub trigger_types: Vec<TriggerType>,
    /// Whether an idempotent invocation may have two dispatches out at a time.
    #[serde(rename = "secondCopies")]
    pub allows_hedging: bool,
    /// Seconds for which new work may still go to an executor after the front end was notified that it drains.
    pub drain_grace: f64,
    /// Seconds before a warming executor was overloaded in which dispatches count as its cause.
    #[serde(rename = "fall")]
    pub overload_window: f64,
    /// Load commands that a front end may send in a window without any invocation.
    #[serde(rename = "rationFloor")]
    pub load_budget_floor: f64,
    /// Further load commands in a window for each invocation.
    #[serde(rename = "rationShare")]
    pub load_budget_fraction: f64,
    /// The length of that window in seconds; 0 for no budget.
    #[serde(rename = "rationWindow")]
    pub load_budget_window: f64,
    /// Seconds that a message may be in transit: two records of one event differ by that at the most.
    #[serde(rename = "transit")]
    pub max_transit_time: f64,
    /// Seconds after a client has cancelled within which an attempt for it may still begin; none where nothing is
    /// promised about that.
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
    /// The executors that remember an idempotency key together.
    #[serde(rename = "group")]
    pub deduplication_scope: DeduplicationScope,
    /// Seconds for which they remember it.
    #[serde(rename = "window")]
    pub deduplication_window: f64,
    /// Seconds within which an answer is in time.
    #[serde(rename = "objective")]
    pub latency_objective: f64,
}

/// The place of an executor.
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
    /// The function has answered.
    Succeeded,
    /// It did not run, and may be retried.
    #[serde(rename = "throttled")]
    Rejected,
    /// The invocation failed.
    #[serde(rename = "errored")]
    Failed,
    /// The request was malformed or over a bound: it never was an invocation.
    #[serde(rename = "notTaken")]
    NotAdmitted,
}

/// How a dispatch ended at its executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum DispatchOutcome {
    /// The function has answered.
    Succeeded,
    /// The function failed.
    Failed,
    /// It was rejected, or its function could not be loaded: it never ran.
    #[serde(rename = "refused")]
    Rejected,
    /// The front end reset it, or the connection broke.
    Abandoned,
    /// The executor crashed while it had the dispatch.
    Crashed,
}

/// The state of an executor as front ends are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum EndpointState {
    /// It accepts new work.
    Ready,
    /// It finishes its work and accepts none.
    Draining,
    /// It is not there.
    Gone,
}

/// An event of the traffic, as a client, an executor or a fault script recorded it. `at` is the time in seconds at which
/// it was seen; executors and front ends are indices. A front end's incarnation is the number of one run of its process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(
    rename_all = "camelCase",
    rename_all_fields = "camelCase",
    tag = "what"
)]
#[expect(
    missing_docs,
    reason = "fields are named after what the variant's comment tells"
)]
pub enum TrafficRecord {
    /// A client sent an invocation, and waits until `timeout_at`.
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
    /// The connection broke before an answer.
    #[serde(rename = "lost")]
    ConnectionLost { at: f64, invocation: String },
    /// The client cancelled, or closed its connection by its own choice.
    #[serde(rename = "left")]
    ClientCancelled { at: f64, invocation: String },
    /// The client gave up at its timeout.
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
    /// An executor began to run a dispatch: from then on its effect has taken place.
    #[serde(rename = "ran")]
    ExecutionStarted {
        at: f64,
        executor: usize,
        invocation: String,
    },
    /// An executor ran the package of one digest for a dispatch that named another or the same.
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
    /// An executor knew the idempotency key of a dispatch, which therefore had no second effect.
    #[serde(rename = "dropped")]
    Deduplicated {
        at: f64,
        executor: usize,
        invocation: String,
    },
    /// A dispatch ended at its executor.
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
    /// A front end was notified of an executor's state and start.
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
    /// An executor was overloaded in its slow start, and fell over.
    #[serde(rename = "fell")]
    ExecutorOverloaded {
        at: f64,
        executor: usize,
        #[serde(rename = "since")]
        started_at: f64,
    },
    /// An executor is ready from now on, without work or copies, and runs so many invocations at a time.
    #[serde(rename = "stands")]
    ExecutorReady {
        at: f64,
        executor: usize,
        #[serde(rename = "lanes")]
        concurrency: u32,
    },
    /// An executor ended, or accepts nothing new.
    #[serde(rename = "down")]
    ExecutorDown { at: f64, executor: usize },
    /// An executor began to load a copy of a function.
    #[serde(rename = "loads")]
    LoadStarted {
        at: f64,
        executor: usize,
        function: String,
    },
    /// An executor unloaded its last copy of a function.
    #[serde(rename = "unloads")]
    ReplicaUnloaded {
        at: f64,
        executor: usize,
        function: String,
    },
    /// An executor reads nothing from its sockets until `until`.
    #[serde(rename = "deaf")]
    ReadsPaused {
        at: f64,
        executor: usize,
        until: f64,
    },
    /// A publisher sent a message that is to become an invocation.
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
    /// A front end was paused (SIGSTOP) and resumed at `until`.
    #[serde(rename = "stopped")]
    FrontEndPaused { at: f64, front_end: u32, until: f64 },
    /// A front end was killed.
    #[serde(rename = "killed")]
    FrontEndKilled { at: f64, front_end: u32 },
    /// A front end admits invocations, perhaps again after a restart.
    #[serde(rename = "up")]
    FrontEndReady { at: f64, front_end: u32 },
}

impl TrafficRecord {
    /// When the event was seen.
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
