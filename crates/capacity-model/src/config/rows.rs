//! The rows of a configuration run.

use super::entries::Function;
use super::findings::{Findings, READ_WINDOW_S};
use super::meter::Spent;
use super::{Memory, Plan};
use crate::report::{Basis, Role, Row};

/// Within what time a change has to be in force everywhere, in seconds.
const IN_FORCE_S: f64 = 18.0;
/// What a front end may spend on control: cores, megabytes, bytes a second.
const CONTROL_CPU: f64 = 0.048;
const CONTROL_MB: f64 = 64.0;
const CONTROL_BYTES_PER_S: f64 = 12_000.0;
/// What a member of the store may spend: cores, megabytes.
const STORE_CPU: f64 = 0.5;
const STORE_MB: f64 = 2_048.0;
const MEGABYTE: f64 = 1e6;

/// The rows, missed where nothing was measured.
pub(super) fn rows(plan: &Plan, findings: &Findings, memory: &Memory) -> Vec<Row> {
    let mut rows = in_force(plan, findings, memory);
    rows.extend(control(plan, findings, memory));
    rows.extend(store(plan, findings));
    rows
}

/// The longest of several times; `None` if one of them was not measured.
fn greatest(times: &[Option<f64>]) -> Option<f64> {
    times
        .iter()
        .copied()
        .try_fold(0.0_f64, |greatest, time| Some(greatest.max(time?)))
}

fn filled(row: Row, figure: Option<f64>) -> Row {
    match figure {
        Some(figure) => row.with(figure, Basis::Measured),
        None => row,
    }
}

fn seconds(time: Option<f64>) -> String {
    time.map_or("not in force".into(), |time| format!("{time:.2} s"))
}

/// What the waits that timed out were waiting for, as the end of a note.
fn missing_changes(findings: &Findings) -> String {
    match findings.missing.is_empty() {
        true => String::new(),
        false => format!("; {}", findings.missing.join("; ")),
    }
}

fn in_force(plan: &Plan, findings: &Findings, memory: &Memory) -> Vec<Row> {
    let mut rows = time_in_force(plan, findings);
    rows.extend(time_to_heal(plan, findings));
    rows.extend(correctness(plan, findings, memory));
    rows
}

/// How long changes take until they are in force.
fn time_in_force(plan: &Plan, findings: &Findings) -> Vec<Row> {
    let missing = missing_changes(findings);
    let note = format!(
        "{} hollow front ends with {} functions on one core over loopback sockets, by what calls see: {} single \
         changes {}, {} changes written within {:.2} s {}, two of five members stopped in the middle of a change {}, at \
         reachable front ends while a region is cut off for {} s {}{missing}",
        plan.front_ends,
        plan.functions_loaded,
        (plan.daily_s * plan.daily_rate).ceil(),
        seconds(findings.daily_in_force_s),
        plan.burst,
        findings.burst_write_s,
        seconds(findings.burst_in_force_s),
        seconds(findings.member_failure_in_force_s),
        plan.cut_s,
        seconds(findings.cut_in_force_s),
    );
    vec![filled(
        Row::at_most("config_in_force_s", Role::Fleet, "s", IN_FORCE_S, &note),
        greatest(&[
            findings.daily_in_force_s,
            findings.burst_in_force_s,
            findings.member_failure_in_force_s,
            findings.cut_in_force_s,
        ]),
    )]
}

/// How long front ends take to catch up after they were cut off, compacted past, or restarted.
fn time_to_heal(plan: &Plan, findings: &Findings) -> Vec<Row> {
    let missing = missing_changes(findings);
    let heal_note = format!(
        "after a region was cut off for {} s {}, after all members were away and the history was compacted past all \
         watches {}, {} front ends back at once from old snapshots {}{missing}",
        plan.cut_s,
        seconds(findings.cut_heal_s),
        seconds(findings.compaction_heal_s),
        plan.returning,
        seconds(findings.return_heal_s),
    );
    let return_note = format!(
        "{} front ends back at once whose snapshots lack the burst of {} changes: read at the pace of {:.0} bytes/s",
        plan.returning,
        plan.burst,
        super::entries::settings().read_bytes_per_second,
    );
    vec![
        filled(
            Row::at_most("config_heal_s", Role::Region, "s", IN_FORCE_S, &heal_note),
            greatest(&[
                findings.cut_heal_s,
                findings.compaction_heal_s,
                findings.return_heal_s,
            ]),
        ),
        filled(
            Row::at_most(
                "config_return_after_burst_s",
                Role::Region,
                "s",
                IN_FORCE_S,
                &return_note,
            ),
            findings.return_after_burst_s,
        ),
    ]
}

/// Calls admitted against a change, false claims of a view, and entries that are read again.
fn correctness(plan: &Plan, findings: &Findings, memory: &Memory) -> Vec<Row> {
    let document_bytes = (plan.functions_loaded * Function::version(0).document().len()) as f64;
    let is_complete = findings.store_heap_bytes > 0.0;
    let claims_note = "front ends that report a revision whose change their calls don't see";
    let reads_note = format!(
        "the most that any front end received in one catch-up, over the documents of all {} functions: a whole read is 1",
        plan.functions_loaded
    );
    vec![
        filled(
            Row::at_most(
                "config_revoked_used_s",
                Role::Fleet,
                "s",
                IN_FORCE_S,
                "the last time after its write at which any front end, cut off ones included, admitted a call that it \
                 forbids",
            ),
            findings.revoked_used_s,
        ),
        filled(
            Row::at_most(
                "config_false_claims",
                Role::Fleet,
                "front ends",
                0.0,
                claims_note,
            ),
            Some(memory.false_claims as f64),
        ),
        filled(
            Row::at_most(
                "config_reread_share",
                Role::FrontEnd,
                "share",
                0.5,
                &reads_note,
            ),
            is_complete.then_some(findings.most_caught_up_bytes as f64 / document_bytes),
        ),
    ]
}

fn control(plan: &Plan, findings: &Findings, memory: &Memory) -> Vec<Row> {
    let Spent {
        cpu_cores,
        bytes_per_s,
        ..
    } = findings.daily;
    let rate = plan.daily_rate;
    let note = format!(
        "membership, roster and configuration of {} hollow front ends at {rate} changes a second, {:.0} times the daily \
         rate; at rest {:.5} cores and {:.0} bytes/s",
        plan.front_ends,
        rate * 86_400.0 / 1_700.0,
        findings.idle.cpu_cores,
        findings.idle.bytes_per_s,
    );
    let memory_note = format!(
        "heap of one front end: configuration of {} functions {:.1} MB, the rest {:.1} MB with {} executors",
        plan.functions,
        memory.configuration_bytes / MEGABYTE,
        memory.control_bytes / MEGABYTE,
        plan.executors,
    );
    let read_note = format!(
        "highest mean over {READ_WINDOW_S} s that a front end received for configuration while it caught up"
    );
    let burst_note = format!(
        "the busiest front end's mean over {} s with {} changes written within {:.2} s: received for configuration",
        plan.burst_window_s, plan.burst, findings.burst_write_s,
    );
    let positive = |figure: f64| (figure > 0.0).then_some(figure);
    let megabytes = (memory.control_bytes + memory.configuration_bytes) / MEGABYTE;
    vec![
        filled(
            Row::at_most(
                "control_cpu_share",
                Role::FrontEnd,
                "cores",
                CONTROL_CPU,
                &note,
            ),
            positive(cpu_cores),
        ),
        filled(
            Row::at_most(
                "control_memory_mb",
                Role::FrontEnd,
                "MB",
                CONTROL_MB,
                &memory_note,
            ),
            positive(memory.control_bytes).map(|_| megabytes),
        ),
        filled(
            Row::at_most(
                "control_bytes_per_s",
                Role::FrontEnd,
                "bytes/s",
                CONTROL_BYTES_PER_S,
                &note,
            ),
            positive(bytes_per_s),
        ),
        filled(
            Row::at_most(
                "config_catch_up_bytes_per_s",
                Role::FrontEnd,
                "bytes/s",
                CONTROL_BYTES_PER_S,
                &read_note,
            ),
            positive(findings.read_bytes_per_s),
        ),
        filled(
            Row::at_most(
                "config_burst_bytes_per_s",
                Role::FrontEnd,
                "bytes/s",
                CONTROL_BYTES_PER_S,
                &burst_note,
            ),
            findings.burst_bytes_per_s,
        ),
    ]
}

fn store(plan: &Plan, findings: &Findings) -> Vec<Row> {
    let note = format!(
        "a fifth of the stand-in's process, which is all five members, with {} front ends at {} changes a second: an \
         etcd's own cost of a message is not in it",
        plan.front_ends, plan.daily_rate
    );
    let memory_note = format!(
        "heap of the stand-in's process at the end: {} functions, {} front ends and {} executors, one copy",
        plan.functions_loaded, plan.front_ends, plan.executors
    );
    let positive = |figure: f64| (figure > 0.0).then_some(figure);
    vec![
        filled(
            Row::at_most(
                "store_cpu_share",
                Role::StoreMember,
                "cores",
                STORE_CPU,
                &note,
            ),
            positive(findings.daily.store_cpu_cores),
        ),
        filled(
            Row::at_most(
                "store_memory_mb",
                Role::StoreMember,
                "MB",
                STORE_MB,
                &memory_note,
            ),
            positive(findings.store_heap_bytes).map(|bytes| bytes / MEGABYTE),
        ),
    ]
}
