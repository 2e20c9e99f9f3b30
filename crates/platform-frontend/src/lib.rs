//! The platform's front end: the engine, and with it the dispatch policy, on the platform's protocol.
//!
//! One thread polls its sockets, passes what it reads to the engine and writes what the engine asks for. Every table
//! and buffer is bounded by the limits given at the start. No decision is made here: bytes become calls of the engine,
//! and the engine's callbacks become messages.
//!
//! `event_loop` holds the parts and fixes the order of work; `engine_host` performs the engine's callbacks.

mod client_connection;
mod delayed_dispatches;
mod engine_host;
mod event_loop;
mod executor_connection;
mod executor_pool;
mod invocation_request;
mod invocation_table;
mod log_rate_limiter;
mod process_clock;
mod resolver;
mod signals;
mod source;
pub mod start;

pub use event_loop::run;
pub use signals::PendingSignals;
