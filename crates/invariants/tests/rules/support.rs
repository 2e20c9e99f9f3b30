//! Limits, constructors of traffic records, and clean records to which the tests add violations.

use orchidtally_invariants::*;

pub fn limits() -> Limits {
    let trigger_type = |name: &str, idempotency, deduplication_scope| TriggerType {
        name: name.into(),
        idempotency,
        deduplication_scope,
        deduplication_window: 5.0,
        latency_objective: 1.0,
    };
    Limits {
        trigger_types: vec![
            trigger_type("look", Idempotency::Idempotent, DeduplicationScope::All),
            trigger_type("plan", Idempotency::Keyed, DeduplicationScope::Cell),
            trigger_type("act", Idempotency::NonIdempotent, DeduplicationScope::All),
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

pub fn invocation_sent(at: f64, name: &str, trigger_type: usize) -> TrafficRecord {
    TrafficRecord::InvocationSent {
        at,
        client: 0,
        invocation: name.into(),
        front_end: 0,
        trigger_type,
        timeout_at: at + 3.0,
    }
}

pub fn answer_received(at: f64, name: &str, answer: FinalAnswer) -> TrafficRecord {
    TrafficRecord::AnswerReceived {
        at,
        invocation: name.into(),
        answer,
    }
}

pub fn dispatch_arrived(
    at: f64,
    name: &str,
    number: u32,
    executor: usize,
    trigger_type: &str,
) -> TrafficRecord {
    let idempotency_key = if trigger_type == "plan" { "token" } else { "" };
    TrafficRecord::DispatchArrived {
        at,
        executor,
        front_end: 0,
        incarnation: 7,
        invocation: name.into(),
        number,
        idempotency_key: idempotency_key.into(),
        trigger_type: trigger_type.into(),
    }
}

pub fn execution_started(at: f64, name: &str, executor: usize) -> TrafficRecord {
    TrafficRecord::ExecutionStarted {
        at,
        executor,
        invocation: name.into(),
    }
}

pub fn dispatch_ended(
    at: f64,
    name: &str,
    number: u32,
    executor: usize,
    outcome: DispatchOutcome,
) -> TrafficRecord {
    TrafficRecord::DispatchEnded {
        at,
        executor,
        invocation: name.into(),
        number,
        outcome,
    }
}

pub fn endpoint_notified(
    at: f64,
    executor: usize,
    state: EndpointState,
    started_at: f64,
) -> TrafficRecord {
    TrafficRecord::EndpointNotified {
        at,
        front_end: 0,
        incarnation: 7,
        executor,
        state,
        started_at,
    }
}

pub fn clean_records() -> Vec<TrafficRecord> {
    vec![
        endpoint_notified(0.0, 0, EndpointState::Ready, f64::NEG_INFINITY),
        endpoint_notified(0.0, 1, EndpointState::Ready, f64::NEG_INFINITY),
        invocation_sent(1.0, "a", 2),
        dispatch_arrived(1.1, "a", 0, 0, "act"),
        dispatch_ended(1.2, "a", 0, 0, DispatchOutcome::Rejected),
        dispatch_arrived(1.3, "a", 1, 1, "act"),
        execution_started(1.3, "a", 1),
        dispatch_ended(1.6, "a", 1, 1, DispatchOutcome::Succeeded),
        answer_received(1.7, "a", FinalAnswer::Succeeded),
        TrafficRecord::LoadCommandArrived {
            at: 2.0,
            executor: 0,
            front_end: 0,
            incarnation: 7,
            replicas: 1,
        },
    ]
}

/// The numbers of the rules that are violated once `added` is added to the clean records.
pub fn violated_rules(added: Vec<TrafficRecord>) -> Vec<u8> {
    let fleet = [0, 0, 1].map(|cell| Executor { zone: 0, cell });
    let records: Vec<TrafficRecord> = clean_records().into_iter().chain(added).collect();
    let verdict = check_rules(&limits(), &fleet, &records);
    assert_eq!(
        verdict
            .rules
            .iter()
            .map(|rule| rule.violations as usize)
            .sum::<usize>()
            == 0,
        verdict.holds()
    );
    verdict
        .rules
        .iter()
        .filter(|rule| rule.violations > 0)
        .map(|rule| rule.rule)
        .collect()
}
