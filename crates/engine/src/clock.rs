//! The module's time: monotonic, anchored to wall time, since front ends number their turns by it alike.

/// The share of passing time by which the offset to wall time is put right. A wall clock stepped by a minute
/// is followed over a day and a half; one that drifts by less than this is followed as it drifts.
const SLEW: f64 = 5e-4;

/// Never steps and never runs backwards, whatever the wall clock does after the start.
#[derive(Clone, Debug)]
pub struct Clock {
    offset: f64,
    wanted: f64,
    read_at: f64,
}

impl Clock {
    /// Both readings in seconds: the monotonic clock's from any start, the wall clock's since 1970.
    pub fn new(monotonic: f64, wall: f64) -> Clock {
        Clock {
            offset: wall - monotonic,
            wanted: wall - monotonic,
            read_at: monotonic,
        }
    }

    /// The time at a monotonic reading.
    pub fn read(&mut self, monotonic: f64) -> f64 {
        let passed = (monotonic - self.read_at).max(0.0);
        self.read_at += passed;
        let most = SLEW * passed;
        self.offset += (self.wanted - self.offset).clamp(-most, most);
        self.read_at + self.offset
    }

    /// Takes the wall clock's present reading as the aim.
    pub fn anchor(&mut self, monotonic: f64, wall: f64) {
        self.read(monotonic);
        self.wanted = wall - self.read_at;
    }

    /// How far the time is from the wall clock as last anchored.
    pub fn astray(&self) -> f64 {
        self.wanted - self.offset
    }
}
