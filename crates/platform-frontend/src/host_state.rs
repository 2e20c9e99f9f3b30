//! The state of the engine's host: what is open, and the connections to clients and executors. What comes of a dispatch
//! that can't be sent is reported to the engine after its present call.

use crate::clients::Client;
use crate::connections::{Connection, Executor};
use crate::held::Held;
use crate::log_budget::LogBudget;
use crate::process_clock::ProcessClock;
use mio::Registry;
use orchidtally_dispatch_policy::interface::ExecutorId;
use orchidtally_engine::Engine;
use orchidtally_engine::evidence::Transport;
use orchidtally_platform_config::FrontEndSettings;
use slab::Slab;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

/// Prefixes of the tags of orders and probes: no id of an invocation, 16 hex digits, begins so.
pub const ORDER: &str = "order-";
pub const PROBE: &str = "probe-";

/// An invocation that was taken.
pub struct OpenInvocation {
    pub client: usize,
    pub stream: u32,
    /// The client's id for it.
    pub id: Rc<str>,
    pub trigger_type: usize,
    pub function: Rc<str>,
    pub token: Option<String>,
    pub body: Vec<u8>,
    pub timeout_at: f64,
}

/// The list of executors that decisions rest on: its serial, and when it was true.
#[derive(Clone, Copy, Debug)]
pub struct ViewStamp {
    pub serial: u32,
    pub fresh_at: f64,
}

/// Asked as bytes leave whether what was decided earlier still holds.
pub trait SendRevalidation {
    /// The process stood still until now.
    fn on_process_stall(&mut self, now: f64);
    fn revalidate_dispatch(&mut self, now: f64, inv: u32, dispatch: u8) -> bool;
    fn revalidate_load(&mut self, now: f64, to: ExecutorId, at: f64) -> bool;
}

impl SendRevalidation for Engine {
    fn on_process_stall(&mut self, now: f64) {
        Engine::on_process_stall(self, now);
    }

    fn revalidate_dispatch(&mut self, now: f64, inv: u32, dispatch: u8) -> bool {
        Engine::revalidate_dispatch(self, now, inv, dispatch)
    }

    fn revalidate_load(&mut self, now: f64, to: ExecutorId, at: f64) -> bool {
        Engine::revalidate_load(self, now, to, at)
    }
}

/// An order to load that is out.
pub struct Order {
    pub to: ExecutorId,
    pub function: u64,
    pub copies: u8,
    pub begun: f64,
    pub connection: usize,
}

/// The state of the engine's host.
pub struct HostState {
    pub now: f64,
    /// Read anew as bytes leave.
    pub clock: ProcessClock,
    /// The process stood still, which the resolver is to be asked about.
    pub stood_still: bool,
    pub registry: Registry,
    pub trigger_types: Vec<String>,
    pub streams: usize,
    pub connect_time: f64,
    /// Times that are closer than this count as one.
    pub tick: f64,
    /// Seconds after which executors close an idle connection.
    pub idle_close: f64,
    /// Whether executors take cancels.
    pub cancels: bool,
    /// The most connections to executors.
    pub most_connections: usize,
    pub clients: Slab<Client>,
    pub connections: Slab<Connection>,
    pub executors: BTreeMap<ExecutorId, Executor>,
    pub invocations: HashMap<u32, OpenInvocation>,
    /// Bytes of the request bodies that are kept.
    pub kept: usize,
    /// Clients' ids of open invocations.
    pub ids: HashSet<Rc<str>>,
    /// The connection of each dispatch that is out.
    pub outs: HashMap<(u32, u8), usize>,
    pub held: Held,
    /// Ids of invocations of which a dispatch was cancelled, and until when that cancel may be under way.
    pub given_up: BTreeMap<Rc<str>, f64>,
    pub orders: BTreeMap<u64, Order>,
    pub next_tag: u64,
    /// Dispatches and orders that could not be sent.
    pub unsent: Vec<(u32, u8, Transport)>,
    pub undone: Vec<(u64, Transport)>,
    pub dirty_clients: Vec<usize>,
    pub dirty_connections: Vec<usize>,
    /// Connections with cancels that are not written yet, and those that did not take them whole, with the reason.
    pub cancelled: Vec<usize>,
    pub cut: Vec<(usize, String)>,
    /// The invocation that is being taken.
    pub taking: Option<OpenInvocation>,
    /// The body of the answer that is being reported.
    pub brought: Vec<u8>,
    pub longest_stay_away: f64,
    /// The list that decisions rest on, for the log.
    pub view: ViewStamp,
    pub dispatch_log: LogBudget,
    pub answer_log: LogBudget,
}

impl HostState {
    /// A host without connections.
    pub fn new(
        now: f64,
        registry: Registry,
        settings: &FrontEndSettings,
        most_connections: usize,
    ) -> HostState {
        HostState {
            now,
            clock: ProcessClock::starting_at(now),
            stood_still: false,
            registry,
            trigger_types: settings.trigger_types.clone(),
            streams: settings.max_streams_per_connection,
            connect_time: settings.connect_timeout,
            tick: settings.policy.clock_tick,
            idle_close: settings.idle_timeout,
            cancels: settings.policy.allows_cancellation,
            most_connections,
            clients: Slab::new(),
            connections: Slab::new(),
            executors: BTreeMap::new(),
            invocations: HashMap::new(),
            kept: 0,
            ids: HashSet::new(),
            outs: HashMap::new(),
            held: Held::default(),
            given_up: BTreeMap::new(),
            orders: BTreeMap::new(),
            next_tag: 1,
            unsent: vec![],
            undone: vec![],
            dirty_clients: vec![],
            dirty_connections: vec![],
            cancelled: vec![],
            cut: vec![],
            taking: None,
            brought: vec![],
            longest_stay_away: settings.policy.max_retry_after,
            view: ViewStamp {
                serial: 0,
                fresh_at: now,
            },
            dispatch_log: LogBudget::default(),
            answer_log: LogBudget::default(),
        }
    }

    /// Notes that a client has something to write.
    pub fn touch_client(&mut self, slot: usize) {
        if let Some(client) = self.clients.get_mut(slot) {
            client.idle_since = self.now;
            if !std::mem::replace(&mut client.dirty, true) {
                self.dirty_clients.push(slot);
            }
        }
    }

    /// Notes that a connection has something to write.
    pub fn touch_connection(&mut self, slot: usize) {
        if self
            .connections
            .get_mut(slot)
            .is_some_and(|l| !std::mem::replace(&mut l.dirty, true))
        {
            self.dirty_connections.push(slot);
        }
    }

    /// The invocation is over for its client.
    pub fn drop_invocation(&mut self, inv: u32) -> Option<OpenInvocation> {
        let work = self.invocations.remove(&inv)?;
        self.kept -= work.body.len();
        self.ids.remove(&work.id);
        if let Some(client) = self.clients.get_mut(work.client) {
            client.open.remove(&work.stream);
        }
        Some(work)
    }

    /// Sends the final answer of an invocation; no other function does.
    pub fn answer(&mut self, inv: u32, code: u8, fields: &[(&str, &str)], body: &[u8]) {
        let Some(work) = self.drop_invocation(inv) else {
            return;
        };
        if let Some(client) = self.clients.get_mut(work.client) {
            client.answer(work.stream, code, fields, body);
            self.touch_client(work.client);
        }
    }
}

#[cfg(test)]
#[path = "tests/host_state.rs"]
mod tests;
