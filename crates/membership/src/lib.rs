//! Membership decisions, without I/O: which executors a front end believes to be alive from what a store with lists
//! and watches (etcd) reports, and by how many front ends shared budgets are divided.
//!
//! Nothing here reads a clock or a socket. Callers pass the time, in seconds of one monotonic clock of theirs, and
//! the store's responses.

pub mod cache;
mod error;
pub mod members;
mod store;

pub use cache::{EndpointCache, EndpointUpdate, EntryReader, ExecutorCounts};
pub use error::EntryError;
pub use members::{Members, MembershipEstimate};
pub use store::{EntryChange, NextRequest, StoreRevision};
