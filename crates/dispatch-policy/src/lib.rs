//! orchidtally decides which executor of a shared fleet runs each invocation of a function that has
//! to be loaded first. [`dispatch`] holds every decision; [`interface`] is what it is told and answers with.

pub mod dispatch;
pub mod interface;
pub mod random;
pub mod state;
