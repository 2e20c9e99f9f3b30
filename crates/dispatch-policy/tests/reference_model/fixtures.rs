//! Default settings, endpoints, invocations and results for tests.

use orchidtally_dispatch_policy::interface::*;

/// Returns the address of the executor with a number.
pub fn executor_id(executor: usize) -> ExecutorId {
    ExecutorId([10, 0, 0, executor as u8].into(), 7000)
}

/// Returns the number of the executor with an address.
pub fn executor_number(executor: ExecutorId) -> usize {
    match executor.0 {
        std::net::IpAddr::V4(a) => usize::from(a.octets()[3]),
        std::net::IpAddr::V6(a) => panic!("no executor has address {a}"),
    }
}

/// Returns the endpoint of a ready executor that started long ago.
pub fn endpoint(executor: usize) -> Endpoint {
    Endpoint {
        executor: executor_id(executor),
        zone: 0,
        kind: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: f64::NEG_INFINITY,
    }
}

/// Returns an idempotent invocation.
pub fn invocation(timeout_at: f64) -> Invocation {
    Invocation {
        id: 0,
        trigger_type: 0,
        customer: 0,
        function: 0,
        is_retry: false,
        is_migrated: false,
        timeout_at,
        expected_work: None,
        concurrency: 2.0,
        load_time: Some(1.0),
    }
}

/// Returns the result of a dispatch that succeeded.
pub fn successful_result() -> DispatchResult<'static> {
    DispatchResult {
        invocation: 0,
        dispatch: 0,
        executor: executor_id(0),
        status: DispatchStatus::Ok,
        duration: 0.25,
        is_answered: true,
        replica_state: ReplicaState::Unknown,
        function_concurrency: 0,
        load_report: &[],
    }
}

/// Returns settings with an idempotent, a keyed and a non-idempotent trigger type, in this order.
pub fn policy() -> PolicyConfig {
    let trigger_type = |idempotency, deduplication_scope| TriggerType {
        latency_objective: 1.0,
        objective_work_factor: 0.0,
        client_timeout: 5.0,
        billed_value: 1.0,
        late_value_fraction: 0.2,
        idempotency,
        deduplication_scope,
        deduplication_window: 2.0,
    };
    PolicyConfig {
        trigger_types: vec![
            trigger_type(Idempotency::Idempotent, DeduplicationScope::All),
            trigger_type(Idempotency::Keyed, DeduplicationScope::Cell),
            trigger_type(Idempotency::NonIdempotent, DeduplicationScope::All),
        ],
        quotas: vec![],
        over_quota_value_factor: 0.1,
        bills_by_work: false,
        front_ends: 3.0,
        front_end_index: 0.0,
        zone: 0,
        cross_zone_cost: 0.02,
        zone_regions: vec![],
        max_functions: None,
        clock_tick: 0.002,
        max_dispatches: 4,
        allows_hedging: false,
        allows_cancellation: true,
        max_retry_after: 1.0,
        polls_endpoints: false,
        slow_start_duration: 10.0,
        slow_start_initial_weight: 0.2,
        overload_factor: 2.0,
        overload_window: 1.0,
        drain_grace: 1.0,
        max_clock_skew: 0.0,
        allows_load_commands: true,
        load_command_cost: 0.0,
        rejects_unloaded: false,
        reports_concurrency: false,
        keep_alive: 8.0,
        load_budget_floor: 2.0,
        load_budget_fraction: 0.2,
        load_budget_window: 5.0,
        backlog_field: None,
        pending_loads_field: None,
    }
}
