//! The policy's clock. It is monotonic and slewed towards wall time, because the front ends derive the numbers of
//! shared time slots from it.

/// The maximum correction towards wall time, in seconds per elapsed second. The clock needs about a day and a half to
/// follow a wall clock that was stepped by a minute, and keeps up with one that drifts by less than this rate.
const SLEW_RATE: f64 = 5e-4;

/// A clock that never steps and never runs backwards, even if the wall clock does so after the start.
#[derive(Clone, Debug)]
pub struct Clock {
    /// The offset that is added to a monotonic reading.
    offset: f64,
    /// The offset of the wall clock at the last synchronization.
    target_offset: f64,
    /// The latest monotonic reading.
    read_at: f64,
}

impl Clock {
    /// Creates a clock that shows the wall time `wall` at the monotonic reading `monotonic`. Both are in seconds; the
    /// monotonic clock may have any origin, the wall clock counts from 1970.
    pub fn new(monotonic: f64, wall: f64) -> Clock {
        Clock {
            offset: wall - monotonic,
            target_offset: wall - monotonic,
            read_at: monotonic,
        }
    }

    /// The time at a monotonic reading, in seconds since 1970. A reading below an earlier one counts as that one.
    pub fn read(&mut self, monotonic: f64) -> f64 {
        let passed = (monotonic - self.read_at).max(0.0);
        self.read_at += passed;
        let max_correction = SLEW_RATE * passed;
        self.offset += (self.target_offset - self.offset).clamp(-max_correction, max_correction);
        self.read_at + self.offset
    }

    /// Updates the wall time towards which the clock is slewed from now on.
    pub fn synchronize(&mut self, monotonic: f64, wall: f64) {
        self.read(monotonic);
        self.target_offset = wall - self.read_at;
    }

    /// The remaining correction in seconds: how far this clock is behind the wall clock of the last synchronization.
    pub fn wall_clock_lag(&self) -> f64 {
        self.target_offset - self.offset
    }
}
