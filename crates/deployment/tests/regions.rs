//! The `regions` section.

use orchidtally_deployment::{Deployment, restart_needed};

const EXAMPLE: &str = include_str!("../../../examples/deployments/ferry-lines.json5");

fn with_section(section: &str) -> String {
    let base = r#"{
  triggerTypes: [{ name: "a", effect: "idempotent", objective: "1s", timeout: "1s" }],
  otherFunctions: {},
  locations: ["east", "west", "south"],
  location: "west",
  executors: { list: [{ address: "127.0.0.1:1" }] },
"#;
    format!("{base}{section}\n}}")
}

fn faults(section: &str) -> Vec<String> {
    let faults = Deployment::parse(&with_section(section)).expect_err(section);
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn the_example_is_valid() {
    let deployment = Deployment::parse(EXAMPLE).expect("the example is valid");
    assert_eq!(deployment.locations, ["east-port", "west-port", "island"]);
    assert_eq!(deployment.policy.zone_regions, [Some(0), Some(0), Some(1)]);
    assert_eq!(deployment.policy.zone, 2);
}

#[test]
fn the_section_is_optional() {
    let deployment = Deployment::parse(&with_section("")).expect("valid");
    assert!(deployment.policy.zone_regions.is_empty());
}

#[test]
fn locations_are_found_by_their_names() {
    let section = r#"regions: [{ name: "r", locations: ["south"] }, { name: "s", locations: ["west", "east"] }],"#;
    let deployment = Deployment::parse(&with_section(section)).expect("valid");
    assert_eq!(deployment.policy.zone_regions, [Some(1), Some(1), Some(0)]);
}

#[test]
fn all_faults_are_reported_with_their_place_and_a_remedy() {
    let reported = faults(
        r#"  regions: [
    { name: "coast", locations: ["east", "nowhere"] },
    { name: "coast", locations: ["west", "east"] },
    { name: "inland", locations: [], zone: 3 },
  ],"#,
    );
    let expected = [
        "7:12: regions: location 'south' is in no region; name it under one of them",
        "8:42: regions[0].locations[1]: 'nowhere' is none of 'east', 'west', 'south'",
        "9:13: regions[1].name: there are two regions 'coast'",
        "9:42: regions[1].locations[1]: is in region 'coast' already; a location belongs to one region",
        "10:34: regions[2].locations: at least one location is wanted",
        "10:38: regions[2].zone: unknown key",
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
fn an_empty_section_is_a_fault() {
    let expected = "7:10: regions: at least one region is wanted; leave 'regions' out to place functions anywhere";
    assert_eq!(faults("regions: [],"), [expected]);
}

#[test]
fn a_change_takes_effect_at_a_restart() {
    let one = with_section(r#"regions: [{ name: "r", locations: ["east", "west", "south"] }],"#);
    let reported: Vec<String> = restart_needed(&with_section(""), &one)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert!(
        reported.len() == 1 && reported[0].starts_with("7:10: regions: has changed"),
        "{reported:?}"
    );
}
