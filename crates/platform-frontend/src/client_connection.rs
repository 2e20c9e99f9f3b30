//! A client connection: its open invocations, its timeouts and its orderly close.

use crate::pending_invocations::PendingInvocations;
use mio::net::TcpStream;
use orchidtally_dispatch_policy::state::Ordered;
use orchidtally_platform_client_protocol::{self as protocol, Decoder};
use orchidtally_socket_io::buffered::BufferedSocket;
use slab::Slab;
use std::collections::BTreeMap;

/// Invocations that may be open on one connection at the same time.
pub const MAX_OPEN_INVOCATIONS: usize = 32;
/// Seconds within which a connection has to complete its first frame, and every frame of which a part has arrived. The
/// platform requires that a client that sends unreadable bytes is disconnected within 3 s.
const FRAME_TIMEOUT: f64 = 2.0;
/// Seconds after which the connection of a client that reads none of its responses is closed.
const READ_STALL_TIMEOUT: f64 = 3.0;
/// Unwritten bytes above which no further invocation is admitted. This bounds the memory that a client can occupy by
/// sending without reading: this many bytes of responses, as many of pending invocations, and the responses to its open
/// invocations.
pub const MAX_BACKLOG_BYTES: usize = 64 * 1024;
/// Seconds for which input on a closing connection is still read and discarded. Closing a socket with unread input
/// resets the connection, which can destroy a response that the client has not read yet.
const CLOSE_LINGER: f64 = 0.5;
/// Bytes of input that are discarded on a closing connection before it is closed at once.
const CLOSE_LINGER_BYTES: usize = 256 * 1024;
/// Connections accepted above the limit, using reserved descriptors, so that their invocations can be rejected with a
/// response.
pub const MAX_OVER_LIMIT: usize = 2;

/// Why a client connection is closed, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The client has closed the connection, or it broke.
    Ended,
    /// The client violated the protocol.
    ProtocolError,
    /// A timeout expired; the text says which.
    TimedOut(&'static str),
    /// The client sent more invocations than it may have open while it read no responses.
    TooManyPending,
    /// Another connection needed the descriptor.
    Evicted,
    /// The connection was accepted above the limit, and its first frame is answered.
    OverLimit,
    /// The client held the most input when the share of the memory for input was exceeded.
    InputShareExceeded,
    /// The client held the most unread output when the share of the memory for output was exceeded.
    OutputShareExceeded,
    /// The orderly close is complete.
    LingerEnded,
}

/// The state of a connection that is being closed.
pub struct CloseState {
    /// When the connection is closed at the latest, in seconds.
    deadline: f64,
    /// Bytes of input that may still be discarded.
    bytes_left: usize,
    /// The sending direction was shut down.
    pub is_shut_down: bool,
}

/// A connection from a client.
pub struct ClientConnection {
    /// The socket with its output buffer.
    pub socket: BufferedSocket,
    /// The decoder of incoming frames.
    pub decoder: Decoder,
    /// The engine's ids of the open invocations, by stream.
    pub open_invocations: BTreeMap<u32, u32>,
    /// Bytes of memory that the open invocations occupy.
    pub open_bytes: usize,
    /// The highest stream used so far.
    pub last_stream: u32,
    /// Invocations that were read and are not admitted yet.
    pub pending: PendingInvocations,
    /// When the client connected or its current partial frame began; `None` while no frame is awaited.
    awaiting_frame_since: Option<f64>,
    /// When the client last read some of the unwritten output, and the total of bytes written by then; `None` if
    /// everything is written.
    stalled_since: Option<(f64, u64)>,
    /// When it was last active, in seconds: connected, received a frame, or had output to write.
    pub idle_since: f64,
    /// The connection is in the host's list of those with output to flush.
    pub is_dirty: bool,
    /// No invocation is admitted because too much output is unwritten.
    pub is_backpressured: bool,
    /// The client has sent at least one complete frame.
    pub has_sent_frame: bool,
    /// The latest invocation that was handled is invalid.
    pub sends_invalid: bool,
    /// The connection was accepted above the limit and is closed once its first frame is answered.
    pub is_over_limit: bool,
    /// Set while the connection is being closed.
    pub closing: Option<CloseState>,
}

impl ClientConnection {
    /// Creates the state of a connection that was accepted at `now`.
    pub fn new(stream: TcpStream, now: f64) -> ClientConnection {
        ClientConnection {
            socket: BufferedSocket::new(stream),
            decoder: Decoder::default(),
            open_invocations: BTreeMap::new(),
            open_bytes: 0,
            last_stream: 0,
            pending: PendingInvocations::default(),
            awaiting_frame_since: Some(now),
            stalled_since: None,
            idle_since: now,
            is_dirty: false,
            is_backpressured: false,
            has_sent_frame: false,
            sends_invalid: false,
            is_over_limit: false,
            closing: None,
        }
    }

    /// Records a read. `had_frame` is whether it completed a frame.
    pub fn record_read(&mut self, now: f64, had_frame: bool) {
        if had_frame {
            self.has_sent_frame = true;
            self.idle_since = now;
            self.awaiting_frame_since = None;
        }
        if self.decoder.has_partial_frame() {
            self.awaiting_frame_since.get_or_insert(now);
        }
    }

    /// Records a flush, in order to detect clients that stopped reading.
    pub fn record_flush(&mut self, now: f64) {
        let written = self.socket.bytes_written();
        match self.stalled_since {
            _ if self.socket.pending_bytes() == 0 => self.stalled_since = None,
            Some((_, before)) if before == written => {}
            _ => self.stalled_since = Some((now, written)),
        }
    }

    /// Bytes of memory that input occupies: a partial frame and pending invocations.
    pub fn held_input_bytes(&self) -> usize {
        self.decoder.held_bytes() + self.pending.held_bytes()
    }

    /// Bytes of memory that unread output occupies.
    pub fn held_output_bytes(&self) -> usize {
        self.socket.held_bytes()
    }

    /// Whether no invocation is open or pending.
    pub fn is_idle(&self) -> bool {
        self.open_invocations.is_empty() && self.pending.is_empty()
    }

    /// Whether the connection may be closed in favor of another one: it is idle, or only invalid invocations are
    /// pending on it.
    pub fn is_evictable(&self) -> bool {
        self.open_invocations.is_empty() && (self.pending.is_empty() || self.sends_invalid)
    }

    /// Whether a part of a frame has arrived.
    pub fn has_partial_frame(&self) -> bool {
        self.decoder.has_partial_frame()
    }

    /// Whether all output is written, no invocation is open or pending, and no partial frame has arrived.
    pub fn is_quiescent(&self) -> bool {
        self.socket.pending_bytes() == 0 && self.is_idle() && !self.has_partial_frame()
    }

    /// Whether the pending invocations exceed, in number or bytes, what a client that reads its responses could have
    /// open.
    pub fn exceeds_pending_limit(&self) -> bool {
        self.pending.len() > MAX_OPEN_INVOCATIONS
            || self.pending.payload_bytes() > MAX_BACKLOG_BYTES
    }

    /// Begins an orderly close, which ends once the output is written and the client has had time to read it. Pending
    /// invocations and partial frames are dropped.
    pub fn begin_close(&mut self, now: f64) {
        self.pending = PendingInvocations::default();
        self.decoder = Decoder::default();
        self.closing.get_or_insert(CloseState {
            deadline: now + CLOSE_LINGER,
            bytes_left: CLOSE_LINGER_BYTES,
            is_shut_down: false,
        });
    }

    /// Accounts for input that is discarded during the close, and returns whether more may be read.
    pub fn discard_while_closing(&mut self, bytes: usize) -> bool {
        self.closing.as_mut().is_some_and(|closing| {
            closing.bytes_left = closing.bytes_left.saturating_sub(bytes);
            closing.bytes_left > 0
        })
    }

    /// Whether the deadline of the close has passed.
    pub fn close_is_due(&self, now: f64) -> bool {
        self.closing
            .as_ref()
            .is_some_and(|closing| now > closing.deadline)
    }

    /// Returns the timeout that has expired, if any. The text is sent to the client, so it is part of the protocol.
    pub fn timeout_reason(&self, now: f64) -> Option<&'static str> {
        if self.closing.is_some() {
            return None;
        }
        if self
            .awaiting_frame_since
            .is_some_and(|since| now > since + FRAME_TIMEOUT)
        {
            return Some("no whole frame in time");
        }
        self.stalled_since
            .is_some_and(|(since, _)| now > since + READ_STALL_TIMEOUT)
            .then_some("takes none of its answers")
    }

    /// Appends a response to the output.
    pub fn respond(&mut self, stream: u32, code: u8, fields: &[(&str, &str)], body: &[u8]) {
        protocol::write_frame(
            self.socket.write_buffer(),
            protocol::RESPONSE,
            stream,
            Some(code),
            Some(fields),
            body,
        );
    }
}

/// Returns the connection to close in favor of a new one, if there is one: an idle one, or one whose invocations are
/// invalid.
///
/// The order of preference is: connections that are closing, those that have waited for a frame for longer than the
/// connect timeout, those that send invalid invocations, those that never sent a frame, and then the one that has been
/// idle for the longest time.
///
/// Failure mode: misbehaving clients that open hundreds of connections, and stay silent or send at full speed what is
/// invalid, displace well-behaved clients, which are idle between two invocations.
/// Risk: a client that is very slow to send its first frame is disconnected.
pub fn eviction_candidate(
    clients: &Slab<ClientConnection>,
    now: f64,
    connect_timeout: f64,
) -> Option<usize> {
    let frame_is_overdue = |client: &ClientConnection| {
        client
            .awaiting_frame_since
            .is_some_and(|since| now > since + connect_timeout)
    };
    let order = |client: &ClientConnection| {
        (
            client.closing.is_none(),
            !frame_is_overdue(client),
            !client.sends_invalid,
            client.has_sent_frame,
            Ordered(client.idle_since),
        )
    };
    clients
        .iter()
        .filter(|(_, client)| client.is_evictable())
        .min_by_key(|(_, client)| order(client))
        .map(|(slot, _)| slot)
}
