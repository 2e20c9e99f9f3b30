//! A streamed answer whose client takes nothing for longer than `senderTime`.

use review_standins::executor::{Reply, Settings};
use review_standins::*;
use std::sync::Arc;
use std::time::Duration;

const PART: usize = 64 * 1024;
const PARTS: usize = 512;
/// The deployment file's `senderTime`, which is left at its usual value, in seconds.
const SENDER_TIME: f64 = 10.0;
/// Bytes of the body after which the client pauses.
const PAUSE_AFTER: usize = 256 * 1024;

fn main() {
    std::process::exit(play());
}

fn play() -> i32 {
    let record = Arc::new(Record::create());
    let folder = TemporaryFolder::create();
    let part: Vec<u8> = (0..PART).map(|n| (n % 251) as u8).collect();
    let expected = part.repeat(PARTS);
    let settings = Settings {
        number: 1,
        max_streams: 100,
        script: Arc::new(move |_| (Duration::from_millis(20), Reply::Parts(part.clone(), PARTS))),
    };
    let executor = executor::start(settings, record.clone());
    let front_end = free_address();
    let file = folder.write(
        "deployment.json5",
        &format!(
            r#"{{
  name: "print-shop",
  listen: "{front_end}",
  frontEnds: {{ count: 1, index: 0 }},
  triggerTypes: [
    {{ name: "preview", effect: "idempotent", objective: "300ms", timeout: "4s", streams: true, lateShare: 0.5 }},
  ],
  otherFunctions: {{ lanes: 1, memory: "2GB", loadTime: "3s" }},
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{{ address: "{executor}" }}] }},
  limits: {{ answerBytes: "64MiB", bodyBytes: "32MiB" }},
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
    let pause = if has_trouble() {
        SENDER_TIME + 3.0
    } else {
        0.0
    };
    let path = "/v1/functions/proof/invocations";
    record.line(format!(
        "client asks for {path}; it pauses for {pause} s after {PAUSE_AFTER} bytes"
    ));
    let response = client::send(front_end, "POST", path, &[], b"page 1").and_then(|mut stream| {
        client::receive(&mut stream, PAUSE_AFTER, Duration::from_secs_f64(pause))
    });
    let response = match response {
        Ok(response) => response,
        Err(error) => {
            record.line(format!("no response: {error}"));
            return COULD_NOT_RUN;
        }
    };
    record.line(format!(
        "client got {} with {} of {} bytes; the body ended as a whole one: {}",
        response.status,
        response.body.len(),
        expected.len(),
        response.is_whole
    ));
    record.line(format!(
        "response head: {}",
        response.head.trim_end().replace("\r\n", " | ")
    ));
    record.line(format!(
        "the front end's log: {}",
        process.output().trim_end()
    ));
    if response.status == 200 && response.is_whole && response.body != expected {
        record.line("BROKEN: a 200 whose body ended as a whole one is not the executor's body");
        return BROKEN;
    }
    HELD
}
