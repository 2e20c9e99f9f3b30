//! The choice among several warm replicas.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use reference_model::{Harness, policy};

/// Creates a harness in which function 1 is warm at one executor in each of the zones. The tests send too few
/// invocations to reach any limit.
fn harness_with_replicas(zones: &[u8], policy: PolicyConfig) -> Harness {
    let mut harness = Harness::in_zones(policy, zones);
    for _ in zones {
        harness.prewarm(1, zones.len());
        harness.finish_loads(DispatchStatus::Ok);
    }
    assert_eq!(harness.prewarm(1, zones.len()), zones.len());
    harness
}

fn unlimited_loads() -> PolicyConfig {
    PolicyConfig {
        load_budget_window: 0.0,
        ..policy()
    }
}

/// Invokes function 1 and returns the executor to which it is dispatched.
fn dispatched_to(harness: &mut Harness) -> usize {
    let invocation = harness.invoke(0, 1, 5.0);
    harness.executors_of(invocation)[0]
}

#[test]
fn replica_with_fewer_dispatches_in_flight_is_preferred() {
    let mut harness = harness_with_replicas(&[0, 0, 0], unlimited_loads());
    let mut used: Vec<usize> = (0..3).map(|_| dispatched_to(&mut harness)).collect();
    used.sort_unstable();
    assert_eq!(used, [0, 1, 2]);
}

#[test]
fn replica_in_another_zone_counts_as_more_loaded() {
    let mut harness = harness_with_replicas(&[1, 0, 1], unlimited_loads());
    assert_eq!(dispatched_to(&mut harness), 1);
    let config = PolicyConfig {
        zone: 1,
        ..unlimited_loads()
    };
    let mut harness = harness_with_replicas(&[0, 1, 0], config);
    assert_eq!(dispatched_to(&mut harness), 1);
}

#[test]
fn replica_with_a_reported_backlog_counts_as_more_loaded() {
    let config = PolicyConfig {
        backlog_field: Some(0),
        ..unlimited_loads()
    };
    let mut harness = harness_with_replicas(&[0, 0], config);
    let reporting = dispatched_to(&mut harness);
    harness.load_report = vec![9.0];
    harness.finish(0, 0, DispatchStatus::Ok);
    harness.load_report = vec![];
    let in_flight: Vec<usize> = (0..2).map(|_| dispatched_to(&mut harness)).collect();
    assert!(!in_flight.contains(&reporting), "{in_flight:?}");
}
