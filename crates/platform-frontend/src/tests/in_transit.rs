//! Endpoint lists, responses and lost connections that arrive while a dispatch or load command is in transit.

use super::*;
use EndpointState::{Draining, Ready};

/// Sends an invocation and polls until its dispatch or load command is queued on a connection that is being
/// established. Returns the executor.
fn invoke_on_pending_connection(
    front_end: &mut TestFrontEnd,
    client: &mut TcpStream,
) -> ExecutorId {
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("the connection is open");
    let connections = |front_end: &TestFrontEnd| {
        front_end
            .event_loop
            .host
            .pool
            .connections()
            .find(|(_, connection)| !connection.is_connected)
            .map(|(_, connection)| (connection.executor_id, connection.queue.len()))
    };
    front_end.poll_until("a queued command", |front_end| {
        connections(front_end).is_some_and(|(_, queued)| queued > 0)
    });
    connections(front_end)
        .expect("a connection is being established")
        .0
}

/// Starts a front end, without load control, that has a connection to one executor which has served the function.
fn front_end_with_warm_executor(executor_count: usize) -> (TestFrontEnd, TcpStream) {
    let mut front_end = TestFrontEnd::new(executor_count, 128, |settings| {
        settings["specifics"]["loadControl"] = false.into()
    });
    let mut client = front_end.connect_client();
    client
        .write_all(&invocation_frame(1, &invocation_id(100), "read"))
        .expect("the connection is open");
    let (executor, connection) = front_end.await_dispatch(&invocation_id(100));
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(100));
    front_end.poll_until("the response", |_| !read_frames(&mut client).0.is_empty());
    (front_end, client)
}

fn connections_to(front_end: &TestFrontEnd, executor_id: ExecutorId) -> Vec<usize> {
    let executor = front_end.event_loop.host.pool.executor(executor_id);
    executor.expect("the executor is known").connections.clone()
}

fn index_of_executor(front_end: &TestFrontEnd, executor_id: ExecutorId) -> usize {
    front_end
        .executors
        .iter()
        .position(|executor| {
            orchidtally_platform_discovery::executor_id(&executor.name) == executor_id
        })
        .expect("the executor exists")
}

/// Guards against sending a load command that was valid when it was issued, but whose executor is draining by the time
/// the connection is established.
#[test]
fn a_load_command_on_a_pending_connection_is_withheld_once_its_executor_drains() {
    let mut front_end = TestFrontEnd::new(2, 128, |_| {});
    let mut client = front_end.connect_client();
    let first_executor_id = invoke_on_pending_connection(&mut front_end, &mut client);
    let executor = index_of_executor(&front_end, first_executor_id);
    let endpoints = [
        (executor, Draining, front_end.executors[executor].address),
        (
            1 - executor,
            Ready,
            front_end.executors[1 - executor].address,
        ),
    ];
    front_end.apply_list(&endpoints);
    let (target, _) = front_end.await_dispatch(&invocation_id(1));
    assert_eq!(target, 1 - executor);
    let draining = &mut front_end.executors[executor];
    assert_eq!(
        (
            draining.load_commands_answered,
            draining.lines_received("DO", "").len()
        ),
        (0, 0)
    );
    assert!(
        front_end.executors[1 - executor].load_commands_answered > 0,
        "a load command was queued first"
    );
}

#[test]
fn a_dispatch_on_a_pending_connection_is_withheld_once_its_executor_drains() {
    let mut front_end = TestFrontEnd::new(2, 128, |settings| {
        settings["specifics"]["loadControl"] = false.into()
    });
    let mut client = front_end.connect_client();
    let first_executor_id = invoke_on_pending_connection(&mut front_end, &mut client);
    let executor = index_of_executor(&front_end, first_executor_id);
    let endpoints = [
        (executor, Draining, front_end.executors[executor].address),
        (
            1 - executor,
            Ready,
            front_end.executors[1 - executor].address,
        ),
    ];
    front_end.apply_list(&endpoints);
    assert_eq!(front_end.await_dispatch(&invocation_id(1)).0, 1 - executor);
    assert!(
        front_end.executors[executor]
            .lines_received("DO", "")
            .is_empty()
    );
}

/// Guards against sending queued commands to a different executor that has taken over the address.
#[test]
fn commands_queued_for_an_executor_that_moves_go_to_its_new_address() {
    let mut front_end = TestFrontEnd::new(2, 128, |settings| {
        settings["specifics"]["loadControl"] = false.into()
    });
    let mut client = front_end.connect_client();
    let first_executor_id = invoke_on_pending_connection(&mut front_end, &mut client);
    let executor = index_of_executor(&front_end, first_executor_id);
    // The two executors swap their addresses.
    let endpoints = [
        (executor, Ready, front_end.executors[1 - executor].address),
        (1 - executor, Ready, front_end.executors[executor].address),
    ];
    front_end.apply_list(&endpoints);
    let (target, _) = front_end.await_dispatch(&invocation_id(1));
    assert_eq!(target, 1 - executor, "the listener at its new address");
    assert!(
        front_end.executors[executor]
            .lines_received("DO", "")
            .is_empty()
    );
}

/// Guards against outdated lines: an executor that has stopped reading would receive them as soon as it reads again.
#[test]
fn commands_that_the_kernel_did_not_accept_are_revalidated_before_they_are_written() {
    let (mut front_end, mut client) = front_end_with_warm_executor(2);
    let executor_id = front_end
        .event_loop
        .host
        .pool
        .connections()
        .next()
        .expect("a connection is open")
        .1
        .executor_id;
    let executor = index_of_executor(&front_end, executor_id);
    // Fills the kernel's buffers of connections that the executor does not read.
    for slot in connections_to(&front_end, executor_id) {
        let socket = &mut front_end
            .event_loop
            .host
            .pool
            .connection_mut(slot)
            .expect("the connection is open")
            .socket;
        while socket.pending_bytes() == 0 {
            socket.write_buffer().extend_from_slice(&[b' '; 4096]);
            socket.flush().expect("the connection is open");
        }
    }
    client
        .write_all(&invocation_frame(2, &invocation_id(2), "read"))
        .expect("the connection is open");
    front_end.poll_until("the second dispatch", |front_end| {
        front_end.event_loop.engine.counters().dispatches == 2
    });
    let endpoints = [
        (executor, Draining, front_end.executors[executor].address),
        (
            1 - executor,
            Ready,
            front_end.executors[1 - executor].address,
        ),
    ];
    front_end.apply_list(&endpoints);
    // The executor reads again, and the invocation goes to the other one.
    assert_eq!(front_end.await_dispatch(&invocation_id(2)).0, 1 - executor);
    assert!(
        front_end.executors[executor]
            .lines_received("DO", &invocation_id(2))
            .is_empty()
    );
}

/// Guards against attributing a duplicate response to the next dispatch, which would then count as never run.
#[test]
fn a_duplicate_response_is_not_attributed_to_the_next_dispatch() {
    let (mut front_end, mut client) = front_end_with_warm_executor(1);
    client
        .write_all(&invocation_frame(2, &invocation_id(1), "command"))
        .expect("the connection is open");
    let (executor, connection) = front_end.await_dispatch(&invocation_id(1));
    front_end.executors[executor].respond(connection, "WAIT", &invocation_id(1));
    front_end.poll_until("the second dispatch", |front_end| {
        front_end.executors[executor]
            .lines_received("DO", &invocation_id(1))
            .len()
            == 2
    });
    // The duplicate arrives late, over the connection of the first dispatch.
    front_end.executors[executor].respond(connection, "WAIT", &invocation_id(1));
    let sent = front_end.executors[executor].lines_received("DO", &invocation_id(1));
    let second_connection = sent
        .into_iter()
        .find(|&other| other != connection)
        .expect("the dispatch is sent on another connection");
    front_end.executors[executor].respond(second_connection, "DONE", &invocation_id(1));
    let mut responses = vec![];
    front_end.poll_until("the response", |_| {
        responses.extend(read_frames(&mut client).0);
        !responses.is_empty()
    });
    assert_eq!(responses, [(protocol::RESPONSE, 2, protocol::SUCCEEDED)]);
    assert_eq!(
        front_end.executors[executor]
            .lines_received("DO", &invocation_id(1))
            .len(),
        2,
        "a non-idempotent invocation has one dispatch in flight at a time"
    );
}

/// Guards against losing a response that the executor sent before a reset, if a write meets the reset before the
/// response is read.
#[test]
fn a_response_sent_before_a_reset_is_read_if_a_write_fails_first() {
    let mut front_end = TestFrontEnd::new(1, 128, |settings| {
        settings["specifics"]["loadControl"] = false.into()
    });
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "command");
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(1));
    let (socket, _) = front_end.executors[executor].connections.remove(connection);
    orchidtally_socket_io::reset_on_close(&socket);
    drop(socket);
    // Queues output, so that the connection is written before it is read.
    let executor_id =
        orchidtally_platform_discovery::executor_id(&front_end.executors[executor].name);
    let now = front_end.event_loop.read_clock();
    for slot in connections_to(&front_end, executor_id) {
        front_end
            .event_loop
            .host
            .pool
            .connection_mut(slot)
            .expect("the connection is open")
            .queue
            .push_back(crate::executor_connection::QueuedCommand::Line(
                b"\n".to_vec(),
            ));
        front_end.event_loop.host.pool.mark_dirty(slot);
    }
    front_end.event_loop.flush_all(now);
    let mut responses = vec![];
    front_end.poll_until("the response", |_| {
        responses.extend(read_frames(&mut client).0);
        !responses.is_empty()
    });
    assert_eq!(responses, [(protocol::RESPONSE, 1, protocol::SUCCEEDED)]);
}

/// Guards against forgetting that the cancel of an earlier invocation with the same id may still be in transit.
#[test]
fn an_invocation_id_reused_right_after_a_cancel_waits_for_the_cancel() {
    let (mut front_end, mut client) = front_end_with_warm_executor(2);
    client
        .write_all(&invocation_frame(2, &invocation_id(1), "read"))
        .expect("the connection is open");
    front_end.await_dispatch(&invocation_id(1));
    let mut cancel_and_invocation = vec![];
    protocol::write_frame(
        &mut cancel_and_invocation,
        protocol::CANCEL,
        2,
        None,
        None,
        &[],
    );
    cancel_and_invocation.extend(invocation_frame(101, &invocation_id(1), "read"));
    client
        .write_all(&cancel_and_invocation)
        .expect("the connection is open");
    front_end.poll_until("the third admission", |front_end| {
        front_end.event_loop.engine.counters().admitted == 3
    });
    assert!(
        front_end.event_loop.host.has_delayed_dispatches(),
        "no dispatch is sent in the poll that abandons the first one"
    );
    let sent = |front_end: &mut TestFrontEnd| {
        front_end
            .executors
            .iter_mut()
            .map(|executor| executor.lines_received("DO", &invocation_id(1)).len())
            .sum::<usize>()
    };
    front_end.poll_until("the second dispatch", |front_end| sent(front_end) == 2);
}

/// A connection past its idle timeout is not used, because the executor may already be closing it.
#[test]
fn a_connection_past_its_idle_timeout_accepts_no_dispatch_before_it_is_closed() {
    let mut front_end = TestFrontEnd::new(1, 128, |settings| {
        settings["specifics"]["loadControl"] = false.into()
    });
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "read");
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(1));
    front_end.poll_until("the response", |_| !read_frames(&mut client).0.is_empty());
    // Dates the last use back by 14 s, and disables the sweep that would close the idle connection.
    let before = front_end.event_loop.read_clock() - 14.0;
    let pool = &mut front_end.event_loop.host.pool;
    let slots: Vec<usize> = pool.connections().map(|(slot, _)| slot).collect();
    for slot in slots {
        pool.connection_mut(slot)
            .expect("the connection is open")
            .idle_since = before;
    }
    front_end.event_loop.maintenance.postpone_sweeps();
    let (_, other) = front_end.invoke(&mut client, 2, "read");
    assert_ne!(other, connection);
}
