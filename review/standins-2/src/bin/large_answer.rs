//! A front end is killed while the broker records an answer in place of one that is longer than the broker takes.

use orchidtally_executor_protocol::v1;
use orchidtally_mqtt::Version;
use review_standins_2::broker::{Broker, Message, Settings};
use review_standins_2::*;
use std::sync::Arc;
use std::time::Duration;

/// The largest packet that the broker takes, and the length of one answer, in bytes.
const MAX_PACKET: u32 = 64 * 1024;
const LARGE: usize = 100 * 1024;
/// How long the broker takes to record a publication, in milliseconds.
const RECORDING: u64 = 300;
/// Commands after the restart.
const COMMANDS: usize = 5;
/// How long answers are waited for, in seconds: five client timeouts.
const PATIENCE: u64 = 15;

fn main() {
    std::process::exit(play());
}

fn play() -> i32 {
    let record = Record::create();
    let folder = TemporaryFolder::create();
    let answer = |dispatch: &v1::Dispatch| {
        let body = if dispatch.function == "report" {
            vec![b'x'; LARGE]
        } else {
            b"moved".to_vec()
        };
        (Duration::from_millis(20), executor::succeeded(), body)
    };
    let executor = executor::start(
        1,
        Arc::new(answer),
        executor::loads_at_once(),
        record.clone(),
    );
    let settings = Settings {
        version: Version::V5,
        max_packet: Some(MAX_PACKET),
        recording: Duration::from_millis(RECORDING),
    };
    let broker = Broker::start(settings, &record);
    let front_end = free_address();
    let text = format!(
        r#"{{
  name: "greenhouses",
  listen: "{front_end}",
  frontEnds: {{ count: 1, index: 0, clockSkew: "500ms" }},
  triggerTypes: [
    {{ name: "actuator-command", effect: "nonIdempotent", objective: "500ms", timeout: "3s", billedValue: 5 }},
  ],
  functions: [
    {{ name: "vent", lanes: 4, memory: "100MB", loadTime: "1s", work: "20ms" }},
    {{ name: "report", lanes: 4, memory: "100MB", loadTime: "1s", work: "20ms" }},
  ],
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{{ address: "{executor}" }}] }},
  mqtt: {{
    broker: "{broker}", version: "5", clientId: "gateway-{{index}}",
    journal: {{ folder: "{journals}/mqtt-{{index}}", maxBytes: "256MiB" }},
    triggers: [
      {{ topic: "house/{{house}}/set/{{function}}", function: "{{function}}", triggerType: "actuator-command",
        key: "{{house}}", timeLeft: "3s" }},
    ],
  }},
}}
"#,
        broker = broker.address,
        journals = folder.0.display()
    );
    let file = folder.write("deployment.json5", &text);
    let command = format!(
        "exec target/release/orchidtally serve --deployment {}",
        file.display()
    );
    let log = folder.0.join("log");
    let mut process = Process::start(&command, &log);
    let is_subscribed = || client::is_up(front_end) && !broker.subscribes().is_empty();
    if !wait_until(Duration::from_secs(10), is_subscribed) {
        return could_not_run(&record, process.output());
    }
    let publish = |function: &str, answer: &str| {
        record.line(format!(
            "publisher: a command for {function}, answer wanted on {answer}"
        ));
        broker.publish(&Message {
            topic: format!("house/rose-house/set/{function}"),
            payload: answer.as_bytes().to_vec(),
            response_topic: Some(answer.to_owned()),
            token: None,
        });
    };
    let is_answered = |topic: &str| broker.answers().iter().any(|answer| answer.topic == topic);
    publish("report", "house/rose-house/done/report");
    if !wait_until(Duration::from_secs(5), || {
        is_answered("house/rose-house/done/report")
    }) {
        return could_not_run(&record, process.output());
    }
    for answer in broker.answers() {
        let text = String::from_utf8_lossy(&answer.payload).into_owned();
        record.line(format!(
            "broker: records an answer, {:?}: {text}",
            answer.outcome
        ));
    }
    if has_trouble() {
        pause(RECORDING / 3);
        record.line("the front end is killed, and started again with the same index and folder");
        process.kill();
        process = Process::start(&command, &log);
        if !wait_until(Duration::from_secs(10), || broker.connects().len() > 1) {
            return could_not_run(&record, process.output());
        }
    }
    pause(1_000);
    let topics: Vec<String> = (1..=COMMANDS)
        .map(|number| format!("house/rose-house/done/{number}"))
        .collect();
    for topic in &topics {
        publish("vent", topic);
        pause(50);
    }
    wait_until(Duration::from_secs(PATIENCE), || {
        topics.iter().all(|topic| is_answered(topic))
    });
    let answered = topics.iter().filter(|topic| is_answered(topic)).count();
    record.line(format!(
        "{answered} of {COMMANDS} commands are answered; {} connections, {} packets were too long for the broker",
        broker.connects().len(),
        broker.refused()
    ));
    let output = process.output();
    let lines: Vec<&str> = output.lines().collect();
    record.line(format!(
        "the front end's log, the last of {} lines:\n{}",
        lines.len(),
        lines[lines.len().saturating_sub(10)..].join("\n")
    ));
    if answered < COMMANDS {
        record.line(format!(
            "BROKEN: {} of {COMMANDS} commands have no answer after {PATIENCE} s",
            COMMANDS - answered
        ));
        return BROKEN;
    }
    HELD
}
