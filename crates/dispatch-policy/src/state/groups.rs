//! Executors by the group that they are in.

/// Members sorted by group, and within it in the order in which they were given.
#[derive(Default)]
pub(super) struct Groups {
    members: Vec<usize>,
    /// Where each group begins; one more than there are groups, for the end of the last.
    starts: Vec<usize>,
}

impl Groups {
    /// Sorts members by their groups, which are small numbers.
    pub(super) fn new(members: &[usize], group: impl Fn(usize) -> usize) -> Groups {
        let groups = members.iter().map(|&x| group(x) + 1).max().unwrap_or(0);
        let mut starts = vec![0; groups + 1];
        members.iter().for_each(|&x| starts[group(x) + 1] += 1);
        for n in 1..starts.len() {
            starts[n] += starts[n - 1];
        }
        let (mut next, mut sorted) = (starts.clone(), vec![0; members.len()]);
        for &x in members {
            sorted[next[group(x)]] = x;
            next[group(x)] += 1;
        }
        Groups {
            members: sorted,
            starts,
        }
    }

    pub(super) fn members(&self, group: usize) -> &[usize] {
        match self.starts.get(group..group + 2) {
            Some(&[start, end]) => &self.members[start..end],
            _ => &[],
        }
    }
}
