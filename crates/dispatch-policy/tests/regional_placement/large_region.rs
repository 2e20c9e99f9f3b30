//! A region of 1,024 executors.

use crate::fixtures::*;
use crate::reference_model;
use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;

/// Returns the executor on which a new front end with a large endpoint list places a function.
fn place_in_large_region(endpoints: &[Endpoint], function: u64) -> ExecutorId {
    let mut out = Dispatched::default();
    let mut dispatcher = Dispatcher::new(regional(), 7, 100.0, &mut out);
    dispatcher.on_endpoint_update(100.0, EndpointUpdateKind::Full, endpoints, &mut out);
    dispatcher.on_invocation(
        100.0,
        &Invocation {
            function,
            ..reference_model::invocation(105.0)
        },
        &mut out,
    );
    out.0[0]
}

/// Records the executors of all dispatches.
#[derive(Default)]
struct Dispatched(Vec<ExecutorId>);

impl Actions for Dispatched {
    fn dispatch(&mut self, _: u32, to: ExecutorId, _: f64) {
        self.0.push(to);
    }
    fn reject(&mut self, _: u32, _: f64, _: bool) {}
    fn fail(&mut self, _: u32) {}
    fn cancel(&mut self, _: u32, _: u8) {}
    fn load(&mut self, _: ExecutorId, _: u64, _: u8) {}
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn set_timer(&mut self, _: f64, _: u64) {}
    fn subscribe_to_endpoints(&mut self) {}
}

/// The endpoint list has 1,024 executors of the own region and as many of another one.
#[test]
fn region_of_1024_executors_is_used_whole_and_alone() {
    let address = |executor: u32| {
        ExecutorId(
            std::net::Ipv4Addr::from(0x0a00_0000 + executor).into(),
            7000,
        )
    };
    let endpoint = |executor: u32, state| Endpoint {
        executor: address(executor),
        zone: (executor % 6) as u8,
        state,
        ..reference_model::endpoint(0)
    };
    let all: Vec<Endpoint> = (0..2048)
        .map(|executor| endpoint(executor, EndpointState::Ready))
        .collect();
    let zone = |id: &ExecutorId| {
        all.iter()
            .find(|endpoint| endpoint.executor == *id)
            .map(|endpoint| endpoint.zone)
            .unwrap()
    };
    let without: Vec<Endpoint> = all
        .iter()
        .filter(|endpoint| endpoint.zone != 1)
        .cloned()
        .collect();
    let first: Vec<ExecutorId> = (0..300)
        .map(|function| place_in_large_region(&all, function))
        .collect();
    for (function, before) in (0..).zip(&first) {
        let after = place_in_large_region(&without, function);
        assert!(
            zone(before) < 3 && zone(&after) < 3,
            "{before:?}, {after:?}"
        );
        assert!(
            zone(before) == 1 || *before == after,
            "moved from {before:?}, which is still there, to {after:?}"
        );
    }
    let distinct: std::collections::BTreeSet<&ExecutorId> = first.iter().collect();
    assert!(
        distinct.len() > 230,
        "{} executors for 300 functions",
        distinct.len()
    );
}
