//! Hard cases of rollouts on sockets: coordinators, front ends and executors in one process, on threads.

use bytes::Bytes;
use futures_lite::future;
use http::Method;
use orchidtally_coordinator::{Ended, Order, recover};
use orchidtally_deployment::Deployment;
use orchidtally_frontend::Start;
use orchidtally_invariants::Record;
use orchidtally_net::http::ask as http_ask;
use orchidtally_rollout::Phase;
use orchidtally_test_servers::client::{Ask, Caller, Heard};
use orchidtally_test_servers::executor::{Executor, Make, Program, Surroundings, digest};
use orchidtally_test_servers::store::Store;
use orchidtally_test_servers::{Stage, any_port, port_for_later};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

const OLD: &[u8] = b"old";
const NEW: &[u8] = b"new";
const LOOK: (usize, &str) = (0, "look");
const ACT: (usize, &str) = (1, "act");

struct Gateway {
    at: SocketAddr,
    stop: async_channel::Sender<()>,
    thread: JoinHandle<()>,
}

impl Gateway {
    fn end(self) {
        drop(self.stop);
        self.thread.join().unwrap();
    }
}

struct Office {
    stop: async_channel::Sender<()>,
    thread: JoinHandle<std::io::Result<Ended>>,
}

impl Office {
    fn end(self) -> Ended {
        drop(self.stop);
        self.thread.join().unwrap().unwrap()
    }
}

struct World {
    stage: Stage,
    executors: Vec<Rc<Executor>>,
    /// Seconds that a load of the new version takes.
    load: Rc<Cell<f64>>,
    text: String,
}

fn free() -> SocketAddr {
    port_for_later().unwrap()
}

fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("coordinator-{name}"));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn world(coordinators: &[SocketAddr], loading: &str) -> World {
    let stage = Stage::new(1);
    let load = Rc::new(Cell::new(0.05));
    let store = Store::new(&stage, 8.0, 8);
    let executors: Vec<_> = (0..2)
        .map(|number| {
            let make = Make::roomy(number);
            let load = load.clone();
            let catalogue = move |name: &str| {
                let is_new = name.ends_with(&format!("@{}", digest(NEW)));
                Some(Program {
                    lanes: 32,
                    load_time: if is_new { load.get() } else { 0.05 },
                    work: 0.005,
                    package: Bytes::from_static(if is_new { NEW } else { OLD }),
                    ..Program::default()
                })
            };
            let around = Surroundings {
                store: store.clone(),
                catalogue: Rc::new(catalogue),
                tokens: Rc::default(),
                token_window: 5.0,
            };
            Executor::start(&stage, make, any_port(), around).unwrap()
        })
        .collect();
    let list: Vec<_> = executors.iter().map(|e| format!("{{ address: \"{}\" }}", e.address)).collect();
    let asked: Vec<_> = coordinators.iter().map(|a| format!("\"{a}\"")).collect();
    let (old, new) = (digest(OLD), digest(NEW));
    let function = |name: &str| {
        format!(
            r#"{{ name: "{name}", lanes: 32, loadTime: "200ms",
                versions: [{{ digest: "sha256:{old}" }}, {{ digest: "sha256:{new}" }}],
                aliases: {{ stable: "sha256:{old}", next: "sha256:{new}" }} }}"#
        )
    };
    let functions: Vec<String> = ["f".into()]
        .into_iter()
        .chain((0..10).map(|n| format!("g{n}")))
        .map(|n: String| function(&n))
        .collect();
    let functions = functions.join(", ");
    let text = format!(
        r#"{{
            triggerTypes: [
                {{ name: "look", effect: "idempotent", objective: "2s", timeout: "4s", lateShare: 0.5 }},
                {{ name: "act", effect: "nonIdempotent", objective: "2s", timeout: "4s", lateShare: 0.5 }},
            ],
            functions: [{functions}],
            executors: {{ list: [{}] }},
            safety: {{ cold: "50ms", fall: "10ms" }},
            loading: {{ {loading} }},
            rollouts: {{ coordinators: [{}], every: "50ms" }},
        }}"#,
        list.join(", "),
        asked.join(", ")
    );
    World { stage, executors, load, text }
}

fn gateway(text: &str) -> Gateway {
    gateway_ahead(text, 0.0)
}

/// With a wall clock that is so far ahead.
fn gateway_ahead(text: &str, ahead: f64) -> Gateway {
    let listener = orchidtally_frontend::listen(any_port()).unwrap();
    let at = listener.get_ref().local_addr().unwrap();
    let (stop, stopped) = async_channel::bounded(1);
    let (text, seed) = (text.to_owned(), u64::from(at.port()));
    let thread = std::thread::spawn(move || {
        let deployment = Deployment::read(&text).unwrap_or_else(|f| panic!("{f:?}"));
        let start = Start {
            deployment,
            seed,
            ahead,
            step: None,
            stop: stopped,
            random: false,
            triggers: None,
            promise_store: None,
            reloads: None,
        };
        let tally = orchidtally_frontend::run(start, listener);
        assert_eq!(tally.overdue, 0);
    });
    Gateway { at, stop, thread }
}

fn office(text: &str, at: SocketAddr, folder: &Path) -> Office {
    let (stop, stopped) = async_channel::bounded(1);
    let (text, folder) = (text.to_owned(), folder.to_owned());
    let listener = orchidtally_net::listen(at).unwrap();
    let thread = std::thread::spawn(move || {
        let deployment = Deployment::read(&text).unwrap_or_else(|f| panic!("{f:?}"));
        orchidtally_coordinator::run(deployment, &folder, listener, stopped)
    });
    Office { stop, thread }
}

async fn order(at: SocketAddr, order: Order) -> (u16, String) {
    let body = serde_json::to_vec(&order).unwrap();
    let (status, body) =
        http_ask(at, Method::POST, "/v1/rollouts/orders", body, Duration::from_secs(3)).await.unwrap();
    (status.as_u16(), String::from_utf8_lossy(&body).into_owned())
}

fn plan(steps: &str) -> Order {
    plan_of("r", "f", 0.1, steps)
}

fn plan_of(name: &str, function: &str, pace: f64, steps: &str) -> Order {
    let plan = format!(
        "{{ name: '{name}', function: '{function}', to: 'next', loadsPerSecond: {pace}, holdback: 0, keepFrom: '200ms', steps: [{steps}] }}"
    );
    Order::Start { plan, dry: false }
}

const ALL_AT_ONCE: &str = "{ share: 1, leastTime: '60s' }";

async fn phase(at: SocketAddr) -> Option<Phase> {
    let (_, body) = http_ask(at, Method::GET, "/v1/rollouts", vec![], Duration::from_secs(3)).await.ok()?;
    let value: serde_json::Value = serde_json::from_slice(&body).ok()?;
    serde_json::from_value(value["rollouts"][0]["phase"].clone()).ok()
}

fn on<T>(stage: &Stage, work: impl Future<Output = T>) -> T {
    let late = async {
        stage.sleep(30.0).await;
        panic!("the case did not end");
    };
    async_io::block_on(stage.tasks.run(future::or(work, late)))
}

fn ask(name: &str, trigger_type: (usize, &str)) -> Ask {
    Ask {
        invocation: name.into(),
        function: "f".into(),
        trigger_type: (trigger_type.0, trigger_type.1.into()),
        time_left: 4.0,
        ..Ask::default()
    }
}

fn succeeded(heard: &Heard) -> bool {
    matches!(heard, Heard::Answered { status: 200, .. })
}

impl World {
    /// The digest that each invocation ran, and how often.
    fn ran(&self, invocation: &str) -> Vec<String> {
        let records = self.stage.records();
        let of = |r: &Record| match r {
            Record::RanVersion { invocation: i, loaded, .. } if i == invocation => Some(loaded.clone()),
            _ => None,
        };
        records.iter().filter_map(of).collect()
    }

    /// Offers one invocation after another until one runs this package.
    async fn until_runs(&self, caller: &Rc<Caller>, label: &str, package: &[u8]) {
        for n in 0..400 {
            let name = format!("{label}-{n}");
            assert!(succeeded(&caller.invoke(&ask(&name, LOOK)).await));
            if self.ran(&name) == [digest(package)] {
                return;
            }
            self.stage.sleep(0.02).await;
        }
        panic!("{label}: the version was never run");
    }
}

#[test]
fn taken_back_while_executors_still_load_what_waits_goes_to_the_old_version_at_once() {
    let at = free();
    // The ration has no order to spare for copies ahead, so that the first invocations bring them.
    let w = world(&[at], "rationFloor: 1");
    let office = office(&w.text, at, &folder("loading"));
    let gateway = gateway(&w.text);
    let caller = Caller::new(&w.stage, 0, 0, gateway.at, false);
    w.load.set(1.5);
    let taken_back = Cell::new(0.0);
    on(&w.stage, async {
        w.until_runs(&caller, "before", OLD).await;
        assert_eq!(order(at, plan(ALL_AT_ONCE)).await.0, 200);
        w.stage.sleep(0.8).await;
        // Both effects: nothing of what waits has run.
        let asks: Vec<_> =
            (0..10).map(|n| ask(&format!("w{n}"), if n % 2 == 0 { LOOK } else { ACT })).collect();
        let tasks: Vec<_> = asks
            .into_iter()
            .map(|ask| {
                let caller = caller.clone();
                w.stage.spawn(async move { caller.invoke(&ask).await })
            })
            .collect();
        w.stage.sleep(0.3).await;
        let none = (0..10).all(|n| w.ran(&format!("w{n}")).is_empty());
        assert!(none, "they wait on the load");
        assert_eq!(order(at, Order::Back { name: "r".into(), why: "a test".into() }).await.0, 200);
        taken_back.set(w.stage.now());
        // The one whose dispatch loads the version ends there; those that waited on it don't wait any longer.
        for task in tasks {
            let heard = task.await;
            assert!(succeeded(&heard), "{heard:?}");
        }
        let new = (0..10).filter(|n| w.ran(&format!("w{n}")) == [digest(NEW)]).count();
        assert!(new <= 1, "{new} ran the new version");
        // Started again within seconds, and taken back again while the first load may still be under way.
        assert_eq!(order(at, plan(ALL_AT_ONCE)).await.0, 200);
        w.stage.sleep(0.2).await;
        assert_eq!(order(at, Order::Back { name: "r".into(), why: "again".into() }).await.0, 200);
        w.stage.sleep(0.3).await;
        assert!(succeeded(&caller.invoke(&ask("after", ACT)).await));
    });
    let ended = |n: usize| {
        let name = format!("w{n}");
        let at =
            |r: &Record| matches!(r, Record::Ran { invocation, .. } if *invocation == name).then(|| r.at());
        w.stage.records().iter().find_map(at).unwrap()
    };
    let soon = (0..10).filter(|&n| ended(n) < taken_back.get() + 0.5).count();
    assert!(soon >= 9, "{soon} of 10 ran within half a second of the word");
    let moved = (0..10).filter(|n| w.ran(&format!("w{n}")) == [digest(OLD)]).count();
    assert!(moved >= 9, "{moved} ran once, the old version");
    assert_eq!(w.ran("after"), [digest(OLD)]);
    gateway.end();
    assert_eq!(office.end(), Ended::Told);
}

#[test]
fn an_alias_that_moves_changes_nothing_for_what_is_out_and_all_for_what_comes_after() {
    let at = free();
    let w = world(&[at], "rationFloor: 4");
    let office = office(&w.text, at, &folder("alias"));
    let gateway = gateway(&w.text);
    let caller = Caller::new(&w.stage, 0, 0, gateway.at, false);
    on(&w.stage, async {
        w.until_runs(&caller, "before", OLD).await;
        let steps = "{ share: 0.5, leastTime: '300ms', leastEvidence: 5 }, { share: 1, leastTime: '300ms', leastEvidence: 5 }";
        assert_eq!(order(at, plan(steps)).await.0, 200);
        let mut n = 0;
        while phase(at).await != Some(Phase::Finished) {
            let name = format!("during-{n}");
            assert!(succeeded(&caller.invoke(&ask(&name, ACT)).await));
            assert_eq!(w.ran(&name).len(), 1, "each effect once");
            n += 1;
            w.stage.sleep(0.005).await;
        }
        assert!(n > 20, "{n} were offered during the rollout");
        w.stage.sleep(0.3).await;
        let heard = caller.invoke(&ask("after", LOOK)).await;
        assert!(succeeded(&heard), "{heard:?}");
        assert_eq!(w.ran("after"), [digest(NEW)]);
        // A digest names what it names, whatever the aliases do.
        let named = Ask { function: format!("f@sha256:{}", digest(OLD)), ..ask("named", LOOK) };
        assert!(succeeded(&caller.invoke(&named).await));
        assert_eq!(w.ran("named"), [digest(OLD)]);
    });
    gateway.end();
    office.end();
    let (_, kept) = recover(&PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("coordinator-alias")).unwrap();
    assert_eq!(kept.published.aliases["f"]["stable"], digest(NEW), "it outlives the process");
}

#[test]
fn a_coordinator_that_is_gone_holds_the_step_and_says_the_same_when_it_is_back() {
    let (at, kept) = (free(), folder("gone"));
    let w = world(&[at], "rationFloor: 4");
    let first = office(&w.text, at, &kept);
    let one = gateway(&w.text);
    let caller = Caller::new(&w.stage, 0, 0, one.at, false);
    on(&w.stage, async {
        w.until_runs(&caller, "before", OLD).await;
        assert_eq!(order(at, plan(ALL_AT_ONCE)).await.0, 200);
        w.until_runs(&caller, "shifted", NEW).await;
    });
    assert_eq!(first.end(), Ended::Told);
    // One that starts while nobody says how the rollout stands serves the old version.
    let late = gateway(&w.text);
    let late_caller = Caller::new(&w.stage, 1, 0, late.at, false);
    on(&w.stage, async {
        assert!(succeeded(&caller.invoke(&ask("held", LOOK)).await));
        assert!(succeeded(&late_caller.invoke(&ask("late", LOOK)).await));
    });
    assert_eq!((w.ran("held"), w.ran("late")), (vec![digest(NEW)], vec![digest(OLD)]));
    let second = office(&w.text, at, &kept);
    on(&w.stage, async {
        w.until_runs(&late_caller, "later", NEW).await;
        assert_eq!(phase(at).await, Some(Phase::Shifting));
        let (status, told) = order(at, plan(ALL_AT_ONCE)).await;
        assert!(status == 409 && told.contains("is on"), "{status} {told}");
    });
    late.end();
    one.end();
    second.end();
    let (_, kept) = recover(&kept).unwrap();
    assert_eq!(kept.published.epoch.term, 2);
    assert_eq!(kept.runs["r"].history.len(), 2, "started, then the first step");
}

#[test]
fn of_two_coordinators_the_higher_term_wins_and_the_other_stops() {
    let (a, b) = (free(), free());
    let (first, second) = (folder("first"), folder("second"));
    let w = world(&[a, b], "rationFloor: 4");
    // The second one has had terms before.
    for _ in 0..3 {
        office(&w.text, b, &second).end();
    }
    let one = office(&w.text, a, &first);
    let gateway = gateway(&w.text);
    let caller = Caller::new(&w.stage, 0, 0, gateway.at, false);
    on(&w.stage, async {
        w.until_runs(&caller, "before", OLD).await;
        assert_eq!(order(a, plan(ALL_AT_ONCE)).await.0, 200);
        w.until_runs(&caller, "shifted", NEW).await;
    });
    let two = office(&w.text, b, &second);
    match one.thread.join().unwrap().unwrap() {
        Ended::Superseded(epoch) => assert_eq!(epoch.term, 4),
        other => panic!("{other:?}"),
    }
    on(&w.stage, async {
        // What the second one doesn't know is not given any more.
        w.until_runs(&caller, "after", OLD).await;
        assert_eq!(order(b, plan(ALL_AT_ONCE)).await.0, 200);
        w.until_runs(&caller, "again", NEW).await;
    });
    assert_eq!(w.executors.len(), 2);
    gateway.end();
    two.end();
}

#[test]
fn ten_rollouts_at_once_on_front_ends_whose_clocks_are_a_second_apart_come_to_their_ends() {
    let at = free();
    let w = world(&[at], "rationFloor: 30, rationWindow: '5s'");
    let office = office(&w.text, at, &folder("ten"));
    let gateways = [gateway_ahead(&w.text, -0.5), gateway_ahead(&w.text, 0.5)];
    let callers: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(n, g)| Caller::new(&w.stage, n as u32, n as u32, g.at, false))
        .collect();
    let steps = "{ share: 0.5, leastTime: '300ms', leastEvidence: 5 }, { share: 1, leastTime: '300ms', leastEvidence: 5 }";
    on(&w.stage, async {
        for n in 0..10 {
            assert_eq!(order(at, plan_of(&format!("r{n}"), &format!("g{n}"), 3.0, steps)).await.0, 200);
        }
        assert_eq!(order(at, Order::Back { name: "r3".into(), why: "a test".into() }).await.0, 200);
        let over = async || {
            let (_, body) =
                http_ask(at, Method::GET, "/v1/rollouts", vec![], Duration::from_secs(3)).await.unwrap();
            let value: serde_json::Value = serde_json::from_slice(&body).unwrap();
            let phases =
                value["rollouts"].as_array().unwrap().iter().map(|r| r["phase"].as_str().unwrap().to_owned());
            let phases: Vec<_> = phases.collect();
            (
                phases.iter().filter(|p| *p == "finished").count(),
                phases.iter().filter(|p| *p == "takenBack").count(),
            )
        };
        let mut n = 0;
        while over().await != (9, 1) {
            for caller in &callers {
                let name = format!("t{n}");
                let asked = Ask { function: format!("g{}", n % 10), ..ask(&name, ACT) };
                assert!(succeeded(&caller.invoke(&asked).await));
                assert_eq!(w.ran(&name).len(), 1, "each effect once");
                n += 1;
            }
        }
        w.stage.sleep(0.3).await;
        for (g, caller) in (0..10).flat_map(|g| callers.iter().map(move |c| (g, c))) {
            let name = format!("last-{g}-{}", caller.number);
            let asked = Ask { function: format!("g{g}"), ..ask(&name, LOOK) };
            assert!(succeeded(&caller.invoke(&asked).await));
            let wanted = if g == 3 { OLD } else { NEW };
            assert_eq!(w.ran(&name), [digest(wanted)]);
        }
    });
    for gateway in gateways {
        gateway.end();
    }
    office.end();
}
