//! Soak test with random faults drawn by seed, one at a time and overlapping: a few front end processes, series of
//! signals, crowds of misbehaving clients, and clients that keep using their connections until the process is killed. The default run is short. A long
//! run:
//!
//! ```text
//! SOAK_SEEDS=60 cargo test --release -p orchidtally-cli --test platform_soak -- --nocapture
//! ```
//!
//! `SOAK_FIRST` is the first seed. The test prints a line for each seed, and at the end the number of checks and of
//! broken rules.

mod crowd;
mod kit;
mod scenario;
mod soak_faults;

use crowd::peak_memory;
use orchidtally_invariants::Verdict;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use scenario::*;
use soak_faults::{FRONT_ENDS, Fault, Problems, apply, draw};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Duration of a scenario's traffic, in seconds.
const SECONDS: f64 = 7.0;

/// A short client timeout, for the settings and for the clients, in seconds.
const SHORT_TIMEOUT: f64 = 0.3;

/// The share of invocations that their clients cancel.
const CANCELLED_SHARE: f64 = 0.1;

/// Scenarios that run at the same time.
const CONCURRENT_SCENARIOS: usize = 4;

/// Seeds of the default run.
const DEFAULT_SEEDS: u64 = 12;

/// The result of a seed.
struct SeedResult {
    seed: u64,
    verdict: Verdict,
    faults: Vec<Fault>,
    problems: Vec<String>,
}

impl SeedResult {
    fn has_passed(&self) -> bool {
        self.verdict.holds() && self.problems.is_empty()
    }

    fn line(&self) -> String {
        let v = &self.verdict;
        let broken: Vec<String> = v
            .rules
            .iter()
            .map(|r| format!("{}/{}", r.violations, r.checked))
            .collect();
        format!(
            "seed {}: {} faults, {} invocations, {} succeeded, {} throttled, {} errored, {} withdrawn; rules broken/checked {}{}",
            self.seed,
            self.faults.len(),
            v.invocations,
            v.succeeded,
            v.rejected,
            v.failed,
            v.cancelled_by_client,
            broken.join(" "),
            if self.has_passed() { "" } else { "  BAD" }
        )
    }
}

fn run_seed(seed: u64) -> SeedResult {
    let mut random = SmallRng::seed_from_u64(seed);
    let fleet = Fleet::new(&format!("soak-{seed}"), FRONT_ENDS, seed);
    if random.random_bool(0.3) {
        fleet.time_allowed.set(SHORT_TIMEOUT);
        fleet.client_timeout.set(SHORT_TIMEOUT);
    }
    fleet.cancelled_share.set(CANCELLED_SHARE);
    // Before the first endpoint list, which contains the proxies' addresses.
    fleet.link();
    let percent = if random.random_bool(0.3) {
        random.random_range(1..8)
    } else {
        0
    };
    let step = *[0.0, 0.0, 3_600.0, -3_600.0, 5.0, -5.0]
        .choose(&mut random)
        .expect("the list is not empty");
    fleet.preload_fault_shim(&[
        ("FAULT_PERCENT", format!("{percent}")),
        ("FAULT_SEED", format!("{seed}")),
        ("FAULT_WALL", format!("2,{step}")),
    ]);
    let (problems, mut faults) = (Problems::default(), vec![]);
    let all = async {
        for j in 0..FRONT_ENDS {
            fleet.start(j).await;
        }
        let script = async {
            let mut running_faults = vec![];
            while fleet.environment.now() < SECONDS - 1.0 {
                fleet
                    .environment
                    .sleep(random.random_range(0.15..0.9))
                    .await;
                let fault = draw(&mut random);
                faults.push(fault);
                running_faults.push(fleet.environment.spawn(apply(
                    fleet.clone(),
                    fault,
                    problems.clone(),
                )));
            }
            for fault in running_faults {
                fault.await;
            }
        };
        futures_lite::future::zip(fleet.run_traffic(SECONDS), script).await;
    };
    async_io::block_on(fleet.environment.tasks.run(all));
    for process in fleet.processes.borrow_mut().iter_mut().flatten() {
        let peak = peak_memory(process.id());
        if peak > MEMORY_MB << 20 {
            problems.borrow_mut().push(format!(
                "a front end held {peak} bytes, the limit is {MEMORY_MB} MiB"
            ));
        }
        if let Some(status) = process.try_wait().unwrap() {
            problems
                .borrow_mut()
                .push(format!("a front end exited unexpectedly: {status}"));
        }
    }
    let problems = problems.borrow().clone();
    SeedResult {
        seed,
        verdict: fleet.verdict(),
        faults,
        problems,
    }
}

fn env_number(key: &str, default: u64) -> u64 {
    std::env::var(key)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn random_faults_drawn_by_seed_break_no_rule() {
    let (first, count) = (
        env_number("SOAK_FIRST", 1),
        env_number("SOAK_SEEDS", DEFAULT_SEEDS),
    );
    let (next_seed, results) = (AtomicU64::new(first), Mutex::new(vec![]));
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_SCENARIOS {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    let result = run_seed(seed);
                    println!("{}", result.line());
                    let violations = result.verdict.rules.iter().flat_map(|r| &r.examples);
                    violations
                        .chain(&result.problems)
                        .for_each(|failure| println!("    {failure}"));
                    if !result.has_passed() {
                        println!("    faults: {:?}", result.faults);
                    }
                    let broken = result
                        .verdict
                        .rules
                        .iter()
                        .map(|r| r.violations)
                        .sum::<u64>();
                    let checked = result.verdict.rules.iter().map(|r| r.checked).sum::<u64>();
                    results
                        .lock()
                        .unwrap()
                        .push((seed, broken, checked, result.has_passed()));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap();
    results.sort_unstable();
    let (broken, checked): (u64, u64) = results
        .iter()
        .fold((0, 0), |sum, p| (sum.0 + p.1, sum.1 + p.2));
    let bad: Vec<u64> = results.iter().filter(|p| !p.3).map(|p| p.0).collect();
    let worst = results
        .iter()
        .max_by_key(|p| p.1)
        .filter(|p| p.1 > 0)
        .map(|p| p.0);
    println!(
        "{} seeds: {checked} checks, {broken} broken, bad seeds {bad:?}, worst {worst:?}",
        results.len()
    );
    assert!(checked > 500 * count, "too few checks: {checked}");
    assert!(bad.is_empty(), "seeds {bad:?}");
}
