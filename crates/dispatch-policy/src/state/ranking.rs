//! Weighted rendezvous hashing: ranks the executors for each function, identically at every front end.

use super::{ExecutorIndex, ExecutorTable};
use crate::interface::ExecutorId;
use crate::random::rendezvous_hash;
use std::cmp::Ordering;
use std::net::IpAddr;

/// Minimum number of ranks that are computed at a time. Most functions never need more.
const MIN_RANKED: usize = 16;

/// Number of possible hashes, plus one.
const HASH_COUNT: f64 = 4_294_967_297.0;

/// The highest-ranked executors for one function, as many as were requested so far.
#[derive(Default)]
pub struct Ranking {
    /// The version of the pools from which the ranking was computed.
    version: u64,
    executors: Vec<ExecutorIndex>,
}

impl Ranking {
    /// Returns the executors in ranking order. They are a prefix of the ranking of all ready executors.
    pub fn iter(&self) -> impl Iterator<Item = ExecutorIndex> + '_ {
        self.executors.iter().copied()
    }
}

/// The properties of a ready executor that ranking needs.
#[derive(Clone, Copy)]
struct RankedExecutor {
    executor: ExecutorIndex,
    zone: u8,
    /// The key by which the executor enters hashes.
    hash_key: u64,
    weight: f64,
}

/// A set of executors that are ranked together.
#[derive(Default)]
struct Pool {
    members: Vec<RankedExecutor>,
    /// Sum of the members' weights.
    weight: f64,
    /// Whether the first two executors have to be in different zones. False if all members are in one zone.
    spreads_zones: bool,
}

/// The ready executors, split into the pools that are ranked one after the other.
#[derive(Default)]
pub(super) struct RankingPools {
    /// Incremented with every change of the ready executors or their weights. A ranking is valid for one version.
    version: u64,
    /// The executors in the front end's own region.
    own_region: Pool,
    /// All other executors.
    others: Pool,
}

/// Returns the key by which an executor enters hashes.
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

/// Returns the rank that a hash gives to an executor; the smallest rank comes first. Ranks are exponentially
/// distributed with the weight as their rate, so doubling the weight halves the mean rank.
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

    /// Returns the first `count` executors for a key, or all if there are fewer. Equal ranks are ordered by index.
    fn top_ranked(&self, key: u64, count: usize) -> Vec<ExecutorIndex> {
        let count = count.min(self.members.len());
        if count == 0 {
            return vec![];
        }
        // On average `expected_count` executors have a rank below this limit, about twice as many as needed. If fewer
        // than `count` have one, all executors are ranked.
        let expected_count = (2 * count + MIN_RANKED) as f64;
        let limit = if expected_count < self.members.len() as f64 {
            expected_count / self.weight
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

    /// Moves the first executor that is in another zone than the top-ranked one to the second place.
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

    /// Returns the executors whose ranks are at most `limit`, with their ranks.
    fn ranks_below(&self, key: u64, limit: f64) -> Vec<(f64, RankedExecutor)> {
        let ranks = self.members.iter().filter_map(|member| {
            let hash = rendezvous_hash(key, member.hash_key);
            // Since e^-t >= 1 - t, this bound excludes most executors without computing a logarithm.
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
    /// Rebuilds the ranking pools after a change of the ready executors or their weights.
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
            .partition(|member| self.regions.is_own_region(member.zone));
        let spreads_zones = self.regions.has_own_region();
        self.ranking_pools = RankingPools {
            version: self.ranking_pools.version + 1,
            own_region: Pool::new(own_region, spreads_zones),
            others: Pool::new(others, spreads_zones),
        };
    }

    /// Extends a function's ranking to the first `count` ready executors, or to all if there are fewer. Executors in
    /// the front end's own region come before all others. If that region is known, the first two of each of the two
    /// groups are in different zones where possible.
    pub fn rank(&self, ranking: &mut Ranking, key: u64, count: usize) {
        let pools = &self.ranking_pools;
        let is_current = ranking.version == pools.version;
        let count = count.max(MIN_RANKED).min(self.ready_count());
        if is_current && ranking.executors.len() >= count {
            return;
        }
        // Doubling bounds the number of recomputations for a ranking that is extended again and again.
        let doubled = if is_current {
            2 * ranking.executors.len()
        } else {
            0
        };
        let count = count.max(doubled).min(self.ready_count());
        let mut executors = pools.own_region.top_ranked(key, count);
        executors.extend(
            pools
                .others
                .top_ranked(key, count.saturating_sub(executors.len())),
        );
        *ranking = Ranking {
            version: pools.version,
            executors,
        };
    }

    /// Returns an executor's hash for a key, from 0 up to but not including 2^32. It is the same at every front end.
    pub fn rendezvous_number(&self, executor: ExecutorIndex, key: u64) -> f64 {
        f64::from(rendezvous_hash(key, hash_key(self[executor].id())))
    }
}
