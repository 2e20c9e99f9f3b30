//! The sources that have input to handle, in the order in which they became ready.

use crate::source::EventSource;
use std::collections::{BTreeSet, VecDeque};

/// A source that has input to handle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReadySource {
    /// The source.
    pub(super) source: EventSource,
    /// When it was queued, in seconds.
    pub(super) since: f64,
}

/// Sources that are ready, each once.
///
/// Each source gets one turn and then queues again at the end, so that none waits for more than one turn of each other
/// source.
#[derive(Default)]
pub(super) struct ReadyQueue {
    order: VecDeque<ReadySource>,
    queued: BTreeSet<EventSource>,
}

impl ReadyQueue {
    /// Adds a source at the end, unless it is queued already. `now` is in seconds.
    pub(super) fn push(&mut self, source: EventSource, now: f64) {
        if self.queued.insert(source) {
            self.order.push_back(ReadySource { source, since: now });
        }
    }

    /// Removes and returns the first source.
    pub(super) fn pop(&mut self) -> Option<ReadySource> {
        let ready = self.order.pop_front()?;
        self.queued.remove(&ready.source);
        Some(ready)
    }

    /// Whether a source is queued.
    pub(super) fn contains(&self, source: EventSource) -> bool {
        self.queued.contains(&source)
    }

    /// The number of queued sources.
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no source is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

#[cfg(test)]
#[path = "../tests/ready_queue.rs"]
mod tests;
