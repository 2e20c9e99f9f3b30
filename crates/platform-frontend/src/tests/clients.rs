//! Clients that disconnect, exhaust the descriptors or stop reading while their invocations are open.

use super::*;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Queues more output for a client than its socket accepts.
fn fill_output_buffer(front_end: &mut TestFrontEnd, slot: usize) {
    let filler = vec![0; 16 << 20];
    front_end.event_loop.host.clients[slot]
        .socket
        .write_buffer()
        .extend_from_slice(&filler);
    front_end.event_loop.host.mark_client_dirty(slot);
    front_end.poll_once();
    assert!(
        front_end.event_loop.host.clients[slot]
            .socket
            .pending_bytes()
            > crate::client_connection::MAX_BACKLOG_BYTES,
        "the client reads nothing"
    );
}

/// Guards against not reading from a client with unread responses, which leaves its cancels and its disconnect
/// unnoticed until the read stall timeout of 3 s.
#[test]
fn cancels_and_disconnects_are_noticed_while_a_client_reads_nothing() {
    for closes in [false, true] {
        let mut front_end = TestFrontEnd::new(1, 128, |_| {});
        let mut client = front_end.connect_client();
        let (executor, connection) = front_end.invoke(&mut client, 1, "read");
        fill_output_buffer(&mut front_end, 0);
        let started = Instant::now();
        if closes {
            client
                .shutdown(Shutdown::Write)
                .expect("the connection is open");
        } else {
            let mut frame = vec![];
            protocol::write_frame(&mut frame, protocol::CANCEL, 1, None, None, &[]);
            client.write_all(&frame).expect("the connection is open");
        }
        front_end.poll_until("the cancel", |front_end| {
            front_end.executors[executor].lines_received("UNDO", &invocation_id(1)) == [connection]
        });
        assert!(
            started.elapsed() < Duration::from_secs(2),
            "well before the read stall timeout: {:?}",
            started.elapsed()
        );
    }
}

/// An invocation that arrives under backpressure is admitted only once the client reads again, and is never dispatched
/// if the client cancels it before.
#[test]
fn invocations_under_backpressure_are_not_admitted_and_can_be_cancelled() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    fill_output_buffer(&mut front_end, 0);
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("the connection is open");
    client
        .write_all(&invocation_frame(2, &invocation_id(2), "read"))
        .expect("the connection is open");
    front_end.poll_until("both invocations to be pending", |front_end| {
        front_end.event_loop.host.clients[0].pending.len() == 2
    });
    let mut frame = vec![];
    protocol::write_frame(&mut frame, protocol::CANCEL, 1, None, None, &[]);
    client.write_all(&frame).expect("the connection is open");
    front_end.poll_until("the cancel", |front_end| {
        front_end.event_loop.host.clients[0].pending.len() == 1
    });
    assert_eq!(
        front_end.event_loop.engine.open_invocations(),
        0,
        "nothing is admitted yet"
    );
    let mut bytes_read = 0;
    let mut bytes = vec![0; 1 << 20];
    front_end.poll_until("an admitted invocation", |front_end| {
        while let Ok(n @ 1..) = client.read(&mut bytes) {
            bytes_read += n;
        }
        front_end.event_loop.engine.open_invocations() > 0
    });
    assert!(bytes_read >= (16 << 20) - crate::client_connection::MAX_BACKLOG_BYTES);
    front_end.await_dispatch(&invocation_id(2));
    assert!(
        front_end.executors[0]
            .lines_received("DO", &invocation_id(1))
            .is_empty()
    );
}

#[test]
fn a_client_that_keeps_sending_without_reading_is_disconnected() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    fill_output_buffer(&mut front_end, 0);
    for n in 1..=40 {
        client
            .write_all(&invocation_frame(n, &invocation_id(n.into()), "read"))
            .expect("the connection is open");
    }
    front_end.poll_until("the close", |front_end| {
        front_end
            .event_loop
            .host
            .clients
            .get(0)
            .is_none_or(|client| client.closing.is_some())
    });
    assert_eq!(front_end.event_loop.engine.open_invocations(), 0);
}

/// Guards against closing a socket with unread input, which resets the connection and can destroy the response with the
/// protocol error.
#[test]
fn a_client_that_keeps_sending_after_a_protocol_error_gets_the_error_and_a_clean_close() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    client
        .write_all(&[0xff; 200 * 1024])
        .expect("the connection is open");
    let mut received = (vec![], None);
    front_end.poll_until("the end of the connection", |_| {
        let (frames, closed) = read_frames(&mut client);
        received.0.extend(frames);
        received.1 = closed;
        closed.is_some()
    });
    assert_eq!(
        received,
        (
            vec![(protocol::RESPONSE, 0, protocol::ERRORED)],
            Some(Ok(()))
        )
    );
    // Further input does not reset the connection, which is closed after the linger time.
    client
        .write_all(&[0xff; 1024])
        .expect("the input is discarded");
    front_end.poll_until("the connection to be closed", |front_end| {
        front_end.event_loop.host.clients.is_empty()
    });
}

/// The open invocations have to be cancelled at the protocol error, not when the connection is closed later.
#[test]
fn a_protocol_error_cancels_the_open_invocations_of_the_client() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "read");
    fill_output_buffer(&mut front_end, 0);
    client
        .write_all(&[0xff; 16])
        .expect("the connection is open");
    let started = Instant::now();
    front_end.poll_until("the cancel", |front_end| {
        front_end.executors[executor].lines_received("UNDO", &invocation_id(1)) == [connection]
    });
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
}

/// Guards against evicting, as the longest idle one, a connection whose invocation has arrived but is not read yet.
#[test]
fn a_connection_with_an_unread_invocation_is_not_evicted_as_idle() {
    let mut front_end = TestFrontEnd::new(1, 48, |_| {});
    let mut first_client = front_end.connect_client();
    let other_clients: Vec<TcpStream> = (1..front_end.event_loop.listener.max_clients())
        .map(|_| front_end.connect_client())
        .collect();
    first_client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("the connection is open");
    // Handles the listener before the client's input is read.
    let extra_client = TcpStream::connect(front_end.address).expect("the front end listens");
    let now = front_end.event_loop.read_clock();
    front_end.event_loop.accept(now);
    assert_eq!(front_end.event_loop.counters.evicted, 1);
    front_end.await_dispatch(&invocation_id(1));
    assert_eq!(
        read_frames(&mut first_client),
        (vec![], None),
        "the connection stays open"
    );
    drop((other_clients, extra_client));
}

/// Guards against hundreds of silent connections that displace well-behaved clients, which are idle between two
/// invocations.
#[test]
fn silent_connections_are_evicted_before_an_idle_client_that_has_sent_frames() {
    let mut front_end = TestFrontEnd::new(1, 48, |_| {});
    let mut regular_client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut regular_client, 1, "read");
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(1));
    front_end.poll_until("the response", |_| {
        !read_frames(&mut regular_client).0.is_empty()
    });
    let silent_clients: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(front_end.address).expect("the front end listens"))
        .collect();
    front_end.poll_until("all connections to be accepted", |front_end| {
        front_end.event_loop.counters.accepted == 101
    });
    assert_eq!(
        read_frames(&mut regular_client),
        (vec![], None),
        "the connection stays open"
    );
    drop(silent_clients);
}

/// Guards against closing an idle, well-behaved client in favor of a new connection while others send invalid
/// invocations at full speed, which makes them look more active.
#[test]
fn clients_that_send_invalid_invocations_are_evicted_before_an_idle_client() {
    let mut front_end = TestFrontEnd::new(1, 48, |_| {});
    let mut regular_client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut regular_client, 1, "read");
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(1));
    front_end.poll_until("the response", |_| {
        !read_frames(&mut regular_client).0.is_empty()
    });
    let max_clients = front_end.event_loop.listener.max_clients();
    let mut invalid_clients: Vec<TcpStream> = (1..max_clients)
        .map(|_| front_end.connect_client())
        .collect();
    for client in &mut invalid_clients {
        client
            .write_all(&invocation_frame(1, "no id", "read"))
            .expect("the connection is open");
    }
    front_end.poll_until("all rejections", |front_end| {
        front_end.event_loop.counters.invalid as usize == max_clients - 1
    });
    let new_clients: Vec<TcpStream> = (0..8).map(|_| front_end.connect_client()).collect();
    assert_eq!(
        read_frames(&mut regular_client),
        (vec![], None),
        "the connection stays open"
    );
    drop((invalid_clients, new_clients));
}

/// Guards against closing a new connection without a response, which counts as a lost invocation.
#[test]
fn a_new_client_is_throttled_if_every_connection_is_busy() {
    let mut front_end = TestFrontEnd::new(1, 48, |_| {});
    let mut busy_clients = vec![];
    for n in 0..front_end.event_loop.listener.max_clients() as u64 {
        let mut client = front_end.connect_client();
        client
            .write_all(&invocation_frame(1, &invocation_id(n + 1), "read"))
            .expect("the connection is open");
        front_end.poll_until("the invocation to be admitted", |front_end| {
            front_end.event_loop.engine.open_invocations() as u64 == n + 1
        });
        busy_clients.push(client);
    }
    let mut new_client = front_end.connect_client();
    new_client
        .write_all(&invocation_frame(1, &invocation_id(99), "read"))
        .expect("the connection is open");
    let mut readiness_query = vec![];
    protocol::write_frame(
        &mut readiness_query,
        protocol::READINESS_QUERY,
        0,
        None,
        Some(&[]),
        &[],
    );
    new_client
        .write_all(&readiness_query)
        .expect("the connection is open");
    let mut received = (vec![], None);
    front_end.poll_until("the end of the connection", |_| {
        let (frames, closed) = read_frames(&mut new_client);
        received.0.extend(frames);
        received.1 = closed;
        closed.is_some()
    });
    received.0.sort();
    assert_eq!(
        received.0,
        [
            (protocol::READINESS, 0, protocol::READY_CODE),
            (protocol::RESPONSE, 1, protocol::THROTTLED)
        ]
    );
    assert_eq!(received.1, Some(Ok(())));
    for client in &mut busy_clients {
        assert_eq!(
            read_frames(client),
            (vec![], None),
            "busy connections stay open"
        );
    }
}

/// Guards against a front end that never becomes ready because it has no executors and no reachable resolver.
#[test]
fn a_front_end_without_executors_becomes_ready_once_the_resolver_is_unreachable() {
    let mut front_end = TestFrontEnd::new(0, 128, |_| {});
    let mut client = front_end.connect_client();
    let mut readiness_query = vec![];
    protocol::write_frame(
        &mut readiness_query,
        protocol::READINESS_QUERY,
        0,
        None,
        Some(&[]),
        &[],
    );
    client
        .write_all(&readiness_query)
        .expect("the connection is open");
    let started = Instant::now();
    let mut codes = vec![];
    front_end.poll_until("readiness", |_| {
        for (_, _, code) in read_frames(&mut client).0 {
            codes.push(code);
            if code == protocol::NOT_READY_CODE {
                client
                    .write_all(&readiness_query)
                    .expect("the connection is open");
            }
        }
        codes.last() == Some(&protocol::READY_CODE)
    });
    assert!(
        started.elapsed() < Duration::from_secs(10),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(
        (codes[0], codes.last()),
        (protocol::NOT_READY_CODE, Some(&protocol::READY_CODE))
    );
}
