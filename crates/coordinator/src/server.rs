//! Runs a coordinator on sockets.

use crate::StopReason;
use crate::journal::{persist, recover};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use orchidtally_deployment::Deployment;
use orchidtally_journal::Journal;
use orchidtally_rollout::Coordinator;
use orchidtally_socket_io::Stream;
use smol_hyper::rt::SmolTimer;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{debug, error, info, warn};

/// Interval of ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Evidence is persisted after this many ticks without a change of the published state.
const TICKS_PER_PERSIST: u32 = 2;
/// The time limit for receiving a request's headers, and its body.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The most concurrent connections.
const MAX_CONNECTIONS: usize = 2_000;

/// A coordinator with its journal and its connections.
pub(crate) struct CoordinatorServer {
    pub(crate) deployment: Deployment,
    pub(crate) coordinator: RefCell<Coordinator>,
    journal: RefCell<Journal>,
    /// The error of a failed write to the journal. The process exits then, as only persisted states may be published.
    failure: RefCell<Option<io::Error>>,
    ticks_since_persist: Cell<u32>,
    connections: Cell<usize>,
}

/// Returns the current time in seconds since 1970.
pub(crate) fn now() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |time| time.as_secs_f64())
}

/// Runs a coordinator on this thread until it is stopped or superseded. Its journal is in `directory`. It stops on a
/// message on `stop`, or when that channel is closed.
///
/// # Errors
///
/// If the journal can't be read or written.
pub fn run(
    deployment: Deployment,
    directory: &Path,
    listener: Async<TcpListener>,
    stop: async_channel::Receiver<()>,
) -> io::Result<StopReason> {
    let (journal, state) = recover(directory)?;
    let coordinator = Coordinator::new(state, rand::random(), now());
    info!(
        term = coordinator.published().epoch.term,
        "coordinator started"
    );
    let server = Rc::new(CoordinatorServer {
        deployment,
        coordinator: RefCell::new(coordinator),
        journal: RefCell::new(journal),
        failure: RefCell::default(),
        ticks_since_persist: Cell::new(0),
        connections: Cell::new(0),
    });
    server.persist()?;
    let spawner = Rc::new(LocalExecutor::new());
    let stopped = async {
        // A closed channel stops the coordinator as a message does.
        let _ = stop.recv().await;
        Ok(StopReason::Stopped)
    };
    let accepting = server.clone().accept(listener, spawner.clone());
    let work = future::or(stopped, future::or(server.run_ticks(), accepting));
    async_io::block_on(spawner.run(work))
}

impl CoordinatorServer {
    /// Persists the whole state.
    fn persist(&self) -> io::Result<()> {
        self.coordinator.borrow_mut().take_changed();
        self.ticks_since_persist.set(0);
        persist(
            &mut self.journal.borrow_mut(),
            self.coordinator.borrow().state(),
        )
    }

    /// Persists the state if it has changed. Call it after every change and before publishing. Returns false if that
    /// failed; the process then exits.
    pub(crate) fn persist_changes(&self) -> bool {
        if self.coordinator.borrow_mut().take_changed()
            && let Err(error) = self.persist()
        {
            error!(%error, "coordinator state can't be persisted, stopping");
            *self.failure.borrow_mut() = Some(error);
        }
        self.failure.borrow().is_none()
    }

    async fn run_ticks(&self) -> io::Result<StopReason> {
        loop {
            Timer::after(TICK_INTERVAL).await;
            self.coordinator.borrow_mut().tick(now());
            if let Some(epoch) = self.coordinator.borrow().superseded() {
                let own = self.coordinator.borrow().published().epoch.term;
                warn!(
                    own_term = own,
                    term = epoch.term,
                    "superseded by a coordinator with a higher term, stopping"
                );
                return Ok(StopReason::Superseded(epoch));
            }
            self.ticks_since_persist
                .set(self.ticks_since_persist.get() + 1);
            let is_due = self.ticks_since_persist.get() >= TICKS_PER_PERSIST;
            if self.persist_changes() && is_due && !self.is_idle() {
                // A failure loses only evidence, which accumulates again.
                if let Err(error) = self.persist() {
                    warn!(%error, "evidence can't be persisted");
                }
            }
            if let Some(error) = self.failure.borrow_mut().take() {
                return Err(error);
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.coordinator
            .borrow()
            .published()
            .rollouts
            .values()
            .all(|rollout| rollout.phase.has_ended())
    }

    async fn accept(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        spawner: Rc<LocalExecutor<'static>>,
    ) -> io::Result<StopReason> {
        loop {
            let stream = orchidtally_socket_io::accept(&listener).await;
            if self.connections.get() < MAX_CONNECTIONS {
                spawner.spawn(self.clone().serve(stream)).detach();
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: Stream) {
        self.connections.set(self.connections.get() + 1);
        let peer = stream.peer_addr();
        let service = hyper::service::service_fn(|request| self.respond(request));
        let result = hyper::server::conn::http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(REQUEST_TIMEOUT)
            .serve_connection(stream, service)
            .await;
        if let Err(error) = result {
            debug!(?peer, %error, "connection closed with an error");
        }
        self.connections.set(self.connections.get() - 1);
    }
}
