//! The `configuration` section.

use orchidtally_deployment::{Deployment, UnsyncedBehavior};
use std::path::PathBuf;

const EXAMPLE: &str = include_str!("../../../examples/deployments/ferry-lines.json5");

fn with_section(section: &str) -> String {
    let base = r#"{
  triggerTypes: [{ name: "a", effect: "idempotent", objective: "1s", timeout: "1s" }],
  otherFunctions: {},
  frontEnds: { count: 2 },
  executors: { list: [{ address: "127.0.0.1:1" }] },
"#;
    format!("{base}  configuration: {section},\n}}")
}

fn faults(section: &str) -> Vec<String> {
    let faults = Deployment::parse(&with_section(section)).expect_err(section);
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn the_example_has_the_section_and_a_file_without_it_has_no_store() {
    let deployment = Deployment::parse(EXAMPLE).expect("the example is valid");
    let read = deployment.configuration.expect("the section is given");
    assert_eq!(
        (read.endpoints.len(), read.prefix.as_str()),
        (5, "ferry-lines/config/")
    );
    assert_eq!(
        read.snapshot(2),
        PathBuf::from("/var/lib/orchidtally/config-2.snapshot")
    );
    assert_eq!(
        (
            read.freshness,
            read.max_revocation_delay,
            read.proof_interval
        ),
        (15.0, 18.0, 3.0)
    );
    assert_eq!(
        (read.bytes_per_second, read.burst, read.lease_ttl),
        (9_000.0, 2_500.0, 10.0)
    );
    assert_eq!(read.unsynced_behavior, UnsyncedBehavior::Refuse);
    let without = include_str!("../../../examples/deployments/one-machine.json5");
    assert!(
        Deployment::parse(without)
            .expect("valid")
            .configuration
            .is_none()
    );
}

#[test]
fn all_faults_are_reported_with_their_place_and_a_remedy() {
    let reported = faults(
        r#"{
    store: { endpoints: ["nowhere"], prefix: "config", member: 3 },
    snapshot: "one-for-all", freshness: "5s", inForceWithin: "5500ms", proveEvery: "2s",
    bytesPerSecond: 9000, withoutView: "guess",
  }"#,
    );
    let expected = [
        "7:26: configuration.store.endpoints[0]: 'nowhere' is not an address and port",
        "7:46: configuration.store.prefix: has to end with '/'",
        "7:56: configuration.store.member: unknown key",
        "8:15: configuration.snapshot: there are several front ends; the path has to contain '{index}'",
        "8:41: configuration.freshness: 5 s is not 1 s below 'inForceWithin' of 5.5 s; lower it, or raise that",
        "8:84: configuration.proveEvery: 3 proofs every 2 s don't fit into 'freshness' of 5 s; ask more often",
        "9:21: configuration.bytesPerSecond: a size such as '64KiB', '1.5GB' is wanted, not a number",
        "9:40: configuration.withoutView: 'guess' is none of 'refuse', 'serve'",
    ];
    for fault in expected {
        assert!(
            reported.iter().any(|t| t.starts_with(fault)),
            "'{fault}' is missing from {reported:#?}"
        );
    }
    assert_eq!(reported.len(), expected.len(), "{reported:#?}");
}

#[test]
fn the_store_and_the_snapshot_are_required() {
    let reported = faults("{}");
    assert!(
        reported
            .iter()
            .any(|t| t.contains("configuration.store: is missing")),
        "{reported:#?}"
    );
    assert!(
        reported
            .iter()
            .any(|t| t.contains("configuration.snapshot: is missing")),
        "{reported:#?}"
    );
    let reported = faults(r#"{ store: { endpoints: [] }, snapshot: "{index}" }"#);
    assert!(
        reported
            .iter()
            .any(|t| t.contains("configuration.store.endpoints: at least one is wanted")),
        "{reported:#?}"
    );
}
