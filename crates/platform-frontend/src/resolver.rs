//! The client of the resolver: it polls for the endpoint list over DNS and keeps the view that comes of the answers.

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
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

/// Seconds from an answer to the next query. An event counts as told 1.5 s after it happened: at this interval several
/// answers may be lost by then.
const POLL_INTERVAL: f64 = 0.2;
/// Seconds without a good answer after which another query is sent; an answer to the first one still counts.
const RETRY_INTERVAL: f64 = 0.15;
/// Queries whose answers are still read: those of ten seconds.
///
/// Failure mode: a resolver that takes longer than the retry interval, by seconds even. An answer under an id that is
/// forgotten tells nothing.
const MAX_OPEN_QUERIES: usize = 66;
/// Queries in a row without a good answer after which the resolver counts as unreachable.
const UNREACHABLE_AFTER: usize = 16;
/// Previous resolvers whose answers are still read.
const MAX_PREVIOUS_RESOLVERS: usize = 2;
/// Datagrams read from one socket within a poll: a bound on the delay by a flood of answers.
const MAX_READS_PER_POLL: usize = 32;
/// Bytes at the front of an answer that hold the query's id.
const QUERY_ID_BYTES: usize = 2;

/// A query without an answer yet.
struct Query {
    id: u16,
    sent_at: f64,
}

/// A socket to one resolver, and the open queries in their order.
struct Channel {
    socket: UdpSocket,
    address: SocketAddr,
    queries: VecDeque<Query>,
}

/// What came of reading the answers that have arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadSummary {
    /// The view is as fresh as one of the queries.
    pub is_confirmed: bool,
    /// Endpoints changed.
    pub is_changed: bool,
    /// More may be there to read.
    pub has_more: bool,
}

/// The resolver that is polled, previous ones, and the view that comes of their answers.
pub struct ResolverClient {
    current: Channel,
    /// Previous resolvers, until the current one has answered: what they sent by then counts as told.
    previous: VecDeque<Channel>,
    next_query_at: f64,
    reader: AnswerReader,
    /// Queries since the last good answer.
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
    // A connected socket receives nothing from other addresses.
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

    /// Sends a query under a new id.
    fn send_query(&mut self, now: f64) {
        // Ids are random, so that no answer to another query fits this one.
        let id = rand::random();
        self.queries.push_back(Query { id, sent_at: now });
        if self.queries.len() > MAX_OPEN_QUERIES {
            self.queries.pop_front();
        }
        // A query that can't be sent is retried like one whose answer got lost.
        if let Ok(query) = build_query(id) {
            let _ = self.socket.send(&query);
        }
    }

    /// When the query with an id was sent, if it is open.
    fn sent_at(&self, id: u16) -> Option<f64> {
        self.queries
            .iter()
            .find(|query| query.id == id)
            .map(|query| query.sent_at)
    }

    /// Closes the query with an id.
    fn close_query(&mut self, id: u16) {
        self.queries.retain(|query| query.id != id);
    }
}

impl ResolverClient {
    /// Polls the resolver at an address, beginning with the view of the start.
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

    /// Polls another resolver from now on. The answers of the previous one are read until the new one has answered.
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

    /// Whether many queries in a row have had no good answer.
    pub fn is_unreachable(&self) -> bool {
        self.unanswered_queries >= UNREACHABLE_AFTER
    }

    /// Makes a query due now and counts unanswered queries anew, after a process stall: answers may have waited or
    /// got lost meanwhile.
    pub fn restart_queries(&mut self) {
        self.next_query_at = 0.0;
        self.unanswered_queries = 0;
    }

    /// The address that is polled.
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

    /// Reads the answers that have arrived into the view.
    pub fn read(&mut self, now: f64, locations: &mut LocationTable) -> ReadSummary {
        let mut summary = ReadSummary::default();
        // Previous resolvers come first: what the current one tells is newer.
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

/// Reads answers into the view.
struct AnswerReader {
    view: EndpointView,
    /// The digest of the last answer, if it confirmed the view.
    confirmed_digest: Option<u64>,
    log_limiter: LogRateLimiter,
    buffer: Box<[u8]>,
}

impl AnswerReader {
    fn new(view: EndpointView) -> AnswerReader {
        AnswerReader {
            view,
            confirmed_digest: None,
            log_limiter: LogRateLimiter::default(),
            buffer: vec![0; MAX_ANSWER_LENGTH].into(),
        }
    }

    /// Reads what a resolver has sent, up to a bound.
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
                // Nobody listens at that address, for now.
                Err(_) => {}
            }
        }
        summary.has_more = true;
        summary
    }

    /// Applies the datagram in the buffer; returns the outcome for the view, if it was an answer that could be used.
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
        self.confirmed_digest = outcome.confirms().then_some(digest);
        let is_contradictory =
            !outcome.confirms() || serial == held_serial && outcome.has_changes();
        if is_contradictory && let Some(suppressed) = self.log_limiter.try_acquire(now) {
            warn!(%resolver, serial, held_serial, age, ?outcome, suppressed,
                "resolver answer contradicts the current endpoint list");
        }
        Some(outcome)
    }
}

#[cfg(test)]
#[path = "tests/resolver.rs"]
mod tests;
