//! The engine that connects a host process to the dispatch policy.
//!
//! The engine assigns invocation ids and dispatch numbers, keeps the bounded registry of open invocations and their
//! deadlines, guarantees exactly one final answer per invocation under any race of results, timeouts and cancellations,
//! and derives from the end of a dispatch whether it may have run ([`transport_outcome`]).
//!
//! The engine does no I/O and has no clock of its own (sans-I/O). The host passes the time in seconds with every input,
//! carries out the engine's actions through [`Host`], and calls [`Engine::run_due_timers`] at
//! [`Engine::next_deadline`].

mod action_executor;
mod admission;
pub mod baseline;
pub mod clock;
mod counters;
mod engine;
mod host;
mod invocation_registry;
mod policy;
pub mod stall_detector;
pub mod transport_outcome;

pub use admission::{AdmissionError, InvocationRequest};
pub use counters::Counters;
pub use engine::Engine;
pub use host::{FailureReason, Host, NO_METADATA, ResponseMetadata};
pub use policy::DispatchPolicy;
