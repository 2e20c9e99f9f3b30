//! Nothing begins for a client that has gone, wherever its invocation waits.

use super::*;
use std::net::Shutdown;

fn all_dispatches(stage: &mut Stage) -> usize {
    stage
        .peers
        .iter_mut()
        .map(|p| p.lines("DO", "").len())
        .sum()
}

/// The client has gone: whatever happens for a while, nothing more is dispatched or ordered for it.
fn nothing_begins(stage: &mut Stage, before: usize) {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(400) {
        stage.load_all();
        stage.poll_once();
    }
    assert_eq!(all_dispatches(stage), before);
    assert_eq!(stage.event_loop.engine.open_invocations(), 0);
    assert!(
        stage.event_loop.host.invocations.is_empty()
            && !stage.event_loop.host.has_delayed_dispatches()
    );
    assert!(
        stage
            .event_loop
            .host
            .pool
            .connections()
            .all(|(_, l)| l.queue.is_empty() && l.in_flight.is_empty())
    );
}

fn without_orders(s: &mut Value) {
    s["specifics"]["loadControl"] = false.into();
}

#[test]
fn while_it_waits_for_a_load() {
    let mut stage = Stage::new(2, 128, |_| {});
    let mut client = stage.client();
    client
        .write_all(&invocation(1, &id(1), "read"))
        .expect("it stands");
    stage.until("ordered", |s| {
        s.peers.iter_mut().any(|p| !p.lines("PIN", "").is_empty())
    });
    drop(client);
    stage.until("gone", |s| s.event_loop.host.clients.is_empty());
    nothing_begins(&mut stage, 0);
}

#[test]
fn while_its_dispatch_is_queued_on_a_connection_being_made() {
    let mut stage = Stage::new(2, 128, without_orders);
    let mut client = stage.client();
    client
        .write_all(&invocation(1, &id(1), "read"))
        .expect("it stands");
    stage.until("queued", |s| {
        s.event_loop
            .host
            .pool
            .connections()
            .any(|(_, l)| !l.is_connected && !l.queue.is_empty())
    });
    // Its end is read before the connection is seen to stand.
    client.shutdown(Shutdown::Write).expect("it stands");
    let now = stage.event_loop.read_clock();
    stage.event_loop.read_client(now, 0);
    nothing_begins(&mut stage, 0);
}

#[test]
fn while_it_waits_to_be_sent_again() {
    let mut stage = Stage::new(1, 128, without_orders);
    let mut client = stage.client();
    let (x, end) = stage.out(&mut client, 1, "command");
    stage.peers[x].say(end, "WAIT", &id(1));
    stage.until("turned away", |s| {
        s.event_loop.host.has_no_dispatch_in_flight()
    });
    drop(client);
    stage.until("gone", |s| s.event_loop.host.clients.is_empty());
    nothing_begins(&mut stage, 1);
}

#[test]
fn while_it_is_judged_whether_a_broken_connection_was_the_process() {
    let mut stage = Stage::new(2, 128, without_orders);
    let mut client = stage.client();
    let (x, end) = stage.out(&mut client, 1, "read");
    // The executor has two connections; one breaks, which is judged a moment later.
    stage.until("two of them", |s| {
        s.peers[x].read();
        let executor_id = orchidtally_platform_discovery::executor_id(&s.peers[x].name);
        let _ =
            s.event_loop
                .host
                .pool
                .connection_for(s.event_loop.host.now(), executor_id, "another");
        s.event_loop
            .host
            .pool
            .executor(executor_id)
            .expect("it is known")
            .connections
            .iter()
            .filter(|&&l| {
                s.event_loop
                    .host
                    .pool
                    .connection(l)
                    .is_some_and(|l| l.is_connected)
            })
            .count()
            > 1
    });
    let (socket, come) = stage.peers[x].ends.remove(end);
    orchidtally_socket_io::reset_on_close(&socket);
    drop(socket);
    stage.until("severed", |s| !s.event_loop.lost_connections.is_empty());
    drop(client);
    let now = stage.event_loop.read_clock();
    stage.event_loop.read_client(now, 0);
    assert!(come.contains("DO") && stage.event_loop.host.clients.is_empty());
    nothing_begins(&mut stage, 0);
}

#[test]
fn while_it_is_held_until_an_earlier_cancel_has_arrived() {
    let mut stage = Stage::new(2, 128, without_orders);
    let mut client = stage.client();
    let (x, end) = stage.out(&mut client, 1, "read");
    stage.peers[x].say(end, "DONE", &id(1));
    stage.until("answered", |_| !got(&mut client).0.is_empty());
    stage.out(&mut client, 2, "read");
    let mut both = vec![];
    frames::write_frame(&mut both, frames::CANCEL, 2, None, None, &[]);
    both.extend(invocation(3, &id(2), "read"));
    client.write_all(&both).expect("it stands");
    stage.until("held", |s| s.event_loop.host.has_delayed_dispatches());
    let before = all_dispatches(&mut stage);
    client.shutdown(Shutdown::Both).expect("it stands");
    let now = stage.event_loop.read_clock();
    stage.event_loop.read_client(now, 0);
    nothing_begins(&mut stage, before);
}

/// A reset, and an end within a frame, are ends as well.
#[test]
fn where_it_resets_or_ends_within_a_frame() {
    for resets in [true, false] {
        let mut stage = Stage::new(1, 128, without_orders);
        let mut client = stage.client();
        let (x, end) = stage.out(&mut client, 1, "read");
        client
            .write_all(&invocation(2, &id(2), "read")[..30])
            .expect("it stands");
        if resets {
            orchidtally_socket_io::reset_on_close(&client);
        }
        drop(client);
        stage.until("cancelled", |s| s.peers[x].lines("UNDO", &id(1)) == [end]);
        nothing_begins(&mut stage, 1);
    }
}

/// Withdrawn in the turn in which its answer comes: the answer was first, and there is one at the most.
#[test]
fn where_it_is_taken_back_as_its_answer_comes_there_is_one_answer_at_the_most() {
    let mut stage = Stage::new(1, 128, without_orders);
    let mut client = stage.client();
    let (x, end) = stage.out(&mut client, 1, "read");
    let mut frame = vec![];
    frames::write_frame(&mut frame, frames::CANCEL, 1, None, None, &[]);
    stage.peers[x].say(end, "DONE", &id(1));
    client.write_all(&frame).expect("it stands");
    let mut heard = vec![];
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(200) {
        stage.poll_once();
        heard.extend(got(&mut client).0);
    }
    assert!(
        heard.is_empty() || heard == [(frames::RESPONSE, 1, frames::SUCCEEDED)],
        "{heard:?}"
    );
    nothing_begins(&mut stage, 1);
}
