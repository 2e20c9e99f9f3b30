//! The process's time, and whether the process stood still.

use orchidtally_engine::clock::Clock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The process looks at its clock at least every 25 ms. Where two looks are further apart than this it did not run:
/// it was stopped, or had no processor.
const STOOD_STILL: f64 = 0.25;

fn wall() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

/// Monotonic time, anchored to wall time; spans of it are real time whatever the wall clock does.
pub struct ProcessClock {
    clock: Clock,
    began: Instant,
    read_at: f64,
    stood_still: Option<f64>,
}

impl ProcessClock {
    /// Begins at the wall clock's time.
    pub fn new() -> ProcessClock {
        ProcessClock::starting_at(wall())
    }

    /// Begins at a time in seconds.
    pub fn starting_at(now: f64) -> ProcessClock {
        let clock = Clock::new(0.0, now);
        ProcessClock { clock, began: Instant::now(), read_at: 0.0, stood_still: None }
    }

    /// The time in seconds.
    pub fn read(&mut self) -> f64 {
        let monotonic = self.began.elapsed().as_secs_f64();
        let gap = monotonic - std::mem::replace(&mut self.read_at, monotonic);
        if gap > STOOD_STILL {
            self.stood_still = Some(self.stood_still.map_or(gap, |before| before.max(gap)));
        }
        self.clock.read(monotonic)
    }

    /// For how long the process did not run, where it did not since this was asked last.
    pub fn take_standstill(&mut self) -> Option<f64> {
        self.stood_still.take()
    }

    /// Follows the wall clock slowly.
    pub fn follow_wall(&mut self) {
        self.clock.anchor(self.began.elapsed().as_secs_f64(), wall());
    }
}

#[cfg(test)]
#[path = "tests/process_clock.rs"]
mod tests;
