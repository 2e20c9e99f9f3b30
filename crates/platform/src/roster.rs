//! Asks the resolver for the list of executors, over and over.

use crate::log_budget::LogBudget;
use mio::net::UdpSocket;
use mio::{Interest, Registry};
use orchidtally_resolver::{Entry, LONGEST, Places};
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

/// An event counts as told 1.5 s after it happened: asked this often, several answers may be lost by then.
const ASK_EVERY: f64 = 0.2;
/// After so long without a good answer another query goes out; the first one's answer still counts.
const ANSWER_WITHIN: f64 = 0.15;
/// Queries whose answers are still read. Guards against a resolver that takes longer than the time above: with one
/// query at a time every answer came under an id that was asked no more, and no list was ever read.
const MOST_ASKED: usize = 16;
/// Resolvers asked before that are still heard.
const MOST_BEFORE: usize = 2;

/// A query that is out.
struct Query {
    id: u16,
    sent_at: f64,
}

/// Where it is asked, and the queries that are out, in their order.
struct Asked {
    socket: UdpSocket,
    at: SocketAddr,
    queries: VecDeque<Query>,
}

/// The list that is held: its serial, when the question that it answers went out, and a digest of the answer.
#[derive(Clone, Copy, Debug)]
pub struct HeldList {
    pub serial: u32,
    pub asked_at: f64,
    digest: u64,
}

impl Default for HeldList {
    fn default() -> HeldList {
        HeldList { serial: 0, asked_at: f64::NEG_INFINITY, digest: 0 }
    }
}

pub struct Resolver {
    now: Asked,
    /// Those asked before, until the present one has answered: what they sent by then was told.
    before: VecDeque<Asked>,
    next_at: f64,
    pub held: HeldList,
    log: LogBudget,
    buffer: Box<[u8]>,
    /// Queries since the last good answer.
    unanswered: usize,
    /// It was told on that no list can be had.
    pub told_quiet: bool,
    /// Answers that could not be used, since the last good one.
    pub bad: u64,
}

fn socket(at: SocketAddr, registry: &Registry, token: mio::Token) -> io::Result<UdpSocket> {
    let any: IpAddr =
        if at.is_ipv4() { Ipv4Addr::UNSPECIFIED.into() } else { std::net::Ipv6Addr::UNSPECIFIED.into() };
    let mut socket = UdpSocket::bind(SocketAddr::new(any, 0))?;
    // What others send is not received then.
    socket.connect(at)?;
    registry.register(&mut socket, token, Interest::READABLE)?;
    Ok(socket)
}

impl Asked {
    fn new(at: SocketAddr, registry: &Registry, token: mio::Token) -> io::Result<Asked> {
        Ok(Asked { socket: socket(at, registry, token)?, at, queries: VecDeque::new() })
    }
}

impl Resolver {
    pub fn new(at: SocketAddr, serial: u32, registry: &Registry, token: mio::Token) -> io::Result<Resolver> {
        let now = Asked::new(at, registry, token)?;
        let buffer = vec![0; LONGEST].into();
        Ok(Resolver {
            now,
            before: VecDeque::new(),
            next_at: 0.0,
            held: HeldList { serial, ..HeldList::default() },
            log: LogBudget::default(),
            buffer,
            unanswered: 0,
            told_quiet: false,
            bad: 0,
        })
    }

    /// Asks at another address from now on. The numbers of events go on, and the one asked so far is heard until the
    /// new one has answered.
    pub fn turn_to(&mut self, at: SocketAddr, registry: &Registry, token: mio::Token) -> io::Result<()> {
        let before = std::mem::replace(&mut self.now, Asked::new(at, registry, token)?);
        self.before.push_back(before);
        if self.before.len() > MOST_BEFORE {
            self.before.pop_front();
        }
        self.next_at = 0.0;
        Ok(())
    }

    /// As many queries as may be out at a time went without a good answer, one after the other.
    pub fn is_quiet(&self) -> bool {
        self.unanswered >= MOST_ASKED
    }

    pub fn at(&self) -> SocketAddr {
        self.now.at
    }

    pub fn due_at(&self) -> f64 {
        self.next_at
    }

    pub fn turn(&mut self, now: f64) {
        if now < self.next_at {
            return;
        }
        // Ids are drawn, so that no answer to another query fits this one.
        let id = rand::random();
        self.next_at = now + ANSWER_WITHIN;
        self.unanswered += 1;
        self.now.queries.push_back(Query { id, sent_at: now });
        if self.now.queries.len() > MOST_ASKED {
            self.now.queries.pop_front();
        }
        // One that can't be sent is asked again like one whose answer got lost.
        if let Ok(query) = orchidtally_resolver::query(id) {
            let _ = self.now.socket.send(&query);
        }
    }

    /// Reads what has come; the latest list, if it is newer than the last.
    pub fn read(&mut self, now: f64, places: &mut Places) -> Option<Vec<Entry>> {
        let mut newest = None;
        let mut answered = false;
        // Those asked before come first: what the present one tells is newer.
        for n in 0..=self.before.len() {
            let is_present = n == self.before.len();
            let asked = self.before.get_mut(n).unwrap_or(&mut self.now);
            // A bound on what a flood of answers may hold a turn up.
            for _ in 0..32 {
                let read = match asked.socket.recv(&mut self.buffer) {
                    Ok(n) => n,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    // Nobody listens there, for now.
                    Err(_) => continue,
                };
                let bytes = &self.buffer[..read];
                let id = bytes.first_chunk().map_or(0, |&id| u16::from_be_bytes(id));
                let Some(query) = asked.queries.iter().position(|asked| asked.id == id) else {
                    self.bad += 1;
                    if let Some(left_out) = self.log.admit(now) {
                        warn!(resolver = %asked.at, id, left_out, "an answer to no open question was passed over");
                    }
                    continue;
                };
                let asked_at = asked.queries[query].sent_at;
                let held = self.held;
                match orchidtally_resolver::answer(bytes, id, held.serial, places) {
                    // An older list than was told already comes from a resolver that lags: asked again soon.
                    Ok((serial, _)) if serial < held.serial => {
                        self.bad += 1;
                        if let Some(left_out) = self.log.admit(now) {
                            let age = now - asked_at;
                            warn!(resolver = %asked.at, serial, held = held.serial, age, left_out,
                                "an answer with an older serial was passed over");
                        }
                    }
                    Ok((serial, entries)) => {
                        let digest = xxh3_64(&bytes[2..]);
                        if entries.is_none()
                            && held.digest != 0
                            && held.digest != digest
                            && let Some(left_out) = self.log.admit(now)
                        {
                            let age = now - asked_at;
                            warn!(resolver = %asked.at, serial, age, left_out,
                                "an answer has the serial that is held and other content");
                        }
                        // Those asked before stay: what is told in a late answer is told all the same.
                        asked.queries.remove(query);
                        (self.bad, self.unanswered) = (0, 0);
                        self.held = HeldList { serial, asked_at, digest };
                        newest = entries.or(newest);
                        if is_present {
                            answered = true;
                            self.next_at = now + ASK_EVERY;
                        }
                    }
                    Err(fault) => {
                        self.bad += 1;
                        if let Some(left_out) = self.log.admit(now) {
                            warn!(resolver = %asked.at, fault, bad = self.bad, left_out,
                                "an answer of the resolver was passed over");
                        }
                    }
                }
            }
        }
        if answered {
            self.before.clear();
        }
        newest
    }
}

#[cfg(test)]
#[path = "tests/roster.rs"]
mod tests;
