//! One front end: its engine, and what performs the module's answers on sockets. All of it lives on one
//! thread; nothing is shared with other front ends.

use crate::book::Book;
use crate::pool::{Caps, Pool};
use crate::roster;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use bytes::Bytes;
use futures_channel::oneshot;
use orchidtally::interface::*;
use orchidtally_deployment::{Deployment, Function, Source, Version};
use orchidtally_engine::baseline::Random;
use orchidtally_engine::clock::Clock;
use orchidtally_engine::evidence::{self, Transport};
use orchidtally_engine::{Cause, Engine, Host, NOTHING_TOLD, Offer, Refused, Told};
use orchidtally_membership::members::LATE;
use orchidtally_membership::{Cache, Members};
use orchidtally_rollout::frontend::{Came, may_move};
use orchidtally_rollout::split::Who;
use orchidtally_rollout::{Arm, Invoked, Published, Resolved, Shares};
use orchidtally_wire::v1;
use orchidtally_wire::{DISPATCH, ORDER, PROBE, frame};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, error, info, warn};

/// How often the wall clock is looked at, and idle connections are.
const UPKEEP: Duration = Duration::from_secs(1);
/// An invocation with less time left than this is not moved to another version.
const LEAST_MOVED: f64 = 0.05;
/// Numbers that an invocation's dispatches may have had before it was moved; those after it go on from here.
const MOST_DISPATCHES: u32 = 256;
/// The engine's id for an invocation, kept up to date, and its final answer.
pub type Taken = (Rc<Cell<u32>>, oneshot::Receiver<Final>);
/// Parts of a streamed answer that are held for a client that reads slowly.
const STREAM_PARTS: usize = 8;

/// What a dispatch carries, the same for each of an invocation's.
pub struct Work {
    pub name: String,
    pub function: Rc<str>,
    /// Of the version that it was resolved to; empty where the function has none.
    pub digest: Rc<str>,
    /// Set where a rollout split it.
    pub invoked: Option<Invoked>,
    /// A dispatch of it failed in a way that counts against its version, and where the last one went.
    pub failed: Cell<bool>,
    pub last: Cell<u64>,
    /// Dispatches that it had before it was moved to another version.
    pub dispatched: u32,
    pub trigger_type: usize,
    pub customer: String,
    pub token: String,
    pub payload: Vec<Bytes>,
    pub payload_bytes: u64,
}

/// What is asked, by way of whatever ingress.
pub struct Asked<'a> {
    pub name: String,
    pub function: Rc<str>,
    pub resolved: Resolved,
    pub trigger_type: usize,
    /// Its place among the deployment's, and its name.
    pub customer: (usize, &'a str),
    pub token: &'a str,
    pub repeat: bool,
    /// When its final answer has to be there.
    pub timeout_at: f64,
    pub payload: Vec<Bytes>,
    pub payload_bytes: u64,
}

/// A streamed answer was cut off by its executor.
#[derive(Debug)]
pub struct CutOff;

impl std::fmt::Display for CutOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the executor broke off in the middle of its answer")
    }
}

impl std::error::Error for CutOff {}

pub enum Brought {
    Whole(Vec<Bytes>),
    Streamed(async_channel::Receiver<Result<Bytes, CutOff>>),
}

/// The final answer, on its way to the client.
pub enum Final {
    Succeeded(Brought),
    Throttled { retry_after: f64, past_share: bool },
    Errored { cause: Cause, may_have_run: bool },
}

struct Client {
    work: Rc<Work>,
    offer: Offer,
    /// The engine's id for it, which changes where it is moved to another version.
    inv: Rc<Cell<u32>>,
    reply: oneshot::Sender<Final>,
}

/// An invocation of a version that was taken back, on its way to the old one.
struct Moving {
    client: Client,
    to: Version,
    dispatched: u32,
}

/// A function's version by name, for orders.
struct Named {
    function: Rc<str>,
    digest: Rc<str>,
    at: Instant,
}

/// Performs what the module answers.
pub struct Floor {
    hub: Weak<Hub>,
    clients: HashMap<u32, Client>,
    /// Dispatches that are out; dropping one abandons its stream.
    out: HashMap<(u32, u8), Task<()>>,
    pools: HashMap<ExecutorId, Rc<Pool>>,
    /// Names of functions with orders to come, by key: those that were invoked lately.
    names: HashMap<u64, Named>,
    /// The client whose invocation is being taken.
    taking: Option<Client>,
    /// The payload of the dispatch that is being reported as ended.
    brought: Option<Brought>,
    /// How long that dispatch took, and whether its copy had been loaded before.
    took: Option<(f64, bool)>,
    moving: Vec<Moving>,
    roster: Option<Task<()>>,
}

pub struct Hub {
    pub deployment: Deployment,
    /// Its index changes where it claims one in etcd.
    pub sender: Cell<v1::Sender>,
    /// The roster and the front ends, where they come from etcd.
    pub cache: RefCell<Cache>,
    pub members: RefCell<Members>,
    /// Time slots of shared budgets, and since when.
    slot_count: Cell<(u32, f64)>,
    engine: RefCell<Engine>,
    pub shares: RefCell<Shares>,
    floor: RefCell<Floor>,
    clock: RefCell<Clock>,
    started: Instant,
    spawner: Weak<LocalExecutor<'static>>,
    armed_for: Cell<f64>,
    rearm: (async_channel::Sender<()>, async_channel::Receiver<()>),
    warned_of_index: Cell<Option<Instant>>,
    /// Answers that told of another front end with this one's index.
    pub index_taken: Cell<u64>,
    /// How triggers stand, where there are any.
    pub triggers: Cell<Option<crate::mqtt::Standing>>,
    pub book: Option<Rc<Book>>,
    /// Where it takes invocations.
    pub at: Cell<Option<SocketAddr>>,
}

/// A number for an executor, for what has to tell them apart only. Never 0.
fn number(executor: ExecutorId) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    executor.hash(&mut hasher);
    hasher.finish() | 1
}

fn wall() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

fn seconds(time: f64) -> Duration {
    Duration::try_from_secs_f64(time.clamp(0.0, 86_400.0)).unwrap_or_default()
}

impl Hub {
    /// `ahead`: seconds by which this front end's wall clock is taken to be ahead, for tests of skew.
    pub fn new(
        deployment: Deployment,
        seed: u64,
        ahead: f64,
        random: bool,
        book: Option<Rc<Book>>,
        spawner: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Hub> {
        let started = Instant::now();
        let clock = RefCell::new(Clock::new(0.0, wall() + ahead));
        let now = clock.borrow_mut().read(0.0);
        let sender = v1::Sender {
            index: deployment.terms.index as u32,
            count: deployment.terms.front_ends as u32,
            incarnation: seed,
        };
        let hub = Rc::new_cyclic(|hub: &Weak<Hub>| {
            let mut floor = Floor {
                hub: hub.clone(),
                clients: HashMap::new(),
                out: HashMap::new(),
                pools: HashMap::new(),
                names: HashMap::new(),
                taking: None,
                brought: None,
                took: None,
                moving: vec![],
                roster: None,
            };
            let (terms, most) = (deployment.terms.clone(), deployment.bounds.open_invocations);
            let engine = match random {
                true => Engine::with_baseline(Box::new(Random::new(seed)), most, now),
                false => Engine::new(terms, most, seed, now, &mut floor),
            };
            let place = orchidtally_rollout::frontend::Place {
                index: sender.index,
                count: sender.count,
                location: deployment.terms.zone.into(),
                orders: deployment.terms.orders && !random,
                keep_alive: deployment.terms.keep_alive,
            };
            Hub {
                shares: RefCell::new(Shares::new(place, now)),
                deployment,
                sender: Cell::new(sender),
                cache: RefCell::new(Cache::new(now)),
                members: RefCell::new(Members::new(sender.count)),
                slot_count: Cell::new((0, f64::INFINITY)),
                engine: RefCell::new(engine),
                floor: RefCell::new(floor),
                clock,
                started,
                spawner: Rc::downgrade(spawner),
                armed_for: Cell::new(f64::INFINITY),
                rearm: async_channel::bounded(1),
                warned_of_index: Cell::new(None),
                index_taken: Cell::new(0),
                triggers: Cell::new(None),
                book,
                at: Cell::new(None),
            }
        });
        if let Source::Listed(rows) = &hub.deployment.source {
            hub.play(|engine, now, floor| engine.roster(now, RosterKind::Full, rows, floor));
        }
        hub
    }

    pub fn now(&self) -> f64 {
        self.clock.borrow_mut().read(self.started.elapsed().as_secs_f64())
    }

    pub fn spawn<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Option<Task<T>> {
        Some(self.spawner.upgrade()?.spawn(work))
    }

    pub fn spawner(&self) -> Weak<LocalExecutor<'static>> {
        self.spawner.clone()
    }

    /// Every call of the engine passes here.
    pub fn play<T>(&self, input: impl FnOnce(&mut Engine, f64, &mut Floor) -> T) -> T {
        let now = self.now();
        let mut engine = self.engine.borrow_mut();
        let mut floor = self.floor.borrow_mut();
        let result = input(&mut engine, now, &mut floor);
        while let Some(moving) = floor.moving.pop() {
            floor.offer_again(&mut engine, now, moving);
        }
        drop(floor);
        if engine.due_at() < self.armed_for.get() {
            // A full channel has woken the timer already.
            let _ = self.rearm.0.try_send(());
        }
        result
    }

    /// Calls the engine when it is due, for as long as the front end lives.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let due = self.engine.borrow().due_at();
            self.armed_for.set(due);
            let left = due - self.now();
            if left > 0.0 {
                let woken = async {
                    // The hub itself holds the other end.
                    let _ = self.rearm.1.recv().await;
                };
                if due.is_finite() {
                    orchidtally_net::within(seconds(left), woken).await;
                } else {
                    woken.await;
                }
            } else {
                self.play(|engine, now, floor| engine.turn(now, floor));
                futures_lite::future::yield_now().await;
            }
        }
    }

    /// Follows the wall clock, closes idle connections and forgets names.
    pub async fn keep_house(self: Rc<Self>, ahead: f64, step: Option<(f64, f64)>) {
        let mut warned = false;
        loop {
            Timer::after(UPKEEP).await;
            let monotonic = self.started.elapsed().as_secs_f64();
            let mut clock = self.clock.borrow_mut();
            let stepped = step.filter(|s| monotonic >= s.0).map_or(0.0, |s| s.1);
            clock.anchor(monotonic, wall() + ahead + stepped);
            let astray = clock.astray();
            drop(clock);
            let far = astray.abs() > self.deployment.terms.skew / 2.0;
            if far && !warned {
                warn!(astray, "the wall clock was stepped; the time is put right by half a thousandth");
            }
            warned = far;
            let mut floor = self.floor.borrow_mut();
            floor.pools.retain(|_, pool| !pool.sweep());
            let kept = Duration::from_secs(120);
            floor.names.retain(|_, named| named.at.elapsed() < kept);
        }
    }

    /// Takes an invocation. The receiver gets its final answer.
    fn take(&self, offer: Offer, work: Work) -> Result<Taken, Refused> {
        let (reply, answer) = oneshot::channel();
        let inv = Rc::new(Cell::new(0));
        let client = Client { work: Rc::new(work), offer, inv: inv.clone(), reply };
        self.play(|engine, now, floor| floor.offer(engine, now, client))?;
        Ok((inv, answer))
    }

    /// Takes what an ingress was asked.
    pub fn take_asked(&self, asked: Asked) -> Result<Taken, Refused> {
        let Resolved { version, invoked } = asked.resolved;
        let offer = Offer {
            trigger_type: asked.trigger_type,
            customer: asked.customer.0,
            function: version.key,
            repeat: asked.repeat,
            moved: false,
            timeout_at: asked.timeout_at,
            work: version.work,
            lanes: version.lanes,
            load_time: version.load_time,
        };
        let work = Work {
            name: asked.name,
            function: asked.function,
            digest: version.digest,
            invoked,
            failed: Cell::new(false),
            last: Cell::new(0),
            dispatched: 0,
            trigger_type: asked.trigger_type,
            customer: asked.customer.1.to_owned(),
            token: asked.token.to_owned(),
            payload: asked.payload,
            payload_bytes: asked.payload_bytes,
        };
        self.take(offer, work)
    }

    /// The name of the front end's own location.
    pub fn location(&self) -> &str {
        self.deployment.locations.get(usize::from(self.deployment.terms.zone)).map_or("", String::as_str)
    }

    /// The version that an invocation gets, and whether it counts as evidence.
    pub fn resolve(
        &self,
        function: &Function,
        asked: Option<&str>,
        trigger_type: usize,
        customer: usize,
        who: &Who,
    ) -> Option<Resolved> {
        self.shares.borrow_mut().resolve(function, asked, trigger_type, customer, who)
    }

    /// What the coordinators said, and what is due by the time: runs that were taken back give up what waits.
    pub fn rollouts_turn(&self, published: Option<Published>) {
        let now = self.now();
        let mut shares = self.shares.borrow_mut();
        let find = |name: &str| self.deployment.functions.get(name).cloned();
        let mut back = published.map_or_else(Vec::new, |p| shares.adopt(now, p, find));
        back.extend(shares.turn(now));
        let due = shares.ahead(now);
        drop(shares);
        for &run in &back {
            info!(run, "a rollout was taken back");
            self.play(|engine, now, floor| floor.move_waiting(engine, now, run));
        }
        for ahead in due {
            let wish = orchidtally::interface::Ahead {
                function: ahead.version.key,
                lanes: ahead.version.lanes,
                load_time: ahead.version.load_time,
                copies: ahead.copies,
            };
            let (known, ordered) = self.play(|engine, now, floor| {
                floor.name(ahead.version.key, ahead.function.as_str().into(), ahead.version.digest.clone());
                let before = engine.tally().orders;
                (engine.ahead(now, &wish, floor), engine.tally().orders > before)
            });
            self.shares.borrow_mut().prepared(&ahead, known, ordered);
        }
    }

    pub fn withdraw(&self, inv: u32) {
        self.play(|engine, now, floor| {
            engine.withdrawn(now, inv, floor);
            floor.clients.remove(&inv);
        });
    }

    pub fn leave(&self) {
        self.engine.borrow_mut().leave();
    }

    pub fn open(&self) -> usize {
        self.engine.borrow().open()
    }

    pub fn tally(&self) -> orchidtally_engine::Tally {
        self.engine.borrow().tally()
    }

    fn ended(
        &self,
        (inv, n): (u32, u8),
        ending: Ending,
        told: Told,
        brought: Option<Brought>,
        took: Option<(f64, bool)>,
    ) {
        self.play(|engine, now, floor| {
            floor.took = took;
            if let Some(task) = floor.out.remove(&(inv, n)) {
                task.detach();
            }
            floor.brought = brought;
            engine.ended(now, inv, n, ending, told, floor);
            floor.brought = None;
        });
    }

    /// Tells the module by how many front ends to share. The slots are a power of two, so that it changes seldom, and
    /// is joined once all must have seen that change.
    pub fn count_front_ends(&self) {
        let now = self.now();
        let figure = self.members.borrow().figure(now);
        let slot_count = figure.count.next_power_of_two();
        if self.slot_count.get().0 != slot_count {
            self.slot_count.set((slot_count, now));
        }
        let shares = figure.shares && now >= self.slot_count.get().1 + LATE;
        let index = figure.index.unwrap_or(0);
        self.sender.set(v1::Sender { index, count: slot_count, ..self.sender.get() });
        let living = MembershipView {
            front_ends: f64::from(figure.count),
            slot_count: f64::from(slot_count),
            index: f64::from(index),
            shares,
        };
        self.play(|engine, now, floor| engine.living(now, living, floor));
    }

    /// What a dispatch or an order told of whether an executor is there.
    fn heard_of(&self, executor: ExecutorId, seen: Option<Transport>) {
        if !matches!(self.deployment.source, Source::Etcd(_)) {
            return;
        }
        match seen {
            None => self.cache.borrow_mut().answered(self.now(), &executor),
            Some(Transport::NoConnection) => {
                let told = self.cache.borrow_mut().failed(&executor);
                if let Some((kind, rows)) = told {
                    self.play(|engine, now, floor| engine.roster(now, kind, &rows, floor));
                }
            }
            Some(_) => {}
        }
    }

    /// Two front ends with one index share a turn at each cold executor.
    fn another_has_index(&self, executor: ExecutorId) {
        self.index_taken.set(self.index_taken.get() + 1);
        let lately = self.warned_of_index.get().is_some_and(|at| at.elapsed() < Duration::from_secs(10));
        if !lately {
            self.warned_of_index.set(Some(Instant::now()));
            error!(index = self.sender.get().index, executor = %executor.0, "another front end has this one's index");
        }
    }

    async fn dispatch(
        self: Rc<Self>,
        inv: u32,
        n: u8,
        to: ExecutorId,
        pool: Rc<Pool>,
        (work, function): (Rc<Work>, u64),
        left: f64,
    ) {
        let trigger_type = &self.deployment.trigger_types[work.trigger_type];
        let effect = match self.deployment.terms.trigger_types[work.trigger_type].effect {
            Effect::Idempotent => v1::Effect::Idempotent,
            Effect::Tokened => v1::Effect::Tokened,
            Effect::NonIdempotent => v1::Effect::NonIdempotent,
        };
        let head = frame(&v1::Dispatch {
            from: Some(self.sender.get()),
            invocation: work.name.clone(),
            number: work.dispatched + u32::from(n),
            digest: work.digest.to_string(),
            function: work.function.to_string(),
            trigger_type: trigger_type.name.clone(),
            customer: work.customer.clone(),
            effect: effect.into(),
            token: work.token.clone(),
            time_left: (left * 1e6) as u64,
            payload_bytes: work.payload_bytes,
        });
        let began = Instant::now();
        let exchanged = pool.exchange::<v1::Answer>(DISPATCH, head, &work.payload).await;
        self.heard_of(to, exchanged.as_ref().err().copied());
        let (answer, mut incoming) = match exchanged {
            Ok(exchanged) => exchanged,
            Err(seen) => {
                debug!(inv, n, executor = %to.0, ?seen, "a dispatch ended without an answer");
                // One that provably never ran says nothing of the version.
                if !evidence::ending(seen).never_ran() {
                    self.failed(&work, function, to, true);
                }
                return self.ended((inv, n), evidence::ending(seen), NOTHING_TOLD, None, None);
            }
        };
        if answer.index_taken {
            self.another_has_index(to);
        }
        let found = match answer.found() {
            v1::Found::Untold => Found::Untold,
            v1::Found::Warm => Found::Warm,
            v1::Found::Loaded => Found::Loaded,
            v1::Found::Waited => Found::Waited,
            v1::Found::LoadFailed => Found::LoadFailed,
        };
        let told = Told { found, crowd: answer.crowd, report: &answer.report };
        if matches!(found, Found::Loaded | Found::LoadFailed) {
            let well = found == Found::Loaded;
            self.shares.borrow_mut().load_ended(function, well, answer.digest_differs);
        }
        let took = || Some((began.elapsed().as_secs_f64(), matches!(found, Found::Warm | Found::Untold)));
        let (seen, brought) = match answer.ending() {
            v1::Ending::Ok if answer.streams && trigger_type.streams => {
                let (parts, body) = async_channel::bounded(STREAM_PARTS);
                let mine = self.play(|engine, now, floor| {
                    floor.brought = Some(Brought::Streamed(body));
                    floor.took = took();
                    let mine = engine.streaming(now, inv, n, floor);
                    floor.brought = None;
                    mine
                });
                let seen = if mine { self.pass_on(&mut incoming, parts).await } else { Transport::Reset };
                (seen, None)
            }
            v1::Ending::Ok => match incoming.whole(self.deployment.bounds.answer_bytes).await {
                Ok(chunks) => (Transport::Answered(Ending::Ok), Some(Brought::Whole(chunks))),
                Err(seen) => (seen, None),
            },
            v1::Ending::Error => {
                if found != Found::LoadFailed {
                    self.failed(&work, function, to, false);
                }
                (Transport::Answered(Ending::Error), None)
            }
            v1::Ending::Full => (Transport::Answered(Ending::Full), None),
            v1::Ending::Miss => (Transport::Answered(Ending::Miss), None),
            v1::Ending::Unspecified => (Transport::Malformed, None),
        };
        self.ended((inv, n), evidence::ending(seen), told, brought, took());
    }

    fn failed(&self, work: &Work, function: u64, to: ExecutorId, broke: bool) {
        let counts = self.shares.borrow_mut().dispatch_failed(self.now(), number(to), function, broke);
        work.failed.set(work.failed.get() | counts);
    }

    /// Passes a streamed answer on. A client that doesn't read for the sender's time is given up.
    async fn pass_on(
        &self,
        incoming: &mut crate::pool::Incoming,
        parts: async_channel::Sender<Result<Bytes, CutOff>>,
    ) -> Transport {
        let patience = seconds(self.deployment.bounds.sender_time);
        loop {
            let part = match orchidtally_net::within(patience, incoming.payload()).await {
                Some(Ok(Some(part))) => Ok(part),
                Some(Ok(None)) => return Transport::Answered(Ending::Ok),
                Some(Err(seen)) => {
                    let _ = orchidtally_net::within(patience, parts.send(Err(CutOff))).await;
                    return seen;
                }
                None => {
                    let _ = orchidtally_net::within(patience, parts.send(Err(CutOff))).await;
                    return Transport::TimedOut;
                }
            };
            match orchidtally_net::within(patience, parts.send(part)).await {
                Some(Ok(())) => {}
                // The client went away, or stopped reading.
                Some(Err(_)) | None => return Transport::Answered(Ending::Cancelled),
            }
        }
    }

    async fn order(self: Rc<Self>, to: ExecutorId, pool: Rc<Pool>, order: v1::Order, function: u64) {
        let time = seconds(self.deployment.bounds.order_time);
        let answered =
            orchidtally_net::within(time, pool.exchange::<v1::OrderAnswer>(ORDER, frame(&order), &[])).await;
        let mut differs = false;
        let seen = match answered {
            None => Transport::TimedOut,
            Some(Err(seen)) => seen,
            Some(Ok((answer, _))) => match answer.ending() {
                _ if answer.digest_differs => {
                    differs = true;
                    Transport::Answered(Ending::Error)
                }
                v1::Ending::Ok => Transport::Answered(Ending::Ok),
                v1::Ending::Full => Transport::Answered(Ending::Full),
                v1::Ending::Error | v1::Ending::Miss => Transport::Answered(Ending::Error),
                v1::Ending::Unspecified => Transport::Malformed,
            },
        };
        if order.kind() == v1::OrderKind::Hold {
            let ending = evidence::ending(seen);
            // An executor that is gone or full tells nothing of the version.
            if matches!(ending, Ending::Ok | Ending::Error) {
                self.shares.borrow_mut().load_ended(function, ending == Ending::Ok, differs);
            }
            self.play(|engine, now, floor| engine.held(now, to, function, ending, floor));
        }
    }
}

impl Floor {
    fn pool(&mut self, hub: &Rc<Hub>, to: ExecutorId) -> Rc<Pool> {
        let b = &hub.deployment.bounds;
        let caps = Caps {
            streams_per_connection: b.streams_per_connection,
            connections: b.connections_per_executor,
            connect_time: seconds(b.connect_time),
            idle_close: seconds(b.idle_close),
            header_bytes: b.header_bytes,
        };
        let new = || Pool::new(SocketAddr::new(to.0, to.1), caps, hub.spawner());
        self.pools.entry(to).or_insert_with(new).clone()
    }

    fn name(&mut self, key: u64, function: Rc<str>, digest: Rc<str>) {
        self.names.insert(key, Named { function, digest, at: Instant::now() });
    }

    fn offer(&mut self, engine: &mut Engine, now: f64, client: Client) -> Result<u32, Refused> {
        self.name(client.offer.function, client.work.function.clone(), client.work.digest.clone());
        let offer = client.offer.clone();
        self.taking = Some(client);
        let taken = engine.take(now, &offer, self);
        if taken.is_ok() {
            self.taking = None;
        }
        taken
    }

    /// What waits and was never dispatched goes to the old version, whatever its effect: nothing has run.
    fn move_waiting(&mut self, engine: &mut Engine, now: f64, run: u64) {
        let Some(hub) = self.hub.upgrade() else { return };
        let Some(to) = hub.shares.borrow().goes_back_to(run) else { return };
        let is_new = |c: &Client| c.work.invoked.is_some_and(|i| i.run == run && i.arm == Arm::New);
        let mut waiting: Vec<u32> = self
            .clients
            .iter()
            .filter(|(inv, c)| is_new(c) && engine.sent(**inv) == 0)
            .map(|(&inv, _)| inv)
            .collect();
        waiting.sort_unstable();
        for inv in waiting {
            engine.withdrawn(now, inv, self);
            if let Some(client) = self.clients.remove(&inv) {
                self.moving.push(Moving { client, to: to.clone(), dispatched: 0 });
            }
        }
    }

    /// Takes an invocation anew, for another version. The change is in the log, and in the names of its dispatches.
    fn offer_again(&mut self, engine: &mut Engine, now: f64, moving: Moving) {
        let Moving { client: Client { work, mut offer, inv, reply }, to, dispatched } = moving;
        info!(invocation = work.name, function = %work.function, from = %work.digest, to = %to.digest, "moved to the old version");
        (offer.function, offer.moved) = (to.key, true);
        (offer.lanes, offer.load_time, offer.work) = (to.lanes, to.load_time, to.work);
        let work = Rc::new(Work {
            name: work.name.clone(),
            function: work.function.clone(),
            digest: to.digest.clone(),
            invoked: None,
            failed: Cell::new(false),
            last: Cell::new(0),
            dispatched: work.dispatched + dispatched,
            trigger_type: work.trigger_type,
            customer: work.customer.clone(),
            token: work.token.clone(),
            payload: work.payload.clone(),
            payload_bytes: work.payload_bytes,
        });
        if self.offer(engine, now, Client { work, offer, inv, reply }).is_err()
            && let Some(client) = self.taking.take()
        {
            // The front end is ending or full; asking again is harmless, or it would not have been moved.
            let _ = client.reply.send(Final::Throttled { retry_after: 0.0, past_share: false });
        }
    }

    /// The one place where a client gets its final answer, and where that becomes evidence.
    fn answer(&mut self, inv: u32, answer: Final) {
        let Some(client) = self.clients.remove(&inv) else { return };
        let took = self.took.take();
        if let (Some(invoked), Some(hub)) = (&client.work.invoked, self.hub.upgrade()) {
            let mut shares = hub.shares.borrow_mut();
            let (came, may_have_run) = match answer {
                Final::Succeeded(_) => {
                    let (took, warm) = took.unwrap_or((0.0, false));
                    (Came::Succeeded { took, warm }, true)
                }
                Final::Throttled { .. } => (Came::Throttled, false),
                Final::Errored { may_have_run, .. } => (Came::Errored, may_have_run),
            };
            if let Final::Errored { cause: Cause::TimedOut, .. } = answer
                && client.work.last.get() != 0
            {
                let (last, key) = (client.work.last.get(), client.offer.function);
                let counts = shares.dispatch_failed(hub.now(), last, key, true);
                client.work.failed.set(client.work.failed.get() | counts);
            }
            shares.came(invoked, came, client.work.failed.get());
            let failed = !matches!(came, Came::Succeeded { .. });
            let terms = &hub.deployment.terms.trigger_types[client.work.trigger_type];
            let may = may_move(terms.effect == Effect::Idempotent, may_have_run);
            let to = shares.goes_back_to(invoked.run).filter(|_| failed && may && invoked.arm == Arm::New);
            if let Some(to) = to.filter(|_| client.offer.timeout_at - hub.now() > LEAST_MOVED) {
                self.moving.push(Moving { client, to, dispatched: MOST_DISPATCHES });
                return;
            }
        }
        // A client that went away meanwhile needs no answer.
        let _ = client.reply.send(answer);
    }

    fn order(&mut self, to: ExecutorId, function: u64, kind: v1::OrderKind, copies: u8) {
        let Some(hub) = self.hub.upgrade() else { return };
        let Some(named) = self.names.get(&function) else {
            warn!(function, "an order for a function that nobody invoked lately was left out");
            return;
        };
        let order = v1::Order {
            from: Some(hub.sender.get()),
            kind: kind.into(),
            function: named.function.to_string(),
            digest: named.digest.to_string(),
            copies: copies.into(),
        };
        let pool = self.pool(&hub, to);
        if let Some(task) = hub.spawn(hub.clone().order(to, pool, order, function)) {
            task.detach();
        }
    }
}

impl Host for Floor {
    fn taken(&mut self, inv: u32) {
        if let Some(client) = self.taking.take() {
            client.inv.set(inv);
            self.clients.insert(inv, client);
        }
    }

    fn dispatch(&mut self, inv: u32, dispatch: u8, to: ExecutorId, _within: f64) {
        let Some(hub) = self.hub.upgrade() else { return };
        let Some(client) = self.clients.get(&inv) else { return };
        let (work, left) =
            ((client.work.clone(), client.offer.function), client.offer.timeout_at - hub.now());
        client.work.last.set(number(to));
        let pool = self.pool(&hub, to);
        if let Some(task) = hub.spawn(hub.clone().dispatch(inv, dispatch, to, pool, work, left)) {
            self.out.insert((inv, dispatch), task);
        }
    }

    fn cancel(&mut self, inv: u32, dispatch: u8) {
        // Dropping the task drops its stream, which resets it.
        self.out.remove(&(inv, dispatch));
    }

    fn succeeded(&mut self, inv: u32, _dispatch: u8) {
        let brought = self.brought.take().unwrap_or(Brought::Whole(vec![]));
        self.answer(inv, Final::Succeeded(brought));
    }

    fn throttled(&mut self, inv: u32, retry_after: f64, past_share: bool) {
        self.answer(inv, Final::Throttled { retry_after, past_share });
    }

    fn errored(&mut self, inv: u32, cause: Cause, may_have_run: bool) {
        self.answer(inv, Final::Errored { cause, may_have_run });
    }

    fn hold(&mut self, to: ExecutorId, function: u64, copies: u8) {
        self.order(to, function, v1::OrderKind::Hold, copies);
    }

    fn ask(&mut self, to: ExecutorId, function: u64) {
        self.order(to, function, v1::OrderKind::Ask, 0);
    }

    fn unload(&mut self, to: ExecutorId, function: u64) {
        self.order(to, function, v1::OrderKind::Unload, 0);
    }

    fn probe(&mut self, to: ExecutorId) {
        let Some(hub) = self.hub.upgrade() else { return };
        let pool = self.pool(&hub, to);
        let probe = frame(&v1::Probe { from: Some(hub.sender.get()) });
        let work = async move {
            let answered = pool.exchange::<v1::ProbeAnswer>(PROBE, probe, &[]).await;
            debug!(executor = %to.0, report = ?answered.ok().map(|a| a.0.report), "probed");
        };
        if let Some(task) = hub.spawn(work) {
            task.detach();
        }
    }

    fn watch_roster(&mut self) {
        let Some(hub) = self.hub.upgrade() else { return };
        if let Source::Etcd(etcd) = &hub.deployment.source {
            info!(endpoints = ?etcd.endpoints, "following the roster in etcd");
            crate::etcd::keep(&hub, etcd);
            return;
        }
        let Source::Publisher(publisher) = hub.deployment.source else { return };
        info!(%publisher, "asking for the roster");
        self.roster = hub.spawn(roster::watch(hub.clone(), publisher));
    }
}
