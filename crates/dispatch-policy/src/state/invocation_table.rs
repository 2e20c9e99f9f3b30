//! The table of open invocations: those without a final answer and those with a dispatch still in flight.

use super::{ExecutorIndex, InFlightDispatch, InvocationIndex, OpenInvocation};
use crate::interface::ConfigError;
use std::collections::HashMap;
use std::ops::Index;

/// The open invocations, by their dense indices.
#[derive(Default)]
pub struct InvocationTable {
    invocations: Vec<OpenInvocation>,
    by_id: HashMap<u32, InvocationIndex>,
    free: Vec<InvocationIndex>,
}

impl Index<InvocationIndex> for InvocationTable {
    type Output = OpenInvocation;

    fn index(&self, invocation: InvocationIndex) -> &OpenInvocation {
        &self.invocations[invocation.position()]
    }
}

impl InvocationTable {
    /// Returns the number of slots, including free ones.
    pub fn len(&self) -> usize {
        self.invocations.len()
    }

    /// Returns whether there are no slots.
    pub fn is_empty(&self) -> bool {
        self.invocations.is_empty()
    }

    /// Returns the index of the open invocation with an identifier.
    pub fn find(&self, id: u32) -> Option<InvocationIndex> {
        self.by_id.get(&id).copied()
    }

    /// Returns an invocation for changes that leave the indices of the tables as they are.
    pub fn get_mut(&mut self, invocation: InvocationIndex) -> &mut OpenInvocation {
        &mut self.invocations[invocation.position()]
    }

    /// Returns the dispatch with a number of the invocation with an identifier, and the index of that invocation, if
    /// the dispatch is in flight and not cancelled.
    pub fn find_dispatch(
        &self,
        id: u32,
        dispatch: u8,
    ) -> Option<(InvocationIndex, InFlightDispatch)> {
        let invocation = self.find(id)?;
        let found = self[invocation]
            .in_flight()
            .iter()
            .find(|in_flight| !in_flight.is_cancelled && in_flight.dispatch == dispatch);
        found.map(|dispatch| (invocation, *dispatch))
    }

    /// Checks that no open invocation has a trigger type.
    ///
    /// # Errors
    /// Returns `InUse` if one has.
    pub fn check_unused(&self, trigger_type: usize) -> Result<(), ConfigError> {
        let mut open = self.by_id.values();
        if open.any(|&invocation| self[invocation].trigger_type() == trigger_type) {
            Err(ConfigError::InUse {
                index: trigger_type,
            })
        } else {
            Ok(())
        }
    }

    /// Returns whether an invocation without a final answer may have run at an executor in a dispatch that has ended.
    pub fn may_have_run_at(&self, executor: ExecutorIndex) -> bool {
        self.invocations.iter().any(|invocation| {
            !invocation.is_answered()
                && invocation
                    .possible_execution()
                    .is_some_and(|execution| execution.executor == executor)
        })
    }

    /// Lowers the timeout of every invocation to `at` if it is later.
    pub fn cap_timeouts(&mut self, at: f64) {
        for invocation in &mut self.invocations {
            invocation.cap_timeout(at);
        }
    }

    pub(super) fn insert(&mut self, invocation: OpenInvocation) -> InvocationIndex {
        let index = self
            .free
            .pop()
            .unwrap_or_else(|| InvocationIndex::new(self.invocations.len()));
        self.by_id.insert(invocation.id(), index);
        if index.position() == self.invocations.len() {
            self.invocations.push(invocation);
        } else {
            self.invocations[index.position()] = invocation;
        }
        index
    }

    /// Releases the slot of an invocation that has its final answer and nothing in flight. Returns whether it did so.
    pub(super) fn release(&mut self, index: InvocationIndex) -> bool {
        let invocation = &self.invocations[index.position()];
        if !invocation.is_complete() || self.by_id.remove(&invocation.id()).is_none() {
            return false;
        }
        self.free.push(index);
        true
    }
}
