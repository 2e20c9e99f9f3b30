//! The HTTP responses of a front end and a coordinator are an interface: status codes, headers and JSON. The
//! expected texts are in `endpoint_texts`.
//!
//! After an intended change, `UPDATE_FIXTURES=1 cargo test -p orchidtally-cli --test endpoint_texts` rewrites them.

use serde_json::Value;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidtally");
/// Headers whose values differ from one run to the next.
const VARYING_HEADERS: [&str; 2] = ["date", "orchidtally-invocation"];

/// A listening process, which exits when its input is closed.
struct ListeningProcess {
    process: Child,
    address: String,
}

impl ListeningProcess {
    fn start(arguments: &[&str]) -> ListeningProcess {
        let mut command = Command::new(PROGRAM);
        command
            .args(arguments)
            .args(["--listen", "127.0.0.1:0", "--until-input-ends"]);
        let mut process = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the process starts");
        let mut first_line = String::new();
        BufReader::new(process.stdout.take().expect("a pipe"))
            .read_line(&mut first_line)
            .expect("a line");
        let address = first_line
            .trim()
            .strip_prefix("listening on http://")
            .expect(&first_line)
            .to_owned();
        ListeningProcess { process, address }
    }

    /// Sends a request; returns the whole response.
    fn exchange(&self, request_line: &str, headers: &[(&str, &str)], body: &str) -> String {
        let mut stream = TcpStream::connect(&self.address).expect("the process listens");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a timeout");
        let mut request =
            format!("{request_line} HTTP/1.1\r\nhost: front-end\r\nconnection: close\r\n");
        for (name, value) in headers {
            request += &format!("{name}: {value}\r\n");
        }
        request += &format!("content-length: {}\r\n\r\n{body}", body.len());
        stream
            .write_all(request.as_bytes())
            .expect("the request can be sent");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .expect("a whole response");
        response
    }

    /// Sends a request. Returns the request and its response, without the values of headers that vary.
    fn transcript(&self, request_line: &str, headers: &[(&str, &str)], body: &str) -> String {
        let response = self.exchange(request_line, headers, body);
        let (head, body) = response.split_once("\r\n\r\n").expect("a head and a body");
        let (status, response_headers) = head.split_once("\r\n").unwrap_or((head, ""));
        let mut response_headers: Vec<String> =
            response_headers.lines().map(without_varying).collect();
        response_headers.sort();
        format!(
            "> {request_line} {headers:?}\n{status}\n{}\n\n{body}\n\n",
            response_headers.join("\n")
        )
    }
}

impl Drop for ListeningProcess {
    fn drop(&mut self) {
        drop(self.process.stdin.take());
        let _ = self.process.wait();
    }
}

fn without_varying(header: &str) -> String {
    let name = header.split(':').next().unwrap_or_default();
    if VARYING_HEADERS.contains(&name) {
        format!("{name}: ...")
    } else {
        header.to_owned()
    }
}

/// Compares a text with the committed fixture of this name.
fn assert_matches_fixture(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/endpoint_texts")
        .join(name);
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        fs::write(&path, text).expect("the fixture can be written");
    }
    let committed =
        fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    assert_eq!(text, committed, "{name} is now\n{text}");
}

/// Lists the paths in a JSON value with the types of their values.
fn collect_shape(value: &Value, path: &str, lines: &mut Vec<String>) {
    let kind = match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "number",
        Value::String(_) => "text",
        Value::Array(list) => {
            list.iter()
                .for_each(|member| collect_shape(member, &format!("{path}[]"), lines));
            "list"
        }
        Value::Object(members) => {
            members
                .iter()
                .for_each(|(key, member)| collect_shape(member, &format!("{path}.{key}"), lines));
            "object"
        }
    };
    lines.push(format!("{path} {kind}"));
}

fn shape_text(text: &str) -> String {
    let value: Value = serde_json::from_str(text.trim_end()).expect(text);
    let mut lines = vec![];
    collect_shape(&value, "", &mut lines);
    lines.sort();
    lines.dedup();
    lines.join("\n") + "\n"
}

/// A request's first line, its headers and its body.
type InvocationRequest = (String, Vec<(&'static str, &'static str)>, &'static str);

#[test]
fn invocations_get_the_same_responses() {
    let front_end = ListeningProcess::start(&["serve", "--seed", "1"]);
    let invoke = |function: &str| format!("POST /v1/functions/{function}/invocations");
    let requests: [InvocationRequest; 9] = [
        (invoke("upper"), vec![], "dawn"),
        (
            invoke("upper"),
            vec![("orchidtally-invocation", "named")],
            "named",
        ),
        (invoke("no-such-function"), vec![], ""),
        (
            invoke("upper"),
            vec![("orchidtally-trigger-type", "no-such-type")],
            "",
        ),
        (invoke("upper"), vec![("orchidtally-time-left", "soon")], ""),
        (invoke("upper"), vec![("orchidtally-repeat", "2")], ""),
        ("GET /v1/functions/upper/invocations".into(), vec![], ""),
        ("GET /nowhere".into(), vec![], ""),
        ("POST /v1/front-end".into(), vec![], ""),
    ];
    let texts: String = requests
        .iter()
        .map(|(line, headers, body)| front_end.transcript(line, headers, body))
        .collect();
    assert_matches_fixture("invocations.txt", &texts);
}

#[test]
fn the_status_of_a_front_end_has_the_same_keys() {
    let front_end = ListeningProcess::start(&["serve", "--seed", "1"]);
    let response = front_end.exchange("GET /v1/front-end", &[], "");
    let (head, body) = response.split_once("\r\n\r\n").expect("a head and a body");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert_matches_fixture("front_end_status.txt", &shape_text(body));
}

fn temporary_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
}

fn write_file(name: &str, content: &str) -> String {
    let path = temporary_folder().join(name);
    fs::write(&path, content).expect("the file can be written");
    path.into_os_string()
        .into_string()
        .expect("a path in UTF-8")
}

/// Starts a coordinator with files of its own, which are named after the test.
fn start_coordinator(name: &str) -> ListeningProcess {
    let deployment = include_str!("endpoint_texts/deployment.json5");
    let deployment = write_file(&format!("endpoint-texts-{name}.json5"), deployment);
    let state = temporary_folder().join(format!("endpoint-texts-{name}-state"));
    let _ = fs::remove_dir_all(&state);
    let state = state.to_str().expect("a path in UTF-8");
    ListeningProcess::start(&[
        "rollout",
        "coordinate",
        "--deployment",
        &deployment,
        "--state",
        state,
    ])
}

/// Runs `orchidtally rollout`; returns its output and exit code.
fn rollout(coordinator: &ListeningProcess, arguments: &[&str]) -> (String, Option<i32>) {
    let mut command = Command::new(PROGRAM);
    let output = command
        .arg("rollout")
        .args(arguments)
        .args(["--at", &coordinator.address])
        .output();
    let output = output.expect("the process starts");
    (
        String::from_utf8(output.stdout).expect("text"),
        output.status.code(),
    )
}

#[test]
fn a_rollout_forecast_has_the_same_text_and_figures() {
    let coordinator = start_coordinator("forecast");
    let plan = write_file(
        "endpoint-texts-plan.json5",
        include_str!("endpoint_texts/plan.json5"),
    );
    let (table, code) = rollout(&coordinator, &["start", &plan, "--dry-run"]);
    assert_eq!(code, Some(0));
    assert_matches_fixture("dry_run_table.txt", &table);
    let (json, code) = rollout(
        &coordinator,
        &["start", &plan, "--dry-run", "--output", "json"],
    );
    assert_eq!(code, Some(0));
    assert_matches_fixture("dry_run.json", &json);
}

#[test]
fn the_status_of_a_rollout_has_the_same_keys() {
    let coordinator = start_coordinator("status");
    let plan = write_file(
        "endpoint-texts-started.json5",
        include_str!("endpoint_texts/plan.json5"),
    );
    assert_eq!(rollout(&coordinator, &["start", &plan]).1, Some(0));
    assert_eq!(rollout(&coordinator, &["pause", "pinned"]).1, Some(0));
    let (status, _) = rollout(&coordinator, &["status", "--output", "json"]);
    assert_matches_fixture("rollout_status.txt", &shape_text(&status));
    let (history, _) = rollout(&coordinator, &["history", "pinned", "--output", "json"]);
    assert_matches_fixture("rollout_history.txt", &shape_text(&history));
    let response = coordinator.exchange("GET /v1/rollouts", &[], "");
    let (_, body) = response.split_once("\r\n\r\n").expect("a head and a body");
    assert_matches_fixture("rollouts.txt", &shape_text(body));
}

#[test]
fn a_coordinator_rejects_requests_with_the_same_text() {
    let coordinator = start_coordinator("rejects");
    let requests = [
        (
            "POST /v1/rollouts/orders",
            r#"{"what":"pause","name":"absent"}"#,
        ),
        (
            "POST /v1/rollouts/orders",
            r#"{"what":"start","plan":"{ name: 'x' }","dry":false}"#,
        ),
        ("POST /v1/rollouts/orders", r#"{"what":"no such order"}"#),
        ("POST /v1/rollouts/exchange", "{}"),
        ("GET /v1/rollouts/absent/history", ""),
        ("GET /nowhere", ""),
    ];
    let texts: String = requests
        .iter()
        .map(|(line, body)| coordinator.transcript(line, &[], body))
        .collect();
    assert_matches_fixture("coordinator_refusals.txt", &texts);
}
