//! The fleet in simulated time: cold starts, herds and what is served through failures.

use crate::report::{Role, Row};
use crate::size::Size;

const NOT_BUILT: &str = "the fleet run is not built yet";

/// Plays the fleet for `seconds` of simulated time and tells its rows.
pub fn run(_size: &Size, _seed: u64, _seconds: f64) -> Vec<Row> {
    vec![
        Row::at_most("cold_start_p99_s", Role::Fleet, "s", 0.37, NOT_BUILT),
        Row::at_least("region_cut_served_share", Role::Region, "share", 0.99, NOT_BUILT),
    ]
}
