//! Tests of the etcd test server's state machine without sockets: ranges, transactions, compaction and restore.

mod compaction;
mod range;
mod support;
mod transaction;
