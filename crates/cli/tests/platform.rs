//! The platform's front end as the platform starts it: the real program between scripted executors and
//! clients on sockets, with a resolver that stays silent.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use orchidtally_frames as frames;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidtally");
const CALM: &str = "0000000000000001";
const BREAKS_OFF: &str = "0000000000000002";
const NOISE: &str = "0000000000000003";
const SILENT: &str = "0000000000000004";
const SLOW: &str = "0000000000000005";

/// Dispatches by the client's id, as they came to executors.
type Seen = Arc<Mutex<HashMap<String, Vec<Value>>>>;

/// An executor that answers a function's first dispatch of each id as the function's name says, and any
/// other well.
fn executor(seen: Seen) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, seen) = (stream.unwrap(), seen.clone());
            std::thread::spawn(move || attend(stream, &seen));
        }
    });
    at
}

fn attend(stream: TcpStream, seen: &Seen) {
    let mut out = stream.try_clone().unwrap();
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { return };
        let message: Value = serde_json::from_str(&line).unwrap();
        let (id, f) = (message["i"].as_str().unwrap().to_owned(), &message["f"]);
        let first = message["t"] == "DO" && {
            let mut seen = seen.lock().unwrap();
            let all = seen.entry(id.clone()).or_default();
            all.push(message.clone());
            all.len() == 1
        };
        let answer = match (message["t"].as_str().unwrap(), f["item"].as_str().unwrap_or_default()) {
            ("DO", BREAKS_OFF) if first => {
                out.write_all(br#"{"t":"DONE","i":""#).unwrap();
                return out.shutdown(std::net::Shutdown::Both).unwrap();
            }
            ("DO", NOISE) if first => "\u{1}noise\n".into(),
            ("DO", SILENT) if first => continue,
            ("DO", item) => {
                if item == SLOW {
                    std::thread::sleep(Duration::from_millis(900));
                }
                json!({"t": "DONE", "i": id, "f": {"tell": "warm", "crowd": "1"}, "b": message["b"]})
                    .to_string()
                    + "\n"
            }
            ("PIN", _) => json!({"t": "DONE", "i": id, "f": {"count": 1}}).to_string() + "\n",
            _ => continue,
        };
        if out.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

struct FrontEnd {
    process: Child,
    at: SocketAddr,
    file: PathBuf,
    seen: Seen,
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        // One that has ended needs no end.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn settings() -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": 1.5e9, "deadline": 4e9, "credit": 1.0, "lateWorth": 0.2,
            "semantics": semantics, "dedupScope": "all", "dedupWindow": 5e9})
    };
    json!({
        "balancers": 1, "index": 0, "zone": 0, "zones": ["east"], "shapes": ["std"], "tick": 2e6,
        "classes": [class("read", "pure"), class("update", "token"), class("command", "side_effect")],
        "limits": {"maxAttempts": 4, "cancel": true, "retryAfter": true, "maxRetryAfter": 1e9, "secondCopies": false,
            "maxOpen": 1000, "streamsPerConn": 32, "connectTimeout": 2.5e8, "idleClose": 1.5e10},
        "safety": {"cold": 1e9, "coldFrom": 0.2, "overloadFactor": 2.0, "fall": 1e9},
        "specifics": {"loadControl": true, "notLoaded": "load", "notesPeersInHand": true, "staysLoaded": 8e9},
    })
}

fn host(n: usize, dial: SocketAddr) -> Value {
    json!({"host": format!("s-{n}"), "dial": dial, "site": "east", "class": "std", "block": 1,
        "health": "SERVING", "share": 4, "born_ms": 0})
}

/// What a front end is told, and where it is to listen.
fn told(hosts: &[Value], sockets: usize) -> (String, SocketAddr) {
    let resolver = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let at = orchidtally_standin::port_for_later().unwrap();
    let told = json!({
        "name": "n0", "listen": at, "seed": "8c1f30d27a5be964", "dns": resolver,
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets}, "settings": settings(),
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"seq": 1, "whole": true, "hosts": hosts}}]},
    });
    (told.to_string(), at)
}

fn start(name: &str) -> FrontEnd {
    start_among(name, 2, 128)
}

fn start_among(name: &str, executors: usize, sockets: usize) -> FrontEnd {
    let seen = Seen::default();
    let hosts: Vec<Value> = (1..=executors).map(|n| host(n, executor(seen.clone()))).collect();
    start_with(name, &hosts, sockets, seen)
}

fn start_with(name: &str, hosts: &[Value], sockets: usize, seen: Seen) -> FrontEnd {
    let (told, at) = told(hosts, sockets);
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&file, told).unwrap();
    let front = FrontEnd::begin(file, at, seen);
    front.listens();
    front
}

impl FrontEnd {
    fn begin(file: PathBuf, at: SocketAddr, seen: Seen) -> FrontEnd {
        let mut command = Command::new(PROGRAM);
        command.args(["serve", "--platform"]).env("LB_CONFIG", &file).stderr(Stdio::null());
        FrontEnd { process: command.spawn().unwrap(), at, file, seen }
    }

    fn listens(&self) {
        let begun = Instant::now();
        while TcpStream::connect(self.at).is_err() {
            assert!(begun.elapsed() < Duration::from_secs(10), "it never listened");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.at).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(6))).unwrap();
        stream
    }

    fn signal(&self, name: &str) {
        let told = Command::new("sh").args(["-c", &format!("kill -{name} {}", self.process.id())]).status();
        assert!(told.unwrap().success());
    }

    fn dispatches(&self, id: &str) -> Vec<Value> {
        self.seen.lock().unwrap().get(id).cloned().unwrap_or_default()
    }
}

fn invocation(stream: u32, id: &str, service: &str, function: &str, body: &[u8]) -> Vec<u8> {
    let fields = [
        ("service", service),
        ("ref", id),
        ("allow", "3000"),
        ("lookup", function),
        ("replay", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        ("tags", "memory_mb:512;lanes:2;load_ms:20"),
    ];
    let mut out = vec![];
    frames::put(&mut out, frames::INVOKE, stream, None, Some(&fields), body);
    out
}

/// The next frame: its type, stream, code and body; `None` at the end of the connection.
fn next(client: &mut TcpStream) -> Option<(u8, u32, u8, Vec<u8>)> {
    let mut length = [0; 4];
    client.read_exact(&mut length).ok()?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    client.read_exact(&mut frame).unwrap();
    let stream = u32::from_be_bytes(frame[1..5].try_into().unwrap());
    if frame.len() == 5 {
        return Some((frame[0], stream, 0, vec![]));
    }
    let (_, body) = frames::fields(&frame[6..]).unwrap();
    Some((frame[0], stream, frame[5], body.to_vec()))
}

fn ask(client: &mut TcpStream, invocation: &[u8]) -> (u8, u32, u8, Vec<u8>) {
    client.write_all(invocation).unwrap();
    next(client).expect("an answer")
}

fn id(n: u64) -> String {
    format!("{n:016x}")
}

#[test]
fn bodies_and_fields_are_passed_on_unchanged_and_what_is_unusable_is_told() {
    let front = start("calm");
    let mut client = front.client();
    let mut ready = vec![];
    frames::put(&mut ready, frames::ASK_READY, 0, None, Some(&[]), &[]);
    assert_eq!(ask(&mut client, &ready), (frames::READY, 0, frames::IS_READY, vec![]));
    for (n, body) in [(1, &b""[..]), (2, b"\x00\n\xff"), (3, &[9; frames::LONGEST_BODY])] {
        let answer = ask(&mut client, &invocation(n, &id(n.into()), "update", CALM, body));
        assert_eq!(answer, (frames::ANSWER, n, frames::SUCCEEDED, body.to_vec()));
        let [sent] = front.dispatches(&id(n.into())).try_into().expect("one dispatch");
        assert_eq!((&sent["f"]["cls"], &sent["f"]["item"]), (&json!("update"), &json!(CALM)));
        assert_eq!(sent["f"]["nonce"], "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
        assert!((1..=3000).contains(&sent["f"]["limit"].as_u64().unwrap()));
        assert_eq!(STANDARD.decode(sent["b"].as_str().unwrap()).unwrap(), body);
    }
    let unusable = [
        invocation(4, "xyz", "read", CALM, b""),
        invocation(5, &id(5), "none", CALM, b""),
        invocation(6, &id(6), "read", "12", b""),
        invocation(7, &id(7), "read", CALM, &[0; frames::LONGEST_BODY + 1]),
        invocation(8, &id(8), "read", CALM, &[0; 100_000]),
    ];
    for (n, bad) in (4..).zip(unusable) {
        let (kind, stream, code, _) = ask(&mut client, &bad);
        assert_eq!((kind, stream, code), (frames::ANSWER, n, frames::ERRORED));
        assert!(front.dispatches(&id(n.into())).is_empty(), "nothing unusable reaches an executor");
    }
    let used_before = ask(&mut client, &invocation(8, &id(9), "read", CALM, b""));
    assert_eq!((used_before.1, used_before.2), (0, frames::ERRORED));
    assert_eq!(next(&mut client), None, "it is closed after that");
    for start in [&[0; 4][..], &60_000_000u32.to_be_bytes(), &[0, 0, 0, 9, 99, 0, 0, 0, 0]] {
        let mut client = front.client();
        client.write_all(start).unwrap();
        let begun = Instant::now();
        while next(&mut client).is_some() {}
        assert!(begun.elapsed() < Duration::from_secs(3), "{start:?} is answered or closed in time");
    }
}

#[test]
fn spoilt_answers_reach_no_client_and_only_what_may_run_twice_does() {
    let front = start("spoilt");
    let mut client = front.client();
    let mut n = 0;
    for function in [BREAKS_OFF, NOISE] {
        for (service, code, dispatches) in [("read", frames::SUCCEEDED, 2), ("command", frames::ERRORED, 1)] {
            n += 1;
            let answer = ask(&mut client, &invocation(n, &id(n.into()), service, function, b"body"));
            assert_eq!((answer.1, answer.2), (n, code), "{service} of {function}");
            assert_eq!(front.dispatches(&id(n.into())).len(), dispatches, "{service} of {function}");
        }
    }
}

#[test]
fn ids_that_are_open_are_refused_and_clients_may_withdraw() {
    let front = start("open");
    let (mut one, mut other) = (front.client(), front.client());
    one.write_all(&invocation(1, &id(1), "command", SILENT, b"")).unwrap();
    let begun = Instant::now();
    while front.dispatches(&id(1)).is_empty() {
        assert!(begun.elapsed() < Duration::from_secs(5), "it was never dispatched");
        std::thread::sleep(Duration::from_millis(5));
    }
    let answer = ask(&mut other, &invocation(1, &id(1), "command", CALM, b"other"));
    assert_eq!(answer.2, frames::ERRORED);
    let mut withdrawal = vec![];
    frames::put(&mut withdrawal, frames::WITHDRAW, 1, None, None, &[]);
    one.write_all(&withdrawal).unwrap();
    // No answer is owed for it; the next is that of another stream, and the id is free again.
    let answer = ask(&mut one, &invocation(2, &id(1), "command", CALM, b"again"));
    assert_eq!(answer, (frames::ANSWER, 2, frames::SUCCEEDED, b"again".to_vec()));
}

#[test]
fn it_lives_through_bad_files_and_ends_once_all_is_answered() {
    let mut front = start("signals");
    let mut client = front.client();
    std::fs::write(&front.file, "{ no JSON").unwrap();
    front.signal("HUP");
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(ask(&mut client, &invocation(1, &id(1), "read", CALM, b"")).2, frames::SUCCEEDED);
    front.signal("TERM");
    let mut ready = vec![];
    frames::put(&mut ready, frames::ASK_READY, 0, None, Some(&[]), &[]);
    let begun = Instant::now();
    while ask(&mut client, &ready).2 == frames::IS_READY {
        assert!(begun.elapsed() < Duration::from_secs(5), "it heard nothing of the signal");
    }
    let mut late = front.client();
    assert_eq!(ask(&mut late, &ready).2, frames::NOT_READY);
    assert_eq!(
        ask(&mut late, &invocation(1, &id(2), "read", CALM, b"")).2,
        frames::SUCCEEDED,
        "served for a while"
    );
    assert_eq!(next(&mut late), Some((frames::NO_MORE, 0, 0, vec![])));
    assert_eq!(front.process.wait().unwrap().code(), Some(0));
}

#[test]
fn a_file_that_can_not_be_used_is_told_with_its_name_and_key() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad.json");
    let run = |text: &str| {
        std::fs::write(&file, text).unwrap();
        Command::new(PROGRAM).args(["serve", "--platform"]).env("LB_CONFIG", &file).output().unwrap()
    };
    let mut odd: Value = serde_json::from_str(&told(&[], 128).0).unwrap();
    odd["settings"]["registryMode"] = "gossip".into();
    let odd = odd.to_string();
    let cases = [
        ("{", "bad.json"),
        (r#"{"name":"n0"}"#, "listen"),
        ("[]", "bad.json"),
        (&odd, "'registryMode' has an unknown value 'gossip'"),
    ];
    for (text, named) in cases {
        let output = run(text);
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{text}: {said}");
        assert!(said.contains("bad.json") && said.contains(named), "{text}: {said}");
    }
    let missing =
        Command::new(PROGRAM).args(["serve", "--platform"]).env_remove("LB_CONFIG").output().unwrap();
    assert_eq!(missing.status.code(), Some(2));
}

/// With 48 descriptors there is room for eight connections to executors: the one idle for longest gives way, or
/// functions whose executors have none would find every place taken for good.
#[test]
fn more_executors_than_descriptors_are_all_reached() {
    let front = start_among("descriptors", 24, 48);
    let mut client = front.client();
    for n in 1..=60 {
        let function = id(0x1000 + n);
        let (_, stream, code, _) =
            ask(&mut client, &invocation(n as u32, &id(n), "command", &function, b"x"));
        assert_eq!((stream, code), (n as u32, frames::SUCCEEDED), "function {function}");
    }
}

/// A signal that comes while the file is still being read finds its handler there: it would end the process.
#[test]
fn signals_before_it_is_ready_and_two_at_once_end_nothing_too_early() {
    for (signals, ends) in [(&["HUP"][..], false), (&["TERM", "HUP"], true), (&["HUP", "TERM"], true)] {
        let seen = Seen::default();
        let (told, at) = told(&[host(1, executor(seen.clone()))], 128);
        let file =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("early-{}.json", signals.join("-")));
        // A file that takes as long to be read as this test wants.
        let _ = std::fs::remove_file(&file);
        assert!(Command::new("mkfifo").arg(&file).status().unwrap().success());
        let mut front = FrontEnd::begin(file.clone(), at, seen);
        let mut slow = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
        signals.iter().for_each(|s| front.signal(s));
        std::fs::remove_file(&file).unwrap();
        std::fs::write(&file, &told).unwrap();
        std::thread::sleep(Duration::from_millis(50));
        slow.write_all(told.as_bytes()).unwrap();
        drop(slow);
        front.listens();
        let mut client = front.client();
        let answer = ask(&mut client, &invocation(1, &id(1), "command", CALM, b"early"));
        assert_eq!(answer, (frames::ANSWER, 1, frames::SUCCEEDED, b"early".to_vec()), "{signals:?}");
        if ends {
            assert_eq!(next(&mut client), Some((frames::NO_MORE, 0, 0, vec![])));
            assert_eq!(front.process.wait().unwrap().code(), Some(0), "{signals:?}");
        } else {
            std::thread::sleep(Duration::from_millis(1_000));
            assert_eq!(ask(&mut client, &invocation(2, &id(2), "read", CALM, b"")).2, frames::SUCCEEDED);
        }
    }
}

/// Both at once, with an invocation out: it is answered, and the process ends by itself.
#[test]
fn a_reload_together_with_the_end_loses_nothing() {
    let mut front = start("both");
    let mut client = front.client();
    client.write_all(&invocation(1, &id(1), "read", SLOW, b"out")).unwrap();
    while front.dispatches(&id(1)).is_empty() {
        std::thread::sleep(Duration::from_millis(5));
    }
    front.signal("TERM");
    front.signal("HUP");
    front.signal("TERM");
    let answer = next(&mut client).expect("an answer");
    let answer = if answer.0 == frames::NO_MORE { next(&mut client).expect("an answer") } else { answer };
    assert_eq!(answer, (frames::ANSWER, 1, frames::SUCCEEDED, b"out".to_vec()));
    assert_eq!(front.process.wait().unwrap().code(), Some(0));
}

/// Three of ten are left, with all the traffic; what was killed starts from nothing and serves.
#[test]
fn three_of_ten_front_ends_serve_on_after_the_rest_was_killed() {
    let seen = Seen::default();
    let hosts: Vec<Value> = (1..=3).map(|n| host(n, executor(seen.clone()))).collect();
    let begin = |n: usize| start_with(&format!("killed-{n}"), &hosts, 128, seen.clone());
    let mut all: Vec<FrontEnd> = (0..10).map(begin).collect();
    let mut ids = 0;
    let mut round = |fronts: &[FrontEnd], invocations: u32| {
        let mut clients: Vec<TcpStream> = fronts.iter().map(FrontEnd::client).collect();
        for n in 1..=invocations {
            for client in &mut clients {
                ids += 1;
                let service = ["read", "update", "command"][n as usize % 3];
                client
                    .write_all(&invocation(n, &id(ids), service, &id(0x2000 + u64::from(n % 7)), b"x"))
                    .unwrap();
            }
        }
        for client in &mut clients {
            for _ in 0..invocations {
                assert_eq!(next(client).expect("an answer").2, frames::SUCCEEDED);
            }
        }
    };
    round(&all, 12);
    // Dropped, a front end is killed.
    all.truncate(3);
    round(&all, 32);
    all.extend((3..10).map(begin));
    round(&all, 12);
    let seen = seen.lock().unwrap();
    let mut commands = seen.values().filter(|d| d[0]["f"]["cls"] == "command");
    assert!(commands.all(|d| d.len() == 1), "what may run once only was dispatched twice");
}

/// Usual clients on a third of the descriptors, and a hundred bad ones a second: no usual connection is given up
/// for them, and each invocation has its answer.
#[test]
fn usual_clients_on_a_third_of_the_descriptors_do_not_feel_bad_ones() {
    let front = start_among("crowd", 2, 192);
    let mut usual: Vec<TcpStream> = (0..64).map(|_| front.client()).collect();
    let mut bad: Vec<TcpStream> = vec![];
    let mut ids = 0;
    for n in 1..=4u32 {
        for (m, client) in usual.iter_mut().enumerate() {
            if n > 1 {
                // Silent ones, ones with half a frame, and ones that send noise come between any two.
                let mut worse = front.client();
                match m % 3 {
                    0 => {}
                    1 => worse.write_all(&[0, 0, 1, 0, frames::INVOKE, 0]).unwrap(),
                    _ => worse.write_all(&[0xff; 64]).unwrap(),
                }
                bad.push(worse);
                std::thread::sleep(Duration::from_millis(10));
            }
            ids += 1;
            let answer = ask(client, &invocation(n, &id(ids), "command", CALM, b"usual"));
            assert_eq!((answer.2, answer.3), (frames::SUCCEEDED, b"usual".to_vec()), "client {m}, round {n}");
        }
    }
    assert_eq!(bad.len(), 192);
}
