//! Limits, traffic records and a clean day to which tests add violations.

use orchidtally_invariants::*;

pub fn limits() -> Limits {
    let ty = |name: &str, effect, group| TriggerType {
        name: name.into(),
        idempotency: effect,
        deduplication_scope: group,
        deduplication_window: 5.0,
        latency_objective: 1.0,
    };
    Limits {
        trigger_types: vec![
            ty("look", Idempotency::Idempotent, DeduplicationScope::All),
            ty("plan", Idempotency::Keyed, DeduplicationScope::Cell),
            ty("act", Idempotency::NonIdempotent, DeduplicationScope::All),
        ],
        allows_hedging: false,
        drain_grace: 1.0,
        overload_window: 1.0,
        load_budget_floor: 2.0,
        load_budget_fraction: 0.5,
        load_budget_window: 5.0,
        max_transit_time: 0.2,
        cancellation_margin: Some(0.1),
    }
}

pub fn offered(at: f64, name: &str, trigger_type: usize) -> TrafficRecord {
    TrafficRecord::InvocationSent {
        at,
        client: 0,
        invocation: name.into(),
        front_end: 0,
        trigger_type,
        timeout_at: at + 3.0,
    }
}

pub fn answered(at: f64, name: &str, answer: FinalAnswer) -> TrafficRecord {
    TrafficRecord::AnswerReceived {
        at,
        invocation: name.into(),
        answer,
    }
}

pub fn reached(
    at: f64,
    name: &str,
    number: u32,
    executor: usize,
    trigger_type: &str,
) -> TrafficRecord {
    let token = if trigger_type == "plan" { "token" } else { "" };
    TrafficRecord::DispatchArrived {
        at,
        executor,
        front_end: 0,
        incarnation: 7,
        invocation: name.into(),
        number,
        idempotency_key: token.into(),
        trigger_type: trigger_type.into(),
    }
}

pub fn ran(at: f64, name: &str, executor: usize) -> TrafficRecord {
    TrafficRecord::ExecutionStarted {
        at,
        executor,
        invocation: name.into(),
    }
}

pub fn ended(
    at: f64,
    name: &str,
    number: u32,
    executor: usize,
    ending: DispatchOutcome,
) -> TrafficRecord {
    TrafficRecord::DispatchEnded {
        at,
        executor,
        invocation: name.into(),
        number,
        outcome: ending,
    }
}

pub fn told(at: f64, executor: usize, standing: EndpointState, since: f64) -> TrafficRecord {
    TrafficRecord::EndpointNotified {
        at,
        front_end: 0,
        incarnation: 7,
        executor,
        state: standing,
        started_at: since,
    }
}

pub fn clean() -> Vec<TrafficRecord> {
    vec![
        told(0.0, 0, EndpointState::Ready, f64::NEG_INFINITY),
        told(0.0, 1, EndpointState::Ready, f64::NEG_INFINITY),
        offered(1.0, "a", 2),
        reached(1.1, "a", 0, 0, "act"),
        ended(1.2, "a", 0, 0, DispatchOutcome::Rejected),
        reached(1.3, "a", 1, 1, "act"),
        ran(1.3, "a", 1),
        ended(1.6, "a", 1, 1, DispatchOutcome::Succeeded),
        answered(1.7, "a", FinalAnswer::Succeeded),
        TrafficRecord::LoadCommandArrived {
            at: 2.0,
            executor: 0,
            front_end: 0,
            incarnation: 7,
            replicas: 1,
        },
    ]
}

/// The rules that are broken when some records are added to a clean day.
pub fn broken(added: Vec<TrafficRecord>) -> Vec<u8> {
    let fleet = [0, 0, 1].map(|cell| Executor { zone: 0, cell });
    let records: Vec<TrafficRecord> = clean().into_iter().chain(added).collect();
    let verdict = check_rules(&limits(), &fleet, &records);
    assert_eq!(
        verdict
            .rules
            .iter()
            .map(|r| r.violations as usize)
            .sum::<usize>()
            == 0,
        verdict.holds()
    );
    verdict
        .rules
        .iter()
        .filter(|r| r.violations > 0)
        .map(|r| r.rule)
        .collect()
}
