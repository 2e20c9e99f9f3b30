//! The process stands still with clients' bytes in its sockets, and goes on.

use super::*;

/// Longer than the process may take between two looks at its clock, and within the time for which a view is fresh.
const STOOD_STILL: Duration = Duration::from_millis(400);
/// The client's time in milliseconds, as `invocation` tells it.
const ALLOW_MS: u64 = 3_500;
/// By the platform's terms.
const SLACK_MS: u64 = 150;

fn without_orders(s: &mut Value) {
    s["specifics"]["loadControl"] = false.into();
}

fn limit(stage: &mut Stage, peer: usize, id: &str) -> u64 {
    stage.peers[peer].read();
    let lines = stage.peers[peer]
        .ends
        .iter()
        .flat_map(|(_, come)| come.lines());
    let told: Vec<Value> = lines
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    let told = told
        .iter()
        .find(|line| line["t"] == "DO" && line["i"] == id)
        .expect("it was dispatched");
    told["f"]["limit"].as_u64().expect("a number")
}

/// An executor is told no more than the client has left, wherever its bytes have waited.
#[test]
fn the_time_that_bytes_waited_is_taken_off_the_limit_that_executors_are_told() {
    let mut stage = Stage::new(1, 128, without_orders);
    let mut client = stage.client();
    client
        .write_all(&invocation(1, &id(1), "read"))
        .expect("it stands");
    std::thread::sleep(STOOD_STILL);
    let (peer, _) = stage.dispatched(&id(1));
    let told = limit(&mut stage, peer, &id(1));
    let left = ALLOW_MS - STOOD_STILL.as_millis() as u64;
    assert!(
        told <= left + SLACK_MS && told > left / 2,
        "{told} ms of {left}"
    );
}

/// Past the time for which a view is fresh nothing leaves until the resolver has answered; this one says nothing, so
/// that it is known to be silent after a while.
#[test]
fn nothing_leaves_on_a_view_from_before_until_it_is_confirmed_or_its_source_is_silent() {
    let mut stage = Stage::new(1, 128, without_orders);
    let mut client = stage.client();
    std::thread::sleep(Duration::from_millis(1_300));
    let went_on = stage.event_loop.read_clock();
    // What is read right after it counts as if it had waited for all of it.
    stage.until("caught up", |s| s.event_loop.read_clock() > went_on + 0.1);
    client
        .write_all(&invocation(1, &id(1), "read"))
        .expect("it stands");
    while stage.event_loop.read_clock() < went_on + 0.6 {
        stage.poll_once();
        assert!(
            stage.peers[0].lines("DO", "").is_empty(),
            "nothing was heard since"
        );
    }
    let now = stage.event_loop.read_clock();
    stage
        .event_loop
        .engine
        .on_view_confirmed(now, now, &mut stage.event_loop.host);
    stage.dispatched(&id(1));
}
