//! Executors by the group that they are in.

use super::ExecutorIndex;

/// Executors sorted by group, and within it in the order in which they were given.
#[derive(Default)]
pub(super) struct Groups {
    members: Vec<ExecutorIndex>,
    /// Where each group begins; one more than there are groups, for the end of the last.
    starts: Vec<usize>,
}

impl Groups {
    /// Sorts executors by their groups, which are small numbers.
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

    /// The executors of a group.
    pub(super) fn members(&self, group: usize) -> &[ExecutorIndex] {
        match self.starts.get(group..group + 2) {
            Some(&[start, end]) => &self.members[start..end],
            _ => &[],
        }
    }
}
