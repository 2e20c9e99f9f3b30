//! Tokened invocations, one by HTTP and one by MQTT, run at an executor that dies; those who asked are told that asking
//! again is harmless, and do.

use orchidtally_executor_protocol::v1;
use orchidtally_mqtt::Version;
use review_standins_2::broker::{Broker, Message, Settings};
use review_standins_2::executor::{DispatchScript, Executor};
use review_standins_2::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

/// How long the executors drop repeats of a token: the trigger type's `window`, in seconds.
const WINDOW: f64 = 6.0;
/// How long the other three executors have no room, from the moment at which the second token first ran, in seconds.
const FULL: f64 = 7.0;
/// How long the executor is away after its death, in seconds.
const AWAY: f64 = 8.1;
/// How long an invocation runs.
const WORK: Duration = Duration::from_millis(800);
/// The tokens of the client by HTTP and of the publisher.
const CLIENT: &str = "plan-7f3a";
const PUBLISHER: &str = "plan-9c11";
/// How often somebody asks at the most.
const TRIES: usize = 14;

fn main() {
    std::process::exit(play());
}

/// What the executors have run, and the tokens that they remember together, also over the death of one.
#[derive(Default)]
struct Ran {
    /// When a token ran for the first time, the last of them.
    last_first: Option<Instant>,
    remembered: HashMap<String, Instant>,
    runs: Vec<(String, f64)>,
}

fn play() -> i32 {
    let record = Record::create();
    let folder = TemporaryFolder::create();
    let ran: Arc<Mutex<Ran>> = Arc::default();
    let (began, begun) = mpsc::channel();
    let began = Mutex::new(began);
    let script: DispatchScript = {
        let (ran, record) = (ran.clone(), record.clone());
        Arc::new(move |dispatch: &v1::Dispatch| {
            if dispatch.trigger_type != "berth-plan" {
                return (
                    Duration::from_millis(60),
                    executor::succeeded(),
                    b"seen".to_vec(),
                );
            }
            let mut ran = lock(&ran);
            ran.remembered
                .retain(|_, at| at.elapsed().as_secs_f64() < WINDOW);
            // A message's token is derived from its topic and its key, so the payload tells whose it is.
            let who = if dispatch.token == CLIENT {
                CLIENT
            } else {
                PUBLISHER
            };
            if ran.remembered.contains_key(&dispatch.token) {
                record.line(format!("an executor drops a repeat of {who}"));
            } else {
                ran.remembered
                    .insert(dispatch.token.clone(), Instant::now());
                if ran.runs.len() < 2 {
                    ran.last_first = Some(Instant::now());
                }
                ran.runs.push((who.into(), record.now()));
                record.line(format!("an executor RUNS {who} (token {})", dispatch.token));
            }
            let _ = lock(&began).send(());
            (WORK, executor::succeeded(), b"planned".to_vec())
        })
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let start = |at| {
        executor::start_at(
            at,
            1,
            script.clone(),
            executor::loads_at_once(),
            record.clone(),
        )
    };
    let executor: Executor = start(any);
    let address = executor.address;
    // The other three have their lanes of the function full with work of the other front end, for a while.
    let busy: DispatchScript = {
        let (ran, script) = (ran.clone(), script.clone());
        Arc::new(move |dispatch: &v1::Dispatch| {
            let first = lock(&ran).last_first;
            let is_full = first.is_none_or(|at| at.elapsed().as_secs_f64() < FULL);
            if dispatch.trigger_type != "berth-plan" || !is_full {
                return script(dispatch);
            }
            let answer = v1::Answer {
                ending: v1::Ending::Full.into(),
                found: v1::Found::Warm.into(),
                crowd: 2,
                ..v1::Answer::default()
            };
            (Duration::ZERO, answer, vec![])
        })
    };
    let list: Vec<String> = [address]
        .into_iter()
        .chain((2..=4).map(|number| {
            executor::start(
                number,
                busy.clone(),
                executor::loads_at_once(),
                record.clone(),
            )
        }))
        .map(|address| format!("{{ address: \"{address}\" }}"))
        .collect();
    let list = list.join(", ");
    let broker = Arc::new(Broker::start(Settings::plain(Version::V5), &record));
    let front_end = free_address();
    let text = format!(
        r#"{{
  name: "harbour-cranes",
  listen: "{front_end}",
  frontEnds: {{ count: 2, index: 0, clockSkew: "500ms" }},
  triggerTypes: [
    {{ name: "berth-plan", effect: "tokened", group: "all", window: "{WINDOW}s", objective: "2s", timeout: "8s", billedValue: 2 }},
    {{ name: "camera-look", effect: "idempotent", objective: "400ms", timeout: "2s", lateShare: 0.3 }},
  ],
  functions: [
    {{ name: "berth-order", lanes: 2, memory: "640MB", loadTime: "2.5s", work: "800ms" }},
    {{ name: "hook-find", lanes: 8, memory: "1.2GB", loadTime: "4s", work: "60ms" }},
  ],
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{list}] }},
  limits: {{ maxDispatches: 5, connectTime: "150ms" }},
  loading: {{ orders: true, keepAlive: "20s", rationFloor: 2, rationShare: 0.1, rationWindow: "5s" }},
  mqtt: {{
    broker: "{broker}", version: "5", clientId: "gateway-{{index}}",
    journal: {{ folder: "{journals}/mqtt-{{index}}", maxBytes: "256MiB" }},
    triggers: [
      {{ topic: "quay/{{quay}}/plan/{{function}}", function: "{{function}}", triggerType: "berth-plan", timeLeft: "8s" }},
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
    let process = Process::start(&command, &folder.0.join("log"));
    let is_served = || client::is_up(front_end) && !broker.subscribes().is_empty();
    if !wait_until(Duration::from_secs(10), is_served) {
        return could_not_run(&record, process.output());
    }
    // Other clients ask for what may run again, five times a second.
    std::thread::spawn(move || {
        loop {
            std::thread::spawn(move || {
                let headers = [("orchidtally-trigger-type", "camera-look")];
                let path = "/v1/functions/hook-find/invocations";
                client::request(
                    front_end,
                    "POST",
                    path,
                    &headers,
                    b"",
                    Duration::from_secs(4),
                )
            });
            pause(200);
        }
    });
    pause(1_000);
    let client = {
        let record = record.clone();
        std::thread::spawn(move || ask_until_done(front_end, &record))
    };
    let publisher = {
        let (record, broker) = (record.clone(), broker.clone());
        std::thread::spawn(move || publish_until_done(&broker, &record))
    };
    for _ in 0..2 {
        if begun.recv_timeout(Duration::from_secs(10)).is_err() {
            return could_not_run(&record, process.output());
        }
    }
    let _later: Executor;
    if has_trouble() {
        pause(50);
        record.line("executor 1 of 4 dies: its connections are reset, new ones are refused");
        executor.die();
        std::thread::sleep(Duration::from_secs_f64(AWAY));
        record.line("executor 1 is back at its address");
        _later = start(address);
    }
    let statuses = client.join().unwrap_or_default();
    let outcomes = publisher.join().unwrap_or_default();
    pause(500);
    record.line(format!("the front end's log:\n{}", process.output()));
    let runs = lock(&ran).runs.clone();
    record.line(format!(
        "the client by HTTP was answered {statuses:?}, the publisher {outcomes:?}"
    ));
    if statuses.is_empty() || outcomes.is_empty() {
        return could_not_run(&record, "nothing was answered");
    }
    let mut broken = vec![];
    for who in [CLIENT, PUBLISHER] {
        let at: Vec<f64> = runs
            .iter()
            .filter(|(name, _)| name == who)
            .map(|(_, at)| *at)
            .collect();
        record.line(format!("{who} ran at {at:.2?}"));
        if at.is_empty() {
            return could_not_run(&record, "an invocation never ran");
        }
        if at.len() > 1 {
            broken.push(who);
        }
    }
    if !broken.is_empty() {
        record.line(format!(
            "BROKEN: {broken:?} ran more than once; those who asked were answered throttled and nothing else in between"
        ));
        return BROKEN;
    }
    HELD
}

/// Asks until the answer is another one than 503, each time after the time that the answer names; returns the statuses.
fn ask_until_done(front_end: SocketAddr, record: &Record) -> Vec<u16> {
    let mut statuses = vec![];
    let path = "/v1/functions/berth-order/invocations";
    for number in 0..TRIES {
        let is_repeat = if number > 0 { "1" } else { "0" };
        let headers = [
            ("orchidtally-trigger-type", "berth-plan"),
            ("idempotency-key", CLIENT),
            ("orchidtally-repeat", is_repeat),
        ];
        record.line(format!("client: asks, token {CLIENT}, repeat {is_repeat}"));
        let Ok(answer) = client::request(
            front_end,
            "POST",
            path,
            &headers,
            b"",
            Duration::from_secs(12),
        ) else {
            record.line("client: no answer");
            return statuses;
        };
        record.line(format!(
            "client: answered {} {}, retry-after {:?}",
            answer.status,
            answer.text(),
            answer.header("retry-after")
        ));
        statuses.push(answer.status);
        if answer.status != 503 {
            return statuses;
        }
        let wait = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1);
        std::thread::sleep(Duration::from_secs(wait));
    }
    statuses
}

/// Publishes until the outcome is another one than `throttled`, each time a second later; returns the outcomes.
fn publish_until_done(broker: &Broker, record: &Record) -> Vec<String> {
    let mut outcomes = vec![];
    for number in 0..TRIES {
        record.line(format!("publisher: asks, key {PUBLISHER}, try {number}"));
        broker.publish(&Message {
            topic: "quay/north/plan/berth-order".into(),
            payload: b"{}".to_vec(),
            response_topic: Some("quay/north/done".into()),
            token: Some(PUBLISHER.into()),
        });
        if !wait_until(Duration::from_secs(12), || broker.answers().len() > number) {
            record.line("publisher: no answer");
            return outcomes;
        }
        let answer = broker.answers()[number].clone();
        let outcome = answer.outcome.unwrap_or_default();
        let text = String::from_utf8_lossy(&answer.payload).into_owned();
        record.line(format!("publisher: answered {outcome}: {text}"));
        outcomes.push(outcome.clone());
        if outcome != "throttled" {
            return outcomes;
        }
        pause(1_000);
    }
    outcomes
}
