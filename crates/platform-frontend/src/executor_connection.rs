//! A connection to an executor. It belongs to the executor's id, never to an address, and ends with it.

use crate::delayed_dispatches::DispatchKey;
use mio::net::TcpStream;
use orchidtally_dispatch_policy::interface::ExecutorId;
use orchidtally_dispatch_policy::state::Ordered;
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_platform_executor_protocol::Decoder;
use orchidtally_socket_io::buffered::BufferedSocket;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Abandoned ids whose answers may still arrive. A connection with this many takes nothing new.
const MAX_ABANDONED_IDS: usize = 256;
/// Bytes that may wait to be handed to the kernel. What is queued beyond stays where it can be withdrawn.
pub const MAX_UNFLUSHED_BYTES: usize = 64 * 1024;
/// Seconds within which a partial line has to be completed: executors write an answer at once.
const PARTIAL_LINE_TIMEOUT: f64 = 0.5;
/// The part of the executors' idle timeout after which a connection is closed here. Each of hundreds of front ends
/// uses an executor every few seconds, and an early close costs a handshake; the rest is many round trips.
const IDLE_TIMEOUT_FRACTION: f64 = 0.9;
/// Seconds within which a duplicate answer may follow the first.
const DUPLICATE_RESPONSE_WINDOW: f64 = 0.5;

/// Commands of which the kernel got no byte, in their order.
#[derive(Default)]
pub struct UnwrittenCommands {
    /// Dispatches, in the order in which they were sent.
    pub dispatches: Vec<InFlightDispatch>,
    /// The tags of load commands.
    pub load_commands: Vec<u64>,
}

/// A dispatch on a connection.
pub struct InFlightDispatch {
    /// The dispatch.
    pub key: DispatchKey,
    /// When it was first sent, in seconds.
    pub sent_at: f64,
    /// The position of its line among the bytes of the connection; `None` while it is queued.
    pub line_start: Option<u64>,
}

/// A command that waits to be written. A dispatch is encoded only then, so that it carries the time truly left.
pub enum QueuedCommand {
    /// A dispatch, by its id on the wire.
    Dispatch(Rc<str>),
    /// A load command, by its tag.
    LoadCommand(u64),
    /// A line that needs no revalidation.
    Line(Vec<u8>),
}

/// Why a connection is closed by a timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseReason {
    /// What the close is evidence of.
    pub evidence: TransportOutcome,
    /// The reason, for the log.
    pub text: &'static str,
}

/// A connection to an executor.
pub struct ExecutorConnection {
    /// The executor.
    pub to: ExecutorId,
    /// The socket, with the bytes that wait to be written.
    pub socket: BufferedSocket,
    /// The connection is established.
    pub is_connected: bool,
    /// When the connection attempt began, in seconds.
    pub begun_at: f64,
    /// When the connection has to be established, in seconds.
    connect_deadline: f64,
    /// The decoder of the lines that are read.
    pub decoder: Decoder,
    /// Dispatches by their id on the wire.
    pub open: BTreeMap<Rc<str>, InFlightDispatch>,
    /// Load commands by tag, with the position of their lines once they are encoded.
    pub load_commands: BTreeMap<u64, Option<u64>>,
    abandoned: BTreeSet<Rc<str>>,
    /// Ids that were answered within the window for duplicates, and when.
    answered_ids: VecDeque<(f64, Rc<str>)>,
    /// Commands that wait to be encoded.
    pub queue: VecDeque<QueuedCommand>,
    /// It takes nothing new and is closed once nothing is open.
    pub is_retired: bool,
    /// When something was last read, in seconds.
    pub last_read_at: f64,
    /// It has brought an answer.
    pub has_answered: bool,
    /// When it was last used, in seconds.
    pub idle_since: f64,
    partial_line_since: Option<f64>,
    /// It is in the list of connections with something to write.
    pub is_dirty: bool,
    /// It was shut down by this side and waits to be closed.
    pub is_cut: bool,
}

impl ExecutorConnection {
    /// A connection whose attempt begins now and has some seconds to be established.
    pub fn new(
        to: ExecutorId,
        stream: TcpStream,
        now: f64,
        connect_timeout: f64,
    ) -> ExecutorConnection {
        ExecutorConnection {
            to,
            socket: BufferedSocket::new(stream),
            is_connected: false,
            begun_at: now,
            connect_deadline: now + connect_timeout,
            decoder: Decoder::default(),
            open: BTreeMap::new(),
            load_commands: BTreeMap::new(),
            abandoned: BTreeSet::new(),
            answered_ids: VecDeque::new(),
            queue: VecDeque::new(),
            is_retired: false,
            last_read_at: now,
            has_answered: false,
            idle_since: now,
            partial_line_since: None,
            is_dirty: false,
            is_cut: false,
        }
    }

    /// Whether a dispatch with this id may use the connection.
    ///
    /// An id that was abandoned or answered on it a moment ago may not: a late or duplicate answer could be the
    /// earlier dispatch's. Nor may any once the idle timeout is near: the executor may be closing the connection.
    pub fn can_carry(&self, id: &str, max_streams: usize, now: f64, idle_timeout: f64) -> bool {
        let was_just_answered = |(at, answered): &(f64, Rc<str>)| {
            &**answered == id && now < at + DUPLICATE_RESPONSE_WINDOW
        };
        !self.is_retired
            && self.open.len() < max_streams
            && !self.open.contains_key(id)
            && !self.abandoned.contains(id)
            && !self.answered_ids.iter().any(was_just_answered)
            && !(self.is_connected && self.is_idle() && self.is_idle_too_long(now, idle_timeout))
    }

    fn is_idle_too_long(&self, now: f64, idle_timeout: f64) -> bool {
        now > self.idle_since + IDLE_TIMEOUT_FRACTION * idle_timeout
    }

    /// The order of preference; the least comes first: established ones, then by what is open, then the last used.
    ///
    /// Failure mode: a peer, or a device on the path, drops connections that are idle for longer than anybody told.
    pub fn preference(&self) -> (bool, usize, Reverse<Ordered>) {
        (
            !self.is_connected,
            self.open.len(),
            Reverse(Ordered(self.idle_since)),
        )
    }

    /// How each open dispatch ended with the connection while the executor is still there.
    ///
    /// The earliest dispatch is at fault, whose answer most likely went wrong, if something unreadable arrived or no
    /// answer ever did.
    /// Failure mode: an executor that always answers noise or breaks off.
    /// Risk: none for a connection that was lost on the path.
    pub fn attribute_failures(
        &self,
        evidence: TransportOutcome,
    ) -> impl Iterator<Item = (&InFlightDispatch, TransportOutcome)> {
        let has_culprit = evidence == TransportOutcome::MalformedResponse || !self.has_answered;
        let earliest = self
            .open
            .values()
            .map(|dispatch| Ordered(dispatch.sent_at))
            .min()
            .filter(|_| has_culprit);
        let attribute = move |sent_at| {
            if Some(Ordered(sent_at)) == earliest {
                TransportOutcome::MalformedResponse
            } else {
                TransportOutcome::ClosedForOtherDispatch
            }
        };
        self.open
            .values()
            .map(move |dispatch| (dispatch, attribute(dispatch.sent_at)))
    }

    /// Whether nothing is open, queued or unwritten.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
            && self.load_commands.is_empty()
            && self.queue.is_empty()
            && self.socket.pending_bytes() == 0
    }

    /// Abandons a dispatch; returns whether the executor may have begun to read it.
    pub fn abandon(&mut self, id: &Rc<str>) -> bool {
        let Some(dispatch) = self.open.remove(id) else {
            return false;
        };
        if dispatch.line_start.is_none() {
            self.queue.retain(
                |command| !matches!(command, QueuedCommand::Dispatch(queued) if queued == id),
            );
            return false;
        }
        self.abandoned.insert(id.clone());
        self.is_retired |= self.abandoned.len() >= MAX_ABANDONED_IDS;
        true
    }

    /// Ends the connection for the executor at once. What is open on it is reported when it is closed.
    pub fn cut_off(&mut self) {
        self.is_retired = true;
        self.is_cut = true;
        // A socket that is gone already needs no shutdown.
        let _ = self.socket.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Records that an id was answered. It may use this connection again once no duplicate answer can arrive.
    pub fn record_answered(&mut self, now: f64, id: Rc<str>) {
        while self
            .answered_ids
            .front()
            .is_some_and(|(at, _)| now >= at + DUPLICATE_RESPONSE_WINDOW)
        {
            self.answered_ids.pop_front();
        }
        self.answered_ids.push_back((now, id));
    }

    /// Records an answer under an id that is not open; an abandoned id may be used again.
    pub fn forget_abandoned(&mut self, id: &str) {
        self.abandoned.remove(id);
    }

    /// The position at which the next line begins among the bytes of the connection.
    pub fn next_line_start(&self) -> u64 {
        self.socket.bytes_written() + self.socket.pending_bytes() as u64
    }

    /// Whether the kernel got no byte of the line at this position.
    fn is_unwritten(&self, line_start: Option<u64>) -> bool {
        !self.is_connected || line_start.is_none_or(|start| start >= self.socket.bytes_written())
    }

    /// Removes every command of which the kernel got no byte.
    pub fn take_unwritten(&mut self) -> UnwrittenCommands {
        let ids: Vec<Rc<str>> = self
            .open
            .iter()
            .filter(|(_, dispatch)| self.is_unwritten(dispatch.line_start))
            .map(|(id, _)| id.clone())
            .collect();
        let mut dispatches: Vec<InFlightDispatch> =
            ids.iter().filter_map(|id| self.open.remove(id)).collect();
        dispatches.sort_by_key(|dispatch| (Ordered(dispatch.sent_at), dispatch.key.invocation));
        let load_commands: Vec<u64> = self
            .load_commands
            .iter()
            .filter(|&(_, &line_start)| self.is_unwritten(line_start))
            .map(|(&tag, _)| tag)
            .collect();
        self.load_commands
            .retain(|tag, _| !load_commands.contains(tag));
        self.queue.clear();
        UnwrittenCommands {
            dispatches,
            load_commands,
        }
    }

    /// Puts lines of which the kernel took no byte back into the queue, to be revalidated when it takes more.
    pub fn requeue_unwritten(&mut self) {
        let written = self.socket.bytes_written();
        let is_unwritten = |line_start: &mut u64| *line_start >= written;
        let mut unwritten: Vec<(u64, QueuedCommand)> = vec![];
        for (id, dispatch) in &mut self.open {
            if let Some(start) = dispatch.line_start.take_if(is_unwritten) {
                unwritten.push((start, QueuedCommand::Dispatch(id.clone())));
            }
        }
        for (&tag, line_start) in &mut self.load_commands {
            if let Some(start) = line_start.take_if(is_unwritten) {
                unwritten.push((start, QueuedCommand::LoadCommand(tag)));
            }
        }
        unwritten.sort_by_key(|(start, _)| *start);
        let Some(&(first, _)) = unwritten.first() else {
            return;
        };
        self.socket.discard_unsent(first);
        // Lines between them that nobody waits for are not missed. A cancel is never among them: it leaves at once, or
        // its connection is cut off.
        for (_, command) in unwritten.into_iter().rev() {
            self.queue.push_front(command);
        }
    }

    /// Records that something was read.
    pub fn record_read(&mut self, now: f64) {
        self.last_read_at = now;
        self.partial_line_since = if self.decoder.has_partial_line() {
            self.partial_line_since.or(Some(now))
        } else {
            None
        };
    }

    /// Why the connection has to be closed now, if it has.
    pub fn close_reason(&self, now: f64, idle_timeout: f64) -> Option<CloseReason> {
        let reason = |evidence, text| Some(CloseReason { evidence, text });
        if !self.is_connected {
            return if now > self.connect_deadline {
                reason(TransportOutcome::NoConnection, "connect timeout")
            } else {
                None
            };
        }
        if self
            .partial_line_since
            .is_some_and(|since| now > since + PARTIAL_LINE_TIMEOUT)
        {
            return reason(
                TransportOutcome::MalformedResponse,
                "partial line was not completed",
            );
        }
        // Before the executor does, so that nothing is sent into a connection that it is closing.
        if self.is_idle() && (self.is_retired || self.is_idle_too_long(now, idle_timeout)) {
            return reason(TransportOutcome::ConnectionLost, "idle");
        }
        None
    }
}

#[cfg(test)]
#[path = "tests/executor_connection.rs"]
mod tests;
