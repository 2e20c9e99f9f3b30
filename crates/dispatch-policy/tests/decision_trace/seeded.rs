//! Random numbers that stay the same with every version of every dependency: a hash of a counter.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A sequence of random numbers.
pub struct Seeded {
    seed: u64,
    drawn: u64,
}

impl Seeded {
    pub fn new(seed: u64) -> Seeded {
        Seeded { seed, drawn: 0 }
    }

    /// A number from 0 up to, but not including, 1.
    pub fn unit(&mut self) -> f64 {
        self.drawn += 1;
        let hash = xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An index below a bound.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.unit() * bound as f64) as usize
    }

    /// An index below a bound, of which small ones are more likely.
    pub fn skewed_below(&mut self, bound: usize) -> usize {
        let unit = self.unit();
        (unit * unit * bound as f64) as usize
    }

    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }
}
