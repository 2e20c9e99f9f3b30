//! Weighted rendezvous hashing: which executors come first for a function, alike at every front end.

use super::Fleet;
use crate::chance::rendezvous_hash;
use crate::interface::ExecutorId;
use std::net::IpAddr;

/// The fewest ranks that are worked out at a time: most functions never need more.
const LEAST_RANKED: usize = 16;

/// The executors that come first for one function, as far as they were asked for.
#[derive(Default)]
pub struct Ranking {
    /// The fleet's version that it is of.
    version: u64,
    first: Vec<u32>,
}

impl Ranking {
    /// In the order of their ranks; a prefix of the ranking of all ready executors.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.first.iter().map(|&x| x as usize)
    }
}

/// A ready executor as ranking needs it.
#[derive(Clone, Copy)]
pub(super) struct Ranked {
    x: u32,
    number: u64,
    weight: f64,
}

/// The number that stands for an executor in hashes.
pub(super) fn executor_number(ExecutorId(address, port): ExecutorId) -> u64 {
    let number = match address {
        IpAddr::V4(a) => u64::from(u32::from_le_bytes(a.octets())) << 16,
        IpAddr::V6(a) => {
            let (network, host) = ((a.to_bits() >> 64) as u64, a.to_bits() as u64);
            host.rotate_left(16) ^ network.rotate_left(40)
        }
    };
    number ^ u64::from(port)
}

/// The rank that a hash gives to an executor of a weight; the smaller comes first. On average the ranks of an
/// executor of twice the weight are half as large.
fn rank(hash: u32, weight: f64) -> f64 {
    -((f64::from(hash) + 1.0) / 4_294_967_297.0).ln() / weight
}

impl Fleet {
    /// Collects what ranking needs, after a change of the ready executors or of their weights.
    pub(super) fn update_ranked(&mut self) {
        let ready = self.all().filter(|&x| self.ready[x]);
        let ranked = ready.map(|x| Ranked {
            x: x as u32,
            number: executor_number(self.ids[x]),
            weight: self.weight[x],
        });
        self.ranked = ranked.collect();
        self.is_uniform = self.ranked.iter().all(|r| r.weight == 1.0);
        self.version += 1;
    }

    /// Makes sure that a function's ranking holds the first `count` ready executors, or all there are. Equal
    /// ranks are in the order of their indices.
    pub fn rank(&self, ranking: &mut Ranking, key: u64, count: usize) {
        let is_current = ranking.version == self.version;
        let count = count.max(LEAST_RANKED).min(self.ranked.len());
        if is_current && ranking.first.len() >= count {
            return;
        }
        // Asked for more again and again, it has all after a few times.
        let grown = if is_current { 2 * ranking.first.len() } else { 0 };
        let mut ranks: Vec<(u64, u32)> = self.ranked.iter().map(|r| (self.order(key, r), r.x)).collect();
        let count = count.max(grown).min(ranks.len());
        if count < ranks.len() {
            ranks.select_nth_unstable(count);
            ranks.truncate(count);
        }
        ranks.sort_unstable();
        *ranking = Ranking { version: self.version, first: ranks.iter().map(|&(_, x)| x).collect() };
    }

    /// A number that orders executors as their ranks do. With equal weights the hash itself does, the greatest
    /// first, which spares the logarithm; else the bits of the rank, which is not negative.
    fn order(&self, key: u64, ranked: &Ranked) -> u64 {
        let hash = rendezvous_hash(key, ranked.number);
        if self.is_uniform { u64::from(u32::MAX - hash) } else { rank(hash, ranked.weight).to_bits() }
    }

    /// An executor's hash for a key, as a number from 0 up to 2^32.
    pub fn rendezvous_number(&self, x: usize, key: u64) -> f64 {
        f64::from(rendezvous_hash(key, executor_number(self.ids[x])))
    }
}
