//! `serve` and `invoke`: start, responses and exit of the process.

use crate::support::{PROGRAM, run, text};
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};

#[test]
fn a_front_end_exits_when_its_input_ends() {
    let mut serving = Command::new(PROGRAM)
        .args(["serve", "--listen", "127.0.0.1:0", "--until-input-ends"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut first_line = String::new();
    // Standard output is closed after the first line, which must not end the process.
    BufReader::new(serving.stdout.take().unwrap())
        .read_line(&mut first_line)
        .unwrap();
    assert!(first_line.starts_with("listening on"), "{first_line}");
    assert!(
        serving.try_wait().unwrap().is_none(),
        "the process must run while its input is open"
    );
    drop(serving.stdin.take());
    assert!(serving.wait().unwrap().success());
}

#[test]
fn serve_without_arguments_handles_the_example_that_it_prints() {
    let mut command = Command::new(PROGRAM);
    command
        .args(["serve", "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    let mut serving = command.spawn().unwrap();
    let mut lines = BufReader::new(serving.stdout.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let first_line = lines.next().unwrap();
    let address = first_line
        .strip_prefix("listening on http://")
        .unwrap()
        .to_owned();
    let curl = lines.next().unwrap();
    assert!(
        curl.contains(&format!(
            "curl -d 'hello' http://{address}/v1/functions/upper/invocations"
        )),
        "{curl}"
    );
    let mut invoke = Command::new(PROGRAM)
        .args(["invoke", "upper", "--at", &address])
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
    let unknown = run(&["invoke", "nothing", "--at", &address, "--data", ""]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(
        text(&unknown.stderr).contains("unknown function"),
        "{}",
        text(&unknown.stderr)
    );
    let status = Command::new("kill")
        .args(["-TERM", &serving.id().to_string()])
        .status()
        .unwrap();
    assert!(status.success());
    assert!(
        serving.wait().unwrap().success(),
        "the process must exit with success after SIGTERM"
    );
    assert_eq!(
        run(&["invoke", "upper", "--at", &address, "--data", ""])
            .status
            .code(),
        Some(3)
    );
}
