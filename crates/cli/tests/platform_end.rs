//! Signals to the platform's front end: new files, and its end with clients that go on coming.

mod kit;

use kit::*;
use orchidtally_platform_client_protocol as frames;

use std::io::Write;

use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn it_lives_through_bad_files_and_ends_once_all_is_answered() {
    let mut front = start("signals");
    let mut client = front.client();
    std::fs::write(&front.file, "{ no JSON").unwrap();
    front.signal("HUP");
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(
        ask(&mut client, &invocation(1, &id(1), "read", CALM, b"")).2,
        frames::SUCCEEDED
    );
    front.signal("TERM");
    let mut ready = vec![];
    frames::write_frame(&mut ready, frames::READINESS_QUERY, 0, None, Some(&[]), &[]);
    let begun = Instant::now();
    while ask(&mut client, &ready).2 == frames::READY_CODE {
        assert!(
            begun.elapsed() < Duration::from_secs(5),
            "it heard nothing of the signal"
        );
    }
    let mut late = front.client();
    assert_eq!(ask(&mut late, &ready).2, frames::NOT_READY_CODE);
    assert_eq!(
        ask(&mut late, &invocation(1, &id(2), "read", CALM, b"")).2,
        frames::SUCCEEDED,
        "served for a while"
    );
    assert_eq!(next(&mut late), Some((frames::GO_AWAY, 0, 0, vec![])));
    assert_eq!(front.process.wait().unwrap().code(), Some(0));
}

/// A signal that comes while the file is still being read finds its handler there: it would end the process.
#[test]
fn signals_before_it_is_ready_and_two_at_once_end_nothing_too_early() {
    for (signals, ends) in [
        (&["HUP"][..], false),
        (&["TERM", "HUP"], true),
        (&["HUP", "TERM"], true),
    ] {
        let seen = Seen::default();
        let (told, at) = told(&[host(1, executor(seen.clone()))], 128);
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("early-{}.json", signals.join("-")));
        // A file that takes as long to be read as this test wants.
        let _ = std::fs::remove_file(&file);
        assert!(
            Command::new("mkfifo")
                .arg(&file)
                .status()
                .unwrap()
                .success()
        );
        let mut front = FrontEnd::begin(file.clone(), at, seen);
        let mut slow = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
        signals.iter().for_each(|s| front.signal(s));
        std::fs::remove_file(&file).unwrap();
        std::fs::write(&file, &told).unwrap();
        std::thread::sleep(Duration::from_millis(50));
        slow.write_all(told.as_bytes()).unwrap();
        drop(slow);
        front.listens();
        let mut client = front.client();
        let answer = ask(
            &mut client,
            &invocation(1, &id(1), "command", CALM, b"early"),
        );
        assert_eq!(
            answer,
            (frames::RESPONSE, 1, frames::SUCCEEDED, b"early".to_vec()),
            "{signals:?}"
        );
        if ends {
            assert_eq!(next(&mut client), Some((frames::GO_AWAY, 0, 0, vec![])));
            assert_eq!(front.process.wait().unwrap().code(), Some(0), "{signals:?}");
        } else {
            std::thread::sleep(Duration::from_millis(1_000));
            assert_eq!(
                ask(&mut client, &invocation(2, &id(2), "read", CALM, b"")).2,
                frames::SUCCEEDED
            );
        }
    }
}

/// Both at once, with an invocation out: it is answered, and the process ends by itself.
#[test]
fn a_reload_together_with_the_end_loses_nothing() {
    let mut front = start("both");
    let mut client = front.client();
    client
        .write_all(&invocation(1, &id(1), "read", SLOW, b"out"))
        .unwrap();
    while front.dispatches(&id(1)).is_empty() {
        std::thread::sleep(Duration::from_millis(5));
    }
    front.signal("TERM");
    front.signal("HUP");
    front.signal("TERM");
    let answer = next(&mut client).expect("an answer");
    let answer = if answer.0 == frames::GO_AWAY {
        next(&mut client).expect("an answer")
    } else {
        answer
    };
    assert_eq!(
        answer,
        (frames::RESPONSE, 1, frames::SUCCEEDED, b"out".to_vec())
    );
    assert_eq!(front.process.wait().unwrap().code(), Some(0));
}

/// Clients on open connections that go on after having been told: each has its answer for as long as they ask,
/// and one that would take its time is not taken so late that it could be killed with the process.
#[test]
fn who_goes_on_asking_after_the_end_was_told_is_answered() {
    let mut front = start("goes-on");
    let (mut client, mut other) = (front.client(), front.client());
    assert_eq!(
        ask(&mut other, &invocation(1, &id(1), "read", CALM, b"")).2,
        frames::SUCCEEDED
    );
    front.signal("TERM");
    let begun = Instant::now();
    std::thread::sleep(Duration::from_millis(705));
    let asked = Instant::now();
    let late = ask(&mut other, &invocation(2, &id(2), "read", SLOW, b""));
    let late = if late.0 == frames::GO_AWAY {
        next(&mut other).expect("an answer")
    } else {
        late
    };
    assert_eq!(
        (late.1, late.2),
        (2, frames::THROTTLED),
        "0.7 s after the signal nothing is taken"
    );
    assert!(
        asked.elapsed() < Duration::from_millis(600),
        "at once, though it would take 0.9 s"
    );
    assert_eq!(next(&mut client), Some((frames::GO_AWAY, 0, 0, vec![])));
    for n in 1..=40 {
        let quiet = Instant::now();
        std::thread::sleep(Duration::from_millis(15));
        // On a machine that stands still for as long as the process waits, it may end.
        if quiet.elapsed() > Duration::from_millis(70) {
            break;
        }
        let answer = ask(
            &mut client,
            &invocation(n, &id(100 + u64::from(n)), "read", CALM, b""),
        );
        assert_eq!((answer.1, answer.2), (n, frames::THROTTLED));
    }
    assert!(front.dispatches(&id(2)).is_empty() && front.dispatches(&id(101)).is_empty());
    assert_eq!(
        front.process.wait().unwrap().code(),
        Some(0),
        "it ends once they are quiet"
    );
    assert!(begun.elapsed() < Duration::from_secs(3));
}
