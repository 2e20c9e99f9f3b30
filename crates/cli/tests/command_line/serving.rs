//! `serve` and `invoke`: start, answers and the end of the process.

use crate::support::{PROGRAM, run, text};
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};

#[test]
fn a_front_end_ends_with_the_process_that_started_it() {
    let mut serving = Command::new(PROGRAM)
        .args(["serve", "--listen", "127.0.0.1:0", "--until-input-ends"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut first = String::new();
    // Nobody reads on after the first line, which must not end it.
    BufReader::new(serving.stdout.take().unwrap())
        .read_line(&mut first)
        .unwrap();
    assert!(first.starts_with("listening on"), "{first}");
    assert!(
        serving.try_wait().unwrap().is_none(),
        "it serves while the input is open"
    );
    drop(serving.stdin.take());
    assert!(serving.wait().unwrap().success());
}

#[test]
fn serve_without_arguments_answers_what_it_prints() {
    let mut command = Command::new(PROGRAM);
    command
        .args(["serve", "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    let mut serving = command.spawn().unwrap();
    let mut lines = BufReader::new(serving.stdout.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let first = lines.next().unwrap();
    let at = first
        .strip_prefix("listening on http://")
        .unwrap()
        .to_owned();
    let curl = lines.next().unwrap();
    assert!(
        curl.contains(&format!(
            "curl -d 'hello' http://{at}/v1/functions/upper/invocations"
        )),
        "{curl}"
    );
    let mut invoke = Command::new(PROGRAM)
        .args(["invoke", "upper", "--at", &at])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    invoke.stdin.take().unwrap().write_all(b"dawn").unwrap();
    let output = invoke.wait_with_output().unwrap();
    assert_eq!(
        (output.status.code(), text(&output.stdout).as_str()),
        (Some(0), "DAWN")
    );
    let unknown = run(&["invoke", "nothing", "--at", &at, "--data", ""]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(
        text(&unknown.stderr).contains("unknown function"),
        "{}",
        text(&unknown.stderr)
    );
    let told = Command::new("kill")
        .args(["-TERM", &serving.id().to_string()])
        .status()
        .unwrap();
    assert!(told.success());
    assert!(
        serving.wait().unwrap().success(),
        "it ends well when told to"
    );
    assert_eq!(
        run(&["invoke", "upper", "--at", &at, "--data", ""])
            .status
            .code(),
        Some(3)
    );
}
