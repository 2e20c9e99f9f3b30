//! The pace of reads: a token bucket in bytes.

/// Fills at a rate up to a burst. An answer that was larger than expected leaves it in debt, which is paid before the
/// next read.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    bytes_per_second: f64,
    burst: f64,
    tokens: f64,
    updated_at: f64,
}

impl TokenBucket {
    /// A full bucket.
    pub(crate) fn new(bytes_per_second: f64, burst: f64, now: f64) -> TokenBucket {
        TokenBucket { bytes_per_second, burst, tokens: burst, updated_at: now }
    }

    /// When so many bytes may be read; `wanted` above the burst counts as the burst.
    pub(crate) fn ready_at(&self, wanted: f64) -> f64 {
        let lacking = wanted.min(self.burst) - self.tokens;
        self.updated_at + lacking.max(0.0) / self.bytes_per_second
    }

    /// Takes what was read.
    pub(crate) fn charge(&mut self, now: f64, bytes: f64) {
        self.fill(now);
        self.tokens -= bytes;
    }

    fn fill(&mut self, now: f64) {
        let passed = (now - self.updated_at).max(0.0);
        self.tokens = (self.tokens + passed * self.bytes_per_second).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
