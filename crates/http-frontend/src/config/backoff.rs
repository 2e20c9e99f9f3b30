//! Pauses between tries to reach the store.

use std::cell::Cell;

/// The first and the longest pause, in seconds.
const FIRST: f64 = 0.1;
const LONGEST: f64 = 2.0;

/// An exponential backoff. Each pause is drawn between half and one and a half of its length, so that front ends that
/// lose the store together don't come back together.
#[derive(Debug)]
pub struct Backoff {
    next: Cell<f64>,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            next: Cell::new(FIRST),
        }
    }
}

impl Backoff {
    /// The pause before the next try, in seconds; `drawn` lies between 0 and 1.
    pub fn pause(&self, drawn: f64) -> f64 {
        let pause = self.next.get();
        self.next.set((2.0 * pause).min(LONGEST));
        pause * (0.5 + drawn)
    }

    /// The store has answered.
    pub fn reset(&self) {
        self.next.set(FIRST);
    }
}
