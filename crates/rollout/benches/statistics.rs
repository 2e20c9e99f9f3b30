//! Simulates, on fixed seeds, how often a harmless rollout is rolled back and how soon a worse version is, and compares
//! the sequential test with a fixed-sample test and a plain threshold. Prints a table, and writes a chart if a
//! directory is given.
//!
//! `cargo bench -p orchidtally-rollout --bench statistics [-- DIRECTORY]`

use orchidtally_deployment::Deployment;
use orchidtally_rollout::evidence::{Counts, Slot, StratumKey};
use orchidtally_rollout::plan::{GATES, Gate, Plan};
use orchidtally_rollout::sequential::SequentialTests;
use plotters::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Binomial, Distribution};

/// Invocations a second, split over two trigger types and two locations.
const RATE: u64 = 100;
const ERRORS: f64 = 0.02;
const SHARES: [f64; 3] = [0.05, 0.2, 0.5];
const STEP_DURATION: usize = 60;
const HARMLESS_RUNS: usize = 10_000;
const WORSE_RUNS: usize = 500;
const DURATION: usize = 3 * STEP_DURATION;

/// The probabilities of a version: of errors, and of answers slower than the old version's 0.9 and 0.99 quantiles.
#[derive(Clone, Copy)]
struct Version {
    errors: f64,
    slow: f64,
    tail: f64,
}

const GOOD: Version = Version {
    errors: ERRORS,
    slow: 0.1,
    tail: 0.01,
};

fn sample_binomial(rng: &mut SmallRng, n: u64, p: f64) -> u64 {
    if n == 0 {
        0
    } else {
        Binomial::new(n, p).map_or(0, |b| b.sample(rng))
    }
}

fn counts(rng: &mut SmallRng, n: u64, v: Version) -> Counts {
    let errors = sample_binomial(rng, n, v.errors);
    let warm = n - errors;
    let slow = sample_binomial(rng, warm, v.slow);
    let tail = sample_binomial(rng, slow, v.tail / v.slow);
    let mut c = Counts {
        answers: n,
        warm,
        ..Counts::default()
    };
    c.events[Gate::Errors.index()] = errors;
    c.events[Gate::Slow.index()] = slow;
    c.events[Gate::SlowTail.index()] = tail;
    c
}

/// Simulates one second of traffic. `error_factor` multiplies the error rates of both versions.
fn second(rng: &mut SmallRng, share: f64, new: Version, error_factor: f64) -> Vec<Slot> {
    let with = |v: Version| Version {
        errors: (v.errors * error_factor).min(0.9),
        ..v
    };
    let mut slots = vec![];
    for trigger_type in 0..2 {
        for location in 0..2 {
            let n = RATE / 4;
            let on_new = sample_binomial(rng, n, share);
            let (old, new) = (
                counts(rng, n - on_new, with(GOOD)),
                counts(rng, on_new, with(new)),
            );
            slots.push(Slot {
                stratum: StratumKey {
                    trigger_type,
                    customer: 0,
                    location,
                },
                share,
                old,
                new,
            });
        }
    }
    slots
}

/// Seconds until each method rolls back, and the invocations of the new version by then; `None` if it never does.
#[derive(Clone, Copy, Default)]
struct Detections {
    sequential: Option<(usize, u64)>,
    fixed: Option<(usize, u64)>,
    threshold: Option<(usize, u64)>,
}

fn z_of(a: (u64, u64), b: (u64, u64)) -> f64 {
    let (n, m) = (a.1 as f64, b.1 as f64);
    if n < 1.0 || m < 1.0 {
        return 0.0;
    }
    let (p, q) = (a.0 as f64 / n, b.0 as f64 / m);
    let both = (a.0 + b.0) as f64 / (n + m);
    let spread = (both * (1.0 - both) * (1.0 / n + 1.0 / m)).sqrt();
    if spread > 0.0 { (q - p) / spread } else { 0.0 }
}

/// Simulates one rollout. The fixed-sample test evaluates once, at the end of each step, with its part of the same
/// false positive rate. The plain threshold rolls back as soon as the new version has 20 answers and 1.5 times the old
/// version's rate of errors or slow answers.
fn rollout(plan: &Plan, seed: u64, new: Version, both_degrade: bool) -> Detections {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut tests, mut detections) = (SequentialTests::default(), Detections::default());
    let (mut exposed, mut whole) = (0, [Counts::default(); 2]);
    // One-sided, a false positive rate of 0.005 over three steps and three gates: 0.00056 for each.
    const Z: f64 = 3.26;
    for t in 0..DURATION {
        let share = SHARES[t / STEP_DURATION];
        let error_factor = if both_degrade && (t / 20) % 3 == 1 {
            10.0
        } else {
            1.0
        };
        let slots = second(&mut rng, share, new, error_factor);
        let mut step = [Counts::default(); 2];
        for s in &slots {
            step[0].add(&s.old);
            step[1].add(&s.new);
        }
        exposed += step[1].answers;
        if t % STEP_DURATION == 0 {
            whole = [Counts::default(); 2];
        }
        whole.iter_mut().zip(&step).for_each(|(w, s)| w.add(s));
        tests.record(plan, t as f64, &slots);
        let failed = plan
            .gates
            .iter()
            .any(|h| h.rolls_back && tests.evidence(h.gate) >= plan.threshold());
        if failed && detections.sequential.is_none() {
            detections.sequential = Some((t + 1, exposed));
        }
        let of = |c: &Counts, g: Gate| (c.events[g.index()], c.sample_count(g));
        let tested_gates = [Gate::Errors, Gate::Slow, Gate::SlowTail];
        if t % STEP_DURATION == STEP_DURATION - 1 && detections.fixed.is_none() {
            let worse = tested_gates
                .iter()
                .any(|&g| z_of(of(&whole[0], g), of(&whole[1], g)) > Z);
            detections.fixed = worse.then_some((t + 1, exposed));
        }
        if detections.threshold.is_none() && whole[1].answers >= 20 {
            let event_rate = |c: &Counts, g| of(c, g).0 as f64 / of(c, g).1.max(1) as f64;
            let worse = tested_gates[..2]
                .iter()
                .any(|&g| event_rate(&whole[1], g) > 1.5 * event_rate(&whole[0], g));
            detections.threshold = worse.then_some((t + 1, exposed));
        }
        if detections.sequential.is_some()
            && detections.fixed.is_some()
            && detections.threshold.is_some()
        {
            break;
        }
    }
    detections
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    sorted
        .get((sorted.len() as f64 * q) as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

type Method = (&'static str, fn(&Detections) -> Option<(usize, u64)>);

fn main() {
    let (old, new) = ("1".repeat(64), "2".repeat(64));
    let deployment = format!(
        "{{ triggerTypes: [{{ name: 'look', effect: 'idempotent', objective: '1s', timeout: '3s' }}], functions: [{{ \
         name: 'f', versions: [{{ digest: 'sha256:{old}' }}, {{ digest: 'sha256:{new}' }}], aliases: {{ stable: \
         'sha256:{old}', next: 'sha256:{new}' }} }}], executors: {{ list: [{{ address: '127.0.0.1:7001' }}] }} }}"
    );
    let deployment = Deployment::parse(&deployment).unwrap_or_else(|f| panic!("{f:?}"));
    let plan =
        "{ name: 'r', function: 'f', to: 'next', loadsPerSecond: 0.1, steps: [{ share: 1 }] }";
    let plan = Plan::read(plan, &deployment).unwrap_or_else(|f| panic!("{f:?}"));
    assert_eq!(plan.gates.len(), GATES.len());
    let methods: [Method; 3] = [
        ("sequential", |f| f.sequential),
        ("fixed sample", |f| f.fixed),
        ("threshold", |f| f.threshold),
    ];
    let slower = Version {
        slow: 0.27,
        tail: 0.05,
        ..GOOD
    };
    let scenarios: [(&str, Version, bool, usize); 5] = [
        ("harmless", GOOD, false, HARMLESS_RUNS),
        ("harmless, both degraded", GOOD, true, HARMLESS_RUNS),
        (
            "twice the errors",
            Version {
                errors: 2.0 * ERRORS,
                ..GOOD
            },
            false,
            WORSE_RUNS,
        ),
        (
            "five times the errors",
            Version {
                errors: 5.0 * ERRORS,
                ..GOOD
            },
            false,
            WORSE_RUNS,
        ),
        ("0.9 quantile 1.5 times slower", slower, false, WORSE_RUNS),
    ];
    println!(
        "{RATE} invocations a second, steps of {STEP_DURATION} s at {SHARES:?}, evaluated every second; errors {ERRORS}"
    );
    println!(
        "scenario                       method       rolled back  median s  0.9 s  median exposed"
    );
    let mut curves = vec![];
    for (n, (scenario, version, both_degrade, rollouts)) in scenarios.into_iter().enumerate() {
        let detections: Vec<Detections> = (0..rollouts)
            .map(|r| rollout(&plan, (n * HARMLESS_RUNS + r) as u64, version, both_degrade))
            .collect();
        for (name, method) in methods {
            let hits: Vec<(usize, u64)> = detections.iter().filter_map(method).collect();
            let mut times: Vec<f64> = hits.iter().map(|h| h.0 as f64).collect();
            let mut exposed: Vec<f64> = hits.iter().map(|h| h.1 as f64).collect();
            times.sort_by(f64::total_cmp);
            exposed.sort_by(f64::total_cmp);
            println!(
                "{scenario:<30} {name:<13} {:>9.2} % {:>9.0} {:>6.0} {:>14.0}",
                100.0 * hits.len() as f64 / rollouts as f64,
                quantile(&times, 0.5),
                quantile(&times, 0.9),
                quantile(&exposed, 0.5)
            );
            if name == "sequential" && version.errors == ERRORS && version.slow == GOOD.slow {
                assert!(hits.len() * 100 < rollouts, "false positives over 1 %");
            }
            curves.push((scenario, name, rollouts, times));
        }
    }
    if let Some(directory) = std::env::args().nth(1).filter(|a| !a.starts_with("--")) {
        chart(&format!("{directory}/rollout-detection.svg"), &curves)
            .unwrap_or_else(|e| panic!("{e}"));
    }
}

type Curve = (&'static str, &'static str, usize, Vec<f64>);

/// Draws the fraction of rollouts that are rolled back by each second, for twice the errors.
fn chart(path: &str, curves: &[Curve]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (800, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..DURATION as f64, 0.0..100.0)?;
    chart
        .configure_mesh()
        .x_desc("s since the first step")
        .y_desc("% rolled back, twice the errors")
        .draw()?;
    let colours = [RED, BLUE, BLACK];
    let selected = curves.iter().filter(|c| c.0 == "twice the errors");
    for (colour, (_, name, rollouts, times)) in colours.into_iter().zip(selected) {
        let points = (0..=DURATION).map(|t| {
            let by = times.iter().filter(|&&at| at <= t as f64).count();
            (t as f64, 100.0 * by as f64 / *rollouts as f64)
        });
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
