//! Asks the resolver for the list of executors, over and over.

use crate::log_budget::LogBudget;
use mio::net::UdpSocket;
use mio::{Interest, Registry};
use orchidtally_platform_discovery::{
    AnswerError, EndpointView, ListOutcome, LocationTable, MAX_ANSWER_LENGTH,
};
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

/// An event counts as told 1.5 s after it happened: asked this often, several answers may be lost by then.
const ASK_EVERY: f64 = 0.2;
/// After so long without a good answer another query goes out; the first one's answer still counts.
const ANSWER_WITHIN: f64 = 0.15;
/// Queries whose answers are still read: those of ten seconds. Guards against a resolver that takes longer than the time
/// above, by seconds even: an answer under an id that is forgotten tells nothing.
const MOST_ASKED: usize = 66;
/// Queries without a good answer after which the resolver is taken to be silent.
const QUIET_AFTER: usize = 16;
/// Resolvers asked before that are still heard.
const MOST_BEFORE: usize = 2;
/// Datagrams read from one socket in a turn: a bound on what a flood of answers may hold a turn up.
const READS: usize = 32;
/// Bytes of an answer before what it tells: the query's id.
const ID_BYTES: usize = 2;

/// A query that is out.
struct Query {
    id: u16,
    sent_at: f64,
}

/// A resolver that is asked, and the queries that are out, in their order.
struct Channel {
    socket: UdpSocket,
    at: SocketAddr,
    queries: VecDeque<Query>,
}

/// What came of reading the answers that are there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// The view is as fresh as one of the questions.
    pub confirmed: bool,
    /// Rows changed.
    pub changed: bool,
    /// More may be there to read.
    pub more: bool,
}

/// The resolvers that are asked, and the view that comes of their answers.
pub struct Resolver {
    now: Channel,
    /// Those asked before, until the present one has answered: what they sent by then was told.
    before: VecDeque<Channel>,
    next_at: f64,
    reader: Reader,
    /// Queries since the last good answer.
    unanswered: usize,
    /// It was passed on that no list can be had.
    pub reported_quiet: bool,
}

fn socket(at: SocketAddr, registry: &Registry, token: mio::Token) -> io::Result<UdpSocket> {
    let any: IpAddr = if at.is_ipv4() {
        Ipv4Addr::UNSPECIFIED.into()
    } else {
        std::net::Ipv6Addr::UNSPECIFIED.into()
    };
    let mut socket = UdpSocket::bind(SocketAddr::new(any, 0))?;
    // What others send is not received then.
    socket.connect(at)?;
    registry.register(&mut socket, token, Interest::READABLE)?;
    Ok(socket)
}

impl Channel {
    fn new(at: SocketAddr, registry: &Registry, token: mio::Token) -> io::Result<Channel> {
        Ok(Channel {
            socket: socket(at, registry, token)?,
            at,
            queries: VecDeque::new(),
        })
    }

    /// Asks under a new id.
    fn ask(&mut self, now: f64) {
        // Ids are drawn, so that no answer to another query fits this one.
        let id = rand::random();
        self.queries.push_back(Query { id, sent_at: now });
        if self.queries.len() > MOST_ASKED {
            self.queries.pop_front();
        }
        // One that can't be sent is asked again like one whose answer got lost.
        if let Ok(query) = orchidtally_platform_discovery::build_query(id) {
            let _ = self.socket.send(&query);
        }
    }

    /// When the question with an id went out, if no answer to it was taken yet.
    fn asked_at(&self, id: u16) -> Option<f64> {
        self.queries
            .iter()
            .find(|query| query.id == id)
            .map(|query| query.sent_at)
    }

    /// An answer to the question with an id was taken.
    fn answered(&mut self, id: u16) {
        self.queries.retain(|query| query.id != id);
    }
}

impl Resolver {
    /// Asks at an address; `view` is what the start tells.
    pub fn new(
        at: SocketAddr,
        view: EndpointView,
        registry: &Registry,
        token: mio::Token,
    ) -> io::Result<Resolver> {
        Ok(Resolver {
            now: Channel::new(at, registry, token)?,
            before: VecDeque::new(),
            next_at: 0.0,
            reader: Reader::new(view),
            unanswered: 0,
            reported_quiet: false,
        })
    }

    /// Asks at another address from now on. The one asked so far is heard until the new one has answered.
    pub fn turn_to(
        &mut self,
        at: SocketAddr,
        registry: &Registry,
        token: mio::Token,
    ) -> io::Result<()> {
        let before = std::mem::replace(&mut self.now, Channel::new(at, registry, token)?);
        self.before.push_back(before);
        if self.before.len() > MOST_BEFORE {
            self.before.pop_front();
        }
        self.next_at = 0.0;
        Ok(())
    }

    /// The executors as last told.
    pub fn view(&self) -> &EndpointView {
        &self.reader.view
    }

    /// Many queries went without a good answer, one after the other.
    pub fn is_quiet(&self) -> bool {
        self.unanswered >= QUIET_AFTER
    }

    /// The process stood still: whether the resolver is silent is found out anew, from a question asked now.
    pub fn ask_anew(&mut self) {
        (self.next_at, self.unanswered) = (0.0, 0);
    }

    /// The address that is asked.
    pub fn at(&self) -> SocketAddr {
        self.now.at
    }

    /// When `turn` is next to be called.
    pub fn due_at(&self) -> f64 {
        self.next_at
    }

    /// Asks where it is time to.
    pub fn turn(&mut self, now: f64) {
        if now < self.next_at {
            return;
        }
        self.next_at = now + ANSWER_WITHIN;
        self.unanswered += 1;
        self.now.ask(now);
    }

    /// Reads what has come.
    pub fn read(&mut self, now: f64, places: &mut LocationTable) -> Reading {
        let mut reading = Reading::default();
        // Those asked before come first: what the present one tells is newer.
        for channel in &mut self.before {
            reading.add(self.reader.read(now, channel, places));
        }
        let present = self.reader.read(now, &mut self.now, places);
        reading.add(present);
        if present.confirmed {
            self.next_at = now + ASK_EVERY;
            self.before.clear();
        }
        if reading.confirmed {
            self.unanswered = 0;
        }
        reading
    }
}

impl Reading {
    fn add(&mut self, other: Reading) {
        self.confirmed |= other.confirmed;
        self.changed |= other.changed;
        self.more |= other.more;
    }

    fn add_outcome(&mut self, outcome: ListOutcome) {
        self.confirmed |= outcome.confirms();
        self.changed |= outcome.changed();
    }
}

/// Reads answers into the view.
struct Reader {
    view: EndpointView,
    /// The digest of the answer that the view was last taken from.
    digest: Option<u64>,
    log: LogBudget,
    buffer: Box<[u8]>,
}

impl Reader {
    fn new(view: EndpointView) -> Reader {
        Reader {
            view,
            digest: None,
            log: LogBudget::default(),
            buffer: vec![0; MAX_ANSWER_LENGTH].into(),
        }
    }

    /// Reads what a resolver has sent, up to a bound.
    fn read(&mut self, now: f64, channel: &mut Channel, places: &mut LocationTable) -> Reading {
        let mut reading = Reading::default();
        for _ in 0..READS {
            match channel.socket.recv(&mut self.buffer) {
                Ok(size) => self.take(now, size, channel, places, &mut reading),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return reading,
                // Nobody listens there, for now.
                Err(_) => {}
            }
        }
        reading.more = true;
        reading
    }

    /// Takes the datagram that was read.
    fn take(
        &mut self,
        now: f64,
        size: usize,
        channel: &mut Channel,
        places: &mut LocationTable,
        reading: &mut Reading,
    ) {
        let bytes = &self.buffer[..size];
        let id = bytes.first_chunk().map_or(0, |&id| u16::from_be_bytes(id));
        let Some(asked_at) = channel.asked_at(id) else {
            if let Some(left_out) = self.log.admit(now) {
                warn!(resolver = %channel.at, id, left_out, "an answer to no open question was passed over");
            }
            return;
        };
        let digest = xxh3_64(bytes.get(ID_BYTES..).unwrap_or_default());
        if self.digest == Some(digest) && self.view.is_settled() {
            self.view.confirm_unchanged(asked_at);
            channel.answered(id);
            return reading.add_outcome(ListOutcome::Confirmed);
        }
        let (held, age) = (self.view.serial(), now - asked_at);
        let (serial, outcome) = match orchidtally_platform_discovery::parse_answer(
            bytes, id, places,
        ) {
            Ok(answer) => (answer.serial, self.view.apply_list(now, asked_at, &answer)),
            Err(AnswerError::InvalidRecord { why, list }) => {
                if let Some(left_out) = self.log.admit(now) {
                    warn!(resolver = %channel.at, why, age, left_out, "a row could not be read and stays as it was");
                }
                *places = list.locations.clone();
                (
                    list.serial,
                    self.view.apply_partial_list(now, asked_at, &list),
                )
            }
            Err(fault) => {
                if let Some(left_out) = self.log.admit(now) {
                    warn!(resolver = %channel.at, %fault, age, left_out, "an answer of the resolver was passed over");
                }
                return;
            }
        };
        channel.answered(id);
        self.digest = outcome.confirms().then_some(digest);
        let is_odd = !outcome.confirms() || serial == held && outcome.changed();
        if is_odd && let Some(left_out) = self.log.admit(now) {
            warn!(resolver = %channel.at, serial, held, age, ?outcome, left_out, "an answer does not fit what is held");
        }
        reading.add_outcome(outcome);
    }
}

#[cfg(test)]
#[path = "tests/roster.rs"]
mod tests;
