//! The order in which the host writes commands to its sockets, without an event loop.

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

/// Creates a host with an established connection to each of some executors. Also returns the executors' ends of the
/// connections.
fn host_with_connections(
    executors: usize,
) -> (EngineHost, Vec<ExecutorId>, Vec<std::net::TcpStream>) {
    let settings = serde_json::from_str(SETTINGS).expect("the settings are JSON");
    let settings =
        orchidtally_platform_config::front_end_settings(&settings).expect("the settings are valid");
    let poll = mio::Poll::new().expect("the poll can be created");
    let mut host = EngineHost::new(
        0.0,
        poll.registry()
            .try_clone()
            .expect("the registry can be cloned"),
        &settings,
        executors,
        ExecutedIds::new(1024),
    );
    let mut sockets = vec![];
    let mut ids = vec![];
    for n in 0..executors {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
        let (name, address) = (
            format!("s-{n}"),
            listener.local_addr().expect("the socket is bound"),
        );
        let id = orchidtally_platform_discovery::executor_id(&name);
        host.pool.add_executor(id, Executor::new(name, address));
        let slot = host
            .pool
            .connection_for(0.0, id, "")
            .expect("the pool has capacity");
        sockets.push(listener.accept().expect("the connection is accepted").0);
        sockets[n]
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("the timeout can be set");
        connection(&mut host, slot).is_connected = true;
        host.pool
            .executor_mut(id)
            .expect("the executor is known")
            .min_connect_time = 0.001;
        ids.push(id);
    }
    (host, ids, sockets)
}

fn connection(host: &mut EngineHost, slot: usize) -> &mut ExecutorConnection {
    host.pool
        .connection_mut(slot)
        .expect("the connection is open")
}

fn first_connection(host: &EngineHost, id: ExecutorId) -> usize {
    host.pool
        .executor(id)
        .expect("the executor is known")
        .connections[0]
}

fn admit_invocation(host: &mut EngineHost, invocation: u32) {
    admit_with_body(host, invocation, vec![]);
}

fn admit_with_body(host: &mut EngineHost, invocation: u32, body: Vec<u8>) {
    let id: Rc<str> = format!("{invocation:016x}").into();
    host.pending_admission = Some(OpenInvocation {
        client: usize::MAX,
        stream: 1,
        id,
        is_repeatable: true,
        trigger_type: 0,
        function: "0000000000000001".into(),
        idempotency_key: None,
        body,
        timeout_at: 3.0,
    });
    host.admitted(invocation);
}

/// Accepts or refuses every command, and counts the calls.
struct RevalidationStub {
    allows: bool,
    calls: usize,
}

impl SendRevalidator for RevalidationStub {
    fn on_process_stall(&mut self, _: f64) {}

    fn revalidate_dispatch(&mut self, _: f64, _: u32, _: u8) -> bool {
        self.calls += 1;
        self.allows
    }

    fn revalidate_load(&mut self, _: f64, _: ExecutorId, _: f64) -> bool {
        self.calls += 1;
        self.allows
    }
}

fn flush(host: &mut EngineHost) {
    flush_with(
        host,
        &mut RevalidationStub {
            allows: true,
            calls: 0,
        },
    );
}

fn flush_with(host: &mut EngineHost, revalidator: &mut RevalidationStub) {
    for slot in host.pool.take_dirty() {
        connection(host, slot).is_dirty = false;
        host.flush_connection(slot, revalidator)
            .expect("the flush succeeds");
    }
}

/// Reads the data that has arrived at an executor's end of a connection.
fn read_available(socket: &mut std::net::TcpStream) -> String {
    let mut bytes = vec![0; 64 * 1024];
    let n = socket.read(&mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..n]).into_owned()
}

/// Two invocations swap executors in one poll. Whichever connection is flushed first, both cancels are written before
/// either invocation is dispatched again.
#[test]
fn cancels_are_written_before_the_next_dispatch_of_the_same_invocation() {
    let (mut host, ids, mut sockets) = host_with_connections(2);
    (0..2).for_each(|invocation| admit_invocation(&mut host, invocation));
    host.dispatch(0, 0, ids[0], 3.0);
    host.dispatch(1, 0, ids[1], 3.0);
    flush(&mut host);
    sockets
        .iter_mut()
        .for_each(|socket| assert!(read_available(socket).contains("DO")));
    for invocation in 0..2 {
        host.cancel(invocation, 0);
        host.dispatch(invocation, 1, ids[1 - invocation as usize], 3.0);
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
            allows: true,
            calls: 0,
        },
    )
    .expect("the flush succeeds");
    for socket in &mut sockets {
        let line = read_available(socket);
        assert!(
            line.contains("UNDO") && !line.contains(r#""DO""#),
            "only the cancel: {line}"
        );
    }
    flush(&mut host);
    // The delay starts with the next poll.
    for (now, is_sent) in [(0.001, false), (0.002, false), (0.003, true)] {
        host.now = now;
        host.send_due_dispatches();
        flush(&mut host);
        sockets.iter_mut().for_each(|socket| {
            assert_eq!(
                read_available(socket).contains(r#""DO""#),
                is_sent,
                "at {now}"
            )
        });
    }
}

/// A dispatch that is cancelled while it is delayed is never sent, and neither is a cancel for it.
#[test]
fn a_delayed_dispatch_that_is_cancelled_is_never_sent() {
    let (mut host, ids, mut sockets) = host_with_connections(2);
    admit_invocation(&mut host, 0);
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
    assert!(host.delayed_dispatches.is_empty() && read_available(&mut sockets[0]).contains("UNDO"));
    assert_eq!(read_available(&mut sockets[1]), "");
}

/// If an executor has stopped reading, the cancel can't be written. The connection is aborted, so that its dispatches
/// are abandoned before they are sent to another executor.
#[test]
fn a_connection_that_does_not_accept_a_cancel_is_aborted() {
    let (mut host, ids, mut sockets) = host_with_connections(2);
    admit_invocation(&mut host, 0);
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
            .expect("the connection is open");
    }
    host.cancel(0, 0);
    host.dispatch(0, 1, ids[1], 3.0);
    let other_slot = first_connection(&host, ids[1]);
    host.flush_connection(
        other_slot,
        &mut RevalidationStub {
            allows: true,
            calls: 0,
        },
    )
    .expect("the flush succeeds");
    assert!(
        connection(&mut host, slot).is_aborted && host.aborted_connections.len() == 1,
        "the connection is aborted and waits to be closed"
    );
    let mut remaining = vec![];
    sockets[0]
        .read_to_end(&mut remaining)
        .expect("the connection ends before the read timeout");
    assert!(!remaining.is_empty());
}

/// Whatever part of a batch the kernel accepts, no line of which it accepted nothing stays encoded.
#[test]
fn lines_of_which_the_kernel_accepted_no_byte_are_requeued() {
    let (mut host, ids, mut sockets) = host_with_connections(1);
    let slot = first_connection(&host, ids[0]);
    while connection(&mut host, slot).socket.pending_bytes() == 0 {
        connection(&mut host, slot)
            .socket
            .write_buffer()
            .resize(1 << 20, b' ');
        connection(&mut host, slot)
            .socket
            .flush()
            .expect("the connection is open");
    }
    for invocation in 0..30 {
        admit_with_body(&mut host, invocation, vec![7; 16 * 1024]);
        host.dispatch(invocation, 0, ids[0], 3.0);
    }
    let mut revalidator = RevalidationStub {
        allows: true,
        calls: 0,
    };
    let mut bytes = vec![0; 20 * 1024];
    let mut partial_flushes = 0;
    while !connection(&mut host, slot).queue.is_empty() {
        sockets[0]
            .read_exact(&mut bytes)
            .expect("more bytes arrive");
        host.flush_connection(slot, &mut revalidator)
            .expect("the flush succeeds");
        let connection = connection(&mut host, slot);
        let is_queued_or_partially_written = |dispatch: &InFlightDispatch| {
            dispatch
                .line_start
                .is_none_or(|start| start < connection.socket.bytes_written())
        };
        assert!(
            connection
                .in_flight
                .values()
                .all(is_queued_or_partially_written)
        );
        partial_flushes += usize::from(connection.socket.pending_bytes() > 0);
    }
    assert!(
        partial_flushes > 0 && revalidator.calls > 30,
        "lines are requeued and revalidated: {}",
        revalidator.calls
    );
}

/// The cancel to a distant executor is in transit for longer than a clock tick, so the next dispatch could overtake it.
#[test]
fn the_next_dispatch_waits_for_the_connect_time_of_the_previous_executor() {
    let (mut host, ids, mut sockets) = host_with_connections(2);
    host.pool
        .executor_mut(ids[0])
        .expect("the executor is known")
        .min_connect_time = 0.02;
    admit_invocation(&mut host, 0);
    host.dispatch(0, 0, ids[0], 3.0);
    flush(&mut host);
    host.cancel(0, 0);
    host.dispatch(0, 1, ids[1], 3.0);
    for (now, is_sent) in [(0.001, false), (0.020, false), (0.022, true)] {
        host.now = now;
        host.send_due_dispatches();
        flush(&mut host);
        assert_eq!(
            read_available(&mut sockets[1]).contains(r#""DO""#),
            is_sent,
            "at {now}"
        );
    }
}
