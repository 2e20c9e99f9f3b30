//! Graceful shutdown with clients that have sent a partial frame, wait to be accepted, or read nothing.

use super::*;
use signal_hook::consts::SIGTERM;

/// Delivers SIGTERM, dated back by the time after which nothing more is accepted.
fn begin_shutdown(front_end: &mut TestFrontEnd) {
    let now = front_end.event_loop.read_clock();
    front_end.event_loop.handle_signal(now, SIGTERM);
    // 0.7 s after SIGTERM the front end no longer accepts connections or invocations.
    front_end.event_loop.shutdown.set_started_at(now - 0.7);
}

/// Guards against exiting before the rest of a partially received invocation arrives.
#[test]
fn a_partially_received_invocation_is_answered_after_the_listener_closes() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    let frame = invocation_frame(1, &invocation_id(1), "read");
    client
        .write_all(&frame[..20])
        .expect("the connection is open");
    front_end.poll_until("the partial frame", |front_end| {
        front_end.event_loop.host.clients[0].has_partial_frame()
    });
    begin_shutdown(&mut front_end);
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(300) {
        assert!(
            !front_end.poll_once(),
            "the exit waits for the rest of the frame"
        );
    }
    client
        .write_all(&frame[20..])
        .expect("the connection is open");
    let mut responses = vec![];
    let mut finished = false;
    front_end.poll_until("the exit", |front_end| {
        finished |= front_end.poll_once();
        responses.extend(read_frames(&mut client).0);
        finished
    });
    responses.extend(read_frames(&mut client).0);
    assert_eq!(
        responses,
        [
            (protocol::GO_AWAY, 0, 0),
            (protocol::RESPONSE, 1, protocol::THROTTLED)
        ]
    );
}

/// Nearly fills the accept backlog between two polls: each connection gets a GO_AWAY frame, and none is reset when the
/// listener closes.
#[test]
fn connections_in_the_accept_backlog_get_a_go_away_frame() {
    let mut front_end = TestFrontEnd::new(1, 512, |_| {});
    let mut waiting_clients: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(front_end.address).expect("the front end listens"))
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
    for client in &mut waiting_clients {
        client
            .set_nonblocking(true)
            .expect("the socket can be nonblocking");
        assert_eq!(read_frames(client), (vec![(protocol::GO_AWAY, 0, 0)], None));
    }
}

/// Input is read once more right before the process exits.
#[test]
fn an_invocation_that_arrives_in_the_last_poll_is_answered() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    begin_shutdown(&mut front_end);
    front_end.poll_until("the front end to be idle", |front_end| {
        front_end.event_loop.shutdown.is_idle()
    });
    // `is_finished` runs after this poll's reads.
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("the connection is open");
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

/// A client that never reads its responses does not keep the process running past the kill, which may come 0.7 s after
/// the longest counted client timeout.
#[test]
fn a_client_that_reads_nothing_does_not_delay_the_exit_past_the_kill() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let _client = front_end.connect_client();
    front_end.event_loop.host.clients[0]
        .socket
        .write_buffer()
        .resize(16 << 20, 0);
    front_end.event_loop.host.mark_client_dirty(0);
    begin_shutdown(&mut front_end);
    front_end.poll_until("the listener to close", |front_end| {
        !front_end.event_loop.listener.is_open()
    });
    let now = front_end.event_loop.read_clock();
    assert!(
        !front_end.event_loop.is_finished(now),
        "the client still has time to read"
    );
    front_end.event_loop.shutdown.set_started_at(now - 3.6);
    assert!(!front_end.event_loop.is_finished(now));
    front_end.event_loop.shutdown.set_started_at(now - 3.67);
    assert!(
        front_end.event_loop.is_finished(now),
        "exits before it may be killed"
    );
}

/// Guards against losing an invocation whose client timeout would expire only after the process may be killed.
#[test]
fn open_invocations_are_answered_before_the_process_may_be_killed() {
    let mut front_end = TestFrontEnd::new(2, 128, |_| {});
    let mut client = front_end.connect_client();
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("the connection is open");
    let (executor, connection) = front_end.await_dispatch(&invocation_id(1));
    begin_shutdown(&mut front_end);
    front_end.poll_until("the listener to close", |front_end| {
        !front_end.event_loop.listener.is_open()
    });
    let signaled_at = front_end
        .event_loop
        .shutdown
        .started_at()
        .expect("a termination signal arrived");
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
    let mut responses = vec![];
    front_end.poll_until("the response", |_| {
        responses.extend(read_frames(&mut client).0);
        responses.len() > 1
    });
    // The executor never responded. The invocation is idempotent, so the client is told to retry.
    assert_eq!(
        responses,
        [
            (protocol::GO_AWAY, 0, 0),
            (protocol::RESPONSE, 1, protocol::THROTTLED)
        ]
    );
    assert_eq!(
        front_end.executors[executor].lines_received("UNDO", &invocation_id(1)),
        [connection]
    );
    front_end.poll_until("the exit", TestFrontEnd::poll_once);
}
