//! Bounds how many log lines of one kind are written, and counts those that were suppressed.

/// Log lines of one kind that may be written within a second.
const LINES_PER_SECOND: u32 = 20;

/// A budget of log lines, refilled every second.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    window_started_at: f64,
    written: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Whether a line may be written at a time in seconds; if so, how many were suppressed since the last one.
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
