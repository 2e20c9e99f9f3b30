//! Executors sorted by group.

use super::ExecutorIndex;

/// Executors sorted by group. Within a group they keep the order in which they were given.
#[derive(Default)]
pub(super) struct Groups {
    members: Vec<ExecutorIndex>,
    /// Start of each group in `members`, followed by the end of the last group.
    starts: Vec<usize>,
}

impl Groups {
    /// Sorts executors by group with a counting sort. Memory is proportional to the largest group number.
    pub(super) fn new(
        executors: &[ExecutorIndex],
        group_of: impl Fn(ExecutorIndex) -> usize,
    ) -> Groups {
        let groups = executors.iter().map(|&x| group_of(x) + 1).max();
        let mut starts = vec![0; groups.unwrap_or(0) + 1];
        for &executor in executors {
            starts[group_of(executor) + 1] += 1;
        }
        for group in 1..starts.len() {
            starts[group] += starts[group - 1];
        }
        let mut next = starts.clone();
        let mut members = executors.to_vec();
        for &executor in executors {
            let position = &mut next[group_of(executor)];
            members[*position] = executor;
            *position += 1;
        }
        Groups { members, starts }
    }

    /// Returns the executors of a group.
    pub(super) fn members(&self, group: usize) -> &[ExecutorIndex] {
        match self.starts.get(group..group + 2) {
            Some(&[start, end]) => &self.members[start..end],
            _ => &[],
        }
    }
}
