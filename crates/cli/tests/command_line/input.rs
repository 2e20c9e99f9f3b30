//! Scenario and deployment files: those with faults, and those of the users' bench.

use crate::support::{file, run, text};

#[test]
fn bad_input_is_told_with_its_place_and_exit_code_2() {
    let day = file(
        "bad-day.json5",
        "{\n  length: '5s',\n  troubles: [{ kind: 'crsh', at: '1s', for: '1s' }],\n}",
    );
    let output = run(&["rehearse", day.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let told = text(&output.stderr);
    assert!(
        told.contains("bad-day.json5:3:22: troubles[0].kind: 'crsh' is none of 'crash'"),
        "{told}"
    );
    let deployment = file(
        "bad.json5",
        "{ triggerTypes: [], otherFunctions: { lanes: 1 }, executors: {} }",
    );
    for arguments in [
        ["check", deployment.to_str().unwrap(), ""],
        ["serve", "--deployment", deployment.to_str().unwrap()],
    ] {
        let arguments: Vec<&str> = arguments.into_iter().filter(|a| !a.is_empty()).collect();
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(
            text(&output.stderr).contains("bad.json5:1:"),
            "{}",
            text(&output.stderr)
        );
    }
    assert_eq!(
        run(&["check", "/nowhere/at/all.json5"]).status.code(),
        Some(2)
    );
    assert_eq!(
        run(&["rehearse", "--inject-violation", "6"]).status.code(),
        Some(2)
    );
    let example = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/deployments/harbour-cranes.json5"
    );
    assert_eq!(run(&["check", example]).status.code(), Some(0));
}

#[test]
fn a_day_of_the_bench_is_carried_over_as_far_as_it_goes() {
    let day = r#"{ "length": 5000000, "zones": ["a", "b"], "servers": [1, 2, 3, 4, 5, 6], "balancers": [1, 2],
        "traffic": { "load": 0.2 }, "classes": [],
        "troubles": [{ "kind": "crash", "at": 1000000, "len": 1000000, "size": 0.2 }, { "kind": "eclipse" }] }"#;
    let day = file("bench-day.json", day);
    let output = run(&["rehearse", "--bench-day", day.to_str().unwrap()]);
    let out = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{out}");
    assert!(
        out.contains("not carried over: the trouble 'eclipse'"),
        "{out}"
    );
    assert!(out.contains("crash"), "{out}");
    let other = file("no-day.json", "{}");
    assert_eq!(
        run(&["rehearse", "--bench-day", other.to_str().unwrap()])
            .status
            .code(),
        Some(2)
    );
}
