//! A client's connection: its open invocations, its timeouts and its close.

use mio::net::TcpStream;
use orchidtally_dispatch_policy::state::Ordered;
use orchidtally_platform_client_protocol::{self as protocol, Decoder};
use orchidtally_socket_io::buffered::BufferedSocket;
use slab::Slab;
use std::collections::BTreeMap;

/// Invocations that may be open on one connection.
pub const MAX_OPEN_INVOCATIONS: usize = 32;
/// Seconds within which a connection has to send its first frame, and each frame that it has begun: a client that
/// sends unreadable bytes is owed a close within 3 s.
const FRAME_TIMEOUT: f64 = 2.0;
/// Seconds after which a client that reads none of its answers is closed.
const READ_STALL_TIMEOUT: f64 = 3.0;
/// With more than this many bytes to be written no invocation is admitted. It bounds what a client can occupy that
/// sends and never reads: this much, as much again of pending invocations, and the answers to its open ones.
pub const MAX_BACKLOG_BYTES: usize = 64 * 1024;
/// Seconds, and bytes, for which a closing connection is read after its last byte is written: a close with unread
/// bytes would reset the connection, and with it the answer on its way.
const CLOSE_LINGER: f64 = 0.5;
const CLOSE_LINGER_BYTES: usize = 256 * 1024;
/// Connections accepted over the limit, out of the reserved descriptors, only to be rejected with an answer.
pub const MAX_OVER_LIMIT: usize = 2;

/// An invocation that was read and not yet admitted.
pub struct PendingInvocation {
    /// When it may have arrived at the earliest, in seconds.
    pub arrived_at: f64,
    /// Its stream.
    pub stream: u32,
    /// Its payload; `None` if it exceeds what is buffered.
    pub payload: Option<Vec<u8>>,
}

/// The state of a connection that is being closed.
pub struct CloseState {
    /// When it is closed at the latest, in seconds.
    deadline: f64,
    /// Bytes that are still read and discarded.
    bytes_left: usize,
    /// The peer was notified that nothing more comes.
    pub is_shut_down: bool,
}

/// A client's connection.
pub struct ClientConnection {
    /// The socket, with the bytes that wait to be written.
    pub socket: BufferedSocket,
    /// The decoder of the frames that are read.
    pub decoder: Decoder,
    /// The engine's ids of the open invocations, by stream.
    pub open_invocations: BTreeMap<u32, u32>,
    /// The highest stream that was used.
    pub last_stream: u32,
    /// Invocations that were read and not yet admitted.
    pub pending: Vec<PendingInvocation>,
    /// When it connected, or when its partial frame began.
    awaiting_frame_since: Option<f64>,
    /// When the client last read some of its backlog, and the bytes written by then.
    stalled_since: Option<(f64, u64)>,
    /// When it was last used.
    pub idle_since: f64,
    /// It is in the list of connections with bytes to write.
    pub is_dirty: bool,
    /// No invocation is admitted because of the backlog.
    pub is_backpressured: bool,
    /// It has sent a whole frame.
    pub has_sent_frame: bool,
    /// It was accepted over the limit and is closed once it is answered.
    pub is_over_limit: bool,
    /// Set while the connection is being closed.
    pub closing: Option<CloseState>,
}

impl ClientConnection {
    /// A connection that was accepted now.
    pub fn new(stream: TcpStream, now: f64) -> ClientConnection {
        ClientConnection {
            socket: BufferedSocket::new(stream),
            decoder: Decoder::default(),
            open_invocations: BTreeMap::new(),
            last_stream: 0,
            pending: vec![],
            awaiting_frame_since: Some(now),
            stalled_since: None,
            idle_since: now,
            is_dirty: false,
            is_backpressured: false,
            has_sent_frame: false,
            is_over_limit: false,
            closing: None,
        }
    }

    /// Records a read; `had_frame` tells whether a whole frame was among the bytes.
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

    /// Records a flush, for the detection of clients that read nothing.
    pub fn record_flush(&mut self, now: f64) {
        let written = self.socket.bytes_written();
        match self.stalled_since {
            _ if self.socket.pending_bytes() == 0 => self.stalled_since = None,
            Some((_, before)) if before == written => {}
            _ => self.stalled_since = Some((now, written)),
        }
    }

    /// Whether nothing is open on it or waits for admission.
    pub fn is_idle(&self) -> bool {
        self.open_invocations.is_empty() && self.pending.is_empty()
    }

    /// Whether a frame has arrived in part.
    pub fn has_partial_frame(&self) -> bool {
        self.decoder.has_partial_frame()
    }

    /// Whether every answer is written and nothing is open or arriving.
    pub fn is_quiescent(&self) -> bool {
        self.socket.pending_bytes() == 0 && self.is_idle() && !self.has_partial_frame()
    }

    /// Whether more waits for admission than a client that reads its answers may have open.
    pub fn exceeds_pending_limit(&self) -> bool {
        let bytes: usize = self
            .pending
            .iter()
            .filter_map(|pending| pending.payload.as_ref())
            .map(Vec::len)
            .sum();
        self.pending.len() > MAX_OPEN_INVOCATIONS || bytes > MAX_BACKLOG_BYTES
    }

    /// Begins the close: it is completed once the backlog is written and the peer has had time to read it.
    pub fn begin_close(&mut self, now: f64) {
        self.pending.clear();
        self.closing.get_or_insert(CloseState {
            deadline: now + CLOSE_LINGER,
            bytes_left: CLOSE_LINGER_BYTES,
            is_shut_down: false,
        });
    }

    /// Discards bytes that arrived during the close; returns whether more may be read.
    pub fn discard_while_closing(&mut self, bytes: usize) -> bool {
        self.closing.as_mut().is_some_and(|closing| {
            closing.bytes_left = closing.bytes_left.saturating_sub(bytes);
            closing.bytes_left > 0
        })
    }

    /// Whether the time for the close is over.
    pub fn close_is_due(&self, now: f64) -> bool {
        self.closing
            .as_ref()
            .is_some_and(|closing| now > closing.deadline)
    }

    /// Which timeout has run out, if any. The text is sent to the client.
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

    /// Appends an answer to the backlog.
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

/// The idle connection to close in favour of a new one: first one that is closing, then one whose frame is overdue
/// for longer than a connection may take to be made, then one that never sent a frame, else the longest idle.
///
/// Failure mode: misbehaving clients that connect by the hundred and stay silent displace usual clients, which are
/// idle between two invocations.
/// Risk: a client that is very slow with its first frame is closed.
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
            client.has_sent_frame,
            Ordered(client.idle_since),
        )
    };
    clients
        .iter()
        .filter(|(_, client)| client.is_idle())
        .min_by_key(|(_, client)| order(client))
        .map(|(slot, _)| slot)
}
