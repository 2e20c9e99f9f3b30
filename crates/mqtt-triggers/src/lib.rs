//! Triggers without I/O: which message becomes which invocation, when messages are admitted, and in which order they
//! are persisted, acknowledged, dispatched and answered, so that each message has one effect and one answer.

pub mod admission;
pub mod consumer;
pub mod durable_invocations;
pub mod ledger;
pub mod pattern;
pub mod rules;
pub mod settings;

pub use consumer::Consumer;
pub use pattern::Pattern;
pub use rules::{PoisonReason, Rules};
pub use settings::{TriggerSettings, read};
