//! The `rollouts` section: the coordinators that a front end polls.

use crate::reader::Fields;
use std::net::SocketAddr;

const MAX_COORDINATORS: usize = 5;
const DEFAULT_POLL_INTERVAL: f64 = 0.5;

/// Reads the coordinators' addresses and the polling interval in seconds.
pub(crate) fn read_rollouts(top: &Fields) -> (Vec<SocketAddr>, f64) {
    let rollouts = top.optional_object("rollouts", &["coordinators", "every"]);
    let coordinators: Vec<SocketAddr> = rollouts
        .at("coordinators")
        .list()
        .iter()
        .filter_map(|place| place.parsed("an address and port", str::parse))
        .collect();
    if coordinators.len() > MAX_COORDINATORS {
        rollouts
            .at("coordinators")
            .fault("at most 5 coordinators are supported");
    }
    let poll_interval = rollouts.optional("every", |place| place.seconds(0.05..=2.0));
    (coordinators, poll_interval.unwrap_or(DEFAULT_POLL_INTERVAL))
}
