//! Pauses, allowances, and sums and counts over time.

use std::collections::VecDeque;

/// A pause that doubles with each refusal in a row.
#[derive(Clone, Copy, Default)]
pub struct Pause {
    refusals: i32,
    pub until: f64,
}

impl Pause {
    pub fn grow(&mut self, now: f64, first: f64, doublings: i32) {
        self.until = now + first * 2f64.powi(self.refusals.min(doublings));
        self.refusals += 1;
    }

    pub fn end(&mut self) {
        self.refusals = 0;
    }
}

/// In-flight that an executor may have, and whether what is out at all of them counts.
#[derive(Clone, Copy)]
pub struct Room {
    /// In invocations; at all executors together if `at_all`, else at each.
    pub limit: f64,
    /// Whether it bounds what is out at all of them.
    pub at_all: bool,
}

/// An allowance that fills at a rate up to a most.
pub struct TokenBucket {
    pub left: f64,
    pub at: f64,
}

impl TokenBucket {
    /// One that nothing was taken of; how much that is, the first use tells.
    pub fn full(now: f64) -> TokenBucket {
        TokenBucket {
            left: f64::INFINITY,
            at: now,
        }
    }

    /// Adds what came in since the last time, up to the most.
    pub fn fill(&mut self, now: f64, rate: f64, most: f64) {
        self.left = (self.left + (now - self.at) * rate).min(most);
        self.at = now;
    }

    /// Takes a cost where so much at the least is left, and tells whether it was.
    pub fn take(&mut self, now: f64, rate: f64, most: f64, cost: f64, least: f64) -> bool {
        self.fill(now, rate, most);
        let granted = self.left >= least;
        self.left -= if granted { cost } else { 0.0 };
        granted
    }
}

/// Adds to each of some allowances what came in since the last time, by its rate and the most at that rate; then
/// there are `count` of them, new ones full.
pub fn refill(
    buckets: &mut Vec<TokenBucket>,
    now: f64,
    rates: impl Iterator<Item = f64>,
    most: fn(f64) -> f64,
    count: usize,
) {
    buckets
        .iter_mut()
        .zip(rates)
        .for_each(|(bucket, rate)| bucket.fill(now, rate, most(rate)));
    buckets.resize_with(count, || TokenBucket::full(now));
}

/// A sum that fades over time.
#[derive(Clone, Copy, Default)]
pub struct DecayingSum(f64, f64);

impl DecayingSum {
    pub fn add(&mut self, amount: f64, now: f64, time: f64) -> f64 {
        *self = DecayingSum(self.at(now, time) + amount, now);
        self.0
    }

    /// Raises it to an amount.
    pub fn peak(&mut self, amount: f64, now: f64, time: f64) {
        *self = DecayingSum(self.at(now, time).max(amount), now);
    }

    /// When it was last added to.
    pub fn since(&self) -> f64 {
        self.1
    }

    pub fn at(&self, now: f64, time: f64) -> f64 {
        self.0 * (-(now - self.1) / time).exp()
    }
}

/// A mean whose values fade over time.
#[derive(Clone, Copy, Default)]
pub struct DecayingMean {
    sum: DecayingSum,
    count: DecayingSum,
}

impl DecayingMean {
    /// Adds a value; older ones fade with a time constant in seconds.
    pub fn add(&mut self, value: f64, now: f64, time: f64) {
        self.sum.add(value, now, time);
        self.count.add(1.0, now, time);
    }

    /// The mean now; 0 where nothing was added.
    pub fn at(&self, now: f64, time: f64) -> f64 {
        self.sum.at(now, time) / self.count.at(now, time).max(1e-6)
    }
}

/// Moments within a window of the past.
#[derive(Default)]
pub struct SlidingWindow(VecDeque<f64>);

impl SlidingWindow {
    pub fn add(&mut self, now: f64) {
        self.0.push_back(now);
    }

    /// Takes one back.
    pub fn remove(&mut self, moment: f64) {
        if let Ok(n) = self.0.binary_search_by(|t| t.total_cmp(&moment)) {
            self.0.remove(n);
        }
    }

    /// How many came after `since`; earlier ones are dropped.
    pub fn after(&mut self, since: f64) -> f64 {
        while self.0.front().is_some_and(|&t| t <= since) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}

/// A number by which things are sorted.
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

/// The value at a share of the sorted list.
pub fn quantile(mut values: Vec<f64>, share: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * share) as usize;
    values
        .get(rank.min(values.len().saturating_sub(1)))
        .copied()
}
