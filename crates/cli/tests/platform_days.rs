//! Days of the platform's front end: the real program between executors, a resolver and clients of the project's
//! own, with faults by script; the five rules are judged by the witness from what went over the sockets.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use orchidtally_frames as frames;
use orchidtally_standin::Stage;
use orchidtally_standin::platform::{Ask, Client, Executor, Lives, Odd, Resolver, Row, Spoil, executors};
use orchidtally_witness::{Answer, Effect, Group, Record, Standing, Terms, TriggerType, Verdict, judge};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidtally");
const TYPES: [&str; 3] = ["read", "update", "command"];
const WINDOW: f64 = 5.0;

fn settings(front_ends: u32, index: u32) -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": 1e9, "deadline": 3e9, "credit": 1.0, "lateWorth": 0.2,
            "semantics": semantics, "dedupScope": "cell", "dedupWindow": WINDOW * 1e9})
    };
    json!({
        "balancers": front_ends, "index": index, "zone": 0, "zones": ["east"], "shapes": ["std"], "tick": 2e6,
        "classes": [class(TYPES[0], "pure"), class(TYPES[1], "token"), class(TYPES[2], "side_effect")],
        "limits": {"maxAttempts": 4, "cancel": true, "retryAfter": true, "maxRetryAfter": 1e9,
            "secondCopies": false, "maxOpen": 1000, "streamsPerConn": 32, "connectTimeout": 2.5e8,
            "idleClose": 1.5e10},
        "safety": {"cold": 1e9, "coldFrom": 0.2, "overloadFactor": 2.0, "fall": 1e9, "drainGrace": 2e8},
        "specifics": {"loadControl": true, "notLoaded": "load", "notesPeersInHand": true, "tellsWarm": true,
            "staysLoaded": 8e9, "loadFloor": 4.0, "loadPart": 0.2, "loadPeriod": 5e9},
    })
}

fn terms() -> Terms {
    let effects = [Effect::Idempotent, Effect::Tokened, Effect::NonIdempotent];
    let types = TYPES.iter().zip(effects).map(|(name, effect)| TriggerType {
        name: (*name).to_owned(),
        effect,
        group: Group::Cell,
        window: WINDOW,
        objective: 1.0,
    });
    Terms {
        trigger_types: types.collect(),
        second_copies: false,
        drain_grace: 0.2,
        fall: 1.0,
        ration_floor: 4.0,
        ration_share: 0.2,
        ration_window: 5.0,
        transit: 0.05,
    }
}

/// A fleet with its front ends, on one stage.
struct Day {
    name: String,
    stage: Stage,
    lives: Rc<Lives>,
    executors: Vec<Rc<Executor>>,
    resolver: Rc<Resolver>,
    at: Vec<SocketAddr>,
    dns: RefCell<Vec<SocketAddr>>,
    processes: RefCell<Vec<Option<Child>>>,
    clients: Vec<Rc<Client>>,
    next: Cell<u64>,
    answered: Cell<[u32; 4]>,
}

impl Drop for Day {
    fn drop(&mut self) {
        for process in self.processes.get_mut().iter_mut().flatten() {
            // One that has ended needs no end.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Day {
    fn new(name: &str, front_ends: u32, seed: u64) -> Rc<Day> {
        let (stage, lives) = (Stage::new(seed), Rc::new(Lives::default()));
        let executors = executors(&stage, &lives, 6, front_ends, WINDOW).unwrap();
        let resolver = Resolver::new(&stage, &lives, &executors);
        let at: Vec<SocketAddr> =
            (0..front_ends).map(|_| orchidtally_standin::port_for_later().unwrap()).collect();
        let dns = (0..front_ends).map(|j| resolver.open(j).unwrap()).collect();
        let clients = (0..front_ends).map(|j| Client::new(&stage, j, at[j as usize])).collect();
        Rc::new(Day {
            name: name.to_owned(),
            stage,
            lives,
            executors,
            resolver,
            at,
            dns: RefCell::new(dns),
            processes: RefCell::new((0..front_ends).map(|_| None).collect()),
            clients,
            next: Cell::new(1),
            answered: Cell::default(),
        })
    }

    fn file(&self, j: u32) -> PathBuf {
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("day-{}-{j}.json", self.name))
    }

    fn configure(&self, j: u32) {
        let told = json!({
            "name": format!("n{j}"), "listen": self.at[j as usize], "seed": format!("{:016x}", 77 + j),
            "dns": self.dns.borrow()[j as usize],
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 128},
            "settings": settings(self.at.len() as u32, j), "known": self.resolver.known(j),
        });
        std::fs::write(self.file(j), told.to_string()).unwrap();
    }

    async fn start(&self, j: u32) {
        self.lives.begin(j);
        self.configure(j);
        let mut command = Command::new(PROGRAM);
        command.args(["serve", "--platform"]).env("LB_CONFIG", self.file(j)).stderr(Stdio::null());
        self.processes.borrow_mut()[j as usize] = Some(command.spawn().unwrap());
        for _ in 0..1_000 {
            if TcpStream::connect(self.at[j as usize]).is_ok() {
                return;
            }
            self.stage.sleep(0.01).await;
        }
        panic!("front end {j} never listened");
    }

    fn signal(&self, j: u32, name: &str) {
        let id = self.processes.borrow()[j as usize].as_ref().map(Child::id).expect("it was started");
        let told = Command::new("sh").args(["-c", &format!("kill -{name} {id}")]).status();
        assert!(told.unwrap().success());
    }

    /// Sends to each front end forty invocations a second for a while, and waits for what comes of them.
    async fn traffic(self: &Rc<Self>, seconds: f64) {
        let mut out = vec![];
        let until = self.stage.now() + seconds;
        while self.stage.now() < until {
            for client in &self.clients {
                let n = self.next.get();
                self.next.set(n + 1);
                let ty = (n * 7 % 3) as usize;
                let ask = Ask {
                    id: n,
                    trigger_type: (ty, TYPES[ty]),
                    function: 0x100 + n * n % 11,
                    allow: 2.5,
                    body: n.to_string().into_bytes(),
                };
                let (client, day) = (client.clone(), self.clone());
                out.push(self.stage.spawn(async move {
                    let answer = client.invoke(&ask).await;
                    let mut all = day.answered.get();
                    all[match answer {
                        Some(Answer::Succeeded) => 0,
                        Some(Answer::Throttled) => 1,
                        Some(_) => 2,
                        None => 3,
                    }] += 1;
                    day.answered.set(all);
                }));
            }
            self.stage.sleep(0.025).await;
        }
        for task in out {
            task.await;
        }
    }

    fn verdict(&self) -> Verdict {
        let stands = |e: &Rc<Executor>| orchidtally_witness::Executor { location: 0, cell: e.cell.into() };
        judge(&terms(), &self.executors.iter().map(stands).collect::<Vec<_>>(), &self.stage.records())
    }

    fn change(&self, executor: usize, standing: Standing) {
        self.resolver.change(|rows| {
            rows.retain(|r| r.executor.number != executor);
            if standing != Standing::Gone {
                rows.push(Row { executor: self.executors[executor].clone(), standing });
            }
        });
    }
}

/// Plays a day with its script beside the traffic, and tells the verdict and the share that succeeded.
fn play<F: Future<Output = ()>>(
    name: &str,
    front_ends: u32,
    seconds: f64,
    script: impl FnOnce(Rc<Day>) -> F,
) -> (Verdict, f64) {
    let day = Day::new(name, front_ends, 11);
    let all = async {
        for j in 0..front_ends {
            day.start(j).await;
        }
        future::zip(day.traffic(seconds), script(day.clone())).await;
    };
    async_io::block_on(day.stage.tasks.run(all));
    let [well, throttled, errored, none] = day.answered.get();
    let sum = f64::from(well + throttled + errored + none);
    println!("{name}: {well} succeeded, {throttled} throttled, {errored} errored, {none} without an answer");
    (day.verdict(), f64::from(well) / sum)
}

fn kept(name: &str, (verdict, succeeded): (Verdict, f64), least: f64) {
    let breaches: Vec<&String> = verdict.rules.iter().flat_map(|r| &r.breaches).collect();
    assert!(verdict.kept(), "{name}: {breaches:#?}");
    assert!(verdict.rules[0].checked > 100 && verdict.rules[1].checked > 100, "{name}: {verdict:?}");
    assert!(succeeded >= least, "{name}: {succeeded} succeeded");
}

#[test]
fn a_calm_day_is_served_and_keeps_the_rules() {
    let (verdict, succeeded) = play("calm", 2, 3.0, |_| async {});
    assert!(verdict.rules[4].checked > 0, "orders were given: {verdict:?}");
    kept("calm", (verdict, succeeded), 0.98);
}

#[test]
fn spoilt_answers_and_broken_connections_keep_the_rules() {
    for (spoil, least) in [
        (Spoil::Unread, 0.8),
        (Spoil::Half, 0.8),
        (Spoil::Noise, 0.8),
        (Spoil::BadBody, 0.8),
        (Spoil::Twice, 0.98),
        (Spoil::Never, 0.8),
    ] {
        let name = format!("{spoil:?}");
        let day = play(&name, 2, 1.6, |day| async move {
            day.executors.iter().for_each(|e| e.faults.spoils.set(Some((spoil, 0.1))));
        });
        kept(&name, day, least);
    }
}

#[test]
fn a_machine_that_vanishes_and_comes_back_keeps_the_rules() {
    let day = play("silent", 2, 3.0, |day| async move {
        day.stage.sleep(0.8).await;
        day.executors[2].fall_silent(1.5);
    });
    kept("silent", day, 0.7);
}

#[test]
fn executors_drained_gone_and_started_anew_keep_the_rules() {
    let (verdict, succeeded) = play("drain", 2, 3.0, |day| async move {
        day.stage.sleep(0.5).await;
        day.change(0, Standing::Draining);
        day.executors[0].draining.set(true);
        (1..3).for_each(|x| day.change(x, Standing::Gone));
        day.stage.sleep(0.8).await;
        // What the last ones held goes to those that are cold.
        for x in 1..3 {
            day.executors[x].since.set(day.stage.now());
            day.change(x, Standing::Ready);
        }
        (3..5).for_each(|x| day.change(x, Standing::Gone));
    });
    assert!(verdict.rules[2].checked > 0 && verdict.rules[3].checked > 0, "{verdict:?}");
    kept("drain", (verdict, succeeded), 0.9);
}

#[test]
fn an_odd_resolver_that_moves_keeps_the_rules() {
    for odd in [Odd::Lost, Odd::Foreign, Odd::Truncated, Odd::Cut, Odd::Failed, Odd::Stale] {
        let name = format!("{odd:?}");
        let day = play(&name, 2, 2.2, |day| async move {
            day.resolver.odd.set(Some((odd, 0.5)));
            day.stage.sleep(0.3).await;
            day.change(0, Standing::Draining);
            day.stage.sleep(0.5).await;
            for j in 0..2 {
                let moved = day.resolver.open(j).unwrap();
                day.dns.borrow_mut()[j as usize] = moved;
                day.configure(j);
                day.signal(j, "HUP");
            }
            day.stage.sleep(0.5).await;
            day.change(3, Standing::Gone);
            day.stage.sleep(1.0).await;
        });
        kept(&name, day, 0.95);
    }
}

#[test]
fn a_front_end_told_to_end_and_one_killed_keep_the_rules() {
    let day = play("restart", 3, 3.0, |day| async move {
        day.stage.sleep(0.8).await;
        day.signal(0, "TERM");
        let at = day.stage.now();
        day.stage.record(Record::Killed { at, front_end: 1 });
        let killed = day.processes.borrow_mut()[1].take();
        let mut killed = killed.expect("it runs");
        killed.kill().unwrap();
        killed.wait().unwrap();
        day.start(1).await;
        day.stage.sleep(1.2).await;
        let code = day.processes.borrow_mut()[0].as_mut().and_then(|p| p.try_wait().unwrap());
        assert_eq!(code.and_then(|c| c.code()), Some(0), "it ended by itself");
        day.start(0).await;
    });
    kept("restart", day, 0.9);
}

/// Says lines to an executor under a front end's address, as one that breaks the rules would.
async fn say(day: &Day, executor: usize, lines: impl IntoIterator<Item = Value>) {
    let mut stream = Async::<TcpStream>::connect(day.executors[executor].at[0]).await.unwrap();
    for line in lines {
        stream.write_all(format!("{line}\n").as_bytes()).await.unwrap();
    }
    day.stage.sleep(0.3).await;
}

fn invoked(id: u64, service: &str) -> Value {
    let fields =
        json!({"cls": service, "item": "0000000000000001", "limit": 1000, "nonce": format!("{id:032x}")});
    json!({"t": "DO", "i": format!("{id:016x}"), "f": fields, "b": ""})
}

/// A front end that takes one invocation and answers it so many times.
async fn answers(listener: Async<TcpListener>, times: usize) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut invocation = [0; 1_024];
    let _ = stream.read(&mut invocation).await.unwrap();
    let mut out = vec![];
    (0..times).for_each(|_| frames::put(&mut out, frames::ANSWER, 1, Some(frames::ERRORED), Some(&[]), &[]));
    stream.write_all(&out).await.unwrap();
    future::pending().await
}

/// What the witness finds of a script without a front end: the rules that are broken.
fn broken<F: Future<Output = ()>>(script: impl FnOnce(Rc<Day>) -> F) -> Vec<u8> {
    let day = Day::new("planted", 1, 5);
    day.lives.begin(0);
    day.resolver.known(0);
    async_io::block_on(day.stage.tasks.run(script(day.clone())));
    day.verdict().rules.iter().filter(|r| r.broken > 0).map(|r| r.rule).collect()
}

async fn ask_rogue(day: Rc<Day>, times: usize) {
    let listener = Async::<TcpListener>::bind(day.at[0]).unwrap();
    day.stage.spawn(answers(listener, times)).detach();
    let ask = Ask { id: 1, trigger_type: (0, "read"), function: 1, allow: 0.3, body: vec![] };
    day.clients[0].invoke(&ask).await;
}

/// The checks can fail: each of these breaks one rule, and nothing is found where none is broken.
#[test]
fn planted_breaches_are_found() {
    assert_eq!(broken(|day| ask_rogue(day, 0)), [1], "never answered");
    assert!(broken(|day| ask_rogue(day, 1)).is_empty());
    assert_eq!(broken(|day| ask_rogue(day, 2)), [1], "answered twice");
    for (service, to, found) in
        [("command", 1, &[2][..]), ("update", 2, &[2]), ("update", 1, &[]), ("read", 5, &[])]
    {
        let found_now = broken(|day| async move {
            say(&day, 0, [invoked(1, service)]).await;
            say(&day, to, [invoked(1, service)]).await;
        });
        assert_eq!(found_now, found, "{service} again at executor {to}");
    }
    for (standing, found) in [(Standing::Draining, &[3][..]), (Standing::Gone, &[3]), (Standing::Ready, &[])]
    {
        let found_now = broken(|day| async move {
            day.change(0, standing);
            day.resolver.known(0);
            day.stage.sleep(0.4).await;
            say(&day, 0, [invoked(1, "read")]).await;
        });
        assert_eq!(found_now, found, "sent to one told {standing:?}");
    }
    for (dispatches, found) in [(20, &[][..]), (40, &[4])] {
        let found_now = broken(|day| async move {
            day.change(0, Standing::Gone);
            day.resolver.known(0);
            day.executors[0].since.set(day.stage.now());
            day.change(0, Standing::Ready);
            day.resolver.known(0);
            say(&day, 0, (0..dispatches).map(|n| invoked(n, "read"))).await;
        });
        assert_eq!(found_now, found, "{dispatches} sent to a cold one");
    }
    for (orders, found) in [(4, &[][..]), (6, &[5])] {
        let order =
            |n| json!({"t": "PIN", "i": format!("order-{n}"), "f": {"item": "0000000000000001", "count": 1}});
        let found_now = broken(|day| async move { say(&day, 0, (0..orders).map(order)).await });
        assert_eq!(found_now, found, "{orders} orders");
    }
}
