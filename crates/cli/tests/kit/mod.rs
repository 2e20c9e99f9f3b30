//! The real program between scripted executors and clients on sockets, with a resolver that stays silent.

// Each test program uses a part of it.
#![allow(dead_code)]

use orchidtally_platform_client_protocol as frames;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidtally");
pub const CALM: &str = "0000000000000001";
pub const BREAKS_OFF: &str = "0000000000000002";
pub const NOISE: &str = "0000000000000003";
pub const SILENT: &str = "0000000000000004";
pub const SLOW: &str = "0000000000000005";

/// Dispatches by the client's id, as they came to executors.
pub type Seen = Arc<Mutex<HashMap<String, Vec<Value>>>>;

/// An executor that answers a function's first dispatch of each id as the function's name says, and any
/// other well.
pub fn executor(seen: Seen) -> SocketAddr {
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
        let answer = match (
            message["t"].as_str().unwrap(),
            f["item"].as_str().unwrap_or_default(),
        ) {
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

pub struct FrontEnd {
    pub process: Child,
    pub at: SocketAddr,
    pub file: PathBuf,
    pub seen: Seen,
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

pub fn host(n: usize, dial: SocketAddr) -> Value {
    json!({"host": format!("s-{n}"), "dial": dial, "site": "east", "class": "std", "block": 1,
        "health": "SERVING", "share": 4, "born_ms": 0})
}

/// What a front end is told, and where it is to listen.
pub fn told(hosts: &[Value], sockets: usize) -> (String, SocketAddr) {
    let resolver = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let at = orchidtally_test_servers::reserve_address().unwrap();
    let told = json!({
        "name": "n0", "listen": at, "seed": "8c1f30d27a5be964", "dns": resolver,
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets}, "settings": settings(),
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"seq": 1, "whole": true, "hosts": hosts}}]},
    });
    (told.to_string(), at)
}

pub fn start(name: &str) -> FrontEnd {
    start_among(name, 2, 128)
}

pub fn start_among(name: &str, executors: usize, sockets: usize) -> FrontEnd {
    let seen = Seen::default();
    let hosts: Vec<Value> = (1..=executors)
        .map(|n| host(n, executor(seen.clone())))
        .collect();
    start_with(name, &hosts, sockets, seen)
}

pub fn start_with(name: &str, hosts: &[Value], sockets: usize, seen: Seen) -> FrontEnd {
    let (told, at) = told(hosts, sockets);
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&file, told).unwrap();
    let front = FrontEnd::begin(file, at, seen);
    front.listens();
    front
}

impl FrontEnd {
    pub fn begin(file: PathBuf, at: SocketAddr, seen: Seen) -> FrontEnd {
        let mut command = Command::new(PROGRAM);
        command
            .args(["serve", "--platform"])
            .env("LB_CONFIG", &file)
            .stderr(Stdio::null());
        FrontEnd {
            process: command.spawn().unwrap(),
            at,
            file,
            seen,
        }
    }

    pub fn listens(&self) {
        let begun = Instant::now();
        while TcpStream::connect(self.at).is_err() {
            assert!(
                begun.elapsed() < Duration::from_secs(10),
                "it never listened"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.at).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(6)))
            .unwrap();
        stream
    }

    pub fn signal(&self, name: &str) {
        let told = Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", self.process.id())])
            .status();
        assert!(told.unwrap().success());
    }

    pub fn dispatches(&self, id: &str) -> Vec<Value> {
        self.seen
            .lock()
            .unwrap()
            .get(id)
            .cloned()
            .unwrap_or_default()
    }
}

pub fn invocation(stream: u32, id: &str, service: &str, function: &str, body: &[u8]) -> Vec<u8> {
    let fields = [
        ("service", service),
        ("ref", id),
        ("allow", "3000"),
        ("lookup", function),
        ("replay", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        ("tags", "memory_mb:512;lanes:2;load_ms:20"),
    ];
    let mut out = vec![];
    frames::write_frame(&mut out, frames::INVOKE, stream, None, Some(&fields), body);
    out
}

/// The next frame: its type, stream, code and body; `None` at the end of the connection.
pub fn next(client: &mut TcpStream) -> Option<(u8, u32, u8, Vec<u8>)> {
    let mut length = [0; 4];
    client.read_exact(&mut length).ok()?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    client.read_exact(&mut frame).unwrap();
    let stream = u32::from_be_bytes(frame[1..5].try_into().unwrap());
    if frame.len() == 5 {
        return Some((frame[0], stream, 0, vec![]));
    }
    let (_, body) = frames::parse_fields(&frame[6..]).unwrap();
    Some((frame[0], stream, frame[5], body.to_vec()))
}

pub fn ask(client: &mut TcpStream, invocation: &[u8]) -> (u8, u32, u8, Vec<u8>) {
    client.write_all(invocation).unwrap();
    next(client).expect("an answer")
}

pub fn id(n: u64) -> String {
    format!("{n:016x}")
}
