//! Days with faults drawn by seed, alone and together: a few real front ends, signals in series, clients that go on using
//! their connections until the kill. A short run by default; for a long one, by hand:
//!
//! ```text
//! SOAK_SEEDS=60 cargo test --release -p orchidtally-cli --test platform_soak -- --nocapture
//! ```
//!
//! `SOAK_FIRST` is the first seed. Each seed has a line; the last one counts the rules checked and broken.

mod day;
mod soak_faults;

use day::*;
use orchidtally_invariants::Verdict;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use soak_faults::{FRONT_ENDS, Fault, Wrong, draw, inflict};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

const SECONDS: f64 = 7.0;

/// Short deadlines: of the settings, and of the clients.
const SHORT: f64 = 0.3;

/// The share of invocations that are withdrawn.
const LEAVING: f64 = 0.1;

/// Days that are played at a time.
const AT_A_TIME: usize = 4;

const SHORT_RUN: u64 = 12;

/// What a day came to.
struct Played {
    seed: u64,
    verdict: Verdict,
    faults: Vec<Fault>,
    wrong: Vec<String>,
}

impl Played {
    fn is_sound(&self) -> bool {
        self.verdict.holds() && self.wrong.is_empty()
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
            if self.is_sound() { "" } else { "  BAD" }
        )
    }
}

fn play_seed(seed: u64) -> Played {
    let mut random = SmallRng::seed_from_u64(seed);
    let day = Day::new(&format!("soak-{seed}"), FRONT_ENDS, seed);
    if random.random_bool(0.3) {
        day.allow.set(SHORT);
        day.deadline.set(SHORT);
    }
    day.leaving.set(LEAVING);
    // Before the first list, which tells the links' addresses.
    day.link();
    let percent = if random.random_bool(0.3) {
        random.random_range(1..8)
    } else {
        0
    };
    let step = *[0.0, 0.0, 3_600.0, -3_600.0, 5.0, -5.0]
        .choose(&mut random)
        .expect("there are some");
    day.shim(&[
        ("FAULT_PERCENT", format!("{percent}")),
        ("FAULT_SEED", format!("{seed}")),
        ("FAULT_WALL", format!("2,{step}")),
    ]);
    let (wrong, mut faults) = (Wrong::default(), vec![]);
    let all = async {
        for j in 0..FRONT_ENDS {
            day.start(j).await;
        }
        let script = async {
            let mut under_way = vec![];
            while day.stage.now() < SECONDS - 1.0 {
                day.stage.sleep(random.random_range(0.15..0.9)).await;
                let fault = draw(&mut random);
                faults.push(fault);
                under_way.push(day.stage.spawn(inflict(day.clone(), fault, wrong.clone())));
            }
            for fault in under_way {
                fault.await;
            }
        };
        futures_lite::future::zip(day.traffic(SECONDS), script).await;
    };
    async_io::block_on(day.stage.tasks.run(all));
    for process in day.processes.borrow_mut().iter_mut().flatten() {
        if let Some(status) = process.try_wait().unwrap() {
            wrong
                .borrow_mut()
                .push(format!("a front end ended by itself: {status}"));
        }
    }
    let wrong = wrong.borrow().clone();
    Played {
        seed,
        verdict: day.verdict(),
        faults,
        wrong,
    }
}

fn number(key: &str, otherwise: u64) -> u64 {
    std::env::var(key)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(otherwise)
}

#[test]
fn days_with_faults_drawn_by_seed_keep_the_rules() {
    let (first, count) = (number("SOAK_FIRST", 1), number("SOAK_SEEDS", SHORT_RUN));
    let (next, played) = (AtomicU64::new(first), Mutex::new(vec![]));
    std::thread::scope(|scope| {
        for _ in 0..AT_A_TIME {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    let day = play_seed(seed);
                    println!("{}", day.line());
                    let breaches = day.verdict.rules.iter().flat_map(|r| &r.examples);
                    breaches
                        .chain(&day.wrong)
                        .for_each(|what| println!("    {what}"));
                    if !day.is_sound() {
                        println!("    faults: {:?}", day.faults);
                    }
                    let broken = day.verdict.rules.iter().map(|r| r.violations).sum::<u64>();
                    let checked = day.verdict.rules.iter().map(|r| r.checked).sum::<u64>();
                    played
                        .lock()
                        .unwrap()
                        .push((seed, broken, checked, day.is_sound()));
                }
            });
        }
    });
    let mut played = played.into_inner().unwrap();
    played.sort_unstable();
    let (broken, checked): (u64, u64) = played
        .iter()
        .fold((0, 0), |sum, p| (sum.0 + p.1, sum.1 + p.2));
    let bad: Vec<u64> = played.iter().filter(|p| !p.3).map(|p| p.0).collect();
    let worst = played
        .iter()
        .max_by_key(|p| p.1)
        .filter(|p| p.1 > 0)
        .map(|p| p.0);
    println!(
        "{} seeds: {checked} checks, {broken} broken, bad seeds {bad:?}, worst {worst:?}",
        played.len()
    );
    assert!(checked > 500 * count, "too little was checked: {checked}");
    assert!(bad.is_empty(), "seeds {bad:?}");
}
