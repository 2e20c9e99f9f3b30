//! A bounded log of the executors whose load changed, from which indices over loads are updated.

use super::ExecutorIndex;
use std::collections::VecDeque;

/// Number of changes that are kept. A reader that has missed more than these has to read all loads.
const MAX_CHANGES: usize = 4_096;

/// The latest load changes.
#[derive(Default)]
pub(super) struct LoadChanges {
    latest: VecDeque<ExecutorIndex>,
    /// Number of changes before the first one in `latest`.
    dropped: u64,
}

impl LoadChanges {
    /// Records that an executor's load changed.
    pub(super) fn record(&mut self, executor: ExecutorIndex) {
        self.latest.push_back(executor);
        if self.latest.len() > MAX_CHANGES {
            self.latest.pop_front();
            self.dropped += 1;
        }
    }

    /// Records that any load may have changed.
    pub(super) fn invalidate(&mut self) {
        self.dropped = self.count() + 1;
        self.latest.clear();
    }

    /// Returns the total number of changes so far.
    pub(super) fn count(&self) -> u64 {
        self.dropped + self.latest.len() as u64
    }

    /// Returns the executors whose load changed after the first `count` changes, or `None` if the log no longer has all
    /// of these changes.
    pub(super) fn since(
        &self,
        count: u64,
    ) -> Option<impl ExactSizeIterator<Item = ExecutorIndex> + '_> {
        let first = usize::try_from(count.checked_sub(self.dropped)?).ok()?;
        (first <= self.latest.len()).then(|| self.latest.range(first..).copied())
    }
}
