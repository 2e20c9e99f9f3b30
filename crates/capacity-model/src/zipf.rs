//! Popularity of functions.

use rand::Rng;
use rand_distr::{Distribution, Zipf};

/// Exponent of the popularity of functions.
///
/// Of 21,000 functions most are called less than once a minute at 100,000 calls a second in all. With 1.6 the median
/// function is called about once a minute; with 1.5 only 3,531 of them lie below one call a minute, with 1.7 14,641.
pub const EXPONENT: f64 = 1.6;

/// Draws functions by their rank: 0 is the most popular.
#[derive(Clone, Copy, Debug)]
pub struct Popularity {
    ranks: Zipf<f64>,
    functions: usize,
    /// The sum of all ranks' weights.
    weights: f64,
}

impl Popularity {
    /// `functions` at least 1; fewer count as 1.
    pub fn new(functions: usize) -> Popularity {
        let functions = functions.max(1);
        let ranks = Zipf::new(functions as f64, EXPONENT)
            .expect("a count of at least 1 and an exponent above 0");
        let weights = (1..=functions)
            .map(|rank| (rank as f64).powf(-EXPONENT))
            .sum();
        Popularity {
            ranks,
            functions,
            weights,
        }
    }

    /// The rank of the function that is called next.
    pub fn draw(&self, random: &mut impl Rng) -> usize {
        self.ranks.sample(random) as usize - 1
    }

    /// The part of all calls that goes to the function of a rank.
    pub fn share(&self, rank: usize) -> f64 {
        ((rank + 1) as f64).powf(-EXPONENT) / self.weights
    }

    /// How many functions have at least such a part of all calls.
    pub fn called_at_least(&self, share: f64) -> usize {
        let ranks = (1.0 / (share * self.weights)).powf(1.0 / EXPONENT);
        (ranks as usize).min(self.functions)
    }
}
