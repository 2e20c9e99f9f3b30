//! Decisions of triggers, without I/O: which message becomes which invocation, what is taken on when, and in which
//! order things are written, said and done so that each message has one effect and one answer.

pub mod admission;
pub mod desk;
pub mod ledger;
pub mod pattern;
pub mod promises;
pub mod rules;
pub mod section;

pub use desk::Desk;
pub use pattern::Pattern;
pub use rules::{Poison, Rules};
pub use section::{Section, read};
