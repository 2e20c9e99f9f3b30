//! Small statistics over time: backoff, token buckets, decaying sums and means, sliding windows, quantiles.
//! Times and time constants are in seconds.

use std::collections::VecDeque;

/// A pause that doubles with each rejection in a row.
#[derive(Clone, Copy, Default)]
pub struct Backoff {
    rejections: i32,
    until: f64,
}

impl Backoff {
    /// When the pause ends.
    pub fn until(&self) -> f64 {
        self.until
    }

    /// Starts a pause: `first` seconds long, doubled for each earlier rejection, `max_doublings` times at most.
    pub fn start(&mut self, now: f64, first: f64, max_doublings: i32) {
        self.until = now + first * 2f64.powi(self.rejections.min(max_doublings));
        self.rejections += 1;
    }

    /// Has the next pause begin with the first length again. A pause under way goes on.
    pub fn reset(&mut self) {
        self.rejections = 0;
    }
}

/// An allowance that fills at a rate, up to a capacity.
pub struct TokenBucket {
    tokens: f64,
    filled_at: f64,
}

impl TokenBucket {
    /// A full bucket; its capacity is that of the first use.
    pub fn full(now: f64) -> TokenBucket {
        TokenBucket {
            tokens: f64::INFINITY,
            filled_at: now,
        }
    }

    /// Adds the tokens of the time since the last use, `rate` a second, up to `capacity`.
    pub fn refill(&mut self, now: f64, rate: f64, capacity: f64) {
        self.tokens = (self.tokens + (now - self.filled_at) * rate).min(capacity);
        self.filled_at = now;
    }

    /// Fills the bucket, then takes `cost` tokens if there are `required` of them; tells whether it did.
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

    /// Raises the sum to an amount, if it is below.
    pub fn raise_to(&mut self, amount: f64, now: f64, time_constant: f64) {
        self.sum = self.at(now, time_constant).max(amount);
        self.updated_at = now;
    }

    /// When the sum was last changed.
    pub fn updated_at(&self) -> f64 {
        self.updated_at
    }

    /// The sum at a time.
    pub fn at(&self, now: f64, time_constant: f64) -> f64 {
        self.sum * (-(now - self.updated_at) / time_constant).exp()
    }
}

/// A mean whose values decay exponentially over time.
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

    /// The mean at a time; 0 where nothing was added.
    pub fn at(&self, now: f64, time_constant: f64) -> f64 {
        self.sum.at(now, time_constant) / self.count.at(now, time_constant).max(1e-6)
    }
}

/// Moments within a sliding window of the past, in ascending order.
#[derive(Default)]
pub struct SlidingWindow(VecDeque<f64>);

impl SlidingWindow {
    /// Adds a moment, which is not before the last one.
    pub fn add(&mut self, now: f64) {
        self.0.push_back(now);
    }

    /// Takes a moment out again.
    pub fn remove(&mut self, moment: f64) {
        if let Ok(position) = self.0.binary_search_by(|at| at.total_cmp(&moment)) {
            self.0.remove(position);
        }
    }

    /// The number of moments after `since`; earlier ones are dropped.
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

/// The value below which a fraction of the values lies; `None` of no values.
pub fn quantile(mut values: Vec<f64>, fraction: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * fraction) as usize;
    values
        .get(rank.min(values.len().saturating_sub(1)))
        .copied()
}
