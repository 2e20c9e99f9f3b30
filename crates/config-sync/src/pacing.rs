//! The rate limit of reads: a token bucket in bytes.

/// Fraction of the rate during a slow start.
const SLOW_START_FRACTION: f64 = 0.5;

/// A token bucket. An answer that was larger than expected leaves it in debt, which delays the next read.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    bytes_per_second: f64,
    burst: f64,
    tokens: f64,
    updated_at: f64,
    /// The bucket fills at a fraction of its rate until this time.
    slow_until: f64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(bytes_per_second: f64, burst: f64, now: f64) -> TokenBucket {
        TokenBucket {
            bytes_per_second,
            burst,
            tokens: burst,
            updated_at: now,
            slow_until: now,
        }
    }

    /// Fills the bucket at half the rate for `seconds`, and starts with at most the fraction `part` of the burst. Front
    /// ends that start at the same time with different fractions are then neither synchronized nor at their full rate.
    pub(crate) fn start_slowly(&mut self, now: f64, seconds: f64, part: f64) {
        self.fill(now);
        if seconds > 0.0 {
            self.tokens = self.tokens.min(self.burst * part);
            self.slow_until = now + seconds;
        }
    }

    /// Fills the bucket at its full rate from `now` on.
    pub(crate) fn end_slow_start(&mut self, now: f64) {
        self.fill(now);
        self.slow_until = now;
    }

    /// The time at which `wanted` bytes may be read. More bytes than the burst count as the burst.
    pub(crate) fn ready_at(&self, wanted: f64) -> f64 {
        let missing = (wanted.min(self.burst) - self.tokens).max(0.0);
        let slow_seconds = (self.slow_until - self.updated_at).max(0.0);
        let slow_rate = self.bytes_per_second * SLOW_START_FRACTION;
        let by_slow_start = slow_seconds * slow_rate;
        if missing <= by_slow_start {
            return self.updated_at + missing / slow_rate;
        }
        self.updated_at + slow_seconds + (missing - by_slow_start) / self.bytes_per_second
    }

    /// Removes `bytes` tokens; a negative number refunds them.
    pub(crate) fn charge(&mut self, now: f64, bytes: f64) {
        self.fill(now);
        self.tokens -= bytes;
    }

    fn fill(&mut self, now: f64) {
        let passed = (now - self.updated_at).max(0.0);
        let slow_seconds = (self.slow_until - self.updated_at).clamp(0.0, passed);
        let filled = (passed - slow_seconds * (1.0 - SLOW_START_FRACTION)) * self.bytes_per_second;
        self.tokens = (self.tokens + filled).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
