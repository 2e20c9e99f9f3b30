//! Counters of a member: requests when they are accepted, bytes at the socket.

use std::cell::{Cell, RefCell};
use std::ops::AddAssign;

/// The number of exchanges by kind. Each message on a stream counts as one exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exchanges {
    /// Linearizable ranges, which require a leader.
    pub linearizable_ranges: u64,
    /// Serializable ranges, which a member answers from its own state.
    pub serializable_ranges: u64,
    /// Puts outside of transactions.
    pub puts: u64,
    /// Deletions outside of transactions.
    pub deletes: u64,
    /// Transactions.
    pub transactions: u64,
    /// Compactions.
    pub compactions: u64,
    /// Lease grants.
    pub lease_grants: u64,
    /// Lease revocations.
    pub lease_revocations: u64,
    /// Lease renewals.
    pub lease_renewals: u64,
    /// Authentications by name and password.
    pub sign_ins: u64,
    /// Watches created by clients.
    pub watches_created: u64,
    /// Progress requests on watch streams.
    pub progress_requests: u64,
    /// Watch responses that carry events.
    pub watch_answers: u64,
    /// Events in watch responses.
    pub watch_events: u64,
    /// Watch responses that report only a revision.
    pub progress_answers: u64,
    /// Calls of unknown methods, and exchanges that timed out while they waited for a leader.
    pub failures: u64,
}

/// A snapshot of the counters of one member, or of all members together, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes received from clients over TCP, including the HTTP/2 framing.
    pub bytes_received: u64,
    /// Bytes sent to clients over TCP, including the HTTP/2 framing.
    pub bytes_sent: u64,
    /// The number of open connections.
    pub connections_open: u64,
    /// The number of open watches.
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

/// The live counters of one member.
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

/// Increments a gauge when it is created, and decrements it when it is dropped.
pub(super) struct OpenGuard<'a>(&'a Cell<u64>);

impl<'a> OpenGuard<'a> {
    pub fn new(count: &'a Cell<u64>) -> OpenGuard<'a> {
        count.set(count.get() + 1);
        OpenGuard(count)
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
