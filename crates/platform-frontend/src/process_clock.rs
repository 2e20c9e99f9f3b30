//! The process clock with stall detection.

use orchidtally_engine::clock::Clock;
use orchidtally_engine::stall_detector::StallDetector;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Seconds since the Unix epoch by the wall clock.
fn wall_clock() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64())
}

/// A monotonic clock in seconds that starts at the wall clock's time. Steps of the wall clock don't affect the spans
/// that it measures.
pub struct ProcessClock {
    clock: Clock,
    started_at: Instant,
    stall_detector: StallDetector,
}

impl ProcessClock {
    /// Creates a clock that starts at the wall clock's time.
    pub fn new() -> ProcessClock {
        ProcessClock::starting_at(wall_clock())
    }

    /// Creates a clock that starts at `now`, in seconds.
    pub fn starting_at(now: f64) -> ProcessClock {
        let stall_detector = StallDetector::new(now);
        ProcessClock {
            clock: Clock::new(0.0, now),
            started_at: Instant::now(),
            stall_detector,
        }
    }

    /// Returns the time in seconds, and passes it to the stall detector.
    pub fn read(&mut self) -> f64 {
        let now = self.clock.read(self.started_at.elapsed().as_secs_f64());
        self.stall_detector.observe(now);
        now
    }

    /// The earliest time at which bytes that are read at `now` may have arrived: after a stall they may have waited in
    /// the socket for as long as it lasted.
    pub fn earliest_arrival(&self, now: f64) -> f64 {
        self.stall_detector.earliest_arrival(now)
    }

    /// Returns the duration in seconds of a process stall that was detected since the last call, if any.
    pub fn take_stall(&mut self) -> Option<f64> {
        self.stall_detector.take_longest_stall()
    }

    /// Slews the clock gradually towards the wall clock.
    pub fn adjust_to_wall_clock(&mut self) {
        self.clock
            .synchronize(self.started_at.elapsed().as_secs_f64(), wall_clock());
    }
}

#[cfg(test)]
#[path = "tests/process_clock.rs"]
mod tests;
