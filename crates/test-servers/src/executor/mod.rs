//! An executor: cores, memory, copies with lanes, loads from the store, a bounded queue, tokens it remembers
//! with its group, a cold start in which it can be pushed over, reports that come late and noisy; and the
//! faults that a script puts on it.

mod connection;
mod copies;
mod dispatch;
mod guards;
mod load_commands;
mod program;
mod slow_start;
mod spec;

pub use program::{Catalogue, FunctionCode, FunctionError, Program, digest, echo, package};
pub use spec::{ExecutorSpec, Faults, SharedResources, TokenCache};

use crate::TestEnvironment;
use crate::store::PackageStore;
use async_channel::Sender;
use async_executor::Task;
use copies::Copy;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};

/// An executor on a socket, with what it holds.
pub struct Executor {
    /// What the executor is like.
    pub spec: ExecutorSpec,
    /// Faults that a script sets.
    pub faults: Faults,
    /// Where it listens.
    pub address: SocketAddr,
    stage: TestEnvironment,
    /// The store from which it loads functions.
    pub store: Rc<PackageStore>,
    catalogue: Catalogue,
    tokens: Rc<TokenCache>,
    token_window: f64,
    copies: RefCell<HashMap<String, Copy>>,
    /// Packages that were found to be others than their digests name.
    other_bytes: RefCell<HashSet<String>>,
    in_hand: Cell<usize>,
    running: Cell<usize>,
    /// Whether it takes no new dispatches.
    pub draining: Cell<bool>,
    /// When it started; minus infinity for long ago.
    since: Cell<f64>,
    /// When work came lately and how much, while it is cold.
    arrived: RefCell<VecDeque<(f64, f64)>>,
    /// Backlogs by time, for reports that are late.
    backlogs: RefCell<VecDeque<(f64, f32, f32)>>,
    /// Incarnations heard under each index, and when.
    received: RefCell<HashMap<u32, HashMap<u64, f64>>>,
    serving: RefCell<Option<Task<()>>>,
    open: RefCell<Vec<TcpStream>>,
    goodbye: RefCell<Option<Sender<()>>>,
    me: Weak<Executor>,
    /// How many times it was overloaded during slow start.
    pub overload_count: Cell<u32>,
    /// The time that clients had left, as the last dispatch told it, in seconds.
    pub last_time_left: Cell<f64>,
    falling: Cell<bool>,
}

impl Executor {
    /// Starts one; port 0 takes any free one.
    pub fn start(
        stage: &TestEnvironment,
        spec: ExecutorSpec,
        at: SocketAddr,
        around: SharedResources,
    ) -> std::io::Result<Rc<Executor>> {
        let listener = orchidtally_socket_io::listen(at)?;
        let address = listener.get_ref().local_addr()?;
        let executor = Rc::new_cyclic(|me| Executor {
            spec,
            faults: Faults::default(),
            address,
            stage: stage.clone(),
            store: around.store,
            catalogue: around.catalogue,
            tokens: around.token_cache,
            token_window: around.deduplication_window,
            copies: RefCell::default(),
            other_bytes: RefCell::default(),
            in_hand: Cell::new(0),
            running: Cell::new(0),
            draining: Cell::new(false),
            since: Cell::new(f64::NEG_INFINITY),
            arrived: RefCell::default(),
            backlogs: RefCell::default(),
            received: RefCell::default(),
            serving: RefCell::default(),
            open: RefCell::default(),
            goodbye: RefCell::default(),
            me: me.clone(),
            overload_count: Cell::new(0),
            last_time_left: Cell::new(f64::INFINITY),
            falling: Cell::new(false),
        });
        executor.serve(listener);
        Ok(executor)
    }

    /// When it last started, in seconds of the environment's clock; minus infinity for long ago.
    pub fn started_at(&self) -> f64 {
        self.since.get()
    }

    /// Whether it accepts connections.
    pub fn is_up(&self) -> bool {
        self.serving.borrow().is_some()
    }

    /// Dispatches that are waiting or running.
    pub fn pending(&self) -> usize {
        self.in_hand.get()
    }

    fn serve(&self, listener: async_io::Async<std::net::TcpListener>) {
        let Some(me) = self.me.upgrade() else { return };
        let (goodbye, leaving) = async_channel::bounded(1);
        *self.goodbye.borrow_mut() = Some(goodbye);
        let work = async move {
            // Connections live and die with this task.
            let connections = async_executor::LocalExecutor::new();
            let accepting = async {
                loop {
                    let stream = orchidtally_socket_io::accept(&listener).await;
                    let mut open = me.open.borrow_mut();
                    open.retain(|s| s.peer_addr().is_ok());
                    open.extend(stream.abort_handle());
                    drop(open);
                    connections
                        .spawn(me.clone().connection(stream, leaving.clone()))
                        .detach();
                }
            };
            connections
                .run(future::or(accepting, me.clone().run_housekeeping()))
                .await
        };
        *self.serving.borrow_mut() = Some(self.stage.spawn(work));
    }

    /// Ends at once: connections are reset, and what is in hand is lost.
    pub fn crash(&self) {
        let serving = self.serving.borrow_mut().take();
        for stream in self.open.borrow_mut().drain(..) {
            orchidtally_socket_io::reset_on_close(&stream);
        }
        drop(serving);
        self.copies.borrow_mut().clear();
        self.arrived.borrow_mut().clear();
        self.backlogs.borrow_mut().clear();
    }

    /// Starts again at its address, cold.
    pub fn restart(&self) -> std::io::Result<()> {
        self.draining.set(false);
        self.since.set(self.stage.now());
        self.serve(orchidtally_socket_io::listen(self.address)?);
        Ok(())
    }

    /// Drops every copy, as a new release of all functions does. What runs goes on.
    pub fn drop_copies(&self) {
        self.copies.borrow_mut().retain(|_, c| !c.loaded);
    }

    /// Tells all peers that it goes: what is in hand is finished, nothing new is taken.
    pub fn send_go_away(&self) {
        self.goodbye.borrow_mut().take();
    }

    async fn run_housekeeping(self: Rc<Self>) {
        loop {
            self.stage.sleep(0.1).await;
            let now = self.stage.now();
            let waiting = self.in_hand.get().saturating_sub(self.running.get()) as f32;
            let memory = self.memory_used() / self.spec.memory;
            let mut backlogs = self.backlogs.borrow_mut();
            backlogs.push_back((now, waiting, memory as f32));
            while backlogs.front().is_some_and(|b| b.0 < now - 10.0) {
                backlogs.pop_front();
            }
            let keep = self.spec.keep_alive;
            let idle =
                |c: &Copy| c.loaded && c.running == 0 && c.held == 0 && now > c.used_at + keep;
            self.copies.borrow_mut().retain(|_, c| !idle(c));
        }
    }

    fn memory_used(&self) -> f64 {
        self.copies.borrow().values().map(|c| c.memory).sum()
    }

    fn report(&self) -> Vec<f32> {
        let now = self.stage.now();
        let late = if self.faults.delayed_reports.is_active(now) {
            8.0
        } else {
            self.spec.report_delay
        };
        let backlogs = self.backlogs.borrow();
        let notified = backlogs
            .iter()
            .rev()
            .find(|b| b.0 <= now - late)
            .or(backlogs.front())
            .copied();
        let (_, waiting, memory) = notified.unwrap_or_default();
        let noise = 1.0 + self.spec.report_noise * (2.0 * self.stage.unit() - 1.0);
        let value = |field: &String| match field.as_str() {
            "backlog" => waiting * noise as f32,
            "memory" => memory,
            "outstanding" => self.in_hand.get() as f32,
            _ => 0.0,
        };
        self.spec.report_fields.iter().map(value).collect()
    }
}
