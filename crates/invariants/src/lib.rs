//! The five rules, checked from records of what went over the sockets: what clients sent and heard, what
//! reached executors and what came of it there, and what the roster's publisher told whom. It knows neither
//! the module nor the engine. All times are seconds on one clock.

mod messages;
mod rules;
mod spread;

pub use messages::{Messages, messages};
pub use rules::{Rule, Verdict, judge};
use serde::{Deserialize, Serialize};
pub use spread::{Spread, spread};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Effect {
    Idempotent,
    Tokened,
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Group {
    All,
    Location,
    Cell,
}

/// What the rules are checked against.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Limits {
    pub trigger_types: Vec<TriggerType>,
    pub second_copies: bool,
    pub drain_grace: f64,
    pub fall: f64,
    pub ration_floor: f64,
    pub ration_share: f64,
    pub ration_window: f64,
    /// What a message may take on its way, so that two records of one thing differ by so much at most.
    pub transit: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct TriggerType {
    pub name: String,
    pub effect: Effect,
    pub group: Group,
    pub window: f64,
    pub objective: f64,
}

/// Where an executor stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Executor {
    pub location: u32,
    pub cell: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Answer {
    Succeeded,
    Throttled,
    Errored,
    /// Refused as malformed or over a bound; never an invocation.
    NotTaken,
}

/// How a dispatch ended at its executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Ending {
    Succeeded,
    Failed,
    /// Turned away unseen, or not loaded: it never ran.
    Refused,
    /// Reset by the front end, or the connection broke.
    Abandoned,
    /// The executor crashed with it in hand.
    Crashed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// One thing that was said or done. `front_end` is an index; `life` tells its incarnations apart.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", rename_all_fields = "camelCase", tag = "what")]
pub enum Record {
    /// A client sent an invocation and waits until `until`.
    Offered {
        at: f64,
        client: u32,
        invocation: String,
        front_end: u32,
        trigger_type: usize,
        until: f64,
    },
    Answered {
        at: f64,
        invocation: String,
        answer: Answer,
    },
    /// The connection broke before an answer.
    Lost {
        at: f64,
        invocation: String,
    },
    /// The client went away by its own choice.
    Left {
        at: f64,
        invocation: String,
    },
    /// The client's time ran out.
    GaveUp {
        at: f64,
        invocation: String,
    },
    /// A dispatch came to an executor.
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
    /// Its work was begun: from here on its effect has taken place.
    Ran {
        at: f64,
        executor: usize,
        invocation: String,
    },
    /// It ran bytes of this digest, where its dispatch named that one.
    RanVersion {
        at: f64,
        executor: usize,
        invocation: String,
        named: String,
        loaded: String,
    },
    /// Its token was known, so that it had no second effect.
    Dropped {
        at: f64,
        executor: usize,
        invocation: String,
    },
    Ended {
        at: f64,
        executor: usize,
        invocation: String,
        number: u32,
        ending: Ending,
    },
    Ordered {
        at: f64,
        executor: usize,
        front_end: u32,
        life: u64,
        copies: u32,
    },
    /// The publisher told a front end of an executor; `since`: when that last started.
    Told {
        at: f64,
        front_end: u32,
        life: u64,
        executor: usize,
        standing: Standing,
        since: f64,
    },
    /// An executor was pushed over while it was cold; `since`: when it had started.
    Fell {
        at: f64,
        executor: usize,
        since: f64,
    },
    /// An executor stands ready from here on, with nothing in hand and no copy, and runs so many at a time.
    Stands {
        at: f64,
        executor: usize,
        lanes: u32,
    },
    /// It ended, or takes nothing new.
    Down {
        at: f64,
        executor: usize,
    },
    /// It began to load a copy of a function, or let the last one go.
    Loads {
        at: f64,
        executor: usize,
        function: String,
    },
    Unloads {
        at: f64,
        executor: usize,
        function: String,
    },
    /// An executor read nothing from its sockets from here until `until`.
    Deaf {
        at: f64,
        executor: usize,
        until: f64,
    },
    /// A controller published a message that is to become an invocation.
    Published {
        at: f64,
        invocation: String,
        trigger_type: String,
    },
    /// Its answer came.
    Heard {
        at: f64,
        invocation: String,
        outcome: String,
    },
    /// A front end was killed outright.
    Killed {
        at: f64,
        front_end: u32,
    },
    /// A front end takes invocations (again).
    Up {
        at: f64,
        front_end: u32,
    },
}

impl Record {
    pub fn at(&self) -> f64 {
        match *self {
            Record::Offered { at, .. }
            | Record::Answered { at, .. }
            | Record::Lost { at, .. }
            | Record::Left { at, .. }
            | Record::GaveUp { at, .. }
            | Record::Reached { at, .. }
            | Record::Ran { at, .. }
            | Record::RanVersion { at, .. }
            | Record::Dropped { at, .. }
            | Record::Ended { at, .. }
            | Record::Ordered { at, .. }
            | Record::Told { at, .. }
            | Record::Fell { at, .. }
            | Record::Stands { at, .. }
            | Record::Down { at, .. }
            | Record::Loads { at, .. }
            | Record::Unloads { at, .. }
            | Record::Deaf { at, .. }
            | Record::Published { at, .. }
            | Record::Heard { at, .. }
            | Record::Killed { at, .. }
            | Record::Up { at, .. } => at,
        }
    }
}
