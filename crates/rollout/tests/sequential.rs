//! The split of traffic, the sequential test, quantiles, and plans that can't be kept.

mod kit;

use kit::{deployment, plan, plan_text, who};
use orchidtally_rollout::Plan;
use orchidtally_rollout::evidence::QuantileEstimate;
use orchidtally_rollout::forecast::forecast;
use orchidtally_rollout::sequential::{EProcess, Events};
use orchidtally_rollout::split::{InvocationAttributes, gets_new_version, position, share};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Beside it stands the plain model: the set of keys that any step so far gave the new version.
    #[test]
    fn whoever_is_on_the_new_version_stays_there(
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
            let who = InvocationAttributes { customer, location, key };
            let mut ever = false;
            for step in 0..plan.steps.len() {
                let s = &plan.steps[step];
                let meant = (s.customers.is_empty() || customer == "trial") && (s.locations.is_empty() || location == "north");
                ever |= meant && position(run, key) < s.share;
                prop_assert_eq!(gets_new_version(&plan, run, step, &who), ever);
                prop_assert!(share(&plan, step, &who) <= 1.0);
            }
        }
    }

    /// The stakes as one number for each odds equal those played by themselves from each beginning on.
    #[test]
    fn stakes_are_what_all_beginnings_come_to(slots in proptest::collection::vec((0.01..0.99f64, 0u64..4, 0u64..4, any::<bool>()), 1..40)) {
        let mut stakes = EProcess::default();
        let mut plain: Vec<(f64, [f64; 6])> = vec![];
        for &(p, new, old, begins) in &slots {
            if begins {
                stakes.start_bet();
                let n = plain.len() as f64 + 1.0;
                plain.push((1.0 / (n * (n + 1.0)), [1.0; 6]));
            }
            stakes.record(Events { p, new, all: new + old });
            for (_, product) in &mut plain {
                for (product, odds) in product.iter_mut().zip([1.25, 1.5, 2.0, 3.0, 5.0, 10.0f64]) {
                    let bet = odds * p / (odds * p + 1.0 - p);
                    *product *= (bet / p).powi(new as i32) * ((1.0 - bet) / (1.0 - p)).powi(old as i32);
                }
            }
        }
        let played: f64 = plain.iter().map(|(w, e)| w * e.iter().sum::<f64>() / 6.0).sum();
        let expected = played + 1.0 - plain.iter().map(|(w, _)| w).sum::<f64>();
        prop_assert!((stakes.evidence() / expected - 1.0).abs() < 1e-9, "{} {}", stakes.evidence(), expected);
    }
}

#[test]
fn the_split_gives_each_step_its_share_and_each_run_another_few() {
    let plan = plan("");
    let keys: Vec<String> = (0..20_000).map(|n| format!("key-{n}")).collect();
    let on = |run, step| {
        keys.iter()
            .filter(|k| gets_new_version(&plan, run, step, &who(k)))
            .count() as f64
            / 20_000.0
    };
    assert!((on(1, 0) - 0.1).abs() < 0.01 && (on(1, 1) - 0.5).abs() < 0.015);
    assert_eq!(on(1, 2), 1.0);
    let both = keys
        .iter()
        .filter(|k| {
            gets_new_version(&plan, 1, 0, &who(k)) && gets_new_version(&plan, 2, 0, &who(k))
        })
        .count();
    assert!(
        (100..300).contains(&both),
        "{both} of 20000 are first in both runs, 200 by random"
    );
}

#[test]
fn an_expectation_that_never_grows_where_the_versions_are_alike() {
    // Exactly, over all outcomes of a few events.
    for p in [0.05, 0.3, 0.9] {
        let mut mean = 0.0;
        for outcome in 0..1u32 << 8 {
            let mut stakes = EProcess::default();
            let mut random = 1.0;
            for n in 0..8 {
                if n % 3 == 0 {
                    stakes.start_bet();
                }
                let new = outcome >> n & 1;
                random *= if new == 1 { p } else { 1.0 - p };
                stakes.record(Events {
                    p,
                    new: u64::from(new),
                    all: 1,
                });
            }
            mean += random * stakes.evidence();
        }
        assert!((mean - 1.0).abs() < 1e-9, "{mean} at a share of {p}");
    }
}

#[test]
fn a_quantile_is_tracked() {
    let mut q = QuantileEstimate::default();
    for n in 0..5_000u32 {
        q.record(0.9, f64::from(n.wrapping_mul(7_919) % 1_000));
    }
    let at = q.value().unwrap();
    assert!((820.0..980.0).contains(&at), "{at}");
}

#[test]
fn plans_that_cannot_be_kept_are_refused_with_the_reckoning() {
    let d = deployment();
    let faults = |text: &str| match Plan::read(text, &d) {
        Ok(_) => panic!("taken: {text}"),
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
    // 100 a second of 50 ms over 2 lanes filled to 0.7.
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
