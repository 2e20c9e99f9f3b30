//! One front end on sockets: a thread that owns one engine, with it one decision module, and shares nothing
//! with other front ends.

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
use orchidtally_engine::Counters;
use router::Router;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// An ending front end waits for so long past the longest client timeout, then ends anyway.
const DRAIN_MARGIN: Duration = Duration::from_secs(1);

pub struct Start {
    pub deployment: Deployment,
    pub seed: u64,
    /// Seconds by which the wall clock is taken to be ahead, for tests of skew.
    pub ahead: f64,
    /// After so many seconds that clock is stepped by so many, for tests.
    pub step: Option<(f64, f64)>,
    /// Whatever comes or closes here ends the front end gracefully.
    pub stop: async_channel::Receiver<()>,
    /// Decide by random choice instead of the module, for comparisons.
    pub random: bool,
    /// What comes by messages, where the deployment file has a broker.
    pub triggers: Option<mqtt::Triggers>,
    /// Promises to HTTP clients, where the deployment file has a journal.
    pub durable_invocation_store: Option<durable_invocation_store::DurableInvocationStore>,
    /// Where the deployment file may be read again.
    pub reloads: Option<reload::Reloads>,
}

/// Binds the address that the deployment states.
pub fn listen(at: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    orchidtally_socket_io::listen(at)
}

/// Runs a front end on this thread until it is stopped and what was open is answered.
pub fn run(start: Start, listener: Async<TcpListener>) -> Counters {
    let spawner = Rc::new(LocalExecutor::new());
    let durable_invocation_store = start.durable_invocation_store.map(Rc::new);
    let router = Router::new(
        start.deployment,
        start.seed,
        start.ahead,
        start.random,
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
        .spawn(router.clone().run_maintenance(start.ahead, start.step))
        .detach();
    if !router.deployment.coordinators.is_empty() {
        spawner
            .spawn(rollouts::poll_coordinators(router.clone()))
            .detach();
    }
    if let Some(configuration) = &router.deployment.configuration
        && let Err(fault) = config::attach(&router, configuration, &spawner)
    {
        error!(%fault, "the configuration's settings can't be used; mend the section 'configuration'");
        return router.tally();
    }
    if let Some(reloads) = start.reloads {
        spawner
            .spawn(reload::follow(router.clone(), reloads))
            .detach();
    }
    let (leave, leaving) = async_channel::bounded::<()>(1);
    let consuming = start
        .triggers
        .and_then(|triggers| router.spawn(mqtt::consume(router.clone(), triggers, leaving)));
    let work = serve_connections(
        router,
        spawner.clone(),
        listener,
        start.stop,
        (consuming, leave),
    );
    async_io::block_on(spawner.run(work))
}

async fn serve_connections(
    router: Rc<Router>,
    spawner: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    stop: async_channel::Receiver<()>,
    (consuming, stop_consuming): (Option<Task<()>>, async_channel::Sender<()>),
) -> Counters {
    let most = router.deployment.limits.max_connections;
    let open = Rc::new(Cell::new(0));
    let (leave, leaving) = async_channel::bounded::<()>(1);
    let mut rejected_connections = 0u64;
    loop {
        let stopped = async {
            // A closed channel stops as a message does.
            let _ = stop.recv().await;
            None
        };
        let Some(stream) = future::or(stopped, async {
            Some(orchidtally_socket_io::accept(&listener).await)
        })
        .await
        else {
            break;
        };
        // Those being turned away have a bound as well; past it a connection is just closed.
        if open.get() < most {
            spawner
                .spawn(serve(
                    router.clone(),
                    stream,
                    leaving.clone(),
                    ConnectionGuard::new(&open),
                ))
                .detach();
        } else if open.get() < most + most / 4 + 16 {
            rejected_connections += 1;
            if rejected_connections.is_power_of_two() {
                warn!(rejected_connections, most, "connections over the bound");
            }
            let counted = ConnectionGuard::new(&open);
            let say = async move {
                reject_connection(stream).await;
                drop(counted);
            };
            spawner.spawn(say).detach();
        }
    }
    drop(listener);
    drop(stop_consuming);
    let deadline =
        Instant::now() + Duration::from_secs_f64(router.longest_timeout()) + DRAIN_MARGIN;
    if let Some(consuming) = consuming {
        // Messages in hand may have to be dispatched yet.
        let left = orchidtally_socket_io::with_timeout(deadline - Instant::now(), consuming).await;
        if left.is_none() {
            warn!("left with messages in hand: the journal has them");
        }
    }
    router.leave();
    info!(
        open = router.open(),
        connections = open.get(),
        "leaving: nothing new is taken"
    );
    drop(leave);
    while (router.open() > 0 || open.get() > 0) && Instant::now() < deadline {
        Timer::after(Duration::from_millis(5)).await;
    }
    if router.open() > 0 || open.get() > 0 {
        warn!(
            open = router.open(),
            connections = open.get(),
            "left with clients still there"
        );
    }
    config::detach(&router).await;
    router.tally()
}
