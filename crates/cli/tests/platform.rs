//! The platform's front end as the platform starts it.

mod kit;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use kit::*;
use orchidtally_platform_client_protocol as frames;
use serde_json::{Value, json};
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn bodies_and_fields_are_passed_on_unchanged_and_what_is_unusable_is_told() {
    let front = start("calm");
    let mut client = front.client();
    let mut ready = vec![];
    frames::write_frame(&mut ready, frames::READINESS_QUERY, 0, None, Some(&[]), &[]);
    assert_eq!(
        ask(&mut client, &ready),
        (frames::READINESS, 0, frames::READY_CODE, vec![])
    );
    for (n, body) in [
        (1, &b""[..]),
        (2, b"\x00\n\xff"),
        (3, &[9; frames::MAX_BODY_LENGTH]),
    ] {
        let answer = ask(
            &mut client,
            &invocation(n, &id(n.into()), "update", CALM, body),
        );
        assert_eq!(
            answer,
            (frames::RESPONSE, n, frames::SUCCEEDED, body.to_vec())
        );
        let [sent] = front
            .dispatches(&id(n.into()))
            .try_into()
            .expect("one dispatch");
        assert_eq!(
            (&sent["f"]["cls"], &sent["f"]["item"]),
            (&json!("update"), &json!(CALM))
        );
        assert_eq!(sent["f"]["nonce"], "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
        assert!((1..=3000).contains(&sent["f"]["limit"].as_u64().unwrap()));
        assert_eq!(STANDARD.decode(sent["b"].as_str().unwrap()).unwrap(), body);
    }
    let unusable = [
        invocation(4, "xyz", "read", CALM, b""),
        invocation(5, &id(5), "none", CALM, b""),
        invocation(6, &id(6), "read", "12", b""),
        invocation(7, &id(7), "read", CALM, &[0; frames::MAX_BODY_LENGTH + 1]),
        invocation(8, &id(8), "read", CALM, &[0; 100_000]),
    ];
    for (n, bad) in (4..).zip(unusable) {
        let (kind, stream, code, _) = ask(&mut client, &bad);
        assert_eq!((kind, stream, code), (frames::RESPONSE, n, frames::ERRORED));
        assert!(
            front.dispatches(&id(n.into())).is_empty(),
            "nothing unusable reaches an executor"
        );
    }
    let used_before = ask(&mut client, &invocation(8, &id(9), "read", CALM, b""));
    assert_eq!((used_before.1, used_before.2), (0, frames::ERRORED));
    assert_eq!(next(&mut client), None, "it is closed after that");
    for start in [
        &[0; 4][..],
        &60_000_000u32.to_be_bytes(),
        &[0, 0, 0, 9, 99, 0, 0, 0, 0],
    ] {
        let mut client = front.client();
        client.write_all(start).unwrap();
        let begun = Instant::now();
        while next(&mut client).is_some() {}
        assert!(
            begun.elapsed() < Duration::from_secs(3),
            "{start:?} is answered or closed in time"
        );
    }
}

#[test]
fn spoilt_answers_reach_no_client_and_only_what_may_run_twice_does() {
    let front = start("spoilt");
    let mut client = front.client();
    let mut n = 0;
    for function in [BREAKS_OFF, NOISE] {
        for (service, code, dispatches) in [
            ("read", frames::SUCCEEDED, 2),
            ("command", frames::ERRORED, 1),
        ] {
            n += 1;
            let answer = ask(
                &mut client,
                &invocation(n, &id(n.into()), service, function, b"body"),
            );
            assert_eq!((answer.1, answer.2), (n, code), "{service} of {function}");
            assert_eq!(
                front.dispatches(&id(n.into())).len(),
                dispatches,
                "{service} of {function}"
            );
        }
    }
}

#[test]
fn ids_that_are_open_are_refused_and_clients_may_withdraw() {
    let front = start("open");
    let (mut one, mut other) = (front.client(), front.client());
    one.write_all(&invocation(1, &id(1), "command", SILENT, b""))
        .unwrap();
    let begun = Instant::now();
    while front.dispatches(&id(1)).is_empty() {
        assert!(
            begun.elapsed() < Duration::from_secs(5),
            "it was never dispatched"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    let answer = ask(
        &mut other,
        &invocation(1, &id(1), "command", CALM, b"other"),
    );
    assert_eq!(answer.2, frames::ERRORED);
    let mut withdrawal = vec![];
    frames::write_frame(&mut withdrawal, frames::CANCEL, 1, None, None, &[]);
    one.write_all(&withdrawal).unwrap();
    // No answer is owed for it; the next is that of another stream, and the id is free again.
    let answer = ask(&mut one, &invocation(2, &id(1), "command", CALM, b"again"));
    assert_eq!(
        answer,
        (frames::RESPONSE, 2, frames::SUCCEEDED, b"again".to_vec())
    );
}

#[test]
fn a_file_that_can_not_be_used_is_told_with_its_name_and_key() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad.json");
    let run = |text: &str| {
        std::fs::write(&file, text).unwrap();
        Command::new(PROGRAM)
            .args(["serve", "--platform"])
            .env("LB_CONFIG", &file)
            .output()
            .unwrap()
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
        assert!(
            said.contains("bad.json") && said.contains(named),
            "{text}: {said}"
        );
    }
    let missing = Command::new(PROGRAM)
        .args(["serve", "--platform"])
        .env_remove("LB_CONFIG")
        .output()
        .unwrap();
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
        let (_, stream, code, _) = ask(
            &mut client,
            &invocation(n as u32, &id(n), "command", &function, b"x"),
        );
        assert_eq!(
            (stream, code),
            (n as u32, frames::SUCCEEDED),
            "function {function}"
        );
    }
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
                    .write_all(&invocation(
                        n,
                        &id(ids),
                        service,
                        &id(0x2000 + u64::from(n % 7)),
                        b"x",
                    ))
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
    assert!(
        commands.all(|d| d.len() == 1),
        "what may run once only was dispatched twice"
    );
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
            assert_eq!(
                (answer.2, answer.3),
                (frames::SUCCEEDED, b"usual".to_vec()),
                "client {m}, round {n}"
            );
        }
    }
    assert_eq!(bad.len(), 192);
}
