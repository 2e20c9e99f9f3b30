//! The known executors and the pool of connections to them.

use crate::executor_connection::ExecutorConnection;
use crate::source::EventSource;
use mio::net::TcpStream;
use mio::{Interest, Registry};
use orchidtally_dispatch_policy::interface::ExecutorId;
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_platform_config::FrontEndSettings;
use orchidtally_platform_discovery::DiscoveredEndpoint;
use orchidtally_socket_io::is_local_error;
use slab::Slab;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tracing::info;

/// Connections over which the dispatches to one executor are spread, since a broken connection fails every dispatch
/// that is in flight on it.
pub const TARGET_CONNECTIONS_PER_EXECUTOR: usize = 4;
/// The smallest number of connections to keep to an executor. If one breaks while another stays open, the executor's
/// process is still running.
pub const MIN_CONNECTIONS_PER_EXECUTOR: usize = 2;

/// The address of an executor and the connections to it.
pub struct Executor {
    /// The name on the endpoint list.
    pub name: String,
    /// The current address.
    pub address: SocketAddr,
    /// The slots of the connections to it.
    pub connections: Vec<usize>,
    /// The executor is on the current endpoint list.
    pub is_listed: bool,
    /// The shortest time in seconds in which a connection was established: an upper bound on the transit time of a
    /// message. Infinity before the first connection.
    pub min_connect_time: f64,
}

impl Executor {
    /// Creates a listed executor without connections.
    pub fn new(name: String, address: SocketAddr) -> Executor {
        Executor {
            name,
            address,
            connections: vec![],
            is_listed: true,
            min_connect_time: f64::INFINITY,
        }
    }
}

/// The executors and a bounded number of connections to them.
pub struct ExecutorPool {
    registry: Registry,
    executors: BTreeMap<ExecutorId, Executor>,
    connections: Slab<ExecutorConnection>,
    /// The slots of connections with output to flush.
    dirty: Vec<usize>,
    max_connections: usize,
    max_streams: usize,
    connect_timeout: f64,
    idle_timeout: f64,
}

impl ExecutorPool {
    /// Creates an empty pool of at most `max_connections` connections.
    pub fn new(
        registry: Registry,
        settings: &FrontEndSettings,
        max_connections: usize,
    ) -> ExecutorPool {
        ExecutorPool {
            registry,
            executors: BTreeMap::new(),
            connections: Slab::new(),
            dirty: vec![],
            max_connections,
            max_streams: settings.max_streams_per_connection,
            connect_timeout: settings.connect_timeout,
            idle_timeout: settings.idle_timeout,
        }
    }

    /// Whether no executor is known.
    pub fn has_no_executors(&self) -> bool {
        self.executors.is_empty()
    }

    /// Returns an executor, if it is known.
    pub fn executor(&self, id: ExecutorId) -> Option<&Executor> {
        self.executors.get(&id)
    }

    /// Returns a mutable reference to an executor, if it is known.
    pub fn executor_mut(&mut self, id: ExecutorId) -> Option<&mut Executor> {
        self.executors.get_mut(&id)
    }

    /// Adds an executor.
    #[cfg(test)]
    pub fn add_executor(&mut self, id: ExecutorId, executor: Executor) {
        self.executors.insert(id, executor);
    }

    /// Returns the name of an executor, if it is known.
    pub fn executor_name(&self, id: ExecutorId) -> Option<&str> {
        self.executors
            .get(&id)
            .map(|executor| executor.name.as_str())
    }

    /// Returns the connection in a slot, if there is one.
    pub fn connection(&self, slot: usize) -> Option<&ExecutorConnection> {
        self.connections.get(slot)
    }

    /// Returns a mutable reference to the connection in a slot, if there is one.
    pub fn connection_mut(&mut self, slot: usize) -> Option<&mut ExecutorConnection> {
        self.connections.get_mut(slot)
    }

    /// Iterates over all connections with their slots.
    pub fn connections(&self) -> impl Iterator<Item = (usize, &ExecutorConnection)> {
        self.connections.iter()
    }

    /// The number of connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Adds a connection to the list of those with output to flush.
    pub fn mark_dirty(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        if !std::mem::replace(&mut connection.is_dirty, true) {
            self.dirty.push(slot);
        }
    }

    /// Takes the list of connections with output to flush. Their `is_dirty` flags stay set until the caller clears
    /// them.
    pub fn take_dirty(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.dirty)
    }

    /// Whether any connection has output to flush.
    pub fn has_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Returns the slot of the connection for a command to an executor. `id` is the id on the wire, or empty for a
    /// command other than a dispatch.
    ///
    /// This is the preferred connection that accepts the command, else a new one. A new connection is also opened for
    /// later commands if the executor has fewer than its target number.
    ///
    /// # Errors
    /// Why there is no connection, as evidence for the engine.
    pub fn connection_for(
        &mut self,
        now: f64,
        executor_id: ExecutorId,
        id: &str,
    ) -> Result<usize, TransportOutcome> {
        let executor = self
            .executors
            .get(&executor_id)
            .ok_or(TransportOutcome::NoConnection)?;
        let best = executor
            .connections
            .iter()
            .copied()
            .filter(|&slot| {
                self.connections[slot].can_accept(id, self.max_streams, now, self.idle_timeout)
            })
            .min_by_key(|&slot| self.connections[slot].preference());
        let active = executor
            .connections
            .iter()
            .filter(|&&slot| !self.connections[slot].is_retired)
            .count();
        let target = match best {
            Some(best) if self.connections[best].is_idle() => MIN_CONNECTIONS_PER_EXECUTOR,
            Some(_) => TARGET_CONNECTIONS_PER_EXECUTOR,
            None => usize::MAX,
        };
        let max_for_executor = (self.max_connections / self.executors.len().max(1)).max(1);
        let may_open = active < target && executor.connections.len() < max_for_executor;
        let has_capacity = may_open
            && (self.connections.len() < self.max_connections
                || best.is_none() && self.evict_idle_connection());
        let opened = has_capacity.then(|| self.open_connection(now, executor_id));
        match (best, opened) {
            (Some(best), _) => Ok(best),
            (None, Some(opened)) => opened,
            (None, None) => Err(TransportOutcome::Saturated),
        }
    }

    /// Closes the connection that has been idle for the longest time, and returns whether there was one.
    ///
    /// Failure mode: with more executors than descriptors, executors without a connection would never get one.
    /// Risk: every dispatch may need a new handshake.
    fn evict_idle_connection(&mut self) -> bool {
        let longest_idle = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_connected && connection.is_idle())
            .min_by(|(_, a), (_, b)| a.idle_since.total_cmp(&b.idle_since))
            .map(|(slot, _)| slot);
        let Some(mut connection) = longest_idle.and_then(|slot| self.remove_connection(slot))
        else {
            return false;
        };
        // Deregistering fails only if the socket is not registered, which is the desired state.
        let _ = self.registry.deregister(&mut connection.socket.stream);
        true
    }

    /// Removes and returns a connection. The caller has to deregister its socket from the poll.
    pub fn remove_connection(&mut self, slot: usize) -> Option<ExecutorConnection> {
        let connection = self.connections.try_remove(slot)?;
        if let Some(executor) = self.executors.get_mut(&connection.executor_id) {
            executor.connections.retain(|&other| other != slot);
        }
        Some(connection)
    }

    fn open_connection(
        &mut self,
        now: f64,
        executor_id: ExecutorId,
    ) -> Result<usize, TransportOutcome> {
        let executor = self
            .executors
            .get_mut(&executor_id)
            .ok_or(TransportOutcome::NoConnection)?;
        let mut stream =
            TcpStream::connect(executor.address).map_err(|error| connect_evidence(&error))?;
        let slot = self.connections.vacant_key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.registry
            .register(&mut stream, EventSource::Executor(slot).token(), interest)
            .map_err(|_| TransportOutcome::NoLocalResource)?;
        self.connections.insert(ExecutorConnection::new(
            executor_id,
            stream,
            now,
            self.connect_timeout,
        ));
        executor.connections.push(slot);
        Ok(slot)
    }

    /// Whether an established connection to an executor exists whose attempt began before `moment`, in seconds.
    pub fn has_connection_started_before(&self, executor_id: ExecutorId, moment: f64) -> bool {
        let Some(executor) = self.executors.get(&executor_id) else {
            return false;
        };
        executor.connections.iter().any(|&slot| {
            let connection = &self.connections[slot];
            connection.is_connected && connection.connect_started_at < moment
        })
    }

    /// Applies a complete endpoint list.
    ///
    /// Connections to an executor that moved or is not on the list are retired. Commands queued on them are sent over
    /// another connection or reported as unsent.
    pub fn apply_endpoint_list(&mut self, endpoints: Vec<DiscoveredEndpoint>) {
        for executor in self.executors.values_mut() {
            executor.is_listed = false;
        }
        let mut outdated: Vec<usize> = vec![];
        for discovered in endpoints {
            let executor = self
                .executors
                .entry(discovered.endpoint.executor)
                .or_insert_with(|| Executor::new(discovered.name, discovered.address));
            executor.is_listed = true;
            if executor.address != discovered.address {
                executor.address = discovered.address;
                outdated.extend(&executor.connections);
            }
        }
        for executor in self.executors.values().filter(|e| !e.is_listed) {
            info!(
                executor = executor.name,
                "executor removed from the endpoint list"
            );
            outdated.extend(&executor.connections);
        }
        for slot in outdated {
            self.connections[slot].is_retired = true;
            self.mark_dirty(slot);
        }
    }

    /// Removes the executors that are not listed and have no connections.
    pub fn remove_unlisted(&mut self) {
        self.executors
            .retain(|_, executor| executor.is_listed || !executor.connections.is_empty());
    }

    /// Removes an executor if it is not listed and has no connections.
    pub fn remove_if_unlisted(&mut self, id: ExecutorId) {
        let is_unused = self
            .executors
            .get(&id)
            .is_some_and(|executor| !executor.is_listed && executor.connections.is_empty());
        if is_unused {
            self.executors.remove(&id);
        }
    }
}

/// Returns the evidence from a failed connection attempt: a local fault says nothing about the executor.
pub fn connect_evidence(error: &std::io::Error) -> TransportOutcome {
    if is_local_error(error) {
        TransportOutcome::NoLocalResource
    } else {
        TransportOutcome::NoConnection
    }
}
