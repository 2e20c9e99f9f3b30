//! Two events that cross, forced by the order of turns and of bytes: a front end in this thread, its clients and
//! executors on loopback sockets that say and read just what a test wants.

mod clients;
mod disconnects;
mod graceful_shutdown;
mod in_transit;
mod process_stall;
mod settings;

use super::*;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_platform_client_protocol as frames;
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Instant;

/// An executor's end: what came over each of its connections.
pub struct Peer {
    pub name: String,
    pub at: SocketAddr,
    listener: std::net::TcpListener,
    pub ends: Vec<(TcpStream, String)>,
    /// Orders to load that were answered.
    pub orders: usize,
}

impl Peer {
    fn new(n: usize) -> Peer {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("it can be");
        let at = listener.local_addr().expect("it is bound");
        Peer {
            name: format!("s-{n}"),
            at,
            listener,
            ends: vec![],
            orders: 0,
        }
    }

    /// Reads what has come by now.
    pub fn read(&mut self) {
        while let Ok((end, _)) = self.listener.accept() {
            end.set_nonblocking(true).expect("it can be");
            self.ends.push((end, String::new()));
        }
        let mut bytes = vec![0; 256 * 1024];
        for (end, come) in &mut self.ends {
            while let Ok(n @ 1..) = end.read(&mut bytes) {
                // Blanks that only fill the kernel's buffers are not kept: reading them over and over takes long.
                come.push_str(String::from_utf8_lossy(&bytes[..n]).trim_matches(' '));
            }
        }
    }

    /// Whole lines with a word and an id, and over which connection each came.
    pub fn lines(&mut self, word: &str, id: &str) -> Vec<usize> {
        self.read();
        let is_it = |line: &&str| {
            let line: Value = serde_json::from_str(line).unwrap_or_default();
            line["t"] == word && (id.is_empty() || line["i"] == id)
        };
        let count = |(end, (_, come)): (usize, &(TcpStream, String))| {
            let whole = come.rsplit_once('\n').map_or("", |(whole, _)| whole);
            vec![end; whole.lines().filter(is_it).count()]
        };
        self.ends.iter().enumerate().flat_map(count).collect()
    }

    pub fn say(&mut self, end: usize, word: &str, id: &str) {
        let line = json!({"t": word, "i": id, "f": {"tell": "warm"}, "b": ""}).to_string() + "\n";
        self.ends[end]
            .0
            .write_all(line.as_bytes())
            .expect("it stands");
    }
}

pub struct Stage {
    pub event_loop: EventLoop,
    events: Events,
    pub peers: Vec<Peer>,
    /// It says nothing, and keeps its port from others.
    _resolver: UdpSocket,
    at: SocketAddr,
}

pub fn id(n: u64) -> String {
    format!("{n:016x}")
}

fn class(name: &str, semantics: &str) -> Value {
    json!({"name": name, "aim": 1.5e9, "deadline": 4e9, "credit": 1.0, "lateWorth": 0.2,
        "semantics": semantics, "dedupScope": "all", "dedupWindow": 5e9})
}

fn settings() -> Value {
    json!({
        "balancers": 1, "index": 0, "zone": 0, "zones": ["east"], "shapes": ["std"], "tick": 2e6,
        "classes": [class("read", "pure"), class("update", "token"), class("command", "side_effect")],
        "limits": {"maxAttempts": 4, "cancel": true, "retryAfter": true, "maxRetryAfter": 1e9, "secondCopies": false,
            "maxOpen": 1000, "streamsPerConn": 32, "connectTimeout": 2e9, "idleClose": 1.5e10},
        "safety": {"cold": 1e9, "coldFrom": 0.2, "overloadFactor": 2.0, "fall": 1e9},
        "specifics": {"loadControl": true, "notLoaded": "load", "staysLoaded": 8e9},
    })
}

impl Stage {
    /// A front end that knows some executors, all ready.
    pub fn new(executors: usize, sockets: usize, change: impl FnOnce(&mut Value)) -> Stage {
        let peers: Vec<Peer> = (0..executors).map(Peer::new).collect();
        let resolver = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let at = std::net::TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a port");
        let host = |p: &Peer| {
            json!({"host": p.name, "dial": p.at, "site": "east", "class": "std", "block": 1, "health": "SERVING",
                "share": 4, "born_ms": 0})
        };
        let hosts: Vec<Value> = peers.iter().map(host).collect();
        let mut settings = settings();
        change(&mut settings);
        let told = json!({
            "name": "n0", "listen": at, "seed": "8c1f30d27a5be964", "dns": resolver.local_addr().expect("bound"),
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets}, "settings": settings,
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"seq": 1, "whole": true, "hosts": hosts}}]},
        });
        let start = crate::start::parse("told", told.to_string().as_bytes()).expect("it is sound");
        let event_loop =
            EventLoop::new(start, PathBuf::new(), Poll::new().expect("a poll")).expect("it starts");
        Stage {
            event_loop,
            events: Events::with_capacity(1024),
            peers,
            _resolver: resolver,
            at,
        }
    }

    /// Tells whether the front end has ended.
    pub fn poll_once(&mut self) -> bool {
        self.event_loop
            .poll_once(&mut self.events, Vec::new)
            .expect("a turn")
    }

    /// Turns until something is so.
    pub fn until(&mut self, what: &str, mut is_so: impl FnMut(&mut Stage) -> bool) {
        let begun = Instant::now();
        while !is_so(self) {
            assert!(begun.elapsed() < Duration::from_secs(20), "never: {what}");
            self.poll_once();
        }
    }

    pub fn client(&mut self) -> TcpStream {
        let client = TcpStream::connect(self.at).expect("it listens");
        client.set_nonblocking(true).expect("it can be");
        let before = self.event_loop.counters.accepted;
        self.until("accepted", |s| s.event_loop.counters.accepted > before);
        client
    }

    /// Sends an invocation and turns until an executor has its dispatch; tells which, and over which connection.
    pub fn out(&mut self, client: &mut TcpStream, n: u64, service: &str) -> (usize, usize) {
        client
            .write_all(&invocation(n as u32, &id(n), service))
            .expect("it stands");
        self.dispatched(&id(n))
    }

    pub fn dispatched(&mut self, id: &str) -> (usize, usize) {
        let mut found = None;
        self.until("dispatched", |s| {
            s.load_all();
            let at = |(x, p): (usize, &mut Peer)| p.lines("DO", id).last().map(|&end| (x, end));
            found = s.peers.iter_mut().enumerate().find_map(at);
            found.is_some()
        });
        found.expect("it was found")
    }

    /// Answers each order to load that has come.
    pub fn load_all(&mut self) {
        for peer in &mut self.peers {
            peer.read();
            for (end, come) in peer
                .ends
                .iter_mut()
                .filter(|(_, come)| come.ends_with('\n'))
            {
                let orders: Vec<String> = come
                    .lines()
                    .filter(|l| l.contains(r#""PIN""#))
                    .map(str::to_owned)
                    .collect();
                *come = come
                    .lines()
                    .filter(|l| !l.contains(r#""PIN""#))
                    .map(|l| format!("{l}\n"))
                    .collect();
                peer.orders += orders.len();
                for order in orders {
                    let order: Value = serde_json::from_str(&order).expect("a line");
                    let answer =
                        json!({"t": "DONE", "i": order["i"], "f": {"count": 1}}).to_string() + "\n";
                    end.write_all(answer.as_bytes()).expect("it stands");
                }
            }
        }
    }

    /// A list as the resolver tells it: of these executors, draining or not, at these addresses.
    pub fn list(&mut self, rows: &[(usize, EndpointState, SocketAddr)]) {
        let entry = |&(x, standing, address): &(usize, EndpointState, SocketAddr)| {
            let name = self.peers[x].name.clone();
            let executor = orchidtally_platform_discovery::executor_id(&name);
            let since = f64::NEG_INFINITY;
            let row = Endpoint {
                executor,
                zone: 0,
                kind: 0,
                cell: 1,
                state: standing,
                weight: 4.0,
                started_at: since,
            };
            orchidtally_platform_discovery::DiscoveredEndpoint {
                endpoint: row,
                name,
                address,
            }
        };
        let entries = rows.iter().map(entry).collect();
        let now = self.event_loop.read_clock();
        self.event_loop.apply_endpoint_list(now, entries);
    }
}

pub fn invocation(stream: u32, id: &str, service: &str) -> Vec<u8> {
    let fields = [
        ("service", service),
        ("ref", id),
        ("allow", "3500"),
        ("lookup", "0000000000000001"),
        ("replay", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        ("tags", "memory_mb:512;lanes:8;load_ms:20"),
    ];
    let mut out = vec![];
    frames::write_frame(
        &mut out,
        frames::INVOKE,
        stream,
        None,
        Some(&fields),
        b"body",
    );
    out
}

/// A frame's type, stream and code.
pub type Heard = (u8, u32, u8);

/// All frames that a client has got by now, and whether its connection has ended, and how.
pub fn got(client: &mut TcpStream) -> (Vec<Heard>, Option<Result<(), ErrorKind>>) {
    let (mut bytes, mut all) = (vec![0; 256 * 1024], vec![]);
    let end = loop {
        match client.read(&mut bytes) {
            Ok(0) => break Some(Ok(())),
            Ok(n) => all.extend_from_slice(&bytes[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => break None,
            Err(e) => break Some(Err(e.kind())),
        }
    };
    let mut decoder = frames::Decoder::default();
    decoder.push(&all);
    let mut found = vec![];
    while let Ok(Some(frame)) = decoder.next_frame() {
        let code = frame
            .payload
            .and_then(|p| p.first())
            .copied()
            .unwrap_or_default();
        found.push((frame.kind, frame.stream, code));
    }
    (found, end)
}
