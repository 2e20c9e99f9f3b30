//! Dispatch policy of a front end: decides which executor of a shared fleet runs each invocation of a function
//! that has to be loaded first.
//!
//! [`dispatch::Dispatcher`] takes all decisions and holds every tuned value; [`state`] keeps records without
//! deciding anything; [`interface`] has the inputs and outputs. The policy does no input or output of its own, reads
//! no clock and draws from a seeded generator, so that equal inputs give equal decisions.

mod actions;
pub mod dispatch;
mod dispatch_result;
mod endpoint;
pub mod interface;
mod invocation;
mod policy_config;
pub mod random;
pub mod state;
