//! The real program where two events cross: a file that is half replaced, descriptors that run out.

mod kit;

use kit::*;
use orchidtally_platform_client_protocol as frames;
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// The signal came while the file was half written, and nobody read it again.
#[test]
fn a_file_that_is_half_replaced_when_the_signal_comes_is_read_again() {
    let seen = Seen::default();
    let (told, at) = told(&[host(1, executor(seen.clone()))], 128);
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("half.json");
    std::fs::write(&file, &told).unwrap();
    let mut command = Command::new(PROGRAM);
    command
        .args(["serve", "--platform"])
        .env("LB_CONFIG", &file)
        .stderr(Stdio::piped());
    let mut front = FrontEnd {
        process: command.spawn().unwrap(),
        at,
        file,
        seen,
    };
    front.listens();
    let mut log = BufReader::new(front.process.stderr.take().unwrap()).lines();
    let resolver = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut new: Value = serde_json::from_str(&told).unwrap();
    new["dns"] = resolver.local_addr().unwrap().to_string().into();
    let new = new.to_string();
    std::fs::write(&front.file, &new[..new.len() / 2]).unwrap();
    front.signal("HUP");
    assert!(
        log.any(|line| line.unwrap().contains("settings file cannot be used yet")),
        "it was read half"
    );
    let mut client = front.client();
    assert_eq!(
        ask(&mut client, &invocation(1, &id(1), "read", CALM, b"")).2,
        frames::SUCCEEDED
    );
    std::fs::write(&front.file, &new).unwrap();
    resolver
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    assert!(
        resolver.recv(&mut [0; 512]).is_ok(),
        "the new resolver is asked"
    );
}

/// Processor time that a process has used, in seconds.
fn used(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(") ").unwrap().1.split(' ').collect();
    let ticks: f64 = fields[11..13]
        .iter()
        .map(|t| t.parse::<f64>().unwrap())
        .sum();
    ticks / 100.0
}

/// With no descriptor left and connections waiting it asked for them over and over, on a whole core.
#[test]
fn accepting_without_descriptors_neither_spins_nor_shuts_clients_out_for_good() {
    let seen = Seen::default();
    let hosts = [
        host(1, executor(seen.clone())),
        host(2, executor(seen.clone())),
    ];
    let (told, at) = told(&hosts, 128);
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("descriptors.json");
    std::fs::write(&file, told).unwrap();
    // Fewer than it was told of.
    let mut command = Command::new("sh");
    command.args([
        "-c",
        &format!("ulimit -n 48; exec {PROGRAM} serve --platform"),
    ]);
    command.env("LB_CONFIG", &file).stderr(Stdio::null());
    let front = FrontEnd {
        process: command.spawn().unwrap(),
        at,
        file,
        seen,
    };
    front.listens();
    // More than it has descriptors for, each with an invocation that takes until its client gives up.
    let busy: Vec<TcpStream> = (0..60)
        .map(|n| {
            let mut client = front.client();
            client
                .write_all(&invocation(1, &id(1_000 + n), "command", SILENT, b""))
                .unwrap();
            client
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let before = used(front.process.id());
    std::thread::sleep(Duration::from_millis(600));
    let spent = used(front.process.id()) - before;
    assert!(spent < 0.3, "{spent} s of processor time in 0.6 s");
    // It waits already when descriptors come free; no other connection tells of it.
    let mut client = front.client();
    drop(busy);
    assert_eq!(
        ask(&mut client, &invocation(1, &id(1), "read", CALM, b"")).2,
        frames::SUCCEEDED
    );
}

/// Idle clients take all they can while the resolver says nothing and is then another: usual ones are served.
#[test]
fn idle_clients_that_fill_the_descriptors_while_discovery_is_away_shut_nobody_out() {
    let front = start_among("idle", 4, 64);
    let mut usual = front.client();
    assert_eq!(
        ask(&mut usual, &invocation(1, &id(1), "read", CALM, b"")).2,
        frames::SUCCEEDED
    );
    let mut idle: Vec<TcpStream> = (0..200).map(|_| front.client()).collect();
    assert_eq!(
        ask(&mut usual, &invocation(2, &id(2), "read", CALM, b"")).2,
        frames::SUCCEEDED,
        "it stays"
    );
    let mut new: Value =
        serde_json::from_str(&std::fs::read_to_string(&front.file).unwrap()).unwrap();
    let resolver = UdpSocket::bind("127.0.0.1:0").unwrap();
    resolver
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    new["dns"] = resolver.local_addr().unwrap().to_string().into();
    std::fs::write(&front.file, new.to_string()).unwrap();
    front.signal("HUP");
    assert!(
        resolver.recv(&mut [0; 512]).is_ok(),
        "the file is read and the new one asked"
    );
    idle.extend((0..100).map(|_| front.client()));
    let begun = Instant::now();
    let mut ready = vec![];
    frames::write_frame(&mut ready, frames::READINESS_QUERY, 0, None, Some(&[]), &[]);
    let mut new = front.client();
    assert_eq!(ask(&mut new, &ready).2, frames::READY_CODE);
    assert_eq!(
        ask(&mut new, &invocation(1, &id(3), "read", CALM, b"")).2,
        frames::SUCCEEDED
    );
    assert!(
        begun.elapsed() < Duration::from_secs(5),
        "{:?}",
        begun.elapsed()
    );
}
