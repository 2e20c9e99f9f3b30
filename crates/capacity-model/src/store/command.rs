//! What a run asks of its store's process: one JSON line each way.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A command to the store's process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "kebab-case")]
pub enum Command {
    /// The members' addresses for clients of each region.
    Addresses,
    /// What the process and its members have used so far.
    Usage,
    /// What the clients have moved so far, by name.
    Clients,
    /// Writes the entries of some executors.
    PutExecutors {
        /// How many.
        count: usize,
    },
    /// Changes the state of some executors, each in a transaction of its own.
    ChangeExecutors {
        /// The first number.
        from: usize,
        /// How many.
        count: usize,
    },
    /// Writes the configuration of some functions, with its digests and generation.
    PutConfiguration {
        /// Number of functions.
        functions: usize,
    },
    /// Stops a member at once.
    StopMember {
        /// Index of the member.
        member: usize,
    },
    /// Starts it again.
    RestartMember {
        /// Index of the member.
        member: usize,
    },
    /// Stops some members at the next transaction.
    CrashInNextTransaction {
        /// How many members stop.
        members: usize,
        /// Whether the transaction is committed before they stop.
        committed: bool,
    },
    /// Cuts a region off from the others.
    CutRegion {
        /// The region.
        region: u32,
    },
    /// Reconnects all regions.
    Heal,
    /// Drops all history before the newest revision.
    Compact,
    /// Changes some functions to a version. The change is committed whichever members run: a front end misses it while it
    /// can reach none.
    ChangeFunctions {
        /// The first number.
        from: usize,
        /// How many.
        count: usize,
        /// Version to write.
        version: u64,
    },
    /// The next events for the watch of a client of this name are lost.
    LoseEvents {
        /// Name of the client.
        client: String,
    },
    /// Delays each answer by so much, in seconds.
    Delay {
        /// Delay of each answer, in seconds.
        seconds: f64,
    },
}

/// What one member counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberUsage {
    /// Bytes received so far.
    pub bytes_received: u64,
    /// Bytes sent so far.
    pub bytes_sent: u64,
    /// Open connections.
    pub connections: u64,
    /// Open watches.
    pub watches: u64,
}

/// What the clients of one name moved over all their connections.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientUsage {
    /// Name of the client.
    pub name: String,
    /// Bytes received so far.
    pub bytes_received: u64,
    /// Bytes sent so far.
    pub bytes_sent: u64,
}

/// What the store's process used.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time of the process, all members together, in seconds.
    pub cpu_s: f64,
    /// Heap of the process in bytes.
    pub heap_bytes: f64,
    /// Revision of the store.
    pub revision: i64,
    /// What each member counted.
    pub members: Vec<MemberUsage>,
}

/// The store's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum Answer {
    /// The command was performed.
    Done,
    /// The revision of a change.
    Changed {
        /// Revision of the store.
        revision: i64,
    },
    /// The members' addresses.
    Addresses {
        /// Addresses by the region of the client, members of that region first.
        by_region: Vec<Vec<SocketAddr>>,
    },
    /// What the process used.
    Usage(Usage),
    /// What the clients moved.
    Clients {
        /// Usage of each client.
        clients: Vec<ClientUsage>,
    },
    /// The command could not be performed.
    Failed {
        /// The reason in words.
        reason: String,
    },
}
