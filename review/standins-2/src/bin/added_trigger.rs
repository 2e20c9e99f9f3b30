//! A trigger is added to the deployment file, and the front end is restarted, as its pages ask for. The broker has kept
//! the front end's session.

use orchidtally_mqtt::Version;
use review_standins_2::broker::{Broker, Message, Settings};
use review_standins_2::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Commands for each topic.
const COMMANDS: usize = 5;
/// The client timeout of the trigger type, in seconds, and some time for the machine.
const CLIENT_TIMEOUT: u64 = 3;
const SLACK: u64 = 2;

const SET: &str = r#"{ topic: "house/{house}/set/{function}", function: "{function}", triggerType: "actuator-command",
        key: "{house}", timeLeft: "2s" },"#;
const YARD: &str = r#"{ topic: "yard/{yard}/set/{function}", function: "{function}", triggerType: "actuator-command",
        key: "{yard}", timeLeft: "2s" },"#;

fn main() {
    std::process::exit(play());
}

fn deployment(
    front_end: SocketAddr,
    executor: SocketAddr,
    broker: SocketAddr,
    folder: &TemporaryFolder,
    triggers: &str,
) -> String {
    let journals = folder.0.display();
    format!(
        r#"{{
  name: "greenhouses",
  listen: "{front_end}",
  frontEnds: {{ count: 1, index: 0, clockSkew: "500ms" }},
  triggerTypes: [
    {{ name: "actuator-command", effect: "nonIdempotent", objective: "500ms", timeout: "{CLIENT_TIMEOUT}s", billedValue: 5 }},
  ],
  functions: [
    {{ name: "mist", lanes: 4, memory: "200MB", loadTime: "2s", work: "50ms" }},
    {{ name: "vent", lanes: 4, memory: "100MB", loadTime: "1s", work: "20ms" }},
  ],
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{{ address: "{executor}" }}] }},
  mqtt: {{
    broker: "{broker}", version: "5", clientId: "gateway-{{index}}", sessionExpiry: "1h",
    journal: {{ folder: "{journals}/mqtt-{{index}}", maxBytes: "256MiB" }},
    triggers: [
      {triggers}
    ],
  }},
}}
"#
    )
}

fn play() -> i32 {
    let record = Record::create();
    let folder = TemporaryFolder::create();
    let executor = executor::start(
        1,
        Arc::new(|_| {
            (
                Duration::from_millis(20),
                executor::succeeded(),
                b"moved".to_vec(),
            )
        }),
        executor::loads_at_once(),
        record.clone(),
    );
    let broker = Broker::start(Settings::plain(Version::V5), &record);
    let front_end = free_address();
    let text = |triggers: &str| deployment(front_end, executor, broker.address, &folder, triggers);
    let both = format!("{SET}\n      {YARD}");
    let before = if has_trouble() { SET } else { both.as_str() };
    let file = folder.write("deployment.json5", &text(before));
    let command = format!(
        "exec target/release/orchidtally serve --deployment {}",
        file.display()
    );
    let log = folder.0.join("log");

    record.line(format!(
        "the front end starts with {} trigger(s)",
        before.matches("topic").count()
    ));
    let mut process = Process::start(&command, &log);
    let is_served = |connects: usize| {
        wait_until(Duration::from_secs(10), || {
            client::is_up(front_end) && broker.connects().len() >= connects
        })
    };
    if !is_served(1) || !wait_until(Duration::from_secs(5), || !broker.subscribes().is_empty()) {
        return could_not_run(&record, process.output());
    }
    if commands(&broker, "house/rose-house", "before", &record) != COMMANDS {
        return could_not_run(&record, process.output());
    }

    folder.write("deployment.json5", &text(&both));
    let check = format!("exec target/release/orchidtally check {}", file.display());
    if Process::start(&check, &folder.0.join("check")).wait(Duration::from_secs(10))
        != Some(Some(0))
    {
        return could_not_run(&record, "the new file does not pass the check");
    }
    record.line("the file with both triggers passes the check; SIGTERM to the front end");
    process.signal(libc::SIGTERM);
    let ended = process.wait(Duration::from_secs(10));
    record.line(format!(
        "the front end has ended with {ended:?}, and is started again"
    ));
    if ended != Some(Some(0)) {
        return could_not_run(&record, process.output());
    }
    let mut process = Process::start(&command, &log);
    if !is_served(2) {
        return could_not_run(&record, process.output());
    }
    pause(1_000);

    let known = commands(&broker, "house/rose-house", "after", &record);
    let added = commands(&broker, "yard/north-yard", "after", &record);
    let limit = Duration::from_secs(2);
    let status = client::request(front_end, "GET", "/v1/front-end", &[], b"", limit);
    record.line(format!(
        "the front end says {}",
        status.map_or(String::new(), |s| s.text())
    ));
    record.line(format!(
        "the broker got SUBSCRIBE for {:?}",
        broker.subscribes()
    ));
    process.signal(libc::SIGTERM);
    process.wait(Duration::from_secs(10));
    record.line(format!("the front end's log:\n{}", process.output()));
    if known != COMMANDS {
        return could_not_run(&record, "the trigger that stood before is not served");
    }
    if added < COMMANDS {
        record.line(format!(
            "BROKEN: {} of {COMMANDS} commands on the topic of the new trigger got no answer",
            COMMANDS - added
        ));
        return BROKEN;
    }
    HELD
}

/// Publishes commands with QoS 2 and waits for their answers; returns how many came within the client timeout.
fn commands(broker: &Broker, place: &str, name: &str, record: &Record) -> usize {
    let answers = |topic: &str| {
        broker
            .answers()
            .iter()
            .filter(|answer| answer.topic == topic)
            .count()
    };
    let topics: Vec<String> = (1..=COMMANDS)
        .map(|number| format!("{place}/done/{name}-{number}"))
        .collect();
    for topic in &topics {
        let taken = broker.publish(&Message {
            topic: format!("{place}/set/vent"),
            payload: b"open".to_vec(),
            response_topic: Some(topic.clone()),
            token: None,
        });
        record.line(format!(
            "publisher: a command on {place}/set/vent, for {taken} session(s)"
        ));
        pause(50);
    }
    wait_until(Duration::from_secs(CLIENT_TIMEOUT + SLACK), || {
        topics.iter().all(|topic| answers(topic) > 0)
    });
    let answered = topics.iter().filter(|topic| answers(topic) > 0).count();
    record.line(format!(
        "{answered} of {COMMANDS} commands on {place} are answered"
    ));
    answered
}
