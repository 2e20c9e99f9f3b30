//! The indices beside the records, each against the plain scan that it stands for, over random changes; and
//! how much of a large fleet they look at.

use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::state::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;

const EXECUTORS: usize = 130;
const LEAST_JUDGED: usize = 3;
const JUDGED_FOR: f64 = 5.0;
const REPORT_TIME: f64 = 10.0;

fn row(x: usize, zone: usize, standing: EndpointState, weight: f64) -> Endpoint {
    let address = std::net::Ipv4Addr::from(0x0a00_0000 + 7 * x as u32);
    Endpoint {
        executor: ExecutorId(address.into(), 7000),
        zone: zone as u8,
        kind: (x % 2) as u8,
        cell: (x / 5) as u16,
        state: standing,
        weight,
        started_at: f64::NEG_INFINITY,
    }
}

/// All ready executors by their ranks, as each front end has to see them.
fn ranked_by_scan(fleet: &Fleet, key: u64) -> Vec<usize> {
    let rank = |x: usize| {
        -((fleet.rendezvous_number(x, key) + 1.0) / 4_294_967_297.0).ln() / fleet.weight[x]
    };
    let mut all: Vec<usize> = fleet.all().filter(|&x| fleet.ready[x]).collect();
    all.sort_by(|&a, &b| rank(a).total_cmp(&rank(b)));
    all
}

/// A value like the one by which the module compares executors: never below that of a better load.
fn busy(load: &Load, now: f64, mean: f64) -> f64 {
    let told_at = if load.waiting > mean {
        load.earliest
    } else {
        load.latest
    };
    let fresh = (-(now - told_at) / REPORT_TIME).exp();
    let far = if load.home { 1.0 } else { 1.4 };
    far * (load.held + mean + fresh * (load.waiting - mean) + 1.0) / load.weight
}

/// Fleet and known set beside the plain records of what was done to them.
struct World {
    fleet: Fleet,
    now: f64,
    known: KnownSet,
    known_by_scan: Vec<(usize, f64)>,
    rankings: Vec<(u64, Ranking)>,
    sent: Vec<(usize, f64)>,
}

impl World {
    fn new(weights: &[f64]) -> World {
        let mut fleet = Fleet::new(0, LEAST_JUDGED, JUDGED_FOR);
        let rows: Vec<Endpoint> = (0..EXECUTORS)
            .map(|x| row(x, x % 3, EndpointState::Ready, weights[x % weights.len()]))
            .collect();
        fleet.list(100.0, true, &rows);
        let rankings = [3, 0x9e37_79b9_7f4a_7c15]
            .map(|key| (key, Ranking::default()))
            .into();
        let (known, known_by_scan, sent) = (KnownSet::default(), vec![], vec![]);
        World {
            fleet,
            now: 100.0,
            known,
            known_by_scan,
            rankings,
            sent,
        }
    }

    fn know(&mut self, x: usize) {
        let until = self.now + 4.0;
        self.known.add(x, until);
        self.known_by_scan.retain(|k| k.0 != x);
        self.known_by_scan.push((x, until));
    }

    fn forget(&mut self, forgotten: impl Fn(&(usize, f64)) -> bool) {
        self.known.retain(|k| !forgotten(&(k.x, k.until)));
        self.known_by_scan.retain(|k| !forgotten(k));
    }

    fn list(&mut self, full: bool, rows: &[Endpoint]) {
        for x in self.fleet.list(self.now, full, rows) {
            self.fleet.forget(x);
            self.forget(|k| k.0 == x);
        }
    }

    fn step(&mut self, (what, a, b, later): (u8, usize, usize, f64), weights: &[f64]) {
        let x = a % self.fleet.ids.len();
        let weight = weights[b % weights.len()];
        match what {
            0 => {
                let standing = [
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Gone,
                    EndpointState::Ready,
                ][b % 4];
                self.list(false, &[row(a % EXECUTORS, b % 3, standing, weight)]);
            }
            1 if b.is_multiple_of(8) => {
                let rows = (0..EXECUTORS).filter(|x| (x + a) % 11 != 0);
                let rows: Vec<Endpoint> = rows
                    .map(|x| row(x, x % 3, EndpointState::Ready, weight))
                    .collect();
                self.list(true, &rows);
            }
            2 | 3 => {
                self.fleet.note_sent(x, b, self.now, 1.0, 2.0);
                self.sent.push((x, self.now));
            }
            4 if !self.sent.is_empty() => {
                let (x, at) = self.sent.swap_remove(a % self.sent.len());
                let out: Vec<_> = self.fleet.out[x]
                    .iter()
                    .filter(|o| o.1 == at)
                    .copied()
                    .collect();
                out.iter()
                    .for_each(|&(i, at)| self.fleet.note_ended(x, i, at, self.now));
            }
            5 => self.fleet.note_backlog(x, (b % 4) as f64 / 2.0, self.now),
            6 => self.fleet.remember(x, self.now, 1.0, 16),
            7 => {
                self.known.remove(x);
                self.known_by_scan.retain(|k| k.0 != x);
            }
            8 if b.is_multiple_of(16) => {
                let now = self.now;
                self.forget(|k| k.1 <= now);
            }
            _ => (0..12).for_each(|n| self.know((a + 7 * n) % self.fleet.ids.len())),
        }
        self.now += later;
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        let fleet = &mut self.fleet;
        for (n, (key, ranking)) in self.rankings.iter_mut().enumerate() {
            let all = ranked_by_scan(fleet, *key);
            // Asked for ever more, so that what is kept has to grow.
            let count = (3 * n + (self.now * 10.0) as usize % 150).min(all.len());
            fleet.rank(ranking, *key, count);
            let ranked: Vec<usize> = ranking.iter().take(count).collect();
            prop_assert_eq!(&ranked[..], &all[..count]);
        }
        let ready: Vec<usize> = fleet.all().filter(|&x| fleet.ready[x]).collect();
        prop_assert_eq!(fleet.ready_count, ready.len());
        prop_assert_eq!(fleet.ready_in(DeduplicationScope::Cell, None), &ready[..]);
        for group in [
            DeduplicationScope::All,
            DeduplicationScope::Zone,
            DeduplicationScope::Cell,
        ] {
            let x = (self.now * 100.0) as usize % fleet.ids.len();
            let peers: Vec<usize> = ready
                .iter()
                .copied()
                .filter(|&y| fleet.same_group(group, y, x))
                .collect();
            prop_assert_eq!(fleet.ready_in(group, Some(x)), &peers[..]);
        }
        let out: Vec<usize> = fleet.out.iter().flatten().map(|&(i, _)| i).collect();
        prop_assert_eq!(fleet.invocations_out().collect::<Vec<_>>(), out);
        fleet.retain_judged(self.now);
        let enough =
            |&x: &usize| fleet.answers_at(x, self.now).count() + fleet.out[x].len() >= LEAST_JUDGED;
        let mut judged = fleet.judged.clone();
        judged.sort();
        prop_assert_eq!(judged, fleet.all().filter(enough).collect::<Vec<_>>());
        for x in fleet.all().filter(|&x| fleet.rests(x)) {
            prop_assert!(fleet.out[x].is_empty() && fleet.paused[x].until <= self.now);
        }
        let known: Vec<(usize, f64)> = self.known.iter().map(|k| (k.x, k.until)).collect();
        prop_assert_eq!(&known, &self.known_by_scan);
        prop_assert_eq!(self.known.len(), known.len());
        for x in self.fleet.all() {
            let holds = known.iter().any(|k| k.0 == x && k.1 > self.now);
            prop_assert_eq!(self.known.holds_after(x, self.now), holds);
        }
        self.check_least()
    }

    fn check_least(&mut self) -> Result<(), TestCaseError> {
        let (fleet, now) = (&self.fleet, self.now);
        self.known.refresh(fleet);
        for mean in [0.0, 1e-16, 0.3, 5.0] {
            // Some have no value, and some are cold, which makes them busier than their load tells.
            let value = |x: usize| {
                let warmth = if x.is_multiple_of(13) { 0.2 } else { 1.0 };
                (x % 17 != 3).then(|| busy(&fleet.load(x), now, mean) / warmth)
            };
            let by_scan = self
                .known_by_scan
                .iter()
                .filter_map(|k| Some((value(k.0)?, k.0)));
            let by_scan = by_scan.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, x)| x);
            let least = self
                .known
                .least(|load| busy(load, now, mean), |k| value(k.x));
            prop_assert_eq!(least, by_scan, "mean {}", mean);
        }
        Ok(())
    }
}

#[test]
fn each_index_tells_what_a_scan_of_all_tells_whatever_changes() {
    let config = Config {
        cases: 120,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[6; 32]));
    let step = (0u8..12, any::<usize>(), any::<usize>(), 0.0f64..0.15);
    let day = (0usize..3, prop::collection::vec(step, 1..200));
    let outcome = runner.run(&day, |(kinds, steps)| {
        let weights: &[f64] = [&[1.0][..], &[1.0, 0.5, 2.0], &[0.3]][kinds];
        let mut world = World::new(weights);
        for step in steps {
            world.step(step, weights);
            world.check()?;
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn two_are_left_as_if_the_others_were_taken_out_one_by_one() {
    for len in 0..60 {
        let (mut one, mut other) = (
            orchidtally_dispatch_policy::random::SeededRandom::new(len),
            orchidtally_dispatch_policy::random::SeededRandom::new(len),
        );
        let mut by_one: Vec<usize> = (0..len as usize).map(|x| 3 * x).collect();
        let left = leave_two(by_one.clone(), || one.unit());
        while by_one.len() > 2 {
            by_one.remove((other.unit() * by_one.len() as f64) as usize);
        }
        assert_eq!(left, by_one);
        assert_eq!(one.unit(), other.unit(), "as many numbers were drawn");
    }
}

/// A search among 3,000 known executors looks at no more of them than among 60, whether all are alike, all
/// differ in when they reported, or some are in use.
#[test]
fn a_search_looks_at_few_however_many_are_known() {
    for (mean, busy_part) in [(0.0, 0), (0.0, 3), (0.2, 0), (0.2, 3), (0.2, 50)] {
        let looked_at = |executors: usize| {
            let mut fleet = Fleet::new(0, LEAST_JUDGED, JUDGED_FOR);
            let rows: Vec<Endpoint> = (0..executors)
                .map(|x| row(x, 0, EndpointState::Ready, 1.0))
                .collect();
            fleet.list(100.0, true, &rows);
            let mut known = KnownSet::default();
            for x in 0..executors {
                fleet.note_backlog(x, 0.0, 100.0 + x as f64 / 100.0);
                known.add(x, 1e9);
                if busy_part > 0 && x.is_multiple_of(busy_part) {
                    fleet.note_sent(x, x, 100.0, 1.0, 2.0);
                }
            }
            let (bounds, values) = (Cell::new(0), Cell::new(0));
            known.refresh(&fleet);
            let bound = |load: &Load| {
                bounds.set(bounds.get() + 1);
                busy(load, 140.0, mean)
            };
            let value = |k: &Known| {
                values.set(values.get() + 1);
                Some(busy(&fleet.load(k.x), 140.0, mean))
            };
            assert!(known.least(bound, value).is_some());
            (bounds.get(), values.get())
        };
        let (bounds, values) = looked_at(3_000);
        let (_, of_few) = looked_at(60);
        assert!(
            bounds <= 60,
            "{bounds} bounds worked out, mean {mean}, busy {busy_part}"
        );
        assert!(
            values <= of_few.min(12),
            "{values} looked at, {of_few} of 60, mean {mean}, busy {busy_part}"
        );
    }
}
