//! Nothing begins for a client that has gone, wherever its invocation waits.

use super::*;
use std::net::Shutdown;

fn dispatch_count(front_end: &mut TestFrontEnd) -> usize {
    front_end
        .executors
        .iter_mut()
        .map(|executor| executor.lines_received("DO", "").len())
        .sum()
}

/// The client has gone: whatever happens for a while, nothing more is dispatched or ordered for it.
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
fn while_it_waits_for_a_load() {
    let mut front_end = TestFrontEnd::new(2, 128, |_| {});
    let mut client = front_end.connect_client();
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("it stands");
    front_end.poll_until("ordered", |front_end| {
        front_end
            .executors
            .iter_mut()
            .any(|executor| !executor.lines_received("PIN", "").is_empty())
    });
    drop(client);
    front_end.poll_until("gone", |front_end| {
        front_end.event_loop.host.clients.is_empty()
    });
    assert_no_new_work(&mut front_end, 0);
}

#[test]
fn while_its_dispatch_is_queued_on_a_connection_being_made() {
    let mut front_end = TestFrontEnd::new(2, 128, disable_load_control);
    let mut client = front_end.connect_client();
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("it stands");
    front_end.poll_until("queued", |front_end| {
        front_end
            .event_loop
            .host
            .pool
            .connections()
            .any(|(_, connection)| !connection.is_connected && !connection.queue.is_empty())
    });
    // Its end is read before the connection is seen to stand.
    client.shutdown(Shutdown::Write).expect("it stands");
    let now = front_end.event_loop.read_clock();
    front_end.event_loop.read_client(now, 0);
    assert_no_new_work(&mut front_end, 0);
}

#[test]
fn while_it_waits_to_be_sent_again() {
    let mut front_end = TestFrontEnd::new(1, 128, disable_load_control);
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "command");
    front_end.executors[executor].respond(connection, "WAIT", &invocation_id(1));
    front_end.poll_until("turned away", |front_end| {
        front_end.event_loop.host.has_no_dispatch_in_flight()
    });
    drop(client);
    front_end.poll_until("gone", |front_end| {
        front_end.event_loop.host.clients.is_empty()
    });
    assert_no_new_work(&mut front_end, 1);
}

#[test]
fn while_it_is_judged_whether_a_broken_connection_was_the_process() {
    let mut front_end = TestFrontEnd::new(2, 128, disable_load_control);
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "read");
    // The executor has two connections; one breaks, which is judged a moment later.
    front_end.poll_until("two of them", |front_end| {
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
            .expect("it is known")
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
    orchidtally_socket_io::break_on_close(&socket);
    drop(socket);
    front_end.poll_until("severed", |front_end| {
        !front_end.event_loop.lost_connections.is_empty()
    });
    drop(client);
    let now = front_end.event_loop.read_clock();
    front_end.event_loop.read_client(now, 0);
    assert!(received.contains("DO") && front_end.event_loop.host.clients.is_empty());
    assert_no_new_work(&mut front_end, 0);
}

#[test]
fn while_it_is_held_until_an_earlier_cancel_has_arrived() {
    let mut front_end = TestFrontEnd::new(2, 128, disable_load_control);
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "read");
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(1));
    front_end.poll_until("answered", |_| !read_frames(&mut client).0.is_empty());
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
    client.write_all(&cancel_and_invocation).expect("it stands");
    front_end.poll_until("held", |front_end| {
        front_end.event_loop.host.has_delayed_dispatches()
    });
    let before = dispatch_count(&mut front_end);
    client.shutdown(Shutdown::Both).expect("it stands");
    let now = front_end.event_loop.read_clock();
    front_end.event_loop.read_client(now, 0);
    assert_no_new_work(&mut front_end, before);
}

/// A reset, and an end within a frame, are ends as well.
#[test]
fn where_it_resets_or_ends_within_a_frame() {
    for resets in [true, false] {
        let mut front_end = TestFrontEnd::new(1, 128, disable_load_control);
        let mut client = front_end.connect_client();
        let (executor, connection) = front_end.invoke(&mut client, 1, "read");
        client
            .write_all(&invocation_frame(2, &invocation_id(2), "read")[..30])
            .expect("it stands");
        if resets {
            orchidtally_socket_io::break_on_close(&client);
        }
        drop(client);
        front_end.poll_until("cancelled", |front_end| {
            front_end.executors[executor].lines_received("UNDO", &invocation_id(1)) == [connection]
        });
        assert_no_new_work(&mut front_end, 1);
    }
}

/// Withdrawn in the turn in which its answer comes: the answer was first, and there is one at the most.
#[test]
fn where_it_is_taken_back_as_its_answer_comes_there_is_one_answer_at_the_most() {
    let mut front_end = TestFrontEnd::new(1, 128, disable_load_control);
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "read");
    let mut frame = vec![];
    protocol::write_frame(&mut frame, protocol::CANCEL, 1, None, None, &[]);
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(1));
    client.write_all(&frame).expect("it stands");
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
