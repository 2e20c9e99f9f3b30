//! The operator's commands for a rollout and for the coordinator's journal.

use crate::support::{PROGRAM, run, text, write_file};
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Stdio};

#[test]
fn an_operator_plans_starts_pauses_and_rolls_back_a_rollout() {
    let (old, new) = ("1".repeat(64), "2".repeat(64));
    let deployment = format!(
        "{{ frontEnds: {{ count: 4 }}, triggerTypes: [{{ name: 'look', effect: 'idempotent', objective: '1s', timeout: '3s' }}], \
         functions: [{{ name: 'mist', versions: [{{ digest: 'sha256:{old}' }}, {{ digest: 'sha256:{new}' }}], \
         aliases: {{ stable: 'sha256:{old}', next: 'sha256:{new}' }} }}], executors: {{ list: [{{ address: '127.0.0.1:7001' }}] }} }}"
    );
    let deployment = write_file("rolled.json5", &deployment);
    let state = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("rollout-state");
    let _ = std::fs::remove_dir_all(&state);
    let mut coordinator = Command::new(PROGRAM)
        .args([
            "rollout",
            "coordinate",
            "--listen",
            "127.0.0.1:0",
            "--until-input-ends",
            "--deployment",
        ])
        .arg(&deployment)
        .arg("--state")
        .arg(&state)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut first_line = String::new();
    BufReader::new(coordinator.stdout.take().unwrap())
        .read_line(&mut first_line)
        .unwrap();
    let address = first_line
        .trim()
        .strip_prefix("listening on http://")
        .unwrap()
        .to_owned();
    let rollout = |arguments: &[&str]| {
        let output = run(&[&["rollout"], arguments, &["--at", &address]].concat());
        (
            output.status.code(),
            text(&output.stdout),
            text(&output.stderr),
        )
    };
    let invalid = write_file(
        "bad-plan.json5",
        "{ name: 'r', function: 'mist',\n  to: 'later', steps: [{ share: 2 }] }",
    );
    let (code, _, stderr) = rollout(&["start", invalid.to_str().unwrap()]);
    assert_eq!(code, Some(2));
    assert!(
        stderr.contains("bad-plan.json5:2:7: to: 'later' is no alias or digest of 'mist'"),
        "{stderr}"
    );
    assert!(
        stderr.contains("bad-plan.json5:2:33: steps[0].share: 2 is out of range"),
        "{stderr}"
    );
    let plan = write_file(
        "plan.json5",
        "{ name: 'r', function: 'mist', to: 'next', loadsPerSecond: 0.5, steps: [{ share: 0.1 }, { share: 1 }] }",
    );
    let plan = plan.to_str().unwrap();
    let (code, steps, _) = rollout(&["start", plan, "--dry-run"]);
    assert!(
        code == Some(0) && steps.contains("of 0.8 that the load budget grants"),
        "{steps}"
    );
    assert!(
        rollout(&["status", "r"]).0 == Some(1),
        "a dry run starts nothing"
    );
    assert_eq!(rollout(&["start", plan]).0, Some(0));
    assert_eq!(
        rollout(&["start", plan]).0,
        Some(1),
        "the rollout has started already"
    );
    assert_eq!(rollout(&["pause", "r"]).0, Some(0));
    let (_, status, _) = rollout(&["status", "r", "--output", "json"]);
    assert!(status.contains("\"phase\":\"paused\""), "{status}");
    assert_eq!(rollout(&["resume", "r"]).0, Some(0));
    assert_eq!(
        rollout(&["finish", "r"]).0,
        Some(1),
        "the last step has not started"
    );
    assert_eq!(rollout(&["back", "r", "--why", "it smells"]).0, Some(0));
    let (_, history, _) = rollout(&["history", "r"]);
    assert!(
        history.contains("it smells") && history.contains("hand"),
        "{history}"
    );
    drop(coordinator.stdin.take());
    assert!(coordinator.wait().unwrap().success());
    assert_eq!(
        rollout(&["status"]).0,
        Some(3),
        "the coordinator has stopped"
    );
    // The journal can be shown and compacted, and damage to it is found.
    let folder = state.to_str().unwrap();
    let shown = text(&run(&["journal", "show", folder]).stdout);
    assert!(
        shown.lines().count() > 3 && shown.contains("it smells"),
        "{shown}"
    );
    assert_eq!(run(&["journal", "compact", folder]).status.code(), Some(0));
    let checked = text(&run(&["journal", "check", folder]).stdout);
    assert!(
        checked.contains("whole: a snapshot of") && checked.contains("0 entries"),
        "{checked}"
    );
    std::fs::write(state.join("snapshot-1"), b"orchjrn2 nonsense").unwrap();
    assert_eq!(run(&["journal", "check", folder]).status.code(), Some(1));
    assert_eq!(
        run(&["journal", "check", "/nowhere/at/all"]).status.code(),
        Some(2)
    );
}
