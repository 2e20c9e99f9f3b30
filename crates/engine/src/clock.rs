//! The policy's clock: monotonic, and slewed towards wall time, because front ends number shared time slots by it.

/// The rate at which the offset to wall time is corrected, in seconds for each second that passes. A wall clock stepped
/// by a minute is followed over a day and a half; one that drifts by less than this is followed as it drifts.
const SLEW_RATE: f64 = 5e-4;

/// A clock that never steps and never runs backwards, whatever the wall clock does after the start.
#[derive(Clone, Debug)]
pub struct Clock {
    /// What is added to a monotonic reading.
    offset: f64,
    /// The offset that the wall clock was last seen to have.
    target_offset: f64,
    /// The latest monotonic reading.
    read_at: f64,
}

impl Clock {
    /// A clock that shows wall time now. Both readings are in seconds: of the monotonic clock since any origin, of the
    /// wall clock since 1970.
    pub fn new(monotonic: f64, wall: f64) -> Clock {
        Clock {
            offset: wall - monotonic,
            target_offset: wall - monotonic,
            read_at: monotonic,
        }
    }

    /// The time at a monotonic reading, in seconds since 1970.
    pub fn read(&mut self, monotonic: f64) -> f64 {
        let passed = (monotonic - self.read_at).max(0.0);
        self.read_at += passed;
        let max_correction = SLEW_RATE * passed;
        self.offset += (self.target_offset - self.offset).clamp(-max_correction, max_correction);
        self.read_at + self.offset
    }

    /// Slews towards the wall clock's present reading from now on.
    pub fn synchronize(&mut self, monotonic: f64, wall: f64) {
        self.read(monotonic);
        self.target_offset = wall - self.read_at;
    }

    /// How far the time is behind the wall clock as last synchronized, in seconds.
    pub fn wall_clock_lag(&self) -> f64 {
        self.target_offset - self.offset
    }
}
