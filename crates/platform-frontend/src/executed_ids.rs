//! The ids of invocations that were dispatched, so that none of them runs again after it has ended.

use std::collections::{HashSet, VecDeque};

/// Bytes of memory that an id takes about in both collections.
const ID_BYTES: usize = 48;

/// The latest ids of invocations that may have run and must not run twice.
///
/// Failure mode: a client leaves while its invocation runs, and sends the same id again.
/// Risk: an id that is reused on purpose is turned away.
pub struct ExecutedIds {
    /// In the order in which the invocations were dispatched, with those that were removed.
    order: VecDeque<u64>,
    known: HashSet<u64>,
    max_ids: usize,
}

impl ExecutedIds {
    /// Creates an empty set that takes about this many bytes of memory at the most. Then the earliest id is forgotten.
    pub fn new(max_bytes: usize) -> ExecutedIds {
        ExecutedIds {
            order: VecDeque::new(),
            known: HashSet::new(),
            max_ids: (max_bytes / ID_BYTES).max(1),
        }
    }

    /// Adds an id.
    pub fn insert(&mut self, id: u64) {
        if !self.known.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > self.max_ids
            && let Some(earliest) = self.order.pop_front()
        {
            self.known.remove(&earliest);
        }
    }

    /// Removes an id: its invocation never ran.
    pub fn remove(&mut self, id: u64) {
        self.known.remove(&id);
    }

    /// Whether an invocation with this id may have run.
    pub fn contains(&self, id: u64) -> bool {
        self.known.contains(&id)
    }
}

#[cfg(test)]
#[path = "tests/executed_ids.rs"]
mod tests;
