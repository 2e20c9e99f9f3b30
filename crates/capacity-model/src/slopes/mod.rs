//! What one more front end, executor, function, instance or change costs: figures at several sizes and the line
//! through them.

mod configuration;
mod control;
mod decision;
pub mod fit;

use crate::report::{Basis, Role, Row, Slope};
use crate::size::Size;
use crate::store::StoreError;

/// Rows and fitted lines of the slopes.
pub struct Slopes {
    /// Rows of the report.
    pub rows: Vec<Row>,
    /// Fitted lines.
    pub slopes: Vec<Slope>,
}

/// Measures each dimension at several sizes.
pub fn run(size: &Size, seed: u64, short: bool) -> Slopes {
    let mut found = decision::run(size, seed, short);
    let control = control::run(size, seed, short);
    if let Err(why) = &control {
        eprintln!("slopes: control could not be measured: {why}");
    }
    found.rows.extend(control_rows(size, &control));
    found
        .slopes
        .extend(control.map_or(vec![], |control| control.slopes));
    match configuration::run(size, seed, short) {
        Ok(slopes) => found.slopes.extend(slopes),
        Err(why) => eprintln!("slopes: configuration could not be measured: {why}"),
    }
    found
}

/// The rows of control, from the largest number of front ends that was measured.
fn control_rows(size: &Size, control: &Result<control::Control, StoreError>) -> Vec<Row> {
    let note = match control {
        Ok(control) => format!(
            "membership and roster of {} hollow front ends over loopback sockets, five members of the stand-in in one \
             process; configuration not included",
            control.largest.0
        ),
        Err(why) => why.to_string(),
    };
    let rows = [
        Row::at_most("control_cpu_share", Role::FrontEnd, "cores", 0.048, &note),
        Row::at_most("control_memory_mb", Role::FrontEnd, "MB", 64.0, &note),
        Row::at_most(
            "control_bytes_per_s",
            Role::FrontEnd,
            "bytes/s",
            12_000.0,
            &note,
        ),
        Row::at_most("store_cpu_share", Role::StoreMember, "cores", 0.5, &note),
        Row::at_most("store_memory_mb", Role::StoreMember, "MB", 2_048.0, &note),
    ];
    let Ok(control) = control else {
        return rows.into();
    };
    let (front_ends, cost) = &control.largest;
    // Smaller runs, such as the short form, can't tell of the whole size.
    if *front_ends < size.front_ends {
        return rows.into();
    }
    let figures = [
        cost.cpu_cores,
        cost.heap_bytes / 1e6,
        cost.bytes_per_s(),
        cost.store_cpu_cores,
        cost.store_heap_bytes / 1e6,
    ];
    rows.into_iter()
        .zip(figures)
        .map(|(row, figure)| row.with(figure, Basis::Measured))
        .collect()
}
