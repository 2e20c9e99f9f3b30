//! The executors known to have a function loaded, in the order in which this was last observed.

use super::load_tree::LoadTree;
use super::{ExecutorIndex, ExecutorTable, LoadEstimate};

/// Sets up to this size are searched linearly, larger ones with a [`LoadTree`].
const MAX_LINEAR_SCAN: usize = 16;

/// An executor known to have a function loaded.
#[derive(Clone, Copy)]
pub struct WarmReplica {
    /// The executor.
    pub executor: ExecutorIndex,
    /// When the replica expires, in seconds. From then on it is no longer assumed to be loaded.
    pub expires_at: f64,
    /// Whether the executor rejected a dispatch because it had no capacity for the function.
    pub is_full: bool,
}

/// The warm replicas of a function, one for each executor.
#[derive(Default)]
pub struct WarmReplicaSet {
    /// Removed entries become `None` until the entries are compacted.
    entries: Vec<Option<WarmReplica>>,
    count: usize,
    /// Present for a large set from its first refresh on.
    tree: Option<Box<LoadTree>>,
}

impl WarmReplicaSet {
    /// Returns the number of replicas, including expired ones.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether there are no replicas.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the replicas in the order in which they were last added, including expired ones.
    pub fn iter(&self) -> impl Iterator<Item = &WarmReplica> + Clone {
        self.entries.iter().flatten()
    }

    fn position(&self, executor: ExecutorIndex) -> Option<usize> {
        match &self.tree {
            Some(tree) => tree.position(executor),
            None => self
                .entries
                .iter()
                .position(|entry| entry.is_some_and(|replica| replica.executor == executor)),
        }
    }

    /// Returns whether an executor has a replica that has not expired at `now`.
    pub fn is_warm(&self, executor: ExecutorIndex, now: f64) -> bool {
        match &self.tree {
            Some(tree) => tree.is_warm(executor, now),
            None => self
                .iter()
                .any(|replica| replica.executor == executor && replica.expires_at > now),
        }
    }

    /// Marks an executor's replica as having no capacity.
    pub fn mark_full(&mut self, executor: ExecutorIndex) {
        if let Some(position) = self.position(executor)
            && let Some(replica) = &mut self.entries[position]
        {
            replica.is_full = true;
        }
    }

    /// Appends a replica, in place of the one that the executor had.
    pub fn add(&mut self, executor: ExecutorIndex, expires_at: f64) {
        self.remove(executor);
        let position = self.entries.len();
        self.entries.push(Some(WarmReplica {
            executor,
            expires_at,
            is_full: false,
        }));
        self.count += 1;
        self.tree.take_if(|tree| !tree.has_leaf_for(position));
        if let Some(tree) = &mut self.tree {
            tree.add(executor, position, expires_at);
        }
    }

    /// Removes the replica of an executor, if it has one.
    pub fn remove(&mut self, executor: ExecutorIndex) {
        let Some(position) = self.position(executor) else {
            return;
        };
        self.entries[position] = None;
        self.count -= 1;
        if let Some(tree) = &mut self.tree {
            tree.remove(executor, position);
        }
        if self.entries.len() >= 2 * self.count + MAX_LINEAR_SCAN {
            self.compact();
        }
    }

    /// Removes all replicas for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&WarmReplica) -> bool) {
        if !self.iter().all(&is_kept) {
            for entry in &mut self.entries {
                *entry = entry.filter(&is_kept);
            }
            self.compact();
        }
    }

    fn compact(&mut self) {
        self.entries.retain(Option::is_some);
        self.count = self.entries.len();
        self.tree = None;
    }

    /// Updates the set with the loads that changed. Has to be called before [`min_by_score`](Self::min_by_score).
    pub fn refresh(&mut self, executors: &ExecutorTable) {
        if self.count <= MAX_LINEAR_SCAN {
            self.tree = None;
            return;
        }
        let entries = &self.entries;
        self.tree
            .get_or_insert_with(|| Box::new(LoadTree::new(entries)))
            .refresh(entries, executors);
    }

    /// Returns the executor with the lowest score, or the first of several; replicas without a score are skipped.
    /// `bound` has to return a lower bound of the scores of all executors that a [`LoadEstimate`] combines.
    pub fn min_by_score(
        &self,
        bound: impl Fn(&LoadEstimate) -> f64,
        score: impl Fn(&WarmReplica) -> Option<f64>,
    ) -> Option<ExecutorIndex> {
        let Some(tree) = &self.tree else {
            let scores = self
                .iter()
                .filter_map(|replica| Some((score(replica)?, replica.executor)));
            return scores
                .min_by(|one, other| one.0.total_cmp(&other.0))
                .map(|(_, executor)| executor);
        };
        let replica_at = |position: usize| self.entries.get(position).and_then(Option::as_ref);
        tree.min_position(bound, |position| replica_at(position).and_then(&score))
            .and_then(replica_at)
            .map(|replica| replica.executor)
    }
}
