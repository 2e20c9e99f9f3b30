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
struct Ranked {
    x: u32,
    zone: u8,
    number: u64,
    weight: f64,
}

/// Executors that are ranked among themselves.
#[derive(Default)]
pub(super) struct Pool {
    members: Vec<Ranked>,
    /// What these weigh together.
    weight: f64,
    /// Whether the second has to stand in another zone than the first, and there are several.
    parts_zones: bool,
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

impl Pool {
    fn new(members: Vec<Ranked>, parts_zones: bool) -> Pool {
        let weight = members.iter().map(|r| r.weight).sum();
        let has_several_zones = members.iter().any(|r| r.zone != members[0].zone);
        Pool {
            members,
            weight,
            parts_zones: parts_zones && has_several_zones,
        }
    }

    /// The first `count` for a key, or all there are. Equal ranks are in the order of their indices.
    fn first(&self, key: u64, count: usize) -> Vec<u32> {
        let count = count.min(self.members.len());
        if count == 0 {
            return vec![];
        }
        // About twice as many as are wanted have a rank below this one; where it was too few, all are looked
        // at.
        let enough = (2 * count + LEAST_RANKED) as f64;
        let limit = if enough < self.members.len() as f64 {
            enough / self.weight
        } else {
            f64::INFINITY
        };
        let mut ranks = self.ranks_below(key, limit);
        if ranks.len() < count {
            ranks = self.ranks_below(key, f64::INFINITY);
        }
        ranks.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.x.cmp(&b.1.x)));
        ranks.truncate(count);
        if self.parts_zones {
            self.part_zones(key, &mut ranks);
        }
        ranks.iter().map(|(_, r)| r.x).collect()
    }

    /// Puts the first that stands in another zone than the first of all in the second place.
    fn part_zones(&self, key: u64, ranks: &mut Vec<(f64, Ranked)>) {
        let zone = ranks[0].1.zone;
        let place = ranks
            .iter()
            .position(|(_, r)| r.zone != zone)
            .unwrap_or_else(|| {
                let elsewhere = self
                    .members
                    .iter()
                    .filter(|r| r.zone != zone)
                    .map(|r| (r.rank(key), *r));
                ranks.extend(elsewhere.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.x.cmp(&b.1.x))));
                ranks.len() - 1
            });
        ranks[1..=place].rotate_right(1);
    }

    /// The executors whose ranks are at most a limit, with these.
    fn ranks_below(&self, key: u64, limit: f64) -> Vec<(f64, Ranked)> {
        let ranks = self.members.iter().filter_map(|r| {
            let hash = rendezvous_hash(key, r.number);
            // Most are told by this bound, without a logarithm: e^-t is never less than 1 - t.
            let least = HASHES * (1.0 - limit * r.weight) - 2.0;
            let rank = (f64::from(hash) >= least).then(|| rank(hash, r.weight))?;
            (rank <= limit).then_some((rank, *r))
        });
        ranks.collect()
    }
}

impl Ranked {
    fn rank(&self, key: u64) -> f64 {
        rank(rendezvous_hash(key, self.number), self.weight)
    }
}

impl Fleet {
    /// Collects what ranking needs, after a change of the ready executors or of their weights.
    pub(super) fn update_ranked(&mut self) {
        let (zones, ids, weights) = (&self.zone, &self.ids, &self.weight);
        let ranked = |x: usize| Ranked {
            x: x as u32,
            zone: zones[x],
            number: executor_number(ids[x]),
            weight: weights[x],
        };
        let (own, others): (Vec<usize>, Vec<usize>) = self
            .ready_in_all
            .iter()
            .partition(|&&x| self.regions.is_own(zones[x]));
        let parts_zones = self.regions.has_own();
        self.ranked = [own, others]
            .map(|pool| Pool::new(pool.into_iter().map(ranked).collect(), parts_zones));
        self.version += 1;
    }

    /// Makes sure that a function's ranking holds the first `count` ready executors, or all there are: those of
    /// the front end's own region before all others, and of either the first two from different zones.
    pub fn rank(&self, ranking: &mut Ranking, key: u64, count: usize) {
        let is_current = ranking.version == self.version;
        let count = count.max(LEAST_RANKED).min(self.ready_count);
        if is_current && ranking.first.len() >= count {
            return;
        }
        // Asked for more again and again, it has all after a few times.
        let grown = if is_current {
            2 * ranking.first.len()
        } else {
            0
        };
        let count = count.max(grown).min(self.ready_count);
        let [own, others] = &self.ranked;
        let mut first = own.first(key, count);
        first.extend(others.first(key, count.saturating_sub(first.len())));
        *ranking = Ranking {
            version: self.version,
            first,
        };
    }

    /// An executor's hash for a key, as a number from 0 up to 2^32.
    pub fn rendezvous_number(&self, x: usize, key: u64) -> f64 {
        f64::from(rendezvous_hash(key, executor_number(self.ids[x])))
    }
}
