//! The router of a front end: the engine, and the executor of the engine's actions on sockets. It runs on one thread
//! and shares no state with other front ends.

mod action_executor;
mod dispatch_admission;
mod exchange;
mod invocation;
mod load_command;
mod reconfigure;
mod revision;
mod trigger_status;
mod version_evidence;
mod version_migration;
mod view_age;

pub use invocation::{
    AnswerLost, ExecutorResponse, FinalAnswer, IngressRequest, NamedCustomer, RejectionReason,
    ResponseTruncated,
};
pub use revision::{Revision, TriggerTypeInForce};
pub use trigger_status::TriggerStatus;

use crate::config::Admission;
use crate::durable_invocation_store::DurableInvocationStore;
use crate::ingress::HeldBodies;
use action_executor::ActionExecutor;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use orchidtally_deployment::{Deployment, EndpointSource};
use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::Engine;
use orchidtally_engine::baseline::RandomPolicy;
use orchidtally_engine::clock::Clock;
use orchidtally_engine::stall_detector::StallDetector;
use orchidtally_executor_protocol::v1;
use orchidtally_membership::members::MAX_VIEW_DELAY;
use orchidtally_membership::{EndpointCache, MembershipTracker};
use orchidtally_rollout::TrafficSplit;
use orchidtally_rollout::frontend::FrontEndInfo;
use reconfigure::Revisions;
use std::cell::{Cell, OnceCell, RefCell};
use std::future::Future;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::warn;

/// Subscribes to the endpoint list. Returns the task that does so if the next call is to replace it.
pub type EndpointWatcher = fn(&Rc<Router>) -> Option<Task<()>>;

/// How often the wall clock is read and idle connections are closed.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// How long the name of a version is retained after its last invocation.
const VERSION_NAME_RETENTION: Duration = Duration::from_secs(120);
/// The longest time that a timer sleeps, in seconds.
const MAX_SLEEP: f64 = 86_400.0;

/// The state of one front end.
pub struct Router {
    /// The deployment with which the front end started; settings that can change since are in [`Router::revision`].
    pub deployment: Rc<Deployment>,
    revisions: Revisions,
    /// The identity of the front end towards executors. Its index changes when it claims one in etcd.
    pub sender: Cell<v1::Sender>,
    /// The endpoint cache, where the endpoint list comes from etcd.
    pub cache: RefCell<EndpointCache>,
    /// The membership, where it comes from etcd.
    pub members: RefCell<MembershipTracker>,
    /// The number of time slots of shared budgets, and the time of its last change.
    slot_count: Cell<(u32, f64)>,
    engine: RefCell<Engine>,
    /// The rollouts, and the versions that invocations get.
    pub traffic_split: RefCell<TrafficSplit>,
    action_executor: RefCell<ActionExecutor>,
    clock: RefCell<Clock>,
    stall_detector: RefCell<StallDetector>,
    started: Instant,
    spawner: Weak<LocalExecutor<'static>>,
    timer_deadline: Cell<f64>,
    timer_wakeup: (async_channel::Sender<()>, async_channel::Receiver<()>),
    duplicate_index_warned_at: Cell<Option<Instant>>,
    /// The number of responses that reported a duplicate of this front end's index.
    pub duplicate_index_reports: Cell<u64>,
    /// The request bodies that are held.
    pub held_bodies: HeldBodies,
    /// The status of the message triggers, where there are any.
    pub triggers: Cell<Option<TriggerStatus>>,
    /// The store of durable HTTP invocations, where the deployment has a journal.
    pub durable_invocation_store: Option<Rc<DurableInvocationStore>>,
    /// Decides whether the configuration admits invocations, where it comes from a store.
    pub admission: OnceCell<Admission>,
    is_draining: Cell<bool>,
    watch_endpoints: EndpointWatcher,
    /// The address at which the front end accepts invocations.
    pub listen_address: Cell<Option<SocketAddr>>,
}

/// A hash that identifies an executor; never 0.
fn executor_number(executor: ExecutorId) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    executor.hash(&mut hasher);
    hasher.finish() | 1
}

/// Seconds since the Unix epoch by the system's clock.
fn wall_clock_seconds() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64())
}

fn seconds(time: f64) -> Duration {
    Duration::try_from_secs_f64(time.clamp(0.0, MAX_SLEEP)).unwrap_or_default()
}

impl Router {
    /// Creates a router, which isn't subscribed to an endpoint source yet. `clock_offset` is added to the wall clock,
    /// in seconds, for tests of clock skew; `uses_random_policy` replaces the dispatch policy by random choice, for
    /// comparisons.
    pub fn new(
        deployment: Deployment,
        seed: u64,
        clock_offset: f64,
        uses_random_policy: bool,
        durable_invocation_store: Option<Rc<DurableInvocationStore>>,
        watch_endpoints: EndpointWatcher,
        spawner: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Router> {
        let deployment = Rc::new(deployment);
        let started = Instant::now();
        let clock = RefCell::new(Clock::new(0.0, wall_clock_seconds() + clock_offset));
        let now = clock.borrow_mut().read(0.0);
        let sender = v1::Sender {
            index: deployment.policy.front_end_index as u32,
            count: deployment.policy.front_ends as u32,
            incarnation: seed,
        };
        let router = Rc::new_cyclic(|router: &Weak<Router>| {
            let mut action_executor = ActionExecutor::new(router.clone());
            let max_open = deployment.limits.max_open_invocations;
            let engine = if uses_random_policy {
                Engine::with_baseline(Box::new(RandomPolicy::new(seed)), max_open, now)
            } else {
                let policy = deployment.policy.clone();
                Engine::new(policy, max_open, seed, now, &mut action_executor)
            };
            let front_end_info = FrontEndInfo {
                index: sender.index,
                count: sender.count,
                location: deployment.policy.zone.into(),
                sends_load_commands: deployment.policy.allows_load_commands && !uses_random_policy,
                keep_alive: deployment.policy.keep_alive,
            };
            Router {
                traffic_split: RefCell::new(TrafficSplit::new(front_end_info, now)),
                revisions: Revisions::new(deployment.clone()),
                held_bodies: HeldBodies::new(deployment.limits.max_held_body_bytes),
                deployment,
                sender: Cell::new(sender),
                cache: RefCell::new(EndpointCache::new(now)),
                members: RefCell::new(MembershipTracker::new(sender.count)),
                slot_count: Cell::new((0, f64::INFINITY)),
                engine: RefCell::new(engine),
                action_executor: RefCell::new(action_executor),
                clock,
                stall_detector: RefCell::new(StallDetector::new(now)),
                started,
                spawner: Rc::downgrade(spawner),
                timer_deadline: Cell::new(f64::INFINITY),
                timer_wakeup: async_channel::bounded(1),
                duplicate_index_warned_at: Cell::new(None),
                duplicate_index_reports: Cell::new(0),
                triggers: Cell::new(None),
                durable_invocation_store,
                admission: OnceCell::new(),
                is_draining: Cell::new(false),
                watch_endpoints,
                listen_address: Cell::new(None),
            }
        });
        router.apply_listed_endpoints();
        router
    }

    /// Applies the endpoint list of the deployment, where it contains one.
    fn apply_listed_endpoints(&self) {
        if let EndpointSource::Listed(rows) = &self.deployment.endpoint_source {
            self.run_engine(|engine, now, action_executor| {
                engine.on_endpoint_update(now, EndpointUpdateKind::Full, rows, action_executor)
            });
        }
    }

    /// Seconds since the Unix epoch, by a monotonic clock.
    pub fn now(&self) -> f64 {
        let now = self
            .clock
            .borrow_mut()
            .read(self.started.elapsed().as_secs_f64());
        self.stall_detector.borrow_mut().observe(now);
        now
    }

    /// Spawns a task on the front end's thread; `None` where the front end has ended.
    pub fn spawn<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Option<Task<T>> {
        Some(self.spawner.upgrade()?.spawn(work))
    }

    /// The async executor of the front end's thread.
    pub fn spawner(&self) -> Weak<LocalExecutor<'static>> {
        self.spawner.clone()
    }

    /// Passes an input to the engine and performs the resulting actions.
    pub fn run_engine<T>(
        &self,
        input: impl FnOnce(&mut Engine, f64, &mut ActionExecutor) -> T,
    ) -> T {
        let now = self.observe_clock();
        let mut engine = self.engine.borrow_mut();
        let mut action_executor = self.action_executor.borrow_mut();
        action_executor.now = now;
        let result = input(&mut engine, now, &mut action_executor);
        while let Some(migration) = action_executor.migrations.pop() {
            action_executor.readmit(&mut engine, now, migration);
        }
        drop(action_executor);
        if engine.next_deadline() < self.timer_deadline.get() {
            // A full channel already wakes the timer task.
            let _ = self.timer_wakeup.0.try_send(());
        }
        result
    }

    /// Runs the engine's timers. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let due = self.engine.borrow().next_deadline();
            self.timer_deadline.set(due);
            let left = due - self.now();
            if left > 0.0 {
                let woken = async {
                    // The router owns the sender, so the channel stays open.
                    let _ = self.timer_wakeup.1.recv().await;
                };
                if due.is_finite() {
                    orchidtally_socket_io::with_timeout(seconds(left), woken).await;
                } else {
                    woken.await;
                }
            } else {
                self.run_engine(|engine, now, action_executor| {
                    engine.run_due_timers(now, action_executor)
                });
                futures_lite::future::yield_now().await;
            }
        }
    }

    /// Follows the wall clock, closes idle connections and removes unused version names. Never returns. `clock_step` is
    /// when the wall clock is stepped, in seconds after the start, and by how many seconds, for tests.
    pub async fn run_maintenance(
        self: Rc<Self>,
        clock_offset: f64,
        clock_step: Option<(f64, f64)>,
    ) {
        let mut warned = false;
        loop {
            Timer::after(HOUSEKEEPING_INTERVAL).await;
            let monotonic = self.started.elapsed().as_secs_f64();
            let mut clock = self.clock.borrow_mut();
            let stepped = clock_step
                .filter(|(at, _)| monotonic >= *at)
                .map_or(0.0, |(_, by)| by);
            clock.synchronize(monotonic, wall_clock_seconds() + clock_offset + stepped);
            let clock_error = clock.wall_clock_lag();
            drop(clock);
            let is_far_off = clock_error.abs() > self.deployment.policy.max_clock_skew / 2.0;
            if is_far_off && !warned {
                warn!(
                    clock_error,
                    "the wall clock was stepped; correcting at 0.05 % of elapsed time"
                );
            }
            warned = is_far_off;
            let mut action_executor = self.action_executor.borrow_mut();
            action_executor
                .pools
                .retain(|_, pool| !pool.close_idle_connections());
            action_executor.version_names.retain(|_, version_name| {
                version_name.last_used_at.elapsed() < VERSION_NAME_RETENTION
            });
        }
    }

    /// Stops admitting clients' requests, as the front end is shutting down.
    pub fn stop_admitting_requests(&self) {
        self.is_draining.set(true);
    }

    /// Stops admitting invocations, also those of messages.
    pub fn stop_admitting(&self) {
        self.engine.borrow_mut().start_draining();
    }

    /// Whether no further requests of clients are admitted.
    pub fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    /// The number of open invocations.
    pub fn open_invocations(&self) -> usize {
        self.engine.borrow().open_invocations()
    }

    /// The counters since the start.
    pub fn counters(&self) -> orchidtally_engine::Counters {
        self.engine.borrow().counters()
    }

    /// Notifies the dispatch policy of the number of front ends that share the fleet. The number of time slots is a
    /// power of two, so that it changes rarely. After a change, the front end has no share of the budgets until all
    /// others must have seen the new number.
    pub fn update_membership_view(&self) {
        let now = self.now();
        let estimate = self.members.borrow().estimate(now);
        let slot_count = estimate.count.next_power_of_two();
        if self.slot_count.get().0 != slot_count {
            self.slot_count.set((slot_count, now));
        }
        let shares = estimate.has_budget_share && now >= self.slot_count.get().1 + MAX_VIEW_DELAY;
        let index = estimate.index.unwrap_or(0);
        self.sender.set(v1::Sender {
            index,
            count: slot_count,
            ..self.sender.get()
        });
        let membership = MembershipView {
            front_ends: f64::from(estimate.count),
            slot_count: f64::from(slot_count),
            front_end_index: f64::from(index),
            has_budget_share: shares,
        };
        self.run_engine(|engine, now, action_executor| {
            engine.on_membership_change(now, membership, action_executor)
        });
    }
}
