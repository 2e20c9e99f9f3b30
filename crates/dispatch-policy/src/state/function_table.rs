//! The table of the functions that this front end serves.

use super::{ExecutorIndex, Function, FunctionIndex};
use std::collections::{BTreeSet, HashMap};
use std::ops::{Index, IndexMut};

/// Bytes of memory that the record of a function takes about, with its ranking and its entries in the tables.
pub const FUNCTION_BYTES: usize = size_of::<Function>() + 256;
/// A sweep examines one in `SWEEP_DIVISOR` functions, but at least `MIN_SWEPT` of them.
const SWEEP_DIVISOR: usize = 64;
const MIN_SWEPT: usize = 16;

/// The functions, by their dense indices.
#[derive(Default)]
pub struct FunctionTable {
    functions: Vec<Function>,
    by_key: HashMap<u64, FunctionIndex>,
    free: Vec<FunctionIndex>,
    pub(super) with_waiting: BTreeSet<FunctionIndex>,
    /// The position that was swept last.
    sweep_position: usize,
}

impl Index<FunctionIndex> for FunctionTable {
    type Output = Function;

    fn index(&self, function: FunctionIndex) -> &Function {
        &self.functions[function.position()]
    }
}

impl IndexMut<FunctionIndex> for FunctionTable {
    fn index_mut(&mut self, function: FunctionIndex) -> &mut Function {
        &mut self.functions[function.position()]
    }
}

impl FunctionTable {
    /// Returns the number of slots, including free ones.
    pub fn len(&self) -> usize {
        self.functions.len()
    }

    /// Returns whether there are no slots.
    pub fn is_empty(&self) -> bool {
        self.functions.is_empty()
    }

    /// Returns the number of functions, without free slots.
    pub fn function_count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the index of the function with a key.
    pub fn find(&self, key: u64) -> Option<FunctionIndex> {
        self.by_key.get(&key).copied()
    }

    /// Returns the index of the function with a key. A new function is added with the number of invocations that one
    /// replica runs at a time and its load time in seconds.
    pub fn find_or_insert(&mut self, key: u64, concurrency: f64, load_time: f64) -> FunctionIndex {
        *self.by_key.entry(key).or_insert_with(|| {
            let function = Function::new(key, concurrency, load_time);
            match self.free.pop() {
                Some(index) => {
                    self.functions[index.position()] = function;
                    index
                }
                None => {
                    self.functions.push(function);
                    FunctionIndex::new(self.functions.len() - 1)
                }
            }
        })
    }

    /// Forgets one function without open invocations and placement, if there is one among the next few of the table:
    /// one without warm replicas if possible, else the least recently invoked one. Returns whether there was one.
    ///
    /// Failure mode: functions that are invoked once fill the table.
    /// Risk: a function whose warm replicas are forgotten is placed anew.
    pub fn forget_one(&mut self, now: f64) -> bool {
        let mut least_recent: Option<FunctionIndex> = None;
        for _ in 0..MIN_SWEPT.min(self.functions.len()) {
            if self.sweep_next(f64::INFINITY, now) {
                return true;
            }
            let index = FunctionIndex::new(self.sweep_position);
            let is_older =
                |than: FunctionIndex| self[index].last_invoked_at() < self[than].last_invoked_at();
            if self.is_listed(index)
                && self[index].is_idle(now)
                && least_recent.is_none_or(is_older)
            {
                least_recent = Some(index);
            }
        }
        if let Some(index) = least_recent {
            self.remove(index);
        }
        least_recent.is_some()
    }

    /// Returns the functions with waiting invocations.
    pub fn with_waiting(&self) -> &BTreeSet<FunctionIndex> {
        &self.with_waiting
    }

    /// Examines the next part of the table: removes expired replicas, and functions that were not used since
    /// `unused_since`.
    pub fn sweep(&mut self, unused_since: f64, now: f64) {
        let swept = (self.functions.len() / SWEEP_DIVISOR)
            .max(MIN_SWEPT)
            .min(self.functions.len());
        for _ in 0..swept {
            self.sweep_next(unused_since, now);
        }
    }

    /// Examines the next function of the table. Returns whether it was removed, as one that was not used since
    /// `unused_since`.
    fn sweep_next(&mut self, unused_since: f64, now: f64) -> bool {
        self.sweep_position = (self.sweep_position + 1) % self.functions.len();
        let index = FunctionIndex::new(self.sweep_position);
        self[index].drop_expired(now);
        let is_removed = self.is_listed(index) && self[index].is_unused(unused_since, now);
        if is_removed {
            self.remove(index);
        }
        is_removed
    }

    /// Whether a slot holds a function, rather than being free.
    fn is_listed(&self, index: FunctionIndex) -> bool {
        self.by_key.get(&self[index].key()) == Some(&index)
    }

    fn remove(&mut self, index: FunctionIndex) {
        let removed = std::mem::take(&mut self[index]);
        self.by_key.remove(&removed.key());
        self.free.push(index);
    }

    /// Removes the warm replicas of some executors from all functions.
    pub fn evict_executors(&mut self, evicted: &[ExecutorIndex]) {
        if evicted.is_empty() {
            return;
        }
        let evicted: BTreeSet<ExecutorIndex> = evicted.iter().copied().collect();
        for function in &mut self.functions {
            function.evict_executors(&evicted);
        }
    }

    /// Removes the references to executors that are about to be removed from the executor table, except for warm
    /// replicas, which [`evict_executors`](FunctionTable::evict_executors) removes.
    pub fn remove_references(&mut self, removed: &[ExecutorIndex]) {
        if removed.is_empty() {
            return;
        }
        let removed: BTreeSet<ExecutorIndex> = removed.iter().copied().collect();
        for function in &mut self.functions {
            function.remove_references(&removed);
        }
    }
}
