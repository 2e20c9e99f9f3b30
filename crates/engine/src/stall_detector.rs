//! Detects process stalls: times in which the process did not run, because it was stopped or had no processor.

/// Two observations of the clock that are further apart than this, in seconds, mean that the process did not run. Its
/// host observes the clock at least every [`MAX_OBSERVATION_INTERVAL`].
pub const STALL_THRESHOLD: f64 = 0.25;
/// The longest time between two observations of a process that runs, in seconds.
pub const MAX_OBSERVATION_INTERVAL: f64 = 0.05;
/// Bytes that are read within this time after a stall, in seconds, may have arrived at its beginning.
const CATCH_UP_TIME: f64 = 0.05;

/// A stall, in seconds of the host's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Stall {
    from: f64,
    until: f64,
}

/// Detects stalls by the times at which the clock is observed.
#[derive(Clone, Debug)]
pub struct StallDetector {
    observed_at: f64,
    latest: Option<Stall>,
    /// The length of the longest stall that was not taken yet.
    unreported: Option<f64>,
}

impl StallDetector {
    /// A detector whose first observation is now.
    pub fn new(now: f64) -> StallDetector {
        StallDetector {
            observed_at: now,
            latest: None,
            unreported: None,
        }
    }

    /// The host observes its clock.
    pub fn observe(&mut self, now: f64) {
        let from = std::mem::replace(&mut self.observed_at, now);
        let gap = now - from;
        if gap > STALL_THRESHOLD {
            self.latest = Some(Stall { from, until: now });
            self.unreported = Some(self.unreported.map_or(gap, |longest| longest.max(gap)));
        }
    }

    /// The earliest time at which bytes that are read now may have arrived.
    ///
    /// Failure mode: after a stall nobody knows how long bytes have waited, and client deadlines would be counted from
    /// its end. Risk: a client whose bytes have just arrived gets less time.
    pub fn earliest_arrival(&self, now: f64) -> f64 {
        match self.latest {
            Some(stall) if now < stall.until + CATCH_UP_TIME => stall.from,
            _ => now,
        }
    }

    /// The longest stall since this was last called, in seconds, if there was one.
    pub fn take_longest_stall(&mut self) -> Option<f64> {
        self.unreported.take()
    }
}
