//! What a member did, counted where it happens: exchanges as they are taken up, bytes at the socket.

use std::cell::{Cell, RefCell};
use std::ops::AddAssign;

/// Exchanges by kind. A stream's messages count singly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exchanges {
    /// Ranges that need a leader.
    pub linearizable_ranges: u64,
    /// Ranges of a member's own state.
    pub serializable_ranges: u64,
    /// Puts outside of transactions.
    pub puts: u64,
    /// Deletions outside of transactions.
    pub deletes: u64,
    /// Transactions.
    pub transactions: u64,
    /// Compactions.
    pub compactions: u64,
    /// Leases granted.
    pub lease_grants: u64,
    /// Leases revoked.
    pub lease_revocations: u64,
    /// Renewals of leases.
    pub lease_renewals: u64,
    /// Sign-ins by name and password.
    pub sign_ins: u64,
    /// Watches that clients created.
    pub watches_created: u64,
    /// Requests for the progress of a stream's watches.
    pub progress_requests: u64,
    /// Answers to watches with events in them.
    pub watch_answers: u64,
    /// Events in answers to watches.
    pub watch_events: u64,
    /// Answers to watches that tell a revision alone.
    pub progress_answers: u64,
    /// Exchanges that failed, by a status or because no leader was found in time.
    pub failures: u64,
}

/// A snapshot of what a member, or all of them, did since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes of the TCP streams, HTTP/2 included, from clients.
    pub bytes_received: u64,
    /// The same to clients.
    pub bytes_sent: u64,
    /// Connections that are open.
    pub connections_open: u64,
    /// Watches that are open.
    pub watches_open: u64,
    /// Exchanges by kind.
    pub exchanges: Exchanges,
}

impl AddAssign for Counters {
    fn add_assign(&mut self, other: Counters) {
        self.bytes_received += other.bytes_received;
        self.bytes_sent += other.bytes_sent;
        self.connections_open += other.connections_open;
        self.watches_open += other.watches_open;
        self.exchanges += other.exchanges;
    }
}

impl AddAssign for Exchanges {
    fn add_assign(&mut self, other: Exchanges) {
        self.linearizable_ranges += other.linearizable_ranges;
        self.serializable_ranges += other.serializable_ranges;
        self.puts += other.puts;
        self.deletes += other.deletes;
        self.transactions += other.transactions;
        self.compactions += other.compactions;
        self.lease_grants += other.lease_grants;
        self.lease_revocations += other.lease_revocations;
        self.lease_renewals += other.lease_renewals;
        self.sign_ins += other.sign_ins;
        self.watches_created += other.watches_created;
        self.progress_requests += other.progress_requests;
        self.watch_answers += other.watch_answers;
        self.watch_events += other.watch_events;
        self.progress_answers += other.progress_answers;
        self.failures += other.failures;
    }
}

/// The counts of one member while it runs.
#[derive(Debug, Default)]
pub(super) struct MemberCounters {
    pub traffic: std::rc::Rc<orchidtally_etcd::Traffic>,
    pub connections_open: Cell<u64>,
    pub watches_open: Cell<u64>,
    pub exchanges: RefCell<Exchanges>,
}

impl MemberCounters {
    pub fn count(&self, add: impl FnOnce(&mut Exchanges)) {
        add(&mut self.exchanges.borrow_mut());
    }

    pub fn snapshot(&self) -> Counters {
        Counters {
            bytes_received: self.traffic.received(),
            bytes_sent: self.traffic.sent(),
            connections_open: self.connections_open.get(),
            watches_open: self.watches_open.get(),
            exchanges: *self.exchanges.borrow(),
        }
    }
}

/// Counts one more for as long as it lives.
pub(super) struct Open<'a>(&'a Cell<u64>);

impl<'a> Open<'a> {
    pub fn new(count: &'a Cell<u64>) -> Open<'a> {
        count.set(count.get() + 1);
        Open(count)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
