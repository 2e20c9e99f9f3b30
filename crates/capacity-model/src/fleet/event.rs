//! The queue of what happens next: compact events in order of time, and in order of entry at the same time.

use orchidtally_dispatch_policy::state::Ordered;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What happens; numbers are keys into the tables of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A request reaches its executor.
    Reaches(u32),
    /// A load has ended.
    Loaded(u32),
    /// The work of a call has ended.
    Ends(u32),
    /// A request's answer, or the failure of its connection, reaches its front end.
    Answers(u32),
    /// A front end's timer.
    Wakes(u32),
    /// A notice of the store reaches a front end.
    Notice(u32),
    /// A step of the scenario.
    Step(u32),
}

/// Events by time.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<(Ordered, u64, Event)>>,
    entered: u64,
}

impl Queue {
    pub fn push(&mut self, at: f64, event: Event) {
        self.entered += 1;
        self.heap.push(Reverse((Ordered(at), self.entered, event)));
    }

    /// When the next event is; infinity when there is none.
    pub fn next_at(&self) -> f64 {
        self.heap
            .peek()
            .map_or(f64::INFINITY, |Reverse((at, ..))| at.0)
    }

    pub fn pop(&mut self) -> Option<(f64, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at.0, event))
    }

    /// How many events were entered so far.
    pub fn entered(&self) -> u64 {
        self.entered
    }
}
