//! Functions that are named once and never again: the time of an input, and the size of the table.

mod reference_model;

use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use reference_model::{endpoint, invocation, policy, successful_result};
use std::time::{Duration, Instant};

/// Collects load commands and dispatches, and ignores all other actions.
#[derive(Default)]
struct Sent {
    load_commands: Vec<(ExecutorId, u64)>,
    dispatches: Vec<(u32, ExecutorId)>,
}

impl Sent {
    fn len(&self) -> usize {
        self.load_commands.len() + self.dispatches.len()
    }

    /// Reports to the dispatcher that all that was sent so far has succeeded.
    fn finish(&mut self, dispatcher: &mut Dispatcher) {
        for (executor, function) in std::mem::take(&mut self.load_commands) {
            dispatcher.on_load_result(100.0, executor, function, DispatchStatus::Ok, self);
        }
        for (invocation, executor) in std::mem::take(&mut self.dispatches) {
            let result = DispatchResult {
                invocation,
                executor,
                ..successful_result()
            };
            dispatcher.on_dispatch_result(100.0, &result, self);
        }
    }
}

impl Actions for Sent {
    fn dispatch(&mut self, invocation: u32, executor: ExecutorId, _: f64) {
        self.dispatches.push((invocation, executor));
    }
    fn cancel(&mut self, _: u32, _: u8) {}
    fn reject(&mut self, _: u32, _: f64, _: bool) {}
    fn fail(&mut self, _: u32) {}
    fn load(&mut self, executor: ExecutorId, function: u64, _: u8) {
        self.load_commands.push((executor, function));
    }
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
    fn set_timer(&mut self, _: f64, _: u64) {}
}

/// Creates a dispatcher with one executor.
fn dispatcher(policy: PolicyConfig) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(policy, 7, 100.0, &mut Sent::default());
    dispatcher.on_endpoint_update(
        100.0,
        EndpointUpdateKind::Full,
        &[endpoint(0)],
        &mut Sent::default(),
    );
    dispatcher
}

/// Sends an invocation of a function that no other invocation names.
fn invoke_new_function(dispatcher: &mut Dispatcher, id: u32, sent: &mut Sent) {
    let new = Invocation {
        id,
        function: u64::from(id) + 1,
        ..invocation(105.0)
    };
    dispatcher.on_invocation(100.0, &new, sent);
}

/// Sends an invocation of a new function for each number, and returns the time that this takes.
fn invoke_new_functions(dispatcher: &mut Dispatcher, numbers: std::ops::Range<u32>) -> Duration {
    let started_at = Instant::now();
    for id in numbers {
        invoke_new_function(dispatcher, id, &mut Sent::default());
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

/// Guards against records of functions that were named once and are kept until the next sweep, past the limit.
#[test]
fn the_table_of_functions_exceeds_its_limit_only_by_functions_in_use() {
    const MAX_FUNCTIONS: usize = 100;
    /// Invocations that are open when a new one arrives.
    const OPEN: u32 = 20;
    let mut dispatcher = dispatcher(PolicyConfig {
        max_functions: Some(MAX_FUNCTIONS),
        ..policy()
    });
    let (mut sent, mut most_sent) = (Sent::default(), 0);
    for id in 0..10_000 {
        invoke_new_function(&mut dispatcher, id, &mut sent);
        sent.finish(&mut dispatcher);
        if id >= OPEN {
            dispatcher.on_client_cancel(100.0, id - OPEN, &mut sent);
        }
        most_sent = most_sent.max(sent.len());
        let functions = dispatcher.table_sizes().functions;
        let most_in_use = OPEN as usize + 1 + most_sent;
        assert!(
            functions <= MAX_FUNCTIONS + most_in_use,
            "{functions} functions after {id} invocations, {most_in_use} in use at the most"
        );
    }
}
