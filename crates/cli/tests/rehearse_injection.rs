//! `orchidtally rehearse --inject-violation`: the requested violation is injected and found, or the rehearsal reports
//! that it could not inject it. Guards against rehearsals that exit with code 0 without a violation: each case here did
//! so when the rehearsal made a single attempt and did not check whether it had succeeded.

use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidtally");

fn rehearse(name: &str, scenario: &str, arguments: &[&str]) -> Output {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, scenario).unwrap();
    Command::new(PROGRAM)
        .arg("rehearse")
        .arg(&file)
        .args(arguments)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn last_line(output: &Output) -> serde_json::Value {
    let text = text(&output.stdout);
    serde_json::from_str(text.lines().last().unwrap_or_default())
        .unwrap_or_else(|e| panic!("{e}: {text}"))
}

fn assert_found(output: &Output, rule: u64) {
    let line = last_line(output);
    assert_eq!(
        output.status.code(),
        Some(1),
        "{line}, {}",
        text(&output.stderr)
    );
    assert_eq!(
        (&line["verdict"], &line["injected"]),
        (&"broken".into(), &true.into()),
        "{line}"
    );
    let rules = line["rules"].as_array().unwrap();
    let broken = rules
        .iter()
        .find(|r| r["rule"] == rule)
        .and_then(|r| r["broken"].as_u64());
    assert!(broken.is_some_and(|n| n > 0), "{line}");
}

fn assert_not_injected(output: &Output, rule: u64, reason: &str) {
    let (line, stderr) = (last_line(output), text(&output.stderr));
    assert_eq!(output.status.code(), Some(3), "{line}, {stderr}");
    assert_eq!(line["injected"], false, "{line}");
    let expected = format!("no violation of rule {rule} could be injected: {reason}");
    assert!(
        stderr.contains(&expected) && stderr.contains("longer scenario"),
        "{stderr}"
    );
}

#[test]
fn running_twice_cannot_be_injected_with_one_executor() {
    let scenario =
        r#"{ length: "4s", frontEnds: 1, executors: 1, locations: 1, rate: 20, functions: 5 }"#;
    let output = rehearse("one-executor.json5", scenario, &["--inject-violation", "2"]);
    assert_not_injected(
        &output,
        2,
        "no invocation of a non-idempotent type ran at two executors",
    );
}

/// Changes of the endpoint list are held back until after the last attempt.
#[test]
fn a_drain_that_is_not_announced_cannot_be_violated() {
    let scenario = r#"{ length: "4s", frontEnds: 2, executors: 6, locations: 2, rate: 30, functions: 5, troubles: [
        { kind: "staleRoster", at: "0.1s", for: "4s" },
        { kind: "staleRoster", at: "4s", for: "4s" },
    ] }"#;
    let output = rehearse("untold-drain.json5", scenario, &["--inject-violation", "3"]);
    assert_not_injected(
        &output,
        3,
        "the injecting front end was never notified that an executor drains",
    );
}

/// The publisher closes the connection just before the drain is announced.
#[test]
fn a_drain_is_announced_over_another_connection() {
    let scenario = r#"{ length: "6s", frontEnds: 2, executors: 6, locations: 2, rate: 30, functions: 5, troubles: [
        { kind: "rosterCut", at: "1.6s", for: "0.1s" },
    ] }"#;
    assert_found(
        &rehearse("roster-cut.json5", scenario, &["--inject-violation", "3"]),
        3,
    );
}

/// The executor that is chosen first hangs, does not read or crashes while it drains, and so do the others in turn.
#[test]
fn a_late_dispatch_is_retried_at_another_executor() {
    let scenario = r#"{ length: "8s", frontEnds: 2, executors: 6, locations: 2, rate: 30, functions: 5, troubles: [
        { kind: "halfOpen", at: "2.5s", for: "3.5s", size: 1 },
        { kind: "crash", at: "2.6s", for: "1s", size: 0.9 },
    ] }"#;
    assert_found(
        &rehearse(
            "late-dispatch.json5",
            scenario,
            &["--inject-violation", "3"],
        ),
        3,
    );
}

#[test]
fn violations_are_injected_with_an_endpoint_list_from_etcd() {
    let scenario =
        r#"{ length: "8s", frontEnds: 2, executors: 6, locations: 2, rate: 30, functions: 5 }"#;
    assert_found(
        &rehearse(
            "store-3.json5",
            scenario,
            &["--etcd", "--inject-violation", "3"],
        ),
        3,
    );
    assert_found(
        &rehearse(
            "store-4.json5",
            scenario,
            &["--etcd", "--inject-violation", "4"],
        ),
        4,
    );
}

/// The scenario has so many invocations that the first four hundred load commands are within the budget.
#[test]
fn load_commands_are_sent_until_they_exceed_the_budget() {
    let scenario =
        r#"{ length: "10s", frontEnds: 1, executors: 8, locations: 2, rate: 600, functions: 5 }"#;
    assert_found(
        &rehearse("orders.json5", scenario, &["--inject-violation", "5"]),
        5,
    );
}

/// The transit time that the checks allow grows with the delay of the rehearsal's thread. The injected dispatch to a
/// draining executor must be later still to break the rule.
#[test]
fn a_drain_is_violated_after_a_process_pause() {
    let scenario =
        r#"{ length: "6s", frontEnds: 2, executors: 6, locations: 2, rate: 30, functions: 5 }"#;
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("stood-still.json5");
    std::fs::write(&file, scenario).unwrap();
    let mut command = Command::new(PROGRAM);
    command
        .arg("rehearse")
        .arg(&file)
        .args(["--inject-violation", "3"]);
    let rehearsal = command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let signal = |name: &str| {
        let status = Command::new("kill")
            .args([name, &rehearsal.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    };
    // The traffic is still rising at this time.
    std::thread::sleep(Duration::from_secs(2));
    signal("-STOP");
    std::thread::sleep(Duration::from_millis(1_800));
    signal("-CONT");
    assert_found(&rehearsal.wait_with_output().unwrap(), 3);
}
