//! The process stalls while client input waits in its sockets, and then resumes.

use super::*;

/// Longer than the stall threshold, and shorter than the time for which a view counts as fresh.
const STALL: Duration = Duration::from_millis(400);
/// The client timeout in milliseconds that `invocation_frame` sends.
const CLIENT_TIMEOUT_MS: u64 = 3_500;
/// The excess in milliseconds over the client's remaining time that the platform allows.
const SLACK_MS: u64 = 150;

fn disable_load_control(settings: &mut Value) {
    settings["specifics"]["loadControl"] = false.into();
}

/// The time limit in milliseconds of the dispatch that an executor has received.
fn dispatched_limit_ms(front_end: &mut TestFrontEnd, executor: usize, id: &str) -> u64 {
    front_end.executors[executor].read();
    let lines = front_end.executors[executor]
        .connections
        .iter()
        .flat_map(|(_, received)| received.lines());
    let commands: Vec<Value> = lines
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    let dispatch = commands
        .iter()
        .find(|line| line["t"] == "DO" && line["i"] == id)
        .expect("the dispatch was received");
    dispatch["f"]["limit"]
        .as_u64()
        .expect("the limit is a number")
}

/// The time limit sent to an executor must not exceed the client's remaining time, even if the invocation waited in a
/// socket during a stall.
#[test]
fn a_stall_is_subtracted_from_the_time_limit_of_a_dispatch() {
    let mut front_end = TestFrontEnd::new(1, 128, disable_load_control);
    let mut client = front_end.connect_client();
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("the connection is open");
    std::thread::sleep(STALL);
    let (executor, _) = front_end.await_dispatch(&invocation_id(1));
    let limit = dispatched_limit_ms(&mut front_end, executor, &invocation_id(1));
    let left = CLIENT_TIMEOUT_MS - STALL.as_millis() as u64;
    assert!(
        limit <= left + SLACK_MS && limit > left / 2,
        "limit of {limit} ms with {left} ms left"
    );
}

/// After a stall longer than the time for which a view counts as fresh, nothing is dispatched until the resolver has
/// answered. The resolver of this test never does, so the wait ends before it would count as unreachable.
#[test]
fn nothing_is_dispatched_after_a_stall_until_the_view_is_confirmed() {
    let mut front_end = TestFrontEnd::new(1, 128, disable_load_control);
    let mut client = front_end.connect_client();
    std::thread::sleep(Duration::from_millis(1_300));
    let resumed_at = front_end.event_loop.read_clock();
    // Input that is read right after the stall counts as having waited for all of it.
    front_end.poll_until("0.1 s after the stall", |front_end| {
        front_end.event_loop.read_clock() > resumed_at + 0.1
    });
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("the connection is open");
    while front_end.event_loop.read_clock() < resumed_at + 0.6 {
        front_end.poll_once();
        assert!(
            front_end.executors[0].lines_received("DO", "").is_empty(),
            "the view is not confirmed since the stall"
        );
    }
    let now = front_end.event_loop.read_clock();
    front_end
        .event_loop
        .engine
        .on_view_confirmed(now, now, &mut front_end.event_loop.host);
    front_end.await_dispatch(&invocation_id(1));
}
