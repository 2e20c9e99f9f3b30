//! Messages with large payloads wait at the broker while a front end is away; it is given them when it is back.

use orchidtally_mqtt::Version;
use review_standins_2::broker::{Broker, Message, Settings};
use review_standins_2::*;
use std::sync::Arc;
use std::time::Duration;

/// Messages, each of its own camera, and the length of their payloads in bytes.
const PHOTOS: usize = 240;
const PAYLOAD: usize = 600 * 1024;
/// Between two messages where the front end is there, in milliseconds.
const PACE: u64 = 100;
/// How long answers are waited for after the last message, in seconds.
const PATIENCE: u64 = 60;

fn main() {
    std::process::exit(play());
}

fn play() -> i32 {
    let record = Record::create();
    let folder = TemporaryFolder::create();
    let executor = executor::start(
        1,
        Arc::new(|_| {
            (
                Duration::from_millis(50),
                executor::succeeded(),
                b"frost: none".to_vec(),
            )
        }),
        executor::loads_at_once(),
        record.clone(),
    );
    let broker = Broker::start(Settings::plain(Version::V5), &record);
    let front_end = free_address();
    // The journal, `receiveMaximum`, `inFlight`, `largestPacket` and `limits` are the pages' defaults.
    let text = format!(
        r#"{{
  name: "greenhouses",
  listen: "{front_end}",
  frontEnds: {{ count: 1, index: 0, clockSkew: "500ms" }},
  triggerTypes: [
    {{ name: "reading", effect: "idempotent", objective: "2s", timeout: "10s", lateShare: 0.3 }},
  ],
  functions: [{{ name: "frost", lanes: 16, memory: "100MB", loadTime: "1s", work: "50ms" }}],
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{{ address: "{executor}" }}] }},
  mqtt: {{
    broker: "{broker}", version: "5", clientId: "gateway-{{index}}",
    journal: {{ folder: "{journals}/mqtt-{{index}}", maxBytes: "256MiB" }},
    triggers: [
      {{ topic: "house/{{house}}/photo/{{function}}", function: "{{function}}", triggerType: "reading",
        answer: "house/{{house}}/result/{{function}}" }},
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
    if has_trouble() {
        record.line("the front end is killed");
        process.kill();
    }
    record.line(format!("publisher: {PHOTOS} messages of {PAYLOAD} bytes"));
    for photo in 0..PHOTOS {
        let mut payload = vec![b'.'; PAYLOAD];
        payload[..8].copy_from_slice(format!("{photo:08}").as_bytes());
        let taken = broker.publish(&Message {
            topic: format!("house/h{photo}/photo/frost"),
            payload,
            response_topic: None,
            token: None,
        });
        if taken != 1 {
            return could_not_run(&record, "the broker has no subscription for a message");
        }
        if !has_trouble() {
            pause(PACE);
        }
    }
    if has_trouble() {
        record.line("the front end is started again, with the same index and folder");
        process = Process::start(&command, &log);
    }
    let answered = || broker.answers().len();
    let is_done = wait_until(Duration::from_secs(PATIENCE), || answered() >= PHOTOS);
    record.line(format!("{} of {PHOTOS} messages are answered", answered()));
    let limit = Duration::from_secs(5);
    let status = client::request(front_end, "GET", "/v1/front-end", &[], b"", limit);
    record.line(format!(
        "the front end says {}",
        status.map_or(String::new(), |s| s.text())
    ));
    let output = process.output();
    let lines: Vec<&str> = output.lines().collect();
    record.line(format!("the front end's log, of {} lines:", lines.len()));
    for line in lines
        .iter()
        .take(6)
        .chain(lines.iter().skip(lines.len().saturating_sub(3).max(6)))
    {
        record.line(format!("  {line}"));
    }
    if !is_done {
        record.line(format!(
            "BROKEN: {} messages have no answer {PATIENCE} s after the front end is back",
            PHOTOS - answered()
        ));
        return BROKEN;
    }
    HELD
}
