//! A hollow executor: copies in a bounded memory, loads, lanes and a bounded queue of calls that wait.

use super::assumptions::{COLD_SPEED, COLD_TIME, KEEP_ALIVE};
use std::collections::VecDeque;

/// Whether a machine answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// Its process is gone and its system refuses connections.
    Refusing,
    /// Nothing comes back from it: no power or no network.
    Silent,
}

/// A copy of a function in an executor's memory.
#[derive(Debug)]
pub struct Copy {
    pub function: u32,
    /// When it was loaded; `None` while it loads.
    pub loaded_at: Option<f64>,
    pub used_at: f64,
    /// Calls of the function that wait or run here.
    pub calls: u32,
    /// Orders to load that wait for it.
    pub orders: Vec<u32>,
}

impl Copy {
    fn is_evictable(&self, now: f64) -> bool {
        let idle = self.calls == 0 && self.orders.is_empty() && self.loaded_at.is_some();
        idle && self.used_at + KEEP_ALIVE < now
    }
}

/// The bounds of each executor.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Calls that run at a time.
    pub lanes: usize,
    /// Calls that may wait.
    pub waiting: usize,
    /// Copies that fit into memory.
    pub copies: usize,
}

/// All copies are in use or within their keep-alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the executor's memory is full of copies that have to stay")]
pub struct MemoryFull;

pub struct Executor {
    pub state: State,
    /// Counts restarts.
    pub incarnation: u8,
    /// When it started; minus infinity for long ago.
    pub since: f64,
    pub running: Vec<u32>,
    pub waiting: VecDeque<u32>,
    pub copies: Vec<Copy>,
    pub loading: usize,
    /// Functions whose loads wait for a slot.
    pub loads_waiting: VecDeque<u32>,
}

impl Executor {
    pub fn new() -> Executor {
        Executor {
            state: State::Up,
            incarnation: 0,
            since: f64::NEG_INFINITY,
            running: vec![],
            waiting: VecDeque::new(),
            copies: vec![],
            loading: 0,
            loads_waiting: VecDeque::new(),
        }
    }

    pub fn copy(&self, function: u32) -> Option<&Copy> {
        self.copies.iter().find(|copy| copy.function == function)
    }

    pub fn copy_mut(&mut self, function: u32) -> Option<&mut Copy> {
        self.copies
            .iter_mut()
            .find(|copy| copy.function == function)
    }

    pub fn has_loaded(&self, function: u32) -> bool {
        self.copy(function)
            .is_some_and(|copy| copy.loaded_at.is_some())
    }

    /// Whether a further call would begin at once.
    pub fn has_capacity(&self, capacity: &Capacity) -> bool {
        self.state == State::Up && self.running.len() < capacity.lanes && self.waiting.is_empty()
    }

    /// Adds a copy that is to be loaded, and returns the function of the copy that was evicted for it.
    pub fn add_copy(
        &mut self,
        function: u32,
        now: f64,
        most: usize,
    ) -> Result<Option<u32>, MemoryFull> {
        let mut evicted = None;
        if self.copies.len() >= most {
            let evictable = self
                .copies
                .iter()
                .enumerate()
                .filter(|(_, copy)| copy.is_evictable(now));
            let oldest = evictable.min_by(|(_, a), (_, b)| a.used_at.total_cmp(&b.used_at));
            let position = oldest.map(|(position, _)| position).ok_or(MemoryFull)?;
            evicted = Some(self.copies.swap_remove(position).function);
        }
        self.copies.push(Copy {
            function,
            loaded_at: None,
            used_at: now,
            calls: 0,
            orders: vec![],
        });
        Ok(evicted)
    }

    /// Its speed, from [`COLD_SPEED`] just after a start up to 1.
    pub fn speed(&self, now: f64) -> f64 {
        let risen = ((now - self.since) / COLD_TIME).clamp(0.0, 1.0);
        COLD_SPEED + (1.0 - COLD_SPEED) * risen
    }

    /// Drops all requests and copies, and returns them: calls that waited, load commands, and calls that ran.
    pub fn clear(&mut self) -> Lost {
        let mut unstarted: Vec<u32> = self.waiting.drain(..).collect();
        unstarted.extend(
            self.copies
                .iter()
                .flat_map(|copy| copy.orders.iter().copied()),
        );
        let copies = self.copies.drain(..).map(|copy| copy.function).collect();
        self.loading = 0;
        self.loads_waiting.clear();
        Lost {
            unstarted,
            running: std::mem::take(&mut self.running),
            copies,
        }
    }
}

impl Default for Executor {
    fn default() -> Executor {
        Executor::new()
    }
}

/// What an executor had when it went down.
#[derive(Debug)]
pub struct Lost {
    pub unstarted: Vec<u32>,
    pub running: Vec<u32>,
    pub copies: Vec<u32>,
}
