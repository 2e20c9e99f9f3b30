//! MQTT triggers as state machines without I/O. The crate maps messages to invocations, admits messages, and orders
//! the steps that persist, acknowledge, dispatch and answer them, so that each message has one effect and one answer.

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
