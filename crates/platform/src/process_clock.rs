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
    /// The latest standstill: from when to when.
    latest: Option<(f64, f64)>,
}

/// What was read so soon after a standstill may have come at its beginning.
const CATCHING_UP: f64 = 0.05;

impl ProcessClock {
    /// Begins at the wall clock's time.
    pub fn new() -> ProcessClock {
        ProcessClock::starting_at(wall())
    }

    /// Begins at a time in seconds.
    pub fn starting_at(now: f64) -> ProcessClock {
        let clock = Clock::new(0.0, now);
        ProcessClock { clock, began: Instant::now(), read_at: 0.0, stood_still: None, latest: None }
    }

    /// The time in seconds.
    pub fn read(&mut self) -> f64 {
        let monotonic = self.began.elapsed().as_secs_f64();
        let gap = monotonic - std::mem::replace(&mut self.read_at, monotonic);
        if gap > STOOD_STILL {
            self.stood_still = Some(self.stood_still.map_or(gap, |before| before.max(gap)));
            let now = self.clock.read(monotonic);
            self.latest = Some((now - gap, now));
        }
        self.clock.read(monotonic)
    }

    /// When bytes that are read now may have come: after a standstill nobody knows for how long they have waited. Guards
    /// deadlines of clients against counting from then; could harm one whose bytes have just come.
    pub fn arrived_by(&self, now: f64) -> f64 {
        match self.latest {
            Some((from, until)) if now < until + CATCHING_UP => from,
            _ => now,
        }
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
