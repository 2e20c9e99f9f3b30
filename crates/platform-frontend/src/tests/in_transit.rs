//! Lists, answers, ends of connections, while a dispatch or an order is on its way.

use super::*;
use EndpointState::{Draining, Ready};

/// Sends an invocation and turns until its dispatch, or its order, is queued on a connection that is being made.
fn queued(stage: &mut Stage, client: &mut TcpStream) -> ExecutorId {
    client
        .write_all(&invocation(1, &id(1), "read"))
        .expect("it stands");
    let connections = |s: &Stage| {
        s.event_loop
            .host
            .pool
            .connections()
            .find(|(_, l)| !l.is_connected)
            .map(|(_, l)| (l.executor_id, l.queue.len()))
    };
    stage.until("queued", |s| {
        connections(s).is_some_and(|(_, queued)| queued > 0)
    });
    connections(stage).expect("it is there").0
}

/// An executor is known to serve the function.
fn warm(executors: usize) -> (Stage, TcpStream) {
    let mut stage = Stage::new(executors, 128, |s| {
        s["specifics"]["loadControl"] = false.into()
    });
    let mut client = stage.client();
    client
        .write_all(&invocation(1, &id(100), "read"))
        .expect("it stands");
    let (x, end) = stage.dispatched(&id(100));
    stage.peers[x].say(end, "DONE", &id(100));
    stage.until("answered", |_| !got(&mut client).0.is_empty());
    (stage, client)
}

fn connections_to(stage: &Stage, executor_id: ExecutorId) -> Vec<usize> {
    let executor = stage.event_loop.host.pool.executor(executor_id);
    executor.expect("it is known").connections.clone()
}

fn number(stage: &Stage, executor_id: ExecutorId) -> usize {
    stage
        .peers
        .iter()
        .position(|p| orchidtally_platform_discovery::executor_id(&p.name) == executor_id)
        .expect("it is one of them")
}

/// What was allowed when it was decided left for an executor told draining by then, as long as its connection took
/// to be made.
#[test]
fn an_order_on_a_connection_being_made_does_not_leave_once_its_executor_drains() {
    let mut stage = Stage::new(2, 128, |_| {});
    let mut client = stage.client();
    let first = queued(&mut stage, &mut client);
    let x = number(&stage, first);
    let all = [
        (x, Draining, stage.peers[x].at),
        (1 - x, Ready, stage.peers[1 - x].at),
    ];
    stage.list(&all);
    let (there, _) = stage.dispatched(&id(1));
    assert_eq!(there, 1 - x);
    let peer = &mut stage.peers[x];
    assert_eq!((peer.orders, peer.lines("DO", "").len()), (0, 0));
    assert!(stage.peers[1 - x].orders > 0, "it was an order that waited");
}

#[test]
fn a_dispatch_on_a_connection_being_made_does_not_leave_once_its_executor_drains() {
    let mut stage = Stage::new(2, 128, |s| s["specifics"]["loadControl"] = false.into());
    let mut client = stage.client();
    let first = queued(&mut stage, &mut client);
    let x = number(&stage, first);
    let all = [
        (x, Draining, stage.peers[x].at),
        (1 - x, Ready, stage.peers[1 - x].at),
    ];
    stage.list(&all);
    assert_eq!(stage.dispatched(&id(1)).0, 1 - x);
    assert!(stage.peers[x].lines("DO", "").is_empty());
}

/// It went to whoever had taken over the address.
#[test]
fn what_is_queued_for_an_executor_that_moves_goes_to_its_new_address() {
    let mut stage = Stage::new(2, 128, |s| s["specifics"]["loadControl"] = false.into());
    let mut client = stage.client();
    let first = queued(&mut stage, &mut client);
    let x = number(&stage, first);
    // The other stands at the first one's address from now on, and the other way round.
    let all = [
        (x, Ready, stage.peers[1 - x].at),
        (1 - x, Ready, stage.peers[x].at),
    ];
    stage.list(&all);
    let (there, _) = stage.dispatched(&id(1));
    assert_eq!(there, 1 - x, "the peer at its new address");
    assert!(stage.peers[x].lines("DO", "").is_empty());
}

/// An executor that reads nothing: lines made long before left for it whenever it read again.
#[test]
fn what_the_kernel_does_not_take_is_asked_about_again_as_it_leaves() {
    let (mut stage, mut client) = warm(2);
    let executor_id = stage
        .event_loop
        .host
        .pool
        .connections()
        .next()
        .expect("one that stands")
        .1
        .executor_id;
    let x = number(&stage, executor_id);
    // Nobody reads there until the kernel takes no byte more.
    for slot in connections_to(&stage, executor_id) {
        let socket = &mut stage
            .event_loop
            .host
            .pool
            .connection_mut(slot)
            .expect("it stands")
            .socket;
        while socket.pending_bytes() == 0 {
            socket.write_buffer().extend_from_slice(&[b' '; 4096]);
            socket.flush().expect("it stands");
        }
    }
    client
        .write_all(&invocation(2, &id(2), "read"))
        .expect("it stands");
    stage.until("queued", |s| s.event_loop.engine.counters().dispatches == 2);
    let all = [
        (x, Draining, stage.peers[x].at),
        (1 - x, Ready, stage.peers[1 - x].at),
    ];
    stage.list(&all);
    // It reads again; the invocation goes to the other.
    assert_eq!(stage.dispatched(&id(2)).0, 1 - x);
    assert!(stage.peers[x].lines("DO", &id(2)).is_empty());
}

/// A second answer to the first dispatch was taken for one to the next, which then counted as never run.
#[test]
fn a_second_answer_is_not_taken_for_one_to_the_next_dispatch() {
    let (mut stage, mut client) = warm(1);
    client
        .write_all(&invocation(2, &id(1), "command"))
        .expect("it stands");
    let (x, end) = stage.dispatched(&id(1));
    stage.peers[x].say(end, "WAIT", &id(1));
    stage.until("sent again", |s| s.peers[x].lines("DO", &id(1)).len() == 2);
    // The second one comes late, by whichever connection the first went over.
    stage.peers[x].say(end, "WAIT", &id(1));
    let sent = stage.peers[x].lines("DO", &id(1));
    let next = sent
        .into_iter()
        .find(|&e| e != end)
        .expect("over another connection");
    stage.peers[x].say(next, "DONE", &id(1));
    let mut answers = vec![];
    stage.until("answered", |_| {
        answers.extend(got(&mut client).0);
        !answers.is_empty()
    });
    assert_eq!(answers, [(frames::RESPONSE, 2, frames::SUCCEEDED)]);
    assert_eq!(
        stage.peers[x].lines("DO", &id(1)).len(),
        2,
        "a non-idempotent one is out once at a time"
    );
}

/// Writing met the reset first, and what the executor had answered before it was never read.
#[test]
fn an_answer_before_a_reset_is_read_where_writing_meets_the_reset_first() {
    let mut stage = Stage::new(1, 128, |s| s["specifics"]["loadControl"] = false.into());
    let mut client = stage.client();
    let (x, end) = stage.out(&mut client, 1, "command");
    stage.peers[x].say(end, "DONE", &id(1));
    let (socket, _) = stage.peers[x].ends.remove(end);
    orchidtally_socket_io::reset_on_close(&socket);
    drop(socket);
    // Something is written there before anything is read.
    let executor_id = orchidtally_platform_discovery::executor_id(&stage.peers[x].name);
    let now = stage.event_loop.read_clock();
    for slot in connections_to(&stage, executor_id) {
        stage
            .event_loop
            .host
            .pool
            .connection_mut(slot)
            .expect("it stands")
            .queue
            .push_back(crate::executor_connection::QueuedCommand::Line(
                b"\n".to_vec(),
            ));
        stage.event_loop.host.pool.mark_dirty(slot);
    }
    stage.event_loop.flush_all(now);
    let mut answers = vec![];
    stage.until("answered", |_| {
        answers.extend(got(&mut client).0);
        !answers.is_empty()
    });
    assert_eq!(answers, [(frames::RESPONSE, 1, frames::SUCCEEDED)]);
}

/// It was not known any more that its cancel might be under way.
#[test]
fn an_id_taken_back_and_asked_again_at_once_waits_for_its_cancel() {
    let (mut stage, mut client) = warm(2);
    client
        .write_all(&invocation(2, &id(1), "read"))
        .expect("it stands");
    stage.dispatched(&id(1));
    let mut both = vec![];
    frames::write_frame(&mut both, frames::CANCEL, 2, None, None, &[]);
    both.extend(invocation(101, &id(1), "read"));
    client.write_all(&both).expect("it stands");
    stage.until("taken", |s| s.event_loop.engine.counters().admitted == 3);
    assert!(
        stage.event_loop.host.has_delayed_dispatches(),
        "the turn that gives the first up sends no second"
    );
    let sent = |s: &mut Stage| {
        s.peers
            .iter_mut()
            .map(|p| p.lines("DO", &id(1)).len())
            .sum::<usize>()
    };
    stage.until("sent again", |s| sent(s) == 2);
}

/// Whether a connection is taken that the executor may be closing by now.
#[test]
fn a_connection_idle_for_its_time_takes_nothing_though_it_was_not_closed_yet() {
    let mut stage = Stage::new(1, 128, |s| s["specifics"]["loadControl"] = false.into());
    let mut client = stage.client();
    let (x, end) = stage.out(&mut client, 1, "read");
    stage.peers[x].say(end, "DONE", &id(1));
    stage.until("answered", |_| !got(&mut client).0.is_empty());
    // As if it had stood there idle; the look at what is overdue comes later.
    let before = stage.event_loop.read_clock() - 14.0;
    let pool = &mut stage.event_loop.host.pool;
    let slots: Vec<usize> = pool.connections().map(|(slot, _)| slot).collect();
    for slot in slots {
        pool.connection_mut(slot).expect("it stands").idle_since = before;
    }
    stage.event_loop.maintenance.postpone_sweeps();
    let (_, other) = stage.out(&mut client, 2, "read");
    assert_ne!(other, end);
}
