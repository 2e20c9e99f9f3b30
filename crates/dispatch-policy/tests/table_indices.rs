//! The indices of the executor table and of warm replica sets are compared with scans of the records after random
//! changes. A further test bounds the number of replicas that a search in a large set examines.

use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::random::SeededRandom;
use orchidtally_dispatch_policy::state::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;

const EXECUTORS: usize = 130;
const REQUIREMENTS: SampleRequirements = SampleRequirements {
    min_samples: 3,
    max_samples: 16,
    sample_lifetime: 5.0,
};
const REPORT_TIME: f64 = 10.0;

fn endpoint(number: usize, zone: usize, state: EndpointState, weight: f64) -> Endpoint {
    let address = std::net::Ipv4Addr::from(0x0a00_0000 + 7 * number as u32);
    Endpoint {
        executor: ExecutorId(address.into(), 7000),
        zone: zone as u8,
        kind: (number % 2) as u8,
        cell: (number / 5) as u16,
        state,
        weight,
        started_at: f64::NEG_INFINITY,
    }
}

fn no_executors() -> ExecutorTable {
    ExecutorTable::new(0, REQUIREMENTS)
}

/// Returns all ready executors ordered by rank, computed by a full scan.
fn ranked_by_scan(executors: &ExecutorTable, key: u64) -> Vec<ExecutorIndex> {
    let rank = |executor: ExecutorIndex| {
        -((executors.rendezvous_number(executor, key) + 1.0) / 4_294_967_297.0).ln()
            / executors[executor].weight()
    };
    let mut all = ready_by_scan(executors);
    all.sort_by(|&one, &other| rank(one).total_cmp(&rank(other)));
    all
}

fn ready_by_scan(executors: &ExecutorTable) -> Vec<ExecutorIndex> {
    executors
        .indices()
        .filter(|&executor| executors[executor].is_ready())
        .collect()
}

/// A score like the one by which the policy compares executors. It is monotonic: a better load never has a higher
/// score.
fn score(load: &LoadEstimate, now: f64, mean_backlog: f64) -> f64 {
    let reported_at = if load.backlog > mean_backlog {
        load.earliest_report_at
    } else {
        load.latest_report_at
    };
    let freshness = (-(now - reported_at) / REPORT_TIME).exp();
    let zone_factor = if load.is_local { 1.0 } else { 1.4 };
    let backlog = mean_backlog + freshness * (load.backlog - mean_backlog);
    zone_factor * (load.in_flight + backlog + 1.0) / load.weight
}

/// A warm executor and the time at which its replica expires.
type WarmEntry = (ExecutorIndex, f64);

/// The tables under test, next to plain lists of the same data.
struct Harness {
    executors: ExecutorTable,
    now: f64,
    replicas: WarmReplicaSet,
    replicas_by_scan: Vec<WarmEntry>,
    rankings: Vec<(u64, Ranking)>,
    sent: Vec<(ExecutorIndex, f64)>,
}

impl Harness {
    fn new(weights: &[f64]) -> Harness {
        let mut executors = no_executors();
        let endpoints: Vec<Endpoint> = (0..EXECUTORS)
            .map(|number| {
                let weight = weights[number % weights.len()];
                endpoint(number, number % 3, EndpointState::Ready, weight)
            })
            .collect();
        executors.apply_endpoints(100.0, true, &endpoints);
        let rankings = [3, 0x9e37_79b9_7f4a_7c15]
            .map(|key| (key, Ranking::default()))
            .into();
        Harness {
            executors,
            now: 100.0,
            replicas: WarmReplicaSet::default(),
            replicas_by_scan: vec![],
            rankings,
            sent: vec![],
        }
    }

    fn record_warm(&mut self, executor: ExecutorIndex) {
        let expires_at = self.now + 4.0;
        self.replicas.add(executor, expires_at);
        self.replicas_by_scan.retain(|warm| warm.0 != executor);
        self.replicas_by_scan.push((executor, expires_at));
    }

    fn evict(&mut self, is_evicted: impl Fn(&WarmEntry) -> bool) {
        self.replicas
            .retain(|replica| !is_evicted(&(replica.executor, replica.expires_at)));
        self.replicas_by_scan.retain(|warm| !is_evicted(warm));
    }

    fn apply(&mut self, is_full: bool, endpoints: &[Endpoint]) {
        for executor in self.executors.apply_endpoints(self.now, is_full, endpoints) {
            self.executors.clear_observations(executor);
            self.evict(|warm| warm.0 == executor);
        }
    }

    fn step(&mut self, (kind, a, b, pause): (u8, usize, usize, f64), weights: &[f64]) {
        let executor = ExecutorIndex::new(a % self.executors.len());
        let weight = weights[b % weights.len()];
        match kind {
            0 => {
                let state = [
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Gone,
                    EndpointState::Ready,
                ][b % 4];
                self.apply(false, &[endpoint(a % EXECUTORS, b % 3, state, weight)]);
            }
            1 if b.is_multiple_of(8) => {
                let endpoints: Vec<Endpoint> = (0..EXECUTORS)
                    .filter(|number| (number + a) % 11 != 0)
                    .map(|number| endpoint(number, number % 3, EndpointState::Ready, weight))
                    .collect();
                self.apply(true, &endpoints);
            }
            2 | 3 => {
                let invocation = InvocationIndex::new(b & 0xffff_ffff);
                self.executors
                    .record_dispatch(executor, invocation, self.now, 1.0, 2.0);
                self.sent.push((executor, self.now));
            }
            4 if !self.sent.is_empty() => {
                let (executor, sent_at) = self.sent.swap_remove(a % self.sent.len());
                let ended: Vec<ExecutorDispatch> = self.executors[executor]
                    .in_flight()
                    .iter()
                    .filter(|dispatch| dispatch.sent_at == sent_at)
                    .copied()
                    .collect();
                for ExecutorDispatch {
                    invocation,
                    sent_at,
                } in ended
                {
                    self.executors
                        .record_dispatch_end(executor, invocation, sent_at, self.now);
                }
            }
            5 => self
                .executors
                .record_backlog(executor, (b % 4) as f64 / 2.0, self.now),
            6 => self
                .executors
                .record_latency_sample(executor, self.now, 1.0),
            7 => {
                self.replicas.remove(executor);
                self.replicas_by_scan.retain(|warm| warm.0 != executor);
            }
            8 if b.is_multiple_of(16) => {
                let now = self.now;
                self.evict(|warm| warm.1 <= now);
            }
            _ => (0..12).for_each(|n| {
                self.record_warm(ExecutorIndex::new((a + 7 * n) % self.executors.len()));
            }),
        }
        self.now += pause;
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        self.check_rankings()?;
        self.check_ready_sets()?;
        self.check_in_flight_and_samples()?;
        let replicas: Vec<WarmEntry> = self
            .replicas
            .iter()
            .map(|replica| (replica.executor, replica.expires_at))
            .collect();
        prop_assert_eq!(&replicas, &self.replicas_by_scan);
        prop_assert_eq!(self.replicas.len(), replicas.len());
        for executor in self.executors.indices() {
            let is_warm = replicas
                .iter()
                .any(|warm| warm.0 == executor && warm.1 > self.now);
            prop_assert_eq!(self.replicas.is_warm(executor, self.now), is_warm);
        }
        self.check_least_loaded()
    }

    fn check_rankings(&mut self) -> Result<(), TestCaseError> {
        let executors = &self.executors;
        for (n, (key, ranking)) in self.rankings.iter_mut().enumerate() {
            let all = ranked_by_scan(executors, *key);
            // The count varies, so that the cached prefix has to grow.
            let count = (3 * n + (self.now * 10.0) as usize % 150).min(all.len());
            executors.rank(ranking, *key, count);
            let ranked: Vec<ExecutorIndex> = ranking.iter().take(count).collect();
            prop_assert_eq!(&ranked[..], &all[..count]);
        }
        Ok(())
    }

    fn check_ready_sets(&self) -> Result<(), TestCaseError> {
        let executors = &self.executors;
        let ready = ready_by_scan(executors);
        prop_assert_eq!(executors.ready_count(), ready.len());
        prop_assert_eq!(
            executors.ready_in_scope(DeduplicationScope::Cell, None),
            &ready[..]
        );
        for scope in [
            DeduplicationScope::All,
            DeduplicationScope::Zone,
            DeduplicationScope::Cell,
        ] {
            let member = ExecutorIndex::new((self.now * 100.0) as usize % executors.len());
            let peers: Vec<ExecutorIndex> = ready
                .iter()
                .copied()
                .filter(|&other| executors.share_scope(scope, other, member))
                .collect();
            prop_assert_eq!(executors.ready_in_scope(scope, Some(member)), &peers[..]);
        }
        Ok(())
    }

    fn check_in_flight_and_samples(&mut self) -> Result<(), TestCaseError> {
        let executors = &mut self.executors;
        let in_flight: Vec<InvocationIndex> = executors
            .indices()
            .flat_map(|executor| executors[executor].in_flight())
            .map(|dispatch| dispatch.invocation)
            .collect();
        prop_assert_eq!(
            executors.invocations_in_flight().collect::<Vec<_>>(),
            in_flight
        );
        executors.retain_outlier_candidates(self.now);
        let has_enough = |&executor: &ExecutorIndex| {
            let samples = executors.latency_samples(executor, self.now).count();
            samples + executors[executor].in_flight().len() >= REQUIREMENTS.min_samples
        };
        let mut candidates = executors.outlier_candidates().to_vec();
        candidates.sort();
        prop_assert_eq!(
            candidates,
            executors.indices().filter(has_enough).collect::<Vec<_>>()
        );
        for executor in executors.indices().map(|executor| &executors[executor]) {
            prop_assert!(
                !executor.is_idle()
                    || executor.in_flight().is_empty() && executor.backoff_until() <= self.now
            );
        }
        Ok(())
    }

    fn check_least_loaded(&mut self) -> Result<(), TestCaseError> {
        let (executors, now) = (&self.executors, self.now);
        self.replicas.refresh(executors);
        for mean_backlog in [0.0, 1e-16, 0.3, 5.0] {
            // Some executors have no score, and some are cold, which raises their score above that of their load.
            let score_of = |executor: ExecutorIndex| {
                let number = executor.position();
                let weight = if number.is_multiple_of(13) { 0.2 } else { 1.0 };
                let load = executors.load_of(executor);
                (number % 17 != 3).then(|| score(&load, now, mean_backlog) / weight)
            };
            let by_scan = self
                .replicas_by_scan
                .iter()
                .filter_map(|warm| Some((score_of(warm.0)?, warm.0)))
                .min_by(|one, other| one.0.total_cmp(&other.0))
                .map(|(_, executor)| executor);
            let found = self.replicas.min_by_score(
                |load| score(load, now, mean_backlog),
                |replica| score_of(replica.executor),
            );
            prop_assert_eq!(found, by_scan, "mean {}", mean_backlog);
        }
        Ok(())
    }
}

#[test]
fn every_index_agrees_with_a_scan_after_random_changes() {
    let config = Config {
        cases: 120,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[6; 32]));
    let step = (0u8..12, any::<usize>(), any::<usize>(), 0.0f64..0.15);
    let scenario = (0usize..3, prop::collection::vec(step, 1..200));
    let outcome = runner.run(&scenario, |(kinds, steps)| {
        let weights: &[f64] = [&[1.0][..], &[1.0, 0.5, 2.0], &[0.3]][kinds];
        let mut harness = Harness::new(weights);
        for step in steps {
            harness.step(step, weights);
            harness.check()?;
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn draw_two_equals_removing_elements_one_by_one() {
    for len in 0..60 {
        let (mut one, mut other) = (SeededRandom::new(len), SeededRandom::new(len));
        let mut one_by_one: Vec<usize> = (0..len as usize).map(|element| 3 * element).collect();
        let drawn = draw_two(one_by_one.clone(), || one.next_f64());
        while one_by_one.len() > 2 {
            one_by_one.remove((other.next_f64() * one_by_one.len() as f64) as usize);
        }
        assert_eq!(drawn, one_by_one);
        assert_eq!(
            one.next_f64(),
            other.next_f64(),
            "both draw the same number of values"
        );
    }
}

/// A search among 3,000 warm replicas examines no more of them than one among 60, whatever their report times and
/// whether some of them are in use.
#[test]
fn search_for_the_least_loaded_examines_few_of_many_replicas() {
    for (mean_backlog, busy_part) in [(0.0, 0), (0.0, 3), (0.2, 0), (0.2, 3), (0.2, 50)] {
        let examined = |count: usize| {
            let mut executors = no_executors();
            let endpoints: Vec<Endpoint> = (0..count)
                .map(|number| endpoint(number, 0, EndpointState::Ready, 1.0))
                .collect();
            executors.apply_endpoints(100.0, true, &endpoints);
            let mut replicas = WarmReplicaSet::default();
            for number in 0..count {
                let executor = ExecutorIndex::new(number);
                executors.record_backlog(executor, 0.0, 100.0 + number as f64 / 100.0);
                replicas.add(executor, 1e9);
                if busy_part > 0 && number.is_multiple_of(busy_part) {
                    let invocation = InvocationIndex::new(number);
                    executors.record_dispatch(executor, invocation, 100.0, 1.0, 2.0);
                }
            }
            let (bounds, scores) = (Cell::new(0), Cell::new(0));
            replicas.refresh(&executors);
            let bound = |load: &LoadEstimate| {
                bounds.set(bounds.get() + 1);
                score(load, 140.0, mean_backlog)
            };
            let score_of = |replica: &WarmReplica| {
                scores.set(scores.get() + 1);
                let load = executors.load_of(replica.executor);
                Some(score(&load, 140.0, mean_backlog))
            };
            assert!(replicas.min_by_score(bound, score_of).is_some());
            (bounds.get(), scores.get())
        };
        let (bounds, scores) = examined(3_000);
        let (_, scores_of_few) = examined(60);
        assert!(
            bounds <= 60,
            "{bounds} bounds computed, mean {mean_backlog}, busy {busy_part}"
        );
        assert!(
            scores <= scores_of_few.min(12),
            "{scores} scores computed, {scores_of_few} of 60, mean {mean_backlog}, busy {busy_part}"
        );
    }
}
