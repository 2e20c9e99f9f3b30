//! The process clock and its stall detection.

use super::*;
use orchidtally_engine::stall_detector::STALL_THRESHOLD;
use std::time::Duration;

#[test]
fn a_stall_between_two_reads_is_reported_once() {
    let mut clock = ProcessClock::starting_at(5.0);
    let first = clock.read();
    assert!((5.0..6.0).contains(&first));
    clock.take_stall();
    std::thread::sleep(Duration::from_secs_f64(STALL_THRESHOLD + 0.05));
    let second = clock.read();
    assert!(second >= first + STALL_THRESHOLD);
    assert!(clock.take_stall().is_some_and(|gap| gap > STALL_THRESHOLD));
    assert!(
        clock.earliest_arrival(second) <= second - STALL_THRESHOLD,
        "bytes may have waited for the whole stall"
    );
    assert_eq!(clock.earliest_arrival(second + 0.1), second + 0.1);
    clock.read();
    assert_eq!(clock.take_stall(), None);
}
