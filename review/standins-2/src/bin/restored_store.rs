//! A permission is taken away, the configuration store is restored from a backup that still has it, and the front end is
//! restarted as planned.

use review_standins_2::store::Store;
use review_standins_2::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const DIGEST: &str = "aaaa000000000000000000000000000000000000000000000000000000000000";
const KEY: &str = "functions/open-gate";
/// For how long the front end is asked after its restart, in seconds.
const ASKED_FOR: u64 = 25;

fn main() {
    std::process::exit(play());
}

fn document(allowed: bool) -> String {
    format!(
        r#"{{"when_stale":"refuse","spec":{{"allowed":{allowed},"versions":[{{"digest":"sha256:{DIGEST}","lanes":4}}]}}}}"#
    )
}

fn play() -> i32 {
    let record = Record::create();
    let folder = TemporaryFolder::create();
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    let executor = executor::start(
        1,
        Arc::new(move |_| {
            counted.fetch_add(1, Ordering::SeqCst);
            (Duration::from_millis(5), executor::succeeded(), b"open".to_vec())
        }),
        executor::loads_at_once(),
        record.clone(),
    );
    let store = Store::start(&record);
    let endpoints: Vec<String> = store.addresses.iter().map(|at| format!("\"{at}\"")).collect();
    let front_end = free_address();
    // All settings of the configuration are the pages' defaults.
    let text = format!(
        r#"{{
  name: "greenhouses",
  listen: "{front_end}",
  frontEnds: {{ count: 1, index: 0, clockSkew: "500ms" }},
  triggerTypes: [{{ name: "actuator-command", effect: "nonIdempotent", objective: "500ms", timeout: "3s", billedValue: 5 }}],
  functions: [{{ name: "vent", lanes: 4 }}],
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{{ address: "{executor}" }}] }},
  configuration: {{
    store: {{ endpoints: [{endpoints}] }},
    snapshot: "{folder}/config-{{index}}.snapshot",
  }},
}}
"#,
        endpoints = endpoints.join(", "),
        folder = folder.0.display()
    );
    let file = folder.write("deployment.json5", &text);
    let command = format!("exec target/release/orchidtally serve --deployment {}", file.display());
    let log = folder.0.join("log");

    let granted = store.write(KEY, &document(true));
    let mut process = Process::start(&command, &log);
    if !wait_until(Duration::from_secs(20), || ask(front_end) == Some(200)) {
        return could_not_run(&record, process.output());
    }
    record.line("client: open-gate is answered 200");
    let is_reported = |revision: i64| {
        wait_until(Duration::from_secs(15), || {
            let (applied, state) = store.applied();
            applied >= revision && state == "following"
        })
    };
    if !is_reported(granted) {
        return could_not_run(&record, "the front end does not report");
    }
    let backup = store.revision();
    record.line(format!("store: a backup is made at revision {backup}"));
    let revoked = store.write(KEY, &document(false));
    if !is_reported(revoked) || ask(front_end) != Some(403) {
        return could_not_run(&record, "the revocation does not come into force");
    }
    record.line(format!("revision {revoked} is in force at every front end by their reports; client: 403"));
    if has_trouble() {
        store.restore(backup);
        let has_seen = wait_until(Duration::from_secs(30), || status(front_end).contains("store-set-back"));
        record.line(format!(
            "the front end says store-set-back: {has_seen}; client: {:?}",
            ask(front_end)
        ));
        if !has_seen || ask(front_end) == Some(200) {
            return could_not_run(&record, process.output());
        }
    }
    let before = runs.load(Ordering::SeqCst);
    process.signal(libc::SIGTERM);
    let ended = process.wait(Duration::from_secs(15));
    record.line(format!("SIGTERM: the front end has ended with {ended:?}, and is started again"));
    if ended != Some(Some(0)) {
        return could_not_run(&record, process.output());
    }
    let process = Process::start(&command, &log);
    let mut statuses: Vec<Option<u16>> = vec![];
    for _ in 0..ASKED_FOR * 4 {
        let status = ask(front_end);
        if statuses.last() != Some(&status) {
            record.line(format!("client: open-gate is answered {status:?}"));
        }
        statuses.push(status);
        pause(250);
    }
    let since = runs.load(Ordering::SeqCst) - before;
    record.line(format!("the front end says {}", status(front_end)));
    record.line(format!("the front end's log:\n{}", process.output()));
    if !statuses.iter().any(Option::is_some) {
        return could_not_run(&record, "the front end did not come back");
    }
    if since > 0 {
        record.line(format!(
            "BROKEN: open-gate ran {since} times after its permission had been taken away, and nobody has given it back"
        ));
        return BROKEN;
    }
    HELD
}

/// Asks for the function; returns the status.
fn ask(front_end: std::net::SocketAddr) -> Option<u16> {
    let path = "/v1/functions/open-gate/invocations";
    let answer = client::request(front_end, "POST", path, &[], b"", Duration::from_secs(5));
    answer.ok().map(|answer| answer.status)
}

fn status(front_end: std::net::SocketAddr) -> String {
    let limit = Duration::from_secs(2);
    let answer = client::request(front_end, "GET", "/v1/front-end", &[], b"", limit);
    let Ok(answer) = answer else {
        return String::new();
    };
    let status: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    status["configuration"].to_string()
}
