//! Dispatch policy of a front end. It selects the executor of a shared fleet that runs each invocation, and decides
//! when executors load a function that they need before they can run it.
//!
//! [`dispatch::Dispatcher`] makes all decisions and contains every tuned value. [`state`] stores records and makes no
//! decisions. [`interface`] defines the inputs and outputs. The policy performs no I/O, reads no clock and draws random
//! numbers from a seeded generator, so equal inputs produce equal decisions.

mod actions;
pub mod dispatch;
mod dispatch_result;
mod endpoint;
pub mod interface;
mod invocation;
mod policy_config;
pub mod random;
pub mod state;
