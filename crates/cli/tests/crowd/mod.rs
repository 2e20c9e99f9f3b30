//! Crowds of misbehaving clients for a platform front end, and the measurement of its peak memory.

// Each test binary uses a part of this module.
#![allow(dead_code)]

pub mod behaviours;

use crate::kit::*;
use orchidtally_platform_client_protocol as frames;
use serde_json::Value;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Descriptors of a front end, as in the incident.
pub const DESCRIPTORS: usize = 384;
/// Descriptors of a front end on the largest machine.
pub const MANY_DESCRIPTORS: usize = 1_024;
/// Connections of a crowd: as many clients as the front end serves at a time, less the usual client's.
pub const CROWD: usize = crowd_size(DESCRIPTORS);

pub const fn crowd_size(descriptors: usize) -> usize {
    descriptors / 2 - 2
}

/// How long a crowd misbehaves.
pub const DURATION: Duration = Duration::from_secs(3);
/// The time that the usual client allows for an invocation, as `kit::invocation` states it.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The allowance that the platform's rules add to time limits.
const ALLOWANCE: Duration = Duration::from_millis(50);
/// Pause before a client of the crowd connects again, so that the crowd leaves the front end a processor.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Waits until no other test of this binary runs a crowd, since two at once would measure each other.
pub fn wait_for_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The limits of a front end.
#[derive(Clone, Copy)]
pub struct ProcessLimits {
    pub memory_mb: u64,
    pub descriptors: usize,
}

/// Starts a front end with two executors.
pub fn start_limited(name: &str, limits: ProcessLimits) -> FrontEnd {
    let dispatch_log = DispatchLog::default();
    let executors: Vec<Value> = (1..=2)
        .map(|n| host(n, start_executor(dispatch_log.clone())))
        .collect();
    start_limited_with(name, limits, &executors, dispatch_log)
}

/// Starts a front end with the given endpoint list.
pub fn start_limited_with(
    name: &str,
    limits: ProcessLimits,
    executors: &[Value],
    dispatch_log: DispatchLog,
) -> FrontEnd {
    let memory_mb = limits.memory_mb;
    let (text, address) = settings_file(executors, limits.descriptors);
    let mut settings: Value = serde_json::from_str(&text).unwrap();
    settings["limits"]["memory_mb"] = memory_mb.into();
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{memory_mb}.json"));
    std::fs::write(&file, settings.to_string()).unwrap();
    let log = std::fs::File::create(file.with_extension("log")).unwrap();
    let process = std::process::Command::new(PROGRAM)
        .args(["serve", "--platform"])
        .env("LB_CONFIG", &file)
        .stderr(log)
        .spawn()
        .unwrap();
    let front_end = FrontEnd {
        process,
        address,
        file,
        dispatch_log,
    };
    front_end.wait_until_listening();
    front_end
}

/// Starts an executor that answers each line with the beginning of a long line, and reads on.
pub fn start_executor_of_partial_lines() -> SocketAddr {
    const PARTIAL_LINE_BYTES: usize = 60 * 1024;
    start_executor_with(|mut stream| {
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(1..) = stream.read(&mut buffer) {
            // The front end may have ended the connection.
            let _ = stream.write_all(&[b' '; PARTIAL_LINE_BYTES]);
        }
    })
}

/// Starts an executor that accepts connections and reads nothing.
pub fn start_executor_that_reads_nothing() -> SocketAddr {
    start_executor_with(|stream| {
        std::thread::sleep(2 * DURATION);
        drop(stream);
    })
}

fn start_executor_with(serve: fn(TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// The peak of a process's resident memory in bytes; 0 once it has ended.
pub fn peak_memory(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kibibytes = peak.and_then(|text| text.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kibibytes.unwrap_or_default() * 1024
}

/// What one client of a crowd does over one connection. It returns at the end of the connection, or when `is_over`.
pub type Behaviour = fn(&mut TcpStream, &Numbers, &AtomicBool) -> std::io::Result<()>;

/// Pause of each client after a batch in a crowd of more than `CROWD`, which would otherwise leave the front end no
/// processor.
const LARGE_CROWD_PAUSE: Duration = Duration::from_millis(50);

/// What the clients of a crowd share.
pub struct Numbers {
    next: AtomicU64,
    /// The pause of each client between two batches.
    pause: Duration,
}

impl Numbers {
    fn new(crowd_size: usize) -> Numbers {
        Numbers {
            // Far from the ids of the usual client.
            next: AtomicU64::new(1 << 40),
            pause: if crowd_size > CROWD {
                LARGE_CROWD_PAUSE
            } else {
                Duration::ZERO
            },
        }
    }

    /// Returns a number that no other client of the crowd has drawn.
    pub fn next(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }
}

/// Clients that behave alike and connect again as often as they are disconnected.
pub struct Crowd {
    is_over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    pub fn start(address: SocketAddr, size: usize, behaviour: Behaviour) -> Crowd {
        let (is_over, numbers) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Numbers::new(size)),
        );
        let clients = (0..size).map(|_| {
            let (is_over, numbers) = (is_over.clone(), numbers.clone());
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    if let Ok(mut stream) = TcpStream::connect(address) {
                        let timeout = Some(Duration::from_millis(500));
                        stream.set_read_timeout(timeout).unwrap();
                        stream.set_write_timeout(timeout).unwrap();
                        // The front end may end the connection at any time.
                        let _ = behaviour(&mut stream, &numbers, &is_over);
                    }
                    std::thread::sleep(RECONNECT_PAUSE);
                }
            })
        });
        Crowd {
            clients: clients.collect(),
            is_over,
        }
    }

    pub fn stop(self) {
        self.is_over.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().unwrap();
        }
    }
}

/// What a usual client met.
#[derive(Debug, Default)]
pub struct Served {
    pub asked: u32,
    pub succeeded: u32,
    pub throttled: u32,
    /// Without an answer when the client's time was up.
    pub late: u32,
    /// Errored, or on a connection that ended without an answer.
    pub failed: u32,
}

/// Invokes a prompt function ten times a second for `duration`, over a connection of its own.
pub fn serve_usual_client(front_end: &FrontEnd, duration: Duration) -> Served {
    let mut client = UsualClient::connect(front_end.address);
    let until = Instant::now() + duration;
    let mut served = Served::default();
    while Instant::now() < until {
        served.asked += 1;
        let id = hex_id(u64::from(served.asked));
        let asked_at = Instant::now();
        let code = client.ask(&id).or_else(|| client.ask_again(asked_at, &id));
        match code {
            Some(frames::SUCCEEDED) => served.succeeded += 1,
            Some(frames::THROTTLED) => served.throttled += 1,
            None if asked_at.elapsed() >= CLIENT_TIMEOUT => served.late += 1,
            _ => served.failed += 1,
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    served
}

struct UsualClient {
    address: SocketAddr,
    connection: TcpStream,
    stream: u32,
}

impl UsualClient {
    fn connect(address: SocketAddr) -> UsualClient {
        let connection = TcpStream::connect(address).unwrap();
        let timeout = Some(CLIENT_TIMEOUT + ALLOWANCE);
        connection.set_read_timeout(timeout).unwrap();
        UsualClient {
            address,
            connection,
            stream: 0,
        }
    }

    /// Sends an invocation and returns the code of its answer; `None` if there is none.
    fn ask(&mut self, id: &str) -> Option<u8> {
        self.stream += 1;
        let frame = invocation(self.stream, id, "read", PROMPT, b"usual");
        self.connection.write_all(&frame).ok()?;
        let (kind, stream, code, _) = read_frame(&mut self.connection)?;
        ((kind, stream) == (frames::RESPONSE, self.stream)).then_some(code)
    }

    /// Resends, once and on a new connection, an invocation that crossed the close of an idle connection, as the
    /// platform's protocol has it.
    fn ask_again(&mut self, asked_at: Instant, id: &str) -> Option<u8> {
        if asked_at.elapsed() > ALLOWANCE {
            return None;
        }
        *self = UsualClient::connect(self.address);
        self.ask(id)
    }
}

/// Writes all bytes in pieces, with a pause after each.
pub fn write_pieces(
    stream: &mut TcpStream,
    bytes: &[u8],
    piece: usize,
    pause: Duration,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    for part in bytes.chunks(piece) {
        if is_over.load(Ordering::Relaxed) {
            return Ok(());
        }
        stream.write_all(part)?;
        std::thread::sleep(pause);
    }
    Ok(())
}

/// Reads and drops what arrives until the connection ends.
pub fn read_until_end(stream: &mut TcpStream, is_over: &AtomicBool) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 * 1024];
    while !is_over.load(Ordering::Relaxed) {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Sends the frames that `next` appends, given their numbers, in batches until the connection ends. Reads nothing.
pub fn flood(
    stream: &mut TcpStream,
    numbers: &Numbers,
    mut next: impl FnMut(u32, &mut Vec<u8>),
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    const BATCH_BYTES: usize = 64 * 1024;
    let (mut number, mut batch) = (0, vec![]);
    while !is_over.load(Ordering::Relaxed) {
        batch.clear();
        while batch.len() < BATCH_BYTES {
            number += 1;
            next(number, &mut batch);
        }
        stream.write_all(&batch)?;
        std::thread::sleep(numbers.pause);
    }
    Ok(())
}

/// Runs `send` while a little of what arrives is read now and then.
pub fn read_in_drops(
    stream: &mut TcpStream,
    send: impl FnOnce(&mut TcpStream) -> std::io::Result<()>,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    const DROP_BYTES: usize = 512;
    const DROP_INTERVAL: Duration = Duration::from_millis(200);
    let mut reading = stream.try_clone()?;
    std::thread::scope(|scope| {
        scope.spawn(move || {
            let mut drop = vec![0; DROP_BYTES];
            while !is_over.load(Ordering::Relaxed) && !matches!(reading.read(&mut drop), Ok(0)) {
                std::thread::sleep(DROP_INTERVAL);
            }
        });
        let sent = send(stream);
        // Fails if the connection has ended.
        let _ = stream.shutdown(std::net::Shutdown::Both);
        sent
    })
}

/// Judges a front end that served a crowd and a usual client: it lives, its peak memory is within its limit, and the
/// usual client got an answer to each invocation in time.
pub fn assert_within_limits(name: &str, front_end: &mut FrontEnd, memory_mb: u64, served: &Served) {
    let peak = peak_memory(front_end.process.id());
    println!(
        "{name}: peak {:.1} of {memory_mb} MiB, {served:?}",
        peak as f64 / (1 << 20) as f64
    );
    let ended = front_end.process.try_wait().unwrap();
    assert!(ended.is_none(), "{name}: the front end ended: {ended:?}");
    assert!(
        peak <= memory_mb << 20,
        "{name}: {peak} bytes resident, the limit is {memory_mb} MiB"
    );
    assert_eq!(
        (served.late, served.failed),
        (0, 0),
        "{name}: each usual invocation is answered in time: {served:?}"
    );
}
