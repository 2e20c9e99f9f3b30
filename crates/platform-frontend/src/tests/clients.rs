//! Clients that leave, fill the descriptors, or read nothing, while something of theirs is under way.

use super::*;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Gives a client more to read than its socket takes.
fn fill_output_buffer(front_end: &mut TestFrontEnd, slot: usize) {
    let filler = vec![0; 16 << 20];
    front_end.event_loop.host.clients[slot]
        .socket
        .out()
        .extend_from_slice(&filler);
    front_end.event_loop.host.mark_client_dirty(slot);
    front_end.poll_once();
    assert!(
        front_end.event_loop.host.clients[slot].socket.waiting()
            > crate::client_connection::MAX_BACKLOG_BYTES,
        "it reads nothing"
    );
}

/// A client with unread answers was not read, so that nobody saw it leave for 3 s.
#[test]
fn a_client_that_reads_nothing_is_still_seen_to_take_back_and_to_leave() {
    for closes in [false, true] {
        let mut front_end = TestFrontEnd::new(1, 128, |_| {});
        let mut client = front_end.connect_client();
        let (executor, connection) = front_end.invoke(&mut client, 1, "read");
        fill_output_buffer(&mut front_end, 0);
        let started = Instant::now();
        if closes {
            client.shutdown(Shutdown::Write).expect("it stands");
        } else {
            let mut frame = vec![];
            protocol::write_frame(&mut frame, protocol::CANCEL, 1, None, None, &[]);
            client.write_all(&frame).expect("it stands");
        }
        front_end.poll_until("cancelled", |front_end| {
            front_end.executors[executor].lines_received("UNDO", &invocation_id(1)) == [connection]
        });
        assert!(
            started.elapsed() < Duration::from_secs(2),
            "long before it counts as stalled: {:?}",
            started.elapsed()
        );
    }
}

/// What it asks meanwhile is not taken before it reads, and taken back is never sent.
#[test]
fn what_a_client_asks_while_it_reads_nothing_waits_and_may_be_taken_back() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    fill_output_buffer(&mut front_end, 0);
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("it stands");
    client
        .write_all(&invocation_frame(2, &invocation_id(2), "read"))
        .expect("it stands");
    front_end.poll_until("read", |front_end| {
        front_end.event_loop.host.clients[0].pending.len() == 2
    });
    let mut frame = vec![];
    protocol::write_frame(&mut frame, protocol::CANCEL, 1, None, None, &[]);
    client.write_all(&frame).expect("it stands");
    front_end.poll_until("taken back", |front_end| {
        front_end.event_loop.host.clients[0].pending.len() == 1
    });
    assert_eq!(
        front_end.event_loop.engine.open_invocations(),
        0,
        "nothing is taken yet"
    );
    let mut bytes_read = 0;
    let mut bytes = vec![0; 1 << 20];
    front_end.poll_until("taken", |front_end| {
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
fn a_client_that_asks_on_and_on_and_reads_nothing_is_ended() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    fill_output_buffer(&mut front_end, 0);
    for n in 1..=40 {
        client
            .write_all(&invocation_frame(n, &invocation_id(n.into()), "read"))
            .expect("it stands");
    }
    front_end.poll_until("ended", |front_end| {
        front_end
            .event_loop
            .host
            .clients
            .get(0)
            .is_none_or(|client| client.closing.is_some())
    });
    assert_eq!(front_end.event_loop.engine.open_invocations(), 0);
}

/// Closed with bytes unread it was reset, which can destroy the answer that tells what was wrong.
#[test]
fn a_client_that_sends_on_after_what_cannot_be_read_hears_why_and_an_end() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    client.write_all(&[0xff; 200 * 1024]).expect("it stands");
    let mut received = (vec![], None);
    front_end.poll_until("an end", |_| {
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
    // What it sends after that resets nothing, and it is let go of.
    client.write_all(&[0xff; 1024]).expect("it is read over");
    front_end.poll_until("closed", |front_end| {
        front_end.event_loop.host.clients.is_empty()
    });
}

/// What it has open is nobody's any more at once, not when it is closed.
#[test]
fn an_invocation_of_a_client_that_then_sends_noise_is_cancelled() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "read");
    fill_output_buffer(&mut front_end, 0);
    client.write_all(&[0xff; 16]).expect("it stands");
    let started = Instant::now();
    front_end.poll_until("cancelled", |front_end| {
        front_end.executors[executor].lines_received("UNDO", &invocation_id(1)) == [connection]
    });
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
}

/// Its invocation had come, and nobody had read it yet, when its connection was taken for the longest idle.
#[test]
fn a_connection_with_an_invocation_in_it_does_not_make_way_as_idle() {
    let mut front_end = TestFrontEnd::new(1, 48, |_| {});
    let mut first_client = front_end.connect_client();
    let other_clients: Vec<TcpStream> = (1..front_end.event_loop.listener.max_clients())
        .map(|_| front_end.connect_client())
        .collect();
    first_client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("it stands");
    // The listener comes before the client in this turn.
    let extra_client = TcpStream::connect(front_end.address).expect("it listens");
    let now = front_end.event_loop.read_clock();
    front_end.event_loop.accept(now);
    assert_eq!(front_end.event_loop.counters.evicted, 1);
    front_end.await_dispatch(&invocation_id(1));
    assert_eq!(read_frames(&mut first_client), (vec![], None), "it stands");
    drop((other_clients, extra_client));
}

/// Hundreds of silent connections at once drove out usual clients that were idle between two invocations.
#[test]
fn silent_connections_make_way_for_one_another_before_a_usual_client_does() {
    let mut front_end = TestFrontEnd::new(1, 48, |_| {});
    let mut regular_client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut regular_client, 1, "read");
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(1));
    front_end.poll_until("answered", |_| {
        !read_frames(&mut regular_client).0.is_empty()
    });
    let silent_clients: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(front_end.address).expect("it listens"))
        .collect();
    front_end.poll_until("taken", |front_end| {
        front_end.event_loop.counters.accepted == 101
    });
    assert_eq!(
        read_frames(&mut regular_client),
        (vec![], None),
        "it stands"
    );
    drop(silent_clients);
}

/// A new connection was closed without a word, which counts as lost.
#[test]
fn where_every_connection_is_busy_a_new_one_hears_that_there_is_no_room() {
    let mut front_end = TestFrontEnd::new(1, 48, |_| {});
    let mut busy_clients = vec![];
    for n in 0..front_end.event_loop.listener.max_clients() as u64 {
        let mut client = front_end.connect_client();
        client
            .write_all(&invocation_frame(1, &invocation_id(n + 1), "read"))
            .expect("it stands");
        front_end.poll_until("taken", |front_end| {
            front_end.event_loop.engine.open_invocations() as u64 == n + 1
        });
        busy_clients.push(client);
    }
    let mut new_client = front_end.connect_client();
    new_client
        .write_all(&invocation_frame(1, &invocation_id(99), "read"))
        .expect("it stands");
    let mut readiness_query = vec![];
    protocol::write_frame(
        &mut readiness_query,
        protocol::READINESS_QUERY,
        0,
        None,
        Some(&[]),
        &[],
    );
    new_client.write_all(&readiness_query).expect("it stands");
    let mut received = (vec![], None);
    front_end.poll_until("an end", |_| {
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
        assert_eq!(read_frames(client), (vec![], None), "who is busy stays");
    }
}

/// With nobody to tell of any executor it said that it was not ready, for good.
#[test]
fn with_nothing_known_and_no_resolver_it_is_ready_after_a_while() {
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
    client.write_all(&readiness_query).expect("it stands");
    let started = Instant::now();
    let mut codes = vec![];
    front_end.poll_until("ready", |_| {
        for (_, _, code) in read_frames(&mut client).0 {
            codes.push(code);
            if code == protocol::NOT_READY_CODE {
                client.write_all(&readiness_query).expect("it stands");
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
