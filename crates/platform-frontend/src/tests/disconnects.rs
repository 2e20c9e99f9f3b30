//! No work is started for a disconnected client, whatever its invocation is waiting for.

use super::*;
use std::net::Shutdown;

/// The total number of dispatches that the executors have received.
fn dispatch_count(front_end: &mut TestFrontEnd) -> usize {
    front_end
        .executors
        .iter_mut()
        .map(|executor| executor.lines_received("DO", "").len())
        .sum()
}

/// Polls for a while after the client has disconnected, and checks that nothing more is dispatched or queued for it.
fn assert_no_new_work(front_end: &mut TestFrontEnd, before: usize) {
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(400) {
        front_end.answer_load_commands();
        front_end.poll_once();
    }
    assert_eq!(dispatch_count(front_end), before);
    assert_eq!(front_end.event_loop.engine.open_invocations(), 0);
    assert!(
        front_end.event_loop.host.invocations.is_empty()
            && !front_end.event_loop.host.has_delayed_dispatches()
    );
    assert!(
        front_end
            .event_loop
            .host
            .pool
            .connections()
            .all(|(_, connection)| connection.queue.is_empty() && connection.in_flight.is_empty())
    );
}

fn disable_load_control(settings: &mut Value) {
    settings["specifics"]["loadControl"] = false.into();
}

#[test]
fn disconnect_while_the_invocation_waits_for_a_load() {
    let mut front_end = TestFrontEnd::new(2, 128, |_| {});
    let mut client = front_end.connect_client();
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("the connection is open");
    front_end.poll_until("a load command", |front_end| {
        front_end
            .executors
            .iter_mut()
            .any(|executor| !executor.lines_received("PIN", "").is_empty())
    });
    drop(client);
    front_end.poll_until("the disconnect", |front_end| {
        front_end.event_loop.host.clients.is_empty()
    });
    assert_no_new_work(&mut front_end, 0);
}

#[test]
fn disconnect_while_the_dispatch_is_queued_on_a_pending_connection() {
    let mut front_end = TestFrontEnd::new(2, 128, disable_load_control);
    let mut client = front_end.connect_client();
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("the connection is open");
    front_end.poll_until("a queued dispatch", |front_end| {
        front_end
            .event_loop
            .host
            .pool
            .connections()
            .any(|(_, connection)| !connection.is_connected && !connection.queue.is_empty())
    });
    // Reads the client's disconnect before the executor connection is found to be established.
    client
        .shutdown(Shutdown::Write)
        .expect("the connection is open");
    let now = front_end.event_loop.read_clock();
    front_end.event_loop.read_client(now, 0, now);
    assert_no_new_work(&mut front_end, 0);
}

#[test]
fn disconnect_while_the_invocation_waits_for_a_retry() {
    let mut front_end = TestFrontEnd::new(1, 128, disable_load_control);
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "command");
    front_end.executors[executor].respond(connection, "WAIT", &invocation_id(1));
    front_end.poll_until("the dispatch to be refused", |front_end| {
        front_end.event_loop.host.has_no_dispatch_in_flight()
    });
    drop(client);
    front_end.poll_until("the disconnect", |front_end| {
        front_end.event_loop.host.clients.is_empty()
    });
    assert_no_new_work(&mut front_end, 1);
}

#[test]
fn disconnect_while_a_lost_executor_connection_is_not_yet_reported() {
    let mut front_end = TestFrontEnd::new(2, 128, disable_load_control);
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "read");
    // One of two connections to the executor breaks. The loss is reported only after the reset window.
    front_end.poll_until("two established connections", |front_end| {
        front_end.executors[executor].read();
        let executor_id =
            orchidtally_platform_discovery::executor_id(&front_end.executors[executor].name);
        let _ = front_end.event_loop.host.pool.connection_for(
            front_end.event_loop.host.now(),
            executor_id,
            "another",
        );
        front_end
            .event_loop
            .host
            .pool
            .executor(executor_id)
            .expect("the executor is known")
            .connections
            .iter()
            .filter(|&&slot| {
                front_end
                    .event_loop
                    .host
                    .pool
                    .connection(slot)
                    .is_some_and(|connection| connection.is_connected)
            })
            .count()
            > 1
    });
    let (socket, received) = front_end.executors[executor].connections.remove(connection);
    orchidtally_socket_io::reset_on_close(&socket);
    drop(socket);
    front_end.poll_until("the lost connection", |front_end| {
        !front_end.event_loop.lost_connections.is_empty()
    });
    drop(client);
    let now = front_end.event_loop.read_clock();
    front_end.event_loop.read_client(now, 0, now);
    assert!(received.contains("DO") && front_end.event_loop.host.clients.is_empty());
    assert_no_new_work(&mut front_end, 0);
}

#[test]
fn disconnect_while_the_dispatch_is_delayed_by_an_earlier_cancel() {
    let mut front_end = TestFrontEnd::new(2, 128, disable_load_control);
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "read");
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(1));
    front_end.poll_until("the response", |_| !read_frames(&mut client).0.is_empty());
    front_end.invoke(&mut client, 2, "read");
    let mut cancel_and_invocation = vec![];
    protocol::write_frame(
        &mut cancel_and_invocation,
        protocol::CANCEL,
        2,
        None,
        None,
        &[],
    );
    cancel_and_invocation.extend(invocation_frame(3, &invocation_id(2), "read"));
    client
        .write_all(&cancel_and_invocation)
        .expect("the connection is open");
    front_end.poll_until("a delayed dispatch", |front_end| {
        front_end.event_loop.host.has_delayed_dispatches()
    });
    let before = dispatch_count(&mut front_end);
    client
        .shutdown(Shutdown::Both)
        .expect("the connection is open");
    let now = front_end.event_loop.read_clock();
    front_end.event_loop.read_client(now, 0, now);
    assert_no_new_work(&mut front_end, before);
}

/// A reset, and an end of stream within a frame, count as a disconnect too.
#[test]
fn disconnect_by_a_reset_or_within_a_frame() {
    for resets in [true, false] {
        let mut front_end = TestFrontEnd::new(1, 128, disable_load_control);
        let mut client = front_end.connect_client();
        let (executor, connection) = front_end.invoke(&mut client, 1, "read");
        client
            .write_all(&invocation_frame(2, &invocation_id(2), "read")[..30])
            .expect("the connection is open");
        if resets {
            orchidtally_socket_io::reset_on_close(&client);
        }
        drop(client);
        front_end.poll_until("the cancel", |front_end| {
            front_end.executors[executor].lines_received("UNDO", &invocation_id(1)) == [connection]
        });
        assert_no_new_work(&mut front_end, 1);
    }
}

/// The cancel and the executor's response arrive in the same poll: the client gets the response or nothing, never two
/// responses.
#[test]
fn a_cancel_that_races_with_the_response_yields_at_most_one_response() {
    let mut front_end = TestFrontEnd::new(1, 128, disable_load_control);
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "read");
    let mut frame = vec![];
    protocol::write_frame(&mut frame, protocol::CANCEL, 1, None, None, &[]);
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(1));
    client.write_all(&frame).expect("the connection is open");
    let mut received = vec![];
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(200) {
        front_end.poll_once();
        received.extend(read_frames(&mut client).0);
    }
    assert!(
        received.is_empty() || received == [(protocol::RESPONSE, 1, protocol::SUCCEEDED)],
        "{received:?}"
    );
    assert_no_new_work(&mut front_end, 1);
}

/// Guards against dispatching what a client sent ahead of the end of its connection, when more input is unread than one
/// turn takes.
#[test]
fn invocations_that_wait_ahead_of_the_end_of_a_connection_are_not_dispatched() {
    const READINESS_QUERIES: u32 = 2_000;
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    let mut sent = vec![];
    for n in 1..=5 {
        sent.extend(invocation_frame(n, &invocation_id(n.into()), "read"));
    }
    for _ in 0..READINESS_QUERIES {
        protocol::write_frame(
            &mut sent,
            protocol::READINESS_QUERY,
            0,
            None,
            Some(&[]),
            &[],
        );
    }
    client.write_all(&sent).expect("the connection is open");
    drop(client);
    front_end.poll_until("the end of the connection", |front_end| {
        front_end.event_loop.host.clients.is_empty()
    });
    assert_eq!(front_end.event_loop.engine.counters().admitted, 0);
}

/// Guards against running an id twice that comes again after its client has left while it ran.
#[test]
fn an_id_that_may_have_run_is_not_dispatched_again_once_its_client_has_left() {
    for trigger_type in ["command", "update"] {
        let mut front_end = TestFrontEnd::new(1, 128, |_| {});
        let mut client = front_end.connect_client();
        front_end.invoke(&mut client, 1, trigger_type);
        drop(client);
        front_end.poll_until("the disconnect", |front_end| {
            front_end.event_loop.host.clients.is_empty()
        });
        let before = dispatch_count(&mut front_end);
        let mut next_client = front_end.connect_client();
        next_client
            .write_all(&invocation_frame(1, &invocation_id(1), trigger_type))
            .expect("the connection is open");
        let mut received = vec![];
        front_end.poll_until("an answer", |_| {
            received.extend(read_frames(&mut next_client).0);
            !received.is_empty()
        });
        assert_eq!(received, [(protocol::RESPONSE, 1, protocol::ERRORED)]);
        assert_no_new_work(&mut front_end, before);
    }
}

/// An id may come again if its invocation may run twice.
#[test]
fn an_id_that_may_run_again_is_dispatched_again() {
    let mut front_end = TestFrontEnd::new(1, 128, |_| {});
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "read");
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(1));
    front_end.poll_until("the response", |_| !read_frames(&mut client).0.is_empty());
    let before = dispatch_count(&mut front_end);
    client
        .write_all(&invocation_frame(2, &invocation_id(1), "read"))
        .expect("the connection is open");
    front_end.poll_until("another dispatch", |front_end| {
        dispatch_count(front_end) > before
    });
}
