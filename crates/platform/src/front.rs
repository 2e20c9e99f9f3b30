//! The front end's one thread: what is ready is read, told to the engine, and what came of it is written.

use crate::clients::{self, Client};
use crate::floor::Floor;
use crate::links::{self, Executor};
use crate::roster::Resolver;
use crate::start::{self, Start};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use orchidtally::interface::*;
use orchidtally_engine::clock::Clock;
use orchidtally_engine::evidence::{self, Transport};
use orchidtally_engine::{Engine, Tally};
use orchidtally_frames as frames;
use orchidtally_resolver::{Entry, Places};
use orchidtally_terms::Grounds;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

pub const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const RESOLVER: Token = Token(2);
/// How often connections are looked through for what is overdue on them.
const SWEEP: f64 = 0.025;
/// How often the wall clock is followed, and counts are logged.
const UPKEEP: f64 = 1.0;
const REPORT: f64 = 10.0;
/// After SIGTERM clients go on coming for up to 0.6 s; then they are told to come no more. What comes later than 0.7 s
/// has to be answered before the process is killed, which may be 0.7 s after the longest client timeout: from then
/// on nothing is taken, and it is throttled at once.
const SERVE_ON: f64 = 0.65;
/// So long clients have to read their last answers before the process ends, and so long it waits after what a
/// client sent in spite of having been told; for the longest client timeout at the most.
const LAST_WORDS: f64 = 0.1;
/// Bytes read at a time, and times that one connection is read in a turn: the others have their turn then.
const READ: usize = 64 * 1024;
pub const READS: usize = 4;
/// Descriptors for the listener, the resolver, signals, logs and the poll itself.
const OWN_SOCKETS: usize = 16;

fn wall() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

#[derive(Debug, Default)]
pub struct Counts {
    pub accepted: u64,
    pub evicted: u64,
    pub unusable: u64,
    pub turned_away: u64,
    pub unreadable: u64,
    pub links_made: u64,
    pub links_lost: u64,
}

pub struct Front {
    pub poll: Poll,
    pub listener: Option<TcpListener>,
    pub resolver: Resolver,
    pub engine: Engine,
    pub floor: Floor,
    pub grounds: Grounds,
    pub places: Places,
    pub clock: Clock,
    pub began: Instant,
    pub most_clients: usize,
    pub most_held: usize,
    /// Sources that may have more to read than a turn takes.
    pub again: VecDeque<Token>,
    pub buffer: Box<[u8]>,
    pub counts: Counts,
    /// Connections to executors that ended, when and how, with what is to be judged of them.
    pub severed: VecDeque<(f64, Transport, links::Link)>,
    pub leaving_since: Option<f64>,
    /// Nothing has been open, and nobody has asked, since.
    pub quiet_since: Option<f64>,
    pub file: PathBuf,
    pub sweep_at: f64,
    pub upkeep_at: f64,
    pub report_at: f64,
}

/// Signals from its making on: they wait until the front end serves. One that comes before this would end the
/// process, so it is made before anything is read.
pub struct Waiting(Signals);

impl Waiting {
    pub fn new() -> io::Result<Waiting> {
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map(Waiting)
    }
}

/// Serves until told to end and what was taken is answered.
pub fn run(start: Start, file: PathBuf, Waiting(mut signals): Waiting) -> io::Result<Tally> {
    let poll = Poll::new()?;
    poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
    let mut front = Front::new(start, file, poll)?;
    let mut events = Events::with_capacity(1024);
    loop {
        front.wait(&mut events)?;
        let now = front.now();
        front.floor.now = now;
        front.floor.release();
        // Answers first: they free places for what clients ask.
        let links = events.iter().filter(|e| e.token().0 >= clients::FIRST_TOKEN && e.token().0 % 2 == 1);
        let mut tokens: Vec<Token> = links.map(|e| e.token()).collect();
        tokens
            .extend(events.iter().map(|e| e.token()).filter(|t| t.0 < clients::FIRST_TOKEN || t.0 % 2 == 0));
        for _ in 0..front.again.len() {
            tokens.extend(front.again.pop_front());
        }
        for token in tokens {
            match token {
                LISTENER => front.accept(now),
                RESOLVER => front.resolve(now),
                SIGNALS => {
                    for signal in signals.pending() {
                        front.signalled(now, signal);
                    }
                }
                Token(n) if n % 2 == 0 => front.read_client(now, (n - clients::FIRST_TOKEN) / 2),
                Token(n) => front.read_link(now, (n - clients::FIRST_TOKEN) / 2),
            }
        }
        front.engine.turn(now, &mut front.floor);
        front.keep_house(now);
        front.settle(now);
        if front.is_over(now) {
            let tally = front.engine.tally();
            info!(?tally, "ended");
            return Ok(tally);
        }
    }
}

impl Front {
    fn new(start: Start, file: PathBuf, poll: Poll) -> io::Result<Front> {
        let mut listener = TcpListener::bind(start.listen)?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let resolver = Resolver::new(start.resolver, start.serial, poll.registry(), RESOLVER)?;
        let grounds = start.grounds;
        let began = Instant::now();
        let mut clock = Clock::new(0.0, wall());
        let now = clock.read(0.0);
        // Usual clients hold a third of the descriptors; the rest of their half is for those that misbehave.
        let most_clients = start.sockets / 2;
        let most_links = start.sockets - most_clients - OWN_SOCKETS;
        let mut floor = Floor::new(now, poll.registry().try_clone()?, &grounds, most_links);
        let engine = Engine::new(grounds.terms.clone(), grounds.most_open, start.seed, now, &mut floor);
        let mut front = Front {
            poll,
            listener: Some(listener),
            resolver,
            engine,
            floor,
            grounds,
            places: start.places,
            clock,
            began,
            most_clients,
            // Bodies may take a quarter of the memory; the rest is for buffers and tables.
            most_held: start.memory / 4,
            again: VecDeque::new(),
            buffer: vec![0; READ].into(),
            counts: Counts::default(),
            severed: VecDeque::new(),
            leaving_since: None,
            quiet_since: None,
            file,
            sweep_at: now,
            upkeep_at: now + UPKEEP,
            report_at: now + REPORT,
        };
        info!(name = start.name, listen = %start.listen, resolver = %start.resolver,
            executors = start.known.len(), sockets = start.sockets, memory = start.memory, "serving");
        front.list(now, start.known);
        front.settle(now);
        Ok(front)
    }

    fn now(&mut self) -> f64 {
        self.clock.read(self.began.elapsed().as_secs_f64())
    }

    /// Waits for something to be ready or due.
    fn wait(&mut self, events: &mut Events) -> io::Result<()> {
        let now = self.now();
        let severed = self.severed.front().map_or(f64::INFINITY, |s| s.0 + links::ALL_RESET);
        let held = if self.floor.held.is_empty() { f64::INFINITY } else { now + self.grounds.terms.tick };
        let due = self.engine.due_at().min(self.resolver.due_at()).min(self.sweep_at).min(severed).min(held);
        let left = if self.again.is_empty() { (due - now).clamp(0.0, SWEEP) } else { 0.0 };
        match self.poll.poll(events, Some(Duration::from_secs_f64(left))) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
            other => other,
        }
    }

    fn signalled(&mut self, now: f64, signal: i32) {
        if signal != SIGHUP {
            info!(signal, "told to end");
            self.leaving_since.get_or_insert(now);
            return;
        }
        match start::read(&self.file) {
            Err(fault) => warn!(fault, "the new file can't be used; the old one stays"),
            Ok(new) if new.resolver == self.resolver.at() => info!("the new file names the same resolver"),
            Ok(new) => match self.resolver.turn_to(new.resolver, self.poll.registry(), RESOLVER) {
                Ok(()) => info!(resolver = %new.resolver, "asks another resolver"),
                Err(fault) => warn!(%fault, resolver = %new.resolver, "the resolver can't be asked"),
            },
        }
    }

    fn resolve(&mut self, now: f64) {
        let (named, left_out) = (self.places.named(), self.places.left_out);
        if let Some(entries) = self.resolver.read(now, &mut self.places) {
            self.list(now, entries);
        }
        if named != self.places.named() || left_out != self.places.left_out {
            let ((locations, kinds), left_out) = (self.places.named(), self.places.left_out);
            warn!(locations, kinds, left_out, "lists name locations or kinds that the settings don't");
        }
    }

    /// A whole list of executors: what is not in it is gone.
    fn list(&mut self, now: f64, entries: Vec<Entry>) {
        self.floor.executors.values_mut().for_each(|e| e.listed = false);
        let rows: Vec<RosterRow> = entries.iter().map(|e| e.row.clone()).collect();
        for entry in entries {
            let known = self.floor.executors.entry(entry.row.executor).or_insert_with(|| Executor {
                name: entry.name,
                address: entry.address,
                links: vec![],
                listed: true,
            });
            known.listed = true;
            if known.address != entry.address {
                known.address = entry.address;
                known.links.iter().for_each(|&l| self.floor.links[l].retired = true);
            }
        }
        for executor in self.floor.executors.values().filter(|e| !e.listed) {
            info!(executor = executor.name, "gone");
            executor.links.iter().for_each(|&l| self.floor.links[l].retired = true);
        }
        let ready = rows.iter().filter(|r| r.standing == Standing::Ready).count();
        info!(executors = rows.len(), ready, "the roster");
        self.engine.roster(now, RosterKind::Full, &rows, &mut self.floor);
        self.floor.executors.retain(|_, e| e.listed || !e.links.is_empty());
    }

    fn keep_house(&mut self, now: f64) {
        self.resolver.turn(now);
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP;
        if now > self.upkeep_at {
            self.upkeep_at = now + UPKEEP;
            self.clock.anchor(self.began.elapsed().as_secs_f64(), wall());
        }
        if now > self.report_at {
            self.report_at = now + REPORT;
            info!(tally = ?self.engine.tally(), counts = ?self.counts, open = self.engine.open(), kept = ?self.engine.kept(),
                clients = self.floor.clients.len(), links = self.floor.links.len(), "standing");
        }
        let overdue = |(slot, c): (usize, &Client)| Some((slot, c.overdue(now)?));
        let late: Vec<_> = self.floor.clients.iter().filter_map(overdue).collect();
        for (slot, why) in late {
            self.counts.unreadable += 1;
            if let Some(client) = self.floor.clients.get_mut(slot).filter(|c| c.socket.waiting() == 0) {
                client.answer(0, frames::ERRORED, &[], why.as_bytes());
                // What the kernel does not take at once is not waited for.
                let _ = client.socket.flush();
            }
            self.close_client(now, slot);
        }
        let idle_close = self.grounds.idle_close;
        let overdue = |(slot, l): (usize, &links::Link)| Some((slot, l.overdue(now, idle_close)?));
        let late: Vec<_> = self.floor.links.iter().filter_map(overdue).collect();
        for (slot, (seen, why)) in late {
            self.dissolve(now, slot, seen, why);
        }
        let order_time = self.grounds.order_time;
        while let Some((&tag, _)) =
            self.floor.orders.iter().next().filter(|(_, o)| o.begun + order_time <= now)
        {
            self.ordered(now, tag, Transport::TimedOut, 0);
        }
        if self.leaving_since.is_some_and(|since| now > since + SERVE_ON) && self.listener.is_some() {
            // Who waits to be accepted is told with the others.
            self.accept(now);
            let Some(mut listener) = self.listener.take() else { return };
            let _ = self.poll.registry().deregister(&mut listener);
            self.engine.leave();
            info!(open = self.engine.open(), clients = self.floor.clients.len(), "nothing new is taken");
            let all: Vec<usize> = self.floor.clients.iter().map(|(slot, _)| slot).collect();
            for slot in all {
                frames::put(self.floor.clients[slot].socket.out(), frames::NO_MORE, 0, None, None, &[]);
                self.floor.touch_client(slot);
            }
        }
    }

    /// Tells the engine what could not be sent and writes what there is to write, until nothing is left.
    fn settle(&mut self, now: f64) {
        loop {
            self.judge_severed(now);
            for (inv, dispatch, why) in std::mem::take(&mut self.floor.unsent) {
                let ending = evidence::ending(why);
                self.engine.ended(
                    now,
                    inv,
                    dispatch,
                    ending,
                    orchidtally_engine::NOTHING_TOLD,
                    &mut self.floor,
                );
            }
            for (tag, why) in std::mem::take(&mut self.floor.undone) {
                self.ordered(now, tag, why, 0);
            }
            for slot in std::mem::take(&mut self.floor.dirty_links) {
                if let Some(link) = self.floor.links.get_mut(slot) {
                    link.dirty = false;
                }
                if let Err(fault) = self.floor.flush_link(slot) {
                    self.dissolve(now, slot, Transport::Broken, &fault.to_string());
                }
            }
            for (slot, why) in std::mem::take(&mut self.floor.cut) {
                if self.floor.links.get(slot).is_some_and(|l| l.is_cut) {
                    self.dissolve(now, slot, Transport::Broken, &why);
                }
            }
            for slot in std::mem::take(&mut self.floor.dirty_clients) {
                let Some(client) = self.floor.clients.get_mut(slot) else { continue };
                client.dirty = false;
                let flushed = client.socket.flush();
                client.flushed(now);
                if client.full && client.socket.waiting() <= clients::BACKLOG {
                    self.again.push_back(clients::token(slot));
                }
                if flushed.is_err() || client.ending && client.socket.waiting() == 0 {
                    self.close_client(now, slot);
                }
            }
            let floor = &self.floor;
            let more =
                [floor.unsent.len(), floor.undone.len(), floor.dirty_links.len(), floor.dirty_clients.len()];
            if more == [0; 4] {
                return;
            }
        }
    }

    /// Told to end, nothing open, and clients had the time to read.
    fn is_over(&mut self, now: f64) -> bool {
        let written = || self.floor.clients.iter().all(|(_, c)| c.socket.waiting() == 0);
        if self.listener.is_some() || self.engine.open() > 0 || !written() {
            self.quiet_since = None;
            return false;
        }
        let longest = self.grounds.terms.trigger_types.iter().map(|t| t.timeout).fold(0.0, f64::max);
        let kept_up = self.leaving_since.is_some_and(|since| now > since + SERVE_ON + longest);
        kept_up || now > *self.quiet_since.get_or_insert(now) + LAST_WORDS
    }
}
