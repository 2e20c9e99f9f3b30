//! The engine between a host process and the decision module.
//!
//! It does what every host needs and the decision module does not do: it assigns invocation ids and dispatch
//! numbers, keeps the bounded registry of open invocations and their deadlines, guarantees one final answer per
//! invocation whatever races, and derives from the end of a dispatch whether it can have run ([`transport_outcome`]).
//!
//! The engine does no I/O and has no clock of its own (sans-I/O): the host passes the time, in seconds, with every
//! input, and carries out the engine's actions through [`Host`]. The host calls [`Engine::run_due_timers`] at
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
