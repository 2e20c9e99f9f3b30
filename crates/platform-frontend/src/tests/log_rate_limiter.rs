//! Rate limiting of log lines.

use super::*;

#[test]
fn suppressed_lines_are_counted_and_reported_with_the_next_line() {
    let mut limiter = LogRateLimiter::default();
    let written = (0..30)
        .filter(|n| limiter.try_acquire(10.0 + f64::from(*n) / 100.0).is_some())
        .count();
    assert_eq!(written as u32, LINES_PER_SECOND);
    assert_eq!(
        limiter.try_acquire(11.0),
        Some(u64::from(30 - LINES_PER_SECOND))
    );
    assert_eq!(limiter.try_acquire(11.0), Some(0));
}
