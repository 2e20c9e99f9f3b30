//! Opens connections and drives them to their end.

use super::Pool;
use super::connection::Connection;
use bytes::Bytes;
use h2::PingPong;
use h2::client::SendRequest;
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_socket_io::Stream;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Instant;
use tracing::{debug, warn};

/// HTTP/2 flow control windows of a stream and of a connection, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;
const CONNECTION_WINDOW: u32 = 4 << 20;

/// A connection whose handshake has succeeded.
struct Handshake {
    sender: SendRequest<Bytes>,
    driver: h2::client::Connection<Stream>,
    written: Rc<Cell<u64>>,
    ping: Option<PingPong>,
}

impl Pool {
    /// Opens a connection and drives it to its end.
    pub(super) async fn open(self: Rc<Self>) {
        let handshake =
            orchidtally_socket_io::with_timeout(self.limits.connect_timeout, self.handshake())
                .await;
        self.state.borrow_mut().connecting -= 1;
        let handshake = match handshake {
            Some(Ok(handshake)) => handshake,
            Some(Err(fault)) => return self.on_connect_failure(&fault.to_string()),
            None => return self.on_connect_failure("handshake timed out"),
        };
        let connection = Rc::new(Connection {
            sender: handshake.sender,
            open_streams: Cell::new(0),
            is_closed: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            written: handshake.written,
            ping: RefCell::new(handshake.ping),
        });
        self.state.borrow_mut().connections.push(connection.clone());
        self.wake_all(None);
        let weak_connection = Rc::downgrade(&connection);
        drop(connection);
        let ended = handshake.driver.await;
        if let Some(connection) = weak_connection.upgrade() {
            connection.is_closed.set(true);
        }
        self.state
            .borrow_mut()
            .connections
            .retain(|c| !c.is_closed.get());
        match ended {
            Err(e) if !e.is_io() && !e.is_remote() => {
                warn!(executor = %self.address, fault = %e, "connection closed: protocol violation by the executor");
            }
            Err(e) => debug!(executor = %self.address, fault = %e, "connection broken"),
            Ok(()) => {}
        }
    }

    async fn handshake(&self) -> io::Result<Handshake> {
        let stream =
            orchidtally_socket_io::connect(self.address, self.limits.connect_timeout).await?;
        let written = stream.bytes_written();
        let mut builder = h2::client::Builder::new();
        builder
            .max_header_list_size(self.limits.max_header_bytes)
            // Until the peer has stated its own limit.
            .initial_max_send_streams(self.limits.max_streams_per_connection)
            .enable_push(false);
        builder
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW);
        let (sender, mut driver) = builder
            .handshake::<_, Bytes>(stream)
            .await
            .map_err(io::Error::other)?;
        let ping = driver.ping_pong();
        Ok(Handshake {
            sender,
            driver,
            written,
            ping,
        })
    }

    /// Fails the waiting dispatches, unless another connection is open.
    fn on_connect_failure(&self, why: &str) {
        debug!(executor = %self.address, why, "connect failed");
        let all_closed = self
            .state
            .borrow()
            .connections
            .iter()
            .all(|c| c.is_closed.get());
        if all_closed {
            self.wake_all(Some(TransportOutcome::NoConnection));
        }
    }
}
