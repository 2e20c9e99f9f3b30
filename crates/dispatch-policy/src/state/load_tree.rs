//! A binary tree over the loads of a function's warm replicas. It finds the least loaded replica without scoring all
//! of them.

use super::{ExecutorIndex, ExecutorTable, LoadEstimate, WarmReplica};

/// Number of free leaves in a new tree, for replicas that are added later.
const SPARE_LEAVES: usize = 16;
/// Marks an executor without a replica in the set.
const NO_POSITION: u32 = u32::MAX;

/// The position of an executor's replica in the set, and its expiry time.
#[derive(Clone, Copy)]
struct Leaf {
    position: u32,
    expires_at: f64,
}

impl Leaf {
    const NONE: Leaf = Leaf {
        position: NO_POSITION,
        expires_at: f64::NEG_INFINITY,
    };
}

/// A binary tree over the positions of a set of replicas. Each node holds the combined
/// [best](LoadEstimate::best) load of its leaves. The root is node 1; the leaf of a position is node
/// `leaf_count + position`.
pub(super) struct LoadTree {
    leaf_count: usize,
    nodes: Vec<LoadEstimate>,
    /// Indexed by the position of the executor in its table.
    leaves: Vec<Leaf>,
    /// The number of load changes that the nodes include; `None` before the first refresh.
    changes_seen: Option<u64>,
    /// Executors added since the last refresh.
    added: Vec<ExecutorIndex>,
}

/// A subtree that remains to be searched.
struct Subtree {
    node: usize,
    /// A lower bound of the scores in the subtree.
    bound: f64,
    /// Its first position and its number of positions.
    first: usize,
    width: usize,
}

impl LoadTree {
    pub(super) fn new(entries: &[Option<WarmReplica>]) -> LoadTree {
        let leaf_count = (entries.len() + SPARE_LEAVES).next_power_of_two();
        let mut tree = LoadTree {
            leaf_count,
            nodes: vec![LoadEstimate::NONE; 2 * leaf_count],
            leaves: vec![],
            changes_seen: None,
            added: vec![],
        };
        for (position, entry) in entries.iter().enumerate() {
            if let Some(replica) = entry {
                tree.set_leaf(replica.executor, position, replica.expires_at);
            }
        }
        tree
    }

    /// Returns whether there is a leaf for a position.
    pub(super) fn has_leaf_for(&self, position: usize) -> bool {
        position < self.leaf_count
    }

    /// Returns the position of an executor's replica.
    pub(super) fn position(&self, executor: ExecutorIndex) -> Option<usize> {
        self.leaves
            .get(executor.position())
            .filter(|leaf| leaf.position != NO_POSITION)
            .map(|leaf| leaf.position as usize)
    }

    /// Returns whether an executor has a replica that has not expired at `now`.
    pub(super) fn is_warm(&self, executor: ExecutorIndex, now: f64) -> bool {
        self.leaves
            .get(executor.position())
            .is_some_and(|leaf| leaf.expires_at > now)
    }

    /// Adds the replica of an executor that has none. The next refresh sets its load.
    pub(super) fn add(&mut self, executor: ExecutorIndex, position: usize, expires_at: f64) {
        self.set_leaf(executor, position, expires_at);
        self.added.push(executor);
    }

    /// Removes the replica of an executor.
    pub(super) fn remove(&mut self, executor: ExecutorIndex, position: usize) {
        self.leaves[executor.position()] = Leaf::NONE;
        self.set_load(position, LoadEstimate::NONE);
    }

    fn set_leaf(&mut self, executor: ExecutorIndex, position: usize, expires_at: f64) {
        if self.leaves.len() <= executor.position() {
            self.leaves.resize(executor.position() + 1, Leaf::NONE);
        }
        self.leaves[executor.position()] = Leaf {
            position: position as u32,
            expires_at,
        };
    }

    fn set_load(&mut self, position: usize, load: LoadEstimate) {
        let mut node = self.leaf_count + position;
        self.nodes[node] = load;
        while node > 1 {
            node /= 2;
            let best = self.best_child(node);
            if std::mem::replace(&mut self.nodes[node], best) == best {
                break;
            }
        }
    }

    fn best_child(&self, node: usize) -> LoadEstimate {
        self.nodes[2 * node].best(&self.nodes[2 * node + 1])
    }

    /// Updates the loads that changed since the last refresh. Rebuilds the tree instead if the changes are unknown or
    /// not fewer than the entries.
    pub(super) fn refresh(&mut self, entries: &[Option<WarmReplica>], executors: &ExecutorTable) {
        let changed = self
            .changes_seen
            .and_then(|seen| executors.load_changes.since(seen))
            .filter(|changed| changed.len() < entries.len());
        match changed {
            Some(changed) => {
                let added = std::mem::take(&mut self.added);
                for executor in changed.chain(added) {
                    if let Some(position) = self.position(executor) {
                        self.set_load(position, executors.load_of(executor));
                    }
                }
            }
            None => self.rebuild(entries, executors),
        }
        self.changes_seen = Some(executors.load_changes.count());
    }

    fn rebuild(&mut self, entries: &[Option<WarmReplica>], executors: &ExecutorTable) {
        for (position, entry) in entries.iter().enumerate() {
            self.nodes[self.leaf_count + position] = entry.map_or(LoadEstimate::NONE, |replica| {
                executors.load_of(replica.executor)
            });
        }
        for node in (1..self.leaf_count).rev() {
            self.nodes[node] = self.best_child(node);
        }
        self.added.clear();
    }

    /// Returns the position with the lowest score, or the first of several; see [`WarmReplicaSet::min_by_score`].
    ///
    /// [`WarmReplicaSet::min_by_score`]: super::WarmReplicaSet::min_by_score
    pub(super) fn min_position(
        &self,
        bound: impl Fn(&LoadEstimate) -> f64,
        score: impl Fn(usize) -> Option<f64>,
    ) -> Option<usize> {
        let subtree = |node: usize, first: usize, width: usize| Subtree {
            node,
            bound: bound(&self.nodes[node]),
            first,
            width,
        };
        let mut best: Option<(f64, usize)> = None;
        // A stack: the child with the lower bound is pushed last and searched first.
        let mut pending = vec![subtree(1, 0, self.leaf_count)];
        while let Some(Subtree {
            node,
            bound,
            first,
            width,
        }) = pending.pop()
        {
            let is_worse = best.is_some_and(|best| best <= (bound, first));
            if is_worse || bound == f64::INFINITY {
                continue;
            }
            if width == 1 {
                let found = score(first).map(|score| (score, first));
                best = found
                    .filter(|found| best.is_none_or(|best| *found < best))
                    .or(best);
                continue;
            }
            let half = width / 2;
            let left = subtree(2 * node, first, half);
            let right = subtree(2 * node + 1, first + half, half);
            if right.bound < left.bound {
                pending.extend([left, right]);
            } else {
                pending.extend([right, left]);
            }
        }
        best.map(|(_, position)| position)
    }
}
