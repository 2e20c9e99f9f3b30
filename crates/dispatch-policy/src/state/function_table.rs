//! The table of the functions that this front end serves.

use super::{ExecutorIndex, Function, FunctionIndex};
use std::collections::{BTreeSet, HashMap};
use std::ops::{Index, IndexMut};

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
            self.sweep_position = (self.sweep_position + 1) % self.functions.len();
            let index = FunctionIndex::new(self.sweep_position);
            let function = &mut self.functions[self.sweep_position];
            function.drop_expired(now);
            let is_listed = self.by_key.get(&function.key()) == Some(&index);
            if is_listed && function.is_unused(unused_since) {
                self.by_key.remove(&function.key());
                *function = Function::default();
                self.free.push(index);
            }
        }
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
