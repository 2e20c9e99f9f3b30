//! Accepts the connections of clients and closes them; the limit on their number.

use super::EventLoop;
use crate::client_connection::{ClientConnection, MAX_OVER_LIMIT, eviction_candidate};
use crate::source::EventSource;
use crate::start::retry_local_failures;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry};
use orchidtally_socket_io::{is_out_of_descriptors, is_out_of_resources};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tracing::debug;

/// Connections accepted within a poll.
const ACCEPTS_PER_POLL: usize = 256;
/// Idle connections considered for an eviction.
const EVICTION_ATTEMPTS: usize = 4;

/// The listener for clients.
pub(super) struct ClientListener {
    /// The socket; `None` once the front end has stopped accepting.
    socket: Option<TcpListener>,
    max_clients: usize,
    /// Connections wait for which there was no descriptor or memory.
    must_retry: bool,
}

impl ClientListener {
    /// Binds and registers the listener.
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

    /// Whether connections wait for which there was no descriptor or memory.
    pub(super) fn must_retry(&self) -> bool {
        self.must_retry
    }

    /// Clients that may be connected.
    #[cfg(test)]
    pub(super) fn max_clients(&self) -> usize {
        self.max_clients
    }

    /// Takes the listener out of the poll, if it is open. It is closed when the caller drops it.
    pub(super) fn take_socket(&mut self, registry: &Registry) -> Option<TcpListener> {
        let mut socket = self.socket.take()?;
        // The process ends anyway.
        let _ = registry.deregister(&mut socket);
        Some(socket)
    }
}

impl EventLoop {
    /// Accepts the clients that wait.
    pub(super) fn accept(&mut self, now: f64) {
        self.listener.must_retry = false;
        let mut has_evicted = false;
        for _ in 0..ACCEPTS_PER_POLL {
            let Some(socket) = &self.listener.socket else {
                return;
            };
            match socket.accept() {
                Ok((stream, _)) => {
                    has_evicted = false;
                    self.add_client(now, stream);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The connection broke before it was accepted, which is reported in many ways.
                Err(error) if !is_out_of_resources(&error) => {}
                Err(error) => {
                    // Without a descriptor an idle connection is evicted. If there is none, or that did not help, accepting
                    // is retried with the next sweep: retrying at once would take the whole core, and evicting on and on
                    // would close every idle client.
                    debug!(%error, "accept failed");
                    let should_evict = is_out_of_descriptors(&error) && !has_evicted;
                    if !should_evict || !self.evict_idle_client(now) {
                        self.listener.must_retry = true;
                        return;
                    }
                    self.counters.evicted += 1;
                    has_evicted = true;
                }
            }
        }
        self.unfinished_reads.push_back(EventSource::Listener);
    }

    fn add_client(&mut self, now: f64, stream: TcpStream) {
        let mut client = ClientConnection::new(stream, now);
        let max_clients = self.listener.max_clients;
        if self.host.clients.len() >= max_clients {
            self.counters.evicted += 1;
            client.is_over_limit = !self.evict_idle_client(now);
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

    /// Closes an idle client in favour of another; returns whether there was one. It is read once more before: bytes
    /// that arrived meanwhile make it busy.
    fn evict_idle_client(&mut self, now: f64) -> bool {
        for _ in 0..EVICTION_ATTEMPTS {
            let connect_timeout = self.settings.connect_timeout;
            let Some(slot) = eviction_candidate(&self.host.clients, now, connect_timeout) else {
                return false;
            };
            self.read_client(now, slot);
            if self
                .host
                .clients
                .get(slot)
                .is_none_or(ClientConnection::is_idle)
            {
                self.close_client(now, slot);
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

    /// Closes a client's connection at once and cancels its open invocations.
    pub(super) fn close_client(&mut self, now: f64, slot: usize) {
        self.cancel_open_invocations(now, slot);
        let Some(mut client) = self.host.clients.try_remove(slot) else {
            return;
        };
        // A socket that is gone already is not registered any more.
        let _ = self.poll.registry().deregister(&mut client.socket.stream);
    }

    /// Closes a client's connection once the client has had time to read what is written to it.
    pub(super) fn close_client_after_flush(&mut self, now: f64, slot: usize) {
        self.cancel_open_invocations(now, slot);
        if let Some(client) = self.host.clients.get_mut(slot) {
            client.begin_close(now);
        }
        self.host.mark_client_dirty(slot);
    }

    /// The slots of all clients.
    pub(super) fn client_slots(&self) -> Vec<usize> {
        self.host.clients.iter().map(|(slot, _)| slot).collect()
    }
}
