//! The clock of the process, and the detection of process stalls.

use orchidtally_engine::clock::Clock;
use orchidtally_engine::stall_detector::StallDetector;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Seconds since the Unix epoch by the wall clock.
fn wall_clock() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64())
}

/// Monotonic time in seconds, anchored to the wall clock: its spans are real time whatever the wall clock does.
pub struct ProcessClock {
    clock: Clock,
    began: Instant,
    stalls: StallDetector,
}

impl ProcessClock {
    /// A clock that begins at the wall clock's time.
    pub fn new() -> ProcessClock {
        ProcessClock::starting_at(wall_clock())
    }

    /// A clock that begins at a time in seconds.
    pub fn starting_at(now: f64) -> ProcessClock {
        let stalls = StallDetector::new(now);
        ProcessClock {
            clock: Clock::new(0.0, now),
            began: Instant::now(),
            stalls,
        }
    }

    /// The time in seconds. Each reading is observed by the stall detector.
    pub fn read(&mut self) -> f64 {
        let now = self.clock.read(self.began.elapsed().as_secs_f64());
        self.stalls.observe(now);
        now
    }

    /// The earliest time at which bytes that are read now may have arrived.
    pub fn arrival_bound(&self, now: f64) -> f64 {
        self.stalls.earliest_arrival(now)
    }

    /// The length in seconds of a process stall that was detected since the last call, if any.
    pub fn take_stall(&mut self) -> Option<f64> {
        self.stalls.take_longest_stall()
    }

    /// Moves the clock towards the wall clock, slowly.
    pub fn follow_wall_clock(&mut self) {
        self.clock
            .synchronize(self.began.elapsed().as_secs_f64(), wall_clock());
    }
}

#[cfg(test)]
#[path = "tests/process_clock.rs"]
mod tests;
