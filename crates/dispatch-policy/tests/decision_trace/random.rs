//! Random numbers that do not change with the version of any dependency: hashes of a counter.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A seeded sequence of random numbers.
pub struct SeededRandom {
    seed: u64,
    drawn: u64,
}

impl SeededRandom {
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom { seed, drawn: 0 }
    }

    /// Returns a number from 0 up to, but not including, 1.
    pub fn unit(&mut self) -> f64 {
        self.drawn += 1;
        let hash = xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns an index below a bound.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.unit() * bound as f64) as usize
    }

    /// Returns an index below a bound. Small indices are more likely.
    pub fn skewed_below(&mut self, bound: usize) -> usize {
        let unit = self.unit();
        (unit * unit * bound as f64) as usize
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }
}
