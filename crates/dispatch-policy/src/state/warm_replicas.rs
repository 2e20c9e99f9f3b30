//! The executors known to have a function loaded, in the order in which they were last seen to.

use super::load_tree::LoadTree;
use super::{ExecutorIndex, ExecutorTable, LoadEstimate};

/// Sets up to this size are searched one by one, larger ones by a tree.
const MAX_SCANNED: usize = 16;

/// An executor known to have a function loaded.
#[derive(Clone, Copy)]
pub struct WarmReplica {
    /// The executor.
    pub executor: ExecutorIndex,
    /// The moment from which on the replica is not relied on, in seconds.
    pub expires_at: f64,
    /// The executor answered that it has no capacity for the function.
    pub is_full: bool,
}

/// The warm replicas of a function, one for each executor.
#[derive(Default)]
pub struct WarmReplicaSet {
    /// Removed entries leave a gap until there are too many of them.
    entries: Vec<Option<WarmReplica>>,
    count: usize,
    /// For a large set, once it was refreshed.
    tree: Option<Box<LoadTree>>,
}

impl WarmReplicaSet {
    /// Number of replicas, the expired ones included.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is no replica.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The replicas in the order in which they were last added, the expired ones included.
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

    /// Whether an executor has a replica that is relied on at a time.
    pub fn is_warm(&self, executor: ExecutorIndex, now: f64) -> bool {
        match &self.tree {
            Some(tree) => tree.is_warm(executor, now),
            None => self
                .iter()
                .any(|replica| replica.executor == executor && replica.expires_at > now),
        }
    }

    /// Notes that an executor has no capacity for the function.
    pub fn set_full(&mut self, executor: ExecutorIndex) {
        if let Some(position) = self.position(executor)
            && let Some(replica) = &mut self.entries[position]
        {
            replica.is_full = true;
        }
    }

    /// Adds a replica as the last, in place of the one that the executor had.
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
        if self.entries.len() >= 2 * self.count + MAX_SCANNED {
            self.close_gaps();
        }
    }

    /// Removes all replicas but those that are to stay.
    pub fn retain(&mut self, stays: impl Fn(&WarmReplica) -> bool) {
        if !self.iter().all(&stays) {
            for entry in &mut self.entries {
                *entry = entry.filter(&stays);
            }
            self.close_gaps();
        }
    }

    fn close_gaps(&mut self) {
        self.entries.retain(Option::is_some);
        self.count = self.entries.len();
        self.tree = None;
    }

    /// Takes in the loads that changed. It has to be called before a search.
    pub fn refresh(&mut self, executors: &ExecutorTable) {
        if self.count <= MAX_SCANNED {
            self.tree = None;
            return;
        }
        let entries = &self.entries;
        self.tree
            .get_or_insert_with(|| Box::new(LoadTree::new(entries)))
            .refresh(entries, executors);
    }

    /// The executor with the least score, the first of equal ones; replicas without a score are passed over.
    /// `bound` must never exceed the score of an executor with that load, or of any with loads that it is the
    /// best of.
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
