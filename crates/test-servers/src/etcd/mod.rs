//! A store that speaks etcd's v3 services KV, Watch and Lease: `Store` is the replicated state as a value, `Served` has
//! it on sockets with several members in several regions, and does wrong where a script says so.
//!
//! All members share one `Store`. One that reaches no leader with a majority keeps the view of the moment when it lost
//! it: it answers serializable ranges and watches from that, and nothing else.

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

/// Codes of gRPC beside those that `orchidtally_etcd::grpc` has.
const INVALID_ARGUMENT: u32 = 3;
const NOT_FOUND: u32 = 5;
const UNIMPLEMENTED: u32 = 12;

/// The longest request: etcd's default of `--max-request-bytes`.
const MAX_REQUEST_BYTES: usize = 1_572_864;

fn refuse<T>(code: u32, message: &str) -> Result<T, Status> {
    Err(Status {
        code,
        message: message.into(),
    })
}
