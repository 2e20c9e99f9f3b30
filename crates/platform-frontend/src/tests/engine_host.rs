//! What goes over the sockets, and in which order, without a front end round it.

use super::*;
use crate::executor_connection::{ExecutorConnection, InFlightDispatch};
use crate::executor_pool::Executor;
use orchidtally_engine::Host;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

const SETTINGS: &str = r#"{
    "balancers": 1, "index": 0, "zone": 0, "zones": ["east"], "shapes": ["std"], "tick": 2e6,
    "classes": [{"name": "read", "aim": 1e9, "deadline": 3e9, "credit": 1, "lateWorth": 0, "semantics": "pure",
        "dedupScope": "all", "dedupWindow": 0}],
    "limits": {"maxAttempts": 4, "cancel": true, "retryAfter": true, "maxRetryAfter": 1e9, "secondCopies": false,
        "maxOpen": 1000, "streamsPerConn": 32, "connectTimeout": 2.5e8, "idleClose": 1.5e10},
    "safety": {"cold": 1e9, "coldFrom": 0.2, "overloadFactor": 2, "fall": 1e9},
    "specifics": {"loadControl": true, "notLoaded": "load", "staysLoaded": 8e9}}"#;

/// A host's state with some executors, each reached over one connection that stands, and the executors' ends of these.
fn set(executors: usize) -> (EngineHost, Vec<ExecutorId>, Vec<std::net::TcpStream>) {
    let settings = serde_json::from_str(SETTINGS).expect("it is JSON");
    let settings =
        orchidtally_platform_config::front_end_settings(&settings).expect("they are sound");
    let poll = mio::Poll::new().expect("a poll");
    let mut host = EngineHost::new(
        0.0,
        poll.registry().try_clone().expect("it can be"),
        &settings,
        executors,
    );
    let mut ends = vec![];
    let mut ids = vec![];
    for n in 0..executors {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (name, address) = (
            format!("s-{n}"),
            listener.local_addr().expect("it is bound"),
        );
        let id = orchidtally_platform_discovery::executor_id(&name);
        host.pool.add_executor(id, Executor::new(name, address));
        let slot = host
            .pool
            .connection_for(0.0, id, "")
            .expect("there is room");
        ends.push(listener.accept().expect("it comes").0);
        ends[n]
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("a time");
        connection(&mut host, slot).is_connected = true;
        host.pool
            .executor_mut(id)
            .expect("it is known")
            .min_connect_time = 0.001;
        ids.push(id);
    }
    (host, ids, ends)
}

fn connection(host: &mut EngineHost, slot: usize) -> &mut ExecutorConnection {
    host.pool.connection_mut(slot).expect("it stands")
}

fn first_connection(host: &EngineHost, id: ExecutorId) -> usize {
    host.pool.executor(id).expect("it is known").connections[0]
}

fn take(host: &mut EngineHost, inv: u32) {
    take_with_body(host, inv, vec![]);
}

fn take_with_body(host: &mut EngineHost, inv: u32, body: Vec<u8>) {
    let id: Rc<str> = format!("{inv:016x}").into();
    host.pending_admission = Some(OpenInvocation {
        client: usize::MAX,
        stream: 1,
        id,
        trigger_type: 0,
        function: "0000000000000001".into(),
        idempotency_key: None,
        body,
        timeout_at: 3.0,
    });
    host.admitted(inv);
}

/// Lets everything leave, or nothing, and counts what it was asked.
struct RevalidationStub {
    open: bool,
    asked: usize,
}

impl SendRevalidator for RevalidationStub {
    fn on_process_stall(&mut self, _: f64) {}

    fn revalidate_dispatch(&mut self, _: f64, _: u32, _: u8) -> bool {
        self.asked += 1;
        self.open
    }

    fn revalidate_load(&mut self, _: f64, _: ExecutorId, _: f64) -> bool {
        self.asked += 1;
        self.open
    }
}

fn flush(host: &mut EngineHost) {
    flush_by(
        host,
        &mut RevalidationStub {
            open: true,
            asked: 0,
        },
    );
}

fn flush_by(host: &mut EngineHost, gate: &mut RevalidationStub) {
    for slot in host.pool.take_dirty() {
        connection(host, slot).is_dirty = false;
        host.flush_connection(slot, gate).expect("it is taken");
    }
}

/// What has come to an executor's end by now.
fn come(end: &mut std::net::TcpStream) -> String {
    let mut bytes = vec![0; 64 * 1024];
    let n = end.read(&mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..n]).into_owned()
}

/// Two invocations are moved in one turn, crosswise: whichever connection is written first, both cancels leave
/// before either is sent again.
#[test]
fn a_cancel_leaves_before_the_next_dispatch_of_the_same_invocation() {
    let (mut host, ids, mut ends) = set(2);
    (0..2).for_each(|inv| take(&mut host, inv));
    host.dispatch(0, 0, ids[0], 3.0);
    host.dispatch(1, 0, ids[1], 3.0);
    flush(&mut host);
    ends.iter_mut()
        .for_each(|end| assert!(come(end).contains("DO")));
    for inv in 0..2 {
        host.cancel(inv, 0);
        host.dispatch(inv, 1, ids[1 - inv as usize], 3.0);
    }
    let mut dirty = host.pool.take_dirty();
    let first = dirty.remove(0);
    connection(&mut host, first).is_dirty = false;
    for slot in dirty {
        connection(&mut host, slot).is_dirty = false;
        host.pool.mark_dirty(slot);
    }
    host.flush_connection(
        first,
        &mut RevalidationStub {
            open: true,
            asked: 0,
        },
    )
    .expect("it is taken");
    for end in &mut ends {
        let line = come(end);
        assert!(
            line.contains("UNDO") && !line.contains(r#""DO""#),
            "the cancel alone: {line}"
        );
    }
    flush(&mut host);
    // It waits for a moment from the next turn on.
    for (now, there) in [(0.001, false), (0.002, false), (0.003, true)] {
        host.now = now;
        host.send_due_dispatches();
        flush(&mut host);
        ends.iter_mut()
            .for_each(|end| assert_eq!(come(end).contains(r#""DO""#), there, "at {now}"));
    }
}

/// What is held back and taken back then never goes out, and no cancel is owed for it.
#[test]
fn what_is_cancelled_while_it_is_held_never_goes_out() {
    let (mut host, ids, mut ends) = set(2);
    take(&mut host, 0);
    host.dispatch(0, 0, ids[0], 3.0);
    flush(&mut host);
    host.cancel(0, 0);
    host.dispatch(0, 1, ids[1], 3.0);
    host.cancel(0, 1);
    for now in [0.001, 0.01] {
        host.now = now;
        host.send_due_dispatches();
        flush(&mut host);
    }
    assert!(host.delayed_dispatches.is_empty() && come(&mut ends[0]).contains("UNDO"));
    assert_eq!(come(&mut ends[1]), "");
}

/// An executor that reads nothing: the cancel stays behind what the kernel holds. Its connection ends, so that what
/// is open on it is given up before it goes out elsewhere.
#[test]
fn a_connection_that_takes_no_cancel_is_cut_off() {
    let (mut host, ids, mut ends) = set(2);
    take(&mut host, 0);
    host.dispatch(0, 0, ids[0], 3.0);
    flush(&mut host);
    let slot = first_connection(&host, ids[0]);
    while connection(&mut host, slot).socket.pending_bytes() == 0 {
        connection(&mut host, slot)
            .socket
            .write_buffer()
            .resize(1 << 20, b' ');
        connection(&mut host, slot)
            .socket
            .flush()
            .expect("it stands");
    }
    host.cancel(0, 0);
    host.dispatch(0, 1, ids[1], 3.0);
    let elsewhere = first_connection(&host, ids[1]);
    host.flush_connection(
        elsewhere,
        &mut RevalidationStub {
            open: true,
            asked: 0,
        },
    )
    .expect("it is taken");
    assert!(
        connection(&mut host, slot).is_aborted && host.aborted_connections.len() == 1,
        "to be dissolved"
    );
    let mut rest = vec![];
    ends[0]
        .read_to_end(&mut rest)
        .expect("an end, not a silence");
    assert!(!rest.is_empty());
}

/// Whatever the kernel takes of a batch of lines, none that has not begun to leave stays made.
#[test]
fn no_line_stays_made_of_which_the_kernel_took_nothing() {
    let (mut host, ids, mut ends) = set(1);
    let slot = first_connection(&host, ids[0]);
    while connection(&mut host, slot).socket.pending_bytes() == 0 {
        connection(&mut host, slot)
            .socket
            .write_buffer()
            .resize(1 << 20, b' ');
        connection(&mut host, slot)
            .socket
            .flush()
            .expect("it stands");
    }
    for inv in 0..30 {
        take_with_body(&mut host, inv, vec![7; 16 * 1024]);
        host.dispatch(inv, 0, ids[0], 3.0);
    }
    let mut gate = RevalidationStub {
        open: true,
        asked: 0,
    };
    let mut bytes = vec![0; 20 * 1024];
    let mut stuck = 0;
    while !connection(&mut host, slot).queue.is_empty() {
        ends[0].read_exact(&mut bytes).expect("there is more");
        host.flush_connection(slot, &mut gate).expect("it is taken");
        let connection = connection(&mut host, slot);
        let begun = |o: &InFlightDispatch| {
            o.line_start
                .is_none_or(|from| from < connection.socket.bytes_written())
        };
        assert!(connection.in_flight.values().all(begun));
        stuck += usize::from(connection.socket.pending_bytes() > 0);
    }
    assert!(
        stuck > 0 && gate.asked > 30,
        "lines were taken back and asked about again: {}",
        gate.asked
    );
}

/// An executor that is far: its cancel is under way for longer than a tick, and the next dispatch may be faster.
#[test]
fn what_is_moved_waits_for_as_long_as_a_connection_to_the_first_took_to_be_made() {
    let (mut host, ids, mut ends) = set(2);
    host.pool
        .executor_mut(ids[0])
        .expect("it is known")
        .min_connect_time = 0.02;
    take(&mut host, 0);
    host.dispatch(0, 0, ids[0], 3.0);
    flush(&mut host);
    host.cancel(0, 0);
    host.dispatch(0, 1, ids[1], 3.0);
    for (now, there) in [(0.001, false), (0.020, false), (0.022, true)] {
        host.now = now;
        host.send_due_dispatches();
        flush(&mut host);
        assert_eq!(come(&mut ends[1]).contains(r#""DO""#), there, "at {now}");
    }
}
