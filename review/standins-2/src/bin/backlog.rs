//! Commands are published while a front end with MQTT 3.1.1 is away; the broker keeps them and gives them when it is back.

use orchidtally_mqtt::Version;
use review_standins_2::broker::{Broker, Message, Settings};
use review_standins_2::*;
use std::sync::Arc;
use std::time::Duration;

/// Commands, each of its own house.
const COMMANDS: usize = 1_500;
/// Between two commands where the front end is there, in microseconds.
const PACE: u64 = 5_000;
/// How long answers are waited for, in seconds.
const PATIENCE: u64 = 45;

fn main() {
    std::process::exit(play());
}

fn play() -> i32 {
    let record = Record::create();
    let folder = TemporaryFolder::create();
    let executor = executor::start(
        1,
        Arc::new(|_| (Duration::from_millis(5), executor::succeeded(), b"moved".to_vec())),
        executor::loads_at_once(),
        record.clone(),
    );
    let broker = Broker::start(Settings::plain(Version::V311), &record);
    let front_end = free_address();
    let text = format!(
        r#"{{
  name: "greenhouses",
  listen: "{front_end}",
  frontEnds: {{ count: 1, index: 0, clockSkew: "500ms" }},
  triggerTypes: [
    {{ name: "actuator-command", effect: "nonIdempotent", objective: "500ms", timeout: "3s", billedValue: 5 }},
  ],
  functions: [{{ name: "vent", lanes: 16, memory: "100MB", loadTime: "1s", work: "5ms" }}],
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{{ address: "{executor}" }}] }},
  mqtt: {{
    broker: "{broker}", version: "3.1.1", clientId: "gateway-{{index}}",
    journal: {{ folder: "{journals}/mqtt-{{index}}", maxBytes: "256MiB" }},
    triggers: [
      {{ topic: "house/{{house}}/set/{{function}}", function: "{{function}}", triggerType: "actuator-command",
        key: "{{house}}", timeLeft: "3s", answer: "house/{{house}}/result/{{function}}" }},
    ],
  }},
}}
"#,
        broker = broker.address,
        journals = folder.0.display()
    );
    let file = folder.write("deployment.json5", &text);
    let command = format!("exec target/release/orchidtally serve --deployment {}", file.display());
    let log = folder.0.join("log");
    let mut process = Process::start(&command, &log);
    let is_subscribed = || client::is_up(front_end) && !broker.subscribes().is_empty();
    if !wait_until(Duration::from_secs(10), is_subscribed) {
        return could_not_run(&record, process.output());
    }
    if has_trouble() {
        record.line("the front end is killed");
        process.kill();
    }
    record.line(format!("publisher: {COMMANDS} commands, each for another house"));
    for house in 0..COMMANDS {
        let taken = broker.publish(&Message {
            topic: format!("house/h{house}/set/vent"),
            payload: format!("{{\"open\":{house}}}").into_bytes(),
            response_topic: None,
        });
        if taken != 1 {
            return could_not_run(&record, "the broker has no subscription for a command");
        }
        if !has_trouble() {
            std::thread::sleep(Duration::from_micros(PACE));
        }
    }
    if has_trouble() {
        record.line("the front end is started again, with the same index and folder");
        process = Process::start(&command, &log);
    }
    let answered = || broker.answers().len();
    let is_done = wait_until(Duration::from_secs(PATIENCE), || answered() >= COMMANDS);
    let connects = broker.connects().len();
    record.line(format!(
        "{} of {COMMANDS} commands are answered, {connects} connections so far",
        answered()
    ));
    let limit = Duration::from_secs(2);
    let status = client::request(front_end, "GET", "/v1/front-end", &[], b"", limit);
    record.line(format!("the front end says {}", status.map_or(String::new(), |s| s.text())));
    let output = process.output();
    let lines: Vec<&str> = output.lines().collect();
    record.line(format!(
        "the front end's log, the last of {} lines:\n{}",
        lines.len(),
        lines[lines.len().saturating_sub(12)..].join("\n")
    ));
    if !is_done {
        record.line(format!(
            "BROKEN: {} commands have no answer {PATIENCE} s after the front end is back",
            COMMANDS - answered()
        ));
        return BROKEN;
    }
    HELD
}
