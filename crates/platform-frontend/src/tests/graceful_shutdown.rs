//! The end, with clients that are within a frame, wait to be accepted, or read nothing.

use super::*;
use signal_hook::consts::SIGTERM;

fn begin_shutdown(front_end: &mut TestFrontEnd) {
    let now = front_end.event_loop.read_clock();
    front_end.event_loop.handle_signal(now, SIGTERM);
    // As if it had been told so long ago that nothing more is taken.
    front_end.event_loop.shutdown.set_started_at(now - 0.7);
}

/// The process had ended before the rest of it came.
#[test]
fn an_invocation_half_read_when_nothing_more_is_taken_is_answered() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    let frame = invocation_frame(1, &invocation_id(1), "read");
    client.write_all(&frame[..20]).expect("it stands");
    front_end.poll_until("half of it", |front_end| {
        front_end.event_loop.host.clients[0].has_partial_frame()
    });
    begin_shutdown(&mut front_end);
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(300) {
        assert!(!front_end.poll_once(), "the rest is waited for");
    }
    client.write_all(&frame[20..]).expect("it stands");
    let mut answers = vec![];
    let mut finished = false;
    front_end.poll_until("over", |front_end| {
        finished |= front_end.poll_once();
        answers.extend(read_frames(&mut client).0);
        finished
    });
    answers.extend(read_frames(&mut client).0);
    assert_eq!(
        answers,
        [
            (protocol::GO_AWAY, 0, 0),
            (protocol::RESPONSE, 1, protocol::THROTTLED)
        ]
    );
}

/// Nearly as many as can wait, all since the last look: each is told, none is reset with the listener.
#[test]
fn all_that_wait_to_be_accepted_are_told_of_the_end() {
    let mut front_end = TestFrontEnd::new(1, 512, |_| {});
    let mut waiting: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(front_end.address).expect("it listens"))
        .collect();
    begin_shutdown(&mut front_end);
    let now = front_end.event_loop.read_clock();
    front_end.event_loop.stop_accepting(now);
    front_end.event_loop.flush_all(now);
    assert_eq!(
        (
            front_end.event_loop.counters.accepted,
            !front_end.event_loop.listener.is_open()
        ),
        (100, true)
    );
    for client in &mut waiting {
        client.set_nonblocking(true).expect("it can be");
        assert_eq!(read_frames(client), (vec![(protocol::GO_AWAY, 0, 0)], None));
    }
}

/// What comes in the last moment is read once more before the process ends.
#[test]
fn what_comes_with_the_last_turn_is_answered() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    begin_shutdown(&mut front_end);
    front_end.poll_until("quiet", |front_end| front_end.event_loop.shutdown.is_idle());
    // The look at whether it is over comes after this turn's reading.
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("it stands");
    front_end
        .event_loop
        .shutdown
        .set_idle_since(f64::NEG_INFINITY);
    let now = front_end.event_loop.read_clock();
    assert!(!front_end.event_loop.is_finished(now));
    assert_eq!(
        read_frames(&mut client).0,
        [
            (protocol::GO_AWAY, 0, 0),
            (protocol::RESPONSE, 1, protocol::THROTTLED)
        ]
    );
}

/// A client that never reads does not hold the process for longer than the longest client timeout.
#[test]
fn a_client_that_reads_nothing_does_not_hold_up_the_end() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let _client = front_end.connect_client();
    front_end.event_loop.host.clients[0]
        .socket
        .out()
        .resize(16 << 20, 0);
    front_end.event_loop.host.mark_client_dirty(0);
    begin_shutdown(&mut front_end);
    front_end.poll_until("closed", |front_end| {
        !front_end.event_loop.listener.is_open()
    });
    let now = front_end.event_loop.read_clock();
    assert!(!front_end.event_loop.is_finished(now), "it has some time");
    front_end.event_loop.shutdown.set_started_at(now - 3.6);
    assert!(!front_end.event_loop.is_finished(now));
    front_end.event_loop.shutdown.set_started_at(now - 3.67);
    assert!(
        front_end.event_loop.is_finished(now),
        "before it may be killed"
    );
}

/// What would be waited for until after the process may be killed was lost with it.
#[test]
fn what_is_open_at_the_end_is_answered_before_the_process_may_be_killed() {
    let mut front_end = TestFrontEnd::new(2, 128, |_| {});
    let mut client = front_end.connect_client();
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("it stands");
    let (executor, connection) = front_end.await_dispatch(&invocation_id(1));
    begin_shutdown(&mut front_end);
    front_end.poll_until("closed", |front_end| {
        !front_end.event_loop.listener.is_open()
    });
    let signaled_at = front_end
        .event_loop
        .shutdown
        .started_at()
        .expect("it was told");
    let latest_deadline = front_end
        .event_loop
        .host
        .invocations
        .iter()
        .map(|invocation| invocation.timeout_at)
        .fold(0.0, f64::max);
    assert!(
        latest_deadline > signaled_at + 3.0 && latest_deadline < signaled_at + 3.7,
        "{} s after SIGTERM",
        latest_deadline - signaled_at
    );
    let mut answers = vec![];
    front_end.poll_until("answered", |_| {
        answers.extend(read_frames(&mut client).0);
        answers.len() > 1
    });
    // The executor never answered; it may be repeated, so that its client is told so.
    assert_eq!(
        answers,
        [
            (protocol::GO_AWAY, 0, 0),
            (protocol::RESPONSE, 1, protocol::THROTTLED)
        ]
    );
    assert_eq!(
        front_end.executors[executor].lines_received("UNDO", &invocation_id(1)),
        [connection]
    );
    front_end.poll_until("over", TestFrontEnd::poll_once);
}
