//! Runs the `orchidtally` binary as a platform front end between scripted executors and clients on loopback sockets.
//! Its resolver never answers.

// Each test binary uses a part of this module.
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
/// Function whose executor responds at once.
pub const PROMPT: &str = "0000000000000001";
/// Function whose executor closes the connection in the middle of its first response.
pub const TRUNCATED_RESPONSE: &str = "0000000000000002";
/// Function whose executor sends an unreadable line as its first response.
pub const GARBAGE_RESPONSE: &str = "0000000000000003";
/// Function whose executor never responds to the first dispatch.
pub const NO_RESPONSE: &str = "0000000000000004";
/// Function whose executor responds after 0.9 s.
pub const SLOW: &str = "0000000000000005";
/// Function whose executor responds at once with a body of 41 KiB.
pub const LARGE_RESPONSE: &str = "0000000000000006";
/// Length of the body, in base64, that `LARGE_RESPONSE` returns.
const LARGE_RESPONSE_LENGTH: usize = 56 * 1024;

/// Dispatches that the executors received, in order of arrival, by the invocation ID that the client chose.
pub type DispatchLog = Arc<Mutex<HashMap<String, Vec<Value>>>>;

/// Starts an executor that handles the first dispatch of each invocation as the function's name says, and responds
/// with success to any further one.
pub fn start_executor(dispatch_log: DispatchLog) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, dispatch_log) = (stream.unwrap(), dispatch_log.clone());
            std::thread::spawn(move || serve_connection(stream, &dispatch_log));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, dispatch_log: &DispatchLog) {
    let mut output = stream.try_clone().unwrap();
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { return };
        let message: Value = serde_json::from_str(&line).unwrap();
        let (id, fields) = (message["i"].as_str().unwrap().to_owned(), &message["f"]);
        let is_first = message["t"] == "DO" && {
            let mut dispatch_log = dispatch_log.lock().unwrap();
            let dispatches_of_id = dispatch_log.entry(id.clone()).or_default();
            dispatches_of_id.push(message.clone());
            dispatches_of_id.len() == 1
        };
        let answer = match (
            message["t"].as_str().unwrap(),
            fields["item"].as_str().unwrap_or_default(),
        ) {
            ("DO", TRUNCATED_RESPONSE) if is_first => {
                output.write_all(br#"{"t":"DONE","i":""#).unwrap();
                return output.shutdown(std::net::Shutdown::Both).unwrap();
            }
            ("DO", GARBAGE_RESPONSE) if is_first => "\u{1}noise\n".into(),
            ("DO", NO_RESPONSE) if is_first => continue,
            ("DO", LARGE_RESPONSE) => {
                let body = "A".repeat(LARGE_RESPONSE_LENGTH);
                json!({"t": "DONE", "i": id, "f": {"tell": "warm", "crowd": "1"}, "b": body})
                    .to_string()
                    + "\n"
            }
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
        if output.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A running front end, which is killed when this value is dropped.
pub struct FrontEnd {
    pub process: Child,
    pub address: SocketAddr,
    /// The settings file.
    pub file: PathBuf,
    /// The dispatches that its executors received.
    pub dispatch_log: DispatchLog,
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        // Fails if the process has exited already.
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

/// An entry of the endpoint list.
pub fn host(n: usize, dial: SocketAddr) -> Value {
    json!({"host": format!("s-{n}"), "dial": dial, "site": "east", "class": "std", "block": 1,
        "health": "SERVING", "share": 4, "born_ms": 0})
}

/// Returns the text of a front end's settings file and the address that it listens on.
pub fn settings_file(hosts: &[Value], sockets: usize) -> (String, SocketAddr) {
    let resolver = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let address = orchidtally_test_servers::reserve_address().unwrap();
    let settings = json!({
        "name": "n0", "listen": address, "seed": "8c1f30d27a5be964", "dns": resolver,
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets}, "settings": settings(),
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"seq": 1, "whole": true, "hosts": hosts}}]},
    });
    (settings.to_string(), address)
}

/// Starts a front end with two executors and 128 sockets, and waits until it listens.
pub fn start(name: &str) -> FrontEnd {
    start_with_executors(name, 2, 128)
}

/// Starts a front end with its own executors, and waits until it listens.
pub fn start_with_executors(name: &str, executors: usize, sockets: usize) -> FrontEnd {
    let dispatch_log = DispatchLog::default();
    let hosts: Vec<Value> = (1..=executors)
        .map(|n| host(n, start_executor(dispatch_log.clone())))
        .collect();
    start_with_hosts(name, &hosts, sockets, dispatch_log)
}

/// Starts a front end with the given endpoint list, and waits until it listens.
pub fn start_with_hosts(
    name: &str,
    hosts: &[Value],
    sockets: usize,
    dispatch_log: DispatchLog,
) -> FrontEnd {
    let (settings, address) = settings_file(hosts, sockets);
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&file, settings).unwrap();
    let front_end = FrontEnd::spawn(file, address, dispatch_log);
    front_end.wait_until_listening();
    front_end
}

impl FrontEnd {
    /// Starts the process and returns without waiting until it listens.
    pub fn spawn(file: PathBuf, address: SocketAddr, dispatch_log: DispatchLog) -> FrontEnd {
        let mut command = Command::new(PROGRAM);
        command
            .args(["serve", "--platform"])
            .env("LB_CONFIG", &file)
            .stderr(Stdio::null());
        FrontEnd {
            process: command.spawn().unwrap(),
            address,
            file,
            dispatch_log,
        }
    }

    pub fn wait_until_listening(&self) {
        let started_at = Instant::now();
        while TcpStream::connect(self.address).is_err() {
            assert!(
                started_at.elapsed() < Duration::from_secs(10),
                "the front end did not start to listen"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(6)))
            .unwrap();
        stream
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", self.process.id())])
            .status();
        assert!(status.unwrap().success());
    }

    pub fn dispatches(&self, id: &str) -> Vec<Value> {
        self.dispatch_log
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
    let mut output = vec![];
    frames::write_frame(
        &mut output,
        frames::INVOKE,
        stream,
        None,
        Some(&fields),
        body,
    );
    output
}

/// A frame from the front end: its type, stream, code and body.
pub type Answer = (u8, u32, u8, Vec<u8>);

/// Reads the next frame. Returns `None` at the end of the connection.
pub fn read_frame(client: &mut TcpStream) -> Option<Answer> {
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

/// Sends a frame and reads the next one that the front end sends.
pub fn exchange(client: &mut TcpStream, invocation: &[u8]) -> Answer {
    client.write_all(invocation).unwrap();
    read_frame(client).expect("the front end responds")
}

/// The wire form of an invocation ID or a function's name.
pub fn hex_id(n: u64) -> String {
    format!("{n:016x}")
}
