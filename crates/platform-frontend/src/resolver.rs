//! DNS client that polls the resolver for the endpoint list and maintains the endpoint view.

use crate::log_rate_limiter::LogRateLimiter;
use mio::net::UdpSocket;
use mio::{Interest, Registry};
use orchidtally_platform_discovery::{
    AnswerError, EndpointView, ListOutcome, LocationTable, MAX_ANSWER_LENGTH, build_query,
    parse_answer,
};
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

/// Seconds from an answer to the next query. The platform expects a front end to know of an event 1.5 s after it
/// happened; this interval allows for several lost answers within that time.
const POLL_INTERVAL: f64 = 0.2;
/// Seconds without a confirming answer after which another query is sent. A late answer to the earlier query is still
/// used.
const RETRY_INTERVAL: f64 = 0.15;
/// Queries whose answers are still accepted: those of the last ten seconds.
///
/// Failure mode: a resolver that answers seconds after the retry interval. An answer whose query id is no longer
/// remembered has to be ignored, so the view would never be confirmed.
const MAX_OPEN_QUERIES: usize = 66;
/// Consecutive queries without a confirming answer after which the resolver is considered unreachable.
const UNREACHABLE_AFTER: usize = 16;
/// Previous resolvers whose answers are still accepted.
const MAX_PREVIOUS_RESOLVERS: usize = 2;
/// Datagrams read from one socket per poll, so that a flood of answers can't block the event loop.
const MAX_READS_PER_POLL: usize = 32;
/// Length in bytes of the query id at the start of an answer.
const QUERY_ID_BYTES: usize = 2;

/// A query that has not been answered yet.
struct Query {
    id: u16,
    sent_at: f64,
}

/// A socket connected to one resolver, with its open queries in the order in which they were sent.
struct Channel {
    socket: UdpSocket,
    address: SocketAddr,
    queries: VecDeque<Query>,
}

/// The combined result of reading the answers that have arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadSummary {
    /// An answer confirmed the view as of the time of its query.
    pub is_confirmed: bool,
    /// An answer changed the endpoints of the view.
    pub is_changed: bool,
    /// Unread datagrams may be left in a socket.
    pub has_more: bool,
}

/// Polls the current resolver, and applies its answers and those of previous resolvers to the endpoint view.
pub struct ResolverClient {
    current: Channel,
    /// Previous resolvers, kept until the current one has answered: the front end is expected to know what they sent
    /// until then.
    previous: VecDeque<Channel>,
    next_query_at: f64,
    reader: AnswerReader,
    /// Queries since the last confirming answer.
    unanswered_queries: usize,
}

fn connect_socket(
    address: SocketAddr,
    registry: &Registry,
    token: mio::Token,
) -> io::Result<UdpSocket> {
    let any: IpAddr = if address.is_ipv4() {
        Ipv4Addr::UNSPECIFIED.into()
    } else {
        std::net::Ipv6Addr::UNSPECIFIED.into()
    };
    let mut socket = UdpSocket::bind(SocketAddr::new(any, 0))?;
    // A connected UDP socket only receives datagrams from its peer.
    socket.connect(address)?;
    registry.register(&mut socket, token, Interest::READABLE)?;
    Ok(socket)
}

impl Channel {
    fn new(address: SocketAddr, registry: &Registry, token: mio::Token) -> io::Result<Channel> {
        Ok(Channel {
            socket: connect_socket(address, registry, token)?,
            address,
            queries: VecDeque::new(),
        })
    }

    /// Sends a query with a new id.
    fn send_query(&mut self, now: f64) {
        // Ids are random, so that answers to other queries don't match this one.
        let id = rand::random();
        self.queries.push_back(Query { id, sent_at: now });
        if self.queries.len() > MAX_OPEN_QUERIES {
            self.queries.pop_front();
        }
        // The retry interval covers a query that can't be sent, as it does a lost answer.
        if let Ok(query) = build_query(id) {
            let _ = self.socket.send(&query);
        }
    }

    /// When the open query with this id was sent; `None` if there is none.
    fn sent_at(&self, id: u16) -> Option<f64> {
        self.queries
            .iter()
            .find(|query| query.id == id)
            .map(|query| query.sent_at)
    }

    /// Closes the query with this id, so that further answers to it are ignored.
    fn close_query(&mut self, id: u16) {
        self.queries.retain(|query| query.id != id);
    }
}

impl ResolverClient {
    /// Creates a client that polls the resolver at `address` and starts with `view`.
    pub fn new(
        address: SocketAddr,
        view: EndpointView,
        registry: &Registry,
        token: mio::Token,
    ) -> io::Result<ResolverClient> {
        Ok(ResolverClient {
            current: Channel::new(address, registry, token)?,
            previous: VecDeque::new(),
            next_query_at: 0.0,
            reader: AnswerReader::new(view),
            unanswered_queries: 0,
        })
    }

    /// Switches to another resolver. Answers of the previous one are still read until the new one has answered.
    pub fn switch_resolver(
        &mut self,
        address: SocketAddr,
        registry: &Registry,
        token: mio::Token,
    ) -> io::Result<()> {
        let channel = Channel::new(address, registry, token)?;
        let previous = std::mem::replace(&mut self.current, channel);
        self.previous.push_back(previous);
        if self.previous.len() > MAX_PREVIOUS_RESOLVERS {
            self.previous.pop_front();
        }
        self.next_query_at = 0.0;
        Ok(())
    }

    /// The current view of the endpoints.
    pub fn view(&self) -> &EndpointView {
        &self.reader.view
    }

    /// Whether `UNREACHABLE_AFTER` consecutive queries have had no confirming answer.
    pub fn is_unreachable(&self) -> bool {
        self.unanswered_queries >= UNREACHABLE_AFTER
    }

    /// Makes a query due now and resets the count of unanswered queries. Called after a process stall, during which
    /// answers may have been delayed or lost.
    pub fn restart_queries(&mut self) {
        self.next_query_at = 0.0;
        self.unanswered_queries = 0;
    }

    /// The address of the current resolver.
    pub fn address(&self) -> SocketAddr {
        self.current.address
    }

    /// When the next query is due, in seconds.
    pub fn next_query_at(&self) -> f64 {
        self.next_query_at
    }

    /// Sends a query if one is due.
    pub fn query_if_due(&mut self, now: f64) {
        if now < self.next_query_at {
            return;
        }
        self.next_query_at = now + RETRY_INTERVAL;
        self.unanswered_queries += 1;
        self.current.send_query(now);
    }

    /// Reads the answers that have arrived and applies them to the view.
    pub fn read(&mut self, now: f64, locations: &mut LocationTable) -> ReadSummary {
        let mut summary = ReadSummary::default();
        // The current resolver is read last, because its answers are newer than those of the previous ones.
        for channel in &mut self.previous {
            summary.merge(self.reader.read(now, channel, locations));
        }
        let current = self.reader.read(now, &mut self.current, locations);
        summary.merge(current);
        if current.is_confirmed {
            self.next_query_at = now + POLL_INTERVAL;
            self.previous.clear();
        }
        if summary.is_confirmed {
            self.unanswered_queries = 0;
        }
        summary
    }
}

impl ReadSummary {
    fn merge(&mut self, other: ReadSummary) {
        self.is_confirmed |= other.is_confirmed;
        self.is_changed |= other.is_changed;
        self.has_more |= other.has_more;
    }

    fn merge_outcome(&mut self, outcome: ListOutcome) {
        self.is_confirmed |= outcome.confirms();
        self.is_changed |= outcome.has_changes();
    }
}

/// Reads answers and applies them to the view.
struct AnswerReader {
    view: EndpointView,
    /// The hash of the last answer if it confirmed the view. An identical answer is not parsed again.
    confirmed_digest: Option<u64>,
    log_limiter: LogRateLimiter,
    /// Limits the lines on ended withdrawals, of which a list can bring one for each of its executors.
    ended_withdrawals_limiter: LogRateLimiter,
    buffer: Box<[u8]>,
}

impl AnswerReader {
    fn new(view: EndpointView) -> AnswerReader {
        AnswerReader {
            view,
            confirmed_digest: None,
            log_limiter: LogRateLimiter::default(),
            ended_withdrawals_limiter: LogRateLimiter::default(),
            buffer: vec![0; MAX_ANSWER_LENGTH].into(),
        }
    }

    /// Reads up to `MAX_READS_PER_POLL` datagrams from a resolver.
    fn read(
        &mut self,
        now: f64,
        channel: &mut Channel,
        locations: &mut LocationTable,
    ) -> ReadSummary {
        let mut summary = ReadSummary::default();
        for _ in 0..MAX_READS_PER_POLL {
            match channel.socket.recv(&mut self.buffer) {
                Ok(size) => {
                    if let Some(outcome) = self.apply_datagram(now, size, channel, locations) {
                        summary.merge_outcome(outcome);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return summary,
                // Nothing listens at the resolver's address at the moment. Queries go on as usual.
                Err(_) => {}
            }
        }
        summary.has_more = true;
        summary
    }

    /// Applies the datagram in the buffer to the view. Returns `None` if it is not a usable answer to an open query.
    fn apply_datagram(
        &mut self,
        now: f64,
        size: usize,
        channel: &mut Channel,
        locations: &mut LocationTable,
    ) -> Option<ListOutcome> {
        let resolver = channel.address;
        let bytes = &self.buffer[..size];
        let id = bytes.first_chunk().map_or(0, |&id| u16::from_be_bytes(id));
        let Some(queried_at) = channel.sent_at(id) else {
            if let Some(suppressed) = self.log_limiter.try_acquire(now) {
                warn!(%resolver, id, suppressed, "ignored a resolver answer that matches no open query");
            }
            return None;
        };
        let digest = xxh3_64(bytes.get(QUERY_ID_BYTES..).unwrap_or_default());
        if self.confirmed_digest == Some(digest) && self.view.is_settled() {
            self.view.confirm_unchanged(queried_at);
            channel.close_query(id);
            return Some(ListOutcome::Confirmed);
        }
        let held_serial = self.view.serial();
        let age = now - queried_at;
        let (serial, outcome) = match parse_answer(bytes, id, locations) {
            Ok(answer) => {
                let outcome = self.view.apply_list(now, queried_at, &answer);
                (answer.serial, outcome)
            }
            Err(AnswerError::InvalidRecord { reason, list }) => {
                if let Some(suppressed) = self.log_limiter.try_acquire(now) {
                    warn!(%resolver, %reason, age, suppressed,
                        "ignored an unreadable record of the endpoint list, keeping its previous values");
                }
                let outcome = self.view.apply_partial_list(now, queried_at, &list);
                *locations = list.locations;
                (list.serial, outcome)
            }
            Err(error) => {
                if let Some(suppressed) = self.log_limiter.try_acquire(now) {
                    warn!(%resolver, %error, age, suppressed, "ignored a resolver answer");
                }
                return None;
            }
        };
        channel.close_query(id);
        self.log_ended_withdrawals(now);
        self.confirmed_digest = outcome.confirms().then_some(digest);
        let is_contradictory =
            !outcome.confirms() || serial == held_serial && outcome.has_changes();
        if is_contradictory && let Some(suppressed) = self.log_limiter.try_acquire(now) {
            warn!(%resolver, serial, held_serial, age, ?outcome, suppressed,
                "resolver answer contradicts the current endpoint list");
        }
        Some(outcome)
    }

    /// Logs why executors that were reported as draining or gone are ready again.
    fn log_ended_withdrawals(&mut self, now: f64) {
        for ended in self.view.ended_withdrawals() {
            let Some(suppressed) = self.ended_withdrawals_limiter.try_acquire(now) else {
                continue;
            };
            let (withdrawn_by, ended_by) = (ended.withdrawn_by, ended.ended_by);
            info!(executor = %ended.name, origin = ?withdrawn_by.origin, state = ?withdrawn_by.state,
                withdrawn_serial = withdrawn_by.serial, withdrawn_started_at = ?withdrawn_by.started_at,
                withdrawn_age = now - withdrawn_by.received_at, ready_serial = ended_by.serial,
                ready_started_at = ended_by.started_at, confirmations = ended.confirmations, suppressed,
                "withdrawn executor is ready again");
        }
    }
}

#[cfg(test)]
#[path = "tests/resolver.rs"]
mod tests;
