//! Weighted rendezvous hashing: which executors come first for a function, alike at every front end.

use super::{ExecutorIndex, ExecutorTable};
use crate::interface::ExecutorId;
use crate::random::rendezvous_hash;
use std::cmp::Ordering;
use std::net::IpAddr;

/// The fewest ranks that are computed at a time: most functions never need more.
const MIN_RANKED: usize = 16;

/// One more than there are hashes.
const HASH_COUNT: f64 = 4_294_967_297.0;

/// The executors that come first for one function, as many as were asked for.
#[derive(Default)]
pub struct Ranking {
    /// Version of the pools that it was computed from.
    version: u64,
    first: Vec<ExecutorIndex>,
}

impl Ranking {
    /// The executors in the order of their ranks; a prefix of the ranking of all ready executors.
    pub fn iter(&self) -> impl Iterator<Item = ExecutorIndex> + '_ {
        self.first.iter().copied()
    }
}

/// A ready executor as ranking needs it.
#[derive(Clone, Copy)]
struct RankedExecutor {
    executor: ExecutorIndex,
    zone: u8,
    /// The number that stands for it in hashes.
    hash_key: u64,
    weight: f64,
}

/// Executors that are ranked among themselves.
#[derive(Default)]
struct Pool {
    members: Vec<RankedExecutor>,
    /// Sum of the members' weights.
    weight: f64,
    /// Whether the first two have to be from different zones, and there are several zones.
    spreads_zones: bool,
}

/// The ready executors, as ranking needs them.
#[derive(Default)]
pub(super) struct RankingPools {
    /// Counts changes of the ready executors and of their weights: a ranking is valid for one version.
    version: u64,
    /// The executors of the front end's own region.
    own_region: Pool,
    /// All others.
    others: Pool,
}

/// The number that stands for an executor in hashes.
fn hash_key(ExecutorId(address, port): ExecutorId) -> u64 {
    let number = match address {
        IpAddr::V4(a) => u64::from(u32::from_le_bytes(a.octets())) << 16,
        IpAddr::V6(a) => {
            let (network, host) = ((a.to_bits() >> 64) as u64, a.to_bits() as u64);
            host.rotate_left(16) ^ network.rotate_left(40)
        }
    };
    number ^ u64::from(port)
}

/// The rank that a hash gives to an executor of a weight; the smallest comes first. On average the ranks of an
/// executor of twice the weight are half as large.
fn rank(hash: u32, weight: f64) -> f64 {
    -((f64::from(hash) + 1.0) / HASH_COUNT).ln() / weight
}

impl Pool {
    fn new(members: Vec<RankedExecutor>, spreads_zones: bool) -> Pool {
        let weight = members.iter().map(|member| member.weight).sum();
        let has_several_zones = members.iter().any(|member| member.zone != members[0].zone);
        Pool {
            members,
            weight,
            spreads_zones: spreads_zones && has_several_zones,
        }
    }

    /// The first `count` executors for a key, or all there are. Equal ranks are in the order of the indices.
    fn first(&self, key: u64, count: usize) -> Vec<ExecutorIndex> {
        let count = count.min(self.members.len());
        if count == 0 {
            return vec![];
        }
        // About twice as many as are wanted have a rank below this one; where these are too few, all are ranked.
        let enough = (2 * count + MIN_RANKED) as f64;
        let limit = if enough < self.members.len() as f64 {
            enough / self.weight
        } else {
            f64::INFINITY
        };
        let mut ranks = self.ranks_below(key, limit);
        if ranks.len() < count {
            ranks = self.ranks_below(key, f64::INFINITY);
        }
        ranks.sort_unstable_by(by_rank);
        ranks.truncate(count);
        if self.spreads_zones {
            self.spread_zones(key, &mut ranks);
        }
        ranks.iter().map(|(_, member)| member.executor).collect()
    }

    /// Moves the first executor that is in another zone than the first of all to the second place.
    fn spread_zones(&self, key: u64, ranks: &mut Vec<(f64, RankedExecutor)>) {
        let zone = ranks[0].1.zone;
        let position = ranks
            .iter()
            .position(|(_, member)| member.zone != zone)
            .unwrap_or_else(|| {
                let elsewhere = self
                    .members
                    .iter()
                    .filter(|member| member.zone != zone)
                    .map(|member| (member.rank(key), *member));
                ranks.extend(elsewhere.min_by(by_rank));
                ranks.len() - 1
            });
        ranks[1..=position].rotate_right(1);
    }

    /// The executors whose ranks are at most a limit, with their ranks.
    fn ranks_below(&self, key: u64, limit: f64) -> Vec<(f64, RankedExecutor)> {
        let ranks = self.members.iter().filter_map(|member| {
            let hash = rendezvous_hash(key, member.hash_key);
            // Most are excluded by this bound, without a logarithm: e^-t is never less than 1 - t.
            let min_hash = HASH_COUNT * (1.0 - limit * member.weight) - 2.0;
            let rank = (f64::from(hash) >= min_hash).then(|| rank(hash, member.weight))?;
            (rank <= limit).then_some((rank, *member))
        });
        ranks.collect()
    }
}

fn by_rank(one: &(f64, RankedExecutor), other: &(f64, RankedExecutor)) -> Ordering {
    one.0
        .total_cmp(&other.0)
        .then(one.1.executor.cmp(&other.1.executor))
}

impl RankedExecutor {
    fn rank(&self, key: u64) -> f64 {
        rank(rendezvous_hash(key, self.hash_key), self.weight)
    }
}

impl ExecutorTable {
    /// Collects what ranking needs, after a change of the ready executors or of their weights.
    pub(super) fn update_ranking_pools(&mut self) {
        let ranked = |executor: ExecutorIndex| RankedExecutor {
            executor,
            zone: self[executor].zone(),
            hash_key: hash_key(self[executor].id()),
            weight: self[executor].weight(),
        };
        let (own_region, others): (Vec<RankedExecutor>, Vec<RankedExecutor>) = self
            .ready()
            .iter()
            .map(|&executor| ranked(executor))
            .partition(|member| self.regions.is_own(member.zone));
        let spreads_zones = self.regions.has_own();
        self.ranking_pools = RankingPools {
            version: self.ranking_pools.version + 1,
            own_region: Pool::new(own_region, spreads_zones),
            others: Pool::new(others, spreads_zones),
        };
    }

    /// Makes sure that a function's ranking holds the first `count` ready executors, or all there are: those of
    /// the front end's own region before all others, and of either the first two from different zones.
    pub fn rank(&self, ranking: &mut Ranking, key: u64, count: usize) {
        let pools = &self.ranking_pools;
        let is_current = ranking.version == pools.version;
        let count = count.max(MIN_RANKED).min(self.ready_count());
        if is_current && ranking.first.len() >= count {
            return;
        }
        // A ranking that is asked for more and more has all after a few times.
        let doubled = if is_current {
            2 * ranking.first.len()
        } else {
            0
        };
        let count = count.max(doubled).min(self.ready_count());
        let mut first = pools.own_region.first(key, count);
        first.extend(pools.others.first(key, count.saturating_sub(first.len())));
        *ranking = Ranking {
            version: pools.version,
            first,
        };
    }

    /// An executor's hash for a key, as a number from 0 up to 2^32; the same at every front end.
    pub fn rendezvous_number(&self, executor: ExecutorIndex, key: u64) -> f64 {
        f64::from(rendezvous_hash(key, hash_key(self[executor].id())))
    }
}
