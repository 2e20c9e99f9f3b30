//! The total load that all front ends together send to a warming executor.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reference_model::{Harness, policy};

/// Duration of a simulation step in seconds, and the number of steps.
const STEP: f64 = 0.05;
const STEPS: usize = 500;

/// The step at which an executor starts cold, and the one at which front ends are killed and restarted.
const COLD_START_STEP: usize = 300;
const KILL_STEP: usize = 330;

/// A fleet of front ends and five executors, of which the last starts cold.
struct FleetScenario {
    front_ends: usize,
    /// Mean rate of invocations per second of a front end.
    rate: f64,
    /// Whether some front ends have many times the traffic of others.
    uneven: bool,
    /// Largest difference between the front ends' clocks, in seconds.
    skew: f64,
    /// Number of warm executors that remain once the cold one has started.
    remaining: usize,
    /// Fraction of the front ends that are killed while the executor is cold, and so lose the record of what they sent.
    killed: f64,
    /// Factor on the traffic from the cold start on. With enough traffic every turn is used.
    surge: f64,
    /// Slow-start duration in seconds.
    cold_duration: f64,
    /// Number of functions. Only results from warm replicas count as completed work of a peer; with one function these
    /// are all but the first.
    functions: u64,
}

const BASE: FleetScenario = FleetScenario {
    front_ends: 2,
    rate: 3.0,
    uneven: false,
    skew: 0.0,
    remaining: 1,
    killed: 0.0,
    surge: 1.0,
    cold_duration: 10.0,
    functions: 7,
};

impl FleetScenario {
    fn policy(&self, j: usize) -> PolicyConfig {
        let (front_ends, index) = (self.front_ends as f64, j as f64);
        PolicyConfig {
            front_ends,
            front_end_index: index,
            max_clock_skew: self.skew,
            slow_start_duration: self.cold_duration,
            allows_load_commands: false,
            ..policy()
        }
    }

    fn clock_offset(&self, j: usize) -> f64 {
        self.skew * (j * 7 % self.front_ends) as f64 / self.front_ends as f64
    }

    fn rate(&self, j: usize) -> f64 {
        let share = |j: usize| {
            if self.uneven {
                1.0 / (1.0 + (j * 13 % self.front_ends) as f64)
            } else {
                1.0
            }
        };
        let all: f64 = (0..self.front_ends).map(share).sum();
        self.rate * self.front_ends as f64 * share(j) / all
    }

    /// Runs the simulation. Returns the times of the dispatches to the cold executor, corrected for clock offsets, and
    /// the time at which it started.
    fn run(&self) -> (Vec<f64>, f64) {
        let mut all: Vec<Harness> = (0..self.front_ends)
            .map(|j| Harness::new(self.policy(j), 5))
            .collect();
        all.iter_mut()
            .enumerate()
            .for_each(|(j, harness)| harness.advance(self.clock_offset(j)));
        all.iter_mut()
            .for_each(|harness| harness.update_endpoint(4, EndpointState::Gone, f64::NEG_INFINITY));
        let started = all[0].model.now + COLD_START_STEP as f64 * STEP;
        let mut dispatch_times = vec![];
        let mut collect = |j: usize, harness: &Harness| {
            let sent = harness
                .model
                .accepted
                .iter()
                .flat_map(|accepted| &accepted.dispatches)
                .filter(|dispatch| dispatch.executor == 4 && dispatch.sent_at >= started);
            dispatch_times.extend(sent.map(|dispatch| dispatch.sent_at - self.clock_offset(j)));
        };
        for n in 0..STEPS {
            for (j, harness) in all.iter_mut().enumerate() {
                harness.advance(STEP);
                let killed = n == KILL_STEP
                    && ((j * 11 % self.front_ends) as f64) < self.killed * self.front_ends as f64;
                if killed {
                    collect(j, harness);
                    *harness = Harness::new_at(self.policy(j), 5, harness.model.now);
                }
                if n == COLD_START_STEP || killed {
                    (self.remaining..4).for_each(|executor| {
                        harness.update_endpoint(executor, EndpointState::Gone, f64::NEG_INFINITY)
                    });
                    harness.update_endpoint(4, EndpointState::Ready, started);
                }
                let rate = self.rate(j)
                    * if n >= COLD_START_STEP {
                        self.surge
                    } else {
                        1.0
                    };
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
            .for_each(|(j, harness)| collect(j, harness));
        (dispatch_times, started)
    }

    /// Runs the simulation. Returns the largest number of dispatches to the cold executor within an overload window,
    /// relative to the bound N + 2 sqrt(N) + 2, which allows for random variation around the budget N. Returns also the
    /// total number of dispatches to that executor.
    fn peak_load_ratio(&self) -> (f64, usize) {
        let (dispatch_times, started) = self.run();
        let policy = self.policy(0);
        let ratio_in_window = |&from: &f64| {
            let age = from + policy.overload_window - started;
            let weight = policy.slow_start_initial_weight
                + (1.0 - policy.slow_start_initial_weight) * age / policy.slow_start_duration;
            let completed = self.front_ends as f64 * self.rate / 4.0;
            let budget = policy.overload_factor * weight * completed * policy.overload_window;
            let sum = dispatch_times
                .iter()
                .filter(|&&at| at >= from && at < from + policy.overload_window)
                .count() as f64;
            sum / (budget + 2.0 * budget.sqrt() + 2.0)
        };
        (
            dispatch_times
                .iter()
                .map(ratio_in_window)
                .fold(0.0, f64::max),
            dispatch_times.len(),
        )
    }
}

/// Hundreds of front ends may each send a little to a cold executor. For any number of front ends, and even if no warm
/// executor is left, the sum has to stay below the capacity that is inferred from the traffic to warm executors. This
/// also holds with the largest allowed clock skew, with uneven traffic, and if most front ends are killed and lose the
/// record of what they sent.
#[test]
fn all_front_ends_together_do_not_overload_a_warming_executor() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]));
    let strategy = (
        2usize..=350,
        2.0f64..6.0,
        0usize..4,
        0usize..3,
        any::<bool>(),
        0usize..3,
    );
    let outcome = runner.run(
        &strategy,
        |(front_ends, rate, remaining, skew, uneven, killed)| {
            let (skew, killed) = (skew as f64 / 2.0, [0.0, 0.7, 1.0][killed]);
            let (ratio, count) = FleetScenario {
                front_ends,
                rate,
                uneven,
                skew,
                remaining,
                killed,
                ..BASE
            }
            .peak_load_ratio();
            prop_assert!(
                ratio <= 1.0,
                "{ratio} of the bound within {} s",
                policy().overload_window
            );
            prop_assert!(remaining > 0 || count > 0, "the only executor left is used");
            Ok(())
        },
    );
    outcome.unwrap();
}

/// The same at fixed fleet sizes, from very low to high traffic, with clock skew and killed front ends combined.
#[test]
fn no_overload_from_one_to_hundreds_of_front_ends_at_any_traffic() {
    for front_ends in [1, 2, 3, 20, 30, 300, 350] {
        for (rate, uneven) in [(0.02, false), (0.3, true), (3.0, false), (3.0, true)] {
            for killed in [0.0, 0.7] {
                let (ratio, _) = FleetScenario {
                    front_ends,
                    rate,
                    uneven,
                    skew: 0.5,
                    killed,
                    ..BASE
                }
                .peak_load_ratio();
                assert!(
                    ratio <= 1.0,
                    "{ratio} of the bound: {front_ends} front ends, {rate}/s, uneven: {uneven}, killed: {killed}"
                );
            }
        }
    }
}

/// The budget also limits a single front end, and budgets below 30 invocations, to which the stricter bound applies.
#[test]
fn no_overload_by_one_front_end_with_small_budgets() {
    for rate in [1.0, 4.0, 12.0, 30.0, 55.0] {
        for (remaining, surge) in [(1, 1.0), (0, 1.0), (0, 4.0)] {
            let fleet = FleetScenario {
                front_ends: 1,
                rate,
                remaining,
                surge,
                functions: 1,
                ..BASE
            };
            let largest_budget = 2.0 * rate / 4.0 * policy().overload_window;
            assert!(largest_budget < 30.0);
            let (ratio, count) = fleet.peak_load_ratio();
            assert!(
                ratio <= 1.0,
                "{ratio} of the bound at {rate} per second, {remaining} warm executors, surge {surge}"
            );
            assert!(remaining > 0 || count > 0, "the only executor left is used");
        }
    }
}

/// The worst case: all front ends use all their turns. Two time slots overlap a window, and each of them grants half of
/// the budget plus one square root of it.
#[test]
fn no_overload_where_every_turn_is_used() {
    // With hundreds of front ends and a small budget, hardly any front end has a turn in both slots.
    for (front_ends, rate, surge) in [
        (20, 6.0, 4.0),
        (30, 6.0, 4.0),
        (300, 0.4, 12.0),
        (350, 0.35, 12.0),
        (350, 6.0, 4.0),
    ] {
        for uneven in [false, true] {
            let fleet = FleetScenario {
                front_ends,
                rate,
                uneven,
                remaining: 0,
                surge,
                cold_duration: 120.0,
                functions: 1,
                ..BASE
            };
            let (ratio, _) = fleet.peak_load_ratio();
            assert!(
                ratio <= 1.0,
                "{ratio} of the bound at {front_ends} front ends, {rate} per second, uneven: {uneven}"
            );
            assert!(
                uneven || ratio > 0.6,
                "{ratio} of the bound at {front_ends} front ends: turns were not used"
            );
        }
    }
}
