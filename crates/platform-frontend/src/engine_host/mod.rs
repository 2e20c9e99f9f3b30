//! The engine's host: owns the client and executor connections and implements the engine's callbacks.
//!
//! A dispatch or load command that can't be sent is not reported from within the callback. The event loop reports it to
//! the engine after the current engine call.

mod callbacks;
mod flushing;
mod load_commands;
mod sending;

use crate::client_connection::ClientConnection;
use crate::delayed_dispatches::{DelayedDispatches, DispatchKey};
use crate::executed_ids::ExecutedIds;
use crate::executor_pool::ExecutorPool;
use crate::invocation_request::IdState;
use crate::invocation_table::{InvocationTable, OpenInvocation};
use crate::log_rate_limiter::LogRateLimiter;
use crate::memory_use::HeldBytes;
use crate::process_clock::ProcessClock;
pub use flushing::SendRevalidator;
pub use load_commands::LoadCommand;
use mio::Registry;
use orchidtally_dispatch_policy::interface::{DispatchStatus, ExecutorId};
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_engine::{AdmissionError, Engine, InvocationRequest, ResponseMetadata};
use orchidtally_platform_config::FrontEndSettings;
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tracing::warn;

/// Prefix of the tags of health checks on the wire.
const HEALTH_CHECK_PREFIX: &str = "probe-";

/// The version of the endpoint list that decisions are based on.
#[derive(Clone, Copy, Debug)]
pub struct ViewVersion {
    /// The serial of the list.
    pub serial: u32,
    /// The time at which the list was last known to be current, in seconds.
    pub fresh_at: f64,
}

/// A dispatch that could not be sent.
pub struct UnsentDispatch {
    /// The dispatch.
    pub key: DispatchKey,
    /// The transport outcome that the failure is evidence of.
    pub evidence: TransportOutcome,
}

/// A load command that could not be sent.
pub struct UnsentLoadCommand {
    /// The tag of the command.
    pub tag: u64,
    /// The transport outcome that the failure is evidence of.
    pub evidence: TransportOutcome,
}

/// A connection that was aborted because it did not accept a cancel at once.
pub struct AbortedConnection {
    /// The slot of the connection.
    pub slot: usize,
    /// The reason, for the log.
    pub reason: String,
}

/// An executor's response to a dispatch.
pub struct ExecutorResponse<'a> {
    /// The dispatch.
    pub key: DispatchKey,
    /// The result of the dispatch.
    pub status: DispatchStatus,
    /// Further information from the executor.
    pub metadata: ResponseMetadata<'a>,
    /// The response body.
    pub body: Vec<u8>,
}

/// The host of the engine on the platform's protocols.
pub struct EngineHost {
    /// The client connections, by slot.
    pub clients: Slab<ClientConnection>,
    /// The executors and the connections to them.
    pub pool: ExecutorPool,
    /// The open invocations.
    pub invocations: InvocationTable,
    /// The ids of invocations that were dispatched and must not run twice.
    executed_ids: ExecutedIds,
    now: f64,
    clock: ProcessClock,
    /// A process stall was detected since the last call of `take_stall`.
    has_stalled: bool,
    trigger_types: Vec<String>,
    connect_timeout: f64,
    /// The resolution of the engine's clock in seconds: times closer than this are treated as equal.
    clock_tick: f64,
    max_retry_after: f64,
    /// Whether cancels may be sent to executors.
    allows_cancellation: bool,
    /// The slot of the connection that carries each dispatch in flight.
    in_flight: HashMap<DispatchKey, usize>,
    delayed_dispatches: DelayedDispatches,
    /// For each invocation id with an abandoned dispatch, the time in seconds until which its cancel may be in transit.
    cancels_in_transit: BTreeMap<Rc<str>, f64>,
    load_commands: BTreeMap<u64, LoadCommand>,
    next_tag: u64,
    unsent_dispatches: Vec<UnsentDispatch>,
    unsent_load_commands: Vec<UnsentLoadCommand>,
    /// The slots of clients with output to flush.
    dirty_clients: Vec<usize>,
    /// The slots of executor connections with unwritten cancels.
    unflushed_cancels: Vec<usize>,
    aborted_connections: Vec<AbortedConnection>,
    /// The invocation that the engine is deciding whether to admit.
    pending_admission: Option<OpenInvocation>,
    /// The body of the response that is being reported to the engine.
    response_body: Vec<u8>,
    view: ViewVersion,
    dispatch_log_limiter: LogRateLimiter,
    result_log_limiter: LogRateLimiter,
}

impl EngineHost {
    /// Creates a host without connections. `now` is in seconds.
    pub fn new(
        now: f64,
        registry: Registry,
        settings: &FrontEndSettings,
        max_executor_connections: usize,
        executed_ids: ExecutedIds,
    ) -> EngineHost {
        EngineHost {
            clients: Slab::new(),
            pool: ExecutorPool::new(registry, settings, max_executor_connections),
            invocations: InvocationTable::default(),
            executed_ids,
            now,
            clock: ProcessClock::starting_at(now),
            has_stalled: false,
            trigger_types: settings.trigger_types.clone(),
            connect_timeout: settings.connect_timeout,
            clock_tick: settings.policy.clock_tick,
            max_retry_after: settings.policy.max_retry_after,
            allows_cancellation: settings.policy.allows_cancellation,
            in_flight: HashMap::new(),
            delayed_dispatches: DelayedDispatches::default(),
            cancels_in_transit: BTreeMap::new(),
            load_commands: BTreeMap::new(),
            next_tag: 1,
            unsent_dispatches: vec![],
            unsent_load_commands: vec![],
            dirty_clients: vec![],
            unflushed_cancels: vec![],
            aborted_connections: vec![],
            pending_admission: None,
            response_body: vec![],
            view: ViewVersion {
                serial: 0,
                fresh_at: now,
            },
            dispatch_log_limiter: LogRateLimiter::default(),
            result_log_limiter: LogRateLimiter::default(),
        }
    }

    /// Sets the clock. It has to be the one from which the `now` of `new` was read.
    pub fn set_clock(&mut self, clock: ProcessClock) {
        self.clock = clock;
    }

    /// The time of the last reading of the clock, in seconds.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// Reads the clock. If it shows a process stall, notifies `revalidator` before anything else is sent.
    pub fn read_clock(&mut self, revalidator: &mut dyn SendRevalidator) {
        self.now = self.clock.read().max(self.now);
        let Some(seconds) = self.clock.take_stall() else {
            return;
        };
        let view_age = self.now - self.view.fresh_at;
        warn!(seconds, view_age, "process stall detected");
        revalidator.on_process_stall(self.now);
        self.has_stalled = true;
    }

    /// Whether a process stall was detected since the last call.
    pub fn take_stall(&mut self) -> bool {
        std::mem::take(&mut self.has_stalled)
    }

    /// The earliest time at which bytes that are read at `now` may have arrived.
    pub fn earliest_arrival(&self, now: f64) -> f64 {
        self.clock.earliest_arrival(now)
    }

    /// Slews the clock gradually towards the wall clock.
    pub fn adjust_to_wall_clock(&mut self) {
        self.clock.adjust_to_wall_clock();
    }

    /// The version of the endpoint list that decisions are based on.
    pub fn view(&self) -> ViewVersion {
        self.view
    }

    /// Sets the version of the endpoint list that decisions are based on.
    pub fn set_view(&mut self, view: ViewVersion) {
        self.view = view;
    }

    /// The longest retry delay in seconds that is sent to clients.
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
        self.pending_admission = Some(invocation);
        let admitted = engine.admit(self.now, request, self);
        self.pending_admission = None;
        admitted.map(drop)
    }

    /// Reports an executor's response to the engine.
    pub fn report_response(&mut self, engine: &mut Engine, now: f64, response: ExecutorResponse) {
        let DispatchKey { invocation, number } = response.key;
        self.response_body = response.body;
        engine.on_dispatch_result(
            now,
            invocation,
            number,
            response.status,
            response.metadata,
            self,
        );
        self.response_body = vec![];
    }

    /// Adds a client to the list of those with output to flush.
    pub fn mark_client_dirty(&mut self, slot: usize) {
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        client.idle_since = self.now;
        if !std::mem::replace(&mut client.is_dirty, true) {
            self.dirty_clients.push(slot);
        }
    }

    /// Takes the list of clients with output to flush. Their `is_dirty` flags stay set until the caller clears them.
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

    /// Takes the connections that were aborted and have to be closed.
    pub fn take_aborted_connections(&mut self) -> Vec<AbortedConnection> {
        std::mem::take(&mut self.aborted_connections)
    }

    /// Whether unsent commands are left to report or output is left to flush.
    pub fn has_pending_output(&self) -> bool {
        !self.unsent_dispatches.is_empty()
            || !self.unsent_load_commands.is_empty()
            || self.pool.has_dirty()
            || !self.dirty_clients.is_empty()
    }

    /// Whether any dispatch is being delayed.
    pub fn has_delayed_dispatches(&self) -> bool {
        !self.delayed_dispatches.is_empty()
    }

    /// What is known of an invocation id that a client has chosen.
    pub fn id_state(&self, id: &str) -> IdState {
        let is_executed = |id| self.executed_ids.contains(id);
        if self.invocations.contains_client_invocation_id(id) {
            IdState::Open
        } else if u64::from_str_radix(id, 16).is_ok_and(is_executed) {
            IdState::Executed
        } else {
            IdState::Unused
        }
    }

    /// Records that an open invocation provably never ran.
    fn record_never_ran(&mut self, invocation: u32) {
        let id = self
            .invocations
            .get(invocation)
            .and_then(OpenInvocation::id_number);
        if let Some(id) = id {
            self.executed_ids.remove(id);
        }
    }

    /// Removes an invocation that got its final response or was cancelled by its client.
    pub fn remove_invocation(&mut self, invocation: u32) -> Option<OpenInvocation> {
        let open = self.invocations.remove(invocation)?;
        if let Some(client) = self.clients.get_mut(open.client) {
            client.open_invocations.remove(&open.stream);
            client.open_bytes = client.open_bytes.saturating_sub(open.held_bytes());
        }
        Some(open)
    }

    /// Removes an invocation and sends its final response. No other function sends one for an admitted invocation, so
    /// there is at most one.
    fn respond(&mut self, invocation: u32, code: u8, fields: &[(&str, &str)], body: &[u8]) {
        let Some(open) = self.remove_invocation(invocation) else {
            return;
        };
        if let Some(client) = self.clients.get_mut(open.client) {
            client.respond(open.stream, code, fields, body);
            self.mark_client_dirty(open.client);
        }
    }

    /// What is held in memory at the will of peers, by owner.
    pub fn held_bytes(&self) -> HeldBytes {
        let mut held = HeldBytes {
            invocations: self.invocations.held_bytes(),
            ..HeldBytes::default()
        };
        for (_, client) in &self.clients {
            held.client_input += client.held_input_bytes();
            held.client_output += client.held_output_bytes();
        }
        for (_, connection) in self.pool.connections() {
            held.executor_input += connection.decoder.held_bytes();
            held.executor_output += connection.held_output_bytes();
        }
        held
    }

    /// Whether no dispatch is in flight.
    #[cfg(test)]
    pub fn has_no_dispatch_in_flight(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Removes a dispatch that is no longer in flight.
    pub fn remove_in_flight(&mut self, key: DispatchKey) {
        self.in_flight.remove(&key);
    }

    /// Records that a dispatch to an executor was abandoned now, so that the next dispatch of its invocation is delayed
    /// until the cancel has arrived. The two travel over different connections, which don't preserve their order.
    pub fn record_abandoned(&mut self, id: &Rc<str>, executor_id: ExecutorId) {
        let transit_time = self
            .pool
            .executor(executor_id)
            .map_or(0.0, |executor| executor.min_connect_time)
            .min(self.connect_timeout);
        let until = self.now + transit_time.max(self.clock_tick);
        self.cancels_in_transit.insert(id.clone(), until);
    }

    /// Removes the records of cancels that have arrived by `now`.
    pub fn remove_delivered_cancels(&mut self, now: f64) {
        self.cancels_in_transit.retain(|_, until| *until > now);
    }
}

#[cfg(test)]
#[path = "../tests/engine_host.rs"]
mod tests;
