//! Connections to executors. Each belongs to an executor's id, never to an address, and ends with it.

use crate::clients::FIRST_TOKEN;
use mio::Token;
use mio::net::TcpStream;
use orchidtally::interface::ExecutorId;
use orchidtally::state::Ordered;
use orchidtally_engine::evidence::Transport;
use orchidtally_lines::Decoder;
use orchidtally_net::turn::Socket;
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

pub struct Link {
    pub to: ExecutorId,
    pub socket: Socket,
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

impl Link {
    pub fn new(to: ExecutorId, stream: TcpStream, now: f64, connect_time: f64) -> Link {
        Link {
            to,
            socket: Socket::new(stream),
            connected: false,
            begun_at: now,
            connect_by: now + connect_time,
            decoder: Decoder::default(),
            open: BTreeMap::new(),
            orders: BTreeMap::new(),
            given_up: BTreeSet::new(),
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

    /// Whether a dispatch with this id may go over it. One whose id was given up on it may not: its answer
    /// could be the earlier one's.
    pub fn takes(&self, id: &str, streams: usize) -> bool {
        !self.retired
            && self.open.len() < streams
            && !self.open.contains_key(id)
            && !self.given_up.contains(id)
    }

    /// The less comes first: one that stands, then with the least open, then used last. Guards against
    /// connections that a peer, or something on the way, lets go of when idle for longer than anybody told.
    pub fn rank(&self) -> (bool, usize, Reverse<Ordered>) {
        (!self.connected, self.open.len(), Reverse(Ordered(self.idle_since)))
    }

    /// How each dispatch that is open ended with the connection, while the executor is there: at fault is the
    /// earliest, whose answer most likely went wrong, where something unreadable came or nothing ever did.
    /// Guards against executors that answer noise or break off always, and not against them for a connection
    /// lost on the way.
    pub fn verdicts(&self, seen: Transport) -> impl Iterator<Item = (&Out, Transport)> {
        let at_fault = seen == Transport::Malformed || !self.answered;
        let first = self.open.values().map(|o| Ordered(o.at)).min().filter(|_| at_fault);
        let verdict =
            move |at| if Some(Ordered(at)) == first { Transport::Malformed } else { Transport::Cut };
        self.open.values().map(move |o| (o, verdict(o.at)))
    }

    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.orders.is_empty() && self.queue.is_empty() && self.socket.waiting() == 0
    }

    /// A dispatch is not waited for any more. Tells whether the executor may have begun to read it.
    pub fn give_up(&mut self, id: &Rc<str>) -> bool {
        let Some(out) = self.open.remove(id) else { return false };
        if out.from.is_none() {
            self.queue.retain(|q| !matches!(q, Queued::Dispatch(queued) if queued == id));
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

    /// An answer has come under an id that was given up.
    pub fn settled(&mut self, id: &str) {
        self.given_up.remove(id);
    }

    /// Whether not a byte of the line that begins there was handed to the kernel.
    pub fn is_unwritten(&self, from: Option<u64>) -> bool {
        !self.connected || from.is_none_or(|from| from >= self.socket.written())
    }

    pub fn heard(&mut self, now: f64) {
        self.heard_at = now;
        self.line_since = if self.decoder.is_within() { self.line_since.or(Some(now)) } else { None };
    }

    /// Why it is broken off at this moment, if it is.
    pub fn overdue(&self, now: f64, idle_close: f64) -> Option<(Transport, &'static str)> {
        if !self.connected {
            return (now > self.connect_by).then_some((Transport::NoConnection, "no connection in time"));
        }
        if self.line_since.is_some_and(|at| now > at + HALF_LINE) {
            return Some((Transport::Malformed, "half a line and no more"));
        }
        // Before the executor does, so that nothing is sent into a connection that it is closing.
        let idle = self.is_idle() && (self.retired || now > self.idle_since + IDLE_SHARE * idle_close);
        idle.then_some((Transport::Broken, "idle"))
    }
}

/// An executor as it is reached.
pub struct Executor {
    pub name: String,
    pub address: SocketAddr,
    pub links: Vec<usize>,
    pub listed: bool,
}

pub fn token(slot: usize) -> Token {
    Token(FIRST_TOKEN + 2 * slot + 1)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Read;
    use std::net::TcpListener;

    fn link() -> (Link, std::net::TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let stream = TcpStream::connect(listener.local_addr().expect("it is bound")).expect("begun");
        let (peer, _) = listener.accept().expect("it comes");
        let mut link = Link::new(orchidtally_resolver::id("s-1"), stream, 0.0, 0.25);
        link.connected = true;
        (link, peer)
    }

    fn put(link: &mut Link, id: &str, from: Option<u64>) -> Rc<str> {
        let id: Rc<str> = id.into();
        link.open.insert(id.clone(), Out { inv: 1, dispatch: 0, at: 1.0, from });
        id
    }

    /// A late answer to a dispatch that was given up must not pass for that of the next with the same id.
    #[test]
    fn an_id_given_up_goes_over_another_connection_until_its_answer_has_come() {
        let (mut link, _peer) = link();
        let id = put(&mut link, "a", Some(0));
        assert!(!link.takes("a", 32), "it is open there");
        assert!(link.give_up(&id));
        assert!(!link.takes("a", 32) && link.takes("b", 32));
        link.settled("a");
        assert!(link.takes("a", 32));
        let id = put(&mut link, "a", None);
        link.queue.push_back(Queued::Dispatch(id.clone()));
        assert!(!link.give_up(&id), "a queued one is just taken back");
        assert!(link.queue.is_empty() && link.takes("a", 32));
        for n in 0..MOST_GIVEN_UP {
            let id = put(&mut link, &format!("{n}"), Some(0));
            assert!(!link.retired);
            link.give_up(&id);
        }
        assert!(link.retired, "ids given up are bounded");
    }

    #[test]
    fn a_connection_used_lately_comes_before_one_long_idle_and_a_busier_one_after_both() {
        let ((mut late, _a), (mut idle, _b), (mut busy, _c), (mut begun, _d)) =
            (link(), link(), link(), link());
        (late.idle_since, idle.idle_since, begun.connected) = (5.0, 1.0, false);
        put(&mut busy, "a", Some(0));
        let mut all =
            [("begun", begun.rank()), ("busy", busy.rank()), ("idle", idle.rank()), ("late", late.rank())];
        all.sort_by_key(|r| r.1);
        assert_eq!(all.map(|r| r.0), ["late", "idle", "busy", "begun"]);
    }

    #[test]
    fn a_connection_lost_on_the_way_is_no_executors_fault() {
        let (mut link, _peer) = link();
        put(&mut link, "a", Some(0));
        put(&mut link, "b", Some(9));
        link.open.values_mut().filter(|o| o.from == Some(9)).for_each(|o| o.at = 2.0);
        let verdicts = |link: &Link, seen| link.verdicts(seen).map(|(o, v)| (o.from, v)).collect::<Vec<_>>();
        let at_fault = [(Some(0), Transport::Malformed), (Some(9), Transport::Cut)];
        let lost = [(Some(0), Transport::Cut), (Some(9), Transport::Cut)];
        assert_eq!(verdicts(&link, Transport::Broken), at_fault, "nothing ever came");
        link.answered = true;
        assert_eq!(verdicts(&link, Transport::Broken), lost);
        assert_eq!(verdicts(&link, Transport::Malformed), at_fault);
    }

    #[test]
    fn only_what_the_kernel_never_got_is_unwritten() {
        let (mut link, mut peer) = link();
        link.socket.out().extend_from_slice(b"first\n");
        link.socket.flush().expect("it takes six bytes");
        assert!(!link.is_unwritten(Some(0)) && !link.is_unwritten(Some(5)));
        assert!(link.is_unwritten(Some(6)) && link.is_unwritten(None));
        let mut there = [0; 6];
        peer.read_exact(&mut there).expect("it came");
        assert_eq!(&there, b"first\n");
        link.connected = false;
        assert!(link.is_unwritten(Some(0)), "without a connection nothing is");
    }

    #[test]
    fn half_a_line_and_idleness_end_a_connection_and_work_does_not() {
        let (mut link, _peer) = link();
        assert_eq!(link.overdue(13.0, 15.0), None, "one in use every ten seconds or so is kept");
        assert_eq!(link.overdue(14.0, 15.0), Some((Transport::Broken, "idle")));
        put(&mut link, "a", Some(0));
        assert_eq!(link.overdue(100.0, 15.0), None);
        link.decoder.push(b"{\"t\":");
        link.heard(100.0);
        assert_eq!(link.overdue(100.4, 15.0), None);
        link.decoder.push(b"\"DO");
        link.heard(100.4);
        assert!(link.overdue(100.6, 15.0).is_some(), "the time runs from its first byte");
        link.connected = false;
        assert_eq!(link.overdue(0.2, 15.0), None);
        assert!(link.overdue(0.3, 15.0).is_some());
    }
}
