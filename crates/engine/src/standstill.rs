//! Whether the process stood still: it was stopped, or had no processor.

/// Where two looks are further apart than this, in seconds, the process did not run. Its host looks at the clock at
/// least every [`LOOK_INTERVAL`].
pub const STOOD_STILL: f64 = 0.25;
/// The longest time between two looks of a process that runs, in seconds.
pub const LOOK_INTERVAL: f64 = 0.05;
/// What was read so soon after a standstill may have come at its beginning.
const CATCHING_UP: f64 = 0.05;

/// A standstill, in seconds of the host's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Standstill {
    from: f64,
    until: f64,
}

/// Finds standstills by the times of the looks at a clock.
#[derive(Clone, Debug)]
pub struct StandstillDetector {
    looked_at: f64,
    latest: Option<Standstill>,
    /// The length of the longest that was not taken yet.
    untaken: Option<f64>,
}

impl StandstillDetector {
    /// The first look was now.
    pub fn new(now: f64) -> StandstillDetector {
        StandstillDetector {
            looked_at: now,
            latest: None,
            untaken: None,
        }
    }

    /// The host looks at its clock.
    pub fn look(&mut self, now: f64) {
        let from = std::mem::replace(&mut self.looked_at, now);
        let gap = now - from;
        if gap > STOOD_STILL {
            self.latest = Some(Standstill { from, until: now });
            self.untaken = Some(self.untaken.map_or(gap, |before| before.max(gap)));
        }
    }

    /// When bytes that are read now may have come: after a standstill nobody knows for how long they have waited. Guards
    /// deadlines of clients against counting from then; could harm one whose bytes have just come.
    pub fn arrived_by(&self, now: f64) -> f64 {
        match self.latest {
            Some(standstill) if now < standstill.until + CATCHING_UP => standstill.from,
            _ => now,
        }
    }

    /// For how long the process did not run, in seconds, where it did not since this was asked last.
    pub fn take(&mut self) -> Option<f64> {
        self.untaken.take()
    }
}
