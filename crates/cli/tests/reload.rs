//! SIGHUP on `orchidtally serve`: the deployment file is read again and applied whole, or not at all; the process
//! lives on, and invocations see one revision.

mod serve_kit;

use serve_kit::{SLOW, Serve, answer, executor, file, replace, signal};
use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

/// A deployment with some functions, one trigger type with a client timeout, and further sections.
fn deployment(executor: SocketAddr, functions: &[&str], timeout: &str, more: &str) -> String {
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
            executors: {{ list: [{{ address: "{executor}" }}] }},
            {more}
        }}"#,
        functions.join(", ")
    )
}

const IN_FORCE: &str = "was read again and is in force";
const NOT_APPLIED: &str = "the deployment file is not applied";

#[test]
fn what_can_change_changes_without_a_restart() {
    let executor = executor();
    let path = file(
        "reload-changes.json5",
        &deployment(executor, &["first"], "5s", ""),
    );
    let mut serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    assert_eq!((serve.status("first"), serve.status("second")), (200, 404));
    replace(&path, &deployment(executor, &["second"], "5s", ""));
    serve.signal("HUP");
    serve.logs(IN_FORCE, 1);
    assert_eq!((serve.status("first"), serve.status("second")), (404, 200));
    let customers = r#"customers: [{ name: "north", share: 1000 }],"#;
    replace(&path, &deployment(executor, &["second"], "5s", customers));
    serve.signal("HUP");
    serve.logs(IN_FORCE, 2);
    assert_eq!(
        serve.status("second"),
        400,
        "a customer has to be named now"
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
fn an_open_invocation_keeps_the_trigger_type_that_it_was_admitted_with() {
    let executor = executor();
    let path = file(
        "reload-open.json5",
        &deployment(executor, &["slow"], "5s", ""),
    );
    let serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    let open = serve.send("slow", &[]);
    std::thread::sleep(Duration::from_millis(200));
    replace(&path, &deployment(executor, &["slow"], "400ms", ""));
    serve.signal("HUP");
    serve.logs(IN_FORCE, 1);
    let begun = std::time::Instant::now();
    let late = serve.invoke("slow", &[]);
    assert!(
        matches!(late.0, 503 | 504),
        "the new client timeout holds: {}",
        late.1
    );
    assert!(
        begun.elapsed().as_secs_f64() < SLOW,
        "it was answered within the new timeout"
    );
    let first = answer(open);
    assert_eq!(
        first.0, 200,
        "the old one holds for what was open: {}",
        first.1
    );
}

#[test]
fn a_file_with_faults_or_changes_that_need_a_restart_is_not_applied_at_all() {
    let executor = executor();
    let sound = deployment(executor, &["first"], "5s", "");
    let path = file("reload-faults.json5", &sound);
    let mut serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    let mut refused = 0;
    let mut refuses = |serve: &Serve, why: &str| {
        serve.signal("HUP");
        refused += 1;
        serve.logs(NOT_APPLIED, refused);
        let log = serve.log();
        assert!(log.contains(why), "'{why}' is not told:\n{log}");
        assert_eq!(
            (serve.status("first"), serve.status("second")),
            (200, 404),
            "{why}"
        );
    };
    // A fault beside a good change.
    replace(
        &path,
        &deployment(executor, &["first", "second"], "100ms", ""),
    );
    refuses(
        &serve,
        "triggerTypes[0].objective: 0.3 s is over the client timeout",
    );
    // Changes that need a restart beside one that doesn't.
    let needs_restart = r#"listen: "127.0.0.1:7999", limits: { openInvocations: 7 },"#;
    replace(
        &path,
        &deployment(executor, &["first", "second"], "5s", needs_restart),
    );
    refuses(
        &serve,
        "listen: has changed, which takes effect at a restart only",
    );
    assert!(
        serve
            .log()
            .contains("limits: has changed, which takes effect at a restart only")
    );
    let whole = deployment(executor, &["first", "second"], "5s", "");
    for length in [0, 1, whole.len() / 3, whole.len() / 2, whole.len() - 2] {
        std::fs::write(&path, &whole[..length]).unwrap();
        refuses(&serve, NOT_APPLIED);
    }
    std::fs::remove_file(&path).unwrap();
    refuses(&serve, "it can't be read");
    assert!(serve.is_alive());
    replace(&path, &whole);
    serve.signal("HUP");
    serve.logs(IN_FORCE, 1);
    assert_eq!(
        (serve.status("first"), serve.status("second")),
        (200, 200),
        "a good file mends it"
    );
}

#[test]
fn of_many_signals_the_last_file_counts() {
    let executor = executor();
    let path = file(
        "reload-many.json5",
        &deployment(executor, &["f0"], "5s", ""),
    );
    let mut serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    for n in 1..=30 {
        replace(&path, &deployment(executor, &[&format!("f{n}")], "5s", ""));
        serve.signal("HUP");
    }
    let begun = std::time::Instant::now();
    while serve.status("f30") != 200 {
        assert!(
            begun.elapsed() < Duration::from_secs(10),
            "the last file never came in force:\n{}",
            serve.log()
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(serve.status("f29"), 404);
    assert!(serve.is_alive());
}

#[test]
fn a_signal_while_it_ends_changes_nothing_and_what_is_open_is_answered() {
    let executor = executor();
    let path = file(
        "reload-end.json5",
        &deployment(executor, &["slow"], "5s", ""),
    );
    let mut serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    let open = serve.send("slow", &[]);
    std::thread::sleep(Duration::from_millis(200));
    serve.signal("TERM");
    serve.logs(
        "orchidtally_http_frontend: termination signal received, draining",
        1,
    );
    replace(&path, &deployment(executor, &["other"], "5s", ""));
    serve.signal("HUP");
    serve.logs("is not read again", 1);
    let answered = answer(open);
    assert_eq!(answered.0, 200, "{}", answered.1);
    assert_eq!(serve.ended().code(), Some(0));
}

#[test]
fn without_a_file_it_says_so_and_lives_on() {
    let mut serve = Serve::start(&[]);
    serve.signal("HUP");
    serve.logs("start with --deployment FILE", 1);
    assert_eq!(serve.status("upper"), 200);
    assert!(serve.is_alive());
    serve.signal("TERM");
    assert_eq!(serve.ended().code(), Some(0));
}

/// The handler is there before anything else: a signal that comes sooner would end the process.
#[test]
fn a_signal_before_it_listens_has_the_file_read_again_once_it_does() {
    let executor = executor();
    let path = file("reload-early.json5", "");
    std::fs::remove_file(&path).unwrap();
    // A file that takes as long to be read as this test wants.
    assert!(
        Command::new("mkfifo")
            .arg(&path)
            .status()
            .unwrap()
            .success()
    );
    let first = deployment(executor, &["first"], "5s", "");
    let second = deployment(executor, &["second"], "5s", "");
    let mut serve = Serve::start_with(&["--deployment", path.to_str().unwrap()], |process| {
        let mut slow = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
        signal(process, "HUP");
        replace(&path, &second);
        slow.write_all(first.as_bytes()).unwrap();
    });
    serve.logs(IN_FORCE, 1);
    assert_eq!((serve.status("first"), serve.status("second")), (404, 200));
    assert!(serve.is_alive());
}
