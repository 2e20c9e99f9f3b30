//! A real `orchidtally serve` with a journal on a disk that can't be written for a while, and that is killed after.

mod serve_kit;

use serve_kit::{PROGRAM, SLOW, Serve, answer, executor, file};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// When the disk begins to fail after the first write, and for how long, in seconds.
const FAILS_AFTER: f64 = 1.0;
const FAILS_FOR: f64 = 2.0;

fn folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // It may not be there yet.
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn named(name: &str) -> [(&str, &str); 2] {
    [
        ("orchidtally-invocation", name),
        ("orchidtally-trigger-type", "act"),
    ]
}

/// Whether an answer is that of an invocation of before.
fn is_recorded(answer: &str) -> bool {
    answer.contains("orchidtally-recorded: 1")
}

#[test]
fn what_was_promised_is_kept_though_the_disk_fails_for_a_while_and_a_kill_follows() {
    let journal = folder("disk-faults-journal");
    let text = format!(
        r#"{{ triggerTypes: [{{ name: "act", effect: "nonIdempotent", objective: "2s", timeout: "5s", journalled: true }}],
            otherFunctions: {{ lanes: 32, loadTime: "100ms" }}, executors: {{ list: [{{ address: "{}" }}] }},
            journal: {{ folder: "{}", keep: "1h", mostKept: 1000, maxBytes: "1MiB" }} }}"#,
        executor(),
        journal.display()
    );
    let deployment = file("disk-faults.json5", &text);
    let arguments = ["--deployment", deployment.to_str().unwrap()];
    let disk = format!("{FAILS_AFTER},{FAILS_FOR},disk-faults-journal");
    let serve = Serve::start_shimmed(&[("FAULT_DISK", disk)], &arguments);
    let first_write = Instant::now();
    let wait_until = |seconds: f64| {
        std::thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(first_write.elapsed()));
    };
    let before = serve.invoke("f", &named("before"));
    assert_eq!(before.0, 200, "{before:?}");
    // Promised while the disk is sound; its answer comes while it isn't.
    wait_until(FAILS_AFTER - SLOW / 2.0);
    let across = serve.send("slow", &named("across"));
    wait_until(FAILS_AFTER + 0.2);
    let refused: Vec<(u16, String)> = (0..3)
        .map(|n| serve.invoke("f", &named(&format!("refused-{n}"))))
        .collect();
    for (status, text) in &refused {
        assert_eq!(*status, 503, "nothing may be promised: {text}");
        assert!(text.contains("nothing has run"), "{text}");
    }
    let across = answer(across);
    wait_until(FAILS_AFTER + FAILS_FOR + 1.0);
    let again = serve.invoke("f", &named("refused-0"));
    assert_eq!((again.0, is_recorded(&again.1)), (200, false), "{again:?}");
    assert!(is_recorded(&serve.invoke("f", &named("before")).1));
    serve.signal("KILL");
    drop(serve);
    let checked = Command::new(PROGRAM)
        .args(["journal", "check"])
        .arg(&journal)
        .output()
        .unwrap();
    assert!(checked.status.success(), "{checked:?}");
    let serve = Serve::start(&arguments);
    for name in ["before", "refused-0"] {
        let kept = serve.invoke("f", &named(name));
        assert_eq!(
            (kept.0, is_recorded(&kept.1)),
            (200, true),
            "{name}: {kept:?}"
        );
    }
    let kept = serve.invoke("slow", &named("across"));
    assert!(
        is_recorded(&kept.1),
        "it must not run again: {across:?}, then {kept:?}"
    );
}
