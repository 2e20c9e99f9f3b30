//! Which connection takes what, and what its end proves.

use super::*;
use std::io::Read;
use std::net::TcpListener;

fn connection() -> (ExecutorConnection, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("it is bound")).expect("begun");
    let (peer, _) = listener.accept().expect("it comes");
    let mut connection = ExecutorConnection::new(
        orchidtally_platform_discovery::executor_id("s-1"),
        stream,
        0.0,
        0.25,
    );
    connection.is_connected = true;
    (connection, peer)
}

fn takes(connection: &ExecutorConnection, id: &str) -> bool {
    connection.can_carry(id, 32, 1.0, 15.0)
}

fn put(connection: &mut ExecutorConnection, id: &str, from: Option<u64>) -> Rc<str> {
    let id: Rc<str> = id.into();
    connection.open.insert(
        id.clone(),
        InFlightDispatch {
            key: DispatchKey {
                invocation: 1,
                number: 0,
            },
            sent_at: 1.0,
            line_start: from,
        },
    );
    id
}

/// A late answer to a dispatch that was given up must not pass for that of the next with the same id.
#[test]
fn an_id_given_up_goes_over_another_connection_until_its_answer_has_come() {
    let (mut connection, _peer) = connection();
    let id = put(&mut connection, "a", Some(0));
    assert!(!takes(&connection, "a"), "it is open there");
    assert!(connection.abandon(&id));
    assert!(!takes(&connection, "a") && takes(&connection, "b"));
    connection.forget_abandoned("a");
    assert!(takes(&connection, "a"));
    let id = put(&mut connection, "a", None);
    connection
        .queue
        .push_back(QueuedCommand::Dispatch(id.clone()));
    assert!(!connection.abandon(&id), "a queued one is just taken back");
    assert!(connection.queue.is_empty() && takes(&connection, "a"));
    for n in 0..MAX_ABANDONED_IDS {
        let id = put(&mut connection, &format!("{n}"), Some(0));
        assert!(!connection.is_retired);
        connection.abandon(&id);
    }
    assert!(connection.is_retired, "ids given up are bounded");
}

#[test]
fn a_connection_used_lately_comes_before_one_long_idle_and_a_busier_one_after_both() {
    let ((mut late, _a), (mut idle, _b), (mut busy, _c), (mut begun, _d)) =
        (connection(), connection(), connection(), connection());
    (late.idle_since, idle.idle_since, begun.is_connected) = (5.0, 1.0, false);
    put(&mut busy, "a", Some(0));
    let mut all = [
        ("begun", begun.preference()),
        ("busy", busy.preference()),
        ("idle", idle.preference()),
        ("late", late.preference()),
    ];
    all.sort_by_key(|r| r.1);
    assert_eq!(all.map(|r| r.0), ["late", "idle", "busy", "begun"]);
}

#[test]
fn a_connection_lost_on_the_way_is_no_executors_fault() {
    let (mut connection, _peer) = connection();
    put(&mut connection, "a", Some(0));
    put(&mut connection, "b", Some(9));
    connection
        .open
        .values_mut()
        .filter(|o| o.line_start == Some(9))
        .for_each(|o| o.sent_at = 2.0);
    let verdicts = |connection: &ExecutorConnection, seen| {
        connection
            .attribute_failures(seen)
            .map(|(o, v)| (o.line_start, v))
            .collect::<Vec<_>>()
    };
    let at_fault = [
        (Some(0), TransportOutcome::MalformedResponse),
        (Some(9), TransportOutcome::ClosedForOtherDispatch),
    ];
    let lost = [
        (Some(0), TransportOutcome::ClosedForOtherDispatch),
        (Some(9), TransportOutcome::ClosedForOtherDispatch),
    ];
    assert_eq!(
        verdicts(&connection, TransportOutcome::ConnectionLost),
        at_fault,
        "nothing ever came"
    );
    connection.has_answered = true;
    assert_eq!(
        verdicts(&connection, TransportOutcome::ConnectionLost),
        lost
    );
    assert_eq!(
        verdicts(&connection, TransportOutcome::MalformedResponse),
        at_fault
    );
}

#[test]
fn only_what_the_kernel_never_got_is_unwritten() {
    let (mut connection, mut peer) = connection();
    connection
        .socket
        .write_buffer()
        .extend_from_slice(b"first\n");
    connection.socket.flush().expect("it takes six bytes");
    assert!(!connection.is_unwritten(Some(0)) && !connection.is_unwritten(Some(5)));
    assert!(connection.is_unwritten(Some(6)) && connection.is_unwritten(None));
    let mut there = [0; 6];
    peer.read_exact(&mut there).expect("it came");
    assert_eq!(&there, b"first\n");
    connection.is_connected = false;
    assert!(
        connection.is_unwritten(Some(0)),
        "without a connection nothing is"
    );
}

#[test]
fn half_a_line_and_idleness_end_a_connection_and_work_does_not() {
    let (mut connection, _peer) = connection();
    assert_eq!(
        connection.close_reason(13.0, 15.0),
        None,
        "one in use every ten seconds or so is kept"
    );
    assert_eq!(
        connection.close_reason(14.0, 15.0),
        Some(CloseReason {
            evidence: TransportOutcome::ConnectionLost,
            text: "idle",
        })
    );
    put(&mut connection, "a", Some(0));
    assert_eq!(connection.close_reason(100.0, 15.0), None);
    connection.decoder.push(b"{\"t\":");
    connection.record_read(100.0);
    assert_eq!(connection.close_reason(100.4, 15.0), None);
    connection.decoder.push(b"\"DO");
    connection.record_read(100.4);
    assert!(
        connection.close_reason(100.6, 15.0).is_some(),
        "the time runs from its first byte"
    );
    connection.is_connected = false;
    assert_eq!(connection.close_reason(0.2, 15.0), None);
    assert!(connection.close_reason(0.3, 15.0).is_some());
}

/// Lines of which the kernel got no byte go back, in their order; one that has begun to leave stays.
#[test]
fn what_the_kernel_took_nothing_of_is_taken_back_in_its_order() {
    let (mut connection, _peer) = connection();
    while connection.socket.pending_bytes() == 0 {
        connection
            .socket
            .write_buffer()
            .extend_from_slice(&[b' '; 1 << 20]);
        connection.socket.flush().expect("it stands");
    }
    let written = connection.socket.bytes_written();
    let begun = put(&mut connection, "z", Some(written - 1));
    let at = connection.socket.bytes_written() + connection.socket.pending_bytes() as u64;
    let kept = connection.socket.pending_bytes();
    for (n, id) in ["b", "a"].into_iter().enumerate() {
        put(&mut connection, id, Some(at + 10 * n as u64));
    }
    connection.load_commands.insert(7, Some(at + 20));
    connection
        .socket
        .write_buffer()
        .extend_from_slice(&[b'x'; 30]);
    connection.requeue_unwritten();
    assert_eq!(connection.socket.pending_bytes(), kept);
    let queued = connection.queue.iter().map(|q| match q {
        QueuedCommand::Dispatch(id) => id.to_string(),
        QueuedCommand::LoadCommand(tag) => tag.to_string(),
        QueuedCommand::Line(_) => panic!("no line was there"),
    });
    assert_eq!(queued.collect::<Vec<_>>(), ["b", "a", "7"]);
    assert!(
        connection.open[&begun].line_start.is_some()
            && connection.open["a"].line_start.is_none()
            && connection.load_commands[&7].is_none()
    );
}
