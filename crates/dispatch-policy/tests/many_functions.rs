//! Functions that are named once and never again: the time of an input, and the size of the table.

mod reference_model;

use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use reference_model::{endpoint, invocation, policy};
use std::time::{Duration, Instant};

/// Accepts all actions and does nothing.
struct NoActions;

impl Actions for NoActions {
    fn dispatch(&mut self, _: u32, _: ExecutorId, _: f64) {}
    fn cancel(&mut self, _: u32, _: u8) {}
    fn reject(&mut self, _: u32, _: f64, _: bool) {}
    fn fail(&mut self, _: u32) {}
    fn load(&mut self, _: ExecutorId, _: u64, _: u8) {}
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
    fn set_timer(&mut self, _: f64, _: u64) {}
}

/// Creates a dispatcher with one executor that never loads anything.
fn dispatcher(policy: PolicyConfig) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(policy, 7, 100.0, &mut NoActions);
    dispatcher.on_endpoint_update(
        100.0,
        EndpointUpdateKind::Full,
        &[endpoint(0)],
        &mut NoActions,
    );
    dispatcher
}

/// Sends an invocation of a function of its own for each number, and returns the time that this takes.
fn invoke_new_functions(dispatcher: &mut Dispatcher, numbers: std::ops::Range<u32>) -> Duration {
    let started_at = Instant::now();
    for id in numbers {
        let new = Invocation {
            id,
            function: u64::from(id) + 1,
            ..invocation(105.0)
        };
        dispatcher.on_invocation(100.0, &new, &mut NoActions);
    }
    started_at.elapsed()
}

/// Guards against inputs that take a time proportional to the number of functions with waiting invocations, so that a
/// client that names ever new functions delays all others.
#[test]
fn an_input_does_not_take_longer_the_more_functions_wait() {
    const INPUTS: u32 = 1_000;
    let mut dispatcher = dispatcher(policy());
    let with_few = invoke_new_functions(&mut dispatcher, 0..INPUTS);
    invoke_new_functions(&mut dispatcher, INPUTS..8 * INPUTS);
    let with_many = invoke_new_functions(&mut dispatcher, 8 * INPUTS..9 * INPUTS);
    assert!(
        with_many < 4 * with_few + Duration::from_millis(20),
        "{with_many:?} with 8,000 waiting functions, {with_few:?} with under 1,000"
    );
}
