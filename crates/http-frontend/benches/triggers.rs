//! Benchmarks of MQTT triggers on one front end: throughput and latency with group commits, with one sync per journal
//! entry and without syncs; the recovery time by journal size; and a backlog of mostly expired messages.
//!
//! `cargo bench -p orchidtally-http-frontend --bench triggers`

use bytes::Bytes;
use orchidtally_http_frontend::FrontEndOptions;
use orchidtally_http_frontend::mqtt::MessageTriggers;
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
const SEQUENTIAL_MESSAGES: usize = 800;
const IN_FLIGHT: usize = 64;
const BACKLOG: usize = 100_000;
/// One of this many messages of the backlog can still be answered in time.
const IN_TIME: usize = 50;

fn bench_dir(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("bench-triggers-{name}"));
    // The directory may exist from an earlier run.
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn deployment_text(executor: &str, broker: &str, at: &Path) -> String {
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

fn unix_time() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64())
}

struct TestBed {
    broker: Rc<BrokerServer>,
    environment: TestEnvironment,
    _executor: Rc<Executor>,
    deployment_text: String,
}

fn test_bed(at: &Path) -> TestBed {
    let environment = TestEnvironment::new(1);
    let resources = SharedResources {
        store: PackageStore::new(&environment, 8.0, 8),
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
        &environment,
        ExecutorSpec::with_ample_capacity(0),
        unused_address(),
        resources,
    )
    .unwrap_or_else(|e| panic!("{e}"));
    let broker =
        BrokerServer::start(&environment, unused_address(), None).unwrap_or_else(|e| panic!("{e}"));
    let deployment_text = deployment_text(
        &executor.address.to_string(),
        &broker.address.to_string(),
        at,
    );
    TestBed {
        broker,
        environment,
        _executor: executor,
        deployment_text,
    }
}

impl TestBed {
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

    /// Takes the answers published since the last call: the message numbers, and whether the invocations succeeded.
    fn take_answers(&self) -> Vec<(usize, bool)> {
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
        max_group: usize,
    ) -> (async_channel::Sender<()>, std::thread::JoinHandle<()>) {
        let (stop, stopped) = async_channel::bounded(1);
        let deployment_text = self.deployment_text.clone();
        let thread = std::thread::spawn(move || {
            let (deployment, section) = orchidtally_mqtt_triggers::read(&deployment_text)
                .unwrap_or_else(|f| panic!("{f:?}"));
            let section = section.unwrap_or_else(|| panic!("no section"));
            let triggers = MessageTriggers::open(section, 0)
                .unwrap_or_else(|e| panic!("{e}"))
                .with_journal_options(synced, max_group);
            let listener = orchidtally_http_frontend::listen(unused_address())
                .unwrap_or_else(|e| panic!("{e}"));
            let start = FrontEndOptions {
                deployment,
                seed: 7,
                clock_offset: 0.0,
                clock_step: None,
                shutdown: stopped,
                uses_random_policy: false,
                message_triggers: Some(triggers),
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

/// Returns the messages per second, and the median and the 0.99 quantile of their latencies in ms.
fn throughput(name: &str, synced: bool, max_group: usize, in_flight: usize) -> (f64, f64, f64) {
    let messages = if in_flight == 1 {
        SEQUENTIAL_MESSAGES
    } else {
        MESSAGES
    };
    let at = bench_dir(name);
    let test_bed = test_bed(&at);
    let (stop, thread) = test_bed.serve(synced, max_group);
    let work = async {
        test_bed.environment.sleep(0.3).await;
        let (mut sent, mut done) = (0, 0);
        let mut started_at: HashMap<usize, Instant> = HashMap::new();
        let mut times = vec![];
        let warm_up = messages / 10;
        let mut from = Instant::now();
        while done < messages {
            while sent < messages && sent - done < in_flight {
                test_bed.publish(sent, unix_time());
                started_at.insert(sent, Instant::now());
                sent += 1;
            }
            test_bed.environment.sleep(0.0003).await;
            for (n, succeeded) in test_bed.take_answers() {
                assert!(succeeded, "message {n} did not succeed");
                done += 1;
                if done == warm_up {
                    from = Instant::now();
                }
                if let Some(at) = started_at.remove(&n).filter(|_| done > warm_up) {
                    times.push(1e3 * at.elapsed().as_secs_f64());
                }
            }
        }
        let rate = (messages - warm_up) as f64 / from.elapsed().as_secs_f64();
        (rate, quantile(&mut times, 0.5), quantile(&mut times, 0.99))
    };
    let measured = async_io::block_on(test_bed.environment.tasks.run(work));
    drop(stop);
    async_io::block_on(
        test_bed
            .environment
            .tasks
            .run(test_bed.environment.sleep(0.6)),
    );
    thread
        .join()
        .unwrap_or_else(|_| panic!("the front end thread panicked"));
    measured
}

fn recovery(message_count: u64) -> (f64, u64) {
    let at = bench_dir("recovery");
    let (mut journal, _) = Journal::open(&at).unwrap_or_else(|e| panic!("{e}"));
    let mut entries = vec![];
    for n in 1..=message_count {
        let stored = StoredMessage {
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
        let accepted = Record::Accepted {
            message_id: n,
            idempotency: Idempotency::NonIdempotent,
            packet_id: Some((n % 60_000) as u16 + 1),
            is_qos2: true,
            delivery_count: 1,
            stored: Rc::new(stored),
            answer: None,
        };
        for record in [
            accepted,
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
        orchidtally_mqtt_triggers::read(&deployment_text("127.0.0.1:1", "127.0.0.1:2", &at))
            .unwrap_or_else(|f| panic!("{f:?}"));
    let section = section.unwrap_or_else(|| panic!("no section"));
    let started_at = Instant::now();
    let triggers = MessageTriggers::open(section, 0).unwrap_or_else(|e| panic!("{e}"));
    let consumer = Consumer::new(
        &triggers.settings,
        &deployment,
        0,
        None,
        triggers.records(),
        1e9,
    );
    let elapsed = started_at.elapsed().as_secs_f64();
    assert_eq!(consumer.backlog().0, message_count as usize);
    (elapsed, bytes)
}

fn backlog() {
    let at = bench_dir("backlog");
    let test_bed = test_bed(&at);
    // The front end has to subscribe once, so that the broker knows the group.
    let (stop, thread) = test_bed.serve(true, 1_024);
    let work = async {
        test_bed.environment.sleep(0.3).await;
        test_bed.publish(BACKLOG, unix_time());
        while test_bed.take_answers().is_empty() {
            test_bed.environment.sleep(0.01).await;
        }
    };
    async_io::block_on(test_bed.environment.tasks.run(work));
    drop(stop);
    let ended = async {
        while !thread.is_finished() {
            test_bed.environment.sleep(0.01).await;
        }
    };
    async_io::block_on(test_bed.environment.tasks.run(ended));
    let now = unix_time();
    let is_late = |n: usize| !n.is_multiple_of(IN_TIME);
    for n in 0..BACKLOG {
        test_bed.publish(n, if is_late(n) { now - 3_600.0 } else { now });
    }
    let (stop, thread) = test_bed.serve(true, 1_024);
    let work = async {
        let started_at = Instant::now();
        let mut answers: HashMap<usize, bool> = HashMap::new();
        let (mut in_time, mut last_in_time, mut max_held) = (0, 0.0, 0);
        while answers.len() < BACKLOG && started_at.elapsed().as_secs() < 150 {
            test_bed.environment.sleep(0.01).await;
            max_held = max_held.max(test_bed.broker.broker.borrow().unacknowledged());
            for (n, succeeded) in test_bed.take_answers() {
                assert!(
                    answers.insert(n, succeeded).is_none(),
                    "message {n} was answered twice"
                );
                if !is_late(n) {
                    in_time += usize::from(succeeded);
                    last_in_time = started_at.elapsed().as_secs_f64();
                }
            }
        }
        let elapsed = started_at.elapsed().as_secs_f64();
        println!(
            "backlog of {BACKLOG}, {} of them expired: {} answers in {elapsed:.1} s; {in_time} of {} in time, the last \
             after {last_in_time:.1} s; at most {max_held} held",
            BACKLOG - BACKLOG / IN_TIME,
            answers.len(),
            BACKLOG / IN_TIME
        );
        assert_eq!(answers.len(), BACKLOG, "some messages got no answer");
    };
    async_io::block_on(test_bed.environment.tasks.run(work));
    drop(stop);
    let ended = async {
        while !thread.is_finished() {
            test_bed.environment.sleep(0.01).await;
        }
    };
    async_io::block_on(test_bed.environment.tasks.run(ended));
}

fn main() {
    let mut ratios = vec![];
    for round in 0..3 {
        for in_flight in [IN_FLIGHT, 1] {
            let no_sync = throughput("off", false, 1_024, in_flight);
            let group = throughput("shared", true, 1_024, in_flight);
            let per_entry = throughput("single", true, 1, in_flight);
            println!(
                "round {round}, {in_flight} in flight: messages/s, median and 0.99 quantile of the latency in ms"
            );
            for (name, m) in [
                ("no syncs", no_sync),
                ("group commit", group),
                ("one sync per entry", per_entry),
            ] {
                println!("  {name:<18} {:>7.0} {:>8.1} {:>8.1}", m.0, m.1, m.2);
            }
            if in_flight == IN_FLIGHT {
                ratios.push(group.0 / per_entry.0);
            }
        }
    }
    println!(
        "throughput ratio of group commit to one sync per entry at {IN_FLIGHT} in flight: {:.1}",
        quantile(&mut ratios, 0.5)
    );
    for message_count in [1_000, 10_000, 50_000] {
        let (elapsed, bytes) = recovery(message_count);
        println!(
            "recovery of {message_count} messages, {:.1} MB: {:.0} ms",
            bytes as f64 / 1e6,
            1e3 * elapsed
        );
    }
    backlog();
}
