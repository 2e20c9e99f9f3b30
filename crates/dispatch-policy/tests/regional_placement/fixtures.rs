//! A front end in a region of three zones, next to another region of three zones.

use crate::reference_model::{Harness, policy};
use orchidtally_dispatch_policy::interface::*;

/// The zone of each executor. Zones 0 to 2 form a region, zones 3 to 5 another one; each zone has two executors.
pub const ZONES: [u8; 12] = [0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5];

pub const REGIONS: [Option<u8>; 6] = [Some(0), Some(0), Some(0), Some(1), Some(1), Some(1)];

pub const FUNCTIONS: std::ops::Range<u64> = 1..61;

pub const LONG_AGO: f64 = f64::NEG_INFINITY;

/// Settings of a front end in a zone of the first region, without load commands.
pub fn regional() -> PolicyConfig {
    PolicyConfig {
        allows_load_commands: false,
        zone_regions: REGIONS.into(),
        ..policy()
    }
}

pub fn regional_harness() -> Harness {
    Harness::in_zones(regional(), &ZONES)
}

pub fn in_own_region(executor: usize) -> bool {
    executor < 6
}

pub fn zone(executor: usize) -> u8 {
    ZONES[executor]
}

/// Invokes a function, which has to be dispatched immediately and succeeds. Returns the executor.
pub fn serve(harness: &mut Harness, function: u64) -> usize {
    let invocation = harness.invoke(0, function, 5.0);
    let &[executor] = harness.executors_of(invocation).as_slice() else {
        panic!(
            "{function} was dispatched to {:?}",
            harness.executors_of(invocation)
        )
    };
    harness.finish(invocation, 0, DispatchStatus::Ok);
    executor
}

/// Returns the executors on which a front end without any warm replica places the functions.
pub fn place_all(mut harness: Harness) -> Vec<usize> {
    FUNCTIONS
        .map(|function| serve(&mut harness, function))
        .collect()
}

/// Returns the first two candidates of a function. The second gets the dispatch when the first is full.
pub fn first_two_candidates(function: u64) -> (usize, usize) {
    let mut harness = regional_harness();
    let invocation = harness.invoke(0, function, 5.0);
    harness.finish(invocation, 0, DispatchStatus::Full);
    harness.advance(0.3);
    let &[first, second] = harness.executors_of(invocation).as_slice() else {
        panic!("{:?}", harness.executors_of(invocation))
    };
    (first, second)
}

pub fn set_states(
    harness: &mut Harness,
    executors: impl Iterator<Item = usize>,
    state: EndpointState,
) {
    executors.for_each(|executor| harness.update_endpoint(executor, state, LONG_AGO));
}

/// Returns the executors on which the functions are placed while some executors are gone.
pub fn place_all_without(is_gone: impl Fn(usize) -> bool) -> Vec<usize> {
    let mut harness = regional_harness();
    set_states(
        &mut harness,
        (0..12).filter(|&executor| is_gone(executor)),
        EndpointState::Gone,
    );
    place_all(harness)
}
