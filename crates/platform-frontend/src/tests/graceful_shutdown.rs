//! The end, with clients that are within a frame, wait to be accepted, or read nothing.

use super::*;
use signal_hook::consts::SIGTERM;

fn told_to_end(stage: &mut Stage) {
    let now = stage.event_loop.read_clock();
    stage.event_loop.handle_signal(now, SIGTERM);
    // As if it had been told so long ago that nothing more is taken.
    stage.event_loop.shutdown.set_started_at(now - 0.7);
}

/// The process had ended before the rest of it came.
#[test]
fn an_invocation_half_read_when_nothing_more_is_taken_is_answered() {
    let mut stage = Stage::new(1, 128, |_| {});
    let mut client = stage.client();
    let whole = invocation(1, &id(1), "read");
    client.write_all(&whole[..20]).expect("it stands");
    stage.until("half of it", |s| {
        s.event_loop.host.clients[0].has_partial_frame()
    });
    told_to_end(&mut stage);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(300) {
        assert!(!stage.poll_once(), "the rest is waited for");
    }
    client.write_all(&whole[20..]).expect("it stands");
    let mut answers = vec![];
    let mut over = false;
    stage.until("over", |s| {
        over |= s.poll_once();
        answers.extend(got(&mut client).0);
        over
    });
    answers.extend(got(&mut client).0);
    assert_eq!(
        answers,
        [
            (frames::GO_AWAY, 0, 0),
            (frames::RESPONSE, 1, frames::THROTTLED)
        ]
    );
}

/// Nearly as many as can wait, all since the last look: each is told, none is reset with the listener.
#[test]
fn all_that_wait_to_be_accepted_are_told_of_the_end() {
    let mut stage = Stage::new(1, 512, |_| {});
    let mut waiting: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(stage.at).expect("it listens"))
        .collect();
    told_to_end(&mut stage);
    let now = stage.event_loop.read_clock();
    stage.event_loop.stop_accepting(now);
    stage.event_loop.flush_all(now);
    assert_eq!(
        (
            stage.event_loop.counters.accepted,
            !stage.event_loop.listener.is_open()
        ),
        (100, true)
    );
    for client in &mut waiting {
        client.set_nonblocking(true).expect("it can be");
        assert_eq!(got(client), (vec![(frames::GO_AWAY, 0, 0)], None));
    }
}

/// What comes in the last moment is read once more before the process ends.
#[test]
fn what_comes_with_the_last_turn_is_answered() {
    let mut stage = Stage::new(1, 128, |_| {});
    let mut client = stage.client();
    told_to_end(&mut stage);
    stage.until("quiet", |s| s.event_loop.shutdown.is_idle());
    // The look at whether it is over comes after this turn's reading.
    client
        .write_all(&invocation(1, &id(1), "read"))
        .expect("it stands");
    stage.event_loop.shutdown.set_idle_since(f64::NEG_INFINITY);
    let now = stage.event_loop.read_clock();
    assert!(!stage.event_loop.is_finished(now));
    assert_eq!(
        got(&mut client).0,
        [
            (frames::GO_AWAY, 0, 0),
            (frames::RESPONSE, 1, frames::THROTTLED)
        ]
    );
}

/// A client that never reads does not hold the process for longer than the longest client timeout.
#[test]
fn a_client_that_reads_nothing_does_not_hold_up_the_end() {
    let mut stage = Stage::new(1, 128, |_| {});
    let _client = stage.client();
    stage.event_loop.host.clients[0]
        .socket
        .write_buffer()
        .resize(16 << 20, 0);
    stage.event_loop.host.mark_client_dirty(0);
    told_to_end(&mut stage);
    stage.until("closed", |s| !s.event_loop.listener.is_open());
    let now = stage.event_loop.read_clock();
    assert!(!stage.event_loop.is_finished(now), "it has some time");
    stage.event_loop.shutdown.set_started_at(now - 3.6);
    assert!(!stage.event_loop.is_finished(now));
    stage.event_loop.shutdown.set_started_at(now - 3.67);
    assert!(stage.event_loop.is_finished(now), "before it may be killed");
}

/// What would be waited for until after the process may be killed was lost with it.
#[test]
fn what_is_open_at_the_end_is_answered_before_the_process_may_be_killed() {
    let mut stage = Stage::new(2, 128, |_| {});
    let mut client = stage.client();
    client
        .write_all(&invocation(1, &id(1), "read"))
        .expect("it stands");
    let (x, end) = stage.dispatched(&id(1));
    told_to_end(&mut stage);
    stage.until("closed", |s| !s.event_loop.listener.is_open());
    let since = stage.event_loop.shutdown.started_at().expect("it was told");
    let by = stage
        .event_loop
        .host
        .invocations
        .iter()
        .map(|w| w.timeout_at)
        .fold(0.0, f64::max);
    assert!(
        by > since + 3.0 && by < since + 3.7,
        "{} s after SIGTERM",
        by - since
    );
    let mut answers = vec![];
    stage.until("answered", |_| {
        answers.extend(got(&mut client).0);
        answers.len() > 1
    });
    // The executor never answered; it may be repeated, so that its client is told so.
    assert_eq!(
        answers,
        [
            (frames::GO_AWAY, 0, 0),
            (frames::RESPONSE, 1, frames::THROTTLED)
        ]
    );
    assert_eq!(stage.peers[x].lines("UNDO", &id(1)), [end]);
    stage.until("over", Stage::poll_once);
}
