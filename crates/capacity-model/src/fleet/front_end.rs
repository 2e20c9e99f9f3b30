//! A hollow front end: the true engine with the dispatch policy, and a host that sends into simulated time.

use super::assumptions::*;
use super::event::{Event, Queue};
use super::measure::{FinalAnswer, Ledger};
use super::request::{Purpose, Request};
use super::topology::{Place, Topology, executor_number};
use super::{Fault, is_idempotent};
use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::{Engine, FailureReason, Host};
use slab::Slab;
use std::collections::HashMap;

/// Calls that a front end may have open: the default of a deployment file.
pub const MOST_OPEN: usize = 20_000;
/// An injected fault affects one of this many answers or dispatches.
const FAULT_EVERY: u64 = 97;

/// A connection to an executor: when it was last used, and the incarnation of the executor at its other end.
#[derive(Clone, Copy)]
pub struct Connection {
    used_at: f32,
    executor_incarnation: u8,
}

const NO_CONNECTION: Connection = Connection {
    used_at: f32::NEG_INFINITY,
    executor_incarnation: 0,
};

/// A call without a final answer.
#[derive(Clone, Copy)]
pub struct OpenCall {
    pub call: u32,
    pub function: u32,
    pub came: f64,
}

/// What the host of one engine keeps.
pub struct HostState {
    pub number: u16,
    pub incarnation: u8,
    pub is_up: bool,
    pub place: Place,
    /// The call that the engine is about to admit.
    pub admitting: OpenCall,
    pub open: HashMap<u32, OpenCall>,
    /// Requests of dispatches that are out, by invocation and dispatch.
    pub sent: HashMap<(u32, u8), u32>,
    connections: Vec<Connection>,
    /// When the timer event that counts is due.
    pub wakes_at: f64,
}

impl HostState {
    pub fn new(number: u16, incarnation: u8, place: Place, executors: usize) -> HostState {
        HostState {
            number,
            incarnation,
            is_up: true,
            place,
            admitting: OpenCall {
                call: 0,
                function: 0,
                came: 0.0,
            },
            open: HashMap::new(),
            sent: HashMap::new(),
            connections: vec![NO_CONNECTION; executors],
            wakes_at: f64::INFINITY,
        }
    }

    /// Forgets the connection to an executor.
    pub fn disconnect(&mut self, executor: usize) {
        self.connections[executor] = NO_CONNECTION;
    }
}

/// What all machines share.
pub struct Shared {
    pub now: f64,
    pub queue: Queue,
    pub requests: Slab<Request>,
    pub topology: Topology,
    pub ledger: Ledger,
    /// The incarnation of each executor: its number of restarts.
    pub executor_incarnations: Vec<u8>,
    pub fault: Option<Fault>,
    pub faults: u64,
}

impl Shared {
    /// Whether an injected fault strikes now.
    fn strikes(&mut self, fault: Fault) -> bool {
        if self.fault != Some(fault) {
            return false;
        }
        self.faults += 1;
        self.faults.is_multiple_of(FAULT_EVERY)
    }
}

/// The host of an engine during one call of it.
pub struct HollowHost<'a> {
    pub state: &'a mut HostState,
    pub shared: &'a mut Shared,
}

impl HollowHost<'_> {
    /// Sends a request, over a connection that is made first where there is none.
    fn send(&mut self, to: ExecutorId, function: u32, purpose: Purpose) -> Option<u32> {
        let now = self.shared.now;
        let executor = executor_number(to)?;
        let place = *self.shared.topology.executors.get(executor)?;
        let delay = self.state.place.delay(place);
        let connection = &mut self.state.connections[executor];
        let is_connected = f64::from(connection.used_at) + CONNECTION_IDLE > now;
        if !is_connected {
            connection.executor_incarnation = self.shared.executor_incarnations[executor];
        }
        connection.used_at = now as f32;
        let request = Request {
            purpose,
            function,
            front_end: self.state.number,
            front_end_incarnation: self.state.incarnation,
            executor: executor as u16,
            executor_incarnation: connection.executor_incarnation,
            is_connected,
            cancelled_at: f64::INFINITY,
            ending: DispatchStatus::Ok,
            found: ReplicaState::Unknown,
            function_concurrency: 0,
            report: [0.0; 2],
        };
        let key = self.shared.requests.insert(request) as u32;
        let trips = if is_connected { 1.0 } else { 3.0 };
        self.shared
            .queue
            .push(now + trips * delay, Event::Reaches(key));
        if purpose != Purpose::Order {
            self.shared
                .ledger
                .dispatched(now, place.region != self.state.place.region);
        }
        Some(key)
    }

    fn answer(&mut self, invocation: u32, answer: FinalAnswer) {
        if self.shared.strikes(Fault::LostAnswer) {
            self.state.open.remove(&invocation);
            return;
        }
        let (now, region) = (self.shared.now, self.state.place.region);
        match self.state.open.remove(&invocation) {
            Some(open) => self.shared.ledger.answered(now, open.came, region, answer),
            None => self.shared.ledger.answered_twice += 1,
        }
    }
}

impl Host for HollowHost<'_> {
    fn admitted(&mut self, invocation: u32) {
        self.state.open.insert(invocation, self.state.admitting);
    }

    fn dispatch(&mut self, invocation: u32, dispatch: u8, to: ExecutorId, _within: f64) {
        let Some(&OpenCall {
            call,
            function,
            came,
        }) = self.state.open.get(&invocation)
        else {
            return;
        };
        let purpose = Purpose::Call {
            invocation,
            dispatch,
            call,
            came,
        };
        if let Some(key) = self.send(to, function, purpose) {
            self.state.sent.insert((invocation, dispatch), key);
        }
        if !is_idempotent(function) && self.shared.strikes(Fault::DuplicateDispatch) {
            self.send(to, function, purpose);
        }
    }

    fn cancel(&mut self, invocation: u32, dispatch: u8) {
        let Some(key) = self.state.sent.remove(&(invocation, dispatch)) else {
            return;
        };
        let Some(request) = self.shared.requests.get_mut(key as usize) else {
            return;
        };
        let Purpose::Call {
            invocation: of,
            dispatch: number,
            ..
        } = request.purpose
        else {
            return;
        };
        // The request may have been lost, and its key be another's by now.
        let same = (request.front_end, request.front_end_incarnation)
            == (self.state.number, self.state.incarnation);
        if same && (of, number) == (invocation, dispatch) {
            let place = self.shared.topology.executors[usize::from(request.executor)];
            request.cancelled_at = self.shared.now + self.state.place.delay(place);
        }
    }

    fn succeeded(&mut self, invocation: u32, _dispatch: u8) {
        self.answer(invocation, FinalAnswer::Succeeded);
    }

    fn rejected(&mut self, invocation: u32, _retry_after: f64, _over_quota: bool) {
        self.answer(invocation, FinalAnswer::Throttled);
    }

    fn failed(&mut self, invocation: u32, _cause: FailureReason, _may_have_run: bool) {
        self.answer(invocation, FinalAnswer::Errored);
    }

    fn load(&mut self, to: ExecutorId, function: u64, copies: u8) {
        if copies > 0 {
            self.send(to, function as u32, Purpose::Order);
        }
    }

    // Asked for by other kinds of deployments than the one that is assumed here.
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}

/// A front end of the fleet.
pub struct FrontEnd {
    pub engine: Engine,
    pub state: HostState,
}

/// The trigger type of functions that are idempotent, and of the others.
pub const IDEMPOTENT: usize = 0;
pub const NON_IDEMPOTENT: usize = 1;

/// The terms of a deployment file with the assumptions of this run, and its defaults otherwise.
pub fn policy(
    front_ends: usize,
    index: usize,
    place: Place,
    regions: Vec<Option<u8>>,
) -> PolicyConfig {
    let trigger_type = |effect| TriggerType {
        latency_objective: OBJECTIVE,
        objective_work_factor: 0.0,
        client_timeout: CLIENT_TIMEOUT,
        billed_value: 1.0,
        late_value_fraction: 0.2,
        idempotency: effect,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0.0,
    };
    PolicyConfig {
        trigger_types: vec![
            trigger_type(Idempotency::Idempotent),
            trigger_type(Idempotency::NonIdempotent),
        ],
        over_quota_value_factor: 0.1,
        front_ends: front_ends as f64,
        front_end_index: index as f64,
        zone: place.zone,
        cross_zone_cost: CROSSING,
        zone_regions: regions,
        max_functions: None,
        clock_tick: 0.002,
        max_dispatches: 4,
        allows_cancellation: true,
        max_retry_after: 1.0,
        slow_start_duration: COLD_TIME,
        slow_start_initial_weight: COLD_SPEED,
        overload_factor: 2.0,
        overload_window: 1.0,
        allows_load_commands: true,
        reports_concurrency: true,
        keep_alive: KEEP_ALIVE,
        load_budget_floor: 2.0,
        load_budget_fraction: 0.2,
        load_budget_window: 5.0,
        backlog_field: Some(0),
        pending_loads_field: Some(1),
        ..PolicyConfig::default()
    }
}
