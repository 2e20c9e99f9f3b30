//! Calls as they come: a Poisson stream over functions of unequal popularity.

use super::assumptions::{THINNED_PART, THINNED_RANKS};
use crate::zipf::Popularity;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// One call, and a number from 0 up to 1 that draws its front end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub at: f64,
    pub function: u32,
    pub draw: f64,
}

/// The stream of calls of one seed.
pub struct Arrivals {
    random: StdRng,
    popularity: Popularity,
    rate: f64,
    at: f64,
    thinned_until: f64,
}

impl Arrivals {
    /// `rate` calls a second from `start` on; until `thinned_until` popular functions are called less often.
    pub fn new(seed: u64, rate: f64, functions: usize, start: f64, thinned_until: f64) -> Arrivals {
        let random = StdRng::seed_from_u64(seed);
        Arrivals {
            random,
            popularity: Popularity::new(functions),
            rate,
            at: start,
            thinned_until,
        }
    }

    /// The next call.
    pub fn draw(&mut self) -> Arrival {
        loop {
            let unit: f64 = self.random.random();
            self.at += -(1.0 - unit).ln() / self.rate;
            let rank = self.popularity.draw(&mut self.random);
            let is_thinned = self.at < self.thinned_until && rank < THINNED_RANKS;
            if !is_thinned || self.random.random::<f64>() < THINNED_PART {
                return Arrival {
                    at: self.at,
                    function: rank as u32,
                    draw: self.random.random(),
                };
            }
        }
    }
}
