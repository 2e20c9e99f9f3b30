//! A front end with MQTT 3.1.1 is given one message that is longer than it takes.

use orchidtally_mqtt::Version;
use review_standins_2::broker::{Broker, Message, Settings};
use review_standins_2::*;
use std::sync::Arc;
use std::time::Duration;

/// The length of the one message's payload, in bytes: with the disruption, and without it.
const LONG: usize = 3 * 1024 * 1024;
const SHORT: usize = 3 * 1024;
/// Commands before it and after it.
const COMMANDS: usize = 5;
/// How long answers are waited for, in seconds: ten client timeouts.
const PATIENCE: u64 = 30;

fn main() {
    std::process::exit(play());
}

fn play() -> i32 {
    let record = Record::create();
    let folder = TemporaryFolder::create();
    let executor = executor::start(
        1,
        Arc::new(|_| (Duration::from_millis(20), executor::succeeded(), b"moved".to_vec())),
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
  functions: [{{ name: "vent", lanes: 4, memory: "100MB", loadTime: "1s", work: "20ms" }}],
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{{ address: "{executor}" }}] }},
  mqtt: {{
    broker: "{broker}", version: "3.1.1", clientId: "gateway-{{index}}",
    journal: {{ folder: "{journals}/mqtt-{{index}}", maxBytes: "256MiB" }},
    setAside: {{ topic: "ops/set-aside", after: 5 }},
    triggers: [
      {{ topic: "house/{{house}}/set/{{function}}", function: "{{function}}", triggerType: "actuator-command",
        key: "{{house}}", timeLeft: "3s", maxBytes: "4KiB", answer: "house/{{house}}/result/{{function}}" }},
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
    let publish = |house: &str, bytes: usize| {
        record.line(format!("publisher: a command of {bytes} bytes for {house}"));
        let message = Message {
            topic: format!("house/{house}/set/vent"),
            payload: vec![b'x'; bytes],
            response_topic: None,
            token: None,
        };
        broker.publish(&message) == 1
    };
    let answered = |name: &str| {
        (0..COMMANDS)
            .filter(|n| {
                let topic = format!("house/{name}-{n}/result/vent");
                broker.answers().iter().any(|answer| answer.topic == topic)
            })
            .count()
    };
    let commands = |name: &str, limit: u64| {
        (0..COMMANDS).for_each(|n| {
            publish(&format!("{name}-{n}"), 20);
            pause(50);
        });
        wait_until(Duration::from_secs(limit), || answered(name) == COMMANDS);
        record.line(format!("{} of {COMMANDS} commands '{name}' are answered", answered(name)));
        answered(name)
    };
    if commands("before", 5) != COMMANDS {
        return could_not_run(&record, process.output());
    }
    publish("one", if has_trouble() { LONG } else { SHORT });
    pause(1_000);
    if commands("after", PATIENCE) != COMMANDS {
        record.line("the front end gets SIGTERM, and is started again with the same index and folder");
        process.signal(libc::SIGTERM);
        process.wait(Duration::from_secs(15));
        process = Process::start(&command, &log);
        commands("restarted", PATIENCE);
    }
    record.line(format!("{} connections", broker.connects().len()));
    let output = process.output();
    let lines: Vec<&str> = output.lines().collect();
    record.line(format!("the front end's log, of {} lines:", lines.len()));
    for line in lines.iter().take(6).chain(lines.iter().skip(lines.len().saturating_sub(4).max(6))) {
        record.line(format!("  {line}"));
    }
    let unanswered = COMMANDS - answered("after");
    if unanswered > 0 {
        record.line(format!("BROKEN: {unanswered} commands after the long message never got an answer"));
        return BROKEN;
    }
    HELD
}
