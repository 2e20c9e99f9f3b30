//! The front end's one thread: what is ready is read, told to the engine, and what came of it is written.

use crate::clients::{self, Client};
use crate::floor::{Floor, ORDER, Work};
use crate::links::{self, Executor};
use crate::roster::Resolver;
use crate::start::{self, Start};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use orchidtally::interface::*;
use orchidtally_engine::clock::Clock;
use orchidtally_engine::evidence::{self, Transport};
use orchidtally_engine::{Engine, Offer, Refused, Tally, Told};
use orchidtally_frames as frames;
use orchidtally_lines::{Answer, Tell, Word};
use orchidtally_net::turn::Brought;
use orchidtally_resolver::{Entry, Places};
use orchidtally_terms::Grounds;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, info, warn};

const LISTENER: Token = Token(0);
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
const READS: usize = 4;
/// Connections accepted in a turn.
const ACCEPTS: usize = 256;
/// Descriptors for the listener, the resolver, signals, logs and the poll itself.
const OWN_SOCKETS: usize = 16;
/// The longest that a client may say it waits: a day would only hold a place.
const LONGEST_ALLOW_MS: f64 = 600_000.0;
/// A token's length at the most.
const LONGEST_TOKEN: usize = 256;

fn wall() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

#[derive(Debug, Default)]
struct Counts {
    accepted: u64,
    evicted: u64,
    unusable: u64,
    turned_away: u64,
    unreadable: u64,
    links_made: u64,
    links_lost: u64,
}

/// Invocations that were read and not yet taken: the stream, and the payload where it is not too long.
type Fresh = Vec<(u32, Option<Vec<u8>>)>;

struct Front {
    poll: Poll,
    listener: Option<TcpListener>,
    resolver: Resolver,
    engine: Engine,
    floor: Floor,
    grounds: Grounds,
    places: Places,
    clock: Clock,
    began: Instant,
    most_clients: usize,
    most_held: usize,
    /// Sources that may have more to read than a turn takes.
    again: VecDeque<Token>,
    buffer: Box<[u8]>,
    counts: Counts,
    /// Connections to executors that ended, when and how, with what is to be judged of them.
    severed: VecDeque<(f64, Transport, links::Link)>,
    leaving_since: Option<f64>,
    /// Nothing has been open, and nobody has asked, since.
    quiet_since: Option<f64>,
    file: PathBuf,
    sweep_at: f64,
    upkeep_at: f64,
    report_at: f64,
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

/// What the module is told of an answer's ending.
fn ending(word: Word) -> Transport {
    match word {
        Word::Done => Transport::Answered(Ending::Ok),
        Word::Lack => Transport::Answered(Ending::Miss),
        Word::Wait => Transport::Answered(Ending::Full),
        Word::Broke => Transport::Answered(Ending::Error),
        Word::Past => Transport::Answered(Ending::NeverSent),
        // No answer to a dispatch or an order.
        Word::Fit | Word::Unfit => Transport::Malformed,
    }
}

fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// A figure of a client: a number within bounds.
fn figure(text: &str, least: f64, most: f64) -> Option<f64> {
    text.parse::<f64>().ok().filter(|n| (least..=most).contains(n))
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

    fn accept(&mut self, now: f64) {
        for _ in 0..ACCEPTS {
            let Some(listener) = &self.listener else { return };
            let mut stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(fault) => {
                    // A connection that broke before it was taken, or no descriptor: the next turn tries again.
                    debug!(%fault, "accepting");
                    break;
                }
            };
            if self.floor.clients.len() >= self.most_clients {
                self.counts.evicted += 1;
                match clients::least_missed(&self.floor.clients, now, self.grounds.connect_time) {
                    Some(slot) => self.close_client(now, slot),
                    None => continue,
                }
            }
            self.counts.accepted += 1;
            let token = clients::token(self.floor.clients.vacant_key());
            let both = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut stream, token, both).is_ok() {
                self.floor.clients.insert(Client::new(stream, now));
            }
        }
        self.again.push_back(LISTENER);
    }

    /// Closes a client's connection; what it has open nobody waits for any more.
    fn close_client(&mut self, now: f64, slot: usize) {
        let Some(mut client) = self.floor.clients.try_remove(slot) else { return };
        // One whose socket is gone already needs no more.
        let _ = self.poll.registry().deregister(&mut client.socket.stream);
        for inv in client.open.into_values() {
            self.floor.drop_work(inv);
            self.engine.withdrawn(now, inv, &mut self.floor);
        }
    }

    fn read_client(&mut self, now: f64, slot: usize) {
        let mut fresh = vec![];
        self.read_frames(now, slot, &mut fresh);
        if self.floor.clients.get(slot).is_none_or(|c| c.ending) {
            return;
        }
        for (stream, payload) in fresh {
            self.invoke(now, slot, stream, payload.as_deref());
        }
    }

    /// Reads what there is. Invocations are taken after that, but for those that were withdrawn by then:
    /// guards against clients that take back hundreds at once, each of which would have had its placement.
    fn read_frames(&mut self, now: f64, slot: usize, fresh: &mut Fresh) {
        for _ in 0..READS {
            let Some(client) = self.floor.clients.get_mut(slot) else { return };
            if client.ending {
                return;
            }
            client.full = client.socket.waiting() > clients::BACKLOG;
            if client.full {
                return self.floor.touch_client(slot);
            }
            let brought = client.socket.read(&mut self.buffer);
            match brought {
                Ok(Brought::Nothing) => {
                    if client.socket.waiting() > 0 {
                        self.floor.touch_client(slot);
                    }
                    return;
                }
                Ok(Brought::Bytes(n)) => {
                    client.decoder.push(&self.buffer[..n]);
                    if let Err(fault) = self.frames(now, slot, fresh) {
                        self.counts.unreadable += 1;
                        if let Some(client) = self.floor.clients.get_mut(slot) {
                            client.answer(0, frames::ERRORED, &[], fault.0.as_bytes());
                            client.ending = true;
                        }
                        return self.floor.touch_client(slot);
                    }
                }
                Ok(Brought::End) | Err(_) => return self.close_client(now, slot),
            }
        }
        self.again.push_back(clients::token(slot));
    }

    fn frames(&mut self, now: f64, slot: usize, fresh: &mut Fresh) -> Result<(), frames::Unreadable> {
        let mut whole = false;
        loop {
            let Some(client) = self.floor.clients.get_mut(slot) else { return Ok(()) };
            let Some(frame) = client.decoder.read()? else { break };
            whole = true;
            let stream = frame.stream;
            match frame.kind {
                frames::INVOKE => {
                    if stream <= client.last_stream {
                        return Err(frames::Unreadable("a stream's number was used before"));
                    }
                    client.last_stream = stream;
                    fresh.push((stream, frame.payload.map(<[u8]>::to_vec)));
                }
                frames::WITHDRAW => {
                    fresh.retain(|f| f.0 != stream);
                    if let Some(&inv) = client.open.get(&stream) {
                        self.floor.drop_work(inv);
                        self.engine.withdrawn(now, inv, &mut self.floor);
                    }
                }
                frames::ASK_READY => {
                    let ready = self.leaving_since.is_none() && !self.floor.executors.is_empty();
                    let code = if ready { frames::IS_READY } else { frames::NOT_READY };
                    frames::put(client.socket.out(), frames::READY, stream, Some(code), Some(&[]), &[]);
                    self.floor.touch_client(slot);
                }
                _ => return Err(frames::Unreadable("a frame of a type that clients don't send")),
            }
        }
        if let Some(client) = self.floor.clients.get_mut(slot) {
            client.heard(now, whole);
        }
        Ok(())
    }

    /// Takes an invocation, or answers why not.
    fn invoke(&mut self, now: f64, slot: usize, stream: u32, payload: Option<&[u8]>) {
        let read = payload.ok_or("the frame is too long for an invocation");
        let (code, cooldown, why) = match read.and_then(|p| self.offer(now, slot, stream, p)) {
            Err(why) => {
                self.counts.unusable += 1;
                (frames::ERRORED, 0.0, why)
            }
            Ok((offer, work)) => {
                let full = self.floor.clients.get(slot).is_none_or(|c| c.open.len() >= clients::MOST_OPEN)
                    || self.floor.kept + work.body.len() > self.most_held;
                let taken = if full {
                    Err(Refused::Full)
                } else {
                    self.floor.taking = Some(work);
                    self.engine.take(now, &offer, &mut self.floor)
                };
                self.floor.taking = None;
                match taken {
                    Ok(_) => return,
                    Err(Refused::Full) => {
                        (frames::THROTTLED, self.floor.longest_stay_away, "too much is open")
                    }
                    Err(Refused::Leaving) => {
                        self.quiet_since = None;
                        (frames::THROTTLED, 0.0, "the front end is ending")
                    }
                }
            }
        };
        debug!(why, "not taken");
        self.counts.turned_away += u64::from(code == frames::THROTTLED);
        let ms = format!("{}", (cooldown * 1e3).ceil());
        let fields = [("cooldown", ms.as_str())];
        if let Some(client) = self.floor.clients.get_mut(slot) {
            client.answer(stream, code, if cooldown > 0.0 { &fields } else { &[] }, why.as_bytes());
        }
        self.floor.touch_client(slot);
    }

    /// What a client asks, checked; or what is wrong with it.
    fn offer(
        &self,
        now: f64,
        client: usize,
        stream: u32,
        payload: &[u8],
    ) -> Result<(Offer, Work), &'static str> {
        let (fields, body) = frames::fields(payload).map_err(|e| e.0)?;
        if body.len() > frames::LONGEST_BODY {
            return Err("the body is over 16 KiB");
        }
        let field = |name: &str| fields.iter().find(|f| f.0 == name).map(|f| f.1);
        let service = field("service").ok_or("no 'service'")?;
        let trigger_type = self.grounds.trigger_types.iter().position(|t| t == service);
        let trigger_type = trigger_type.ok_or("'service' names nothing that is served")?;
        let ty = &self.grounds.terms.trigger_types[trigger_type];
        let id = field("ref").filter(|id| hex(id).is_some()).ok_or("'ref' is not 16 hex digits")?;
        if self.floor.ids.contains(id) {
            return Err("'ref' is that of an open invocation");
        }
        let function_text = field("lookup").ok_or("no 'lookup'")?;
        let function = hex(function_text).ok_or("'lookup' is not 16 hex digits")?;
        let allow = field("allow").and_then(|a| figure(a, 1.0, LONGEST_ALLOW_MS));
        let allow = allow.ok_or("'allow' is no number of milliseconds that can be waited")?;
        let repeat = match field("dup") {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err("'dup' is neither 1 nor absent"),
        };
        let token = field("replay");
        if token.is_some_and(|t| t.is_empty() || t.len() > LONGEST_TOKEN) {
            return Err("'replay' is empty or too long");
        }
        if token.is_none() && ty.effect == Effect::Tokened {
            return Err("no 'replay', which this 'service' needs");
        }
        let (mut lanes, mut load_time) = (1.0, None);
        for tag in field("tags").unwrap_or_default().split(';').filter(|t| !t.is_empty()) {
            let (name, value) = tag.split_once(':').ok_or("'tags' has no form that can be read")?;
            match name {
                "memory_mb" => _ = figure(value, 0.0, 1e7).ok_or("'memory_mb' is out of range")?,
                "lanes" => lanes = figure(value, 1.0, 1e4).ok_or("'lanes' is out of range")?,
                "load_ms" => {
                    load_time = Some(figure(value, 0.0, 3.6e6).ok_or("'load_ms' is out of range")? / 1e3)
                }
                _ => {}
            }
        }
        let timeout_at = now + (allow / 1e3).min(ty.timeout);
        let offer = Offer {
            trigger_type,
            customer: 0,
            function,
            repeat,
            moved: false,
            timeout_at,
            work: None,
            lanes,
            load_time,
        };
        let work = Work {
            client,
            stream,
            id: id.into(),
            trigger_type,
            function: function_text.into(),
            token: token.map(str::to_owned),
            body: body.to_vec(),
            timeout_at,
            given_up_at: f64::NEG_INFINITY,
        };
        Ok((offer, work))
    }

    fn read_link(&mut self, now: f64, slot: usize) {
        let Some(link) = self.floor.links.get_mut(slot) else { return };
        if !link.connected {
            match link.socket.is_connected() {
                Ok(false) => return,
                Ok(true) => {
                    link.connected = true;
                    link.heard(now);
                    self.counts.links_made += 1;
                    self.floor.touch_link(slot);
                }
                Err(fault) => return self.dissolve(now, slot, Transport::NoConnection, &fault.to_string()),
            }
        }
        for _ in 0..READS {
            let Some(link) = self.floor.links.get_mut(slot) else { return };
            match link.socket.read(&mut self.buffer) {
                Ok(Brought::Nothing) => {
                    if link.socket.waiting() > 0 || !link.queue.is_empty() {
                        self.floor.touch_link(slot);
                    }
                    return;
                }
                Ok(Brought::Bytes(n)) => {
                    link.decoder.push(&self.buffer[..n]);
                    loop {
                        let Some(link) = self.floor.links.get_mut(slot) else { return };
                        match link.decoder.read() {
                            Ok(None) => break link.heard(now),
                            Ok(Some(answer)) => self.answered(now, slot, answer),
                            Err(fault) => return self.dissolve(now, slot, Transport::Malformed, &fault.0),
                        }
                    }
                }
                Ok(Brought::End) => {
                    return self.dissolve(now, slot, Transport::Broken, "closed by the executor");
                }
                Err(fault) => return self.dissolve(now, slot, Transport::Broken, &fault.to_string()),
            }
        }
        self.again.push_back(links::token(slot));
    }

    fn answered(&mut self, now: f64, slot: usize, answer: Answer) {
        let Some(link) = self.floor.links.get_mut(slot) else { return };
        (link.heard_at, link.idle_since, link.answered) = (now, now, true);
        if let Some(tag) = answer.id.strip_prefix(ORDER).and_then(|t| t.parse().ok()) {
            return self.ordered(now, tag, ending(answer.word), answer.count);
        }
        let there = link.open.get(answer.id.as_str()).is_some_and(|o| o.from.is_some());
        let Some(out) = there.then(|| link.open.remove(answer.id.as_str())).flatten() else {
            // Of one given up, a second copy, or of nothing that was asked.
            return link.settled(&answer.id);
        };
        self.floor.outs.remove(&(out.inv, out.dispatch));
        if answer.word != Word::Done {
            let executor = self.floor.executors.get(&link.to).map(|e| e.name.as_str());
            debug!(executor, word = ?answer.word, tell = ?answer.tell, after = now - out.at, "no success");
        }
        self.floor.brought = answer.body;
        let found = match answer.tell {
            Tell::Nothing => Found::Untold,
            Tell::Warm => Found::Warm,
            Tell::Cold => Found::Loaded,
            Tell::Joined => Found::Waited,
            Tell::LoadFailed => Found::LoadFailed,
        };
        let report = orchidtally_lines::report(&answer.meter, &self.grounds.report);
        let told = Told { found, crowd: answer.crowd, report: &report };
        let ending = evidence::ending(ending(answer.word));
        self.engine.ended(now, out.inv, out.dispatch, ending, told, &mut self.floor);
        self.floor.brought = vec![];
    }

    /// An order to load has come to its end.
    fn ordered(&mut self, now: f64, tag: u64, seen: Transport, count: u32) {
        let Some(order) = self.floor.orders.remove(&tag) else { return };
        if let Some(link) = self.floor.links.get_mut(order.link) {
            link.orders.remove(&tag);
        }
        let ending = match evidence::ending(seen) {
            // One that only asked.
            Ending::Ok if order.copies == 0 && count == 0 => Ending::Miss,
            ending => ending,
        };
        self.engine.held(now, order.to, order.function, ending, &mut self.floor);
    }

    /// Ends a connection to an executor, and with it all that is open on it.
    fn dissolve(&mut self, now: f64, slot: usize, seen: Transport, why: &str) {
        let Some(mut link) = self.floor.links.try_remove(slot) else { return };
        // One whose socket is gone already needs no more.
        let _ = self.poll.registry().deregister(&mut link.socket.stream);
        if let Some(executor) = self.floor.executors.get_mut(&link.to) {
            executor.links.retain(|&l| l != slot);
            if !link.is_idle() {
                self.counts.links_lost += 1;
                debug!(executor = executor.name, open = link.open.len(), why, "lost a connection");
            }
            if !executor.listed && executor.links.is_empty() {
                self.floor.executors.remove(&link.to);
            }
        }
        let made = link.connected;
        self.floor.send_again(&mut link, made);
        for out in link.open.values() {
            self.floor.outs.remove(&(out.inv, out.dispatch));
            if let Some(work) = self.floor.works.get_mut(&out.inv) {
                work.given_up_at = now;
            }
        }
        // An answer that breaks off was begun: the executor is there, as it is where it sent what can't be read.
        let seen =
            if seen == Transport::Broken && link.decoder.is_within() { Transport::Malformed } else { seen };
        self.severed.push_back((now, seen, link));
    }

    /// Judges what ended connections leave: where another stands, the process did not end.
    fn judge_severed(&mut self, now: f64) {
        for _ in 0..self.severed.len() {
            let Some((at, seen, link)) = self.severed.pop_front() else { return };
            let stands = self.floor.stands(link.to, at);
            if seen == Transport::Broken && stands && now < at + links::ALL_RESET {
                self.severed.push_back((at, seen, link));
                continue;
            }
            let one_of_several = seen == Transport::Malformed || stands;
            for (out, verdict) in link.verdicts(seen) {
                let ending = evidence::ending(if one_of_several { verdict } else { seen });
                let told = orchidtally_engine::NOTHING_TOLD;
                self.engine.ended(now, out.inv, out.dispatch, ending, told, &mut self.floor);
            }
            for &tag in link.orders.keys() {
                self.ordered(now, tag, if one_of_several { Transport::Cut } else { seen }, 0);
            }
        }
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
