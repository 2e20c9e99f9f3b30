//! A tokened invocation runs at an executor that dies; its client is told that asking again is harmless, and does.

use orchidtally_executor_protocol::v1;
use review_standins_2::executor::{DispatchScript, Executor};
use review_standins_2::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

/// How long the executors drop repeats of a token: the trigger type's `window`, in seconds.
const WINDOW: f64 = 6.0;
/// How long the executor is away after its death, in seconds.
const AWAY: f64 = 8.1;
const TOKEN: &str = "plan-7f3a";

fn main() {
    std::process::exit(play());
}

/// What the executor has run, and the tokens that it remembers, also over its death.
#[derive(Default)]
struct Ran {
    remembered: HashMap<String, Instant>,
    runs: Vec<f64>,
}

fn play() -> i32 {
    let record = Record::create();
    let folder = TemporaryFolder::create();
    let ran: Arc<Mutex<Ran>> = Arc::default();
    let (began, begun) = mpsc::channel();
    let began = Mutex::new(began);
    let script: DispatchScript = {
        let (ran, record) = (ran.clone(), record.clone());
        Arc::new(move |dispatch: &v1::Dispatch| {
            if dispatch.trigger_type != "berth-plan" {
                return (Duration::from_millis(60), executor::succeeded(), b"seen".to_vec());
            }
            let mut ran = lock(&ran);
            ran.remembered.retain(|_, at| at.elapsed().as_secs_f64() < WINDOW);
            if ran.remembered.contains_key(&dispatch.token) {
                record.line(format!("executor 1: drops a repeat of {}", dispatch.token));
            } else {
                ran.remembered.insert(dispatch.token.clone(), Instant::now());
                ran.runs.push(record.now());
                record.line(format!("executor 1: RUNS {}", dispatch.token));
            }
            let _ = lock(&began).send(());
            (Duration::from_millis(200), executor::succeeded(), b"planned".to_vec())
        })
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let start = |at| executor::start_at(at, 1, script.clone(), executor::loads_at_once(), record.clone());
    let executor: Executor = start(any);
    let address = executor.address;
    let front_end = free_address();
    let text = format!(
        r#"{{
  name: "harbour-cranes",
  listen: "{front_end}",
  frontEnds: {{ count: 1, index: 0, clockSkew: "500ms" }},
  triggerTypes: [
    {{ name: "berth-plan", effect: "tokened", group: "all", window: "{WINDOW}s", objective: "2s", timeout: "8s", billedValue: 2 }},
    {{ name: "camera-look", effect: "idempotent", objective: "400ms", timeout: "2s", lateShare: 0.3 }},
  ],
  functions: [
    {{ name: "berth-order", lanes: 2, memory: "640MB", loadTime: "2.5s", work: "200ms" }},
    {{ name: "hook-find", lanes: 8, memory: "1.2GB", loadTime: "4s", work: "60ms" }},
  ],
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{{ address: "{address}" }}] }},
  limits: {{ maxDispatches: 3, connectTime: "150ms" }},
  loading: {{ orders: true, keepAlive: "20s", rationFloor: 2, rationShare: 0.1, rationWindow: "5s" }},
}}
"#
    );
    let file = folder.write("deployment.json5", &text);
    let command = format!("exec target/release/orchidtally serve --deployment {}", file.display());
    let process = Process::start(&command, &folder.0.join("log"));
    if !wait_until(Duration::from_secs(10), || client::is_up(front_end)) {
        return could_not_run(&record, process.output());
    }
    // Other clients ask for what may run again, five times a second.
    std::thread::spawn(move || {
        loop {
            std::thread::spawn(move || {
                let headers = [("orchidtally-trigger-type", "camera-look")];
                let path = "/v1/functions/hook-find/invocations";
                client::request(front_end, "POST", path, &headers, b"", Duration::from_secs(4))
            });
            pause(200);
        }
    });
    pause(1_000);
    let client = {
        let record = record.clone();
        std::thread::spawn(move || ask_until_done(front_end, &record))
    };
    if begun.recv_timeout(Duration::from_secs(5)).is_err() {
        return could_not_run(&record, process.output());
    }
    let _later: Executor;
    if has_trouble() {
        pause(50);
        record.line("executor 1 dies: its connections are reset, new ones are refused");
        executor.die();
        std::thread::sleep(Duration::from_secs_f64(AWAY));
        record.line("executor 1 is back at its address");
        _later = start(address);
    }
    let answers = client.join().unwrap_or_default();
    pause(500);
    record.line(format!("the front end's log:\n{}", process.output()));
    let runs = lock(&ran).runs.clone();
    record.line(format!("{TOKEN} ran at {runs:?}; its client was answered {answers:?}"));
    if runs.is_empty() || answers.is_empty() {
        return could_not_run(&record, "nothing was run or answered");
    }
    if runs.len() > 1 {
        record.line(format!(
            "BROKEN: {TOKEN} ran {} times, {:.2} s apart; its client had only been answered throttled in between",
            runs.len(),
            runs[1] - runs[0]
        ));
        return BROKEN;
    }
    HELD
}

/// Asks until the answer is another one than 503, each time after the time that the answer names; returns the statuses.
fn ask_until_done(front_end: SocketAddr, record: &Record) -> Vec<u16> {
    let mut statuses = vec![];
    let path = "/v1/functions/berth-order/invocations";
    for number in 0..8 {
        let is_repeat = if number > 0 { "1" } else { "0" };
        let headers = [
            ("orchidtally-trigger-type", "berth-plan"),
            ("idempotency-key", TOKEN),
            ("orchidtally-repeat", is_repeat),
        ];
        record.line(format!("client: asks, token {TOKEN}, repeat {is_repeat}"));
        let Ok(answer) = client::request(front_end, "POST", path, &headers, b"", Duration::from_secs(12)) else {
            record.line("client: no answer");
            return statuses;
        };
        record.line(format!(
            "client: answered {} {}, retry-after {:?}",
            answer.status,
            answer.text(),
            answer.header("retry-after")
        ));
        statuses.push(answer.status);
        if answer.status != 503 {
            return statuses;
        }
        let wait = answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(1);
        std::thread::sleep(Duration::from_secs(wait));
    }
    statuses
}
