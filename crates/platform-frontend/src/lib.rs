//! The platform's front end: the engine, and with it the decision module, on the platform's protocol. One
//! thread goes through whatever is ready, a turn at a time; every table and buffer is bounded by the limits
//! told at the start. It decides nothing: it turns what it reads into calls and answers into messages.

mod accepting;
mod clients;
mod connections;
mod egress;
mod ending;
mod front;
mod held;
mod host;
mod host_state;
mod ingress;
mod listing;
mod log_budget;
mod process_clock;
mod roster;
mod sending;
pub mod start;

pub use front::{PendingSignals, run};
