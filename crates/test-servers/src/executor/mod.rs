//! A simulated executor behind a real socket. It models cores, memory, replicas with a concurrency limit, loads from
//! the store, a bounded queue, deduplication within a group, slow start with overload, and late, noisy load reports.
//! A script can inject faults.

mod connection;
mod dispatch;
mod guards;
mod load_commands;
mod program;
mod replicas;
mod slow_start;
mod spec;

pub use program::{Catalogue, FunctionCode, FunctionError, Program, digest, echo, package_name};
pub use spec::{ExecutorSpec, Faults, SharedResources, TokenCache};

use crate::TestEnvironment;
use crate::store::PackageStore;
use async_channel::Sender;
use async_executor::Task;
use futures_lite::future;
use replicas::Replica;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};

/// An executor that listens on a socket.
pub struct Executor {
    /// The executor's configuration.
    pub spec: ExecutorSpec,
    /// Faults that a script sets.
    pub faults: Faults,
    /// The address at which it listens.
    pub address: SocketAddr,
    environment: TestEnvironment,
    /// The store from which it loads functions.
    pub store: Rc<PackageStore>,
    catalogue: Catalogue,
    token_cache: Rc<TokenCache>,
    deduplication_window: f64,
    replicas: RefCell<HashMap<String, Replica>>,
    /// Names of packages whose digest differed from the requested one.
    digest_mismatches: RefCell<HashSet<String>>,
    pending_dispatches: Cell<usize>,
    running: Cell<usize>,
    /// Whether it rejects new dispatches.
    pub draining: Cell<bool>,
    /// When it last started; minus infinity before the first restart.
    started_at: Cell<f64>,
    /// Arrival times and amounts of the work within the overload window during slow start.
    recent_work: RefCell<VecDeque<(f64, f64)>>,
    /// Time, backlog and used fraction of memory over the last 10 seconds, from which delayed reports are made.
    backlogs: RefCell<VecDeque<(f64, f32, f32)>>,
    /// The front ends' incarnations by index, with the time of their last dispatch.
    recent_incarnations: RefCell<HashMap<u32, HashMap<u64, f64>>>,
    serving: RefCell<Option<Task<()>>>,
    open_sockets: RefCell<Vec<TcpStream>>,
    go_away: RefCell<Option<Sender<()>>>,
    weak_self: Weak<Executor>,
    /// The number of overloads during slow start.
    pub overload_count: Cell<u32>,
    /// The time left in the last dispatch received, in seconds; infinity before the first one.
    pub last_time_left: Cell<f64>,
    is_restarting: Cell<bool>,
}

impl Executor {
    /// Starts an executor. Port 0 selects a free port.
    pub fn start(
        environment: &TestEnvironment,
        spec: ExecutorSpec,
        at: SocketAddr,
        resources: SharedResources,
    ) -> std::io::Result<Rc<Executor>> {
        let listener = orchidtally_socket_io::listen(at)?;
        let address = listener.get_ref().local_addr()?;
        let executor = Rc::new_cyclic(|weak_self| Executor {
            spec,
            faults: Faults::default(),
            address,
            environment: environment.clone(),
            store: resources.store,
            catalogue: resources.catalogue,
            token_cache: resources.token_cache,
            deduplication_window: resources.deduplication_window,
            replicas: RefCell::default(),
            digest_mismatches: RefCell::default(),
            pending_dispatches: Cell::new(0),
            running: Cell::new(0),
            draining: Cell::new(false),
            started_at: Cell::new(f64::NEG_INFINITY),
            recent_work: RefCell::default(),
            backlogs: RefCell::default(),
            recent_incarnations: RefCell::default(),
            serving: RefCell::default(),
            open_sockets: RefCell::default(),
            go_away: RefCell::default(),
            weak_self: weak_self.clone(),
            overload_count: Cell::new(0),
            last_time_left: Cell::new(f64::INFINITY),
            is_restarting: Cell::new(false),
        });
        executor.serve(listener);
        Ok(executor)
    }

    /// When it last started, in seconds of the environment's clock; minus infinity before the first restart.
    pub fn started_at(&self) -> f64 {
        self.started_at.get()
    }

    /// Whether it accepts connections.
    pub fn is_up(&self) -> bool {
        self.serving.borrow().is_some()
    }

    /// The number of dispatches that are waiting or running.
    pub fn pending(&self) -> usize {
        self.pending_dispatches.get()
    }

    fn serve(&self, listener: async_io::Async<std::net::TcpListener>) {
        let Some(executor) = self.weak_self.upgrade() else {
            return;
        };
        let (go_away, go_away_signal) = async_channel::bounded(1);
        *self.go_away.borrow_mut() = Some(go_away);
        let work = async move {
            // Dropping this task cancels the tasks of all connections.
            let connections = async_executor::LocalExecutor::new();
            let accepting = async {
                loop {
                    let stream = orchidtally_socket_io::accept(&listener).await;
                    let mut open_sockets = executor.open_sockets.borrow_mut();
                    open_sockets.retain(|s| s.peer_addr().is_ok());
                    open_sockets.extend(stream.abort_handle());
                    drop(open_sockets);
                    connections
                        .spawn(executor.clone().connection(stream, go_away_signal.clone()))
                        .detach();
                }
            };
            connections
                .run(future::or(accepting, executor.clone().run_housekeeping()))
                .await
        };
        *self.serving.borrow_mut() = Some(self.environment.spawn(work));
    }

    /// Stops at once: connections are reset, and pending dispatches are lost.
    pub fn crash(&self) {
        let serving = self.serving.borrow_mut().take();
        for stream in self.open_sockets.borrow_mut().drain(..) {
            orchidtally_socket_io::reset_on_close(&stream);
        }
        drop(serving);
        self.replicas.borrow_mut().clear();
        self.recent_work.borrow_mut().clear();
        self.backlogs.borrow_mut().clear();
    }

    /// Starts again at the same address, without replicas and in slow start.
    pub fn restart(&self) -> std::io::Result<()> {
        self.draining.set(false);
        self.started_at.set(self.environment.now());
        self.serve(orchidtally_socket_io::listen(self.address)?);
        Ok(())
    }

    /// Unloads every replica, as a new release of all functions does. Running dispatches continue.
    pub fn unload_all(&self) {
        self.replicas.borrow_mut().retain(|_, c| !c.loaded);
    }

    /// Sends GOAWAY to all peers: streams in progress finish, and new ones are not accepted.
    pub fn send_go_away(&self) {
        self.go_away.borrow_mut().take();
    }

    /// Samples the backlog and unloads replicas that are idle beyond the keep-alive time, every 0.1 s.
    async fn run_housekeeping(self: Rc<Self>) {
        loop {
            self.environment.sleep(0.1).await;
            let now = self.environment.now();
            let waiting = self
                .pending_dispatches
                .get()
                .saturating_sub(self.running.get()) as f32;
            let memory = self.memory_used() / self.spec.memory;
            let mut backlogs = self.backlogs.borrow_mut();
            backlogs.push_back((now, waiting, memory as f32));
            while backlogs.front().is_some_and(|b| b.0 < now - 10.0) {
                backlogs.pop_front();
            }
            let keep_alive = self.spec.keep_alive;
            let idle = |c: &Replica| {
                c.loaded && c.running == 0 && c.waiting == 0 && now > c.used_at + keep_alive
            };
            self.replicas.borrow_mut().retain(|_, c| !idle(c));
        }
    }

    fn memory_used(&self) -> f64 {
        self.replicas.borrow().values().map(|c| c.memory).sum()
    }

    /// The values of `ExecutorSpec::report_fields`, delayed and with noise as configured.
    fn report(&self) -> Vec<f32> {
        let now = self.environment.now();
        let age = if self.faults.delayed_reports.is_active(now) {
            8.0
        } else {
            self.spec.report_delay
        };
        let backlogs = self.backlogs.borrow();
        let report = backlogs
            .iter()
            .rev()
            .find(|b| b.0 <= now - age)
            .or(backlogs.front())
            .copied();
        let (_, waiting, memory) = report.unwrap_or_default();
        let noise = 1.0 + self.spec.report_noise * (2.0 * self.environment.random_unit() - 1.0);
        let value = |field: &String| match field.as_str() {
            "backlog" => waiting * noise as f32,
            "memory" => memory,
            "outstanding" => self.pending_dispatches.get() as f32,
            _ => 0.0,
        };
        self.spec.report_fields.iter().map(value).collect()
    }
}
