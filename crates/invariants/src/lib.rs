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
    /// Running again under the same token is harmless within a group and a window of time.
    Tokened,
    /// It may run once.
    NonIdempotent,
}

/// The executors that remember a token together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum DeduplicationScope {
    /// All executors.
    All,
    /// Those of one location.
    Location,
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
    pub second_copies: bool,
    /// Seconds for which new work may still go to an executor that is known to be draining.
    pub drain_grace: f64,
    /// Seconds before a cold executor was pushed over in which dispatches count as its cause.
    pub fall: f64,
    /// Orders that a front end may give in a window without any invocation.
    pub ration_floor: f64,
    /// Orders that a front end may give in a window for each invocation.
    pub ration_share: f64,
    /// The length of that window in seconds; 0 for no ration.
    pub ration_window: f64,
    /// Seconds that a message may take on its way: two records of one event differ by that at the most.
    pub transit: f64,
    /// Seconds after a client has left within which an attempt for it may still begin; none where nothing is promised
    /// of that.
    #[serde(default)]
    pub leave_margin: Option<f64>,
}

/// A trigger type.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct TriggerType {
    /// The name.
    pub name: String,
    /// Whether its invocations may run more than once.
    pub effect: Idempotency,
    /// The executors that remember a token together.
    pub group: DeduplicationScope,
    /// Seconds for which they remember it.
    pub window: f64,
    /// Seconds within which an answer is in time.
    pub objective: f64,
}

/// The place of an executor.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Executor {
    /// The index of its location.
    pub location: u32,
    /// The index of its cell.
    pub cell: u32,
}

/// The final answer of an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum FinalAnswer {
    /// The function has answered.
    Succeeded,
    /// There was no room in time.
    Throttled,
    /// The invocation failed.
    Errored,
    /// The request was refused as malformed or over a bound: it never was an invocation.
    NotTaken,
}

/// How a dispatch ended at its executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum DispatchOutcome {
    /// The function has answered.
    Succeeded,
    /// The function failed.
    Failed,
    /// It was turned away unseen, or its function could not be loaded: it never ran.
    Refused,
    /// The front end reset it, or the connection broke.
    Abandoned,
    /// The executor crashed with it in hand.
    Crashed,
}

/// The state of an executor as front ends are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It ends what it has, and takes no new work.
    Draining,
    /// It is not there.
    Gone,
}

/// An event. `at` is when it was seen; `front_end` is an index, and `life` tells its incarnations apart.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(
    rename_all = "camelCase",
    rename_all_fields = "camelCase",
    tag = "what"
)]
pub enum TrafficRecord {
    /// A client sent an invocation and waits until `until`.
    Offered {
        at: f64,
        client: u32,
        invocation: String,
        front_end: u32,
        trigger_type: usize,
        until: f64,
    },
    /// A client received the final answer.
    Answered {
        at: f64,
        invocation: String,
        answer: FinalAnswer,
    },
    /// The connection broke before an answer.
    Lost { at: f64, invocation: String },
    /// The client went away by its own choice.
    Left { at: f64, invocation: String },
    /// The client's time ran out.
    GaveUp { at: f64, invocation: String },
    /// A dispatch arrived at an executor.
    Reached {
        at: f64,
        executor: usize,
        front_end: u32,
        life: u64,
        invocation: String,
        number: u32,
        token: String,
        trigger_type: String,
    },
    /// An executor began to run a dispatch: from then on its effect has taken place.
    Ran {
        at: f64,
        executor: usize,
        invocation: String,
    },
    /// An executor ran the package of one digest for a dispatch that named another or the same.
    RanVersion {
        at: f64,
        executor: usize,
        invocation: String,
        named: String,
        loaded: String,
    },
    /// An executor knew the token of a dispatch, so that it had no second effect.
    Dropped {
        at: f64,
        executor: usize,
        invocation: String,
    },
    /// A dispatch ended at its executor.
    Ended {
        at: f64,
        executor: usize,
        invocation: String,
        number: u32,
        ending: DispatchOutcome,
    },
    /// An order to load arrived at an executor.
    Ordered {
        at: f64,
        executor: usize,
        front_end: u32,
        life: u64,
        copies: u32,
    },
    /// A front end was told of an executor, which last started at `since`.
    Told {
        at: f64,
        front_end: u32,
        life: u64,
        executor: usize,
        standing: EndpointState,
        since: f64,
    },
    /// An executor that had started at `since` was pushed over while it was cold.
    Fell {
        at: f64,
        executor: usize,
        since: f64,
    },
    /// An executor is ready from now on, with no work and no copy, and runs so many invocations at a time.
    Stands {
        at: f64,
        executor: usize,
        lanes: u32,
    },
    /// An executor ended, or takes nothing new.
    Down { at: f64, executor: usize },
    /// An executor began to load a copy of a function.
    Loads {
        at: f64,
        executor: usize,
        function: String,
    },
    /// An executor let its last copy of a function go.
    Unloads {
        at: f64,
        executor: usize,
        function: String,
    },
    /// An executor reads nothing from its sockets until `until`.
    Deaf {
        at: f64,
        executor: usize,
        until: f64,
    },
    /// A publisher sent a message that is to become an invocation.
    Published {
        at: f64,
        invocation: String,
        trigger_type: String,
    },
    /// The publisher of a message received an answer.
    Heard {
        at: f64,
        invocation: String,
        outcome: String,
    },
    /// A front end was stopped (SIGSTOP) and went on at `until`.
    Stopped { at: f64, front_end: u32, until: f64 },
    /// A front end was killed.
    Killed { at: f64, front_end: u32 },
    /// A front end takes invocations, perhaps again.
    Up { at: f64, front_end: u32 },
}

impl TrafficRecord {
    /// When the event was seen.
    pub fn at(&self) -> f64 {
        match *self {
            TrafficRecord::Offered { at, .. }
            | TrafficRecord::Answered { at, .. }
            | TrafficRecord::Lost { at, .. }
            | TrafficRecord::Left { at, .. }
            | TrafficRecord::GaveUp { at, .. }
            | TrafficRecord::Reached { at, .. }
            | TrafficRecord::Ran { at, .. }
            | TrafficRecord::RanVersion { at, .. }
            | TrafficRecord::Dropped { at, .. }
            | TrafficRecord::Ended { at, .. }
            | TrafficRecord::Ordered { at, .. }
            | TrafficRecord::Told { at, .. }
            | TrafficRecord::Fell { at, .. }
            | TrafficRecord::Stands { at, .. }
            | TrafficRecord::Down { at, .. }
            | TrafficRecord::Loads { at, .. }
            | TrafficRecord::Unloads { at, .. }
            | TrafficRecord::Deaf { at, .. }
            | TrafficRecord::Published { at, .. }
            | TrafficRecord::Heard { at, .. }
            | TrafficRecord::Stopped { at, .. }
            | TrafficRecord::Killed { at, .. }
            | TrafficRecord::Up { at, .. } => at,
        }
    }
}
