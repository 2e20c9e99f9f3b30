//! Whether the process stood still: it was stopped, or had no processor.

/// Where two looks are further apart than this, in seconds, the process did not run. Its host looks at the clock at
/// least every [`MAX_OBSERVATION_INTERVAL`].
pub const STALL_THRESHOLD: f64 = 0.25;
/// The longest time between two looks of a process that runs, in seconds.
pub const MAX_OBSERVATION_INTERVAL: f64 = 0.05;
/// What was read so soon after a standstill may have come at its beginning.
const CATCHING_UP: f64 = 0.05;

/// A standstill, in seconds of the host's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Stall {
    from: f64,
    until: f64,
}

/// Finds standstills by the times of the looks at a clock.
#[derive(Clone, Debug)]
pub struct StallDetector {
    observed_at: f64,
    latest: Option<Stall>,
    /// The length of the longest that was not taken yet.
    unreported: Option<f64>,
}

impl StallDetector {
    /// The first look was now.
    pub fn new(now: f64) -> StallDetector {
        StallDetector {
            observed_at: now,
            latest: None,
            unreported: None,
        }
    }

    /// The host looks at its clock.
    pub fn observe(&mut self, now: f64) {
        let from = std::mem::replace(&mut self.observed_at, now);
        let gap = now - from;
        if gap > STALL_THRESHOLD {
            self.latest = Some(Stall { from, until: now });
            self.unreported = Some(self.unreported.map_or(gap, |before| before.max(gap)));
        }
    }

    /// When bytes that are read now may have come: after a standstill nobody knows for how long they have waited. Guards
    /// deadlines of clients against counting from then; could harm one whose bytes have just come.
    pub fn arrival_bound(&self, now: f64) -> f64 {
        match self.latest {
            Some(standstill) if now < standstill.until + CATCHING_UP => standstill.from,
            _ => now,
        }
    }

    /// For how long the process did not run, in seconds, where it did not since this was asked last.
    pub fn take_stall(&mut self) -> Option<f64> {
        self.unreported.take()
    }
}
