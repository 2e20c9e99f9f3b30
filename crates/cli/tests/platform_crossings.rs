//! Runs the `orchidtally` binary where two conditions coincide: SIGHUP with a half-written settings file, and new
//! connections with no free descriptor.

mod kit;

use kit::*;
use orchidtally_platform_client_protocol as frames;
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Guards against a lost reload: SIGHUP arrived while the settings file was half written, and the front end did not
/// read the file again.
#[test]
fn a_file_that_is_half_written_at_sighup_is_read_again() {
    let dispatch_log = DispatchLog::default();
    let (settings, address) = settings_file(&[host(1, start_executor(dispatch_log.clone()))], 128);
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("half.json");
    std::fs::write(&file, &settings).unwrap();
    let mut command = Command::new(PROGRAM);
    command
        .args(["serve", "--platform"])
        .env("LB_CONFIG", &file)
        .stderr(Stdio::piped());
    let mut front_end = FrontEnd {
        process: command.spawn().unwrap(),
        address,
        file,
        dispatch_log,
    };
    front_end.wait_until_listening();
    let mut log = BufReader::new(front_end.process.stderr.take().unwrap()).lines();
    let resolver = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut new: Value = serde_json::from_str(&settings).unwrap();
    new["dns"] = resolver.local_addr().unwrap().to_string().into();
    let new = new.to_string();
    std::fs::write(&front_end.file, &new[..new.len() / 2]).unwrap();
    front_end.signal("HUP");
    assert!(
        log.any(|line| line.unwrap().contains("settings file cannot be used yet")),
        "the front end reads the half-written file"
    );
    let mut client = front_end.client();
    assert_eq!(
        exchange(&mut client, &invocation(1, &hex_id(1), "read", PROMPT, b"")).2,
        frames::SUCCEEDED
    );
    std::fs::write(&front_end.file, &new).unwrap();
    resolver
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    assert!(
        resolver.recv(&mut [0; 512]).is_ok(),
        "the front end queries the new resolver"
    );
}

/// CPU time that a process has used, in seconds.
fn cpu_time(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(") ").unwrap().1.split(' ').collect();
    let ticks: f64 = fields[11..13]
        .iter()
        .map(|t| t.parse::<f64>().unwrap())
        .sum();
    ticks / 100.0
}

/// Guards against a busy loop: with no free descriptor and connections waiting, the front end retried `accept` without
/// a pause and used a whole core.
#[test]
fn accepting_without_descriptors_neither_spins_nor_blocks_clients_for_good() {
    let dispatch_log = DispatchLog::default();
    let hosts = [
        host(1, start_executor(dispatch_log.clone())),
        host(2, start_executor(dispatch_log.clone())),
    ];
    let (settings, address) = settings_file(&hosts, 128);
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("descriptors.json");
    std::fs::write(&file, settings).unwrap();
    // Fewer descriptors than the settings file gives.
    let mut command = Command::new("sh");
    command.args([
        "-c",
        &format!("ulimit -n 48; exec {PROGRAM} serve --platform"),
    ]);
    command.env("LB_CONFIG", &file).stderr(Stdio::null());
    let front_end = FrontEnd {
        process: command.spawn().unwrap(),
        address,
        file,
        dispatch_log,
    };
    front_end.wait_until_listening();
    // More clients than descriptors, each with an invocation that stays open until its client closes the connection.
    let busy: Vec<TcpStream> = (0..60)
        .map(|n| {
            let mut client = front_end.client();
            client
                .write_all(&invocation(
                    1,
                    &hex_id(1_000 + n),
                    "command",
                    NO_RESPONSE,
                    b"",
                ))
                .unwrap();
            client
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let before = cpu_time(front_end.process.id());
    std::thread::sleep(Duration::from_millis(600));
    let spent = cpu_time(front_end.process.id()) - before;
    assert!(spent < 0.3, "{spent} s of CPU time in 0.6 s");
    // This client waits already when descriptors are freed, and no later connection triggers another `accept`.
    let mut client = front_end.client();
    drop(busy);
    assert_eq!(
        exchange(&mut client, &invocation(1, &hex_id(1), "read", PROMPT, b"")).2,
        frames::SUCCEEDED
    );
}

/// Idle clients open as many connections as they can, first while the resolver does not answer and then while it is
/// replaced. Other clients are served.
#[test]
fn idle_clients_that_fill_the_descriptors_during_a_resolver_outage_block_nobody() {
    let front_end = start_with_executors("idle", 4, 64);
    let mut established = front_end.client();
    assert_eq!(
        exchange(
            &mut established,
            &invocation(1, &hex_id(1), "read", PROMPT, b"")
        )
        .2,
        frames::SUCCEEDED
    );
    let mut idle: Vec<TcpStream> = (0..200).map(|_| front_end.client()).collect();
    assert_eq!(
        exchange(
            &mut established,
            &invocation(2, &hex_id(2), "read", PROMPT, b"")
        )
        .2,
        frames::SUCCEEDED,
        "the established connection stays open"
    );
    let mut new: Value =
        serde_json::from_str(&std::fs::read_to_string(&front_end.file).unwrap()).unwrap();
    let resolver = UdpSocket::bind("127.0.0.1:0").unwrap();
    resolver
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    new["dns"] = resolver.local_addr().unwrap().to_string().into();
    std::fs::write(&front_end.file, new.to_string()).unwrap();
    front_end.signal("HUP");
    assert!(
        resolver.recv(&mut [0; 512]).is_ok(),
        "the front end reads the file and queries the new resolver"
    );
    idle.extend((0..100).map(|_| front_end.client()));
    let started_at = Instant::now();
    let mut ready = vec![];
    frames::write_frame(&mut ready, frames::READINESS_QUERY, 0, None, Some(&[]), &[]);
    let mut new = front_end.client();
    assert_eq!(exchange(&mut new, &ready).2, frames::READY_CODE);
    assert_eq!(
        exchange(&mut new, &invocation(1, &hex_id(3), "read", PROMPT, b"")).2,
        frames::SUCCEEDED
    );
    assert!(
        started_at.elapsed() < Duration::from_secs(5),
        "{:?}",
        started_at.elapsed()
    );
}
