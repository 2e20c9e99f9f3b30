//! What one more front end, executor, function, instance or change costs: figures at several sizes and the line
//! through them.

mod decision;
pub mod fit;

use crate::report::{Role, Row, Slope};
use crate::size::Size;

const NOT_BUILT: &str = "the control part of the slopes is not built yet";

/// What the slopes tell.
pub struct Slopes {
    pub rows: Vec<Row>,
    pub slopes: Vec<Slope>,
}

/// Measures each dimension at several sizes.
pub fn run(size: &Size, seed: u64, short: bool) -> Slopes {
    let mut found = decision::run(size, seed, short);
    found.rows.extend([
        Row::at_most("control_cpu_share", Role::FrontEnd, "cores", 0.048, NOT_BUILT),
        Row::at_most("control_memory_mb", Role::FrontEnd, "MB", 64.0, NOT_BUILT),
        Row::at_most("control_bytes_per_s", Role::FrontEnd, "bytes/s", 12_000.0, NOT_BUILT),
        Row::at_most("store_cpu_share", Role::StoreMember, "cores", 0.5, NOT_BUILT),
        Row::at_most("store_memory_mb", Role::StoreMember, "MB", 2_048.0, NOT_BUILT),
    ]);
    found
}
