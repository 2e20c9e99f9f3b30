//! The pace of reads: a token bucket in bytes.

/// The share of the pace at which a slow start reads.
const SLOW_SHARE: f64 = 0.5;

/// Fills at a rate up to a burst. An answer that was larger than expected leaves it in debt, which is paid before the
/// next read.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    bytes_per_second: f64,
    burst: f64,
    tokens: f64,
    updated_at: f64,
    /// Until then it fills at a share of its rate.
    slow_until: f64,
}

impl TokenBucket {
    /// A full bucket.
    pub(crate) fn new(bytes_per_second: f64, burst: f64, now: f64) -> TokenBucket {
        TokenBucket {
            bytes_per_second,
            burst,
            tokens: burst,
            updated_at: now,
            slow_until: now,
        }
    }

    /// Fills at half its rate for so many seconds, and begins with a part of its burst at most: front ends that begin
    /// together, each with another part, read neither in step nor at their whole pace.
    pub(crate) fn start_slowly(&mut self, now: f64, seconds: f64, part: f64) {
        self.fill(now);
        if seconds > 0.0 {
            self.tokens = self.tokens.min(self.burst * part);
            self.slow_until = now + seconds;
        }
    }

    /// Fills at its whole rate from now on.
    pub(crate) fn end_slow_start(&mut self, now: f64) {
        self.fill(now);
        self.slow_until = now;
    }

    /// When so many bytes may be read; `wanted` above the burst counts as the burst.
    pub(crate) fn ready_at(&self, wanted: f64) -> f64 {
        let lacking = (wanted.min(self.burst) - self.tokens).max(0.0);
        let slow_seconds = (self.slow_until - self.updated_at).max(0.0);
        let slow_rate = self.bytes_per_second * SLOW_SHARE;
        let by_slow_start = slow_seconds * slow_rate;
        if lacking <= by_slow_start {
            return self.updated_at + lacking / slow_rate;
        }
        self.updated_at + slow_seconds + (lacking - by_slow_start) / self.bytes_per_second
    }

    /// Takes what is read; less than nothing gives back what was taken too much.
    pub(crate) fn charge(&mut self, now: f64, bytes: f64) {
        self.fill(now);
        self.tokens -= bytes;
    }

    fn fill(&mut self, now: f64) {
        let passed = (now - self.updated_at).max(0.0);
        let slow_seconds = (self.slow_until - self.updated_at).clamp(0.0, passed);
        let filled = (passed - slow_seconds * (1.0 - SLOW_SHARE)) * self.bytes_per_second;
        self.tokens = (self.tokens + filled).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
