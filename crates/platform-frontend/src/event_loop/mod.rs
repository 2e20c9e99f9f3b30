//! The event loop of the front end: it holds the parts and fixes the order of work within a poll.
//!
//! Each submodule has a part with its own state, and the steps of the loop in which that part leads.

mod client_listener;
mod client_requests;
mod endpoint_discovery;
mod executor_responses;
mod graceful_shutdown;
mod lost_connections;
mod maintenance;
mod output;
mod settings_reload;

use crate::engine_host::EngineHost;
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
use settings_reload::SettingsReload;
use signal_hook::consts::SIGHUP;
use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tracing::info;

/// Bytes that are read at a time.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Times that one connection is read within a poll; then the others have their turn.
const MAX_READS_PER_POLL: usize = 4;
/// Events that one poll returns at most.
const EVENTS_PER_POLL: usize = 1024;
/// Descriptors for the listener, the sockets of present and previous resolvers, signals, logs, the settings file, the
/// poll itself, and connections over the limit.
const RESERVED_DESCRIPTORS: usize = 16;

/// What happened on the connections since the start, for the log.
#[derive(Debug, Default)]
struct ConnectionCounters {
    /// Clients that were accepted.
    accepted: u64,
    /// Clients that were closed in favour of others.
    evicted: u64,
    /// Invocations that failed a check.
    invalid: u64,
    /// Invocations that were answered as throttled at once.
    rejected: u64,
    /// Clients closed for unreadable bytes or a timeout.
    protocol_errors: u64,
    /// Connections to executors that were established.
    executor_connections_made: u64,
    /// Connections to executors that were lost while in use.
    executor_connections_lost: u64,
}

/// The front end's only thread.
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
    /// Bytes of request bodies that may be held.
    max_body_bytes: usize,
    /// Sources that may have more to read than one poll reads.
    unfinished_reads: VecDeque<EventSource>,
    read_buffer: Box<[u8]>,
    counters: ConnectionCounters,
}

/// Serves until a termination signal has arrived and every admitted invocation is answered; returns the engine's
/// counters.
///
/// `file` is read again at SIGHUP for another resolver.
///
/// # Errors
/// The poll, the listener or the resolver's socket could not be set up, or the poll failed.
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
        // Usual clients hold a third of the descriptors; the rest of their half is for those that misbehave.
        let max_clients = start.max_descriptors / 2;
        let max_executor_connections = start.max_descriptors - max_clients - RESERVED_DESCRIPTORS;
        let listener = ClientListener::bind(start.listen, poll.registry(), max_clients)?;
        let mut clock = ProcessClock::new();
        let now = clock.read();
        let view = EndpointView::new(now, start.initial_serial, &start.initial_endpoints);
        let discovery =
            EndpointDiscovery::new(start.resolver, view, start.locations, poll.registry())?;
        let settings = start.settings;
        let mut host = EngineHost::new(
            now,
            poll.registry().try_clone()?,
            &settings,
            max_executor_connections,
        );
        host.set_clock(clock);
        host.set_view(crate::engine_host::ViewVersion {
            serial: start.initial_serial,
            fresh_at: now,
        });
        let mut engine = Engine::new(
            settings.policy.clone(),
            settings.max_open_invocations,
            start.seed,
            now,
            &mut host,
        );
        // The protocol defines that the list of the start is that of this moment.
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
            // Bodies may take a quarter of the memory; the rest is for buffers and tables.
            max_body_bytes: start.memory_bytes / 4,
            unfinished_reads: VecDeque::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES].into(),
            counters: ConnectionCounters::default(),
        };
        info!(name = start.name, listen = %start.listen, resolver = %start.resolver,
            executors = start.initial_endpoints.len(), sockets = start.max_descriptors,
            memory = start.memory_bytes, "serving");
        let endpoints = event_loop.discovery.endpoints();
        event_loop.apply_endpoint_list(now, endpoints);
        event_loop.flush_all(now);
        Ok(event_loop)
    }

    /// Waits, and handles what is ready or due. Returns whether the front end is finished.
    fn poll_once(
        &mut self,
        events: &mut Events,
        take_signals: impl FnOnce() -> Vec<i32>,
    ) -> io::Result<bool> {
        self.wait(events)?;
        let now = self.read_clock();
        self.host.send_due_dispatches();
        let mut take_signals = Some(take_signals);
        for source in self.ready_sources(events) {
            match source {
                EventSource::Listener => self.accept(now),
                EventSource::Resolver => self.read_resolver(now),
                EventSource::Signals => {
                    let signals = take_signals.take().map_or(vec![], |take| take());
                    for signal in signals {
                        self.handle_signal(now, signal);
                    }
                }
                EventSource::Client(slot) => self.read_client(now, slot),
                EventSource::Executor(slot) => _ = self.read_executor(now, slot),
            }
        }
        self.engine.run_due_timers(now, &mut self.host);
        self.run_maintenance(now);
        self.flush_all(now);
        Ok(self.is_finished(now))
    }

    /// The sources of the events, and those with unfinished reads. Executors come first: their answers free capacity
    /// for the requests of clients.
    fn ready_sources(&mut self, events: &Events) -> Vec<EventSource> {
        let mut sources: Vec<EventSource> = events
            .iter()
            .map(|event| EventSource::from_token(event.token()))
            .collect();
        sources.sort_by_key(|source| !matches!(source, EventSource::Executor(_)));
        sources.extend(self.unfinished_reads.drain(..));
        sources
    }

    /// Reads the clock. After a process stall nothing is sent until the resolver, which is queried at once, has
    /// answered.
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

    /// Waits until something is ready or due.
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
        let timeout = if self.unfinished_reads.is_empty() {
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

    /// Begins the shutdown, or at SIGHUP the reload of the settings file.
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
