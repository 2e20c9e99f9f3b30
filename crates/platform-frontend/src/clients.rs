//! Connections of clients: what is open on each, and until when they may stay silent.

use mio::Token;
use mio::net::TcpStream;
use orchidtally_dispatch_policy::state::Ordered;
use orchidtally_platform_client_protocol::{self as frames, Decoder};
use orchidtally_socket_io::turn::BufferedSocket;
use slab::Slab;
use std::collections::BTreeMap;

/// Invocations that may be open on one connection.
pub const MOST_OPEN: usize = 32;
/// A connection that has sent no whole frame by then is closed, and so is one with half a frame for so long:
/// a client that sends what can't be read is owed a close within 3 s.
const WHOLE_FRAME: f64 = 2.0;
/// A client that takes nothing of its answers for so long is not waited for.
const STALLED: f64 = 3.0;
/// With more than this to be written nothing is taken: what a client sends and never reads for holds no more than
/// that, as much again of invocations that are not taken yet, and the answers of what it has open.
pub const BACKLOG: usize = 64 * 1024;
/// A connection that ends here is read on for so long, and for so many bytes, once all is written and the end told:
/// closed with bytes unread it would be reset, and with it the answer that is under way.
const LINGER: f64 = 0.5;
const LINGER_BYTES: usize = 256 * 1024;
/// Connections taken over the bound to be told that there is no room, out of the descriptors kept back.
pub const GUESTS: usize = 2;

/// An invocation that was read and not yet taken: its payload where it is not too long.
pub struct PendingInvocation {
    pub at: f64,
    pub stream: u32,
    pub payload: Option<Vec<u8>>,
}

/// A connection that is to be closed.
pub struct Ending {
    by: f64,
    bytes_left: usize,
    /// Told to the peer: nothing more comes.
    pub shut: bool,
}

pub struct Client {
    pub socket: BufferedSocket,
    pub decoder: Decoder,
    /// The engine's id of what is open, by stream.
    pub open: BTreeMap<u32, u32>,
    pub last_stream: u32,
    pub pending: Vec<PendingInvocation>,
    /// When it connected, or when its frame that is not whole yet began.
    waiting_since: Option<f64>,
    /// When it last took something of what waits, and how many bytes it had by then.
    stalled_since: Option<(f64, u64)>,
    pub idle_since: f64,
    pub dirty: bool,
    /// Nothing is taken from it, for what waits to be written.
    pub full: bool,
    /// It has sent a whole frame.
    pub asked: bool,
    /// It came over the bound: it is told so and closed.
    pub guest: bool,
    pub ending: Option<Ending>,
}

impl Client {
    pub fn new(stream: TcpStream, now: f64) -> Client {
        Client {
            socket: BufferedSocket::new(stream),
            decoder: Decoder::default(),
            open: BTreeMap::new(),
            last_stream: 0,
            pending: vec![],
            waiting_since: Some(now),
            stalled_since: None,
            idle_since: now,
            dirty: false,
            full: false,
            asked: false,
            guest: false,
            ending: None,
        }
    }

    /// Something was read: `whole` if a frame was among it.
    pub fn heard(&mut self, now: f64, whole: bool) {
        if whole {
            self.asked = true;
            self.idle_since = now;
            self.waiting_since = None;
        }
        if self.decoder.has_partial_frame() {
            self.waiting_since.get_or_insert(now);
        }
    }

    pub fn flushed(&mut self, now: f64) {
        let written = self.socket.written();
        match self.stalled_since {
            _ if self.socket.waiting() == 0 => self.stalled_since = None,
            Some((_, before)) if before == written => {}
            _ => self.stalled_since = Some((now, written)),
        }
    }

    /// Nothing is open on it, nor about to be.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.pending.is_empty()
    }

    /// A part of a frame has come.
    pub fn is_within(&self) -> bool {
        self.decoder.has_partial_frame()
    }

    /// More is not taken from it than a client may have open whose answers it reads.
    pub fn holds_too_much(&self) -> bool {
        let bytes: usize = self
            .pending
            .iter()
            .filter_map(|f| f.payload.as_ref())
            .map(Vec::len)
            .sum();
        self.pending.len() > MOST_OPEN || bytes > BACKLOG
    }

    /// From here on it is closed as soon as what waits is written and the peer has had time to read it.
    pub fn end(&mut self, now: f64) {
        self.pending.clear();
        self.ending.get_or_insert(Ending {
            by: now + LINGER,
            bytes_left: LINGER_BYTES,
            shut: false,
        });
    }

    /// Something came after its end; tells whether more is read over.
    pub fn reads_over(&mut self, bytes: usize) -> bool {
        self.ending.as_mut().is_some_and(|e| {
            e.bytes_left = e.bytes_left.saturating_sub(bytes);
            e.bytes_left > 0
        })
    }

    /// Whether it has had its time after its end.
    pub fn has_ended(&self, now: f64) -> bool {
        self.ending.as_ref().is_some_and(|e| now > e.by)
    }

    /// Why it is closed at this moment, if it is.
    pub fn overdue(&self, now: f64) -> Option<&'static str> {
        if self.ending.is_some() {
            return None;
        }
        if self.waiting_since.is_some_and(|at| now > at + WHOLE_FRAME) {
            return Some("no whole frame in time");
        }
        self.stalled_since
            .is_some_and(|(at, _)| now > at + STALLED)
            .then_some("takes none of its answers")
    }

    pub fn answer(&mut self, stream: u32, code: u8, fields: &[(&str, &str)], body: &[u8]) {
        frames::write_frame(
            self.socket.out(),
            frames::RESPONSE,
            stream,
            Some(code),
            Some(fields),
            body,
        );
    }
}

/// The one to close where another wants in, of those with nothing open: first one that is ending, then one that has
/// owed a whole frame for longer than a connection may take to be made, then one that never sent any, else the
/// longest idle. Guards usual clients, idle between two invocations, against bad ones that come by hundreds and stay
/// silent; could harm one that is very slow with its first.
pub fn least_missed(clients: &Slab<Client>, now: f64, connect_time: f64) -> Option<usize> {
    let late = |c: &Client| c.waiting_since.is_some_and(|at| now > at + connect_time);
    let idle = clients.iter().filter(|(_, c)| c.is_idle());
    let key = |c: &Client| (c.ending.is_none(), !late(c), c.asked, Ordered(c.idle_since));
    idle.min_by_key(|(_, c)| key(c)).map(|(slot, _)| slot)
}

pub const FIRST_TOKEN: usize = 16;

pub fn token(slot: usize) -> Token {
    Token(FIRST_TOKEN + 2 * slot)
}
