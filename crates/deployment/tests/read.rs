//! Valid deployment files, and the faults of invalid ones.

use orchidtally_deployment::{Deployment, EndpointSource, function_key};
use orchidtally_dispatch_policy::interface::{DeduplicationScope, Idempotency};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const EXAMPLES: [&str; 3] = [
    include_str!("../../../examples/deployments/one-machine.json5"),
    include_str!("../../../examples/deployments/harbour-cranes.json5"),
    include_str!("../../../examples/deployments/print-shop.json5"),
];

#[test]
fn the_examples_are_valid() {
    let [one, cranes, print] =
        EXAMPLES.map(|text| Deployment::parse(text).expect("an example is valid"));
    let EndpointSource::Listed(rows) = &one.endpoint_source else {
        panic!("the executors are listed in the file")
    };
    assert!(rows[0].executor.0.is_ipv4() && rows[1].executor.0.is_ipv6());
    assert_eq!(
        one.function("any").unwrap().versions[0].key,
        function_key("any")
    );
    assert_eq!(
        (cranes.policy.front_ends, cranes.policy.polls_endpoints),
        (6.0, true)
    );
    let plan = &cranes.policy.trigger_types[cranes.trigger_type("berth-plan").unwrap()];
    assert_eq!(
        (
            plan.idempotency,
            plan.deduplication_scope,
            plan.deduplication_window
        ),
        (Idempotency::Keyed, DeduplicationScope::Cell, 6.0)
    );
    assert!(cranes.function("unlisted").is_none());
    assert_eq!(
        cranes.function("hook-find").unwrap().versions[0].memory,
        1.2e9
    );
    assert_eq!(
        (print.policy.quotas.as_slice(), print.policy.front_end_index),
        ([80.0, 40.0, 15.0].as_slice(), 1.0)
    );
    assert!(
        print.trigger_types[0].streams_responses
            && print.policy.rejects_unloaded
            && print.policy.allows_hedging
    );
}

#[test]
fn all_faults_are_reported_in_one_pass_with_their_place() {
    let text = r#"{
  listen: "nowhere",
  triggerTypes: [
    { name: "a", effect: "twice", objective: "2s", timeout: "1s" },
    { name: "b", effect: "tokened", group: "cell", window: "5", objective: 3, timeout: "1s" },
    { name: "c", effect: "idempotent", window: "1s", objective: "1s", timeout: "1s" },
  ],
  functions: [{ name: "f", lanes: 0 }, { name: "f" }, { nam: "g" }],
  frontEnds: { count: 2, index: 2 },
  executors: {
    allowedNetworks: ["10.0.0.0/8", "10.0.0.0/99"],
    list: [{ address: "127.0.0.1:1", cell: 1 }, { address: "10.0.0.1:1" }, { address: "10.0.0.1:1", cell: 7.5 }],
  },
  safty: {},
  limits: { bodyBytes: "1 parsec", cancel: "yes" },
}"#;
    let faults = Deployment::parse(text).expect_err("the text has faults");
    let reported: Vec<String> = faults.iter().map(|f| f.to_string()).collect();
    let expected = [
        "2:11: listen: 'nowhere' is not an address and port",
        "4:26: triggerTypes[0].effect: 'twice' is none of 'idempotent', 'tokened', 'nonIdempotent'",
        "4:46: triggerTypes[0].objective: 2 s is over the client timeout of 1 s",
        "5:60: triggerTypes[1].window: '5' is not a time",
        "5:76: triggerTypes[1].objective: a time such as '250ms', '1.5s', '2m' is wanted, not a number",
        "6:48: triggerTypes[2].window: only a tokened trigger type has one",
        "8:35: functions[0].lanes: 0 is out of range, 1 to 100000 is wanted",
        "8:40: functions[1]: there are two functions 'f'",
        "8:55: functions[2].name: is missing",
        "8:57: functions[2].nam: unknown key, is 'name' meant?",
        "9:33: frontEnds.index: 2 is not an index of 2 front ends",
        "11:37: executors.allowedNetworks[1]: '10.0.0.0/99' is not a network",
        "12:23: executors.list[0].address: 127.0.0.1:1 is in none of the allowed networks",
        "12:87: executors.list[2].address: 10.0.0.1:1 is listed twice",
        "14:3: safty: unknown key, is 'safety' meant?",
        "15:24: limits.bodyBytes: '1 parsec' is not a size",
        "15:44: limits.cancel: true or false is wanted, not a text",
    ];
    for fault in expected {
        assert!(
            reported.iter().any(|t| t.starts_with(fault)),
            "'{fault}' is missing from {reported:#?}"
        );
    }
    assert!(
        reported.iter().all(|t| !t.contains("unnamed")),
        "{reported:#?}"
    );
}

#[test]
fn a_deduplication_location_without_executors_is_a_fault() {
    let text = EXAMPLES[0]
        .replace(
            "effect: \"idempotent\"",
            "effect: \"tokened\", group: \"location\", window: \"5s\"",
        )
        .replace(
            "name: \"one-machine\"",
            "name: \"x\", locations: [\"here\", \"there\"]",
        );
    let faults = Deployment::parse(&text).expect_err("a location has no executor");
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert!(
        faults[0].message.contains("no executor is in 'there'"),
        "{faults:?}"
    );
}

#[test]
fn any_text_is_parsed_or_has_faults_within_its_lines() {
    let config = Config {
        cases: 600,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[1; 32]));
    // An example with a part moved to another place.
    let cut = (
        0usize..3,
        any::<prop::sample::Index>(),
        any::<prop::sample::Index>(),
        0usize..40,
    );
    let outcome = runner.run(&cut, |(which, from, to, length)| {
        let mut text: Vec<char> = EXAMPLES[which].chars().collect();
        let from = from.index(text.len());
        let part: Vec<char> = text
            .splice(from..(from + length).min(text.len()), [])
            .collect();
        let to = to.index(text.len());
        text.splice(to..to, part);
        let text: String = text.into_iter().collect();
        if let Err(faults) = Deployment::parse(&text) {
            prop_assert!(!faults.is_empty());
            let lines = text.lines().count() + 1;
            prop_assert!(
                faults
                    .iter()
                    .all(|f| (1..=lines).contains(&f.line) && f.column >= 1)
            );
        }
        Ok(())
    });
    outcome.unwrap();
}
