//! The rows of a comparison.

use super::{Comparison, ComparisonError, ControlCost, Plan};
use crate::report::{Basis, Role, Row};

/// What a front end may spend on control: cores, megabytes, bytes a second.
const CONTROL_CPU: f64 = 0.048;
const CONTROL_MB: f64 = 64.0;
const CONTROL_BYTES_PER_S: f64 = 12_000.0;
/// By how much hollow and real front ends may differ, the greater figure over the smaller one.
const MAX_RATIO: f64 = 1.2;
const MEGABYTE: f64 = 1e6;

/// One figure of hollow and real front ends.
struct Figure {
    /// The rows' names: of what it costs a real front end, and of how far hollow ones part from it, many in one process
    /// and each in its own.
    cost_name: &'static str,
    ratio_name: &'static str,
    alone_ratio_name: &'static str,
    unit: &'static str,
    limit: f64,
    hollow: f64,
    /// Of a hollow one in a process of its own.
    alone: f64,
    real: f64,
    /// How it was measured, and what else belongs to it.
    note: String,
}

/// The rows; a row without a figure is missed. The rows of a short run have no figures, only notes.
pub fn rows(plan: &Plan, found: &Result<Comparison, ComparisonError>) -> Vec<Row> {
    let measured = found.as_ref().ok().copied().unwrap_or_default();
    let figures = [bytes(&measured), cpu(&measured), memory(&measured)];
    figures
        .iter()
        .flat_map(|figure| rows_of(plan, figure, found))
        .collect()
}

fn rows_of(plan: &Plan, figure: &Figure, found: &Result<Comparison, ComparisonError>) -> [Row; 3] {
    let Figure {
        cost_name,
        ratio_name,
        alone_ratio_name,
        unit,
        limit,
        hollow,
        alone,
        real,
        note,
    } = figure;
    let beside = format!(
        "{} processes of `orchidtally serve`: {real:.5}; {} hollow front ends in one process beside them: {hollow:.5}, {} in processes of \
         their own: {alone:.5}; the same store, {} functions, {} executors, a change of roster and configuration each second for {} s; {note}",
        plan.real, plan.hollow, plan.alone, plan.functions, plan.executors, plan.measured_s,
    );
    let note = match found {
        Ok(_) => beside,
        Err(why) => why.to_string(),
    };
    let cost = Row::at_most(cost_name, Role::FrontEnd, unit, *limit, &note);
    let ratio = |name| {
        Row::at_most(
            name,
            Role::FrontEnd,
            "greater over smaller",
            MAX_RATIO,
            &note,
        )
    };
    let [shared_process_ratio, own_process_ratio] =
        [ratio_name, alone_ratio_name].map(|name| ratio(name));
    let has_figures = plan.is_judged
        && found.is_ok()
        && [hollow, alone, real].iter().all(|figure| **figure > 0.0);
    if !has_figures {
        return [cost, shared_process_ratio, own_process_ratio];
    }
    let parted = |figure: f64| (figure / real).max(real / figure);
    [
        cost.with(*real, Basis::Measured),
        shared_process_ratio.with(parted(*hollow), Basis::Measured),
        own_process_ratio.with(parted(*alone), Basis::Measured),
    ]
}

fn bytes(found: &Comparison) -> Figure {
    let lists = found.list_bytes_per_s;
    let with_lists = |cost: &ControlCost| {
        if cost.bytes_per_s > 0.0 {
            cost.bytes_per_s + lists
        } else {
            0.0
        }
    };
    Figure {
        cost_name: "real_control_bytes_per_s",
        ratio_name: "hollow_real_bytes_ratio",
        alone_ratio_name: "hollow_alone_real_bytes_ratio",
        unit: "bytes/s",
        limit: CONTROL_BYTES_PER_S,
        hollow: with_lists(&found.hollow),
        alone: with_lists(&found.alone),
        real: with_lists(&found.real),
        note: format!(
            "at the store's sockets by client, of these {lists:.0} for whole lists of the executors, arithmetic"
        ),
    }
}

fn cpu(found: &Comparison) -> Figure {
    Figure {
        cost_name: "real_control_cpu_share",
        ratio_name: "hollow_real_cpu_ratio",
        alone_ratio_name: "hollow_alone_real_cpu_ratio",
        unit: "cores",
        limit: CONTROL_CPU,
        hollow: found.hollow.cpu_cores,
        alone: found.alone.cpu_cores,
        real: found.real.cpu_cores,
        note: format!(
            "by the processes' own clocks; the {:.5} cores of a process without a store are not in it; many in one process are \
             waked together",
            found.without_store.cpu_cores
        ),
    }
}

fn memory(found: &Comparison) -> Figure {
    Figure {
        cost_name: "real_control_memory_mb",
        ratio_name: "hollow_real_memory_ratio",
        alone_ratio_name: "hollow_alone_real_memory_ratio",
        unit: "MB",
        limit: CONTROL_MB,
        hollow: found.hollow.memory_bytes / MEGABYTE,
        alone: found.alone.memory_bytes / MEGABYTE,
        real: found.real.memory_bytes / MEGABYTE,
        note: format!(
            "anonymous resident memory above the {:.2} MB of a process without a store, with what the allocator keeps; hollow \
             ones in one process by what is in use on the heap, their resident memory is {:.2} MB each",
            found.without_store.memory_bytes / MEGABYTE,
            found.hollow_resident_bytes / MEGABYTE
        ),
    }
}
