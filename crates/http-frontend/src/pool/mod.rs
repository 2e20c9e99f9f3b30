//! Connections to one executor: opened on demand, up to a limit, shared by many dispatches, and closed when idle. The
//! end of a stream is reported as the transport observed it; `orchidtally_engine::transport_outcome` derives from that
//! whether a request may have run.

mod connection;
mod exchange;
mod incoming;
mod opening;

pub use connection::Pinger;
pub use incoming::Incoming;

use async_executor::LocalExecutor;
use connection::Connection;
use futures_channel::oneshot;
use orchidtally_engine::transport_outcome::TransportOutcome;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// Limits of the connections to one executor.
#[derive(Clone, Copy)]
pub struct ConnectionLimits {
    /// Streams that one connection carries at a time.
    pub max_streams_per_connection: usize,
    /// Connections that are open or being opened at a time.
    pub connections: usize,
    /// The timeout of a connect with its handshake, and of the wait for a stream.
    pub connect_timeout: Duration,
    /// A connection without streams is closed after this time.
    pub idle_timeout: Duration,
    /// The longest list of response headers, in bytes; messages and payloads have limits of their own.
    pub max_header_bytes: u32,
}

#[derive(Default)]
struct PoolState {
    connections: Vec<Rc<Connection>>,
    connecting: usize,
    /// Tasks that wait for a stream. Each is woken to try again, or gets the reason why no stream is available.
    waiters: VecDeque<oneshot::Sender<Option<TransportOutcome>>>,
}

/// The connections to one executor.
pub struct Pool {
    address: SocketAddr,
    limits: ConnectionLimits,
    spawner: Weak<LocalExecutor<'static>>,
    state: RefCell<PoolState>,
}

/// A reserved stream on a connection, released when dropped.
struct StreamLease {
    pool: Rc<Pool>,
    connection: Rc<Connection>,
}

impl Drop for StreamLease {
    fn drop(&mut self) {
        let connection = &self.connection;
        connection
            .open_streams
            .set(connection.open_streams.get() - 1);
        connection.idle_since.set(Instant::now());
        self.pool.wake_one();
    }
}

impl Pool {
    pub fn new(
        address: SocketAddr,
        limits: ConnectionLimits,
        spawner: Weak<LocalExecutor<'static>>,
    ) -> Rc<Pool> {
        Rc::new(Pool {
            address,
            limits,
            spawner,
            state: RefCell::default(),
        })
    }

    /// Closes idle connections; returns whether the pool is empty and unused.
    pub fn close_idle_connections(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let is_idle = |connection: &Rc<Connection>| {
            connection.open_streams.get() == 0
                && connection.idle_since.get().elapsed() >= self.limits.idle_timeout
        };
        state
            .connections
            .retain(|connection| !connection.is_closed.get() && !is_idle(connection));
        state.connections.is_empty() && state.connecting == 0 && state.waiters.is_empty()
    }

    fn wake_one(&self) {
        let mut state = self.state.borrow_mut();
        while let Some(waiter) = state.waiters.pop_front() {
            if waiter.send(None).is_ok() {
                return;
            }
        }
    }

    fn wake_all(&self, why: Option<TransportOutcome>) {
        let waiters = std::mem::take(&mut self.state.borrow_mut().waiters);
        for waiter in waiters {
            // The waiter may have been cancelled.
            let _ = waiter.send(why);
        }
    }

    fn try_acquire_stream(self: &Rc<Self>) -> Option<StreamLease> {
        let state = self.state.borrow();
        let has_free_stream = |connection: &&Rc<Connection>| {
            let peer_limit = connection.sender.current_max_send_streams();
            let capacity = self.limits.max_streams_per_connection.min(peer_limit);
            !connection.is_closed.get() && connection.open_streams.get() < capacity
        };
        let connection = state.connections.iter().find(has_free_stream)?.clone();
        connection
            .open_streams
            .set(connection.open_streams.get() + 1);
        Some(StreamLease {
            pool: self.clone(),
            connection,
        })
    }

    async fn acquire_stream(
        self: &Rc<Self>,
        deadline: Instant,
    ) -> Result<StreamLease, TransportOutcome> {
        loop {
            while let Some(lease) = self.try_acquire_stream() {
                // A connection that the peer is closing accepts no new stream.
                if lease.connection.sender.clone().ready().await.is_ok() {
                    return Ok(lease);
                }
                lease.connection.is_closed.set(true);
            }
            let (wake, woken) = oneshot::channel();
            let opens_connection = {
                let mut state = self.state.borrow_mut();
                state
                    .connections
                    .retain(|connection| !connection.is_closed.get());
                state.waiters.push_back(wake);
                let expected_streams = state.connecting * self.limits.max_streams_per_connection;
                let open = state.connections.len() + state.connecting;
                let opens_connection =
                    open < self.limits.connections && state.waiters.len() > expected_streams;
                state.connecting += usize::from(opens_connection);
                opens_connection
            };
            if opens_connection {
                let Some(spawner) = self.spawner.upgrade() else {
                    return Err(TransportOutcome::NoConnection);
                };
                // The connect runs in a task of its own, so that it continues if the dispatch that needs it is
                // cancelled.
                spawner.spawn(self.clone().open()).detach();
            }
            let time_left = deadline.saturating_duration_since(Instant::now());
            match orchidtally_socket_io::with_timeout(time_left, woken).await {
                Some(Ok(None)) => {}
                Some(Ok(Some(why))) => return Err(why),
                Some(Err(_)) | None => {
                    let connecting = self.state.borrow().connecting > 0;
                    return Err(if connecting {
                        TransportOutcome::NoConnection
                    } else {
                        TransportOutcome::Saturated
                    });
                }
            }
        }
    }
}
