//! A tokened invocation whose first executor loses its connection after it has run. The other executor of the cell
//! serves one stream at a time and is busy until the cell has forgotten the token.

use review_standins::executor::{Arrival, Reply, Settings};
use review_standins::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long the executors of the cell remember a token, in seconds: `window` of the trigger type.
const WINDOW: f64 = 6.0;
/// How long the invocation that keeps the other executor busy runs, in seconds.
const LONG_RUN: f64 = 7.0;
const LONG: &str = "plan-1";
const SHORT: &str = "plan-2";

/// The cell's memory of tokens, and what its executors ran.
#[derive(Default)]
struct Cell {
    received: HashMap<String, f64>,
    runs: Vec<Run>,
}

struct Run {
    at: f64,
    token: String,
}

impl Cell {
    fn runs_of(&self, token: &str) -> Vec<f64> {
        let runs = self.runs.iter().filter(|run| run.token == token);
        runs.map(|run| run.at).collect()
    }

    /// Runs a dispatch, unless its token came within the window.
    fn run(&mut self, record: &Record, arrival: &Arrival) -> (Duration, Reply) {
        let (now, token) = (record.now(), &arrival.dispatch.token);
        self.received.retain(|_, at| now < *at + WINDOW);
        if self.received.contains_key(token) {
            record.line(format!(
                "the cell knows token '{token}': dropped as a repeat"
            ));
            return (Duration::ZERO, Reply::Body(b"repeat".to_vec()));
        }
        let executor = arrival.executor;
        record.line(format!("executor {executor} RUNS token '{token}'"));
        self.received.insert(token.clone(), now);
        let is_first = self.runs_of(token).is_empty();
        self.runs.push(Run {
            at: now,
            token: token.clone(),
        });
        if token == LONG {
            return (
                Duration::from_secs_f64(LONG_RUN),
                Reply::Body(b"done".to_vec()),
            );
        }
        let reply = if has_trouble() && is_first {
            Reply::CloseConnection
        } else {
            Reply::Body(b"done".to_vec())
        };
        (Duration::from_millis(50), reply)
    }
}

fn main() {
    std::process::exit(play());
}

fn play() -> i32 {
    let record = Arc::new(Record::create());
    let folder = TemporaryFolder::create();
    let cell: Arc<Mutex<Cell>> = Arc::default();
    let start = |number: usize| {
        let (cell, log) = (cell.clone(), record.clone());
        let settings = Settings {
            number,
            max_streams: 1,
            script: Arc::new(move |arrival| cell.lock().unwrap().run(&log, arrival)),
        };
        executor::start(settings, record.clone())
    };
    let (one, two) = (start(1), start(2));
    let front_end = free_address();
    let file = folder.write(
        "deployment.json5",
        &format!(
            r#"{{
  name: "harbour-cranes",
  listen: "{front_end}",
  locations: ["north-quay"],
  kinds: ["rack"],
  frontEnds: {{ count: 1, index: 0, clockSkew: "500ms" }},
  triggerTypes: [
    {{ name: "berth-plan", effect: "tokened", group: "cell", window: "6s", objective: "2s", timeout: "8s", billedValue: 2 }},
  ],
  functions: [
    {{ name: "berth-order", lanes: 1, memory: "640MB", loadTime: "2.5s", work: "200ms" }},
    {{ name: "berth-swap", lanes: 1, memory: "640MB", loadTime: "2.5s", work: "200ms" }},
  ],
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [
    {{ address: "{one}", location: "north-quay", kind: "rack", cell: 1 }},
    {{ address: "{two}", location: "north-quay", kind: "rack", cell: 1 }},
  ] }},
  limits: {{ maxDispatches: 3, bodyBytes: "8MiB", connectTime: "150ms", streamsPerConnection: 32 }},
}}"#
        ),
    );
    let command = format!(
        "exec target/release/orchidtally serve --deployment {}",
        file.display()
    );
    let process = Process::start(&command, &[], &folder.0.join("log"));
    let is_up = || client::request(front_end, "GET", "/v1/front-end", &[], b"").is_ok();
    if !wait_until(Duration::from_secs(10), is_up) {
        record.line(format!(
            "the front end does not serve: {}",
            process.output()
        ));
        return COULD_NOT_RUN;
    }
    let ask = |function: &'static str, token: &'static str| {
        let record = record.clone();
        std::thread::spawn(move || {
            let path = format!("/v1/functions/{function}/invocations");
            record.line(format!("client asks for {function}, token '{token}'"));
            let headers = [("idempotency-key", token)];
            let status = match client::request(front_end, "POST", &path, &headers, b"berth 4") {
                Ok(answer) => answer.status,
                Err(error) => {
                    record.line(format!("client: token '{token}': {error}"));
                    return 0;
                }
            };
            record.line(format!("client: token '{token}' is answered {status}"));
            status
        })
    };
    let long = ask("berth-order", LONG);
    std::thread::sleep(Duration::from_millis(400));
    let short = ask("berth-swap", SHORT);
    let answers = [long.join().unwrap_or(0), short.join().unwrap_or(0)];
    std::thread::sleep(Duration::from_millis(500));
    let cell = cell.lock().unwrap();
    let runs = cell.runs_of(SHORT);
    record.line(format!(
        "token '{SHORT}' ran {} times, at {runs:.3?}",
        runs.len()
    ));
    if runs.is_empty() || answers.contains(&0) {
        return COULD_NOT_RUN;
    }
    if let [first, second, ..] = runs[..] {
        record.line(format!(
            "BROKEN: token '{SHORT}' was sent again {:.3} s after it ran, window {WINDOW} s: it ran twice",
            second - first
        ));
        return BROKEN;
    }
    HELD
}
