//! Backoff, token buckets, decaying sums and means, sliding windows and quantiles.

use orchidtally_dispatch_policy::state::{
    Backoff, DecayingMean, DecayingSum, SlidingWindow, TokenBucket, quantile,
};

const E: f64 = std::f64::consts::E;

fn assert_close(value: f64, expected: f64) {
    assert!((value - expected).abs() < 1e-12, "{value}, not {expected}");
}

#[test]
fn backoff_doubles_up_to_a_bound_and_restarts_after_a_reset() {
    let mut backoff = Backoff::default();
    let mut pause = |now: f64| {
        backoff.start(now, 0.1, 2);
        backoff.until() - now
    };
    assert_close(pause(10.0), 0.1);
    assert_close(pause(11.0), 0.2);
    assert_close(pause(12.0), 0.4);
    assert_close(pause(13.0), 0.4);
    backoff.reset();
    assert_close(backoff.until(), 13.4);
    backoff.start(20.0, 0.1, 2);
    assert_close(backoff.until(), 20.1);
}

#[test]
fn token_bucket_starts_full_and_fills_at_its_rate() {
    let mut bucket = TokenBucket::full(0.0);
    let mut take =
        |now: f64, cost: f64, required: f64| bucket.try_take(now, 2.0, 3.0, cost, required);
    assert!(
        (0..3).all(|_| take(0.0, 1.0, 1.0)),
        "a full bucket has 3 tokens"
    );
    assert!(!take(0.0, 1.0, 1.0));
    assert!(!take(0.4, 1.0, 1.0), "0.8 tokens");
    assert!(take(0.5, 1.0, 1.0));
    assert!(
        !take(1.0, 0.5, 1.5),
        "1 token covers the cost but not the required 1.5"
    );
    assert!(take(1.25, 0.5, 1.5));
    assert!((0..3).all(|_| take(100.0, 1.0, 1.0)) && !take(100.0, 1.0, 1.0));
}

#[test]
fn decaying_sum_decays_with_the_time_constant() {
    let mut sum = DecayingSum::default();
    assert_close(sum.add(1.0, 10.0, 2.0), 1.0);
    assert_close(sum.at(12.0, 2.0), 1.0 / E);
    assert_close(sum.add(1.0, 12.0, 2.0), 1.0 + 1.0 / E);
    assert_close(sum.updated_at(), 12.0);
    sum.raise_to(0.5, 12.0, 2.0);
    assert_close(sum.at(12.0, 2.0), 1.0 + 1.0 / E);
    sum.raise_to(5.0, 12.0, 2.0);
    assert_close(sum.at(14.0, 2.0), 5.0 / E);
}

#[test]
fn decaying_mean_prefers_newer_values() {
    let mut mean = DecayingMean::default();
    assert_close(mean.at(5.0, 1.0), 0.0);
    mean.add(1.0, 10.0, 1.0);
    mean.add(3.0, 11.0, 1.0);
    assert_close(mean.at(11.0, 1.0), (1.0 / E + 3.0) / (1.0 / E + 1.0));
    assert_close(mean.at(12.0, 1.0), mean.at(11.0, 1.0));
}

#[test]
fn sliding_window_counts_events_after_its_start() {
    let mut window = SlidingWindow::default();
    for at in [1.0, 2.0, 2.0, 3.0] {
        window.add(at);
    }
    assert_close(window.count_after(0.0), 4.0);
    window.remove(2.0);
    window.remove(2.5);
    assert_close(window.count_after(1.0), 2.0);
    assert_close(window.count_after(0.0), 2.0);
    assert_close(window.count_after(3.0), 0.0);
}

#[test]
fn quantile_is_the_value_below_which_a_fraction_lies() {
    assert_eq!(quantile(vec![], 0.5), None);
    assert_eq!(quantile(vec![3.0], 0.0), Some(3.0));
    assert_eq!(quantile(vec![3.0], 1.0), Some(3.0));
    let values = vec![4.0, 1.0, f64::INFINITY, 2.0];
    assert_eq!(quantile(values.clone(), 0.25), Some(2.0));
    assert_eq!(quantile(values.clone(), 0.5), Some(4.0));
    assert_eq!(quantile(values, 0.85), Some(f64::INFINITY));
}
