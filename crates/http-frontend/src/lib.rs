//! The HTTP front end: accepts invocations over HTTP and from MQTT messages, and dispatches them to executors.
//!
//! A front end is one thread that owns one engine and with it one dispatch policy; it shares nothing with other front
//! ends. [`run`] serves until it is stopped; [`Start`] is what it starts with.

pub mod config;
pub mod durable_invocation_store;
pub mod endpoint_publisher;
mod endpoint_source;
pub mod etcd;
pub mod ingress;
pub mod mqtt;
mod pool;
pub mod reload;
mod rollouts;
mod router;

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use ingress::{ConnectionGuard, reject_connection, serve};
use orchidtally_deployment::Deployment;
pub use orchidtally_engine::Counters;
use orchidtally_socket_io::Stream;
use router::Router;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// A front end that shuts down waits this long beyond the longest client timeout, then ends in any case.
const DRAIN_MARGIN: Duration = Duration::from_secs(1);
/// How often a front end that shuts down checks whether everything is answered.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Connections that may be rejected at a time, besides a quarter of the connection limit.
const SPARE_REJECTIONS: usize = 16;

/// What a front end starts with.
pub struct FrontEndOptions {
    /// The deployment file.
    pub deployment: Deployment,
    /// Seeds the random choices; also the front end's incarnation, so each start needs another one.
    pub seed: u64,
    /// Seconds by which the wall clock is taken to be ahead, for tests of skew.
    pub clock_offset: f64,
    /// When the wall clock is stepped and by how much, both in seconds, for tests.
    pub clock_step: Option<(f64, f64)>,
    /// A message or the end of this channel shuts the front end down gracefully.
    pub shutdown: async_channel::Receiver<()>,
    /// Whether executors are chosen at random instead of by the dispatch policy, for comparisons.
    pub uses_random_policy: bool,
    /// What message triggers need, where the deployment file has a broker.
    pub message_triggers: Option<mqtt::MessageTriggers>,
    /// The store of durable HTTP invocations, where the deployment file has a journal.
    pub durable_invocation_store: Option<durable_invocation_store::DurableInvocationStore>,
    /// Where the deployment file may be read again.
    pub reloads: Option<reload::DeploymentReloads>,
}

/// Binds the listen address.
///
/// # Errors
/// The address can't be bound.
pub fn listen(at: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    orchidtally_socket_io::listen(at)
}

/// Runs a front end on this thread until it is stopped and all open invocations are answered. Returns its counters.
pub fn run(options: FrontEndOptions, listener: Async<TcpListener>) -> Counters {
    let spawner = Rc::new(LocalExecutor::new());
    let durable_invocation_store = options.durable_invocation_store.map(Rc::new);
    let router = Router::new(
        options.deployment,
        options.seed,
        options.clock_offset,
        options.uses_random_policy,
        durable_invocation_store,
        endpoint_source::watch,
        &spawner,
    );
    router
        .listen_address
        .set(listener.get_ref().local_addr().ok());
    spawner.spawn(router.clone().run_timers()).detach();
    spawner.spawn(router.clone().watch_clock()).detach();
    spawner
        .spawn(
            router
                .clone()
                .run_maintenance(options.clock_offset, options.clock_step),
        )
        .detach();
    if !router.deployment.coordinators.is_empty() {
        spawner
            .spawn(rollouts::poll_coordinators(router.clone()))
            .detach();
    }
    if let Some(configuration) = &router.deployment.configuration {
        let front_end: Rc<dyn config::ConfigurableFrontEnd> = router.clone();
        match config::attach(&front_end, configuration, &spawner) {
            Ok(admission) => router.set_admission(admission),
            Err(fault) => {
                error!(%fault, "the configuration's settings can't be used; mend the section 'configuration'");
                return router.counters();
            }
        }
    }
    if let Some(reloads) = options.reloads {
        spawner
            .spawn(reload::follow(router.clone(), reloads))
            .detach();
    }
    let (stop_consumer, consumer_stopped) = async_channel::bounded::<()>(1);
    let consumer = MessageConsumer {
        task: options.message_triggers.and_then(|triggers| {
            router.spawn(mqtt::consume(router.clone(), triggers, consumer_stopped))
        }),
        stop: stop_consumer,
    };
    let work = serve_connections(
        router,
        spawner.clone(),
        listener,
        options.shutdown,
        consumer,
    );
    async_io::block_on(spawner.run(work))
}

/// The task that consumes messages, and what ends it when dropped.
struct MessageConsumer {
    task: Option<Task<()>>,
    stop: async_channel::Sender<()>,
}

/// Client connections, and what they need to be served.
struct ClientConnections {
    router: Rc<Router>,
    spawner: Rc<LocalExecutor<'static>>,
    max_connections: usize,
    /// How many are open.
    open_connections: Rc<Cell<usize>>,
    rejected: Cell<u64>,
}

impl ClientConnections {
    /// Serves a connection, or answers that there are too many. The rejections in progress have a limit as well; beyond
    /// it a connection is closed without an answer.
    fn accept(&self, stream: Stream, draining: &async_channel::Receiver<()>) {
        let max_connections = self.max_connections;
        let max_rejections = max_connections / 4 + SPARE_REJECTIONS;
        if self.open_connections.get() < max_connections {
            let guard = ConnectionGuard::new(&self.open_connections);
            let work = serve(self.router.clone(), stream, draining.clone(), guard);
            self.spawner.spawn(work).detach();
        } else if self.open_connections.get() < max_connections + max_rejections {
            self.count_rejection();
            let guard = ConnectionGuard::new(&self.open_connections);
            let work = async move {
                reject_connection(stream).await;
                drop(guard);
            };
            self.spawner.spawn(work).detach();
        }
    }

    /// Logs rejected connections ever more rarely.
    fn count_rejection(&self) {
        let rejected = self.rejected.get() + 1;
        self.rejected.set(rejected);
        if rejected.is_power_of_two() {
            warn!(
                rejected,
                max_connections = self.max_connections,
                "connection limit reached, rejecting connections"
            );
        }
    }

    /// Whether an invocation or a connection is open.
    fn has_open_work(&self) -> bool {
        self.router.open_invocations() > 0 || self.open_connections.get() > 0
    }
}

/// Accepts connections until the front end is stopped, then drains it.
async fn serve_connections(
    router: Rc<Router>,
    spawner: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    stop: async_channel::Receiver<()>,
    consumer: MessageConsumer,
) -> Counters {
    let connections = ClientConnections {
        max_connections: router.deployment.limits.max_connections,
        router,
        spawner,
        open_connections: Rc::new(Cell::new(0)),
        rejected: Cell::new(0),
    };
    let (drain, draining) = async_channel::bounded::<()>(1);
    loop {
        let stopped = async {
            // A closed channel stops as a message does.
            let _ = stop.recv().await;
            None
        };
        let accepted = async { Some(orchidtally_socket_io::accept(&listener).await) };
        let Some(stream) = future::or(stopped, accepted).await else {
            break;
        };
        connections.accept(stream, &draining);
    }
    drop(listener);
    shut_down(&connections, consumer, drain).await;
    connections.router.counters()
}

/// Answers what is open, up to the longest client timeout, and deregisters the front end.
async fn shut_down(
    connections: &ClientConnections,
    consumer: MessageConsumer,
    drain: async_channel::Sender<()>,
) {
    let router = &connections.router;
    drop(consumer.stop);
    let deadline =
        Instant::now() + Duration::from_secs_f64(router.longest_timeout()) + DRAIN_MARGIN;
    if let Some(task) = consumer.task {
        // Messages in flight may have to be dispatched yet.
        let drained = orchidtally_socket_io::with_timeout(deadline - Instant::now(), task).await;
        if drained.is_none() {
            warn!("shutdown deadline reached with messages in flight; the journal keeps them");
        }
    }
    router.start_draining();
    info!(
        open = router.open_invocations(),
        connections = connections.open_connections.get(),
        "termination signal received, draining"
    );
    drop(drain);
    while connections.has_open_work() && Instant::now() < deadline {
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
    if connections.has_open_work() {
        warn!(
            open = router.open_invocations(),
            connections = connections.open_connections.get(),
            "shutdown deadline reached with open connections"
        );
    }
    if let Some(admission) = router.admission.get() {
        admission.detach().await;
    }
}
