//! SIGHUP on `orchidtally serve`: the deployment file is read again and applied as a whole or not at all. The process
//! keeps running, and each invocation sees a single revision.

mod serve_kit;

use serve_kit::{
    SLOW_WORK, Serve, read_response, replace_file, signal, start_executor, write_file,
};
use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

/// The text of a deployment file with the given functions, one trigger type with a client timeout, and further
/// sections.
fn deployment(
    executor_address: SocketAddr,
    functions: &[&str],
    timeout: &str,
    more: &str,
) -> String {
    let functions: Vec<String> = functions
        .iter()
        .map(|name| format!(r#"{{ name: "{name}", lanes: 64, loadTime: "10ms" }}"#))
        .collect();
    format!(
        r#"{{
            name: "reload",
            triggerTypes: [
                {{ name: "http", effect: "idempotent", objective: "300ms", timeout: "{timeout}" }},
            ],
            functions: [{}],
            executors: {{ list: [{{ address: "{executor_address}" }}] }},
            {more}
        }}"#,
        functions.join(", ")
    )
}

const IN_FORCE: &str = "was read again and is in force";
const NOT_APPLIED: &str = "the deployment file is not applied";

#[test]
fn reloadable_settings_change_without_a_restart() {
    let executor_address = start_executor();
    let path = write_file(
        "reload-changes.json5",
        &deployment(executor_address, &["first"], "5s", ""),
    );
    let mut serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    assert_eq!((serve.status("first"), serve.status("second")), (200, 404));
    replace_file(&path, &deployment(executor_address, &["second"], "5s", ""));
    serve.signal("HUP");
    serve.wait_for_log(IN_FORCE, 1);
    assert_eq!((serve.status("first"), serve.status("second")), (404, 200));
    let customers = r#"customers: [{ name: "north", share: 1000 }],"#;
    replace_file(
        &path,
        &deployment(executor_address, &["second"], "5s", customers),
    );
    serve.signal("HUP");
    serve.wait_for_log(IN_FORCE, 2);
    assert_eq!(
        serve.status("second"),
        400,
        "a request without a customer is rejected now"
    );
    assert_eq!(
        serve
            .invoke("second", &[("orchidtally-customer", "north")])
            .0,
        200
    );
    assert_eq!(
        serve
            .invoke("second", &[("orchidtally-customer", "south")])
            .0,
        403
    );
    assert!(serve.is_alive());
}

#[test]
fn an_open_invocation_keeps_its_trigger_type_across_a_reload() {
    let executor_address = start_executor();
    let path = write_file(
        "reload-open.json5",
        &deployment(executor_address, &["slow"], "5s", ""),
    );
    let serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    let open = serve.send("slow", &[]);
    std::thread::sleep(Duration::from_millis(200));
    replace_file(&path, &deployment(executor_address, &["slow"], "400ms", ""));
    serve.signal("HUP");
    serve.wait_for_log(IN_FORCE, 1);
    let started_at = std::time::Instant::now();
    let late = serve.invoke("slow", &[]);
    assert!(
        matches!(late.0, 503 | 504),
        "the new client timeout applies: {}",
        late.1
    );
    assert!(
        started_at.elapsed().as_secs_f64() < SLOW_WORK,
        "the response comes within the new timeout"
    );
    let first = read_response(open);
    assert_eq!(
        first.0, 200,
        "the old client timeout applies to an open invocation: {}",
        first.1
    );
}

#[test]
fn a_file_that_is_invalid_or_needs_a_restart_is_not_applied_at_all() {
    let executor_address = start_executor();
    let valid = deployment(executor_address, &["first"], "5s", "");
    let path = write_file("reload-faults.json5", &valid);
    let mut serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    let mut rejections = 0;
    let mut assert_rejected = |serve: &Serve, why: &str| {
        serve.signal("HUP");
        rejections += 1;
        serve.wait_for_log(NOT_APPLIED, rejections);
        let log = serve.log();
        assert!(
            log.contains(why),
            "the log does not contain '{why}':\n{log}"
        );
        assert_eq!(
            (serve.status("first"), serve.status("second")),
            (200, 404),
            "{why}"
        );
    };
    // An invalid value together with a valid change.
    replace_file(
        &path,
        &deployment(executor_address, &["first", "second"], "100ms", ""),
    );
    assert_rejected(
        &serve,
        "triggerTypes[0].objective: 0.3 s is over the client timeout",
    );
    // Changes that need a restart together with one that does not.
    let needs_restart = r#"listen: "127.0.0.1:7999", limits: { openInvocations: 7 },"#;
    replace_file(
        &path,
        &deployment(executor_address, &["first", "second"], "5s", needs_restart),
    );
    assert_rejected(
        &serve,
        "listen: has changed, which takes effect at a restart only",
    );
    assert!(
        serve
            .log()
            .contains("limits: has changed, which takes effect at a restart only")
    );
    let complete = deployment(executor_address, &["first", "second"], "5s", "");
    for length in [
        0,
        1,
        complete.len() / 3,
        complete.len() / 2,
        complete.len() - 2,
    ] {
        std::fs::write(&path, &complete[..length]).unwrap();
        assert_rejected(&serve, NOT_APPLIED);
    }
    std::fs::remove_file(&path).unwrap();
    assert_rejected(&serve, "it can't be read");
    assert!(serve.is_alive());
    replace_file(&path, &complete);
    serve.signal("HUP");
    serve.wait_for_log(IN_FORCE, 1);
    assert_eq!(
        (serve.status("first"), serve.status("second")),
        (200, 200),
        "a valid file is applied"
    );
}

#[test]
fn after_many_signals_the_last_file_is_in_force() {
    let executor_address = start_executor();
    let path = write_file(
        "reload-many.json5",
        &deployment(executor_address, &["f0"], "5s", ""),
    );
    let mut serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    for n in 1..=30 {
        replace_file(
            &path,
            &deployment(executor_address, &[&format!("f{n}")], "5s", ""),
        );
        serve.signal("HUP");
    }
    let started_at = std::time::Instant::now();
    while serve.status("f30") != 200 {
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "the last file was not applied:\n{}",
            serve.log()
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(serve.status("f29"), 404);
    assert!(serve.is_alive());
}

#[test]
fn a_reload_during_shutdown_is_ignored_and_open_invocations_complete() {
    let executor_address = start_executor();
    let path = write_file(
        "reload-end.json5",
        &deployment(executor_address, &["slow"], "5s", ""),
    );
    let mut serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    let open = serve.send("slow", &[]);
    std::thread::sleep(Duration::from_millis(200));
    serve.signal("TERM");
    serve.wait_for_log(
        "orchidtally_http_frontend: termination signal received, draining",
        1,
    );
    replace_file(&path, &deployment(executor_address, &["other"], "5s", ""));
    serve.signal("HUP");
    serve.wait_for_log("is not read again", 1);
    let response = read_response(open);
    assert_eq!(response.0, 200, "{}", response.1);
    assert_eq!(serve.wait_for_exit().code(), Some(0));
}

#[test]
fn a_reload_without_a_file_is_logged_and_ignored() {
    let mut serve = Serve::start(&[]);
    serve.signal("HUP");
    serve.wait_for_log("start with --deployment FILE", 1);
    assert_eq!(serve.status("upper"), 200);
    assert!(serve.is_alive());
    serve.signal("TERM");
    assert_eq!(serve.wait_for_exit().code(), Some(0));
}

/// The signal handler is installed before anything else: a signal without a handler would terminate the process.
#[test]
fn a_signal_before_it_listens_causes_a_reload_once_it_does() {
    let executor_address = start_executor();
    let path = write_file("reload-early.json5", "");
    std::fs::remove_file(&path).unwrap();
    // A pipe, so that the test determines how long the file takes to read.
    assert!(
        Command::new("mkfifo")
            .arg(&path)
            .status()
            .unwrap()
            .success()
    );
    let first = deployment(executor_address, &["first"], "5s", "");
    let second = deployment(executor_address, &["second"], "5s", "");
    let mut serve = Serve::start_with(&["--deployment", path.to_str().unwrap()], |process| {
        let mut slow = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
        signal(process, "HUP");
        replace_file(&path, &second);
        slow.write_all(first.as_bytes()).unwrap();
    });
    serve.wait_for_log(IN_FORCE, 1);
    assert_eq!((serve.status("first"), serve.status("second")), (404, 200));
    assert!(serve.is_alive());
}
