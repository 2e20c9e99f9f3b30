//! Cold executors, and what all front ends together send them.

mod plain;

use orchidtally_dispatch_policy::interface::*;
use plain::{World, policy};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const STEP: f64 = 0.05;
const STEPS: usize = 500;
/// The step at which an executor has started cold, and that at which front ends are killed and start anew.
const STARTED: usize = 300;
const KILLED: usize = 330;

/// A fleet of front ends with traffic of their own and five executors, of which the last starts cold.
struct Fleet {
    front_ends: usize,
    /// Invocations a second in the mean; some have many times the others'.
    rate: f64,
    uneven: bool,
    /// How far clocks differ at the most.
    skew: f64,
    /// Warm executors that are left once the cold one has started.
    left: usize,
    /// The part of them that is killed while the executor is cold, and forgets what it sent.
    killed: f64,
    /// How many times the traffic there is from then on, so that every turn is met.
    surge: f64,
    /// How long an executor is cold.
    cold: f64,
    /// Answers on a loaded copy alone tell what a fellow carries: with one function all but the first do.
    functions: u64,
}

const CALM: Fleet = Fleet {
    front_ends: 2,
    rate: 3.0,
    uneven: false,
    skew: 0.0,
    left: 1,
    killed: 0.0,
    surge: 1.0,
    cold: 10.0,
    functions: 7,
};

impl Fleet {
    fn policy(&self, j: usize) -> PolicyConfig {
        let (front_ends, index) = (self.front_ends as f64, j as f64);
        PolicyConfig {
            front_ends,
            front_end_index: index,
            max_clock_skew: self.skew,
            slow_start_duration: self.cold,
            allows_load_commands: false,
            ..policy()
        }
    }

    fn ahead(&self, j: usize) -> f64 {
        self.skew * (j * 7 % self.front_ends) as f64 / self.front_ends as f64
    }

    fn rate(&self, j: usize) -> f64 {
        let part = |j: usize| {
            if self.uneven {
                1.0 / (1.0 + (j * 13 % self.front_ends) as f64)
            } else {
                1.0
            }
        };
        let all: f64 = (0..self.front_ends).map(part).sum();
        self.rate * self.front_ends as f64 * part(j) / all
    }

    /// When dispatches went to the cold executor, in the same clock, and when it started.
    fn play(&self) -> (Vec<f64>, f64) {
        let mut all: Vec<World> = (0..self.front_ends)
            .map(|j| World::new(self.policy(j), 5))
            .collect();
        all.iter_mut()
            .enumerate()
            .for_each(|(j, w)| w.pass(self.ahead(j)));
        all.iter_mut()
            .for_each(|w| w.roster(4, EndpointState::Gone, f64::NEG_INFINITY));
        let started = all[0].plain.now + STARTED as f64 * STEP;
        let mut cold = vec![];
        let mut to_cold = |j: usize, w: &World| {
            let sent = w
                .plain
                .taken
                .iter()
                .flat_map(|t| &t.sent)
                .filter(|s| s.x == 4 && s.at >= started);
            cold.extend(sent.map(|s| s.at - self.ahead(j)));
        };
        for n in 0..STEPS {
            for (j, w) in all.iter_mut().enumerate() {
                w.pass(STEP);
                let killed = n == KILLED
                    && ((j * 11 % self.front_ends) as f64) < self.killed * self.front_ends as f64;
                if killed {
                    to_cold(j, w);
                    *w = World::new_at(self.policy(j), 5, w.plain.now);
                }
                if n == STARTED || killed {
                    (self.left..4)
                        .for_each(|x| w.roster(x, EndpointState::Gone, f64::NEG_INFINITY));
                    w.roster(4, EndpointState::Ready, started);
                }
                let rate = self.rate(j) * if n >= STARTED { self.surge } else { 1.0 };
                let turn = |n: usize| {
                    ((n as f64 * STEP + j as f64 / self.front_ends as f64) * rate) as u64
                };
                for k in turn(n)..turn(n + 1) {
                    w.invoke(0, k % self.functions, 0.5);
                }
                for inv in 0..w.plain.taken.len() {
                    if let Some(n) = w.plain.taken[inv]
                        .sent
                        .iter()
                        .position(|s| s.ending.is_none())
                    {
                        w.end(inv as u32, n, DispatchStatus::Ok);
                    }
                }
            }
        }
        all.iter().enumerate().for_each(|(j, w)| to_cold(j, w));
        (cold, started)
    }

    /// The most that was sent within the span in which it could be pushed over, of what may be put down to chance
    /// there: its budget N, two roots of that, and two.
    fn used(&self) -> (f64, usize) {
        let (cold, started) = self.play();
        let policy = self.policy(0);
        let used = |&from: &f64| {
            let age = from + policy.overload_window - started;
            let warmth = policy.slow_start_initial_weight
                + (1.0 - policy.slow_start_initial_weight) * age / policy.slow_start_duration;
            let carried = self.front_ends as f64 * self.rate / 4.0;
            let budget = policy.overload_factor * warmth * carried * policy.overload_window;
            let sum = cold
                .iter()
                .filter(|&&at| at >= from && at < from + policy.overload_window)
                .count() as f64;
            sum / (budget + 2.0 * budget.sqrt() + 2.0)
        };
        (cold.iter().map(used).fold(0.0, f64::max), cold.len())
    }
}

/// Guards against hundreds of front ends that each send a cold executor a little: however many there are, and
/// with no warm fellow left, the sum stays under what their traffic to warm ones says it can bear, also where
/// their clocks differ by as much as the terms allow, where some see many times the others' traffic, and where
/// most are killed and forget what they sent.
#[test]
fn all_front_ends_together_push_no_cold_executor_over() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]));
    let some = (
        2usize..=350,
        2.0f64..6.0,
        0usize..4,
        0usize..3,
        any::<bool>(),
        0usize..3,
    );
    let outcome = runner.run(&some, |(front_ends, rate, left, skew, uneven, killed)| {
        let (skew, killed) = (skew as f64 / 2.0, [0.0, 0.7, 1.0][killed]);
        let (used, count) = Fleet {
            front_ends,
            rate,
            uneven,
            skew,
            left,
            killed,
            ..CALM
        }
        .used();
        prop_assert!(
            used <= 1.0,
            "{used} of what it may get within {} s",
            policy().overload_window
        );
        prop_assert!(left > 0 || count > 0, "the only one left is used");
        Ok(())
    });
    outcome.unwrap();
}

/// The same at the sizes that count, from hardly any traffic to much, with every trouble at once.
#[test]
fn from_one_to_hundreds_of_front_ends_and_from_little_traffic_to_much_none_is_pushed_over() {
    for front_ends in [1, 2, 3, 20, 30, 300, 350] {
        for (rate, uneven) in [(0.02, false), (0.3, true), (3.0, false), (3.0, true)] {
            for killed in [0.0, 0.7] {
                let (used, _) = Fleet {
                    front_ends,
                    rate,
                    uneven,
                    skew: 0.5,
                    killed,
                    ..CALM
                }
                .used();
                assert!(
                    used <= 1.0,
                    "{used} at {front_ends} front ends, {rate} a second, {uneven}, {killed} killed"
                );
            }
        }
    }
}

/// The budget binds on a front end that is alone too, also where it is under 30 calls; what is judged by here is the
/// stricter of the bounds for such.
#[test]
fn one_front_end_alone_pushes_none_over_with_small_budgets() {
    for rate in [1.0, 4.0, 12.0, 30.0, 55.0] {
        for (left, surge) in [(1, 1.0), (0, 1.0), (0, 4.0)] {
            let fleet = Fleet {
                front_ends: 1,
                rate,
                left,
                surge,
                functions: 1,
                ..CALM
            };
            let largest_budget = 2.0 * rate / 4.0 * policy().overload_window;
            assert!(largest_budget < 30.0);
            let (used, count) = fleet.used();
            assert!(
                used <= 1.0,
                "{used} of its budget at {rate} a second, {left} others, surge {surge}"
            );
            assert!(left > 0 || count > 0, "the only one left is used");
        }
    }
}

/// The worst case, in which every turn that all of them have is met: two time slots fall into a span, and each
/// gives half of the budget and one root of it.
#[test]
fn where_every_turn_is_met_no_more_than_two_roots_over_the_budget_are_sent() {
    // With hundreds of front ends and a small budget hardly any has its turn in both slots.
    for (front_ends, rate, surge) in [
        (20, 6.0, 4.0),
        (30, 6.0, 4.0),
        (300, 0.4, 12.0),
        (350, 0.35, 12.0),
        (350, 6.0, 4.0),
    ] {
        for uneven in [false, true] {
            let fleet = Fleet {
                front_ends,
                rate,
                uneven,
                left: 0,
                surge,
                cold: 120.0,
                functions: 1,
                ..CALM
            };
            let (used, _) = fleet.used();
            assert!(
                used <= 1.0,
                "{used} at {front_ends} front ends, {rate} a second, uneven: {uneven}"
            );
            assert!(
                uneven || used > 0.6,
                "{used} at {front_ends} front ends: turns were not met"
            );
        }
    }
}

/// A front end that was killed has forgotten what it sent: it sits out the span that is under way.
#[test]
fn one_that_started_anew_sends_a_cold_executor_nothing_within_the_span() {
    let mut w = World::new(
        PolicyConfig {
            allows_load_commands: false,
            front_ends: 1.0,
            ..policy()
        },
        1,
    );
    w.roster(0, EndpointState::Ready, w.plain.now - 5.0);
    w.invoke(0, 1, 5.0);
    w.pass(1.0);
    assert_eq!(w.sent_to(0), 0);
    w.pass(0.1);
    w.invoke(0, 1, 5.0);
    assert_eq!(w.sent_to(0), 1, "the span is over");
}

/// Guards against front ends that see each other come and go late: one that can't know by how many to share
/// sends a cold executor nothing, and goes on once it can.
#[test]
fn a_front_end_that_cannot_know_its_part_leaves_cold_executors_alone() {
    let to_cold = |shares: bool| {
        let mut w = World::new(
            PolicyConfig {
                allows_load_commands: false,
                ..policy()
            },
            2,
        );
        let began = w.plain.now;
        let living = MembershipView {
            front_ends: 3.0,
            slot_count: 4.0,
            front_end_index: 1.0,
            has_budget_share: shares,
        };
        w.dispatcher
            .on_membership_change(w.plain.now, living, &mut w.plain);
        w.roster(0, EndpointState::Gone, f64::NEG_INFINITY);
        w.roster(1, EndpointState::Ready, w.plain.now);
        for n in 0..100 {
            w.invoke(0, n % 3, 0.5);
            w.pass(0.1);
        }
        w.plain
            .taken
            .iter()
            .flat_map(|t| &t.sent)
            .filter(|s| s.at < began + 10.0)
            .count()
    };
    assert_eq!(to_cold(false), 0);
    assert!(to_cold(true) > 0);
}
