//! Race conditions, reproduced by controlling the order of polls and of bytes. The front end runs in the test's thread,
//! and its clients and executors are loopback sockets that a test reads and writes explicitly.

mod clients;
mod disconnects;
mod graceful_shutdown;
mod in_transit;
mod process_stall;
mod settings;

use super::*;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_platform_client_protocol as protocol;
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Instant;

/// A listening executor, with the data received over each of its connections.
pub struct FakeExecutor {
    pub name: String,
    pub address: SocketAddr,
    listener: std::net::TcpListener,
    pub connections: Vec<(TcpStream, String)>,
    /// The number of load commands answered.
    pub load_commands_answered: usize,
}

impl FakeExecutor {
    fn new(n: usize) -> FakeExecutor {
        let listener =
            std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
        listener
            .set_nonblocking(true)
            .expect("the socket can be nonblocking");
        let address = listener.local_addr().expect("the socket is bound");
        FakeExecutor {
            name: format!("s-{n}"),
            address,
            listener,
            connections: vec![],
            load_commands_answered: 0,
        }
    }

    /// Accepts connections and reads the data that has arrived.
    pub fn read(&mut self) {
        while let Ok((socket, _)) = self.listener.accept() {
            socket
                .set_nonblocking(true)
                .expect("the socket can be nonblocking");
            self.connections.push((socket, String::new()));
        }
        let mut bytes = vec![0; 256 * 1024];
        for (socket, received) in &mut self.connections {
            while let Ok(n @ 1..) = socket.read(&mut bytes) {
                // Drops the spaces that some tests send to fill the kernel's buffers, since parsing them repeatedly is
                // slow.
                received.push_str(String::from_utf8_lossy(&bytes[..n]).trim_matches(' '));
            }
        }
    }

    /// Returns the connection index of each complete line with this kind and id. An empty id matches every line of the
    /// kind.
    pub fn lines_received(&mut self, kind: &str, id: &str) -> Vec<usize> {
        self.read();
        let matches = |line: &&str| {
            let line: Value = serde_json::from_str(line).unwrap_or_default();
            line["t"] == kind && (id.is_empty() || line["i"] == id)
        };
        let matching_lines = |(connection, (_, received)): (usize, &(TcpStream, String))| {
            let complete = received
                .rsplit_once('\n')
                .map_or("", |(complete, _)| complete);
            vec![connection; complete.lines().filter(matches).count()]
        };
        self.connections
            .iter()
            .enumerate()
            .flat_map(matching_lines)
            .collect()
    }

    /// Sends a response line over one of the connections.
    pub fn respond(&mut self, connection: usize, kind: &str, id: &str) {
        let line = json!({"t": kind, "i": id, "f": {"tell": "warm"}, "b": ""}).to_string() + "\n";
        self.connections[connection]
            .0
            .write_all(line.as_bytes())
            .expect("the connection is open");
    }
}

/// A front end that is polled by the test, with its executors.
pub struct TestFrontEnd {
    pub event_loop: EventLoop,
    events: Events,
    pub executors: Vec<FakeExecutor>,
    /// A resolver that never answers. The socket keeps its port reserved.
    _resolver: UdpSocket,
    address: SocketAddr,
}

pub fn invocation_id(n: u64) -> String {
    format!("{n:016x}")
}

fn trigger_type(name: &str, semantics: &str) -> Value {
    json!({"name": name, "aim": 1.5e9, "deadline": 4e9, "credit": 1.0, "lateWorth": 0.2,
        "semantics": semantics, "dedupScope": "all", "dedupWindow": 5e9})
}

fn settings() -> Value {
    json!({
        "balancers": 1, "index": 0, "zone": 0, "zones": ["east"], "shapes": ["std"], "tick": 2e6,
        "classes": [
            trigger_type("read", "pure"), trigger_type("update", "token"), trigger_type("command", "side_effect"),
        ],
        "limits": {"maxAttempts": 4, "cancel": true, "retryAfter": true, "maxRetryAfter": 1e9, "secondCopies": false,
            "maxOpen": 1000, "streamsPerConn": 32, "connectTimeout": 2e9, "idleClose": 1.5e10},
        "safety": {"cold": 1e9, "coldFrom": 0.2, "overloadFactor": 2.0, "fall": 1e9},
        "specifics": {"loadControl": true, "notLoaded": "load", "staysLoaded": 8e9},
    })
}

impl TestFrontEnd {
    /// Starts a front end whose initial endpoint list holds `executor_count` ready executors.
    pub fn new(
        executor_count: usize,
        max_descriptors: usize,
        change_settings: impl FnOnce(&mut Value),
    ) -> TestFrontEnd {
        let executors: Vec<FakeExecutor> = (0..executor_count).map(FakeExecutor::new).collect();
        let resolver = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is available");
        let address = std::net::TcpListener::bind("127.0.0.1:0")
            .and_then(|listener| listener.local_addr())
            .expect("a loopback port is available");
        let host = |executor: &FakeExecutor| {
            json!({"host": executor.name, "dial": executor.address, "site": "east", "class": "std", "block": 1,
                "health": "SERVING", "share": 4, "born_ms": 0})
        };
        let hosts: Vec<Value> = executors.iter().map(host).collect();
        let mut settings = settings();
        change_settings(&mut settings);
        let start_file = json!({
            "name": "n0", "listen": address, "seed": "8c1f30d27a5be964",
            "dns": resolver.local_addr().expect("the socket is bound"),
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": max_descriptors}, "settings": settings,
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"seq": 1, "whole": true, "hosts": hosts}}]},
        });
        let start = crate::start::parse("start.json", start_file.to_string().as_bytes())
            .expect("the start file is valid");
        let event_loop = EventLoop::new(
            start,
            PathBuf::new(),
            Poll::new().expect("the poll can be created"),
        )
        .expect("the front end starts");
        TestFrontEnd {
            event_loop,
            events: Events::with_capacity(1024),
            executors,
            _resolver: resolver,
            address,
        }
    }

    /// Polls once, and returns whether the shutdown is complete.
    pub fn poll_once(&mut self) -> bool {
        self.event_loop
            .poll_once(&mut self.events, Vec::new)
            .expect("the poll succeeds")
    }

    /// Polls until a condition holds. `what` describes it in the failure message.
    pub fn poll_until(&mut self, what: &str, mut condition: impl FnMut(&mut TestFrontEnd) -> bool) {
        let started = Instant::now();
        while !condition(self) {
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "timed out waiting for: {what}"
            );
            self.poll_once();
        }
    }

    /// Connects a client and polls until it is accepted.
    pub fn connect_client(&mut self) -> TcpStream {
        let client = TcpStream::connect(self.address).expect("the front end listens");
        client
            .set_nonblocking(true)
            .expect("the socket can be nonblocking");
        let before = self.event_loop.counters.accepted;
        self.poll_until("the client to be accepted", |front_end| {
            front_end.event_loop.counters.accepted > before
        });
        client
    }

    /// Sends an invocation and polls until an executor receives its dispatch. Returns the indexes of the executor and
    /// of its connection.
    pub fn invoke(&mut self, client: &mut TcpStream, n: u64, trigger_type: &str) -> (usize, usize) {
        client
            .write_all(&invocation_frame(n as u32, &invocation_id(n), trigger_type))
            .expect("the connection is open");
        self.await_dispatch(&invocation_id(n))
    }

    /// Polls until an executor receives a dispatch with this id, answering load commands. Returns the indexes of the
    /// executor and of its connection.
    pub fn await_dispatch(&mut self, id: &str) -> (usize, usize) {
        let mut found = None;
        self.poll_until("a dispatch", |front_end| {
            front_end.answer_load_commands();
            let dispatch_at = |(index, executor): (usize, &mut FakeExecutor)| {
                executor
                    .lines_received("DO", id)
                    .last()
                    .map(|&connection| (index, connection))
            };
            found = front_end
                .executors
                .iter_mut()
                .enumerate()
                .find_map(dispatch_at);
            found.is_some()
        });
        found.expect("a dispatch was found")
    }

    /// Answers the load commands that have arrived, and removes them from the received lines.
    pub fn answer_load_commands(&mut self) {
        for executor in &mut self.executors {
            executor.read();
            for (socket, received) in executor
                .connections
                .iter_mut()
                .filter(|(_, received)| received.ends_with('\n'))
            {
                let load_commands: Vec<String> = received
                    .lines()
                    .filter(|line| line.contains(r#""PIN""#))
                    .map(str::to_owned)
                    .collect();
                *received = received
                    .lines()
                    .filter(|line| !line.contains(r#""PIN""#))
                    .map(|line| format!("{line}\n"))
                    .collect();
                executor.load_commands_answered += load_commands.len();
                for command in load_commands {
                    let command: Value = serde_json::from_str(&command).expect("the line is JSON");
                    let response = json!({"t": "DONE", "i": command["i"], "f": {"count": 1}})
                        .to_string()
                        + "\n";
                    socket
                        .write_all(response.as_bytes())
                        .expect("the connection is open");
                }
            }
        }
    }

    /// Applies an endpoint list with these executors, their states and their addresses.
    pub fn apply_list(&mut self, rows: &[(usize, EndpointState, SocketAddr)]) {
        let discovered = |&(index, state, address): &(usize, EndpointState, SocketAddr)| {
            let name = self.executors[index].name.clone();
            let executor = orchidtally_platform_discovery::executor_id(&name);
            let started_at = f64::NEG_INFINITY;
            let endpoint = Endpoint {
                executor,
                zone: 0,
                kind: 0,
                cell: 1,
                state,
                weight: 4.0,
                started_at,
            };
            orchidtally_platform_discovery::DiscoveredEndpoint {
                endpoint,
                name,
                address,
            }
        };
        let endpoints = rows.iter().map(discovered).collect();
        let now = self.event_loop.read_clock();
        self.event_loop.apply_endpoint_list(now, endpoints);
    }
}

/// Encodes an invocation frame for a stream.
pub fn invocation_frame(stream: u32, id: &str, trigger_type: &str) -> Vec<u8> {
    let fields = [
        ("service", trigger_type),
        ("ref", id),
        ("allow", "3500"),
        ("lookup", "0000000000000001"),
        ("replay", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        ("tags", "memory_mb:512;lanes:8;load_ms:20"),
    ];
    let mut out = vec![];
    protocol::write_frame(
        &mut out,
        protocol::INVOKE,
        stream,
        None,
        Some(&fields),
        b"body",
    );
    out
}

/// The kind, stream and code of a frame.
pub type ReceivedFrame = (u8, u32, u8);

/// Reads the frames that have arrived at a client. Also returns how the connection ended, if it has ended.
pub fn read_frames(client: &mut TcpStream) -> (Vec<ReceivedFrame>, Option<Result<(), ErrorKind>>) {
    let (mut bytes, mut received) = (vec![0; 256 * 1024], vec![]);
    let closed = loop {
        match client.read(&mut bytes) {
            Ok(0) => break Some(Ok(())),
            Ok(n) => received.extend_from_slice(&bytes[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => break None,
            Err(e) => break Some(Err(e.kind())),
        }
    };
    let mut decoder = protocol::Decoder::default();
    decoder.push(&received);
    let mut frames = vec![];
    while let Ok(Some(frame)) = decoder.next_frame() {
        let code = frame
            .payload
            .and_then(|payload| payload.first())
            .copied()
            .unwrap_or_default();
        frames.push((frame.kind, frame.stream, code));
    }
    (frames, closed)
}
