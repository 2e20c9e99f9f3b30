//! The process's time, and whether the process stood still.

use orchidtally_engine::clock::Clock;
use orchidtally_engine::stall_detector::StallDetector;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

fn wall() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64())
}

/// Monotonic time, anchored to wall time; spans of it are real time whatever the wall clock does.
pub struct ProcessClock {
    clock: Clock,
    began: Instant,
    standstills: StallDetector,
}

impl ProcessClock {
    /// Begins at the wall clock's time.
    pub fn new() -> ProcessClock {
        ProcessClock::starting_at(wall())
    }

    /// Begins at a time in seconds.
    pub fn starting_at(now: f64) -> ProcessClock {
        let standstills = StallDetector::new(now);
        ProcessClock {
            clock: Clock::new(0.0, now),
            began: Instant::now(),
            standstills,
        }
    }

    /// The time in seconds.
    pub fn read(&mut self) -> f64 {
        let now = self.clock.read(self.began.elapsed().as_secs_f64());
        self.standstills.observe(now);
        now
    }

    /// When bytes that are read now may have come.
    pub fn arrived_by(&self, now: f64) -> f64 {
        self.standstills.arrival_bound(now)
    }

    /// For how long the process did not run, where it did not since this was asked last.
    pub fn take_standstill(&mut self) -> Option<f64> {
        self.standstills.take_stall()
    }

    /// Follows the wall clock slowly.
    pub fn follow_wall(&mut self) {
        self.clock
            .anchor(self.began.elapsed().as_secs_f64(), wall());
    }
}

#[cfg(test)]
#[path = "tests/process_clock.rs"]
mod tests;
