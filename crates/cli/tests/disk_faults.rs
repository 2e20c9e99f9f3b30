//! Runs `orchidtally serve` with a journal on a disk on which writes fail for a while, and kills the process
//! afterwards.

mod serve_kit;

use serve_kit::{PROGRAM, SLOW_WORK, Serve, read_response, start_executor, write_file};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// Time from the first write until the disk begins to fail, in seconds.
const FAILS_AFTER: f64 = 1.0;
/// Duration of the disk's failure, in seconds.
const FAILS_FOR: f64 = 2.0;

fn folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // Fails if the directory does not exist yet.
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn with_id(name: &str) -> [(&str, &str); 2] {
    [
        ("orchidtally-invocation", name),
        ("orchidtally-trigger-type", "act"),
    ]
}

/// Whether a response is the recorded one of an earlier invocation.
fn is_recorded(response: &str) -> bool {
    response.contains("orchidtally-recorded: 1")
}

#[test]
fn accepted_invocations_survive_a_disk_failure_and_a_kill() {
    let journal = folder("disk-faults-journal");
    let text = format!(
        r#"{{ triggerTypes: [{{ name: "act", effect: "nonIdempotent", objective: "2s", timeout: "5s", journalled: true }}],
            otherFunctions: {{ lanes: 32, loadTime: "100ms" }}, executors: {{ list: [{{ address: "{}" }}] }},
            journal: {{ folder: "{}", keep: "1h", mostKept: 1000, maxBytes: "1MiB" }} }}"#,
        start_executor(),
        journal.display()
    );
    let deployment = write_file("disk-faults.json5", &text);
    let arguments = ["--deployment", deployment.to_str().unwrap()];
    let disk = format!("{FAILS_AFTER},{FAILS_FOR},disk-faults-journal");
    let serve = Serve::start_shimmed(&[("FAULT_DISK", disk)], &arguments);
    let first_write = Instant::now();
    let wait_until = |seconds: f64| {
        std::thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(first_write.elapsed()));
    };
    let before = serve.invoke("f", &with_id("before"));
    assert_eq!(before.0, 200, "{before:?}");
    // Accepted while the disk works; its response arrives while the disk fails.
    wait_until(FAILS_AFTER - SLOW_WORK / 2.0);
    let across = serve.send("slow", &with_id("across"));
    wait_until(FAILS_AFTER + 0.2);
    let rejected: Vec<(u16, String)> = (0..3)
        .map(|n| serve.invoke("f", &with_id(&format!("refused-{n}"))))
        .collect();
    for (status, text) in &rejected {
        assert_eq!(*status, 503, "no invocation may be accepted: {text}");
        assert!(text.contains("nothing has run"), "{text}");
    }
    let across = read_response(across);
    wait_until(FAILS_AFTER + FAILS_FOR + 1.0);
    let again = serve.invoke("f", &with_id("refused-0"));
    assert_eq!((again.0, is_recorded(&again.1)), (200, false), "{again:?}");
    assert!(is_recorded(&serve.invoke("f", &with_id("before")).1));
    serve.signal("KILL");
    drop(serve);
    let check = Command::new(PROGRAM)
        .args(["journal", "check"])
        .arg(&journal)
        .output()
        .unwrap();
    assert!(check.status.success(), "{check:?}");
    let serve = Serve::start(&arguments);
    for name in ["before", "refused-0"] {
        let response = serve.invoke("f", &with_id(name));
        assert_eq!(
            (response.0, is_recorded(&response.1)),
            (200, true),
            "{name}: {response:?}"
        );
    }
    let response = serve.invoke("slow", &with_id("across"));
    assert!(
        is_recorded(&response.1),
        "the invocation must not run again: {across:?}, then {response:?}"
    );
}
