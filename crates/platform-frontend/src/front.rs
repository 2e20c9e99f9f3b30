//! The front end's one thread: what is ready is read, told to the engine, and what came of it is written.

use crate::clients::{self, Client};
use crate::connections;
use crate::ending::Reread;
use crate::host_state::HostState;
use crate::log_budget::LogBudget;
use crate::process_clock::ProcessClock;
use crate::roster::Resolver;
use crate::start::{START_PAUSE, START_TRIES, Start};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use orchidtally_engine::evidence::{self, Transport};
use orchidtally_engine::{Counters, Engine};
use orchidtally_platform_client_protocol as frames;
use orchidtally_platform_config::FrontEndSettings;
use orchidtally_platform_discovery::{EndpointView, LocationTable};
use orchidtally_socket_io::is_local_fault;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::collections::VecDeque;
use std::io;
use std::net::Shutdown;
use std::path::PathBuf;
use std::time::Duration;
use tracing::info;

pub const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
pub const RESOLVER: Token = Token(2);
/// How often connections are looked through for what is overdue on them.
const SWEEP: f64 = 0.025;
/// How often the wall clock is followed, and counts are logged.
const UPKEEP: f64 = 1.0;
const REPORT: f64 = 10.0;
/// Bytes read at a time, and times that one connection is read in a turn: the others have their turn then.
const READ: usize = 64 * 1024;
pub const READS: usize = 4;
/// Descriptors for the listener, resolvers asked now and before, signals, logs, the file, the poll itself, and
/// connections over the bound.
const OWN_SOCKETS: usize = 16;

#[derive(Debug, Default)]
pub struct Counts {
    pub accepted: u64,
    pub evicted: u64,
    pub unusable: u64,
    pub turned_away: u64,
    pub unreadable: u64,
    pub connections_made: u64,
    pub connections_lost: u64,
}

pub struct Front {
    pub poll: Poll,
    pub listener: Option<TcpListener>,
    pub resolver: Resolver,
    pub engine: Engine,
    pub host: HostState,
    pub settings: FrontEndSettings,
    pub places: LocationTable,
    pub most_clients: usize,
    pub most_held: usize,
    /// Sources that may have more to read than a turn takes.
    pub again: VecDeque<Token>,
    pub buffer: Box<[u8]>,
    pub counts: Counts,
    /// Connections to executors that ended, when and how, with what is to be judged of them.
    pub severed: VecDeque<(f64, Transport, connections::Connection)>,
    pub close_log: LogBudget,
    /// Connections wait to be accepted for which there was no descriptor.
    pub accept_later: bool,
    pub leaving_since: Option<f64>,
    pub reread: Reread,
    /// Nothing has been open, and nobody has asked, since.
    pub quiet_since: Option<f64>,
    pub file: PathBuf,
    pub sweep_at: f64,
    pub upkeep_at: f64,
    pub report_at: f64,
}

/// Signals from its making on: they wait until the front end serves. One that comes before this would end the
/// process, so it is made before anything is read.
pub struct PendingSignals(Signals);

impl PendingSignals {
    pub fn new() -> io::Result<PendingSignals> {
        persist(|| Signals::new([SIGTERM, SIGINT, SIGHUP])).map(PendingSignals)
    }
}

/// Tries again what fails for want of something on this machine.
fn persist<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let may_pass =
        |fault: &io::Error| is_local_fault(fault) || fault.kind() == io::ErrorKind::AddrInUse;
    for _ in 1..START_TRIES {
        match call() {
            Err(fault) if may_pass(&fault) => std::thread::sleep(START_PAUSE),
            other => return other,
        }
    }
    call()
}

/// Serves until told to end and what was taken is answered.
pub fn run(
    start: Start,
    file: PathBuf,
    PendingSignals(mut signals): PendingSignals,
) -> io::Result<Counters> {
    let poll = persist(Poll::new)?;
    poll.registry()
        .register(&mut signals, SIGNALS, Interest::READABLE)?;
    let mut front = Front::new(start, file, poll)?;
    let mut events = Events::with_capacity(1024);
    loop {
        if front.turn(&mut events, || signals.pending().collect())? {
            let tally = front.engine.counters();
            info!(?tally, "ended");
            return Ok(tally);
        }
    }
}

impl Front {
    pub fn new(start: Start, file: PathBuf, poll: Poll) -> io::Result<Front> {
        let mut listener = persist(|| TcpListener::bind(start.listen))?;
        poll.registry()
            .register(&mut listener, LISTENER, Interest::READABLE)?;
        let mut clock = ProcessClock::new();
        let now = clock.read();
        let view = EndpointView::new(now, start.serial, &start.known);
        let resolver =
            persist(|| Resolver::new(start.resolver, view.clone(), poll.registry(), RESOLVER))?;
        let settings = start.settings;
        // Usual clients hold a third of the descriptors; the rest of their half is for those that misbehave.
        let most_clients = start.sockets / 2;
        let most_connections = start.sockets - most_clients - OWN_SOCKETS;
        let mut host = HostState::new(
            now,
            poll.registry().try_clone()?,
            &settings,
            most_connections,
        );
        host.clock = clock;
        host.view.serial = start.serial;
        let mut engine = Engine::new(
            settings.policy.clone(),
            settings.max_open_invocations,
            start.seed,
            now,
            &mut host,
        );
        // The list of the start is that of this moment, by the platform's page.
        engine.on_view_confirmed(now, now, &mut host);
        let mut front = Front {
            poll,
            listener: Some(listener),
            resolver,
            engine,
            host,
            settings,
            places: start.locations,
            most_clients,
            // Bodies may take a quarter of the memory; the rest is for buffers and tables.
            most_held: start.memory / 4,
            again: VecDeque::new(),
            buffer: vec![0; READ].into(),
            counts: Counts::default(),
            severed: VecDeque::new(),
            close_log: LogBudget::default(),
            accept_later: false,
            leaving_since: None,
            reread: Reread::default(),
            quiet_since: None,
            file,
            sweep_at: now,
            upkeep_at: now + UPKEEP,
            report_at: now + REPORT,
        };
        info!(name = start.name, listen = %start.listen, resolver = %start.resolver,
            executors = start.known.len(), sockets = start.sockets, memory = start.memory, "serving");
        let rows = front.resolver.view().endpoints();
        front.list(now, rows);
        front.settle(now);
        Ok(front)
    }

    /// Waits, and goes through what is ready. Tells whether the front end has ended.
    pub fn turn(
        &mut self,
        events: &mut Events,
        signals: impl FnOnce() -> Vec<i32>,
    ) -> io::Result<bool> {
        self.wait(events)?;
        let now = self.now();
        self.host.release();
        // Answers first: they free places for what clients ask.
        let is_connection = |t: &Token| t.0 >= clients::FIRST_TOKEN && t.0 % 2 == 1;
        let mut tokens: Vec<Token> = events.iter().map(|e| e.token()).collect();
        tokens.sort_by_key(|t| !is_connection(t));
        tokens.extend(self.again.drain(..));
        let mut signals = Some(signals);
        for token in tokens {
            match token {
                LISTENER => self.accept(now),
                RESOLVER => self.resolve(now),
                SIGNALS => {
                    let signals = signals.take().map_or(vec![], |pending| pending());
                    signals
                        .into_iter()
                        .for_each(|signal| self.signalled(now, signal));
                }
                Token(n) if n % 2 == 0 => self.read_client(now, (n - clients::FIRST_TOKEN) / 2),
                Token(n) => _ = self.read_connection(now, (n - clients::FIRST_TOKEN) / 2),
            }
        }
        self.engine.run_due_timers(now, &mut self.host);
        self.keep_house(now);
        self.settle(now);
        Ok(self.is_over(now))
    }

    /// The time. After a standstill nothing is sent until the resolver, which is asked at once, has answered.
    fn now(&mut self) -> f64 {
        self.host.read_clock(&mut self.engine);
        self.note_standstill();
        self.host.now
    }

    fn note_standstill(&mut self) {
        if std::mem::take(&mut self.host.stood_still) {
            self.resolver.ask_anew();
            self.resolver.turn(self.host.now);
        }
    }

    /// Waits for something to be ready or due.
    fn wait(&mut self, events: &mut Events) -> io::Result<()> {
        let now = self.now();
        let severed = self
            .severed
            .front()
            .map_or(f64::INFINITY, |s| s.0 + connections::ALL_RESET);
        let held = if self.host.held.is_empty() {
            f64::INFINITY
        } else {
            now + self.settings.policy.clock_tick
        };
        let due = self
            .engine
            .next_deadline()
            .min(self.resolver.due_at())
            .min(self.sweep_at)
            .min(severed)
            .min(held);
        let left = if self.again.is_empty() {
            (due - now).clamp(0.0, SWEEP)
        } else {
            0.0
        };
        match self.poll.poll(events, Some(Duration::from_secs_f64(left))) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
            other => other,
        }
    }

    fn keep_house(&mut self, now: f64) {
        self.resolver.turn(now);
        self.watch_resolver(now);
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP;
        if now > self.upkeep_at {
            self.upkeep_at = now + UPKEEP;
            self.host.clock.follow_wall();
        }
        if now > self.report_at {
            self.report_at = now + REPORT;
            info!(tally = ?self.engine.counters(), counts = ?self.counts, open = self.engine.open_invocations(), kept = ?self.engine.table_sizes(),
                clients = self.host.clients.len(), connections = self.host.connections.len(), "standing");
        }
        let overdue = |(slot, c): (usize, &Client)| Some((slot, c.overdue(now)?));
        let late: Vec<_> = self.host.clients.iter().filter_map(overdue).collect();
        for (slot, why) in late {
            self.counts.unreadable += 1;
            if let Some(client) = self
                .host
                .clients
                .get_mut(slot)
                .filter(|c| c.socket.waiting() == 0)
            {
                client.answer(0, frames::ERRORED, &[], why.as_bytes());
            }
            self.end_client(now, slot);
        }
        let ended = self
            .host
            .clients
            .iter()
            .filter(|(_, c)| c.has_ended(now))
            .map(|(slot, _)| slot);
        for slot in ended.collect::<Vec<_>>() {
            self.close_client(now, slot);
        }
        if self.accept_later {
            self.accept(now);
        }
        self.host.given_up.retain(|_, until| *until > now);
        let idle_close = self.settings.idle_timeout;
        let overdue = |(slot, l): (usize, &connections::Connection)| {
            Some((slot, l.overdue(now, idle_close)?))
        };
        let late: Vec<_> = self.host.connections.iter().filter_map(overdue).collect();
        for (slot, (seen, why)) in late {
            self.dissolve(now, slot, seen, why);
        }
        let order_time = self.settings.load_command_timeout;
        while let Some((&tag, _)) = self
            .host
            .orders
            .iter()
            .next()
            .filter(|(_, o)| o.begun + order_time <= now)
        {
            self.ordered(now, tag, Transport::TimedOut, 0);
        }
        self.reread(now);
        self.stop_taking(now);
    }

    /// Tells the engine what could not be sent and writes what there is to write, until nothing is left.
    pub fn settle(&mut self, now: f64) {
        loop {
            self.judge_severed(now);
            for (inv, dispatch, why) in std::mem::take(&mut self.host.unsent) {
                let ending = evidence::ending(why);
                self.engine.on_dispatch_result(
                    now,
                    inv,
                    dispatch,
                    ending,
                    orchidtally_engine::NO_METADATA,
                    &mut self.host,
                );
            }
            for (tag, why) in std::mem::take(&mut self.host.undone) {
                self.ordered(now, tag, why, 0);
            }
            for slot in std::mem::take(&mut self.host.dirty_connections) {
                if let Some(connection) = self.host.connections.get_mut(slot) {
                    connection.dirty = false;
                }
                if let Err(fault) = self.host.flush_connection(slot, &mut self.engine)
                    && self.read_connection(now, slot)
                {
                    // What it answered before it broke was read.
                    self.dissolve(now, slot, Transport::Broken, &fault.to_string());
                }
            }
            for (slot, why) in std::mem::take(&mut self.host.cut) {
                if self.host.connections.get(slot).is_some_and(|l| l.is_cut)
                    && self.read_connection(now, slot)
                {
                    self.dissolve(now, slot, Transport::Broken, &why);
                }
            }
            for slot in std::mem::take(&mut self.host.dirty_clients) {
                let Some(client) = self.host.clients.get_mut(slot) else {
                    continue;
                };
                client.dirty = false;
                let flushed = client.socket.flush();
                client.flushed(now);
                if client.full && client.socket.waiting() <= clients::BACKLOG {
                    self.again.push_back(clients::token(slot));
                }
                let written = client.socket.waiting() == 0;
                if let Some(ending) = client.ending.as_mut().filter(|e| written && !e.shut) {
                    ending.shut = true;
                    // One that is gone already needs no word of it.
                    let _ = client.socket.stream.shutdown(Shutdown::Write);
                }
                if flushed.is_err() {
                    self.close_client(now, slot);
                }
            }
            let host = &self.host;
            let more = [
                host.unsent.len(),
                host.undone.len(),
                host.dirty_connections.len(),
                host.dirty_clients.len(),
            ];
            if more == [0; 4] {
                self.note_standstill();
                return;
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/mod.rs"]
mod tests;
