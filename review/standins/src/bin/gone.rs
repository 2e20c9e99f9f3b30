//! A front end that starts anew is told in `known` that an executor is gone; the resolver lags for some answers.

use review_standins::platform::*;
use review_standins::*;
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Answers that hold the older list: fewer than the sixteen that `docs/design/platform.md` names.
const OLDER_ANSWERS: u64 = 12;
/// The grace for drains of the settings and the slack of the protocol page, in seconds.
const GRACE: f64 = 1.0 + 0.05;

fn main() {
    std::process::exit(play());
}

fn play() -> i32 {
    let record = Arc::new(Record::create());
    let folder = TemporaryFolder::create();
    let lines: Lines = Arc::default();
    let work = Duration::from_millis(60);
    let rows: Vec<Row> = (1..=4)
        .map(|n| {
            let name = format!("s-{n}");
            let address = start_executor(&name, work, lines.clone(), record.clone());
            Row {
                name,
                address,
                cell: 1 + n / 3,
                is_draining: false,
                started_ms: 0,
            }
        })
        .collect();
    let whole = List {
        serial: 1,
        rows: rows.clone(),
    };
    let mut draining = whole.clone();
    (draining.serial, draining.rows[0].is_draining) = (2, true);
    let gone = List {
        serial: 3,
        rows: rows[1..].to_vec(),
    };
    // What the resolver has to tell, and from which query on it lags.
    let current = Arc::new(Mutex::new(whole.clone()));
    let lags_from = Arc::new(Mutex::new(u64::MAX));
    let queries = Arc::new(Mutex::new(0));
    let resolver = {
        let (current, lags_from, queries, older) = (
            current.clone(),
            lags_from.clone(),
            queries.clone(),
            whole.clone(),
        );
        start_resolver(record.clone(), move |number, _| {
            *queries.lock().unwrap() = number;
            let from = *lags_from.lock().unwrap();
            let is_older = number >= from && number < from + OLDER_ANSWERS;
            Some(if is_older {
                older.clone()
            } else {
                current.lock().unwrap().clone()
            })
        })
    };
    let listen = free_address();
    let all: Vec<_> = rows.iter().map(|row| host(row, "SERVING")).collect();
    let first = json!({"index": 1, "endpoints": {"seq": 1, "whole": true, "hosts": all}});
    let file = folder.0.join("config.json");
    let write = |known| std::fs::write(&file, configuration(listen, resolver, known)).unwrap();
    write(json!({"index": 1, "updates": [first.clone()]}));
    let start = || {
        let environment = [
            ("LB_NAME", "n0".to_owned()),
            ("LB_LISTEN", listen.to_string()),
            ("LB_CONFIG", file.display().to_string()),
        ];
        Process::start(&run_command(), &environment, &folder.0.join("log"))
    };
    let is_ready = || Client::connect(listen).is_ok_and(|mut client| client.is_ready());
    let mut process = start();
    if !wait_until(Duration::from_secs(10), is_ready) {
        record.line(format!("the front end is not ready: {}", process.output()));
        return COULD_NOT_RUN;
    }
    let mut counts = [0; 4];
    ask(listen, 1.0, &record, &mut counts);
    record.line("event 2: s-1 drains");
    *current.lock().unwrap() = draining;
    ask(listen, 1.5, &record, &mut counts);
    record.line("event 3: s-1 is gone");
    *current.lock().unwrap() = gone;
    ask(listen, 1.5, &record, &mut counts);
    record.line("the front end is killed and starts anew; its configuration holds events 1 to 3");
    process.kill();
    std::thread::sleep(Duration::from_millis(1_200));
    let second = json!({"index": 2, "endpoints": {"seq": 2, "whole": false, "hosts": [host(&rows[0], "DRAINING")]}});
    let third = json!({"index": 3, "endpoints": {"seq": 3, "whole": false, "hosts": [host(&rows[0], "DELETED")]}});
    write(json!({"index": 3, "updates": [first, second, third]}));
    process = start();
    if !wait_until(Duration::from_secs(10), is_ready) {
        record.line(format!(
            "the front end is not ready again: {}",
            process.output()
        ));
        return COULD_NOT_RUN;
    }
    // It has read its configuration by now.
    let told_at = record.now();
    ask(listen, 1.5, &record, &mut counts);
    if has_trouble() {
        let next = *queries.lock().unwrap() + 1;
        *lags_from.lock().unwrap() = next;
        record.line(format!(
            "the resolver lags: {OLDER_ANSWERS} answers hold the list of event 1"
        ));
    }
    ask(listen, 4.0, &record, &mut counts);
    record.line(format!(
        "answers: {} served, {} refused, {} failed, {} none",
        counts[1], counts[2], counts[3], counts[0]
    ));
    let log: Vec<String> = process
        .output()
        .lines()
        .filter(|line| line.contains("endpoint list") || line.contains("resolver"))
        .map(str::to_owned)
        .collect();
    record.line(format!("the front end's log on lists:\n{}", log.join("\n")));
    let lines = lines.lock().unwrap();
    let late = lines.iter().filter(|line| {
        let kind = line.message["t"].as_str().unwrap_or_default();
        let is_order = kind == "PIN" && line.message["f"]["count"].as_u64() != Some(0);
        line.executor == "s-1" && (kind == "DO" || is_order) && line.at > told_at + GRACE
    });
    let late = late.count();
    if counts[1] == 0 {
        record.line("nothing was served");
        return COULD_NOT_RUN;
    }
    if late > 0 {
        record.line(format!("BROKEN: s-1 got {late} dispatches and orders later than {GRACE} s after the front end was told that it is gone"));
        return BROKEN;
    }
    HELD
}

/// Sends nearly 100 requests a second, each for one of 200 functions, and counts the answers by code; 0 is none.
fn ask(front_end: std::net::SocketAddr, seconds: f64, record: &Record, counts: &mut [usize; 4]) {
    let Ok(mut client) = Client::connect(front_end) else {
        record.line("a client can't connect");
        return;
    };
    let mut open = vec![];
    let end = record.now() + seconds;
    while record.now() < end {
        let seed = (unix_time() * 1e6) as u64;
        let id = format!("{:016x}", seed.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let function = format!("{:016x}", 0x7f3a_0000_0000_0000 + seed % 200);
        let fields = [
            ("service", "setpoint-read".to_owned()),
            ("ref", id),
            ("allow", "3000".to_owned()),
            ("lookup", function),
            ("tags", "memory_mb:512;lanes:4;load_ms:640".to_owned()),
        ];
        match client.request(&fields, b"room 7") {
            Ok(answer) => open.push(answer),
            Err(error) => return record.line(format!("a client can't send: {error}")),
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    for answer in open {
        let code = answer
            .recv_timeout(Duration::from_secs(4))
            .map_or(0, |answer| answer.code);
        counts[usize::from(code).min(3)] += 1;
    }
}
