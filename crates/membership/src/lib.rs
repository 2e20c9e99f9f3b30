//! Decisions of membership, without I/O: what of a store's word on executors is believed when, and by how many front
//! ends each one shares what is to be shared.

pub mod cache;
pub mod members;

pub use cache::{Change, EndpointCache, NextRequest, StoreRevision};
pub use members::{Members, MembershipEstimate};
