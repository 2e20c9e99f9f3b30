//! One front end: its engine, and what performs the engine's commands on sockets. All of it lives on one
//! thread; nothing is shared with other front ends.

mod exchange;
mod invocation;
mod performer;
mod reconfigure;
mod refusing;
mod revision;

pub use invocation::{Asked, Brought, CutOff, Final, NotTaken};
pub use reconfigure::ReconfigureError;

use crate::config::Admission;
use crate::promise_store::PromiseStore;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use orchidtally::interface::*;
use orchidtally_deployment::{Deployment, Source};
use orchidtally_engine::Engine;
use orchidtally_engine::baseline::Random;
use orchidtally_engine::clock::Clock;
use orchidtally_membership::members::LATE;
use orchidtally_membership::{Cache, Members};
use orchidtally_rollout::Shares;
use orchidtally_wire::v1;
use performer::Performer;
use reconfigure::Revisions;
use std::cell::{Cell, OnceCell, RefCell};
use std::future::Future;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::warn;

/// How often the wall clock is looked at, and idle connections are.
const UPKEEP: Duration = Duration::from_secs(1);

pub struct Hub {
    /// As the front end started with it. What may have changed since is in [`Hub::revision`].
    pub deployment: Rc<Deployment>,
    revisions: Revisions,
    /// Its index changes where it claims one in etcd.
    pub sender: Cell<v1::Sender>,
    /// The roster and the front ends, where they come from etcd.
    pub cache: RefCell<Cache>,
    pub members: RefCell<Members>,
    /// Time slots of shared budgets, and since when.
    slot_count: Cell<(u32, f64)>,
    engine: RefCell<Engine>,
    pub shares: RefCell<Shares>,
    performer: RefCell<Performer>,
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
    pub promise_store: Option<Rc<PromiseStore>>,
    /// Whether the configuration in force lets invocations through, where it comes from a store.
    pub admission: OnceCell<Admission>,
    is_leaving: Cell<bool>,
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
        promise_store: Option<Rc<PromiseStore>>,
        spawner: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Hub> {
        let deployment = Rc::new(deployment);
        let started = Instant::now();
        let clock = RefCell::new(Clock::new(0.0, wall() + ahead));
        let now = clock.borrow_mut().read(0.0);
        let sender = v1::Sender {
            index: deployment.policy.index as u32,
            count: deployment.policy.front_ends as u32,
            incarnation: seed,
        };
        let hub = Rc::new_cyclic(|hub: &Weak<Hub>| {
            let mut performer = Performer::new(hub.clone());
            let (policy, most) = (deployment.policy.clone(), deployment.bounds.open_invocations);
            let engine = match random {
                true => Engine::with_baseline(Box::new(Random::new(seed)), most, now),
                false => Engine::new(policy, most, seed, now, &mut performer),
            };
            let place = orchidtally_rollout::frontend::Place {
                index: sender.index,
                count: sender.count,
                location: deployment.policy.zone.into(),
                orders: deployment.policy.orders && !random,
                keep_alive: deployment.policy.keep_alive,
            };
            Hub {
                shares: RefCell::new(Shares::new(place, now)),
                revisions: Revisions::new(deployment.clone()),
                deployment,
                sender: Cell::new(sender),
                cache: RefCell::new(Cache::new(now)),
                members: RefCell::new(Members::new(sender.count)),
                slot_count: Cell::new((0, f64::INFINITY)),
                engine: RefCell::new(engine),
                performer: RefCell::new(performer),
                clock,
                started,
                spawner: Rc::downgrade(spawner),
                armed_for: Cell::new(f64::INFINITY),
                rearm: async_channel::bounded(1),
                warned_of_index: Cell::new(None),
                index_taken: Cell::new(0),
                triggers: Cell::new(None),
                promise_store,
                admission: OnceCell::new(),
                is_leaving: Cell::new(false),
                at: Cell::new(None),
            }
        });
        if let Source::Listed(rows) = &hub.deployment.source {
            hub.play(|engine, now, performer| engine.roster(now, RosterKind::Full, rows, performer));
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
    pub fn play<T>(&self, input: impl FnOnce(&mut Engine, f64, &mut Performer) -> T) -> T {
        let now = self.now();
        let mut engine = self.engine.borrow_mut();
        let mut performer = self.performer.borrow_mut();
        let result = input(&mut engine, now, &mut performer);
        while let Some(moving) = performer.moving.pop() {
            performer.offer_again(&mut engine, now, moving);
        }
        drop(performer);
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
                self.play(|engine, now, performer| engine.turn(now, performer));
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
            let far = astray.abs() > self.deployment.policy.skew / 2.0;
            if far && !warned {
                warn!(astray, "the wall clock was stepped; the time is put right by half a thousandth");
            }
            warned = far;
            let mut performer = self.performer.borrow_mut();
            performer.pools.retain(|_, pool| !pool.sweep());
            let kept = Duration::from_secs(120);
            performer.names.retain(|_, named| named.at.elapsed() < kept);
        }
    }

    /// Takes nothing new from now on.
    pub fn leave(&self) {
        self.is_leaving.set(true);
        self.engine.borrow_mut().leave();
    }

    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    pub fn open(&self) -> usize {
        self.engine.borrow().open()
    }

    pub fn tally(&self) -> orchidtally_engine::Tally {
        self.engine.borrow().tally()
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
        self.play(|engine, now, performer| engine.living(now, living, performer));
    }
}
