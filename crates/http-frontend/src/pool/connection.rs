//! One connection to an executor, and the classification of its failures.

use bytes::Bytes;
use h2::client::SendRequest;
use h2::{Ping, PingPong};
use orchidtally_engine::transport_outcome::TransportOutcome;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// An open HTTP/2 connection to an executor.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Bytes>,
    pub(super) open_streams: Cell<usize>,
    pub(super) is_closed: Cell<bool>,
    pub(super) idle_since: Cell<Instant>,
    /// Bytes passed to the kernel so far.
    pub(super) written: Rc<Cell<u64>>,
    /// `None` while a ping is outstanding.
    pub(super) ping: RefCell<Option<PingPong>>,
}

/// Sends pings on a connection.
pub struct Pinger(pub(super) Rc<Connection>);

impl Pinger {
    /// Sends a ping and waits for the answer. Frames that the peer sent before the answer have arrived by then.
    ///
    /// # Errors
    /// The connection is broken, or another ping is outstanding.
    pub async fn ping(&self) -> Result<(), TransportOutcome> {
        let mut ping = self
            .0
            .ping
            .borrow_mut()
            .take()
            .ok_or(TransportOutcome::Saturated)?;
        let answered = ping.ping(Ping::opaque()).await;
        *self.0.ping.borrow_mut() = Some(ping);
        answered
            .map(drop)
            .map_err(|_| TransportOutcome::ConnectionLost)
    }
}

/// Classifies an error on a stream; `orchidtally_engine::transport_outcome` derives from that whether the request may
/// have run. `written_before` is the number of bytes that were written to the connection before the request.
pub(super) fn transport_outcome(
    e: &h2::Error,
    written_before: u64,
    connection: &Connection,
) -> TransportOutcome {
    if e.is_remote() && e.is_go_away() {
        return TransportOutcome::AboveLastStreamId;
    }
    if e.is_remote() && e.is_reset() {
        let is_unprocessed = e.reason() == Some(h2::Reason::REFUSED_STREAM);
        return if is_unprocessed {
            TransportOutcome::StreamRefused
        } else {
            TransportOutcome::StreamReset
        };
    }
    if connection.written.get() == written_before {
        TransportOutcome::NothingWritten
    } else {
        TransportOutcome::ConnectionLost
    }
}
