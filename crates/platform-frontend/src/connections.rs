//! Connections to executors. Each belongs to an executor's id, never to an address, and ends with it.

use crate::clients::FIRST_TOKEN;
use mio::Token;
use mio::net::TcpStream;
use orchidtally_dispatch_policy::interface::ExecutorId;
use orchidtally_dispatch_policy::state::Ordered;
use orchidtally_engine::evidence::Transport;
use orchidtally_platform_executor_protocol::Decoder;
use orchidtally_socket_io::turn::BufferedSocket;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Ids given up on a connection whose answers may still come over it. Past so many it takes nothing new.
const MOST_GIVEN_UP: usize = 256;
/// Bytes that wait to be handed to the kernel, past which what is queued stays where it can be taken back.
pub const BACKLOG: usize = 64 * 1024;
/// Connections to one executor: what is open is spread over so many, since one that goes bad takes all that is
/// open on it with it.
pub const SPREAD: usize = 4;
/// At least so many: where one breaks and another stands, the executor's process did not end.
pub const LEAST: usize = 2;
/// When a process ends, its connections are all reset within this time.
pub const ALL_RESET: f64 = 0.02;
/// A line that has begun and does not end for so long never will: executors write an answer at once.
const HALF_LINE: f64 = 0.5;

/// Of the time after which executors close an idle connection. Each of hundreds of front ends uses one every few
/// seconds, and a connection closed early costs another handshake; what is left is many round trips.
const IDLE_SHARE: f64 = 0.9;

/// A second answer comes within this time of the first.
const SAID_TWICE: f64 = 0.5;

/// What was never handed over, in its order.
#[derive(Default)]
pub struct Unwritten {
    pub dispatches: Vec<Out>,
    pub orders: Vec<u64>,
}

/// A dispatch on a connection.
pub struct Out {
    pub inv: u32,
    pub dispatch: u8,
    pub at: f64,
    /// Where its line begins among the bytes of the connection; `None` while it is queued.
    pub from: Option<u64>,
}

/// What waits to be written. A dispatch becomes a line only then, so that it tells the time truly left.
pub enum Queued {
    Dispatch(Rc<str>),
    /// An order to load, by its number.
    Order(u64),
    Line(Vec<u8>),
}

pub struct Connection {
    pub to: ExecutorId,
    pub socket: BufferedSocket,
    pub connected: bool,
    /// When it was begun.
    pub begun_at: f64,
    pub connect_by: f64,
    pub decoder: Decoder,
    /// Dispatches by the id that they have on the wire.
    pub open: BTreeMap<Rc<str>, Out>,
    /// Orders that were written or wait, by number: where the line begins.
    pub orders: BTreeMap<u64, Option<u64>>,
    given_up: BTreeSet<Rc<str>>,
    /// Ids answered a moment ago, and when.
    answered_ids: VecDeque<(f64, Rc<str>)>,
    pub queue: VecDeque<Queued>,
    /// Nothing new goes over it; it is closed once nothing is open.
    pub retired: bool,
    pub heard_at: f64,
    /// It brought an answer, ever.
    pub answered: bool,
    pub idle_since: f64,
    line_since: Option<f64>,
    pub dirty: bool,
    /// It was cut off here and is to be dissolved.
    pub is_cut: bool,
}

impl Connection {
    pub fn new(to: ExecutorId, stream: TcpStream, now: f64, connect_time: f64) -> Connection {
        Connection {
            to,
            socket: BufferedSocket::new(stream),
            connected: false,
            begun_at: now,
            connect_by: now + connect_time,
            decoder: Decoder::default(),
            open: BTreeMap::new(),
            orders: BTreeMap::new(),
            given_up: BTreeSet::new(),
            answered_ids: VecDeque::new(),
            queue: VecDeque::new(),
            retired: false,
            heard_at: now,
            answered: false,
            idle_since: now,
            line_since: None,
            dirty: false,
            is_cut: false,
        }
    }

    /// Whether a dispatch with this id may go over it. One whose id was given up on it, or answered just now, may not:
    /// a late or a second answer could be the earlier one's. Nor may any once it is so long idle that it is to be
    /// closed: the executor may be closing it.
    pub fn takes(&self, id: &str, streams: usize, now: f64, idle_close: f64) -> bool {
        let answered = |(at, said): &(f64, Rc<str>)| &**said == id && now < at + SAID_TWICE;
        !self.retired
            && self.open.len() < streams
            && !self.open.contains_key(id)
            && !self.given_up.contains(id)
            && !self.answered_ids.iter().any(answered)
            && !(self.connected && self.is_idle() && self.is_over_idle(now, idle_close))
    }

    fn is_over_idle(&self, now: f64, idle_close: f64) -> bool {
        now > self.idle_since + IDLE_SHARE * idle_close
    }

    /// The less comes first: one that stands, then with the least open, then used last. Guards against
    /// connections that a peer, or something on the way, lets go of when idle for longer than anybody told.
    pub fn rank(&self) -> (bool, usize, Reverse<Ordered>) {
        (
            !self.connected,
            self.open.len(),
            Reverse(Ordered(self.idle_since)),
        )
    }

    /// How each dispatch that is open ended with the connection, while the executor is there: at fault is the
    /// earliest, whose answer most likely went wrong, where something unreadable came or nothing ever did.
    /// Guards against executors that answer noise or break off always, and not against them for a connection
    /// lost on the way.
    pub fn verdicts(&self, seen: Transport) -> impl Iterator<Item = (&Out, Transport)> {
        let at_fault = seen == Transport::Malformed || !self.answered;
        let first = self
            .open
            .values()
            .map(|o| Ordered(o.at))
            .min()
            .filter(|_| at_fault);
        let verdict = move |at| {
            if Some(Ordered(at)) == first {
                Transport::Malformed
            } else {
                Transport::Cut
            }
        };
        self.open.values().map(move |o| (o, verdict(o.at)))
    }

    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
            && self.orders.is_empty()
            && self.queue.is_empty()
            && self.socket.waiting() == 0
    }

    /// A dispatch is not waited for any more. Tells whether the executor may have begun to read it.
    pub fn give_up(&mut self, id: &Rc<str>) -> bool {
        let Some(out) = self.open.remove(id) else {
            return false;
        };
        if out.from.is_none() {
            self.queue
                .retain(|q| !matches!(q, Queued::Dispatch(queued) if queued == id));
            return false;
        }
        self.given_up.insert(id.clone());
        self.retired |= self.given_up.len() >= MOST_GIVEN_UP;
        true
    }

    /// Ends it for the executor at once; what is open on it is judged when it is dissolved.
    pub fn cut_off(&mut self) {
        (self.retired, self.is_cut) = (true, true);
        // One that is gone already needs no more.
        let _ = self.socket.stream.shutdown(std::net::Shutdown::Both);
    }

    /// An id was answered. It goes over this connection again once no second answer can come any more.
    pub fn said(&mut self, now: f64, id: Rc<str>) {
        while self
            .answered_ids
            .front()
            .is_some_and(|(at, _)| now >= at + SAID_TWICE)
        {
            self.answered_ids.pop_front();
        }
        self.answered_ids.push_back((now, id));
    }

    /// An answer has come under an id that was given up.
    pub fn settled(&mut self, id: &str) {
        self.given_up.remove(id);
    }

    /// Whether not a byte of the line that begins there was handed to the kernel.
    pub fn is_unwritten(&self, from: Option<u64>) -> bool {
        !self.connected || from.is_none_or(|from| from >= self.socket.written())
    }

    /// Takes everything out of which the kernel got no byte.
    pub fn take_unwritten(&mut self) -> Unwritten {
        let ids: Vec<Rc<str>> = self
            .open
            .keys()
            .filter(|id| self.is_unwritten(self.open[*id].from))
            .cloned()
            .collect();
        let mut dispatches: Vec<Out> = ids.iter().filter_map(|id| self.open.remove(id)).collect();
        dispatches.sort_by_key(|o| (Ordered(o.at), o.inv));
        let orders = self
            .orders
            .iter()
            .filter(|&(_, &from)| self.is_unwritten(from))
            .map(|(&tag, _)| tag);
        let orders: Vec<u64> = orders.collect();
        self.orders.retain(|tag, _| !orders.contains(tag));
        self.queue.clear();
        Unwritten { dispatches, orders }
    }

    /// Lines of which the kernel took no byte go back into the queue, to be asked about again when it takes more.
    pub fn take_back(&mut self) {
        let written = self.socket.written();
        let mut back: Vec<(u64, Queued)> = vec![];
        for (id, out) in self
            .open
            .iter_mut()
            .filter(|(_, o)| o.from.is_some_and(|from| from >= written))
        {
            back.extend(
                out.from
                    .take()
                    .map(|from| (from, Queued::Dispatch(id.clone()))),
            );
        }
        for (&tag, begins) in self
            .orders
            .iter_mut()
            .filter(|(_, o)| o.is_some_and(|from| from >= written))
        {
            back.extend(begins.take().map(|from| (from, Queued::Order(tag))));
        }
        back.sort_by_key(|b| b.0);
        let Some(&(first, _)) = back.first() else {
            return;
        };
        self.socket.take_back(first);
        // Lines between them that nothing is owed for are not missed; a cancel is never among them, since it leaves
        // at once or its connection is cut off.
        back.into_iter()
            .rev()
            .for_each(|(_, queued)| self.queue.push_front(queued));
    }

    pub fn heard(&mut self, now: f64) {
        self.heard_at = now;
        self.line_since = if self.decoder.has_partial_line() {
            self.line_since.or(Some(now))
        } else {
            None
        };
    }

    /// Why it is broken off at this moment, if it is.
    pub fn overdue(&self, now: f64, idle_close: f64) -> Option<(Transport, &'static str)> {
        if !self.connected {
            return (now > self.connect_by)
                .then_some((Transport::NoConnection, "no connection in time"));
        }
        if self.line_since.is_some_and(|at| now > at + HALF_LINE) {
            return Some((Transport::Malformed, "half a line and no more"));
        }
        // Before the executor does, so that nothing is sent into a connection that it is closing.
        let idle = self.is_idle() && (self.retired || self.is_over_idle(now, idle_close));
        idle.then_some((Transport::Broken, "idle"))
    }
}

/// An executor as it is reached.
pub struct Executor {
    pub name: String,
    pub address: SocketAddr,
    pub connections: Vec<usize>,
    pub listed: bool,
    /// The shortest time in which a connection to it was made: no less than it takes a message to get there.
    pub reach: f64,
}

pub fn token(slot: usize) -> Token {
    Token(FIRST_TOKEN + 2 * slot + 1)
}

#[cfg(test)]
#[path = "tests/connection.rs"]
mod tests;
