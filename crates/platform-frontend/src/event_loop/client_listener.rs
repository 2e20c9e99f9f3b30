//! Accepts and closes client connections, and limits their number.

use super::EventLoop;
use crate::client_connection::{ClientConnection, CloseCause, MAX_OVER_LIMIT, eviction_candidate};
use crate::source::EventSource;
use crate::start::retry_local_failures;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry};
use orchidtally_socket_io::{is_out_of_descriptors, is_out_of_resources};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tracing::{debug, info};

/// The largest number of connections accepted per poll.
const ACCEPTS_PER_POLL: usize = 256;
/// The largest number of connections per poll that are accepted in place of another.
///
/// Failure mode: clients that connect again as soon as they are closed keep a poll busy, and the connected clients wait.
/// Risk: new connections wait in the backlog.
const EVICTIONS_PER_POLL: usize = 16;
/// The largest number of idle connections considered per eviction.
const EVICTION_ATTEMPTS: usize = 4;

/// The listening socket for clients.
pub(super) struct ClientListener {
    /// The socket; `None` once the front end has stopped accepting.
    socket: Option<TcpListener>,
    max_clients: usize,
    /// Connections wait in the backlog because a descriptor or memory was missing.
    must_retry: bool,
}

impl ClientListener {
    /// Binds the socket and registers it with the poll.
    ///
    /// # Errors
    /// The address can't be bound, also after retries, or the socket can't be registered.
    pub(super) fn bind(
        address: SocketAddr,
        registry: &Registry,
        max_clients: usize,
    ) -> io::Result<ClientListener> {
        let mut socket = retry_local_failures(|| TcpListener::bind(address))?;
        registry.register(
            &mut socket,
            EventSource::Listener.token(),
            Interest::READABLE,
        )?;
        Ok(ClientListener {
            socket: Some(socket),
            max_clients,
            must_retry: false,
        })
    }

    /// Whether connections are accepted.
    pub(super) fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// Whether accepting has to be retried because a descriptor or memory was missing.
    pub(super) fn must_retry(&self) -> bool {
        self.must_retry
    }

    /// The largest number of connected clients.
    #[cfg(test)]
    pub(super) fn max_clients(&self) -> usize {
        self.max_clients
    }

    /// Deregisters and returns the socket, if it is open. Dropping it closes it.
    pub(super) fn take_socket(&mut self, registry: &Registry) -> Option<TcpListener> {
        let mut socket = self.socket.take()?;
        // A failure is harmless, since the caller closes the socket.
        let _ = registry.deregister(&mut socket);
        Some(socket)
    }
}

impl EventLoop {
    /// Accepts connections that wait in the backlog, as many as one poll allows.
    pub(super) fn accept(&mut self, now: f64) {
        self.accept_with_evictions(now, EVICTIONS_PER_POLL);
    }

    /// Accepts all connections that wait in the backlog: one call accepts at least as many as it holds.
    pub(super) fn accept_backlog(&mut self, now: f64) {
        self.accept_with_evictions(now, ACCEPTS_PER_POLL);
    }

    fn accept_with_evictions(&mut self, now: f64, max_evictions: usize) {
        self.listener.must_retry = false;
        let mut has_evicted = false;
        let evicted_before = self.counters.evicted;
        for _ in 0..ACCEPTS_PER_POLL {
            if self.counters.evicted >= evicted_before + max_evictions as u64 {
                break;
            }
            let Some(socket) = &self.listener.socket else {
                return;
            };
            match socket.accept() {
                Ok((stream, _)) => {
                    has_evicted = false;
                    self.add_client(now, stream);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The connection broke before it was accepted, for which there are many error codes.
                Err(error) if !is_out_of_resources(&error) => {}
                Err(error) => {
                    // Without a free descriptor, an idle connection is evicted. If there is none, or the eviction did
                    // not help, accepting is retried in the next sweep: an immediate retry would use a whole core, and
                    // repeated evictions would close every idle client.
                    debug!(%error, "accept failed");
                    let should_evict = is_out_of_descriptors(&error) && !has_evicted;
                    if !should_evict || !self.evict_client(now) {
                        self.listener.must_retry = true;
                        return;
                    }
                    self.counters.evicted += 1;
                    has_evicted = true;
                }
            }
        }
        self.queue_source(EventSource::Listener, now);
    }

    fn add_client(&mut self, now: f64, stream: TcpStream) {
        let mut client = ClientConnection::new(stream, now);
        let max_clients = self.listener.max_clients;
        if self.host.clients.len() >= max_clients {
            self.counters.evicted += 1;
            client.is_over_limit = !self.evict_client(now);
            if client.is_over_limit && self.host.clients.len() >= max_clients + MAX_OVER_LIMIT {
                return;
            }
        }
        self.counters.accepted += 1;
        let token = EventSource::Client(self.host.clients.vacant_key()).token();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self
            .poll
            .registry()
            .register(&mut client.socket.stream, token, interest);
        if registered.is_ok() {
            self.host.clients.insert(client);
        }
    }

    /// Closes an evictable client in favor of a new one, and returns whether there was one. A candidate that sent
    /// nothing invalid is read once more first: if an invocation has arrived meanwhile, another candidate is tried.
    fn evict_client(&mut self, now: f64) -> bool {
        for _ in 0..EVICTION_ATTEMPTS {
            let connect_timeout = self.settings.connect_timeout;
            let Some(slot) = eviction_candidate(&self.host.clients, now, connect_timeout) else {
                return false;
            };
            if !self.host.clients[slot].sends_invalid {
                self.read_client(now, slot, now);
            }
            if self
                .host
                .clients
                .get(slot)
                .is_none_or(ClientConnection::is_evictable)
            {
                self.close_client(now, slot, CloseCause::Evicted);
                return true;
            }
        }
        false
    }

    /// Cancels every open invocation of a client.
    fn cancel_open_invocations(&mut self, now: f64, slot: usize) {
        let Some(client) = self.host.clients.get_mut(slot) else {
            return;
        };
        for invocation in std::mem::take(&mut client.open_invocations).into_values() {
            self.host.remove_invocation(invocation);
            self.engine
                .on_client_cancel(now, invocation, &mut self.host);
        }
    }

    /// Closes a client connection at once and cancels its open invocations.
    pub(super) fn close_client(&mut self, now: f64, slot: usize, cause: CloseCause) {
        self.log_close(now, slot, cause);
        self.cancel_open_invocations(now, slot);
        let Some(mut client) = self.host.clients.try_remove(slot) else {
            return;
        };
        // Deregistering fails only if the socket is not registered, which is the desired state.
        let _ = self.poll.registry().deregister(&mut client.socket.stream);
    }

    /// Cancels the open invocations of a client, and closes its connection once the output is written and the client
    /// has had time to read it.
    pub(super) fn close_client_after_flush(&mut self, now: f64, slot: usize, cause: CloseCause) {
        self.log_close(now, slot, cause);
        self.cancel_open_invocations(now, slot);
        if let Some(client) = self.host.clients.get_mut(slot) {
            client.begin_close(now);
        }
        self.host.mark_client_dirty(slot);
    }

    /// Logs why a connection is closed, unless its close is routine or was logged when it began.
    fn log_close(&mut self, now: f64, slot: usize, cause: CloseCause) {
        let Some(client) = self.host.clients.get(slot) else {
            return;
        };
        let is_routine = cause == CloseCause::Ended && client.is_idle();
        if is_routine || client.closing.is_some() {
            return;
        }
        let Some(suppressed) = self.close_log_limiter.try_acquire(now) else {
            return;
        };
        info!(
            client = slot,
            ?cause,
            open = client.open_invocations.len(),
            pending = client.pending.len(),
            held_input = client.held_input_bytes(),
            held_output = client.held_output_bytes(),
            suppressed,
            "client connection closed"
        );
    }

    /// The slots of all clients.
    pub(super) fn client_slots(&self) -> Vec<usize> {
        self.host.clients.iter().map(|(slot, _)| slot).collect()
    }
}
