//! The functions that this front end serves.

use super::{ExecutorIndex, Function, FunctionIndex};
use std::collections::{BTreeSet, HashMap};
use std::ops::{Index, IndexMut};

/// A sweep looks at one of so many functions, and at a minimum of functions.
const SWEEP_FRACTION: usize = 64;
const MIN_SWEPT: usize = 16;

/// The functions, by their dense indices.
#[derive(Default)]
pub struct FunctionTable {
    functions: Vec<Function>,
    by_key: HashMap<u64, FunctionIndex>,
    free: Vec<FunctionIndex>,
    pub(super) with_waiting: BTreeSet<FunctionIndex>,
    /// Where the next sweep goes on.
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
    /// Slots of functions, the free ones included.
    pub fn len(&self) -> usize {
        self.functions.len()
    }

    /// Whether there is no slot.
    pub fn is_empty(&self) -> bool {
        self.functions.is_empty()
    }

    /// Number of functions.
    pub fn function_count(&self) -> usize {
        self.by_key.len()
    }

    /// The function of a key.
    pub fn find(&self, key: u64) -> Option<FunctionIndex> {
        self.by_key.get(&key).copied()
    }

    /// The function of a key, which is added where it is new, with the invocations that one replica runs at a time and
    /// its load time in seconds.
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

    /// The functions with invocations waiting.
    pub fn with_waiting(&self) -> &BTreeSet<FunctionIndex> {
        &self.with_waiting
    }

    /// Drops expired replicas, and functions that were not used since a moment, of a part of the functions at a
    /// time.
    pub fn sweep(&mut self, unused_since: f64, now: f64) {
        let swept = (self.functions.len() / SWEEP_FRACTION)
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

    /// Drops the warm replicas of some executors.
    pub fn evict_executors(&mut self, evicted: &[ExecutorIndex]) {
        if evicted.is_empty() {
            return;
        }
        let evicted: BTreeSet<ExecutorIndex> = evicted.iter().copied().collect();
        for function in &mut self.functions {
            function.evict_executors(&evicted);
        }
    }

    /// Drops whatever refers to executors that are forgotten.
    pub fn forget_executors(&mut self, forgotten: &[ExecutorIndex]) {
        if forgotten.is_empty() {
            return;
        }
        let forgotten: BTreeSet<ExecutorIndex> = forgotten.iter().copied().collect();
        for function in &mut self.functions {
            function.forget_executors(&forgotten);
        }
    }
}
