//! A connection to an executor. It is bound to the executor's id rather than its address, and is retired when the
//! executor moves or leaves the endpoint list.

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

/// Abandoned ids whose responses may still arrive. A connection with this many is retired.
const MAX_ABANDONED_IDS: usize = 256;
/// Encoded bytes that may wait for the kernel. Further commands stay in the queue, where they can still be withdrawn.
pub const MAX_UNFLUSHED_BYTES: usize = 64 * 1024;
/// Seconds within which a partial line has to be completed. Executors write each response in one go.
const PARTIAL_LINE_TIMEOUT: f64 = 0.5;
/// The fraction of the executors' idle timeout after which this side closes an idle connection. Each of hundreds of
/// front ends uses an executor every few seconds, so a smaller fraction would cost extra handshakes; the remaining
/// tenth still covers many round trips.
const IDLE_TIMEOUT_FRACTION: f64 = 0.9;
/// Seconds within which a duplicate response may follow the first one.
const DUPLICATE_RESPONSE_WINDOW: f64 = 0.5;

/// Commands of which the kernel accepted no byte, in their original order.
#[derive(Default)]
pub struct UnwrittenCommands {
    /// Dispatches, in the order in which they were first sent.
    pub dispatches: Vec<InFlightDispatch>,
    /// The tags of load commands.
    pub load_commands: Vec<u64>,
}

/// A dispatch that is queued or written on a connection.
pub struct InFlightDispatch {
    /// The dispatch.
    pub key: DispatchKey,
    /// When it was first sent, in seconds.
    pub sent_at: f64,
    /// The offset of its line in the connection's output stream; `None` while it is queued.
    pub line_start: Option<u64>,
}

/// A command that waits to be written. Dispatches are encoded when they are written, so that they carry the time that
/// is actually left.
pub enum QueuedCommand {
    /// A dispatch, by its id on the wire.
    Dispatch(Rc<str>),
    /// A load command, by its tag.
    LoadCommand(u64),
    /// An encoded line that needs no revalidation.
    Line(Vec<u8>),
}

/// Why a connection is closed by a timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseReason {
    /// The transport outcome that the close is evidence of.
    pub evidence: TransportOutcome,
    /// The reason, for the log.
    pub text: &'static str,
}

/// A connection to an executor.
pub struct ExecutorConnection {
    /// The executor at the other end.
    pub executor_id: ExecutorId,
    /// The socket with its output buffer.
    pub socket: BufferedSocket,
    /// The connection is established.
    pub is_connected: bool,
    /// When the connection attempt began, in seconds.
    pub connect_started_at: f64,
    /// When the connection has to be established at the latest, in seconds.
    connect_deadline: f64,
    /// The decoder of incoming lines.
    pub decoder: Decoder,
    /// Dispatches without a response yet, by their id on the wire.
    pub in_flight: BTreeMap<Rc<str>, InFlightDispatch>,
    /// Load commands by tag, with the offsets of their lines once they are encoded.
    pub load_commands: BTreeMap<u64, Option<u64>>,
    /// Ids of abandoned dispatches whose responses may still arrive.
    abandoned: BTreeSet<Rc<str>>,
    /// Ids that got a response within the window for duplicates, and when.
    responded_ids: VecDeque<(f64, Rc<str>)>,
    /// Commands that wait to be encoded.
    pub queue: VecDeque<QueuedCommand>,
    /// The connection accepts no new commands and is closed once it is idle.
    pub is_retired: bool,
    /// When data was last read, in seconds.
    pub last_read_at: f64,
    /// The executor has sent a response on this connection.
    pub has_responded: bool,
    /// When it was last active, in seconds: created, received a response, or had a dispatch cancelled.
    pub idle_since: f64,
    /// When the current partial line began; `None` if there is none.
    partial_line_since: Option<f64>,
    /// The connection is in the pool's list of those with output to flush.
    pub is_dirty: bool,
    /// This side has shut the socket down; the event loop still has to close the connection.
    pub is_aborted: bool,
}

impl ExecutorConnection {
    /// Creates the state of a connection attempt that starts at `now` and has to succeed within `connect_timeout`
    /// seconds.
    pub fn new(
        executor_id: ExecutorId,
        stream: TcpStream,
        now: f64,
        connect_timeout: f64,
    ) -> ExecutorConnection {
        ExecutorConnection {
            executor_id,
            socket: BufferedSocket::new(stream),
            is_connected: false,
            connect_started_at: now,
            connect_deadline: now + connect_timeout,
            decoder: Decoder::default(),
            in_flight: BTreeMap::new(),
            load_commands: BTreeMap::new(),
            abandoned: BTreeSet::new(),
            responded_ids: VecDeque::new(),
            queue: VecDeque::new(),
            is_retired: false,
            last_read_at: now,
            has_responded: false,
            idle_since: now,
            partial_line_since: None,
            is_dirty: false,
            is_aborted: false,
        }
    }

    /// Whether the connection accepts a dispatch with this id, or another command if the id is empty.
    ///
    /// Ids that were abandoned, or recently got a response, on this connection are refused, because a late or duplicate
    /// response to the earlier dispatch would be taken for that of the new one. An idle connection near its idle
    /// timeout is refused, because the executor may already be closing it.
    pub fn can_accept(&self, id: &str, max_streams: usize, now: f64, idle_timeout: f64) -> bool {
        let was_recently_answered = |(at, answered): &(f64, Rc<str>)| {
            &**answered == id && now < at + DUPLICATE_RESPONSE_WINDOW
        };
        !self.is_retired
            && self.in_flight.len() < max_streams
            && !self.in_flight.contains_key(id)
            && !self.abandoned.contains(id)
            && !self.responded_ids.iter().any(was_recently_answered)
            && !(self.is_connected && self.is_idle() && self.is_idle_too_long(now, idle_timeout))
    }

    fn is_idle_too_long(&self, now: f64, idle_timeout: f64) -> bool {
        now > self.idle_since + IDLE_TIMEOUT_FRACTION * idle_timeout
    }

    /// Returns a sort key; the connection with the smallest is preferred. Established connections come first, then
    /// those with fewer dispatches in flight, then the most recently used.
    ///
    /// Failure mode: a peer or a middlebox silently drops idle connections earlier than the documented idle timeout.
    /// The most recently used connection is the least likely to be affected.
    pub fn preference(&self) -> (bool, usize, Reverse<Ordered>) {
        (
            !self.is_connected,
            self.in_flight.len(),
            Reverse(Ordered(self.idle_since)),
        )
    }

    /// Returns the outcome of each dispatch that was in flight on a lost connection whose executor is still alive.
    ///
    /// If unreadable bytes arrived, or no response ever did, the earliest dispatch counts as malformed, since its
    /// response is the one that most likely failed. All others count as cut.
    /// Failure mode: an executor that always sends unreadable bytes or breaks the connection.
    /// Risk: none for a connection that was lost in the network.
    pub fn attribute_failures(
        &self,
        evidence: TransportOutcome,
    ) -> impl Iterator<Item = (&InFlightDispatch, TransportOutcome)> {
        let is_executor_fault =
            evidence == TransportOutcome::MalformedResponse || !self.has_responded;
        let faulty_sent_at = self
            .in_flight
            .values()
            .map(|dispatch| Ordered(dispatch.sent_at))
            .min()
            .filter(|_| is_executor_fault);
        let attribute = move |sent_at| {
            if Some(Ordered(sent_at)) == faulty_sent_at {
                TransportOutcome::MalformedResponse
            } else {
                TransportOutcome::ClosedForOtherDispatch
            }
        };
        self.in_flight
            .values()
            .map(move |dispatch| (dispatch, attribute(dispatch.sent_at)))
    }

    /// Whether no command is in flight, queued or unwritten.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
            && self.load_commands.is_empty()
            && self.queue.is_empty()
            && self.socket.pending_bytes() == 0
    }

    /// Bytes of memory that commands occupy which the kernel has not accepted yet.
    pub fn held_output_bytes(&self) -> usize {
        self.socket.held_bytes() + self.queue.capacity() * size_of::<QueuedCommand>()
    }

    /// Abandons a dispatch, and returns whether the executor may have received a part of it.
    pub fn abandon(&mut self, id: &Rc<str>) -> bool {
        let Some(dispatch) = self.in_flight.remove(id) else {
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

    /// Shuts the socket down at once. The commands in flight are reported when the connection is closed.
    pub fn abort(&mut self) {
        self.is_retired = true;
        self.is_aborted = true;
        // The shutdown fails only if the connection has already ended.
        let _ = self.socket.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Records that an id got its response. The id may use this connection again once no duplicate response is
    /// expected.
    pub fn record_response(&mut self, now: f64, id: Rc<str>) {
        while self
            .responded_ids
            .front()
            .is_some_and(|(at, _)| now >= at + DUPLICATE_RESPONSE_WINDOW)
        {
            self.responded_ids.pop_front();
        }
        self.responded_ids.push_back((now, id));
    }

    /// Records a response to an id that is not in flight. If the id was abandoned, it may use this connection again.
    pub fn remove_abandoned_id(&mut self, id: &str) {
        self.abandoned.remove(id);
    }

    /// The offset in the connection's output stream at which the next line begins.
    pub fn next_line_start(&self) -> u64 {
        self.socket.bytes_written() + self.socket.pending_bytes() as u64
    }

    /// Whether the kernel accepted no byte of the line at this offset.
    fn is_unwritten(&self, line_start: Option<u64>) -> bool {
        !self.is_connected || line_start.is_none_or(|start| start >= self.socket.bytes_written())
    }

    /// Removes and returns the commands of which the kernel accepted no byte. The queue is empty afterwards.
    pub fn take_unwritten(&mut self) -> UnwrittenCommands {
        let ids: Vec<Rc<str>> = self
            .in_flight
            .iter()
            .filter(|(_, dispatch)| self.is_unwritten(dispatch.line_start))
            .map(|(id, _)| id.clone())
            .collect();
        let mut dispatches: Vec<InFlightDispatch> = ids
            .iter()
            .filter_map(|id| self.in_flight.remove(id))
            .collect();
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

    /// Moves lines of which the kernel accepted no byte back to the front of the queue, so that they are revalidated
    /// before they are written.
    pub fn requeue_unwritten(&mut self) {
        let written = self.socket.bytes_written();
        let is_unwritten = |line_start: &mut u64| *line_start >= written;
        let mut unwritten: Vec<(u64, QueuedCommand)> = vec![];
        for (id, dispatch) in &mut self.in_flight {
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
        // Lines in between that need no report, such as unload commands, are dropped. Cancels are never among them:
        // they are written at once, or their connection is aborted.
        for (_, command) in unwritten.into_iter().rev() {
            self.queue.push_front(command);
        }
    }

    /// Records that data was read.
    pub fn record_read(&mut self, now: f64) {
        self.last_read_at = now;
        self.partial_line_since = if self.decoder.has_partial_line() {
            self.partial_line_since.or(Some(now))
        } else {
            None
        };
    }

    /// Returns why the connection has to be closed now, if it has to be.
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
        // Closes an idle connection before the executor does, so that no command is written to a connection that the
        // executor is closing.
        if self.is_idle() && (self.is_retired || self.is_idle_too_long(now, idle_timeout)) {
            return reason(TransportOutcome::ConnectionLost, "idle");
        }
        None
    }
}

#[cfg(test)]
#[path = "tests/executor_connection.rs"]
mod tests;
