//! Runs the `orchidtally` binary as the platform starts its front end: `serve --platform` with the settings file named
//! in `LB_CONFIG`.

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
fn bodies_and_fields_are_forwarded_unchanged_and_invalid_invocations_are_rejected() {
    let front_end = start("calm");
    let mut client = front_end.client();
    let mut ready = vec![];
    frames::write_frame(&mut ready, frames::READINESS_QUERY, 0, None, Some(&[]), &[]);
    assert_eq!(
        exchange(&mut client, &ready),
        (frames::READINESS, 0, frames::READY_CODE, vec![])
    );
    for (n, body) in [
        (1, &b""[..]),
        (2, b"\x00\n\xff"),
        (3, &[9; frames::MAX_BODY_LENGTH]),
    ] {
        let answer = exchange(
            &mut client,
            &invocation(n, &hex_id(n.into()), "update", PROMPT, body),
        );
        assert_eq!(
            answer,
            (frames::RESPONSE, n, frames::SUCCEEDED, body.to_vec())
        );
        let [sent] = front_end
            .dispatches(&hex_id(n.into()))
            .try_into()
            .expect("exactly one dispatch");
        assert_eq!(
            (&sent["f"]["cls"], &sent["f"]["item"]),
            (&json!("update"), &json!(PROMPT))
        );
        assert_eq!(sent["f"]["nonce"], "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
        assert!((1..=3000).contains(&sent["f"]["limit"].as_u64().unwrap()));
        assert_eq!(STANDARD.decode(sent["b"].as_str().unwrap()).unwrap(), body);
    }
    let invalid = [
        invocation(4, "xyz", "read", PROMPT, b""),
        invocation(5, &hex_id(5), "none", PROMPT, b""),
        invocation(6, &hex_id(6), "read", "12", b""),
        invocation(
            7,
            &hex_id(7),
            "read",
            PROMPT,
            &[0; frames::MAX_BODY_LENGTH + 1],
        ),
        invocation(8, &hex_id(8), "read", PROMPT, &[0; 100_000]),
    ];
    for (n, bad) in (4..).zip(invalid) {
        let (kind, stream, code, _) = exchange(&mut client, &bad);
        assert_eq!((kind, stream, code), (frames::RESPONSE, n, frames::ERRORED));
        assert!(
            front_end.dispatches(&hex_id(n.into())).is_empty(),
            "an invalid invocation must not reach an executor"
        );
    }
    let reused_stream = exchange(&mut client, &invocation(8, &hex_id(9), "read", PROMPT, b""));
    assert_eq!((reused_stream.1, reused_stream.2), (0, frames::ERRORED));
    assert_eq!(
        read_frame(&mut client),
        None,
        "the front end closes the connection after that"
    );
    for start in [
        &[0; 4][..],
        &60_000_000u32.to_be_bytes(),
        &[0, 0, 0, 9, 99, 0, 0, 0, 0],
    ] {
        let mut client = front_end.client();
        client.write_all(start).unwrap();
        let started_at = Instant::now();
        while read_frame(&mut client).is_some() {}
        assert!(
            started_at.elapsed() < Duration::from_secs(3),
            "{start:?} was neither answered nor closed in time"
        );
    }
}

#[test]
fn invalid_responses_reach_no_client_and_only_idempotent_invocations_are_retried() {
    let front_end = start("invalid-responses");
    let mut client = front_end.client();
    let mut n = 0;
    for function in [TRUNCATED_RESPONSE, GARBAGE_RESPONSE] {
        for (service, code, dispatches) in [
            ("read", frames::SUCCEEDED, 2),
            ("command", frames::ERRORED, 1),
        ] {
            n += 1;
            let answer = exchange(
                &mut client,
                &invocation(n, &hex_id(n.into()), service, function, b"body"),
            );
            assert_eq!((answer.1, answer.2), (n, code), "{service} of {function}");
            assert_eq!(
                front_end.dispatches(&hex_id(n.into())).len(),
                dispatches,
                "{service} of {function}"
            );
        }
    }
}

/// Sends an invocation that gets no response, reuses its ID from another client while it is open, cancels it, and
/// reuses its ID again. Returns the code of the first reuse and the answer to the second one.
fn reuse_id_after_cancel(front_end: &FrontEnd, id: &str, service: &str) -> (u8, Answer) {
    let (mut first, mut second) = (front_end.client(), front_end.client());
    first
        .write_all(&invocation(1, id, service, NO_RESPONSE, b""))
        .unwrap();
    let started_at = Instant::now();
    while front_end.dispatches(id).is_empty() {
        assert!(
            started_at.elapsed() < Duration::from_secs(5),
            "the invocation was not dispatched"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    let while_open = exchange(&mut second, &invocation(1, id, service, PROMPT, b"other"));
    let mut cancel = vec![];
    frames::write_frame(&mut cancel, frames::CANCEL, 1, None, None, &[]);
    first.write_all(&cancel).unwrap();
    // A withdrawn invocation gets no response: the next one is that of another stream.
    let after_cancel = exchange(&mut first, &invocation(2, id, service, PROMPT, b"again"));
    (while_open.2, after_cancel)
}

#[test]
fn an_id_in_use_is_rejected_until_its_client_cancels() {
    let front_end = start("open");
    let (while_open, after_cancel) = reuse_id_after_cancel(&front_end, &hex_id(1), "read");
    assert_eq!(while_open, frames::ERRORED);
    assert_eq!(
        after_cancel,
        (frames::RESPONSE, 2, frames::SUCCEEDED, b"again".to_vec())
    );
}

/// Guards against running an ID twice that is sent again after a cancel, when it may have run.
#[test]
fn an_id_that_may_have_run_and_must_not_run_twice_stays_rejected_after_a_cancel() {
    let front_end = start("open-command");
    for (id, service) in [(hex_id(1), "command"), (hex_id(2), "update")] {
        let (while_open, (kind, stream, code, _)) = reuse_id_after_cancel(&front_end, &id, service);
        assert_eq!(while_open, frames::ERRORED, "{service}");
        let answer = (kind, stream, code);
        assert_eq!(answer, (frames::RESPONSE, 2, frames::ERRORED), "{service}");
        assert_eq!(front_end.dispatches(&id).len(), 1, "{service}");
    }
}

#[test]
fn an_unusable_settings_file_is_reported_with_its_name_and_key() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad.json");
    let run = |text: &str| {
        std::fs::write(&file, text).unwrap();
        Command::new(PROGRAM)
            .args(["serve", "--platform"])
            .env("LB_CONFIG", &file)
            .output()
            .unwrap()
    };
    let mut unknown_mode: Value = serde_json::from_str(&settings_file(&[], 128).0).unwrap();
    unknown_mode["settings"]["registryMode"] = "gossip".into();
    let unknown_mode = unknown_mode.to_string();
    let cases = [
        ("{", "bad.json"),
        (r#"{"name":"n0"}"#, "listen"),
        ("[]", "bad.json"),
        (
            &unknown_mode,
            "'registryMode' has an unknown value 'gossip'",
        ),
    ];
    for (text, expected) in cases {
        let output = run(text);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{text}: {stderr}");
        assert!(
            stderr.contains("bad.json") && stderr.contains(expected),
            "{text}: {stderr}"
        );
    }
    let missing = Command::new(PROGRAM)
        .args(["serve", "--platform"])
        .env_remove("LB_CONFIG")
        .output()
        .unwrap();
    assert_eq!(missing.status.code(), Some(2));
}

/// 48 descriptors leave room for eight connections to executors. The front end closes the connection that has been idle
/// for longest; otherwise the first eight executors would keep the connections, and functions of the others would fail
/// for good.
#[test]
fn more_executors_than_descriptors_all_serve() {
    let front_end = start_with_executors("descriptors", 24, 48);
    let mut client = front_end.client();
    for n in 1..=60 {
        let function = hex_id(0x1000 + n);
        let (_, stream, code, _) = exchange(
            &mut client,
            &invocation(n as u32, &hex_id(n), "command", &function, b"x"),
        );
        assert_eq!(
            (stream, code),
            (n as u32, frames::SUCCEEDED),
            "function {function}"
        );
    }
}

/// Three of ten front ends take all the traffic while seven are killed. The killed ones are restarted without any state
/// and serve again.
#[test]
fn three_of_ten_front_ends_serve_while_the_others_are_killed() {
    let dispatch_log = DispatchLog::default();
    let hosts: Vec<Value> = (1..=3)
        .map(|n| host(n, start_executor(dispatch_log.clone())))
        .collect();
    let spawn =
        |n: usize| start_with_hosts(&format!("killed-{n}"), &hosts, 128, dispatch_log.clone());
    let mut front_ends: Vec<FrontEnd> = (0..10).map(spawn).collect();
    let mut next_id = 0;
    let mut round = |front_ends: &[FrontEnd], invocations: u32| {
        let mut clients: Vec<TcpStream> = front_ends.iter().map(FrontEnd::client).collect();
        for n in 1..=invocations {
            for client in &mut clients {
                next_id += 1;
                let service = ["read", "update", "command"][n as usize % 3];
                client
                    .write_all(&invocation(
                        n,
                        &hex_id(next_id),
                        service,
                        &hex_id(0x2000 + u64::from(n % 7)),
                        b"x",
                    ))
                    .unwrap();
            }
        }
        for client in &mut clients {
            for _ in 0..invocations {
                assert_eq!(
                    read_frame(client).expect("the front end responds").2,
                    frames::SUCCEEDED
                );
            }
        }
    };
    round(&front_ends, 12);
    // Dropping a front end kills its process.
    front_ends.truncate(3);
    round(&front_ends, 32);
    front_ends.extend((3..10).map(spawn));
    round(&front_ends, 12);
    let dispatch_log = dispatch_log.lock().unwrap();
    let mut commands = dispatch_log
        .values()
        .filter(|d| d[0]["f"]["cls"] == "command");
    assert!(
        commands.all(|d| d.len() == 1),
        "a non-idempotent invocation was dispatched twice"
    );
}

/// Well-behaved clients use a third of the descriptors while a hundred misbehaving ones connect each second. The front
/// end closes no well-behaved connection in their favour, and responds to each invocation.
#[test]
fn well_behaved_clients_on_a_third_of_the_descriptors_are_unaffected_by_misbehaving_ones() {
    let front_end = start_with_executors("crowd", 2, 192);
    let mut well_behaved: Vec<TcpStream> = (0..64).map(|_| front_end.client()).collect();
    let mut bad: Vec<TcpStream> = vec![];
    let mut next_id = 0;
    for n in 1..=4u32 {
        for (m, client) in well_behaved.iter_mut().enumerate() {
            if n > 1 {
                // Between two invocations one misbehaving client connects: it sends nothing, half a frame or garbage.
                let mut misbehaving_client = front_end.client();
                match m % 3 {
                    0 => {}
                    1 => misbehaving_client
                        .write_all(&[0, 0, 1, 0, frames::INVOKE, 0])
                        .unwrap(),
                    _ => misbehaving_client.write_all(&[0xff; 64]).unwrap(),
                }
                bad.push(misbehaving_client);
                std::thread::sleep(Duration::from_millis(10));
            }
            next_id += 1;
            let answer = exchange(
                client,
                &invocation(n, &hex_id(next_id), "command", PROMPT, b"usual"),
            );
            assert_eq!(
                (answer.2, answer.3),
                (frames::SUCCEEDED, b"usual".to_vec()),
                "client {m}, round {n}"
            );
        }
    }
    assert_eq!(bad.len(), 192);
}
