//! Clients that leave, fill the descriptors, or read nothing, while something of theirs is under way.

use super::*;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Gives a client more to read than its socket takes.
fn fill(stage: &mut Stage, slot: usize) {
    let filler = vec![0; 16 << 20];
    stage.event_loop.host.clients[slot]
        .socket
        .write_buffer()
        .extend_from_slice(&filler);
    stage.event_loop.host.mark_client_dirty(slot);
    stage.poll_once();
    assert!(
        stage.event_loop.host.clients[slot].socket.pending_bytes()
            > crate::client_connection::MAX_BACKLOG_BYTES,
        "it reads nothing"
    );
}

/// A client with unread answers was not read, so that nobody saw it leave for 3 s.
#[test]
fn a_client_that_reads_nothing_is_still_seen_to_take_back_and_to_leave() {
    for closes in [false, true] {
        let mut stage = Stage::new(1, 128, |_| {});
        let mut client = stage.client();
        let (x, end) = stage.out(&mut client, 1, "read");
        fill(&mut stage, 0);
        let begun = Instant::now();
        if closes {
            client.shutdown(Shutdown::Write).expect("it stands");
        } else {
            let mut frame = vec![];
            frames::write_frame(&mut frame, frames::CANCEL, 1, None, None, &[]);
            client.write_all(&frame).expect("it stands");
        }
        stage.until("cancelled", |s| s.peers[x].lines("UNDO", &id(1)) == [end]);
        assert!(
            begun.elapsed() < Duration::from_secs(2),
            "long before it counts as stalled: {:?}",
            begun.elapsed()
        );
    }
}

/// What it asks meanwhile is not taken before it reads, and taken back is never sent.
#[test]
fn what_a_client_asks_while_it_reads_nothing_waits_and_may_be_taken_back() {
    let mut stage = Stage::new(1, 128, |_| {});
    let mut client = stage.client();
    fill(&mut stage, 0);
    client
        .write_all(&invocation(1, &id(1), "read"))
        .expect("it stands");
    client
        .write_all(&invocation(2, &id(2), "read"))
        .expect("it stands");
    stage.until("read", |s| s.event_loop.host.clients[0].pending.len() == 2);
    let mut frame = vec![];
    frames::write_frame(&mut frame, frames::CANCEL, 1, None, None, &[]);
    client.write_all(&frame).expect("it stands");
    stage.until("taken back", |s| {
        s.event_loop.host.clients[0].pending.len() == 1
    });
    assert_eq!(
        stage.event_loop.engine.open_invocations(),
        0,
        "nothing is taken yet"
    );
    let mut all = 0;
    let mut bytes = vec![0; 1 << 20];
    stage.until("taken", |s| {
        while let Ok(n @ 1..) = client.read(&mut bytes) {
            all += n;
        }
        s.event_loop.engine.open_invocations() > 0
    });
    assert!(all >= (16 << 20) - crate::client_connection::MAX_BACKLOG_BYTES);
    stage.dispatched(&id(2));
    assert!(stage.peers[0].lines("DO", &id(1)).is_empty());
}

#[test]
fn a_client_that_asks_on_and_on_and_reads_nothing_is_ended() {
    let mut stage = Stage::new(1, 128, |_| {});
    let mut client = stage.client();
    fill(&mut stage, 0);
    for n in 1..=40 {
        client
            .write_all(&invocation(n, &id(n.into()), "read"))
            .expect("it stands");
    }
    stage.until("ended", |s| {
        s.event_loop
            .host
            .clients
            .get(0)
            .is_none_or(|c| c.closing.is_some())
    });
    assert_eq!(stage.event_loop.engine.open_invocations(), 0);
}

/// Closed with bytes unread it was reset, which can destroy the answer that tells what was wrong.
#[test]
fn a_client_that_sends_on_after_what_cannot_be_read_hears_why_and_an_end() {
    let mut stage = Stage::new(1, 128, |_| {});
    let mut client = stage.client();
    client.write_all(&[0xff; 200 * 1024]).expect("it stands");
    let mut heard = (vec![], None);
    stage.until("an end", |_| {
        let (frames, end) = got(&mut client);
        heard.0.extend(frames);
        heard.1 = end;
        end.is_some()
    });
    assert_eq!(
        heard,
        (vec![(frames::RESPONSE, 0, frames::ERRORED)], Some(Ok(())))
    );
    // What it sends after that resets nothing, and it is let go of.
    client.write_all(&[0xff; 1024]).expect("it is read over");
    stage.until("closed", |s| s.event_loop.host.clients.is_empty());
}

/// What it has open is nobody's any more at once, not when it is closed.
#[test]
fn an_invocation_of_a_client_that_then_sends_noise_is_cancelled() {
    let mut stage = Stage::new(1, 128, |_| {});
    let mut client = stage.client();
    let (x, end) = stage.out(&mut client, 1, "read");
    fill(&mut stage, 0);
    client.write_all(&[0xff; 16]).expect("it stands");
    let begun = Instant::now();
    stage.until("cancelled", |s| s.peers[x].lines("UNDO", &id(1)) == [end]);
    assert!(
        begun.elapsed() < Duration::from_secs(2),
        "{:?}",
        begun.elapsed()
    );
}

/// Its invocation had come, and nobody had read it yet, when its connection was taken for the longest idle.
#[test]
fn a_connection_with_an_invocation_in_it_does_not_make_way_as_idle() {
    let mut stage = Stage::new(1, 48, |_| {});
    let mut first = stage.client();
    let rest: Vec<TcpStream> = (1..stage.event_loop.listener.max_clients())
        .map(|_| stage.client())
        .collect();
    first
        .write_all(&invocation(1, &id(1), "read"))
        .expect("it stands");
    // The listener comes before the client in this turn.
    let one_more = TcpStream::connect(stage.at).expect("it listens");
    let now = stage.event_loop.read_clock();
    stage.event_loop.accept(now);
    assert_eq!(stage.event_loop.counters.evicted, 1);
    stage.dispatched(&id(1));
    assert_eq!(got(&mut first), (vec![], None), "it stands");
    drop((rest, one_more));
}

/// Hundreds of silent connections at once drove out usual clients that were idle between two invocations.
#[test]
fn silent_connections_make_way_for_one_another_before_a_usual_client_does() {
    let mut stage = Stage::new(1, 48, |_| {});
    let mut usual = stage.client();
    let (x, end) = stage.out(&mut usual, 1, "read");
    stage.peers[x].say(end, "DONE", &id(1));
    stage.until("answered", |_| !got(&mut usual).0.is_empty());
    let silent: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(stage.at).expect("it listens"))
        .collect();
    stage.until("taken", |s| s.event_loop.counters.accepted == 101);
    assert_eq!(got(&mut usual), (vec![], None), "it stands");
    drop(silent);
}

/// A new connection was closed without a word, which counts as lost.
#[test]
fn where_every_connection_is_busy_a_new_one_hears_that_there_is_no_room() {
    let mut stage = Stage::new(1, 48, |_| {});
    let mut busy = vec![];
    for n in 0..stage.event_loop.listener.max_clients() as u64 {
        let mut client = stage.client();
        client
            .write_all(&invocation(1, &id(n + 1), "read"))
            .expect("it stands");
        stage.until("taken", |s| {
            s.event_loop.engine.open_invocations() as u64 == n + 1
        });
        busy.push(client);
    }
    let mut new = stage.client();
    new.write_all(&invocation(1, &id(99), "read"))
        .expect("it stands");
    let mut ready = vec![];
    frames::write_frame(&mut ready, frames::READINESS_QUERY, 0, None, Some(&[]), &[]);
    new.write_all(&ready).expect("it stands");
    let mut heard = (vec![], None);
    stage.until("an end", |_| {
        let (frames, end) = got(&mut new);
        heard.0.extend(frames);
        heard.1 = end;
        end.is_some()
    });
    heard.0.sort();
    assert_eq!(
        heard.0,
        [
            (frames::READINESS, 0, frames::READY_CODE),
            (frames::RESPONSE, 1, frames::THROTTLED)
        ]
    );
    assert_eq!(heard.1, Some(Ok(())));
    for client in &mut busy {
        assert_eq!(got(client), (vec![], None), "who is busy stays");
    }
}

/// With nobody to tell of any executor it said that it was not ready, for good.
#[test]
fn with_nothing_known_and_no_resolver_it_is_ready_after_a_while() {
    let mut stage = Stage::new(0, 128, |_| {});
    let mut client = stage.client();
    let mut ready = vec![];
    frames::write_frame(&mut ready, frames::READINESS_QUERY, 0, None, Some(&[]), &[]);
    client.write_all(&ready).expect("it stands");
    let begun = Instant::now();
    let mut codes = vec![];
    stage.until("ready", |_| {
        for (_, _, code) in got(&mut client).0 {
            codes.push(code);
            if code == frames::NOT_READY_CODE {
                client.write_all(&ready).expect("it stands");
            }
        }
        codes.last() == Some(&frames::READY_CODE)
    });
    assert!(
        begun.elapsed() < Duration::from_secs(10),
        "{:?}",
        begun.elapsed()
    );
    assert_eq!(
        (codes[0], codes.last()),
        (frames::NOT_READY_CODE, Some(&frames::READY_CODE))
    );
}
