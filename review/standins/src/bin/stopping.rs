//! SIGTERM while the broker is away and a message's answer waits for it. Clients with open connections go on.

use review_standins::broker::Broker;
use review_standins::executor::{Arrival, Reply, Settings};
use review_standins::*;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Clients with a connection each.
const CLIENTS: usize = 4;
/// How long a function runs, in seconds.
const RUN: f64 = 0.7;

/// The names of invocations that reached the executor, and of those that their clients got an answer to.
#[derive(Default)]
struct Seen {
    reached: Vec<String>,
    answered: Vec<String>,
    unanswered: Vec<String>,
}

fn main() {
    std::process::exit(play());
}

fn play() -> i32 {
    let record = Arc::new(Record::create());
    let folder = TemporaryFolder::create();
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let reached = seen.clone();
    let settings = Settings {
        number: 1,
        max_streams: 100,
        script: Arc::new(move |arrival: &Arrival| {
            let name = arrival.dispatch.invocation.clone();
            reached.lock().unwrap().reached.push(name);
            (Duration::from_secs_f64(RUN), Reply::Body(b"moved".to_vec()))
        }),
    };
    let executor = executor::start(settings, record.clone());
    let broker = Broker::start(record.clone());
    let front_end = free_address();
    let file = folder.write(
        "deployment.json5",
        &format!(
            r#"{{
  name: "greenhouses",
  listen: "{front_end}",
  frontEnds: {{ count: 1, index: 0, clockSkew: "500ms" }},
  triggerTypes: [
    {{ name: "actuator-command", effect: "nonIdempotent", objective: "500ms", timeout: "3s", billedValue: 5, journalled: true }},
  ],
  functions: [
    {{ name: "mist", lanes: 16, memory: "200MB", loadTime: "2s", work: "50ms" }},
    {{ name: "vent", lanes: 16, memory: "100MB", loadTime: "1s", work: "20ms" }},
  ],
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{{ address: "{executor}" }}] }},
  journal: {{ folder: "{journals}/http-{{index}}", keep: "1h" }},
  mqtt: {{
    broker: "{broker}", version: "5",
    clientId: "gateway-{{index}}",
    journal: {{ folder: "{journals}/mqtt-{{index}}", maxBytes: "256MiB" }},
    triggers: [
      {{ topic: "house/{{house}}/set/{{function}}", function: "{{function}}", triggerType: "actuator-command",
        key: "{{house}}", timeLeft: "2s" }},
    ],
  }},
}}"#,
            broker = broker.address,
            journals = folder.0.display()
        ),
    );
    let command = format!(
        "exec target/release/orchidtally serve --deployment {}",
        file.display()
    );
    let mut process = Process::start(&command, &[], &folder.0.join("log"));
    let is_up = || {
        broker.events.subscribed.load(Ordering::SeqCst)
            && client::request(front_end, "GET", "/v1/front-end", &[], b"").is_ok()
    };
    if !wait_until(Duration::from_secs(10), is_up) {
        record.line(format!(
            "the front end does not serve: {}",
            process.output()
        ));
        return COULD_NOT_RUN;
    }
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|n| {
            let (seen, record) = (seen.clone(), record.clone());
            std::thread::spawn(move || ask(front_end, n, &seen, &record))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    record.line("broker: delivers a message on house/rose-house/set/mist");
    broker.deliver("house/rose-house/set/mist", "house/rose-house/done", "on");
    let is_completed = || broker.events.completed.load(Ordering::SeqCst);
    if !wait_until(Duration::from_secs(5), is_completed) {
        record.line(format!("the message is not taken: {}", process.output()));
        return COULD_NOT_RUN;
    }
    if has_trouble() {
        record.line("broker: goes away");
        broker.stop();
    }
    std::thread::sleep(Duration::from_millis(200));
    record.line("SIGTERM to the front end");
    process.signal(libc::SIGTERM);
    let ended = process.wait(Duration::from_secs(20));
    record.line(format!("the front end has ended with {ended:?}"));
    for client in clients {
        let _ = client.join();
    }
    record.line(format!("the front end's log:\n{}", process.output()));
    if ended.is_none() {
        return COULD_NOT_RUN;
    }
    let seen = seen.lock().unwrap();
    let lost: Vec<&String> = seen
        .unanswered
        .iter()
        .filter(|name| seen.reached.contains(name))
        .collect();
    record.line(format!(
        "{} invocations answered, {} connections ended with one open, {} of these had been dispatched: {lost:?}",
        seen.answered.len(),
        seen.unanswered.len(),
        lost.len()
    ));
    if seen.answered.is_empty() {
        return COULD_NOT_RUN;
    }
    if !lost.is_empty() {
        record.line(format!(
            "BROKEN: {} invocations that were taken and dispatched got no answer",
            lost.len()
        ));
        return BROKEN;
    }
    HELD
}

/// Asks again and again on one connection, until the front end ends it or says that it will.
fn ask(front_end: SocketAddr, client: usize, seen: &Mutex<Seen>, record: &Record) {
    let Ok(mut stream) = client::connect(front_end) else {
        return record.line(format!("client {client} can't connect"));
    };
    for number in 1.. {
        let name = format!("command-{client}-{number}");
        let headers = [("orchidtally-invocation", name.as_str())];
        let path = "/v1/functions/vent/invocations";
        record.line(format!("client {client} sends {name}"));
        let answer = client::send_on(&mut stream, "POST", path, &headers, b"open")
            .and_then(|()| client::receive(&mut stream, 0, Duration::ZERO));
        match answer {
            Ok(answer) if answer.is_whole => {
                let is_last = answer.header("connection") == Some("close");
                let last = if is_last { ", connection: close" } else { "" };
                record.line(format!(
                    "client {client}: {name} is answered {}{last}",
                    answer.status
                ));
                seen.lock().unwrap().answered.push(name);
                if is_last {
                    return;
                }
            }
            other => {
                let why = other
                    .err()
                    .map_or("cut short".to_owned(), |error| error.to_string());
                record.line(format!("client {client}: no answer to {name}: {why}"));
                seen.lock().unwrap().unanswered.push(name);
                return;
            }
        }
    }
}
