//! A rollout is taken back while invocations of its version wait for a copy. An earlier rollout of the same function has
//! ended before.

use orchidtally_executor_protocol::v1;
use review_standins_2::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const OLD: &str = "aaaa000000000000000000000000000000000000000000000000000000000000";
const NEW: &str = "bbbb000000000000000000000000000000000000000000000000000000000000";
/// How long the store takes for a load while it is crowded, in milliseconds.
const SLOW_LOAD: u64 = 3_000;
/// "it is over everywhere in two rounds, a second", and some time for the machine, in seconds.
const OVER_AFTER: f64 = 1.0 + 0.5;

fn main() {
    std::process::exit(play());
}

/// What the executor has seen.
#[derive(Default)]
struct Seen {
    /// First dispatches: when, and of which version, by invocation.
    first: BTreeMap<String, (f64, String)>,
}

fn play() -> i32 {
    let record = Record::create();
    let folder = TemporaryFolder::create();
    let seen: Arc<Mutex<Seen>> = Arc::default();
    // Whether the executor has a copy of the new version, and whether the store is crowded.
    let (has_new, is_crowded) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let dispatches = {
        let (seen, has_new, record) = (seen.clone(), has_new.clone(), record.clone());
        move |dispatch: &v1::Dispatch| {
            let arrival = (record.now(), dispatch.digest.clone());
            lock(&seen).first.entry(dispatch.invocation.clone()).or_insert(arrival);
            if dispatch.digest == NEW && !has_new.load(Ordering::SeqCst) {
                let miss = v1::Answer {
                    ending: v1::Ending::Miss.into(),
                    ..v1::Answer::default()
                };
                return (Duration::ZERO, miss, vec![]);
            }
            let time = Duration::from_millis(30);
            (time, executor::succeeded(), dispatch.digest[..4].as_bytes().to_vec())
        }
    };
    let orders = {
        let (has_new, is_crowded) = (has_new.clone(), is_crowded.clone());
        move |order: &v1::Order| {
            let is_new = order.digest == NEW;
            let is_hold = order.kind() == v1::OrderKind::Hold;
            let is_slow = is_new && is_crowded.load(Ordering::SeqCst);
            let time = Duration::from_millis(if is_slow && is_hold { SLOW_LOAD } else { 100 });
            let copies = if is_new && !is_hold && !has_new.load(Ordering::SeqCst) {
                0
            } else {
                order.copies.max(1)
            };
            if is_new && is_hold {
                let has_new = has_new.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(time);
                    has_new.store(true, Ordering::SeqCst);
                });
            }
            let answer = v1::OrderAnswer {
                ending: v1::Ending::Ok.into(),
                copies,
                ..v1::OrderAnswer::default()
            };
            (time + Duration::from_millis(20), answer)
        }
    };
    let executor = executor::start(1, Arc::new(dispatches), Arc::new(orders), record.clone());
    let (front_end, coordinator) = (free_address(), free_address());
    let file = folder.write(
        "deployment.json5",
        &format!(
            r#"{{
  name: "greenhouses",
  listen: "{front_end}",
  frontEnds: {{ count: 1, index: 0, clockSkew: "500ms" }},
  triggerTypes: [{{ name: "actuator-command", effect: "nonIdempotent", objective: "6s", timeout: "10s", billedValue: 5 }}],
  functions: [
    {{ name: "mist", lanes: 16, loadTime: "1s", work: "30ms",
      versions: [{{ digest: "sha256:{OLD}" }}, {{ digest: "sha256:{NEW}" }}],
      aliases: {{ stable: "sha256:{OLD}", next: "sha256:{NEW}" }} }},
  ],
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{{ address: "{executor}" }}] }},
  loading: {{ orders: true, answersMiss: true, rationFloor: 20, rationShare: 0.5, keepAlive: "20s" }},
  rollouts: {{ coordinators: ["{coordinator}"], every: "500ms" }},
}}
"#
        ),
    );
    let program = "target/release/orchidtally";
    let log = folder.0.join("log");
    let state = folder.0.join("state");
    let _coordinator = Process::start(
        &format!(
            "exec {program} rollout coordinate --deployment {} --state {} --listen {coordinator}",
            file.display(),
            state.display()
        ),
        &folder.0.join("coordinator-log"),
    );
    let front = Process::start(
        &format!("exec {program} serve --deployment {}", file.display()),
        &log,
    );
    if !wait_until(Duration::from_secs(10), || client::is_up(front_end)) {
        return could_not_run(&record, front.output());
    }
    pause(1_500);
    let operator = |arguments: &str| operate(&format!("{arguments} --at {coordinator}"), &folder.0, &record);
    let plan = |name: &str| {
        let text = format!(
            r#"{{ name: "{name}", function: "mist", to: "next", loadsPerSecond: 2, holdback: 0, rate: 20,
  steps: [{{ share: 0.5, leastTime: "10m", leastEvidence: 1000 }}, {{ share: 1 }}] }}"#
        );
        folder.write(&format!("{name}.json5"), &text).display().to_string()
    };
    let (first, second) = (plan("misting-9"), plan("misting-10"));
    let asks = Asks::start(front_end, &record);

    if has_trouble() {
        // The earlier rollout of the function: started, and taken back.
        let is_done = operator(&format!("rollout start {first}"))
            && is_shifted(&seen, &record)
            && operator("rollout back misting-9");
        if !is_done {
            return could_not_run(&record, front.output());
        }
        pause(3_000);
    }
    if !operator(&format!("rollout start {second}")) || !is_shifted(&seen, &record) {
        return could_not_run(&record, front.output());
    }
    pause(1_000);
    record.line("executor 1: the copy of the new version has given way; the store is crowded");
    is_crowded.store(true, Ordering::SeqCst);
    has_new.store(false, Ordering::SeqCst);
    pause(700);
    if !operator("rollout back misting-10") {
        return could_not_run(&record, front.output());
    }
    let back_at = record.now();
    pause(SLOW_LOAD + 1_500);
    let answered = asks.stop();
    record.line(format!("{answered} invocations were answered"));
    record.line(format!("the front end's log:\n{}", front.output()));
    let seen = lock(&seen);
    let late: Vec<String> = seen
        .first
        .iter()
        .filter(|(_, (at, digest))| digest == NEW && *at > back_at + OVER_AFTER)
        .map(|(name, (at, _))| format!("{name} {:.2} s after it", at - back_at))
        .collect();
    let old_since = seen
        .first
        .values()
        .filter(|(at, digest)| digest == OLD && *at > back_at)
        .count();
    record.line(format!("{old_since} first dispatches of the old version since the rollout was taken back"));
    if old_since == 0 {
        return could_not_run(&record, "nothing was dispatched after the rollout was taken back");
    }
    if !late.is_empty() {
        record.line(format!(
            "BROKEN: {} invocations had their first dispatch with the version that was taken back more than \
             {OVER_AFTER} s before: {late:?}",
            late.len()
        ));
        return BROKEN;
    }
    HELD
}

/// Waits until the executor gets the new version.
fn is_shifted(seen: &Mutex<Seen>, record: &Record) -> bool {
    let since = record.now();
    wait_until(Duration::from_secs(15), || {
        lock(seen).first.values().any(|(at, digest)| digest == NEW && *at > since)
    })
}

/// Runs a command of an operator; returns whether it ended with 0.
fn operate(arguments: &str, folder: &Path, record: &Record) -> bool {
    let log = folder.join("operator-log");
    let _ = std::fs::remove_file(&log);
    let mut process = Process::start(&format!("exec target/release/orchidtally {arguments}"), &log);
    let ended = process.wait(Duration::from_secs(10)).flatten();
    let shown = arguments.split('/').next_back().unwrap_or_default();
    record.line(format!("operator: {shown}: exit code {ended:?}"));
    if ended != Some(0) {
        record.line(process.output());
    }
    ended == Some(0)
}

/// Clients that ask for the function 20 times a second.
struct Asks {
    stops: Arc<AtomicBool>,
    thread: std::thread::JoinHandle<usize>,
}

impl Asks {
    fn start(front_end: SocketAddr, record: &Arc<Record>) -> Asks {
        let stops = Arc::new(AtomicBool::new(false));
        let (stopped, record) = (stops.clone(), record.clone());
        let thread = std::thread::spawn(move || {
            let mut open = vec![];
            for number in 0.. {
                if stopped.load(Ordering::SeqCst) {
                    break;
                }
                let record = record.clone();
                open.push(std::thread::spawn(move || ask(front_end, number, &record)));
                pause(50);
            }
            open.into_iter().filter_map(|ask| ask.join().ok()).filter(|answered| *answered).count()
        });
        Asks { stops, thread }
    }

    fn stop(self) -> usize {
        self.stops.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or(0)
    }
}

fn ask(front_end: SocketAddr, number: usize, record: &Record) -> bool {
    let name = format!("ask-{number:04}");
    let headers = [("orchidtally-invocation", name.as_str())];
    let path = "/v1/functions/mist/invocations";
    let answer = client::request(front_end, "POST", path, &headers, b"on", Duration::from_secs(15));
    record.line(match &answer {
        Ok(answer) => format!("client: {name} is answered {} '{}'", answer.status, answer.text()),
        Err(error) => format!("client: {name} has no answer: {error}"),
    });
    answer.is_ok()
}
