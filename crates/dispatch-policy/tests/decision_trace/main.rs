//! Decision traces: seeded simulations that exercise the whole interface of the dispatch policy, each reduced to a
//! digest of every action and the bits of its time. A refactoring must not change any digest. A change of a decision
//! changes digests, and its commit says which and why.
//!
//! To print the digests of the current code: `cargo test --test decision_trace -- --nocapture`.

mod fleet;
mod random;
mod recorder;
mod scenarios;
mod simulation;

use scenarios::SCENARIOS;

/// The digest of each scenario, in the order of `SCENARIOS`.
const DIGESTS: [u64; SCENARIOS.len()] = [
    0xf8aa_6a30_88f9_7842, // steady traffic
    0xe474_4386_daee_1640, // faults of every kind
    0x2c47_b2e5_5cb2_cd21, // hanging executors
    0x979e_4bee_3f26_0b58, // hedging
    0xcfc2_450f_b046_57a7, // no cancellation
    0xde5e_38e5_aaca_8f9a, // quotas and billed value
    0xc5f6_8f67_9984_f2a4, // overload
    0x9b28_82e4_9a3c_2cf5, // endpoints join, drain and leave
    0x3ec1_1693_2a5f_58c3, // full lists, failed lists, subscriptions
    0x85fd_7498_f5c1_ceb1, // prewarming
    0x768f_4922_9292_d4b1, // scarce load commands
    0x5122_44ea_b978_a49b, // expensive load commands, misses
    0x4452_47bb_0594_ea5f, // no load commands
    0x2ccf_eaa0_360a_f4ed, // membership
    0xe3ac_3e03_c11f_1c1c, // stalls and a stale view
    0x04be_a9c7_a419_cd75, // revalidation before sending
    0x8448_5aad_f588_b649, // client cancellations, streamed responses
    0x1d3f_12f7_9c71_578c, // shutdown
    0xe91d_7e27_ba85_cf99, // regions
    0x1ea7_e78b_fb71_0039, // reconfiguration
    0x6480_a668_abdd_4980, // load reports in a large fleet
    0xe8f9_9bb3_3b6b_ca0a, // all features combined
];

#[test]
fn scenario_digests_are_unchanged() {
    let results: Vec<_> = SCENARIOS
        .iter()
        .map(|scenario| (scenario.name, simulation::run(scenario)))
        .collect();
    for (name, summary) in &results {
        println!("    {:#018x}, // {name}: {summary:?}", summary.digest);
    }
    for ((name, summary), expected) in results.iter().zip(DIGESTS) {
        assert_eq!(summary.digest, expected, "{name}: {summary:?}");
    }
}

#[test]
fn scenarios_cover_every_kind_of_action() {
    let mut counts = recorder::ActionCounts::default();
    let mut succeeded = 0;
    for scenario in &SCENARIOS {
        let summary = simulation::run(scenario);
        counts.add(&summary.counts);
        succeeded += summary.succeeded;
    }
    assert!(succeeded > 10_000, "{succeeded} invocations succeeded");
    assert!(counts.dispatches > 10_000, "{counts:?}");
    assert!(counts.cancels > 50, "{counts:?}");
    assert!(counts.rejections > 100, "{counts:?}");
    assert!(counts.errors > 100, "{counts:?}");
    assert!(counts.load_commands > 100, "{counts:?}");
    assert!(counts.timers > 1_000, "{counts:?}");
    assert!(counts.subscriptions > 10, "{counts:?}");
}
