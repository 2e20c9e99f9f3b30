//! The backoff between attempts to reach the store.

use std::cell::Cell;

/// The first and the longest delay, in seconds.
const INITIAL_DELAY: f64 = 0.1;
const MAX_DELAY: f64 = 2.0;

/// An exponential backoff with jitter: each delay is multiplied by a random factor between 0.5 and 1.5.
/// Failure mode: front ends lose the store at the same time. Risk: they would reconnect at the same time.
#[derive(Debug)]
pub struct Backoff {
    next: Cell<f64>,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            next: Cell::new(INITIAL_DELAY),
        }
    }
}

impl Backoff {
    /// The delay before the next attempt, in seconds; `random` is a random number between 0 and 1.
    pub fn next_delay(&self, random: f64) -> f64 {
        let delay = self.next.get();
        self.next.set((2.0 * delay).min(MAX_DELAY));
        delay * (0.5 + random)
    }

    /// Resets the delay after a response of the store.
    pub fn reset(&self) {
        self.next.set(INITIAL_DELAY);
    }
}
