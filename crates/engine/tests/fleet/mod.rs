//! A fleet in simulated time: many engines, each with its own part of one stream of arrivals, and executors that
//! load replicas, run a few invocations at a time and queue the rest. What the executors see is recorded for the
//! invariant checker.

// Each program that simulates it uses a part.
#![allow(dead_code)]

mod host;
mod simulation;
mod world;

pub use simulation::simulate;

use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::DispatchPolicy;
use std::cell::RefCell;
use std::rc::Rc;

/// Invocations that an executor runs at a time. Times below are in seconds.
pub const CONCURRENCY: u32 = 4;
const WORK: f64 = 0.1;
const LOAD_TIME: f64 = 0.5;
const IDLE_TIME: f64 = 8.0;
const TRANSIT: f64 = 0.001;
/// Invocations that wait at an executor, beyond which it answers 'full'.
const QUEUE_LIMIT: usize = 32;

/// What is simulated.
#[derive(Clone)]
pub struct Scenario {
    pub front_ends: usize,
    pub executors: usize,
    /// Share of the executors' capacity that is requested.
    pub load: f64,
    pub functions: usize,
    pub length: f64,
    /// When a third of the executors are replaced by cold ones, and seven in ten front ends start anew.
    pub replaced_at: Option<f64>,
    pub restarted_at: Option<f64>,
    pub seed: u64,
}

/// Invocations waiting or running at each executor, as it truly is: for reference policies that see it.
pub type TrueLoads = Rc<RefCell<Vec<u32>>>;
/// Makes the policy of a front end from its settings, its seed and the true loads; `None`: the dispatch policy.
pub type PolicyFactory = dyn Fn(&PolicyConfig, u64, &TrueLoads) -> Option<Box<dyn DispatchPolicy>>;

const OBJECTIVE: f64 = 1.5;

fn policy(front_ends: usize, index: usize) -> PolicyConfig {
    let trigger_type = TriggerType {
        latency_objective: OBJECTIVE,
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
        // Warm at once: a cold time would bound what the measure is to find.
        slow_start_duration: 0.0,
        slow_start_initial_weight: 1.0,
        overload_factor: 2.0,
        overload_window: 1.0,
        reports_concurrency: true,
        keep_alive: IDLE_TIME,
        load_budget_floor: 2.0,
        load_budget_fraction: 0.2,
        load_budget_window: 5.0,
        backlog_field: Some(0),
        ..PolicyConfig::default()
    }
}

/// An executor's id, which is another's after it was replaced; its port is its number.
fn id(executor: usize, incarnation: u32) -> ExecutorId {
    let address =
        std::net::Ipv4Addr::from(0x0a00_0000 + executor as u32 * 26_544 + incarnation * 77_777);
    ExecutorId(address.into(), executor as u16)
}

/// Which executor an id is of, in whatever life.
pub fn executor_number(id: ExecutorId) -> Option<usize> {
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
