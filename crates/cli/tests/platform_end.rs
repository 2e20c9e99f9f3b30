//! Signals to the platform's front end: reloads on SIGHUP, and shutdown on SIGTERM while clients keep sending.

mod kit;

use kit::*;
use orchidtally_platform_client_protocol as frames;

use std::io::Write;

use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn it_survives_invalid_files_and_exits_once_every_invocation_has_a_response() {
    let mut front_end = start("signals");
    let mut client = front_end.client();
    std::fs::write(&front_end.file, "{ no JSON").unwrap();
    front_end.signal("HUP");
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(
        exchange(&mut client, &invocation(1, &hex_id(1), "read", PROMPT, b"")).2,
        frames::SUCCEEDED
    );
    front_end.signal("TERM");
    let mut ready = vec![];
    frames::write_frame(&mut ready, frames::READINESS_QUERY, 0, None, Some(&[]), &[]);
    let started_at = Instant::now();
    while exchange(&mut client, &ready).2 == frames::READY_CODE {
        assert!(
            started_at.elapsed() < Duration::from_secs(5),
            "the front end did not react to SIGTERM"
        );
    }
    let mut late = front_end.client();
    assert_eq!(exchange(&mut late, &ready).2, frames::NOT_READY_CODE);
    assert_eq!(
        exchange(&mut late, &invocation(1, &hex_id(2), "read", PROMPT, b"")).2,
        frames::SUCCEEDED,
        "a new connection is served for a short time after SIGTERM"
    );
    assert_eq!(read_frame(&mut late), Some((frames::GO_AWAY, 0, 0, vec![])));
    assert_eq!(front_end.process.wait().unwrap().code(), Some(0));
}

/// The signal handlers are installed before the settings file is read: a signal without a handler would terminate the
/// process.
#[test]
fn signals_before_startup_completes_do_not_terminate_it_early() {
    for (signals, expects_exit) in [
        (&["HUP"][..], false),
        (&["TERM", "HUP"], true),
        (&["HUP", "TERM"], true),
    ] {
        let dispatch_log = DispatchLog::default();
        let (settings, address) =
            settings_file(&[host(1, start_executor(dispatch_log.clone()))], 128);
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("early-{}.json", signals.join("-")));
        // A pipe, so that the test determines how long the file takes to read.
        let _ = std::fs::remove_file(&file);
        assert!(
            Command::new("mkfifo")
                .arg(&file)
                .status()
                .unwrap()
                .success()
        );
        let mut front_end = FrontEnd::spawn(file.clone(), address, dispatch_log);
        let mut slow = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
        signals.iter().for_each(|s| front_end.signal(s));
        std::fs::remove_file(&file).unwrap();
        std::fs::write(&file, &settings).unwrap();
        std::thread::sleep(Duration::from_millis(50));
        slow.write_all(settings.as_bytes()).unwrap();
        drop(slow);
        front_end.wait_until_listening();
        let mut client = front_end.client();
        let answer = exchange(
            &mut client,
            &invocation(1, &hex_id(1), "command", PROMPT, b"early"),
        );
        assert_eq!(
            answer,
            (frames::RESPONSE, 1, frames::SUCCEEDED, b"early".to_vec()),
            "{signals:?}"
        );
        if expects_exit {
            assert_eq!(
                read_frame(&mut client),
                Some((frames::GO_AWAY, 0, 0, vec![]))
            );
            assert_eq!(
                front_end.process.wait().unwrap().code(),
                Some(0),
                "{signals:?}"
            );
        } else {
            std::thread::sleep(Duration::from_millis(1_000));
            assert_eq!(
                exchange(&mut client, &invocation(2, &hex_id(2), "read", PROMPT, b"")).2,
                frames::SUCCEEDED
            );
        }
    }
}

/// SIGHUP and SIGTERM arrive together while an invocation is open: it gets its response, and the process exits by
/// itself.
#[test]
fn a_reload_during_shutdown_loses_no_invocation() {
    let mut front_end = start("both");
    let mut client = front_end.client();
    client
        .write_all(&invocation(1, &hex_id(1), "read", SLOW, b"out"))
        .unwrap();
    while front_end.dispatches(&hex_id(1)).is_empty() {
        std::thread::sleep(Duration::from_millis(5));
    }
    front_end.signal("TERM");
    front_end.signal("HUP");
    front_end.signal("TERM");
    let answer = read_frame(&mut client).expect("the front end responds");
    let answer = if answer.0 == frames::GO_AWAY {
        read_frame(&mut client).expect("the front end responds")
    } else {
        answer
    };
    assert_eq!(
        answer,
        (frames::RESPONSE, 1, frames::SUCCEEDED, b"out".to_vec())
    );
    assert_eq!(front_end.process.wait().unwrap().code(), Some(0));
}

/// Clients keep sending on open connections after the front end has announced its shutdown. Each invocation gets a
/// response for as long as they send. 0.7 s after SIGTERM an invocation is throttled instead of accepted, because one
/// that takes long could be killed with the process.
#[test]
fn clients_that_keep_sending_after_the_shutdown_notice_get_responses() {
    let mut front_end = start("keeps-sending");
    let (mut client, mut other) = (front_end.client(), front_end.client());
    assert_eq!(
        exchange(&mut other, &invocation(1, &hex_id(1), "read", PROMPT, b"")).2,
        frames::SUCCEEDED
    );
    front_end.signal("TERM");
    let started_at = Instant::now();
    std::thread::sleep(Duration::from_millis(705));
    let sent_at = Instant::now();
    let late = exchange(&mut other, &invocation(2, &hex_id(2), "read", SLOW, b""));
    let late = if late.0 == frames::GO_AWAY {
        read_frame(&mut other).expect("the front end responds")
    } else {
        late
    };
    assert_eq!(
        (late.1, late.2),
        (2, frames::THROTTLED),
        "an invocation 0.7 s after SIGTERM is throttled"
    );
    assert!(
        sent_at.elapsed() < Duration::from_millis(600),
        "the rejection comes at once, though the function takes 0.9 s"
    );
    assert_eq!(
        read_frame(&mut client),
        Some((frames::GO_AWAY, 0, 0, vec![]))
    );
    for n in 1..=40 {
        let idle_since = Instant::now();
        std::thread::sleep(Duration::from_millis(15));
        // If the machine stalls for as long as the process waits for further requests, the process may exit.
        if idle_since.elapsed() > Duration::from_millis(70) {
            break;
        }
        let answer = exchange(
            &mut client,
            &invocation(n, &hex_id(100 + u64::from(n)), "read", PROMPT, b""),
        );
        assert_eq!((answer.1, answer.2), (n, frames::THROTTLED));
    }
    assert!(
        front_end.dispatches(&hex_id(2)).is_empty()
            && front_end.dispatches(&hex_id(101)).is_empty()
    );
    assert_eq!(
        front_end.process.wait().unwrap().code(),
        Some(0),
        "the process exits once the clients send nothing more"
    );
    assert!(started_at.elapsed() < Duration::from_secs(3));
}
