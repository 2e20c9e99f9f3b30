//! Stand-ins of the platform after its protocol page: executors by JSON lines, the resolver by DNS, clients by frames.

use crate::Record;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A line that an executor got: when its first byte was read, and what it says.
pub struct Line {
    pub at: f64,
    pub executor: String,
    pub message: Value,
}

/// What the executors got, in the order of arrival.
pub type Lines = Arc<Mutex<Vec<Line>>>;

/// Starts an executor that answers each dispatch with its body after `work`, and says yes to each order.
pub fn start_executor(name: &str, work: Duration, lines: Lines, record: Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let name = name.to_owned();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, lines, record) = (name.clone(), lines.clone(), record.clone());
            std::thread::spawn(move || serve(stream, &name, work, &lines, &record));
        }
    });
    address
}

fn serve(stream: TcpStream, name: &str, work: Duration, lines: &Lines, record: &Record) {
    let Ok(output) = stream.try_clone() else {
        return;
    };
    let output = Arc::new(Mutex::new(output));
    let answer = move |output: &Mutex<TcpStream>, value: Value| {
        let line = value.to_string() + "\n";
        if let Ok(mut output) = output.lock() {
            let _ = output.write_all(line.as_bytes());
        }
    };
    let mut input = BufReader::new(stream);
    loop {
        // The first byte of a line: the time of a send runs from it.
        let at = match input.fill_buf() {
            Ok(bytes) if !bytes.is_empty() => record.now(),
            _ => return,
        };
        let mut text = String::new();
        if !matches!(input.read_line(&mut text), Ok(n) if n > 0) {
            return;
        }
        let Ok(message) = serde_json::from_str::<Value>(&text) else {
            return;
        };
        let kind = message["t"].as_str().unwrap_or_default().to_owned();
        let id = message["i"].as_str().unwrap_or_default().to_owned();
        if let Ok(mut lines) = lines.lock() {
            lines.push(Line {
                at,
                executor: name.to_owned(),
                message: message.clone(),
            });
        }
        record.line(format!("executor {name} got {}", text.trim_end()));
        match kind.as_str() {
            "DO" => {
                let output = output.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(work);
                    let fields = json!({"tell": "warm", "meter": "backlog:0;x1:0"});
                    let body = message["b"].clone();
                    answer(
                        &output,
                        json!({"t": "DONE", "i": id, "f": fields, "b": body}),
                    );
                });
            }
            "PIN" => {
                let count = message["f"]["count"].as_u64().unwrap_or(0).max(1);
                answer(
                    &output,
                    json!({"t": "DONE", "i": id, "f": {"count": count}}),
                );
            }
            "ECHO" | "METER" => answer(
                &output,
                json!({"t": "FIT", "i": id, "f": {"meter": "backlog:0;x1:0"}}),
            ),
            _ => {}
        }
    }
}

/// An executor in a list.
#[derive(Clone)]
pub struct Row {
    pub name: String,
    pub address: SocketAddr,
    pub cell: u16,
    pub is_draining: bool,
    /// Unix milliseconds of a late start, or 0.
    pub started_ms: u64,
}

/// A list with the number of its last event.
#[derive(Clone)]
pub struct List {
    pub serial: u32,
    pub rows: Vec<Row>,
}

/// An entry of `known`.
pub fn host(row: &Row, health: &str) -> Value {
    json!({"host": row.name, "dial": row.address, "site": "room-a", "class": "big-box", "block": row.cell,
        "health": health, "share": 4, "born_ms": row.started_ms})
}

fn push_name(out: &mut Vec<u8>, name: &str) {
    for label in name.split('.') {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
}

fn push_record(out: &mut Vec<u8>, name: &str, kind: u16, data: &[u8]) {
    push_name(out, name);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 0]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

const SERVICE: &str = "_data._tcp.farm.lan";

/// Encodes a list as the answer to a query.
pub fn encode(list: &List, id: [u8; 2]) -> Vec<u8> {
    let mut out = vec![id[0], id[1], 0x84, 0, 0, 1];
    out.extend((list.rows.len() as u16).to_be_bytes());
    out.extend([0, 1]);
    out.extend((2 * list.rows.len() as u16).to_be_bytes());
    push_name(&mut out, SERVICE);
    out.extend([0, 33, 0, 1]);
    let target = |row: &Row| format!("{}.room-a.hosts", row.name);
    for row in &list.rows {
        let mut data = vec![];
        data.extend(u16::from(row.is_draining).to_be_bytes());
        data.extend(40u16.to_be_bytes());
        data.extend(row.address.port().to_be_bytes());
        push_name(&mut data, &target(row));
        push_record(&mut out, SERVICE, 33, &data);
    }
    let mut soa = vec![];
    push_name(&mut soa, "ns.farm.lan");
    push_name(&mut soa, "admin.farm.lan");
    soa.extend(list.serial.to_be_bytes());
    soa.extend([0; 16]);
    push_record(&mut out, "farm.lan", 6, &soa);
    for row in &list.rows {
        let std::net::IpAddr::V4(ip) = row.address.ip() else {
            continue;
        };
        push_record(&mut out, &target(row), 1, &ip.octets());
        let mut text = vec![];
        let started = format!("started={}", row.started_ms);
        let cell = format!("cell={}", row.cell);
        for part in ["kind=big-box", &cell, &started] {
            text.push(part.len() as u8);
            text.extend(part.as_bytes());
        }
        push_record(&mut out, &target(row), 16, &text);
    }
    out
}

/// Starts a resolver; `choose` gives the list for each query, by its number from 1, or none for no answer.
pub fn start_resolver(
    record: Arc<Record>,
    choose: impl Fn(u64, f64) -> Option<List> + Send + 'static,
) -> SocketAddr {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let address = socket.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        let mut buffer = [0; 2048];
        let mut number = 0;
        while let Ok((size, peer)) = socket.recv_from(&mut buffer) {
            if size < 12 {
                continue;
            }
            number += 1;
            let Some(list) = choose(number, record.now()) else {
                record.line(format!("resolver: query {number} is not answered"));
                continue;
            };
            let rows: Vec<String> = list
                .rows
                .iter()
                .map(|row| {
                    let standing = if row.is_draining { "draining" } else { "ready" };
                    format!("{} {standing} started={}", row.name, row.started_ms)
                })
                .collect();
            record.line(format!(
                "resolver: query {number} is answered with serial {}: {}",
                list.serial,
                rows.join(", ")
            ));
            let _ = socket.send_to(&encode(&list, [buffer[0], buffer[1]]), peer);
        }
    });
    address
}

/// The answer to a request: its code, 1 served, 2 refused, 3 failed.
#[derive(Clone, Debug)]
pub struct Answer {
    pub code: u8,
    pub payload: Vec<u8>,
}

/// A client's connection. Its requests have streams 1 and up.
pub struct Client {
    stream: TcpStream,
    last_stream: u32,
    waiting: Arc<Mutex<HashMap<u32, Sender<Answer>>>>,
    readiness: Receiver<u8>,
}

fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = (5 + payload.len() as u32).to_be_bytes().to_vec();
    out.push(kind);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

fn encode_fields(fields: &[(&str, String)]) -> Vec<u8> {
    let mut out = vec![fields.len() as u8];
    for (name, value) in fields {
        out.push(name.len() as u8);
        out.extend(name.as_bytes());
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(value.as_bytes());
    }
    out
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let waiting: Arc<Mutex<HashMap<u32, Sender<Answer>>>> = Arc::default();
        let (ready, readiness) = channel();
        let (mut input, answers) = (stream.try_clone()?, waiting.clone());
        std::thread::spawn(move || {
            loop {
                let mut head = [0; 9];
                if input.read_exact(&mut head).is_err() {
                    break;
                }
                let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
                let number = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
                let mut payload = vec![0; length.saturating_sub(5)];
                if input.read_exact(&mut payload).is_err() {
                    break;
                }
                let code = payload.first().copied().unwrap_or(0);
                match head[4] {
                    8 => {
                        let sender = answers.lock().ok().and_then(|mut all| all.remove(&number));
                        if let Some(sender) = sender {
                            let _ = sender.send(Answer { code, payload });
                        }
                    }
                    2 => _ = ready.send(code),
                    _ => {}
                }
            }
            // The end of the connection ends the wait of all that is open.
            if let Ok(mut all) = answers.lock() {
                all.clear();
            }
        });
        Ok(Client {
            stream,
            last_stream: 0,
            waiting,
            readiness,
        })
    }

    /// Asks whether the front end is ready.
    pub fn is_ready(&mut self) -> bool {
        let query = frame(1, 0x7fff_0000, &encode_fields(&[]));
        self.stream.write_all(&query).is_ok()
            && self.readiness.recv_timeout(Duration::from_secs(1)) == Ok(1)
    }

    /// Sends a request; its answer comes by the channel, which ends with the connection.
    pub fn request(
        &mut self,
        fields: &[(&str, String)],
        body: &[u8],
    ) -> std::io::Result<Receiver<Answer>> {
        self.last_stream += 1;
        let (sender, receiver) = channel();
        if let Ok(mut waiting) = self.waiting.lock() {
            waiting.insert(self.last_stream, sender);
        }
        let mut payload = encode_fields(fields);
        payload.extend(body);
        self.stream
            .write_all(&frame(7, self.last_stream, &payload))?;
        Ok(receiver)
    }
}

/// The settings of a small deployment of the site erie-campus: one front end, its classes and figures.
pub fn erie_campus_settings() -> Value {
    json!({
        "balancers": 1, "index": 0, "zone": 0, "zones": ["room-a", "room-b", "room-c"],
        "shapes": ["big-box", "small-box"], "tick": 2_000_000, "customers": [],
        "classes": [
            {"aim": 1_500_000_000u64, "credit": 3.0, "deadline": 6_000_000_000u64, "dedupScope": "all",
             "dedupWindow": 5_000_000_000u64, "lateWorth": 0.2, "name": "setpoint-read", "semantics": "pure", "stream": false},
            {"aim": 1_500_000_000u64, "credit": 2.0, "deadline": 5_000_000_000u64, "dedupScope": "cell",
             "dedupWindow": 5_000_000_000u64, "lateWorth": 0.1, "name": "schedule-update", "semantics": "token", "stream": false},
            {"aim": 2_500_000_000u64, "credit": 3.0, "deadline": 7_500_000_000u64, "dedupScope": "all",
             "dedupWindow": 5_000_000_000u64, "lateWorth": 0.2, "name": "actuator-command", "semantics": "side_effect", "stream": false},
        ],
        "clientHabits": {"marksRetry": true},
        "feedback": {"fields": ["backlog", "x1"], "how": "answers"},
        "layer": 0,
        "limits": {"cancel": true, "connectTimeout": 250_000_000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500_000,
            "idleClose": 15_000_000_000u64, "maxAttempts": 4, "maxOpen": 20_000, "maxRetryAfter": 1_000_000_000,
            "peers": false, "probes": true, "retryAfter": true, "secondCopies": false, "streamsPerConn": 32},
        "overShareWorth": 0.1,
        "penalties": {"connection": 0.0, "crossZone": 0.019, "handshake": 0.0, "lateFail": 0.03, "moves": 0.0,
            "origin": 0.051, "peer": 0.0, "probe": 0.011, "registryMode": 0.0, "waste": 0.25},
        "registryMode": "push",
        "safety": {"askEvery": 10_000_000_000u64, "cold": 15_000_000_000u64, "coldFrom": 0.15, "drainGrace": 1_000_000_000,
            "fall": 1_000_000_000, "graceToAnswer": 8_000_000, "overloadFactor": 2.0},
        "serviceType": "warm",
        "specifics": {"answerWithin": 10_000_000_000u64, "idlePrice": 0.0, "loadControl": true, "loadFloor": 2.0,
            "loadPart": 0.2, "loadPeriod": 5_000_000_000u64, "notLoaded": "load", "notesPeersInHand": true,
            "ramMbByKind": [63744.0, 38592.0], "reportX0": "share of memory that is at work or loading",
            "reportX1": "loads under way or waiting", "staysLoaded": 8_600_000_000u64, "tellsWarm": true},
        "tiers": ["model-workers"], "valueBy": "request", "weights": "rough",
    })
}

/// The text of a front end's configuration file.
pub fn configuration(listen: SocketAddr, resolver: SocketAddr, known: Value) -> String {
    json!({
        "name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "dns": resolver,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known, "settings": erie_campus_settings(),
    })
    .to_string()
}

/// The line `run` of the deploy file.
pub fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    line.map_or_else(String::new, |line| line.trim().trim_matches('"').to_owned())
}
