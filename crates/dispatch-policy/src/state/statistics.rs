//! Statistics over time: backoff, token buckets, decaying sums and means, sliding windows, quantiles. Times and time
//! constants are in seconds.

use std::collections::VecDeque;

/// A pause that doubles with each consecutive rejection.
#[derive(Clone, Copy, Default)]
pub struct Backoff {
    rejections: i32,
    until: f64,
}

impl Backoff {
    /// Returns when the pause ends.
    pub fn until(&self) -> f64 {
        self.until
    }

    /// Starts a pause of `first` seconds, doubled for each rejection since the last reset, up to `max_doublings` times.
    pub fn start(&mut self, now: f64, first: f64, max_doublings: i32) {
        self.until = now + first * 2f64.powi(self.rejections.min(max_doublings));
        self.rejections += 1;
    }

    /// Resets the length of the next pause to the initial one. A pause under way is not shortened.
    pub fn reset(&mut self) {
        self.rejections = 0;
    }
}

/// A token bucket: tokens accumulate at a rate up to a capacity.
pub struct TokenBucket {
    tokens: f64,
    filled_at: f64,
}

impl TokenBucket {
    /// Creates a full bucket: its first use finds `capacity` tokens.
    pub fn full(now: f64) -> TokenBucket {
        TokenBucket {
            tokens: f64::INFINITY,
            filled_at: now,
        }
    }

    /// Adds the tokens for the time since the last use, `rate` per second, up to `capacity`.
    pub fn refill(&mut self, now: f64, rate: f64, capacity: f64) {
        self.tokens = (self.tokens + (now - self.filled_at) * rate).min(capacity);
        self.filled_at = now;
    }

    /// Refills the bucket, then takes `cost` tokens if at least `required` are available. Returns whether it took them.
    pub fn try_take(
        &mut self,
        now: f64,
        rate: f64,
        capacity: f64,
        cost: f64,
        required: f64,
    ) -> bool {
        self.refill(now, rate, capacity);
        let is_granted = self.tokens >= required;
        self.tokens -= if is_granted { cost } else { 0.0 };
        is_granted
    }
}

/// A sum that decays exponentially over time.
#[derive(Clone, Copy, Default)]
pub struct DecayingSum {
    sum: f64,
    updated_at: f64,
}

impl DecayingSum {
    /// Adds an amount and returns the sum.
    pub fn add(&mut self, amount: f64, now: f64, time_constant: f64) -> f64 {
        self.sum = self.at(now, time_constant) + amount;
        self.updated_at = now;
        self.sum
    }

    /// Raises the sum to an amount if it is lower.
    pub fn raise_to(&mut self, amount: f64, now: f64, time_constant: f64) {
        self.sum = self.at(now, time_constant).max(amount);
        self.updated_at = now;
    }

    /// Returns when the sum was last changed.
    pub fn updated_at(&self) -> f64 {
        self.updated_at
    }

    /// Returns the decayed sum at a time.
    pub fn at(&self, now: f64, time_constant: f64) -> f64 {
        self.sum * (-(now - self.updated_at) / time_constant).exp()
    }
}

/// A mean in which the weights of values decay exponentially over time.
#[derive(Clone, Copy, Default)]
pub struct DecayingMean {
    sum: DecayingSum,
    count: DecayingSum,
}

impl DecayingMean {
    /// Adds a value.
    pub fn add(&mut self, value: f64, now: f64, time_constant: f64) {
        self.sum.add(value, now, time_constant);
        self.count.add(1.0, now, time_constant);
    }

    /// Returns the mean at a time; 0 if no value was added.
    pub fn at(&self, now: f64, time_constant: f64) -> f64 {
        self.sum.at(now, time_constant) / self.count.at(now, time_constant).max(1e-6)
    }
}

/// The times of events within a sliding window of the past, in ascending order.
#[derive(Default)]
pub struct SlidingWindow(VecDeque<f64>);

impl SlidingWindow {
    /// Adds an event at `now`, which must not be before the last one.
    pub fn add(&mut self, now: f64) {
        self.0.push_back(now);
    }

    /// Removes an event at `time`, if there is one.
    pub fn remove(&mut self, time: f64) {
        if let Ok(position) = self.0.binary_search_by(|at| at.total_cmp(&time)) {
            self.0.remove(position);
        }
    }

    /// Returns the number of events after `since` and removes the earlier ones.
    pub fn count_after(&mut self, since: f64) -> f64 {
        while self.0.front().is_some_and(|&at| at <= since) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}

/// A floating-point number with a total order, as a sort key.
#[derive(Clone, Copy, PartialEq)]
pub struct Ordered(pub f64);

impl Eq for Ordered {}

impl PartialOrd for Ordered {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Ordered {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Returns the value below which `fraction` of the values lie, or `None` if there are no values.
pub fn quantile(mut values: Vec<f64>, fraction: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * fraction) as usize;
    values
        .get(rank.min(values.len().saturating_sub(1)))
        .copied()
}
