//! The executors that are known, and the pool of connections to them.

use crate::executor_connection::ExecutorConnection;
use crate::source::Source;
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

/// Connections over which the dispatches to one executor are spread, since a connection that breaks takes with it
/// all that is open on it.
pub const SPREAD_CONNECTIONS: usize = 4;
/// Connections kept to one executor at least: if one breaks and another stands, the executor's process did not end.
pub const MIN_CONNECTIONS: usize = 2;

/// An executor as it is reached.
pub struct Executor {
    /// Its name on the endpoint list.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// The slots of the connections to it.
    pub connections: Vec<usize>,
    /// It is on the current endpoint list.
    pub is_listed: bool,
    /// The shortest time in seconds in which a connection to it was made: no less than a message takes to arrive.
    pub min_connect_time: f64,
}

impl Executor {
    /// An executor of the current endpoint list, without connections.
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

/// The executors and the connections to them, bounded in number.
pub struct ExecutorPool {
    registry: Registry,
    executors: BTreeMap<ExecutorId, Executor>,
    connections: Slab<ExecutorConnection>,
    /// Connections with something to write.
    dirty: Vec<usize>,
    max_connections: usize,
    max_streams: usize,
    connect_timeout: f64,
    idle_timeout: f64,
}

impl ExecutorPool {
    /// An empty pool that holds so many connections at most.
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

    /// A known executor.
    pub fn executor(&self, id: ExecutorId) -> Option<&Executor> {
        self.executors.get(&id)
    }

    /// A known executor, to be changed.
    pub fn executor_mut(&mut self, id: ExecutorId) -> Option<&mut Executor> {
        self.executors.get_mut(&id)
    }

    /// Adds an executor.
    #[cfg(test)]
    pub fn add_executor(&mut self, id: ExecutorId, executor: Executor) {
        self.executors.insert(id, executor);
    }

    /// The name of a known executor.
    pub fn executor_name(&self, id: ExecutorId) -> Option<&str> {
        self.executors
            .get(&id)
            .map(|executor| executor.name.as_str())
    }

    /// The connection in a slot.
    pub fn connection(&self, slot: usize) -> Option<&ExecutorConnection> {
        self.connections.get(slot)
    }

    /// The connection in a slot, to be changed.
    pub fn connection_mut(&mut self, slot: usize) -> Option<&mut ExecutorConnection> {
        self.connections.get_mut(slot)
    }

    /// All connections with their slots.
    pub fn connections(&self) -> impl Iterator<Item = (usize, &ExecutorConnection)> {
        self.connections.iter()
    }

    /// The number of connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Notes that a connection has something to write.
    pub fn mark_dirty(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        if !std::mem::replace(&mut connection.is_dirty, true) {
            self.dirty.push(slot);
        }
    }

    /// Takes the slots of the connections with something to write; they stay marked.
    pub fn take_dirty(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.dirty)
    }

    /// Whether any connection has something to write.
    pub fn has_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// The connection for a command to an executor, under an id if it has one: the preferred one that stands, unless
    /// the executor has too few; else one that is being made.
    ///
    /// # Errors
    /// Why there is none, as evidence for the engine.
    pub fn connection_for(
        &mut self,
        now: f64,
        to: ExecutorId,
        id: &str,
    ) -> Result<usize, TransportOutcome> {
        let executor = self
            .executors
            .get(&to)
            .ok_or(TransportOutcome::NoConnection)?;
        let best = executor
            .connections
            .iter()
            .copied()
            .filter(|&slot| {
                self.connections[slot].can_carry(id, self.max_streams, now, self.idle_timeout)
            })
            .min_by_key(|&slot| self.connections[slot].preference());
        let active = executor
            .connections
            .iter()
            .filter(|&&slot| !self.connections[slot].is_retired)
            .count();
        let wanted = match best {
            Some(best) if self.connections[best].is_idle() => MIN_CONNECTIONS,
            Some(_) => SPREAD_CONNECTIONS,
            None => usize::MAX,
        };
        let share = (self.max_connections / self.executors.len().max(1)).max(1);
        let may_open = active < wanted && executor.connections.len() < share;
        let has_room = may_open
            && (self.connections.len() < self.max_connections
                || best.is_none() && self.evict_idle_connection());
        let opened = has_room.then(|| self.open_connection(now, to));
        match (best, opened) {
            (Some(best), _) => Ok(best),
            (None, Some(opened)) => opened,
            (None, None) => Err(TransportOutcome::Saturated),
        }
    }

    /// Closes the connection that was idle for longest; returns whether there was one.
    ///
    /// Failure mode: with more executors than descriptors, those without a connection never get one.
    /// Risk: a handshake for each dispatch.
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
        // A socket that is gone already is not registered any more.
        let _ = self.registry.deregister(&mut connection.socket.stream);
        true
    }

    /// Removes a connection from the pool. It stays registered with the poll.
    pub fn remove_connection(&mut self, slot: usize) -> Option<ExecutorConnection> {
        let connection = self.connections.try_remove(slot)?;
        if let Some(executor) = self.executors.get_mut(&connection.to) {
            executor.connections.retain(|&other| other != slot);
        }
        Some(connection)
    }

    fn open_connection(&mut self, now: f64, to: ExecutorId) -> Result<usize, TransportOutcome> {
        let executor = self
            .executors
            .get_mut(&to)
            .ok_or(TransportOutcome::NoConnection)?;
        let mut stream =
            TcpStream::connect(executor.address).map_err(|error| connect_evidence(&error))?;
        let slot = self.connections.vacant_key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.registry
            .register(&mut stream, Source::Executor(slot).token(), interest)
            .map_err(|_| TransportOutcome::NoLocalResource)?;
        self.connections.insert(ExecutorConnection::new(
            to,
            stream,
            now,
            self.connect_timeout,
        ));
        executor.connections.push(slot);
        Ok(slot)
    }

    /// Whether a connection to an executor stands whose attempt began before a moment.
    pub fn has_connection_begun_before(&self, to: ExecutorId, moment: f64) -> bool {
        let Some(executor) = self.executors.get(&to) else {
            return false;
        };
        executor.connections.iter().any(|&slot| {
            let connection = &self.connections[slot];
            connection.is_connected && connection.begun_at < moment
        })
    }

    /// Takes over a whole endpoint list. Connections to an executor that moved, or is not on the list, take nothing
    /// new: what is queued on them is sent over another connection, or fails.
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

    /// Forgets executors that are not listed and have no connection left.
    pub fn forget_unlisted(&mut self) {
        self.executors
            .retain(|_, executor| executor.is_listed || !executor.connections.is_empty());
    }

    /// Forgets an executor if it is not listed and has no connection left.
    pub fn forget_if_unlisted(&mut self, id: ExecutorId) {
        let is_gone = self
            .executors
            .get(&id)
            .is_some_and(|executor| !executor.is_listed && executor.connections.is_empty());
        if is_gone {
            self.executors.remove(&id);
        }
    }
}

/// What a failed connection attempt is evidence of.
pub fn connect_evidence(error: &std::io::Error) -> TransportOutcome {
    if is_local_error(error) {
        TransportOutcome::NoLocalResource
    } else {
        TransportOutcome::NoConnection
    }
}
