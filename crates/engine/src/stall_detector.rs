//! Detects process stalls: periods in which the process did not run because it was stopped or got no CPU time.

/// Two consecutive clock observations further apart than this, in seconds, count as a stall. The host of a running
/// process observes the clock at least every [`MAX_OBSERVATION_INTERVAL`].
pub const STALL_THRESHOLD: f64 = 0.25;
/// The maximum time between two clock observations of a running process, in seconds.
pub const MAX_OBSERVATION_INTERVAL: f64 = 0.05;
/// Bytes read within this time after a stall, in seconds, may have arrived as early as the beginning of the stall.
const CATCH_UP_TIME: f64 = 0.05;

/// The beginning and end of a stall, in seconds on the host's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Stall {
    from: f64,
    until: f64,
}

/// Detects stalls by the gaps between clock observations.
#[derive(Clone, Debug)]
pub struct StallDetector {
    observed_at: f64,
    latest: Option<Stall>,
    /// The duration of the longest stall since the last call of [`StallDetector::take_longest_stall`].
    unreported: Option<f64>,
}

impl StallDetector {
    /// Creates a detector with a first observation at `now`.
    pub fn new(now: f64) -> StallDetector {
        StallDetector {
            observed_at: now,
            latest: None,
            unreported: None,
        }
    }

    /// Records a clock observation.
    pub fn observe(&mut self, now: f64) {
        let from = std::mem::replace(&mut self.observed_at, now);
        let gap = now - from;
        if gap > STALL_THRESHOLD {
            self.latest = Some(Stall { from, until: now });
            self.unreported = Some(self.unreported.map_or(gap, |longest| longest.max(gap)));
        }
    }

    /// The earliest time at which bytes that are read at `now` may have arrived: the beginning of a recent stall, or
    /// `now`.
    ///
    /// Failure mode: after a stall it is unknown how long bytes have waited in the socket, and client timeouts would
    /// count from the end of the stall. Risk: a client whose bytes arrived after the stall gets less time.
    pub fn earliest_arrival(&self, now: f64) -> f64 {
        match self.latest {
            Some(stall) if now < stall.until + CATCH_UP_TIME => stall.from,
            _ => now,
        }
    }

    /// Returns the duration of the longest stall since the last call, in seconds; `None` if there was no stall.
    pub fn take_longest_stall(&mut self) -> Option<f64> {
        self.unreported.take()
    }
}
