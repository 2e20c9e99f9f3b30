//! Distribution of configuration: time until a change is in force, through faults of the store and of the network.

use crate::report::{Role, Row};
use crate::size::{Injection, Size};

const NOT_BUILT: &str = "nothing carries a change of configuration yet";
/// Within what time a change has to be in force everywhere, in seconds.
pub const IN_FORCE_S: f64 = 18.0;

/// Runs the distribution of configuration and tells its rows.
pub fn run(_size: &Size, _seed: u64, _seconds: f64, _injection: Option<Injection>) -> Vec<Row> {
    vec![
        Row::at_most("config_in_force_s", Role::Fleet, "s", IN_FORCE_S, NOT_BUILT),
        Row::at_most("config_heal_s", Role::Region, "s", IN_FORCE_S, NOT_BUILT),
    ]
}
