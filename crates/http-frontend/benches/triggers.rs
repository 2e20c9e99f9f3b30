//! Messages a second and their time through one front end, with the journal synced in groups, once an entry, and
//! not at all; the time to take up a journal by its size; a backlog most of which is past its time.
//!
//! `cargo bench -p orchidtally-http-frontend --bench triggers`

use bytes::Bytes;
use orchidtally_http_frontend::Start;
use orchidtally_http_frontend::mqtt::Triggers;
use orchidtally_journal::Journal;
use orchidtally_mqtt::packet::{Property, Qos};
use orchidtally_mqtt_triggers::Consumer;
use orchidtally_mqtt_triggers::ledger::{
    Idempotency, InvocationTarget, Record, Reply, StoredMessage,
};
use orchidtally_test_servers::broker::{BrokerServer, Message};
use orchidtally_test_servers::executor::{Executor, ExecutorSpec, Program, SharedResources, echo};
use orchidtally_test_servers::store::PackageStore;
use orchidtally_test_servers::{TestEnvironment, unused_address};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const MESSAGES: usize = 6_000;
const ONE_BY_ONE: usize = 800;
const IN_FLIGHT: usize = 64;
const BACKLOG: usize = 100_000;
/// Of the backlog, one in so many can still be in time.
const IN_TIME: usize = 50;

fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("bench-triggers-{name}"));
    // One of an earlier run.
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn text(executor: &str, broker: &str, at: &Path) -> String {
    format!(
        r#"{{
            triggerTypes: [{{ name: "act", effect: "nonIdempotent", objective: "10s", timeout: "60s" }}],
            functions: [{{ name: "mist", lanes: 64, loadTime: "100ms" }}],
            executors: {{ list: [{{ address: "{executor}" }}] }},
            safety: {{ cold: "50ms", fall: "10ms" }},
            mqtt: {{
                broker: "{broker}", receiveMaximum: 1000, inFlight: 256, journal: {{ folder: "{}" }},
                triggers: [{{ topic: "act/{{n}}", function: "mist", triggerType: "act", answer: "done/{{n}}",
                    sentAt: "sent" }}],
            }},
        }}"#,
        at.display()
    )
}

fn wall() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64())
}

struct Run {
    broker: Rc<BrokerServer>,
    stage: TestEnvironment,
    _executor: Rc<Executor>,
    text: String,
}

fn run(at: &Path) -> Run {
    let stage = TestEnvironment::new(1);
    let around = SharedResources {
        store: PackageStore::new(&stage, 8.0, 8),
        catalogue: Rc::new(|_| {
            Some(Program {
                concurrency: 64,
                load_time: 0.05,
                cpu_time: 0.0005,
                run: echo,
                ..Program::default()
            })
        }),
        token_cache: Rc::default(),
        deduplication_window: 5.0,
    };
    let executor = Executor::start(
        &stage,
        ExecutorSpec::with_ample_capacity(0),
        unused_address(),
        around,
    )
    .unwrap_or_else(|e| panic!("{e}"));
    let broker =
        BrokerServer::start(&stage, unused_address(), None).unwrap_or_else(|e| panic!("{e}"));
    let text = text(
        &executor.address.to_string(),
        &broker.address.to_string(),
        at,
    );
    Run {
        broker,
        stage,
        _executor: executor,
        text,
    }
}

impl Run {
    fn publish(&self, n: usize, sent: f64) {
        self.broker.publish(Message {
            topic: format!("act/{n}"),
            payload: Bytes::from_static(&[b'x'; 100]),
            qos: Qos::ExactlyOnce,
            retain: false,
            properties: vec![Property::User(
                "sent".into(),
                ((sent * 1e3) as u64).to_string(),
            )],
            expires_at: f64::INFINITY,
        });
    }

    /// The numbers of messages that were answered since, with whether they succeeded.
    fn heard(&self) -> Vec<(usize, bool)> {
        let answers = std::mem::take(&mut self.broker.broker.borrow_mut().published);
        let read = |m: &Message| {
            let n = m.topic.strip_prefix("done/")?.parse().ok()?;
            let is = |p: &Property| matches!(p, Property::User(k, v) if k == "orchidtally-outcome" && v == "succeeded");
            Some((n, m.properties.iter().any(is)))
        };
        answers.iter().filter_map(read).collect()
    }

    fn serve(
        &self,
        synced: bool,
        sharing: usize,
    ) -> (async_channel::Sender<()>, std::thread::JoinHandle<()>) {
        let (stop, stopped) = async_channel::bounded(1);
        let text = self.text.clone();
        let thread = std::thread::spawn(move || {
            let (deployment, section) =
                orchidtally_mqtt_triggers::read(&text).unwrap_or_else(|f| panic!("{f:?}"));
            let section = section.unwrap_or_else(|| panic!("no section"));
            let triggers = Triggers::open(section, 0)
                .unwrap_or_else(|e| panic!("{e}"))
                .measured(synced, sharing);
            let listener = orchidtally_http_frontend::listen(unused_address())
                .unwrap_or_else(|e| panic!("{e}"));
            let start = Start {
                deployment,
                seed: 7,
                ahead: 0.0,
                step: None,
                stop: stopped,
                random: false,
                triggers: Some(triggers),
                durable_invocation_store: None,
                reloads: None,
            };
            orchidtally_http_frontend::run(start, listener);
        });
        (stop, thread)
    }
}

fn quantile(times: &mut [f64], share: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    times[((times.len() - 1) as f64 * share) as usize]
}

/// Messages a second, and the median and 0.99 quantile of their times in ms.
fn throughput(name: &str, synced: bool, sharing: usize, in_flight: usize) -> (f64, f64, f64) {
    let messages = if in_flight == 1 { ONE_BY_ONE } else { MESSAGES };
    let at = folder(name);
    let run = run(&at);
    let (stop, thread) = run.serve(synced, sharing);
    let work = async {
        run.stage.sleep(0.3).await;
        let (mut sent, mut done) = (0, 0);
        let mut began: HashMap<usize, Instant> = HashMap::new();
        let mut times = vec![];
        let warm = messages / 10;
        let mut from = Instant::now();
        while done < messages {
            while sent < messages && sent - done < in_flight {
                run.publish(sent, wall());
                began.insert(sent, Instant::now());
                sent += 1;
            }
            run.stage.sleep(0.0003).await;
            for (n, well) in run.heard() {
                assert!(well, "message {n} did not succeed");
                done += 1;
                if done == warm {
                    from = Instant::now();
                }
                if let Some(at) = began.remove(&n).filter(|_| done > warm) {
                    times.push(1e3 * at.elapsed().as_secs_f64());
                }
            }
        }
        let rate = (messages - warm) as f64 / from.elapsed().as_secs_f64();
        (rate, quantile(&mut times, 0.5), quantile(&mut times, 0.99))
    };
    let measured = async_io::block_on(run.stage.tasks.run(work));
    drop(stop);
    async_io::block_on(run.stage.tasks.run(run.stage.sleep(0.6)));
    thread
        .join()
        .unwrap_or_else(|_| panic!("the front end died"));
    measured
}

fn recovery(in_hand: u64) -> (f64, u64) {
    let at = folder("recovery");
    let (mut journal, _) = Journal::open(&at).unwrap_or_else(|e| panic!("{e}"));
    let mut entries = vec![];
    for n in 1..=in_hand {
        let held = StoredMessage {
            name: format!("message-{n}"),
            topic: format!("act/{n}"),
            payload: Bytes::from_static(&[b'x'; 100]),
            reply: Some(Reply {
                topic: format!("done/{n}"),
                correlation: Bytes::new(),
            }),
            target: InvocationTarget {
                function: "mist".into(),
                trigger_type: "act".into(),
                ..InvocationTarget::default()
            },
            expires_at: 2e9,
        };
        let taken = Record::Accepted {
            message_id: n,
            idempotency: Idempotency::NonIdempotent,
            packet: Some((n % 60_000) as u16 + 1),
            confirms: true,
            delivery_count: 1,
            stored: Rc::new(held),
            answer: None,
        };
        for record in [
            taken,
            Record::Owned { message_id: n },
            Record::Dispatching { message_id: n },
        ] {
            entries.push(serde_json::to_vec(&record).unwrap_or_default());
        }
    }
    for some in entries.chunks(10_000) {
        journal.append_all(some).unwrap_or_else(|e| panic!("{e}"));
    }
    let bytes = journal.length();
    drop(journal);
    let (deployment, section) =
        orchidtally_mqtt_triggers::read(&text("127.0.0.1:1", "127.0.0.1:2", &at))
            .unwrap_or_else(|f| panic!("{f:?}"));
    let section = section.unwrap_or_else(|| panic!("no section"));
    let began = Instant::now();
    let triggers = Triggers::open(section, 0).unwrap_or_else(|e| panic!("{e}"));
    let consumer = Consumer::new(
        &triggers.section,
        &deployment,
        0,
        None,
        triggers.records(),
        1e9,
    );
    let took = began.elapsed().as_secs_f64();
    assert_eq!(consumer.backlog().0, in_hand as usize);
    (took, bytes)
}

fn backlog() {
    let at = folder("backlog");
    let run = run(&at);
    // So that the group is known there.
    let (stop, thread) = run.serve(true, 1_024);
    let work = async {
        run.stage.sleep(0.3).await;
        run.publish(BACKLOG, wall());
        while run.heard().is_empty() {
            run.stage.sleep(0.01).await;
        }
    };
    async_io::block_on(run.stage.tasks.run(work));
    drop(stop);
    let ended = async {
        while !thread.is_finished() {
            run.stage.sleep(0.01).await;
        }
    };
    async_io::block_on(run.stage.tasks.run(ended));
    let now = wall();
    let late = |n: usize| !n.is_multiple_of(IN_TIME);
    for n in 0..BACKLOG {
        run.publish(n, if late(n) { now - 3_600.0 } else { now });
    }
    let (stop, thread) = run.serve(true, 1_024);
    let work = async {
        let began = Instant::now();
        let mut answers: HashMap<usize, bool> = HashMap::new();
        let (mut in_time, mut last_in_time, mut most) = (0, 0.0, 0);
        while answers.len() < BACKLOG && began.elapsed().as_secs() < 150 {
            run.stage.sleep(0.01).await;
            most = most.max(run.broker.broker.borrow().unacknowledged());
            for (n, well) in run.heard() {
                assert!(
                    answers.insert(n, well).is_none(),
                    "message {n} was answered twice"
                );
                if !late(n) {
                    in_time += usize::from(well);
                    last_in_time = began.elapsed().as_secs_f64();
                }
            }
        }
        let took = began.elapsed().as_secs_f64();
        println!(
            "backlog of {BACKLOG}, {} of them past their time: {} answers in {took:.1} s; {in_time} of {} in time, the last \
             after {last_in_time:.1} s; {most} in hand at the most",
            BACKLOG - BACKLOG / IN_TIME,
            answers.len(),
            BACKLOG / IN_TIME
        );
        assert_eq!(answers.len(), BACKLOG, "each gets its answer");
    };
    async_io::block_on(run.stage.tasks.run(work));
    drop(stop);
    let ended = async {
        while !thread.is_finished() {
            run.stage.sleep(0.01).await;
        }
    };
    async_io::block_on(run.stage.tasks.run(ended));
}

fn main() {
    let mut ratios = vec![];
    for round in 0..3 {
        for in_flight in [IN_FLIGHT, 1] {
            let off = throughput("off", false, 1_024, in_flight);
            let shared = throughput("shared", true, 1_024, in_flight);
            let single = throughput("single", true, 1, in_flight);
            println!(
                "round {round}, {in_flight} in flight: messages/s, median and 0.99 quantile in ms"
            );
            for (name, m) in [
                ("no syncs", off),
                ("shared syncs", shared),
                ("one sync an entry", single),
            ] {
                println!("  {name:<18} {:>7.0} {:>8.1} {:>8.1}", m.0, m.1, m.2);
            }
            if in_flight == IN_FLIGHT {
                ratios.push(shared.0 / single.0);
            }
        }
    }
    println!(
        "shared syncs against one an entry at {IN_FLIGHT} in flight: {:.1} times",
        quantile(&mut ratios, 0.5)
    );
    for in_hand in [1_000, 10_000, 50_000] {
        let (took, bytes) = recovery(in_hand);
        println!(
            "recovery of {in_hand} messages in hand, {:.1} MB: {:.0} ms",
            bytes as f64 / 1e6,
            1e3 * took
        );
    }
    backlog();
}
