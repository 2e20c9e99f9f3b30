//! What all front ends together send an executor that warms up.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reference_model::{Harness, policy};

/// Seconds of a step, and their number.
const STEP: f64 = 0.05;
const STEPS: usize = 500;

/// The step at which an executor starts cold, and that at which front ends are killed and restarted.
const STARTED: usize = 300;
const KILLED: usize = 330;

/// Front ends with traffic of their own and five executors, of which the last starts cold.
struct FrontEnds {
    front_ends: usize,
    /// Invocations a second of a front end in the mean.
    rate: f64,
    /// Whether some have many times the others' traffic.
    uneven: bool,
    /// Largest difference of clocks, in seconds.
    skew: f64,
    /// Warm executors that are left once the cold one has started.
    left: usize,
    /// The fraction of front ends that are killed while the executor is cold, and forget what they sent.
    killed: f64,
    /// Factor on the traffic from then on, so that every turn is used.
    surge: f64,
    /// Seconds for which an executor is cold.
    cold: f64,
    /// Only answers from warm replicas say how much work a peer completes: with one function all but the first do.
    functions: u64,
}

const CALM: FrontEnds = FrontEnds {
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

impl FrontEnds {
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

    fn clock_offset(&self, j: usize) -> f64 {
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
        let mut all: Vec<Harness> = (0..self.front_ends)
            .map(|j| Harness::new(self.policy(j), 5))
            .collect();
        all.iter_mut()
            .enumerate()
            .for_each(|(j, harness)| harness.advance(self.clock_offset(j)));
        all.iter_mut()
            .for_each(|harness| harness.update_endpoint(4, EndpointState::Gone, f64::NEG_INFINITY));
        let started = all[0].model.now + STARTED as f64 * STEP;
        let mut cold = vec![];
        let mut to_cold = |j: usize, harness: &Harness| {
            let sent = harness
                .model
                .accepted
                .iter()
                .flat_map(|accepted| &accepted.dispatches)
                .filter(|dispatch| dispatch.executor == 4 && dispatch.sent_at >= started);
            cold.extend(sent.map(|dispatch| dispatch.sent_at - self.clock_offset(j)));
        };
        for n in 0..STEPS {
            for (j, harness) in all.iter_mut().enumerate() {
                harness.advance(STEP);
                let killed = n == KILLED
                    && ((j * 11 % self.front_ends) as f64) < self.killed * self.front_ends as f64;
                if killed {
                    to_cold(j, harness);
                    *harness = Harness::new_at(self.policy(j), 5, harness.model.now);
                }
                if n == STARTED || killed {
                    (self.left..4).for_each(|executor| {
                        harness.update_endpoint(executor, EndpointState::Gone, f64::NEG_INFINITY)
                    });
                    harness.update_endpoint(4, EndpointState::Ready, started);
                }
                let rate = self.rate(j) * if n >= STARTED { self.surge } else { 1.0 };
                let arrivals_before = |n: usize| {
                    ((n as f64 * STEP + j as f64 / self.front_ends as f64) * rate) as u64
                };
                for k in arrivals_before(n)..arrivals_before(n + 1) {
                    harness.invoke(0, k % self.functions, 0.5);
                }
                harness.finish_all_in_flight();
            }
        }
        all.iter()
            .enumerate()
            .for_each(|(j, harness)| to_cold(j, harness));
        (cold, started)
    }

    /// The most that was sent within an overload window, relative to what chance allows: the budget N, two square roots
    /// of N, and two. Also the number of dispatches to the cold executor.
    fn used(&self) -> (f64, usize) {
        let (cold, started) = self.play();
        let policy = self.policy(0);
        let used = |&from: &f64| {
            let age = from + policy.overload_window - started;
            let weight = policy.slow_start_initial_weight
                + (1.0 - policy.slow_start_initial_weight) * age / policy.slow_start_duration;
            let completed = self.front_ends as f64 * self.rate / 4.0;
            let budget = policy.overload_factor * weight * completed * policy.overload_window;
            let sum = cold
                .iter()
                .filter(|&&at| at >= from && at < from + policy.overload_window)
                .count() as f64;
            sum / (budget + 2.0 * budget.sqrt() + 2.0)
        };
        (cold.iter().map(used).fold(0.0, f64::max), cold.len())
    }
}

/// Hundreds of front ends each send a cold executor a little: however many there are, and with no warm peer left, the
/// sum stays below what their traffic to warm ones says it can take; also where clocks differ by as much as is allowed,
/// where some have many times the others' traffic, and where most are killed and forget what they sent.
#[test]
fn all_front_ends_together_do_not_overload_a_warming_executor() {
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
        let (used, count) = FrontEnds {
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

/// The same at fixed sizes, from hardly any traffic to much, with every fault at once.
#[test]
fn no_overload_from_one_to_hundreds_of_front_ends_at_any_traffic() {
    for front_ends in [1, 2, 3, 20, 30, 300, 350] {
        for (rate, uneven) in [(0.02, false), (0.3, true), (3.0, false), (3.0, true)] {
            for killed in [0.0, 0.7] {
                let (used, _) = FrontEnds {
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

/// The budget also binds a front end that is alone, and below 30 invocations, for which the stricter bound applies.
#[test]
fn no_overload_by_one_front_end_with_small_budgets() {
    for rate in [1.0, 4.0, 12.0, 30.0, 55.0] {
        for (left, surge) in [(1, 1.0), (0, 1.0), (0, 4.0)] {
            let fleet = FrontEnds {
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

/// The worst case, in which every turn of all front ends is used: two time slots fall into a window, and each gives half
/// of the budget and one square root of it.
#[test]
fn no_overload_where_every_turn_is_used() {
    // With hundreds of front ends and a small budget hardly any has its turn in both slots.
    for (front_ends, rate, surge) in [
        (20, 6.0, 4.0),
        (30, 6.0, 4.0),
        (300, 0.4, 12.0),
        (350, 0.35, 12.0),
        (350, 6.0, 4.0),
    ] {
        for uneven in [false, true] {
            let fleet = FrontEnds {
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
