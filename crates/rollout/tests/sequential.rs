//! The traffic split, the sequential test, quantile estimates, and infeasible plans.

mod kit;

use kit::{attributes, deployment, plan, plan_text};
use orchidtally_rollout::Plan;
use orchidtally_rollout::evidence::QuantileEstimate;
use orchidtally_rollout::forecast::forecast;
use orchidtally_rollout::sequential::{EProcess, Events};
use orchidtally_rollout::split::{InvocationAttributes, gets_new_version, position, share};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Compares the split with a model: a key gets the new version if any step so far assigned it to that version.
    #[test]
    fn a_key_on_the_new_version_stays_on_it(
        run: u64,
        steps in proptest::collection::vec((0.001..1.0f64, any::<bool>(), any::<bool>()), 1..6),
        keys in proptest::collection::vec("[a-z]{1,8}", 1..30),
    ) {
        let mut plan = plan("");
        let step = plan.steps[0].clone();
        plan.steps = steps.iter().map(|&(share, trial, north)| orchidtally_rollout::plan::Step {
            share,
            customers: if trial { vec!["trial".into()] } else { vec![] },
            locations: if north { vec!["north".into()] } else { vec![] },
            ..step.clone()
        }).collect();
        for (n, key) in keys.iter().enumerate() {
            let customer = if n % 2 == 0 { "trial" } else { "other" };
            let location = if n % 3 == 0 { "north" } else { "south" };
            let attributes = InvocationAttributes { customer, location, key };
            let mut expected = false;
            for step in 0..plan.steps.len() {
                let s = &plan.steps[step];
                let applies = (s.customers.is_empty() || customer == "trial") && (s.locations.is_empty() || location == "north");
                expected |= applies && position(run, key) < s.share;
                prop_assert_eq!(gets_new_version(&plan, run, step, &attributes), expected);
                prop_assert!(share(&plan, step, &attributes) <= 1.0);
            }
        }
    }

    /// Compares the wealth, kept as one number for each factor of the odds, with bets that are tracked separately for
    /// each start time.
    #[test]
    fn the_wealth_equals_the_sum_over_all_start_times(slots in proptest::collection::vec((0.01..0.99f64, 0u64..4, 0u64..4, any::<bool>()), 1..40)) {
        let mut process = EProcess::default();
        let mut bets: Vec<(f64, [f64; 6])> = vec![];
        for &(p, new, old, starts_bet) in &slots {
            if starts_bet {
                process.start_bet();
                let n = bets.len() as f64 + 1.0;
                bets.push((1.0 / (n * (n + 1.0)), [1.0; 6]));
            }
            process.record(Events { p, new, all: new + old });
            for (_, product) in &mut bets {
                for (product, odds) in product.iter_mut().zip([1.25, 1.5, 2.0, 3.0, 5.0, 10.0f64]) {
                    let bet = odds * p / (odds * p + 1.0 - p);
                    *product *= (bet / p).powi(new as i32) * ((1.0 - bet) / (1.0 - p)).powi(old as i32);
                }
            }
        }
        let wealth: f64 = bets.iter().map(|(w, e)| w * e.iter().sum::<f64>() / 6.0).sum();
        let expected = wealth + 1.0 - bets.iter().map(|(w, _)| w).sum::<f64>();
        prop_assert!((process.evidence() / expected - 1.0).abs() < 1e-9, "{} {}", process.evidence(), expected);
    }
}

#[test]
fn the_split_gives_each_step_its_share_and_each_run_other_keys() {
    let plan = plan("");
    let keys: Vec<String> = (0..20_000).map(|n| format!("key-{n}")).collect();
    let on = |run, step| {
        keys.iter()
            .filter(|k| gets_new_version(&plan, run, step, &attributes(k)))
            .count() as f64
            / 20_000.0
    };
    assert!((on(1, 0) - 0.1).abs() < 0.01 && (on(1, 1) - 0.5).abs() < 0.015);
    assert_eq!(on(1, 2), 1.0);
    let both = keys
        .iter()
        .filter(|k| {
            gets_new_version(&plan, 1, 0, &attributes(k))
                && gets_new_version(&plan, 2, 0, &attributes(k))
        })
        .count();
    assert!(
        (100..300).contains(&both),
        "{both} of 20000 keys get the new version first in both runs, 200 are expected"
    );
}

#[test]
fn the_expected_wealth_does_not_grow_under_the_null_hypothesis() {
    // The exact expectation over all outcomes of 8 events.
    for p in [0.05, 0.3, 0.9] {
        let mut mean = 0.0;
        for outcome in 0..1u32 << 8 {
            let mut process = EProcess::default();
            let mut random = 1.0;
            for n in 0..8 {
                if n % 3 == 0 {
                    process.start_bet();
                }
                let new = outcome >> n & 1;
                random *= if new == 1 { p } else { 1.0 - p };
                process.record(Events {
                    p,
                    new: u64::from(new),
                    all: 1,
                });
            }
            mean += random * process.evidence();
        }
        assert!((mean - 1.0).abs() < 1e-9, "{mean} at a share of {p}");
    }
}

#[test]
fn a_quantile_is_estimated() {
    let mut q = QuantileEstimate::default();
    for n in 0..5_000u32 {
        q.record(0.9, f64::from(n.wrapping_mul(7_919) % 1_000));
    }
    let at = q.value().unwrap();
    assert!((820.0..980.0).contains(&at), "{at}");
}

#[test]
fn infeasible_plans_are_rejected_with_their_figures() {
    let d = deployment();
    let faults = |text: &str| match Plan::read(text, &d) {
        Ok(_) => panic!("accepted: {text}"),
        Err(faults) => faults
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("\n"),
    };
    let fast = faults(&plan_text("").replace("loadsPerSecond: 0.5", "loadsPerSecond: 5"));
    assert!(
        fast.contains("loadsPerSecond: 5 a second exceeds the load budget")
            && fast.contains("0.80 a second in all"),
        "{fast}"
    );
    let rare = plan_text("rate: 0.01,")
        .replace("leastEvidence: 50 }", "leastEvidence: 50, longest: '1h' }");
    let rare = faults(&rare);
    assert!(
        rare.contains("50 answers at 0.001 a second take 50000 s"),
        "{rare}"
    );
    let wrong = faults(
        "{ name: 'a b', function: 'mist', to: 'stable', key: 'colour', stepz: 1,
           steps: [{ share: 0.5, customers: ['nobody'] }, { share: 0.2 }], gates: { errors: { action: 'of' } } }",
    );
    for part in [
        "1:9: name: 1 to 64 of",
        "to: 'stable' and 'stable' are the same version",
        "key: 'colour' is none of",
        "stepz: unknown key, is 'steps' meant?",
        "no customer 'nobody'",
        "the last step has to be a share of 1",
        "gates.errors.action: 'of' is none of",
    ] {
        assert!(wrong.contains(part), "{part} is not in:\n{wrong}");
    }
    let steps = forecast(&plan("rate: 100,"), &d);
    // 100 invocations a second of 50 ms, on replicas with 2 lanes and a planned utilization of 0.7.
    assert_eq!(
        steps.iter().map(|s| s.replicas).collect::<Vec<_>>(),
        [1, 2, 4]
    );
    assert_eq!(
        steps.iter().map(|s| s.load_commands).collect::<Vec<_>>(),
        [4, 4, 8]
    );
    assert_eq!(steps[2].load_duration, 16.0);
}
