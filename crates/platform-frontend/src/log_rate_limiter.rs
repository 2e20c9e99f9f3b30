//! Limits the rate of log lines of one kind and counts the suppressed ones.

/// Lines of one kind that may be written per second.
const LINES_PER_SECOND: u32 = 20;

/// A rate limiter for log lines with a fixed window of one second.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    window_started_at: f64,
    written: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Returns the number of lines that were suppressed since the last written one, or `None` if the line must not be
    /// written. `now` is in seconds.
    pub fn try_acquire(&mut self, now: f64) -> Option<u64> {
        if now >= self.window_started_at + 1.0 {
            self.window_started_at = now;
            self.written = 0;
        }
        if self.written >= LINES_PER_SECOND {
            self.suppressed += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
#[path = "tests/log_rate_limiter.rs"]
mod tests;
