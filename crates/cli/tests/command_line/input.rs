//! Scenario and deployment files: invalid ones, and scenarios of the users' bench.

use crate::support::{run, text, write_file};

#[test]
fn invalid_input_is_reported_with_its_position_and_exit_code_2() {
    let scenario = write_file(
        "bad-day.json5",
        "{\n  length: '5s',\n  troubles: [{ kind: 'crsh', at: '1s', for: '1s' }],\n}",
    );
    let output = run(&["rehearse", scenario.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = text(&output.stderr);
    assert!(
        stderr.contains("bad-day.json5:3:22: troubles[0].kind: 'crsh' is none of 'crash'"),
        "{stderr}"
    );
    let deployment = write_file(
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
fn a_scenario_of_the_bench_is_imported_as_far_as_supported() {
    let scenario = r#"{ "length": 5000000, "zones": ["a", "b"], "servers": [1, 2, 3, 4, 5, 6], "balancers": [1, 2],
        "traffic": { "load": 0.2 }, "classes": [],
        "troubles": [{ "kind": "crash", "at": 1000000, "len": 1000000, "size": 0.2 }, { "kind": "eclipse" }] }"#;
    let scenario = write_file("bench-day.json", scenario);
    let output = run(&["rehearse", "--bench-day", scenario.to_str().unwrap()]);
    let stdout = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{stdout}");
    assert!(
        stdout.contains("not carried over: the trouble 'eclipse'"),
        "{stdout}"
    );
    assert!(stdout.contains("crash"), "{stdout}");
    let not_a_scenario = write_file("no-day.json", "{}");
    assert_eq!(
        run(&["rehearse", "--bench-day", not_a_scenario.to_str().unwrap()])
            .status
            .code(),
        Some(2)
    );
}
