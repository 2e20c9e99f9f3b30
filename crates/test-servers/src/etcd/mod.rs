//! A test server for etcd's v3 services KV, Watch and Lease. `Store` is the replicated state machine; `EtcdServer`
//! serves it over sockets as a cluster of members in one or more regions, and injects the faults that a test sets.
//!
//! All members share one `Store`. A member that can't reach a leader with a majority keeps the view that it had when it
//! lost the leader, and answers only serializable ranges and watches, from that view.

mod clients;
mod cluster;
mod counters;
mod exchange;
mod faults;
mod history;
mod lease;
mod link;
mod server;
mod store;
mod transaction;
mod watch;

pub use clients::ClientCounters;
pub use cluster::Region;
pub use counters::{Counters, Exchanges};
pub use faults::{CrashPoint, Faults, Timing};
pub use history::KeyRange;
pub use server::{EtcdServer, EventListener};
pub use store::{Store, View};
pub use transaction::MAX_OPERATIONS;

use orchidtally_etcd::grpc::Status;

// gRPC status codes that `orchidtally_etcd::grpc` doesn't define.
const INVALID_ARGUMENT: u32 = 3;
const NOT_FOUND: u32 = 5;
const UNIMPLEMENTED: u32 = 12;

/// The maximum size of a request in bytes: etcd's default for `--max-request-bytes`.
const MAX_REQUEST_BYTES: usize = 1_572_864;

fn refuse<T>(code: u32, message: &str) -> Result<T, Status> {
    Err(Status {
        code,
        message: message.into(),
    })
}
