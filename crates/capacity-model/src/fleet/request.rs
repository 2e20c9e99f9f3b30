//! What a front end sends to an executor.

use orchidtally_dispatch_policy::interface::{DispatchStatus, ReplicaState};

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Purpose {
    /// To run a call.
    Call {
        /// The front end's id of the call, and the number of the dispatch.
        invocation: u32,
        dispatch: u8,
        /// The number of the call over the whole run, and when it came.
        call: u32,
        came: f64,
    },
    /// To load a copy.
    Order,
}

/// A request and, once it has one, its answer.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub purpose: Purpose,
    pub function: u32,
    pub front_end: u16,
    pub front_end_incarnation: u8,
    pub executor: u16,
    /// The life of the executor that the connection was made to; from its arrival on, the one that has it.
    pub executor_incarnation: u8,
    /// It goes over a connection that was there already.
    pub is_connected: bool,
    /// The executor drops it from then on, unless it has begun.
    pub cancelled_at: f64,
    pub ending: DispatchStatus,
    pub found: ReplicaState,
    /// Calls of the same function at the executor when it came.
    pub function_concurrency: u32,
    /// Calls that wait, and loads under way or waiting.
    pub report: [f32; 2],
}
