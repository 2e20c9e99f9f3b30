//! etcd's v3 protocol as far as membership needs it: messages, the frames of gRPC, a watch as a value, and a client
//! of several endpoints.

pub mod client;
pub mod grpc;
pub mod traffic;
pub mod watch;

pub use client::{Client, Fault, REQUIRE_LEADER};
pub use traffic::{Counted, Traffic};
pub use watch::{Told, Watch};

/// The messages, as `proto/etcd.proto` gives them.
pub mod rpc {
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.rs"));
}

pub const RANGE: &str = "/etcdserverpb.KV/Range";
pub const PUT: &str = "/etcdserverpb.KV/Put";
pub const DELETE_RANGE: &str = "/etcdserverpb.KV/DeleteRange";
pub const TXN: &str = "/etcdserverpb.KV/Txn";
pub const COMPACT: &str = "/etcdserverpb.KV/Compact";
pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
pub const AUTHENTICATE: &str = "/etcdserverpb.Auth/Authenticate";

/// The end of the range of all keys that begin so: the first key behind them.
pub fn range_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    // All keys from there on.
    vec![0]
}
