//! Connections of clients: what is open on each, and until when they may stay silent.

use mio::Token;
use mio::net::TcpStream;
use orchidtally::state::Ordered;
use orchidtally_frames::{self as frames, Decoder};
use orchidtally_net::turn::Socket;
use slab::Slab;
use std::collections::BTreeMap;

/// Invocations that may be open on one connection.
pub const MOST_OPEN: usize = 32;
/// A connection that has sent no whole frame by then is closed, and so is one with half a frame for so long:
/// a client that sends what can't be read is owed a close within 3 s.
const WHOLE_FRAME: f64 = 2.0;
/// A client that takes nothing of its answers for so long is not waited for.
const STALLED: f64 = 3.0;
/// With more than this to be written nothing is read: a client that sends and never reads holds no more than
/// that, and the answers of what it has open.
pub const BACKLOG: usize = 64 * 1024;

pub struct Client {
    pub socket: Socket,
    pub decoder: Decoder,
    /// The engine's id of what is open, by stream.
    pub open: BTreeMap<u32, u32>,
    pub last_stream: u32,
    /// When it connected, or when its frame that is not whole yet began.
    waiting_since: Option<f64>,
    stalled_since: Option<f64>,
    pub idle_since: f64,
    pub dirty: bool,
    /// It is not read, for what waits to be written.
    pub full: bool,
    /// It is to be closed once this is written.
    pub ending: bool,
}

impl Client {
    pub fn new(stream: TcpStream, now: f64) -> Client {
        Client {
            socket: Socket::new(stream),
            decoder: Decoder::default(),
            open: BTreeMap::new(),
            last_stream: 0,
            waiting_since: Some(now),
            stalled_since: None,
            idle_since: now,
            dirty: false,
            full: false,
            ending: false,
        }
    }

    /// Something was read: `whole` if a frame was among it.
    pub fn heard(&mut self, now: f64, whole: bool) {
        if whole {
            self.idle_since = now;
            self.waiting_since = None;
        }
        if self.decoder.is_within() {
            self.waiting_since.get_or_insert(now);
        }
    }

    pub fn flushed(&mut self, now: f64) {
        match self.socket.waiting() {
            0 => self.stalled_since = None,
            _ => _ = self.stalled_since.get_or_insert(now),
        }
    }

    /// Why it is closed at this moment, if it is.
    pub fn overdue(&self, now: f64) -> Option<&'static str> {
        if self.waiting_since.is_some_and(|at| now > at + WHOLE_FRAME) {
            return Some("no whole frame in time");
        }
        self.stalled_since.is_some_and(|at| now > at + STALLED).then_some("takes none of its answers")
    }

    pub fn answer(&mut self, stream: u32, code: u8, fields: &[(&str, &str)], body: &[u8]) {
        frames::put(self.socket.out(), frames::ANSWER, stream, Some(code), Some(fields), body);
    }
}

/// The one to close where another wants in, of those with nothing open: first one that has owed a whole frame for
/// longer than a connection may take to be made, else the longest idle. Guards usual clients, idle between two
/// invocations, against bad ones that come and stay silent; could harm one that is very slow with its first.
pub fn least_missed(clients: &Slab<Client>, now: f64, connect_time: f64) -> Option<usize> {
    let late = |c: &Client| c.waiting_since.is_some_and(|at| now > at + connect_time);
    let idle = clients.iter().filter(|(_, c)| c.open.is_empty());
    idle.min_by_key(|(_, c)| (!late(c), Ordered(c.idle_since))).map(|(slot, _)| slot)
}

pub const FIRST_TOKEN: usize = 16;

pub fn token(slot: usize) -> Token {
    Token(FIRST_TOKEN + 2 * slot)
}
