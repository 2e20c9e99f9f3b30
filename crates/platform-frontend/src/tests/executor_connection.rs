//! Which dispatches a connection accepts, when it is closed, and what its loss is evidence of.

use super::*;
use std::io::Read;
use std::net::TcpListener;

fn connection() -> (ExecutorConnection, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let stream = TcpStream::connect(listener.local_addr().expect("the socket is bound"))
        .expect("the connection attempt starts");
    let (peer, _) = listener.accept().expect("the connection is accepted");
    let mut connection = ExecutorConnection::new(
        orchidtally_platform_discovery::executor_id("s-1"),
        stream,
        0.0,
        0.25,
    );
    connection.is_connected = true;
    (connection, peer)
}

fn accepts(connection: &ExecutorConnection, id: &str) -> bool {
    connection.can_accept(id, 32, 1.0, 15.0)
}

fn add_dispatch(connection: &mut ExecutorConnection, id: &str, line_start: Option<u64>) -> Rc<str> {
    let id: Rc<str> = id.into();
    connection.in_flight.insert(
        id.clone(),
        InFlightDispatch {
            key: DispatchKey {
                invocation: 1,
                number: 0,
            },
            sent_at: 1.0,
            line_start,
        },
    );
    id
}

/// A late response to an abandoned dispatch must not be attributed to the next one with the same id.
#[test]
fn an_abandoned_id_is_refused_until_its_response_arrives() {
    let (mut connection, _peer) = connection();
    let id = add_dispatch(&mut connection, "a", Some(0));
    assert!(!accepts(&connection, "a"), "the id is in flight");
    assert!(connection.abandon(&id));
    assert!(!accepts(&connection, "a") && accepts(&connection, "b"));
    connection.remove_abandoned_id("a");
    assert!(accepts(&connection, "a"));
    let id = add_dispatch(&mut connection, "a", None);
    connection
        .queue
        .push_back(QueuedCommand::Dispatch(id.clone()));
    assert!(
        !connection.abandon(&id),
        "a queued dispatch needs no cancel"
    );
    assert!(connection.queue.is_empty() && accepts(&connection, "a"));
    for n in 0..MAX_ABANDONED_IDS {
        let id = add_dispatch(&mut connection, &format!("{n}"), Some(0));
        assert!(!connection.is_retired);
        connection.abandon(&id);
    }
    assert!(
        connection.is_retired,
        "the number of abandoned ids is bounded"
    );
}

#[test]
fn connections_are_preferred_by_establishment_then_load_then_recent_use() {
    let ((mut recent, _a), (mut idle, _b), (mut busy, _c), (mut connecting, _d)) =
        (connection(), connection(), connection(), connection());
    (recent.idle_since, idle.idle_since, connecting.is_connected) = (5.0, 1.0, false);
    add_dispatch(&mut busy, "a", Some(0));
    let mut preferences = [
        ("connecting", connecting.preference()),
        ("busy", busy.preference()),
        ("idle", idle.preference()),
        ("recent", recent.preference()),
    ];
    preferences.sort_by_key(|preference| preference.1);
    assert_eq!(
        preferences.map(|preference| preference.0),
        ["recent", "idle", "busy", "connecting"]
    );
}

#[test]
fn a_connection_lost_in_the_network_is_not_attributed_to_the_executor() {
    let (mut connection, _peer) = connection();
    add_dispatch(&mut connection, "a", Some(0));
    add_dispatch(&mut connection, "b", Some(9));
    connection
        .in_flight
        .values_mut()
        .filter(|dispatch| dispatch.line_start == Some(9))
        .for_each(|dispatch| dispatch.sent_at = 2.0);
    let outcomes = |connection: &ExecutorConnection, evidence| {
        connection
            .attribute_failures(evidence)
            .map(|(dispatch, outcome)| (dispatch.line_start, outcome))
            .collect::<Vec<_>>()
    };
    let earliest_malformed = [
        (Some(0), TransportOutcome::MalformedResponse),
        (Some(9), TransportOutcome::ClosedForOtherDispatch),
    ];
    let all_cut = [
        (Some(0), TransportOutcome::ClosedForOtherDispatch),
        (Some(9), TransportOutcome::ClosedForOtherDispatch),
    ];
    assert_eq!(
        outcomes(&connection, TransportOutcome::ConnectionLost),
        earliest_malformed,
        "the executor never responded"
    );
    connection.has_responded = true;
    assert_eq!(
        outcomes(&connection, TransportOutcome::ConnectionLost),
        all_cut
    );
    assert_eq!(
        outcomes(&connection, TransportOutcome::MalformedResponse),
        earliest_malformed
    );
}

#[test]
fn only_lines_that_the_kernel_never_accepted_count_as_unwritten() {
    let (mut connection, mut peer) = connection();
    connection
        .socket
        .write_buffer()
        .extend_from_slice(b"first\n");
    connection
        .socket
        .flush()
        .expect("the kernel accepts six bytes");
    assert!(!connection.is_unwritten(Some(0)) && !connection.is_unwritten(Some(5)));
    assert!(connection.is_unwritten(Some(6)) && connection.is_unwritten(None));
    let mut received = [0; 6];
    peer.read_exact(&mut received)
        .expect("the line is received");
    assert_eq!(&received, b"first\n");
    connection.is_connected = false;
    assert!(
        connection.is_unwritten(Some(0)),
        "nothing is written before the connection is established"
    );
}

#[test]
fn partial_lines_and_idle_time_close_a_connection_but_open_dispatches_do_not() {
    let (mut connection, _peer) = connection();
    assert_eq!(
        connection.close_reason(13.0, 15.0),
        None,
        "a connection used about every ten seconds is kept"
    );
    assert_eq!(
        connection.close_reason(14.0, 15.0),
        Some(CloseReason {
            evidence: TransportOutcome::ConnectionLost,
            text: "idle",
        })
    );
    add_dispatch(&mut connection, "a", Some(0));
    assert_eq!(connection.close_reason(100.0, 15.0), None);
    connection.decoder.push(b"{\"t\":");
    connection.record_read(100.0);
    assert_eq!(connection.close_reason(100.4, 15.0), None);
    connection.decoder.push(b"\"DO");
    connection.record_read(100.4);
    assert!(
        connection.close_reason(100.6, 15.0).is_some(),
        "the timeout runs from the first byte of the line"
    );
    connection.is_connected = false;
    assert_eq!(connection.close_reason(0.2, 15.0), None);
    assert!(connection.close_reason(0.3, 15.0).is_some());
}

/// Lines of which the kernel accepted no byte are requeued in order. A partially written line is not.
#[test]
fn unwritten_lines_are_requeued_in_order() {
    let (mut connection, _peer) = connection();
    while connection.socket.pending_bytes() == 0 {
        connection
            .socket
            .write_buffer()
            .extend_from_slice(&[b' '; 1 << 20]);
        connection.socket.flush().expect("the connection is open");
    }
    let written = connection.socket.bytes_written();
    let partially_written = add_dispatch(&mut connection, "z", Some(written - 1));
    let next_line_start =
        connection.socket.bytes_written() + connection.socket.pending_bytes() as u64;
    let waiting_before = connection.socket.pending_bytes();
    for (n, id) in ["b", "a"].into_iter().enumerate() {
        add_dispatch(&mut connection, id, Some(next_line_start + 10 * n as u64));
    }
    connection
        .load_commands
        .insert(7, Some(next_line_start + 20));
    connection
        .socket
        .write_buffer()
        .extend_from_slice(&[b'x'; 30]);
    connection.requeue_unwritten();
    assert_eq!(connection.socket.pending_bytes(), waiting_before);
    let queued = connection.queue.iter().map(|command| match command {
        QueuedCommand::Dispatch(id) => id.to_string(),
        QueuedCommand::LoadCommand(tag) => tag.to_string(),
        QueuedCommand::Line(_) => panic!("no encoded line was queued"),
    });
    assert_eq!(queued.collect::<Vec<_>>(), ["b", "a", "7"]);
    assert!(
        connection.in_flight[&partially_written]
            .line_start
            .is_some()
            && connection.in_flight["a"].line_start.is_none()
            && connection.load_commands[&7].is_none()
    );
}
