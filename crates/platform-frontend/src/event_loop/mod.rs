//! The event loop of the front end. It owns the components and defines the order of work within a poll.
//!
//! Each submodule holds one component's state and the steps of the event loop that belong to it.

mod client_listener;
mod client_requests;
mod endpoint_discovery;
mod executor_responses;
mod graceful_shutdown;
mod lost_connections;
mod maintenance;
mod memory_pressure;
mod output;
mod ready_queue;
mod settings_reload;

use crate::client_connection::CloseCause;
use crate::engine_host::EngineHost;
use crate::executed_ids::ExecutedIds;
use crate::log_rate_limiter::LogRateLimiter;
use crate::memory_budget::{self, MemoryBudget};
use crate::process_clock::ProcessClock;
use crate::signals::PendingSignals;
use crate::source::EventSource;
use crate::start::{StartConfig, retry_local_failures};
use client_listener::ClientListener;
use endpoint_discovery::EndpointDiscovery;
use graceful_shutdown::GracefulShutdown;
use lost_connections::LostConnections;
use maintenance::{MaintenanceSchedule, SWEEP_INTERVAL};
use mio::{Events, Poll};
use orchidtally_engine::{Counters, Engine};
use orchidtally_platform_config::FrontEndSettings;
use orchidtally_platform_discovery::EndpointView;
use ready_queue::ReadyQueue;
use settings_reload::SettingsReload;
use signal_hook::consts::SIGHUP;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tracing::info;

/// Size of the buffer for one read, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Reads from one executor connection per poll, so that a busy connection doesn't starve the others.
const MAX_READS_PER_POLL: usize = 4;
/// Seconds that a poll spends on clients at the most, so that executors and timers don't wait for a crowd of clients.
const CLIENT_TIME_PER_POLL: f64 = 0.005;
/// The largest number of events that one poll returns.
const EVENTS_PER_POLL: usize = 1024;
/// File descriptors reserved for the listener, the sockets of the current and previous resolvers, the signal pipe, log
/// output, the start file, the poll itself, and client connections above the limit.
const RESERVED_DESCRIPTORS: usize = 16;

/// Counters since the start of the process, for the status log.
#[derive(Debug, Default)]
struct ConnectionCounters {
    /// Client connections that were accepted.
    accepted: u64,
    /// Idle client connections that were closed in favor of new ones, and attempts at the connection limit that found
    /// none to close.
    evicted: u64,
    /// Invocations that were rejected as invalid.
    invalid: u64,
    /// Invocations that were throttled without being admitted.
    rejected: u64,
    /// Client connections that were closed because of a protocol error or a timeout.
    protocol_errors: u64,
    /// Connections of clients and executors that were closed because a share of the memory was exceeded.
    out_of_memory: u64,
    /// Executor connections that were established.
    executor_connections_made: u64,
    /// Executor connections that were lost while in use.
    executor_connections_lost: u64,
}

/// The state of the front end's only thread.
struct EventLoop {
    poll: Poll,
    engine: Engine,
    host: EngineHost,
    listener: ClientListener,
    discovery: EndpointDiscovery,
    lost_connections: LostConnections,
    shutdown: GracefulShutdown,
    reload: SettingsReload,
    maintenance: MaintenanceSchedule,
    settings: FrontEndSettings,
    /// The memory limit of the process, in bytes.
    memory_bytes: usize,
    memory_budget: MemoryBudget,
    /// Clients that have input to handle.
    ready_clients: ReadyQueue,
    /// Other sources that have input to handle.
    ready_sources: ReadyQueue,
    read_buffer: Box<[u8]>,
    counters: ConnectionCounters,
    close_log_limiter: LogRateLimiter,
    rejection_log_limiter: LogRateLimiter,
}

/// Serves clients until a termination signal arrives and the graceful shutdown completes. Returns the engine's
/// counters.
///
/// On SIGHUP, `file` is read again for the resolver's address.
///
/// # Errors
/// The poll, the listener or the resolver's socket can't be set up, or polling fails.
pub fn run(start: StartConfig, file: PathBuf, mut signals: PendingSignals) -> io::Result<Counters> {
    let poll = retry_local_failures(Poll::new)?;
    signals.register(poll.registry(), EventSource::Signals.token())?;
    let mut event_loop = EventLoop::new(start, file, poll)?;
    let mut events = Events::with_capacity(EVENTS_PER_POLL);
    loop {
        let is_finished = event_loop.poll_once(&mut events, || signals.take())?;
        if is_finished {
            let counters = event_loop.engine.counters();
            info!(?counters, "front end stopped");
            return Ok(counters);
        }
    }
}

impl EventLoop {
    fn new(start: StartConfig, file: PathBuf, poll: Poll) -> io::Result<EventLoop> {
        // Well-behaved clients use about a third of the descriptors. The rest of the clients' half absorbs misbehaving
        // ones.
        let max_clients = start.max_descriptors / 2;
        let max_executor_connections = start.max_descriptors - max_clients - RESERVED_DESCRIPTORS;
        let listener = ClientListener::bind(start.listen, poll.registry(), max_clients)?;
        let mut clock = ProcessClock::new();
        let now = clock.read();
        let view = EndpointView::new(now, &start.initial_list);
        let discovery =
            EndpointDiscovery::new(start.resolver, view, start.locations, poll.registry())?;
        let settings = start.settings;
        let mut host = EngineHost::new(
            now,
            poll.registry().try_clone()?,
            &settings,
            max_executor_connections,
            ExecutedIds::new(memory_budget::executed_id_bytes(start.memory_bytes)),
        );
        host.set_clock(clock);
        host.set_view(crate::engine_host::ViewVersion {
            serial: start.initial_list.serial,
            fresh_at: now,
        });
        let mut engine = Engine::new(
            settings.policy.clone(),
            settings.max_open_invocations,
            start.seed,
            now,
            &mut host,
        );
        // The platform defines the initial endpoint list as valid at the time of the start.
        engine.on_view_confirmed(now, now, &mut host);
        let mut event_loop = EventLoop {
            poll,
            engine,
            host,
            listener,
            discovery,
            lost_connections: LostConnections::default(),
            shutdown: GracefulShutdown::new(&settings.policy.trigger_types),
            reload: SettingsReload::new(file),
            maintenance: MaintenanceSchedule::new(now),
            settings,
            memory_bytes: start.memory_bytes,
            memory_budget: MemoryBudget::new(start.memory_bytes),
            ready_clients: ReadyQueue::default(),
            ready_sources: ReadyQueue::default(),
            read_buffer: vec![0; READ_BUFFER_BYTES].into(),
            counters: ConnectionCounters::default(),
            close_log_limiter: LogRateLimiter::default(),
            rejection_log_limiter: LogRateLimiter::default(),
        };
        info!(name = start.name, listen = %start.listen, resolver = %start.resolver,
            executors = start.initial_list.endpoints.len(),
            withdrawn = start.initial_list.withdrawn.len(), sockets = start.max_descriptors,
            memory = start.memory_bytes, "serving");
        let endpoints = event_loop.discovery.endpoints();
        event_loop.apply_endpoint_list(now, endpoints);
        event_loop.flush_all(now);
        Ok(event_loop)
    }

    /// Waits for events, and handles those and all work that is due. Returns whether the shutdown is complete.
    fn poll_once(
        &mut self,
        events: &mut Events,
        take_signals: impl FnOnce() -> Vec<i32>,
    ) -> io::Result<bool> {
        self.wait(events)?;
        let now = self.read_clock();
        self.host.send_due_dispatches();
        self.queue_ready_sources(events, now);
        self.handle_ready_sources(now, take_signals);
        self.read_ready_clients();
        let now = self.read_clock();
        self.engine.run_due_timers(now, &mut self.host);
        self.run_maintenance(now);
        self.flush_all(now);
        Ok(self.is_finished(now))
    }

    /// Queues the sources of the events. Executors come first, because their responses free capacity for client
    /// requests. A client that has closed its connection is closed at once.
    ///
    /// Failure mode: requests that wait unread, ahead of the end of their connection, are dispatched although nobody
    /// waits for them.
    fn queue_ready_sources(&mut self, events: &Events, now: f64) {
        for event in events.iter().filter(|event| event.is_read_closed()) {
            if let EventSource::Client(slot) = EventSource::from_token(event.token()) {
                self.close_client(now, slot, CloseCause::Ended);
            }
        }
        let mut sources: Vec<EventSource> = events
            .iter()
            .map(|event| EventSource::from_token(event.token()))
            .collect();
        sources.sort_by_key(|source| !matches!(source, EventSource::Executor(_)));
        for source in sources {
            self.queue_source(source, now);
        }
    }

    /// Queues a source that has input to handle.
    fn queue_source(&mut self, source: EventSource, now: f64) {
        match source {
            EventSource::Client(_) => self.ready_clients.push(source, now),
            _ => self.ready_sources.push(source, now),
        }
    }

    /// Handles the input of each queued source except clients.
    fn handle_ready_sources(&mut self, now: f64, take_signals: impl FnOnce() -> Vec<i32>) {
        let mut take_signals = Some(take_signals);
        for _ in 0..self.ready_sources.len() {
            let Some(ready) = self.ready_sources.pop() else {
                return;
            };
            match ready.source {
                EventSource::Listener => self.accept(now),
                EventSource::Resolver => self.read_resolver(now),
                EventSource::Signals => {
                    let signals = take_signals.take().map_or(vec![], |take| take());
                    for signal in signals {
                        self.handle_signal(now, signal);
                    }
                }
                EventSource::Client(slot) => self.read_client(now, slot, ready.since),
                EventSource::Executor(slot) => {
                    self.read_executor(now, slot);
                    self.relieve_memory(now);
                }
            }
        }
    }

    /// Gives each queued client a turn, until all had one or the time for clients is used up.
    fn read_ready_clients(&mut self) {
        let started_at = self.read_clock();
        for _ in 0..self.ready_clients.len() {
            let now = self.read_clock();
            if now > started_at + CLIENT_TIME_PER_POLL {
                return;
            }
            if let Some(ready) = self.ready_clients.pop()
                && let EventSource::Client(slot) = ready.source
            {
                self.read_client(now, slot, ready.since);
            }
        }
    }

    /// Reads the clock. If it shows a process stall, the engine is notified, so that it dispatches nothing on a stale
    /// endpoint list until the resolver has answered, and the resolver is queried at once.
    fn read_clock(&mut self) -> f64 {
        self.host.read_clock(&mut self.engine);
        self.query_resolver_after_stall();
        self.host.now()
    }

    fn query_resolver_after_stall(&mut self) {
        if self.host.take_stall() {
            self.discovery.query_after_stall(self.host.now());
        }
    }

    /// Waits until a source is ready or work is due.
    fn wait(&mut self, events: &mut Events) -> io::Result<()> {
        let now = self.read_clock();
        let delayed_dispatches_at = if self.host.has_delayed_dispatches() {
            now + self.settings.policy.clock_tick
        } else {
            f64::INFINITY
        };
        let due_at = self
            .engine
            .next_deadline()
            .min(self.discovery.next_query_at())
            .min(self.maintenance.next_sweep_at())
            .min(self.lost_connections.next_report_at())
            .min(delayed_dispatches_at);
        let timeout = if self.ready_clients.is_empty() && self.ready_sources.is_empty() {
            (due_at - now).clamp(0.0, SWEEP_INTERVAL)
        } else {
            0.0
        };
        match self
            .poll
            .poll(events, Some(Duration::from_secs_f64(timeout)))
        {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            other => other,
        }
    }

    /// Starts the reload of the start file on SIGHUP, and the graceful shutdown on any other signal.
    fn handle_signal(&mut self, now: f64, signal: i32) {
        if signal == SIGHUP {
            self.reload.begin(now);
            self.reload_settings(now);
        } else {
            info!(signal, "termination signal received, draining");
            self.shutdown.start(now);
        }
    }
}

#[cfg(test)]
#[path = "../tests/mod.rs"]
mod tests;
