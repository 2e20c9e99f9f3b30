//! Lists, answers, ends of connections, while a dispatch or an order is on its way.

use super::*;
use EndpointState::{Draining, Ready};

/// Sends an invocation and turns until its dispatch, or its order, is queued on a connection that is being made.
fn queued(front_end: &mut TestFrontEnd, client: &mut TcpStream) -> ExecutorId {
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("it stands");
    let connections = |front_end: &TestFrontEnd| {
        front_end
            .event_loop
            .host
            .pool
            .connections()
            .find(|(_, connection)| !connection.is_connected)
            .map(|(_, connection)| (connection.executor_id, connection.queue.len()))
    };
    front_end.poll_until("queued", |front_end| {
        connections(front_end).is_some_and(|(_, queued)| queued > 0)
    });
    connections(front_end).expect("it is there").0
}

/// An executor is known to serve the function.
fn warm(executors: usize) -> (TestFrontEnd, TcpStream) {
    let mut front_end = TestFrontEnd::new(executors, 128, |settings| {
        settings["specifics"]["loadControl"] = false.into()
    });
    let mut client = front_end.connect_client();
    client
        .write_all(&invocation_frame(1, &invocation_id(100), "read"))
        .expect("it stands");
    let (executor, connection) = front_end.await_dispatch(&invocation_id(100));
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(100));
    front_end.poll_until("answered", |_| !read_frames(&mut client).0.is_empty());
    (front_end, client)
}

fn connections_to(front_end: &TestFrontEnd, executor_id: ExecutorId) -> Vec<usize> {
    let executor = front_end.event_loop.host.pool.executor(executor_id);
    executor.expect("it is known").connections.clone()
}

fn index_of_executor(front_end: &TestFrontEnd, executor_id: ExecutorId) -> usize {
    front_end
        .executors
        .iter()
        .position(|executor| {
            orchidtally_platform_discovery::executor_id(&executor.name) == executor_id
        })
        .expect("it is one of them")
}

/// What was allowed when it was decided left for an executor told draining by then, as long as its connection took
/// to be made.
#[test]
fn an_order_on_a_connection_being_made_does_not_leave_once_its_executor_drains() {
    let mut front_end = TestFrontEnd::new(2, 128, |_| {});
    let mut client = front_end.connect_client();
    let first_executor_id = queued(&mut front_end, &mut client);
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
        "it was an order that waited"
    );
}

#[test]
fn a_dispatch_on_a_connection_being_made_does_not_leave_once_its_executor_drains() {
    let mut front_end = TestFrontEnd::new(2, 128, |settings| {
        settings["specifics"]["loadControl"] = false.into()
    });
    let mut client = front_end.connect_client();
    let first_executor_id = queued(&mut front_end, &mut client);
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

/// It went to whoever had taken over the address.
#[test]
fn what_is_queued_for_an_executor_that_moves_goes_to_its_new_address() {
    let mut front_end = TestFrontEnd::new(2, 128, |settings| {
        settings["specifics"]["loadControl"] = false.into()
    });
    let mut client = front_end.connect_client();
    let first_executor_id = queued(&mut front_end, &mut client);
    let executor = index_of_executor(&front_end, first_executor_id);
    // The other stands at the first one's address from now on, and the other way round.
    let endpoints = [
        (executor, Ready, front_end.executors[1 - executor].address),
        (1 - executor, Ready, front_end.executors[executor].address),
    ];
    front_end.apply_list(&endpoints);
    let (target, _) = front_end.await_dispatch(&invocation_id(1));
    assert_eq!(target, 1 - executor, "the peer at its new address");
    assert!(
        front_end.executors[executor]
            .lines_received("DO", "")
            .is_empty()
    );
}

/// An executor that reads nothing: lines made long before left for it whenever it read again.
#[test]
fn what_the_kernel_does_not_take_is_asked_about_again_as_it_leaves() {
    let (mut front_end, mut client) = warm(2);
    let executor_id = front_end
        .event_loop
        .host
        .pool
        .connections()
        .next()
        .expect("one that stands")
        .1
        .executor_id;
    let executor = index_of_executor(&front_end, executor_id);
    // Nobody reads there until the kernel takes no byte more.
    for slot in connections_to(&front_end, executor_id) {
        let socket = &mut front_end
            .event_loop
            .host
            .pool
            .connection_mut(slot)
            .expect("it stands")
            .socket;
        while socket.waiting() == 0 {
            socket.out().extend_from_slice(&[b' '; 4096]);
            socket.flush().expect("it stands");
        }
    }
    client
        .write_all(&invocation_frame(2, &invocation_id(2), "read"))
        .expect("it stands");
    front_end.poll_until("queued", |front_end| {
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
    // It reads again; the invocation goes to the other.
    assert_eq!(front_end.await_dispatch(&invocation_id(2)).0, 1 - executor);
    assert!(
        front_end.executors[executor]
            .lines_received("DO", &invocation_id(2))
            .is_empty()
    );
}

/// A second answer to the first dispatch was taken for one to the next, which then counted as never run.
#[test]
fn a_second_answer_is_not_taken_for_one_to_the_next_dispatch() {
    let (mut front_end, mut client) = warm(1);
    client
        .write_all(&invocation_frame(2, &invocation_id(1), "command"))
        .expect("it stands");
    let (executor, connection) = front_end.await_dispatch(&invocation_id(1));
    front_end.executors[executor].respond(connection, "WAIT", &invocation_id(1));
    front_end.poll_until("sent again", |front_end| {
        front_end.executors[executor]
            .lines_received("DO", &invocation_id(1))
            .len()
            == 2
    });
    // The second one comes late, by whichever connection the first went over.
    front_end.executors[executor].respond(connection, "WAIT", &invocation_id(1));
    let sent = front_end.executors[executor].lines_received("DO", &invocation_id(1));
    let second_connection = sent
        .into_iter()
        .find(|&other| other != connection)
        .expect("over another connection");
    front_end.executors[executor].respond(second_connection, "DONE", &invocation_id(1));
    let mut answers = vec![];
    front_end.poll_until("answered", |_| {
        answers.extend(read_frames(&mut client).0);
        !answers.is_empty()
    });
    assert_eq!(answers, [(protocol::RESPONSE, 2, protocol::SUCCEEDED)]);
    assert_eq!(
        front_end.executors[executor]
            .lines_received("DO", &invocation_id(1))
            .len(),
        2,
        "a non-idempotent one is out once at a time"
    );
}

/// Writing met the reset first, and what the executor had answered before it was never read.
#[test]
fn an_answer_before_a_reset_is_read_where_writing_meets_the_reset_first() {
    let mut front_end = TestFrontEnd::new(1, 128, |settings| {
        settings["specifics"]["loadControl"] = false.into()
    });
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "command");
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(1));
    let (socket, _) = front_end.executors[executor].connections.remove(connection);
    orchidtally_socket_io::break_on_close(&socket);
    drop(socket);
    // Something is written there before anything is read.
    let executor_id =
        orchidtally_platform_discovery::executor_id(&front_end.executors[executor].name);
    let now = front_end.event_loop.read_clock();
    for slot in connections_to(&front_end, executor_id) {
        front_end
            .event_loop
            .host
            .pool
            .connection_mut(slot)
            .expect("it stands")
            .queue
            .push_back(crate::executor_connection::QueuedCommand::Line(
                b"\n".to_vec(),
            ));
        front_end.event_loop.host.pool.mark_dirty(slot);
    }
    front_end.event_loop.flush_all(now);
    let mut answers = vec![];
    front_end.poll_until("answered", |_| {
        answers.extend(read_frames(&mut client).0);
        !answers.is_empty()
    });
    assert_eq!(answers, [(protocol::RESPONSE, 1, protocol::SUCCEEDED)]);
}

/// It was not known any more that its cancel might be under way.
#[test]
fn an_id_taken_back_and_asked_again_at_once_waits_for_its_cancel() {
    let (mut front_end, mut client) = warm(2);
    client
        .write_all(&invocation_frame(2, &invocation_id(1), "read"))
        .expect("it stands");
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
    client.write_all(&cancel_and_invocation).expect("it stands");
    front_end.poll_until("taken", |front_end| {
        front_end.event_loop.engine.counters().admitted == 3
    });
    assert!(
        front_end.event_loop.host.has_delayed_dispatches(),
        "the turn that gives the first up sends no second"
    );
    let sent = |front_end: &mut TestFrontEnd| {
        front_end
            .executors
            .iter_mut()
            .map(|executor| executor.lines_received("DO", &invocation_id(1)).len())
            .sum::<usize>()
    };
    front_end.poll_until("sent again", |front_end| sent(front_end) == 2);
}

/// Whether a connection is taken that the executor may be closing by now.
#[test]
fn a_connection_idle_for_its_time_takes_nothing_though_it_was_not_closed_yet() {
    let mut front_end = TestFrontEnd::new(1, 128, |settings| {
        settings["specifics"]["loadControl"] = false.into()
    });
    let mut client = front_end.connect_client();
    let (executor, connection) = front_end.invoke(&mut client, 1, "read");
    front_end.executors[executor].respond(connection, "DONE", &invocation_id(1));
    front_end.poll_until("answered", |_| !read_frames(&mut client).0.is_empty());
    // As if it had stood there idle; the look at what is overdue comes later.
    let before = front_end.event_loop.read_clock() - 14.0;
    let pool = &mut front_end.event_loop.host.pool;
    let slots: Vec<usize> = pool.connections().map(|(slot, _)| slot).collect();
    for slot in slots {
        pool.connection_mut(slot).expect("it stands").idle_since = before;
    }
    front_end.event_loop.maintenance.postpone_sweeps();
    let (_, other) = front_end.invoke(&mut client, 2, "read");
    assert_ne!(other, connection);
}
