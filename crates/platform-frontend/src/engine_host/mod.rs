//! The engine's host: it owns the connections to clients and executors and performs the engine's callbacks.
//!
//! A dispatch or load command that can't be sent is reported to the engine after the present call, by the event loop.

mod callbacks;
mod flushing;
mod sending;

use crate::client_connection::ClientConnection;
use crate::delayed_dispatches::{DelayedDispatches, DispatchKey};
use crate::executor_pool::ExecutorPool;
use crate::invocation_table::{InvocationTable, OpenInvocation};
use crate::log_budget::LogBudget;
use crate::process_clock::ProcessClock;
pub use flushing::SendRevalidation;
use mio::Registry;
use orchidtally_dispatch_policy::interface::{DispatchStatus, ExecutorId};
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_engine::{AdmissionError, Engine, InvocationRequest, ResponseMetadata};
use orchidtally_platform_config::FrontEndSettings;
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tracing::warn;

/// Prefix of the tags of load commands. No id of an invocation, 16 hex digits, begins like this.
const LOAD_COMMAND_PREFIX: &str = "order-";
/// Prefix of the tags of health checks.
const HEALTH_CHECK_PREFIX: &str = "probe-";

/// The endpoint list that decisions rest on.
#[derive(Clone, Copy, Debug)]
pub struct ViewStamp {
    /// The serial of the list.
    pub serial: u32,
    /// When the list was true, in seconds.
    pub fresh_at: f64,
}

/// A load command without a result yet.
#[derive(Clone, Copy, Debug)]
pub struct LoadCommand {
    /// The executor.
    pub to: ExecutorId,
    /// The function.
    pub function: u64,
    /// The replicas wanted; 0 only queries them.
    pub replicas: u8,
    /// When it was given, in seconds.
    pub begun_at: f64,
    /// The slot of its connection, once it has one.
    pub connection: Option<usize>,
}

/// A dispatch that could not be sent.
pub struct UnsentDispatch {
    /// The dispatch.
    pub key: DispatchKey,
    /// What that is evidence of.
    pub evidence: TransportOutcome,
}

/// A load command that could not be sent.
pub struct UnsentLoadCommand {
    /// Its tag.
    pub tag: u64,
    /// What that is evidence of.
    pub evidence: TransportOutcome,
}

/// A connection that was cut off because it did not take a cancel.
pub struct CutConnection {
    /// Its slot.
    pub slot: usize,
    /// The reason, for the log.
    pub reason: String,
}

/// A dispatch that ended with an answer of its executor.
pub struct ExecutorAnswer<'a> {
    /// The dispatch.
    pub key: DispatchKey,
    /// How it ended.
    pub status: DispatchStatus,
    /// What the answer tells besides.
    pub metadata: ResponseMetadata<'a>,
    /// The response body.
    pub body: Vec<u8>,
}

/// The engine's host.
pub struct EngineHost {
    /// The clients' connections.
    pub clients: Slab<ClientConnection>,
    /// The executors and the connections to them.
    pub pool: ExecutorPool,
    /// The open invocations.
    pub invocations: InvocationTable,
    now: f64,
    clock: ProcessClock,
    /// A process stall was detected and the resolver not asked about it yet.
    has_stalled: bool,
    trigger_types: Vec<String>,
    connect_timeout: f64,
    /// Times in seconds that are closer than this count as one.
    clock_tick: f64,
    max_retry_after: f64,
    /// Whether executors take cancels.
    allows_cancellation: bool,
    /// The connection of each dispatch in flight.
    in_flight: HashMap<DispatchKey, usize>,
    delayed: DelayedDispatches,
    /// Invocations with a cancelled dispatch, by the clients' ids, and until when that cancel may be on its way.
    cancels_in_transit: BTreeMap<Rc<str>, f64>,
    load_commands: BTreeMap<u64, LoadCommand>,
    next_tag: u64,
    unsent_dispatches: Vec<UnsentDispatch>,
    unsent_load_commands: Vec<UnsentLoadCommand>,
    /// Clients with something to write.
    dirty_clients: Vec<usize>,
    /// Connections with cancels that are not written yet.
    unflushed_cancels: Vec<usize>,
    cut_connections: Vec<CutConnection>,
    /// The invocation that is being admitted.
    admitting: Option<OpenInvocation>,
    /// The body of the response that is being reported to the engine.
    response_body: Vec<u8>,
    view: ViewStamp,
    dispatch_log: LogBudget,
    answer_log: LogBudget,
}

impl EngineHost {
    /// A host without connections, at a time in seconds, with a bound on connections to executors.
    pub fn new(
        now: f64,
        registry: Registry,
        settings: &FrontEndSettings,
        max_executor_connections: usize,
    ) -> EngineHost {
        EngineHost {
            clients: Slab::new(),
            pool: ExecutorPool::new(registry, settings, max_executor_connections),
            invocations: InvocationTable::default(),
            now,
            clock: ProcessClock::starting_at(now),
            has_stalled: false,
            trigger_types: settings.trigger_types.clone(),
            connect_timeout: settings.connect_timeout,
            clock_tick: settings.policy.clock_tick,
            max_retry_after: settings.policy.max_retry_after,
            allows_cancellation: settings.policy.allows_cancellation,
            in_flight: HashMap::new(),
            delayed: DelayedDispatches::default(),
            cancels_in_transit: BTreeMap::new(),
            load_commands: BTreeMap::new(),
            next_tag: 1,
            unsent_dispatches: vec![],
            unsent_load_commands: vec![],
            dirty_clients: vec![],
            unflushed_cancels: vec![],
            cut_connections: vec![],
            admitting: None,
            response_body: vec![],
            view: ViewStamp {
                serial: 0,
                fresh_at: now,
            },
            dispatch_log: LogBudget::default(),
            answer_log: LogBudget::default(),
        }
    }

    /// Takes over a clock that the host's time was read from.
    pub fn set_clock(&mut self, clock: ProcessClock) {
        self.clock = clock;
    }

    /// The time of the last reading of the clock, in seconds.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// Reads the clock. After a process stall the engine is notified before anything is sent.
    pub fn read_clock(&mut self, revalidation: &mut dyn SendRevalidation) {
        self.now = self.clock.read().max(self.now);
        let Some(seconds) = self.clock.take_stall() else {
            return;
        };
        let view_age = self.now - self.view.fresh_at;
        warn!(seconds, view_age, "process stall detected");
        revalidation.on_process_stall(self.now);
        self.has_stalled = true;
    }

    /// Whether a process stall was detected since the last call.
    pub fn take_stall(&mut self) -> bool {
        std::mem::take(&mut self.has_stalled)
    }

    /// The earliest time at which bytes that are read now may have arrived.
    pub fn arrival_bound(&self, now: f64) -> f64 {
        self.clock.arrival_bound(now)
    }

    /// Moves the clock towards the wall clock, slowly.
    pub fn follow_wall_clock(&mut self) {
        self.clock.follow_wall_clock();
    }

    /// The endpoint list that decisions rest on.
    pub fn view(&self) -> ViewStamp {
        self.view
    }

    /// Sets the endpoint list that decisions rest on.
    pub fn set_view(&mut self, view: ViewStamp) {
        self.view = view;
    }

    /// The longest time in seconds that clients are told to stay away.
    pub fn max_retry_after(&self) -> f64 {
        self.max_retry_after
    }

    /// Offers an invocation to the engine.
    ///
    /// # Errors
    /// Why the engine does not admit it.
    pub fn admit(
        &mut self,
        engine: &mut Engine,
        request: &InvocationRequest,
        invocation: OpenInvocation,
    ) -> Result<(), AdmissionError> {
        self.admitting = Some(invocation);
        let admitted = engine.admit(self.now, request, self);
        self.admitting = None;
        admitted.map(drop)
    }

    /// Reports an executor's answer to the engine.
    pub fn report_answer(&mut self, engine: &mut Engine, now: f64, answer: ExecutorAnswer) {
        let DispatchKey { invocation, number } = answer.key;
        self.response_body = answer.body;
        engine.on_dispatch_result(
            now,
            invocation,
            number,
            answer.status,
            answer.metadata,
            self,
        );
        self.response_body = vec![];
    }

    /// Notes that a client has something to write.
    pub fn mark_client_dirty(&mut self, slot: usize) {
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        client.idle_since = self.now;
        if !std::mem::replace(&mut client.is_dirty, true) {
            self.dirty_clients.push(slot);
        }
    }

    /// Takes the slots of the clients with something to write; they stay marked.
    pub fn take_dirty_clients(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.dirty_clients)
    }

    /// Takes the dispatches that could not be sent.
    pub fn take_unsent_dispatches(&mut self) -> Vec<UnsentDispatch> {
        std::mem::take(&mut self.unsent_dispatches)
    }

    /// Takes the load commands that could not be sent.
    pub fn take_unsent_load_commands(&mut self) -> Vec<UnsentLoadCommand> {
        std::mem::take(&mut self.unsent_load_commands)
    }

    /// Takes the connections that were cut off and wait to be closed.
    pub fn take_cut_connections(&mut self) -> Vec<CutConnection> {
        std::mem::take(&mut self.cut_connections)
    }

    /// Whether anything is left to report or to write.
    pub fn has_pending_output(&self) -> bool {
        !self.unsent_dispatches.is_empty()
            || !self.unsent_load_commands.is_empty()
            || self.pool.has_dirty()
            || !self.dirty_clients.is_empty()
    }

    /// Whether dispatches are delayed.
    pub fn has_delayed_dispatches(&self) -> bool {
        !self.delayed.is_empty()
    }

    /// Removes an invocation that is over for its client.
    pub fn remove_invocation(&mut self, invocation: u32) -> Option<OpenInvocation> {
        let open = self.invocations.remove(invocation)?;
        if let Some(client) = self.clients.get_mut(open.client) {
            client.open.remove(&open.stream);
        }
        Some(open)
    }

    /// Sends the final answer of an invocation; no other function does.
    fn respond(&mut self, invocation: u32, code: u8, fields: &[(&str, &str)], body: &[u8]) {
        let Some(open) = self.remove_invocation(invocation) else {
            return;
        };
        if let Some(client) = self.clients.get_mut(open.client) {
            client.respond(open.stream, code, fields, body);
            self.mark_client_dirty(open.client);
        }
    }

    /// Whether no dispatch is in flight.
    #[cfg(test)]
    pub fn has_none_in_flight(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Removes a dispatch that is no longer in flight.
    pub fn remove_in_flight(&mut self, key: DispatchKey) {
        self.in_flight.remove(&key);
    }

    /// Removes a load command that has come to its end.
    pub fn remove_load_command(&mut self, tag: u64) -> Option<LoadCommand> {
        let command = self.load_commands.remove(&tag)?;
        if let Some(connection) = command
            .connection
            .and_then(|slot| self.pool.connection_mut(slot))
        {
            connection.load_commands.remove(&tag);
        }
        Some(command)
    }

    /// The oldest load command, if it was given so many seconds ago or earlier.
    pub fn expired_load_command(&self, now: f64, timeout: f64) -> Option<u64> {
        let (&tag, command) = self.load_commands.first_key_value()?;
        (command.begun_at + timeout <= now).then_some(tag)
    }

    /// The tag of a load command in the id of an answer, if it is that of one.
    pub fn load_command_tag(id: &str) -> Option<u64> {
        id.strip_prefix(LOAD_COMMAND_PREFIX)?.parse().ok()
    }

    /// Records that a dispatch to an executor was abandoned now. The next dispatch of its invocation is delayed: a
    /// cancel and the next dispatch use two connections, on which nothing keeps their order.
    pub fn record_abandoned(&mut self, id: &Rc<str>, to: ExecutorId) {
        let transit_time = self
            .pool
            .executor(to)
            .map_or(0.0, |executor| executor.min_connect_time)
            .min(self.connect_timeout);
        let until = self.now + transit_time.max(self.clock_tick);
        self.cancels_in_transit.insert(id.clone(), until);
    }

    /// Forgets cancels that have arrived by a time.
    pub fn forget_arrived_cancels(&mut self, now: f64) {
        self.cancels_in_transit.retain(|_, until| *until > now);
    }
}

#[cfg(test)]
#[path = "../tests/engine_host.rs"]
mod tests;
