//! Log lines within their budget.

use super::*;

#[test]
fn lines_past_the_budget_are_counted_and_told_with_the_next() {
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
