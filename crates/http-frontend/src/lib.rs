//! The HTTP front end: accepts invocations over HTTP and from MQTT messages, and dispatches them to executors.
//!
//! A front end is one thread that owns one engine and with it one dispatch policy; it shares nothing with other front
//! ends. [`run`] serves until shutdown, with the settings in [`FrontEndOptions`].

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
mod shutdown;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use ingress::{ConnectionGuard, reject_connection, serve};
use orchidtally_deployment::Deployment;
pub use orchidtally_engine::Counters;
use orchidtally_socket_io::Stream;
use router::Router;
use shutdown::{MessageConsumer, shut_down};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use tracing::{error, warn};

/// Concurrent rejections that are allowed in addition to a quarter of the connection limit.
const SPARE_REJECTIONS: usize = 16;

/// The settings and inputs of a front end.
pub struct FrontEndOptions {
    /// The deployment file.
    pub deployment: Deployment,
    /// The seed of the random choices. It is also the front end's incarnation, so that each start needs a different
    /// one.
    pub seed: u64,
    /// Seconds that are added to the wall clock, for tests of clock skew.
    pub clock_offset: f64,
    /// When the wall clock is stepped, in seconds after the start, and by how many seconds, for tests.
    pub clock_step: Option<(f64, f64)>,
    /// A message on this channel, or its closing, starts a graceful shutdown.
    pub shutdown: async_channel::Receiver<()>,
    /// Whether executors are chosen at random instead of by the dispatch policy, for comparisons.
    pub uses_random_policy: bool,
    /// The message triggers, if the deployment file has a broker.
    pub message_triggers: Option<mqtt::MessageTriggers>,
    /// The store of durable HTTP invocations, if the deployment file has a journal.
    pub durable_invocation_store: Option<durable_invocation_store::DurableInvocationStore>,
    /// The reloads of the deployment file, if it can be reloaded.
    pub reloads: Option<reload::DeploymentReloads>,
}

/// Binds the listen address.
///
/// # Errors
/// The address can't be bound.
pub fn listen(at: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    orchidtally_socket_io::listen(at)
}

/// Runs a front end on this thread until it is shut down and all open invocations are answered, or the shutdown
/// deadline has passed. Returns its counters.
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
            .spawn(reload::apply_reloads(router.clone(), reloads))
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

/// Accepts client connections within the connection limit.
struct ClientConnections {
    router: Rc<Router>,
    spawner: Rc<LocalExecutor<'static>>,
    max_connections: usize,
    /// The number of open connections, including those that are being rejected.
    open_connections: Rc<Cell<usize>>,
    rejected: Cell<u64>,
}

impl ClientConnections {
    /// Serves a connection, or rejects it with a response if the connection limit is reached. Concurrent rejections are
    /// limited as well: beyond that limit, a connection is closed without a response.
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

    /// Counts a rejected connection, and logs the count whenever it is a power of two.
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
            // Closing the channel has the same effect as a message.
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
