//! One front end on sockets: a thread that owns one engine, with it one decision module, and shares nothing
//! with other front ends.

pub mod config;
pub mod etcd;
mod hub;
pub mod ingress;
pub mod mqtt;
mod pool;
pub mod promise_store;
pub mod reload;
mod rollouts;
pub mod roster;
mod roster_source;

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use hub::Hub;
use ingress::{ConnectionGuard, serve, turn_away};
use orchidtally_deployment::Deployment;
use orchidtally_engine::Counters;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// An ending front end waits for so long past the longest client timeout, then ends anyway.
const LEAVE_MARGIN: Duration = Duration::from_secs(1);

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
    pub promise_store: Option<promise_store::PromiseStore>,
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
    let promise_store = start.promise_store.map(Rc::new);
    let hub = Hub::new(
        start.deployment,
        start.seed,
        start.ahead,
        start.random,
        promise_store,
        roster_source::watch,
        &spawner,
    );
    hub.at.set(listener.get_ref().local_addr().ok());
    spawner.spawn(hub.clone().keep_time()).detach();
    spawner.spawn(hub.clone().watch_clock()).detach();
    spawner
        .spawn(hub.clone().keep_house(start.ahead, start.step))
        .detach();
    if !hub.deployment.coordinators.is_empty() {
        spawner.spawn(rollouts::keep_up(hub.clone())).detach();
    }
    if let Some(configuration) = &hub.deployment.configuration
        && let Err(fault) = config::attach(&hub, configuration, &spawner)
    {
        error!(%fault, "the configuration's settings can't be used; mend the section 'configuration'");
        return hub.tally();
    }
    if let Some(reloads) = start.reloads {
        spawner.spawn(reload::follow(hub.clone(), reloads)).detach();
    }
    let (leave, leaving) = async_channel::bounded::<()>(1);
    let consuming = start
        .triggers
        .and_then(|triggers| hub.spawn(mqtt::consume(hub.clone(), triggers, leaving)));
    let work = attend(
        hub,
        spawner.clone(),
        listener,
        start.stop,
        (consuming, leave),
    );
    async_io::block_on(spawner.run(work))
}

async fn attend(
    hub: Rc<Hub>,
    spawner: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    stop: async_channel::Receiver<()>,
    (consuming, stop_consuming): (Option<Task<()>>, async_channel::Sender<()>),
) -> Counters {
    let most = hub.deployment.limits.max_connections;
    let open = Rc::new(Cell::new(0));
    let (leave, leaving) = async_channel::bounded::<()>(1);
    let mut turned_away = 0u64;
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
                    hub.clone(),
                    stream,
                    leaving.clone(),
                    ConnectionGuard::new(&open),
                ))
                .detach();
        } else if open.get() < most + most / 4 + 16 {
            turned_away += 1;
            if turned_away.is_power_of_two() {
                warn!(turned_away, most, "connections over the bound");
            }
            let counted = ConnectionGuard::new(&open);
            let say = async move {
                turn_away(stream).await;
                drop(counted);
            };
            spawner.spawn(say).detach();
        }
    }
    drop(listener);
    drop(stop_consuming);
    let deadline = Instant::now() + Duration::from_secs_f64(hub.longest_timeout()) + LEAVE_MARGIN;
    if let Some(consuming) = consuming {
        // Messages in hand may have to be dispatched yet.
        let left = orchidtally_socket_io::with_timeout(deadline - Instant::now(), consuming).await;
        if left.is_none() {
            warn!("left with messages in hand: the journal has them");
        }
    }
    hub.leave();
    info!(
        open = hub.open(),
        connections = open.get(),
        "leaving: nothing new is taken"
    );
    drop(leave);
    while (hub.open() > 0 || open.get() > 0) && Instant::now() < deadline {
        Timer::after(Duration::from_millis(5)).await;
    }
    if hub.open() > 0 || open.get() > 0 {
        warn!(
            open = hub.open(),
            connections = open.get(),
            "left with clients still there"
        );
    }
    config::detach(&hub).await;
    hub.tally()
}
