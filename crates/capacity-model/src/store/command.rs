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
    /// Puts entries of so many executors in.
    PutExecutors { count: usize },
    /// Changes the standing of so many executors, from this one on, each in a transaction of its own.
    ChangeExecutors { from: usize, count: usize },
    /// Puts in the configuration of so many functions, with its digests and generation.
    PutConfiguration { functions: usize },
    /// Stops a member at once.
    StopMember { member: usize },
    /// Starts it again.
    RestartMember { member: usize },
    /// With the next transaction so many members stop.
    CrashInNextTransaction { members: usize, committed: bool },
    /// Cuts a region off from the others.
    CutRegion { region: u32 },
    /// Reconnects all regions.
    Heal,
    /// Drops all history before the newest revision.
    Compact,
    /// Changes so many functions, from this one on, to this version: committed whatever members run, as what a front end
    /// misses while it can reach none.
    ChangeFunctions {
        from: usize,
        count: usize,
        version: u64,
    },
    /// The next events for the watch of a client of this name are lost.
    LoseEvents { client: String },
    /// Delays each answer by so much, in seconds.
    Delay { seconds: f64 },
}

/// What one member counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberUsage {
    pub bytes_received: u64,
    pub bytes_sent: u64,
    pub connections: u64,
    pub watches: u64,
}

/// What the clients of one name moved over all their connections.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientUsage {
    pub name: String,
    pub bytes_received: u64,
    pub bytes_sent: u64,
}

/// What the store's process used.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time of the process, all members together, in seconds.
    pub cpu_s: f64,
    pub heap_bytes: f64,
    pub revision: i64,
    pub members: Vec<MemberUsage>,
}

/// The store's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum Answer {
    Done,
    /// The revision of a change.
    Changed {
        revision: i64,
    },
    Addresses {
        by_region: Vec<Vec<SocketAddr>>,
    },
    Usage(Usage),
    Clients {
        clients: Vec<ClientUsage>,
    },
    Failed {
        reason: String,
    },
}
