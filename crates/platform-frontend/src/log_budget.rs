//! Bounds how many log lines of one kind are written, and counts those that were not.

/// Lines of one kind a second.
const LINES_PER_SECOND: u32 = 20;

/// A budget of log lines for each second.
#[derive(Debug, Default)]
pub struct LogBudget {
    second: f64,
    written: u32,
    left_out: u64,
}

impl LogBudget {
    /// Whether a line may be written at a time in seconds; if so, how many were left out since the last one.
    pub fn admit(&mut self, now: f64) -> Option<u64> {
        if now >= self.second + 1.0 {
            (self.second, self.written) = (now, 0);
        }
        if self.written >= LINES_PER_SECOND {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

#[cfg(test)]
#[path = "tests/log_budget.rs"]
mod tests;
