//! A log of the executors whose load changed, so that indices over loads can follow.

use super::ExecutorIndex;
use std::collections::VecDeque;

/// Changes that are kept; who has seen fewer has to look at all loads.
const MAX_CHANGES: usize = 4_096;

/// The latest changes of loads.
#[derive(Default)]
pub(super) struct LoadChanges {
    latest: VecDeque<ExecutorIndex>,
    /// Number of changes before the latest ones.
    dropped: u64,
}

impl LoadChanges {
    /// Adds a change of an executor's load.
    pub(super) fn record(&mut self, executor: ExecutorIndex) {
        self.latest.push_back(executor);
        if self.latest.len() > MAX_CHANGES {
            self.latest.pop_front();
            self.dropped += 1;
        }
    }

    /// Declares every load changed.
    pub(super) fn invalidate(&mut self) {
        self.dropped = self.count() + 1;
        self.latest.clear();
    }

    /// Number of changes so far.
    pub(super) fn count(&self) -> u64 {
        self.dropped + self.latest.len() as u64
    }

    /// The executors whose loads changed after so many changes; `None` where that is no longer known.
    pub(super) fn since(
        &self,
        count: u64,
    ) -> Option<impl ExactSizeIterator<Item = ExecutorIndex> + '_> {
        let first = usize::try_from(count.checked_sub(self.dropped)?).ok()?;
        (first <= self.latest.len()).then(|| self.latest.range(first..).copied())
    }
}
