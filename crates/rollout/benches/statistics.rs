//! How often a harmless rollout is taken back, and how soon a worse version is, by simulation on fixed seeds: the
//! sequential test against a test of a fixed sample and a plain threshold. Writes a table, and a chart where a
//! folder is named.
//!
//! `cargo bench -p orchidtally-rollout --bench statistics [-- FOLDER]`

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
const STEP: usize = 60;
const HARMLESS: usize = 10_000;
const WORSE: usize = 500;
const LONGEST: usize = 3 * STEP;

/// What a world is like in a second: chances of errors and of answers slower than the old 0.9 and 0.99 quantile.
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

fn drawn(rng: &mut SmallRng, n: u64, p: f64) -> u64 {
    if n == 0 {
        0
    } else {
        Binomial::new(n, p).map_or(0, |b| b.sample(rng))
    }
}

fn counts(rng: &mut SmallRng, n: u64, v: Version) -> Counts {
    let errors = drawn(rng, n, v.errors);
    let warm = n - errors;
    let slow = drawn(rng, warm, v.slow);
    let tail = drawn(rng, slow, v.tail / v.slow);
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

/// One second of traffic. `trouble` multiplies the errors of both versions.
fn second(rng: &mut SmallRng, share: f64, new: Version, trouble: f64) -> Vec<Slot> {
    let with = |v: Version| Version {
        errors: (v.errors * trouble).min(0.9),
        ..v
    };
    let mut slots = vec![];
    for trigger_type in 0..2 {
        for location in 0..2 {
            let n = RATE / 4;
            let on_new = drawn(rng, n, share);
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

/// Seconds until each way takes back, and invocations of the new version by then; `None` if it never does.
#[derive(Clone, Copy, Default)]
struct Found {
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

/// One rollout. The fixed test looks once, at the end of each step, with its part of the same false alarms; the
/// plain threshold takes back as soon as the new version has had 20 answers and 1.5 times the old one's errors or
/// slow answers.
fn rollout(plan: &Plan, seed: u64, new: Version, troubled: bool) -> Found {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut tests, mut found) = (SequentialTests::default(), Found::default());
    let (mut harmed, mut whole) = (0, [Counts::default(); 2]);
    // One side at 0.005 over three steps and three gates: 0.00056 each.
    const Z: f64 = 3.26;
    for t in 0..LONGEST {
        let share = SHARES[t / STEP];
        let trouble = if troubled && (t / 20) % 3 == 1 {
            10.0
        } else {
            1.0
        };
        let slots = second(&mut rng, share, new, trouble);
        let mut step = [Counts::default(); 2];
        for s in &slots {
            step[0].add(&s.old);
            step[1].add(&s.new);
        }
        harmed += step[1].answers;
        if t % STEP == 0 {
            whole = [Counts::default(); 2];
        }
        whole.iter_mut().zip(&step).for_each(|(w, s)| w.add(s));
        tests.record(plan, t as f64, &slots);
        let failed = plan
            .gates
            .iter()
            .any(|h| h.rolls_back && tests.evidence(h.gate) >= plan.threshold());
        if failed && found.sequential.is_none() {
            found.sequential = Some((t + 1, harmed));
        }
        let of = |c: &Counts, g: Gate| (c.events[g.index()], c.sample_count(g));
        let judged = [Gate::Errors, Gate::Slow, Gate::SlowTail];
        if t % STEP == STEP - 1 && found.fixed.is_none() {
            let worse = judged
                .iter()
                .any(|&g| z_of(of(&whole[0], g), of(&whole[1], g)) > Z);
            found.fixed = worse.then_some((t + 1, harmed));
        }
        if found.threshold.is_none() && whole[1].answers >= 20 {
            let part = |c: &Counts, g| of(c, g).0 as f64 / of(c, g).1.max(1) as f64;
            let worse = judged[..2]
                .iter()
                .any(|&g| part(&whole[1], g) > 1.5 * part(&whole[0], g));
            found.threshold = worse.then_some((t + 1, harmed));
        }
        if found.sequential.is_some() && found.fixed.is_some() && found.threshold.is_some() {
            break;
        }
    }
    found
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    sorted
        .get((sorted.len() as f64 * q) as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

type Way = (&'static str, fn(&Found) -> Option<(usize, u64)>);

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
    let ways: [Way; 3] = [
        ("sequential", |f| f.sequential),
        ("fixed sample", |f| f.fixed),
        ("threshold", |f| f.threshold),
    ];
    let slower = Version {
        slow: 0.27,
        tail: 0.05,
        ..GOOD
    };
    let worlds: [(&str, Version, bool, usize); 5] = [
        ("harmless", GOOD, false, HARMLESS),
        ("harmless, both in trouble", GOOD, true, HARMLESS),
        (
            "twice the errors",
            Version {
                errors: 2.0 * ERRORS,
                ..GOOD
            },
            false,
            WORSE,
        ),
        (
            "five times the errors",
            Version {
                errors: 5.0 * ERRORS,
                ..GOOD
            },
            false,
            WORSE,
        ),
        ("0.9 quantile 1.5 times slower", slower, false, WORSE),
    ];
    println!(
        "{RATE} invocations a second, steps of {STEP} s at {SHARES:?}, looks at every second; errors {ERRORS}"
    );
    println!(
        "world                          way            taken back  median s  0.9 s  median harmed"
    );
    let mut curves = vec![];
    for (n, (world, version, troubled, rollouts)) in worlds.into_iter().enumerate() {
        let found: Vec<Found> = (0..rollouts)
            .map(|r| rollout(&plan, (n * HARMLESS + r) as u64, version, troubled))
            .collect();
        for (name, way) in ways {
            let hits: Vec<(usize, u64)> = found.iter().filter_map(way).collect();
            let mut times: Vec<f64> = hits.iter().map(|h| h.0 as f64).collect();
            let mut harmed: Vec<f64> = hits.iter().map(|h| h.1 as f64).collect();
            times.sort_by(f64::total_cmp);
            harmed.sort_by(f64::total_cmp);
            println!(
                "{world:<30} {name:<13} {:>9.2} % {:>9.0} {:>6.0} {:>14.0}",
                100.0 * hits.len() as f64 / rollouts as f64,
                quantile(&times, 0.5),
                quantile(&times, 0.9),
                quantile(&harmed, 0.5)
            );
            if name == "sequential" && version.errors == ERRORS && version.slow == GOOD.slow {
                assert!(hits.len() * 100 < rollouts, "false alarms over 1 %");
            }
            curves.push((world, name, rollouts, times));
        }
    }
    if let Some(folder) = std::env::args().nth(1).filter(|a| !a.starts_with("--")) {
        chart(&format!("{folder}/rollout-detection.svg"), &curves)
            .unwrap_or_else(|e| panic!("{e}"));
    }
}

type Curve = (&'static str, &'static str, usize, Vec<f64>);

/// The part of rollouts taken back by each second, where errors are twice as many.
fn chart(path: &str, curves: &[Curve]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (800, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..LONGEST as f64, 0.0..100.0)?;
    chart
        .configure_mesh()
        .x_desc("s since the first step")
        .y_desc("% taken back, twice the errors")
        .draw()?;
    let colours = [RED, BLUE, BLACK];
    let meant = curves.iter().filter(|c| c.0 == "twice the errors");
    for (colour, (_, name, rollouts, times)) in colours.into_iter().zip(meant) {
        let points = (0..=LONGEST).map(|t| {
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
