//! Weighted rendezvous hashing: which executors come first for a function, alike at every front end.

use super::Fleet;
use crate::interface::ExecutorId;
use crate::random::rendezvous_hash;
use std::net::IpAddr;

/// The fewest ranks that are worked out at a time: most functions never need more.
const LEAST_RANKED: usize = 16;

/// One more than there are hashes.
const HASHES: f64 = 4_294_967_297.0;

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
    -((f64::from(hash) + 1.0) / HASHES).ln() / weight
}

impl Fleet {
    /// Collects what ranking needs, after a change of the ready executors or of their weights.
    pub(super) fn update_ranked(&mut self) {
        let ready = self.ready_in_all.iter();
        let ranked = ready.map(|&x| Ranked {
            x: x as u32,
            number: executor_number(self.ids[x]),
            weight: self.weight[x],
        });
        self.ranked = ranked.collect();
        self.ranked_weight = self.ranked.iter().map(|r| r.weight).sum();
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
        let count = count.max(grown).min(self.ranked.len());
        // About twice as many as are wanted have a rank below this one; where it was too few, all are looked
        // at.
        let enough = (2 * count + LEAST_RANKED) as f64;
        let limit =
            if enough < self.ranked.len() as f64 { enough / self.ranked_weight } else { f64::INFINITY };
        let mut ranks = self.ranks_below(key, limit);
        if ranks.len() < count {
            ranks = self.ranks_below(key, f64::INFINITY);
        }
        ranks.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let first = ranks.iter().take(count).map(|&(_, x)| x).collect();
        *ranking = Ranking { version: self.version, first };
    }

    /// The executors whose ranks are at most a limit, with these.
    fn ranks_below(&self, key: u64, limit: f64) -> Vec<(f64, u32)> {
        let ranks = self.ranked.iter().filter_map(|r| {
            let hash = rendezvous_hash(key, r.number);
            // Most are told by this bound, without a logarithm: e^-t is never less than 1 - t.
            let least = HASHES * (1.0 - limit * r.weight) - 2.0;
            let rank = (f64::from(hash) >= least).then(|| rank(hash, r.weight))?;
            (rank <= limit).then_some((rank, r.x))
        });
        ranks.collect()
    }

    /// An executor's hash for a key, as a number from 0 up to 2^32.
    pub fn rendezvous_number(&self, x: usize, key: u64) -> f64 {
        f64::from(rendezvous_hash(key, executor_number(self.ids[x])))
    }
}
