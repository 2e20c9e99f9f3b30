//! What a script can have the store do wrong, and how fast its members are.

use crate::TimedFault;
use std::cell::{Cell, RefCell};

/// Faults that a script switches on.
#[derive(Default)]
pub struct Faults {
    /// Each answer waits so long, in seconds: a slow store.
    pub delay: Cell<f64>,
    /// Nothing is answered until then: no leader.
    pub stalled: TimedFault,
    /// All connections are broken off with every so-manieth message; 0 for never.
    pub breaks_every: Cell<u64>,
    /// Exchanges without this token are refused.
    pub token: RefCell<Option<String>>,
    /// The next events for the watch of a client of this name are lost, and the watch goes on behind them.
    pub loses_events_of: RefCell<Option<String>>,
    pub(super) crash: Cell<Option<PlannedCrash>>,
}

/// When members stop within a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Nothing of it is committed.
    BeforeCommit,
    /// It is committed, and its client does not hear of it.
    AfterCommit,
}

/// Members that stop with the next transaction.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedCrash {
    pub point: CrashPoint,
    /// How many stop: the one that serves the transaction, and others from the first on.
    pub members: usize,
}

/// Times of the members, in seconds.
pub struct Timing {
    /// An exchange that finds no leader for so long fails as unavailable. etcd's is 7 s.
    pub request_timeout: Cell<f64>,
    /// From the loss of a leader to the next one. etcd's is 1 to 2 s.
    pub election_time: Cell<f64>,
    /// A stream that requires a leader is ended after so long without one. etcd's is three election timeouts.
    pub leaderless_time: Cell<f64>,
    /// Changes that a watch has to hear of are gathered for so long, and 50 us longer for each watch that is open.
    pub watch_batch_time: Cell<f64>,
    /// A watch that asked for it hears of progress so often when there are no events. etcd's is 600 s.
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
