//! The process stands still with clients' bytes in its sockets, and goes on.

use super::*;

/// Longer than the process may take between two looks at its clock, and within the time for which a view is fresh.
const STALL: Duration = Duration::from_millis(400);
/// The client's time in milliseconds, as `invocation` tells it.
const CLIENT_TIMEOUT_MS: u64 = 3_500;
/// By the platform's terms.
const SLACK_MS: u64 = 150;

fn disable_load_control(settings: &mut Value) {
    settings["specifics"]["loadControl"] = false.into();
}

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
        .expect("it was dispatched");
    dispatch["f"]["limit"].as_u64().expect("a number")
}

/// An executor is told no more than the client has left, wherever its bytes have waited.
#[test]
fn the_time_that_bytes_waited_is_taken_off_the_limit_that_executors_are_told() {
    let mut front_end = TestFrontEnd::new(1, 128, disable_load_control);
    let mut client = front_end.connect_client();
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("it stands");
    std::thread::sleep(STALL);
    let (executor, _) = front_end.await_dispatch(&invocation_id(1));
    let limit = dispatched_limit_ms(&mut front_end, executor, &invocation_id(1));
    let left = CLIENT_TIMEOUT_MS - STALL.as_millis() as u64;
    assert!(
        limit <= left + SLACK_MS && limit > left / 2,
        "limit of {limit} ms with {left} ms left"
    );
}

/// Past the time for which a view is fresh nothing leaves until the resolver has answered; this one says nothing, so
/// that it is known to be silent after a while.
#[test]
fn nothing_leaves_on_a_view_from_before_until_it_is_confirmed_or_its_source_is_silent() {
    let mut front_end = TestFrontEnd::new(1, 128, disable_load_control);
    let mut client = front_end.connect_client();
    std::thread::sleep(Duration::from_millis(1_300));
    let resumed_at = front_end.event_loop.read_clock();
    // What is read right after it counts as if it had waited for all of it.
    front_end.poll_until("caught up", |front_end| {
        front_end.event_loop.read_clock() > resumed_at + 0.1
    });
    client
        .write_all(&invocation_frame(1, &invocation_id(1), "read"))
        .expect("it stands");
    while front_end.event_loop.read_clock() < resumed_at + 0.6 {
        front_end.poll_once();
        assert!(
            front_end.executors[0].lines_received("DO", "").is_empty(),
            "nothing was heard since"
        );
    }
    let now = front_end.event_loop.read_clock();
    front_end
        .event_loop
        .engine
        .on_view_confirmed(now, now, &mut front_end.event_loop.host);
    front_end.await_dispatch(&invocation_id(1));
}
