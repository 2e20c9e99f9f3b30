//! A client of etcd's v3 protocol over HTTP/2: messages, gRPC frames, the state of a watch, and requests to several
//! endpoints.

pub mod client;
mod error;
pub mod grpc;
pub mod traffic;
pub mod watch;

pub use client::{BidirectionalStream, Client, REQUIRE_LEADER};
pub use error::{ClientError, ConnectionError};
pub use traffic::{CountedStream, Traffic};
pub use watch::{Watch, WatchEvent};

/// The messages, generated from `proto/etcd.proto`.
#[allow(missing_docs)]
pub mod rpc {
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.rs"));
}

/// Reads a range of keys.
pub const RANGE: &str = "/etcdserverpb.KV/Range";
/// Puts a key.
pub const PUT: &str = "/etcdserverpb.KV/Put";
/// Deletes a range of keys.
pub const DELETE_RANGE: &str = "/etcdserverpb.KV/DeleteRange";
/// Executes a transaction.
pub const TXN: &str = "/etcdserverpb.KV/Txn";
/// Compacts old revisions.
pub const COMPACT: &str = "/etcdserverpb.KV/Compact";
/// Watches ranges of keys, as a bidirectional stream.
pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
/// Grants a lease.
pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
/// Revokes a lease and deletes its keys.
pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
/// Renews leases, as a bidirectional stream.
pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
/// Exchanges a user name and password for a token.
pub const AUTHENTICATE: &str = "/etcdserverpb.Auth/Authenticate";

/// The end of the range of all keys with a prefix: the first key after them.
pub fn range_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    // All keys from the prefix on.
    vec![0]
}
