//! The platform's front end: runs the engine and its dispatch policy behind the platform's wire protocols.
//!
//! A single thread polls its sockets, passes what it reads to the engine and writes what the engine requests. Every
//! table and buffer is bounded by the limits in the start file. This crate makes no dispatch decisions: it turns bytes
//! into engine calls and engine callbacks into messages.
//!
//! `event_loop` owns the components and defines the order of work; `engine_host` implements the engine's callbacks.

mod client_connection;
mod delayed_dispatches;
mod engine_host;
mod event_loop;
mod executed_ids;
mod executor_connection;
mod executor_pool;
mod invocation_request;
mod invocation_table;
mod log_rate_limiter;
mod memory_budget;
mod memory_use;
mod pending_invocations;
mod process_clock;
mod resolver;
mod signals;
mod source;
pub mod start;

pub use event_loop::run;
pub use signals::PendingSignals;
