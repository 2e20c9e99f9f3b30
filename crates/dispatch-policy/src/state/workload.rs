//! Functions and their invocations, with the operations that keep both tables consistent.

use super::{
    ExecutorIndex, FunctionTable, InFlightDispatch, InvocationIndex, InvocationTable,
    OpenInvocation,
};
use crate::interface::Actions;
use std::collections::btree_map::Entry;

/// The functions that this front end serves and their open invocations. An invocation without a final answer either
/// waits in its function's queue or has a dispatch in flight.
#[derive(Default)]
pub struct Workload {
    /// The functions.
    pub functions: FunctionTable,
    /// The open invocations.
    pub invocations: InvocationTable,
}

impl Workload {
    /// Adds an invocation to the queue of its function.
    pub fn admit(&mut self, invocation: OpenInvocation) {
        let index = self.invocations.insert(invocation);
        self.enqueue(index);
    }

    /// Records a dispatch of an invocation and removes the invocation from its queue.
    pub fn record_dispatch(
        &mut self,
        index: InvocationIndex,
        executor: ExecutorIndex,
        now: f64,
        is_placement: bool,
    ) {
        self.dequeue(index);
        let invocation = self.invocations.get_mut(index);
        invocation.add_dispatch(executor, now, is_placement);
        let function = &mut self.functions[invocation.function()];
        *function.in_flight_counts.entry(executor).or_default() += 1;
        if !function.in_flight.contains(&index) {
            function.in_flight.push(index);
        }
    }

    /// Removes a dispatch that ended, by its number, from those in flight and returns it.
    pub fn record_dispatch_end(
        &mut self,
        index: InvocationIndex,
        dispatch: u8,
    ) -> Option<InFlightDispatch> {
        let invocation = self.invocations.get_mut(index);
        let ended = invocation.remove_dispatch(dispatch)?;
        let function = &mut self.functions[invocation.function()];
        if let Entry::Occupied(mut count) = function.in_flight_counts.entry(ended.executor) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
        Some(ended)
    }

    /// Records that an invocation has its final answer, and releases it if nothing is in flight. Dispatches in flight
    /// are cancelled if that is allowed, unless the response has started.
    pub fn close(
        &mut self,
        index: InvocationIndex,
        allows_cancellation: bool,
        actions: &mut dyn Actions,
    ) {
        self.dequeue(index);
        let invocation = self.invocations.get_mut(index);
        invocation.set_answered();
        if allows_cancellation && !invocation.is_streaming() {
            invocation.cancel_dispatches(None, actions);
        }
        self.release(index);
    }

    /// Returns an invocation to its queue if it has no final answer and nothing in flight.
    pub fn requeue(&mut self, index: InvocationIndex) {
        let invocation = &self.invocations[index];
        if invocation.in_flight().is_empty() && !invocation.is_answered() {
            self.enqueue(index);
        }
    }

    /// Releases an invocation if it has its final answer and nothing in flight.
    pub fn release(&mut self, index: InvocationIndex) {
        if self.invocations.release(index) {
            let function = self.invocations[index].function();
            self.functions[function]
                .in_flight
                .retain(|&other| other != index);
        }
    }

    fn enqueue(&mut self, index: InvocationIndex) {
        let function = self.invocations[index].function();
        let queue = &mut self.functions[function];
        queue.in_flight.retain(|&other| other != index);
        queue.waiting.push(index);
        self.functions.with_waiting.insert(function);
    }

    fn dequeue(&mut self, index: InvocationIndex) {
        let function = self.invocations[index].function();
        let queue = &mut self.functions[function].waiting;
        queue.retain(|&other| other != index);
        if queue.is_empty() {
            self.functions.with_waiting.remove(&function);
        }
    }
}
