//! A fleet in simulated time: many engines, among which one stream of invocations is divided, and executors that load
//! replicas, run a few invocations at a time and queue the rest. The executors' traffic is recorded for the invariant
//! checker.

// Each program that includes this module uses a part of it.
#![allow(dead_code)]

mod host;
mod simulation;
mod world;

pub use simulation::simulate;

use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::DispatchPolicy;
use std::cell::RefCell;
use std::rc::Rc;

/// The number of invocations that an executor runs at a time. The times below are in seconds.
pub const CONCURRENCY: u32 = 4;
const MEAN_EXECUTION_TIME: f64 = 0.1;
const LOAD_TIME: f64 = 0.5;
const KEEP_ALIVE: f64 = 8.0;
const TRANSIT_TIME: f64 = 0.001;
/// The number of waiting invocations at which an executor answers `Full`.
const QUEUE_LIMIT: usize = 32;

/// The parameters of a simulation.
#[derive(Clone)]
pub struct Scenario {
    pub front_ends: usize,
    pub executors: usize,
    /// The requested fraction of the executors' capacity.
    pub load: f64,
    pub functions: usize,
    pub duration: f64,
    /// The time in seconds at which a third of the executors is replaced by cold ones.
    pub executors_replaced_at: Option<f64>,
    /// The time in seconds at which 70 % of the front ends restart.
    pub front_ends_restarted_at: Option<f64>,
    pub seed: u64,
}

/// The actual number of waiting and running invocations at each executor, for reference policies that know it.
pub type TrueLoads = Rc<RefCell<Vec<u32>>>;
/// Creates the policy of a front end from its configuration, its seed and the true loads; `None` stands for the
/// dispatch policy.
pub type PolicyFactory = dyn Fn(&PolicyConfig, u64, &TrueLoads) -> Option<Box<dyn DispatchPolicy>>;

const LATENCY_OBJECTIVE: f64 = 1.5;

fn policy_config(front_ends: usize, index: usize) -> PolicyConfig {
    let trigger_type = TriggerType {
        latency_objective: LATENCY_OBJECTIVE,
        objective_work_factor: 0.0,
        client_timeout: 6.0,
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
        // No slow start: its limits would hide the herds that the simulation measures.
        slow_start_duration: 0.0,
        slow_start_initial_weight: 1.0,
        overload_factor: 2.0,
        overload_window: 1.0,
        reports_concurrency: true,
        keep_alive: KEEP_ALIVE,
        load_budget_floor: 2.0,
        load_budget_fraction: 0.2,
        load_budget_window: 5.0,
        backlog_field: Some(0),
        ..PolicyConfig::default()
    }
}

/// The id of an executor's incarnation. The port is the executor's index.
fn executor_id(executor: usize, incarnation: u32) -> ExecutorId {
    let address =
        std::net::Ipv4Addr::from(0x0a00_0000 + executor as u32 * 26_544 + incarnation * 77_777);
    ExecutorId(address.into(), executor as u16)
}

/// The index of the executor that an id belongs to, in any incarnation.
pub fn executor_index(id: ExecutorId) -> Option<usize> {
    Some(usize::from(id.1))
}

fn endpoints(ids: &[ExecutorId]) -> Vec<Endpoint> {
    let endpoint = |&executor: &ExecutorId| Endpoint {
        executor,
        zone: 0,
        kind: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: f64::NEG_INFINITY,
    };
    ids.iter().map(endpoint).collect()
}
