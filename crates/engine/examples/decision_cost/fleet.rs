//! The configuration and the endpoints of the measured front end, and the changes of the endpoint list.

use crate::scenario::Workload;
use crate::simulation::{KEEP_ALIVE, Simulation};
use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::Engine;

const FRONT_ENDS: f64 = 550.0;
pub const ZONES: u32 = 8;

/// The configuration of the measured front end.
pub fn config(workload: Workload, regions: u32) -> PolicyConfig {
    let make_type = |idempotency, deduplication_scope| TriggerType {
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
            make_type(Idempotency::Idempotent, DeduplicationScope::All),
            make_type(Idempotency::Keyed, DeduplicationScope::Zone),
            make_type(Idempotency::Keyed, DeduplicationScope::Cell),
            make_type(Idempotency::NonIdempotent, DeduplicationScope::All),
        ],
        front_ends: FRONT_ENDS,
        front_end_index: 17.0,
        cross_zone_cost: 0.02,
        zone_regions: (0..ZONES)
            .filter(|_| regions > 0)
            .map(|zone| Some((zone * regions / ZONES) as u8))
            .collect(),
        clock_tick: 0.002,
        max_dispatches: 4,
        allows_cancellation: true,
        max_retry_after: 1.0,
        slow_start_duration: 10.0,
        slow_start_initial_weight: 0.2,
        overload_factor: 2.0,
        overload_window: 1.0,
        allows_load_commands: workload != Workload::Loaded,
        keep_alive: KEEP_ALIVE,
        load_budget_floor: 20.0,
        load_budget_fraction: 0.5,
        load_budget_window: 5.0,
        backlog_field: Some(0),
        ..PolicyConfig::default()
    }
}

/// The entry of an executor in the endpoint list.
pub fn endpoint(workload: Workload, executor: u32, incarnation: u32, started_at: f64) -> Endpoint {
    Endpoint {
        executor: ExecutorId(
            std::net::Ipv4Addr::from(0x0a00_0000 + (incarnation << 16) + executor).into(),
            7000,
        ),
        zone: (executor % ZONES) as u8,
        kind: if workload == Workload::Faults {
            (executor % 3) as u8
        } else {
            0
        },
        cell: (executor / 7) as u16,
        state: EndpointState::Ready,
        weight: if workload == Workload::Faults {
            [1.0, 0.5, 2.0][(executor % 3) as usize]
        } else {
            1.0
        },
        started_at,
    }
}

/// Makes a random change to the endpoint list and reports it to the engine.
pub fn change_endpoints(
    endpoints: &mut [Endpoint],
    engine: &mut Engine,
    simulation: &mut Simulation,
) {
    let now = simulation.now;
    let executor = (simulation.random.next_f64() * endpoints.len() as f64) as usize;
    let drawn = simulation.random.next_f64();
    let change = match drawn {
        d if d < 0.3 => Endpoint {
            started_at: now,
            ..endpoints[executor].clone()
        },
        d if d < 0.5 => Endpoint {
            state: EndpointState::Draining,
            ..endpoints[executor].clone()
        },
        d if d < 0.6 => Endpoint {
            state: EndpointState::Gone,
            ..endpoints[executor].clone()
        },
        d if d < 0.7 => Endpoint {
            cell: endpoints[executor].cell ^ 1,
            ..endpoints[executor].clone()
        },
        d if d < 0.8 => endpoint(
            simulation.workload,
            executor as u32,
            (now as u32) & 0xff,
            now,
        ),
        _ => Endpoint {
            state: EndpointState::Ready,
            ..endpoints[executor].clone()
        },
    };
    endpoints[executor] = change.clone();
    match drawn {
        d if d < 0.9 => {
            engine.on_endpoint_update(now, EndpointUpdateKind::Delta, &[change], simulation)
        }
        d if d < 0.98 => {
            engine.on_endpoint_update(now, EndpointUpdateKind::Full, endpoints, simulation)
        }
        _ => engine.on_endpoint_update(now, EndpointUpdateKind::Failed, &[], simulation),
    }
}
