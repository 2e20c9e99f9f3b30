//! Membership decisions, without I/O: which executors a front end considers alive, from the lists and watches of a
//! store (etcd), and among how many front ends shared budgets are divided.
//!
//! This crate reads neither clocks nor sockets. Callers pass the store's responses and the time, in seconds of one
//! monotonic clock.

pub mod cache;
mod error;
pub mod members;
mod store;

pub use cache::{EndpointCache, EndpointUpdate, EntryParser, ExecutorCounts};
pub use error::EntryError;
pub use members::{MembershipEstimate, MembershipTracker};
pub use store::{EntryChange, NextRequest, StoreRevision};
