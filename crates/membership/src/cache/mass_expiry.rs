//! Detection of many entries that expire together.

use std::collections::VecDeque;

/// Entries that disappear within this time are counted together, in seconds.
const MASS_EXPIRY_WINDOW: f64 = 5.0;
/// Entries that disappear together are a mass expiry if they are more than this fraction of the known executors and
/// more than `MASS_EXPIRY_MIN_COUNT`.
const MASS_EXPIRY_FRACTION: f64 = 0.25;
const MASS_EXPIRY_MIN_COUNT: usize = 3;

/// Counts ready executors whose entries disappear, and detects when too many of them do so at once.
///
/// Failure mode: the store stalls and many leases expire, which looks the same as the loss of a location.
/// Risk: a healthy fleet would be removed from every front end.
#[derive(Debug, Default)]
pub(super) struct MassExpiryDetector {
    /// Times at which entries disappeared, oldest first.
    disappeared_at: VecDeque<f64>,
}

impl MassExpiryDetector {
    /// Records that `count` ready executors disappear at `now`, out of `known` entries that are still cached. Returns
    /// whether this is a mass expiry.
    pub(super) fn record(&mut self, now: f64, count: usize, known: usize) -> bool {
        let window_start = now - MASS_EXPIRY_WINDOW;
        while self
            .disappeared_at
            .front()
            .is_some_and(|&at| at < window_start)
        {
            self.disappeared_at.pop_front();
        }
        let known = known + self.disappeared_at.len();
        self.disappeared_at.extend(std::iter::repeat_n(now, count));
        let together = self.disappeared_at.len();
        together > MASS_EXPIRY_MIN_COUNT && together as f64 > MASS_EXPIRY_FRACTION * known as f64
    }
}
