//! A hollow front end's decisions: the true engine with the dispatch policy, hosted in simulated time, with executors
//! that answer from memory.

use crate::zipf::Popularity;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::{
    AdmissionError, Engine, FailureReason, Host, InvocationRequest, ResponseMetadata,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::Ipv4Addr;

/// How long a load of a copy takes, in seconds.
const LOAD_TIME: f64 = 0.25;
/// An idle copy stays loaded so long, in seconds.
pub const KEEP_ALIVE: f64 = 60.0;
/// Invocations that may be open at a time at one front end.
const MOST_OPEN: usize = 100_000;
const CLIENT_TIMEOUT: f64 = 6.0;
/// The simulated moment at which a front end starts, in seconds.
const START: f64 = 1_000.0;

/// What one hollow front end sees.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Number of front ends.
    pub front_ends: usize,
    /// Number of executors.
    pub executors: usize,
    /// Number of functions.
    pub functions: usize,
    /// Calls a second at this front end.
    pub calls_per_s: f64,
    /// Mean time that an executor takes to answer a warm call, in seconds.
    pub answer_time: f64,
    /// Seed of every random draw.
    pub seed: u64,
}

/// The limits of a deployment of that size.
pub fn policy(front_ends: usize, index: usize) -> PolicyConfig {
    let trigger_type = TriggerType {
        latency_objective: 1.5,
        objective_work_factor: 0.0,
        client_timeout: CLIENT_TIMEOUT,
        billed_value: 1.0,
        late_value_fraction: 0.2,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0.0,
    };
    PolicyConfig {
        trigger_types: vec![trigger_type],
        front_ends: front_ends as f64,
        front_end_index: index as f64,
        clock_tick: 0.002,
        max_dispatches: 4,
        allows_cancellation: true,
        max_retry_after: 1.0,
        slow_start_duration: 15.0,
        slow_start_initial_weight: 0.2,
        overload_factor: 2.0,
        overload_window: 1.0,
        allows_load_commands: true,
        reports_concurrency: true,
        keep_alive: KEEP_ALIVE,
        load_budget_floor: 2.0,
        load_budget_fraction: 0.2,
        load_budget_window: 5.0,
        backlog_field: Some(0),
        ..PolicyConfig::default()
    }
}

/// The roster's row of an executor by its number.
pub fn roster_row(executor: usize, zones: usize) -> Endpoint {
    Endpoint {
        executor: ExecutorId(Ipv4Addr::from(0x0a00_0000 + executor as u32).into(), 7_000),
        zone: (executor % zones.max(1)) as u8,
        kind: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: f64::NEG_INFINITY,
    }
}

/// What comes back to the front end, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Arrival {
    Answered {
        invocation: u32,
        dispatch: u8,
        warm: bool,
    },
    Loaded {
        to: ExecutorId,
        function: u64,
    },
}

/// Executors as one front end meets them. A copy stands where this front end's calls or orders put it within the
/// keep-alive, and everywhere for functions that the fleet as a whole calls more often than that.
struct Executors {
    now: f64,
    random: SmallRng,
    answer_time: f64,
    common_functions: u64,
    arrivals: BinaryHeap<Reverse<(u64, Arrival)>>,
    admitting_function: u64,
    functions: BTreeMap<u32, u64>,
    copies: BTreeMap<(ExecutorId, u64), f64>,
    finished: Finished,
}

/// Final answers that the clients had.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Finished {
    /// Calls that succeeded.
    pub succeeded: u64,
    /// Calls that were rejected or failed.
    pub failed: u64,
}

fn microseconds(at: f64) -> u64 {
    ((at - START).max(0.0) * 1e6) as u64
}

fn moment(microseconds: u64) -> f64 {
    START + microseconds as f64 / 1e6
}

impl Executors {
    fn arrives(&mut self, after: f64, arrival: Arrival) {
        self.arrivals
            .push(Reverse((microseconds(self.now + after), arrival)));
    }

    /// Whether the executor has a copy of the function; it has one from now on.
    fn touch(&mut self, to: ExecutorId, function: u64) -> bool {
        let until = self.now + KEEP_ALIVE;
        let before = self.copies.insert((to, function), until);
        function < self.common_functions || before.is_some_and(|until| until >= self.now)
    }

    fn forget_idle(&mut self) {
        let now = self.now;
        self.copies.retain(|_, until| *until >= now);
    }
}

impl Host for Executors {
    fn admitted(&mut self, invocation: u32) {
        self.functions.insert(invocation, self.admitting_function);
    }
    fn dispatch(&mut self, invocation: u32, dispatch: u8, to: ExecutorId, _within: f64) {
        let Some(&function) = self.functions.get(&invocation) else {
            return;
        };
        let warm = self.touch(to, function);
        let work = -(1.0 - self.random.random::<f64>()).ln() * self.answer_time;
        let load = if warm { 0.0 } else { LOAD_TIME };
        self.arrives(
            work + load,
            Arrival::Answered {
                invocation,
                dispatch,
                warm,
            },
        );
    }
    fn cancel(&mut self, _invocation: u32, _dispatch: u8) {}
    fn succeeded(&mut self, invocation: u32, _dispatch: u8) {
        self.functions.remove(&invocation);
        self.finished.succeeded += 1;
    }
    fn rejected(&mut self, invocation: u32, _retry_after: f64, _over_quota: bool) {
        self.functions.remove(&invocation);
        self.finished.failed += 1;
    }
    fn failed(&mut self, invocation: u32, _cause: FailureReason, _may_have_run: bool) {
        self.functions.remove(&invocation);
        self.finished.failed += 1;
    }
    fn load(&mut self, to: ExecutorId, function: u64, copies: u8) {
        if copies > 0 {
            let warm = self.touch(to, function);
            let after = if warm { 0.001 } else { LOAD_TIME };
            self.arrives(after, Arrival::Loaded { to, function });
        }
    }
    fn query_replicas(&mut self, _to: ExecutorId, _function: u64) {}
    fn unload(&mut self, to: ExecutorId, function: u64) {
        self.copies.remove(&(to, function));
    }
    fn health_check(&mut self, _to: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}

/// One front end's engine with the executors that it meets.
pub struct FrontEnd {
    engine: Engine,
    executors: Executors,
    popularity: Popularity,
    random: SmallRng,
    step: f64,
    next_call: f64,
}

impl FrontEnd {
    /// Creates a front end that has its endpoint list and has handled no call yet.
    pub fn new(traffic: &Traffic) -> FrontEnd {
        let fleet_calls = traffic.calls_per_s * traffic.front_ends as f64;
        let popularity = Popularity::new(traffic.functions);
        let mut executors = Executors {
            now: START,
            random: SmallRng::seed_from_u64(traffic.seed),
            answer_time: traffic.answer_time,
            common_functions: popularity.called_at_least(1.0 / (fleet_calls * KEEP_ALIVE)) as u64,
            arrivals: BinaryHeap::new(),
            admitting_function: 0,
            functions: BTreeMap::new(),
            copies: BTreeMap::new(),
            finished: Finished::default(),
        };
        let mut engine = Engine::new(
            policy(traffic.front_ends, 0),
            MOST_OPEN,
            traffic.seed,
            START,
            &mut executors,
        );
        let rows: Vec<Endpoint> = (0..traffic.executors).map(|x| roster_row(x, 8)).collect();
        engine.on_endpoint_update(START, EndpointUpdateKind::Full, &rows, &mut executors);
        FrontEnd {
            engine,
            executors,
            popularity,
            random: SmallRng::seed_from_u64(traffic.seed ^ 0x5eed),
            step: 1.0 / traffic.calls_per_s,
            next_call: START,
        }
    }

    /// Handles calls for a time in simulated seconds, and returns their number.
    pub fn play(&mut self, seconds: f64) -> u64 {
        let until = self.next_call + seconds;
        let mut calls = 0;
        while self.next_call < until {
            let at = self.next_call;
            self.catch_up(at);
            self.call(at);
            calls += 1;
            self.next_call += self.step * 2.0 * self.random.random::<f64>();
        }
        self.executors.forget_idle();
        calls
    }

    /// Answers and timers up to a moment, in their order.
    fn catch_up(&mut self, until: f64) {
        loop {
            let arrival = self
                .executors
                .arrivals
                .peek()
                .map(|Reverse((at, _))| moment(*at));
            let arrival = arrival.unwrap_or(f64::INFINITY);
            let due = self.engine.next_deadline();
            if arrival.min(due) > until {
                return;
            }
            if due <= arrival {
                self.executors.now = self.executors.now.max(due);
                self.engine
                    .run_due_timers(self.executors.now, &mut self.executors);
                continue;
            }
            let Some(Reverse((_, arrival_kind))) = self.executors.arrivals.pop() else {
                return;
            };
            self.executors.now = self.executors.now.max(arrival);
            self.arrived(arrival_kind);
        }
    }

    fn arrived(&mut self, arrival: Arrival) {
        let now = self.executors.now;
        match arrival {
            Arrival::Answered {
                invocation,
                dispatch,
                warm,
            } => {
                let found = if warm {
                    ReplicaState::Warm
                } else {
                    ReplicaState::ColdStart
                };
                let metadata = ResponseMetadata {
                    replica_state: found,
                    function_concurrency: 1,
                    load_report: &[0.5],
                };
                self.engine.on_dispatch_result(
                    now,
                    invocation,
                    dispatch,
                    DispatchStatus::Ok,
                    metadata,
                    &mut self.executors,
                );
            }
            Arrival::Loaded { to, function } => {
                self.engine.on_load_result(
                    now,
                    to,
                    function,
                    DispatchStatus::Ok,
                    &mut self.executors,
                );
            }
        }
    }

    fn call(&mut self, now: f64) {
        self.executors.now = now;
        let function = self.popularity.draw(&mut self.random) as u64;
        self.executors.admitting_function = function;
        let request = InvocationRequest {
            trigger_type: 0,
            customer: 0,
            function,
            is_retry: false,
            is_migrated: false,
            timeout_at: now + CLIENT_TIMEOUT,
            expected_work: None,
            concurrency: 4.0,
            load_time: Some(LOAD_TIME),
        };
        match self.engine.admit(now, &request, &mut self.executors) {
            Ok(_) => {}
            Err(AdmissionError::AtCapacity | AdmissionError::ShuttingDown) => {
                self.executors.finished.failed += 1
            }
        }
    }

    /// Handles one call at the current simulated time.
    pub fn call_now(&mut self) {
        self.call(self.executors.now);
    }

    /// Applies an endpoint update now.
    pub fn roster(&mut self, kind: EndpointUpdateKind, rows: &[Endpoint]) {
        self.engine
            .on_endpoint_update(self.executors.now, kind, rows, &mut self.executors);
    }

    /// Final answers so far.
    pub fn finished(&self) -> Finished {
        self.executors.finished
    }

    /// Entries in the policy's tables.
    pub fn table_sizes(&self) -> TableSizes {
        self.engine.table_sizes()
    }
}
