//! The faults that a test can inject into the server, and the timing of its members.

use crate::TimedFault;
use std::cell::{Cell, RefCell};

/// Faults that a test sets.
#[derive(Default)]
pub struct Faults {
    /// The delay before each answer, in seconds, as of a slow store.
    pub delay: Cell<f64>,
    /// No request is answered and no lease expires while this is active, as without a leader.
    pub stalled: TimedFault,
    /// All connections are closed with every n-th message; 0 disables the fault.
    pub breaks_every: Cell<u64>,
    /// The token that requests must carry; others are rejected as unauthenticated. `None` accepts all requests.
    pub token: RefCell<Option<String>>,
    /// The next events due to a client with this name are skipped; its watch continues after them.
    pub loses_events_of: RefCell<Option<String>>,
    pub(super) crash: Cell<Option<PlannedCrash>>,
}

/// The point within a transaction at which members stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// The transaction is not committed.
    BeforeCommit,
    /// The transaction is committed, but its client gets no answer.
    AfterCommit,
}

/// A crash of members during the next transaction.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedCrash {
    pub point: CrashPoint,
    /// How many members stop: the one that serves the transaction, then other running members in order.
    pub members: usize,
}

/// The timing of the members, in seconds.
pub struct Timing {
    /// How long a request waits for a leader before it fails as unavailable. etcd uses 7 s.
    pub request_timeout: Cell<f64>,
    /// The time from the loss of a leader to the next one. etcd takes 1 to 2 s.
    pub election_time: Cell<f64>,
    /// How long a stream that requires a leader stays open without one. etcd uses three election timeouts.
    pub leaderless_time: Cell<f64>,
    /// How long changes are batched before watches are served. Each open watch adds 50 us.
    pub watch_batch_time: Cell<f64>,
    /// How often a watch with progress notifications gets one when there are no events. etcd uses 600 s.
    pub progress_interval: Cell<f64>,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            request_timeout: Cell::new(7.0),
            election_time: Cell::new(1.0),
            leaderless_time: Cell::new(1.5),
            watch_batch_time: Cell::new(0.005),
            progress_interval: Cell::new(0.5),
        }
    }
}
