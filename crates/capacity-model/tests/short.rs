//! The program in its short form: the shape of its last line, its exit codes, and that planted faults are found. No
//! timings are judged.

mod kit;

use kit::run;
use orchidtally_capacity_model::report::{Report, Row, Slope, Verdict};
use std::process::Output;

const IN_FORCE: &str = "config_in_force_s";

/// The report in the last line, and the exit code that fits it.
fn report(output: &Output) -> Report {
    let text = String::from_utf8_lossy(&output.stdout);
    let messages = String::from_utf8_lossy(&output.stderr);
    let last = text
        .lines()
        .last()
        .unwrap_or_else(|| panic!("no line on standard output: {messages}"));
    let report: Report =
        serde_json::from_str(last).unwrap_or_else(|why| panic!("{why}: {last}\n{messages}"));
    let all_met = report.rows.iter().all(|row| row.is_met);
    assert_eq!(report.verdict == Verdict::Met, all_met, "{last}");
    let code = if all_met { 0 } else { 1 };
    assert_eq!(output.status.code(), Some(code), "{last}");
    report
}

fn row<'r>(report: &'r Report, name: &str) -> &'r Row {
    report
        .rows
        .iter()
        .find(|row| row.name == name)
        .unwrap_or_else(|| panic!("no row {name}"))
}

#[test]
fn bad_arguments_exit_with_2_and_say_why() {
    let bad: [&[&str]; 6] = [
        &[],
        &["everything"],
        &["config", "--front-ends", "0"],
        &["fleet", "--seconds", "-1"],
        &["config", "--inject", "nothing-known"],
        &["slopes", "--inject", "lost-change"],
    ];
    for arguments in bad {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
}

#[test]
fn all_tells_every_row_of_the_design() {
    let report = report(&run(&["all", "--short", "--seed", "3"]));
    let names = [
        "control_cpu_share",
        "control_memory_mb",
        "control_bytes_per_s",
        "decision_cpu_us",
        "decision_cpu_growth",
        IN_FORCE,
        "config_heal_s",
        "cold_start_p99_s",
        "store_cpu_share",
        "store_memory_mb",
        "region_cut_served_share",
    ];
    for name in names {
        let row = row(&report, name);
        assert!(!row.unit.is_empty() && !row.note.is_empty(), "{row:?}");
        assert!(row.measured.is_some() || !row.is_met, "{row:?}");
    }
    assert_eq!(report.seed, 3);
    let mut seen: Vec<&str> = report.rows.iter().map(|row| row.name.as_str()).collect();
    seen.sort_unstable();
    let count = seen.len();
    seen.dedup();
    assert_eq!(seen.len(), count, "a row is told twice");
    for slope in &report.slopes {
        assert!(
            slope.points.len() >= 3 && slope.slope_error.is_finite(),
            "{slope:?}"
        );
    }
    assert!(!report.slopes.is_empty());
    let of_configuration = [
        ("time to return", "changes missed"),
        ("bytes to return", "changes missed"),
        ("time to return", "entries held"),
        ("time to return", "front ends"),
        ("time in force", "changes in a burst"),
        ("time in force", "entries held"),
        ("time in force", "front ends"),
        ("bytes of changes", "changes in a burst"),
        ("CPU of changes", "changes in a burst"),
    ];
    for (figure, dimension) in of_configuration {
        let is_it = |slope: &&Slope| slope.figure == figure && slope.dimension == dimension;
        assert_eq!(
            report.slopes.iter().filter(is_it).count(),
            1,
            "{figure} by {dimension}"
        );
    }
    // Changes cost bytes, whatever else a busy machine does to times.
    let bytes = report
        .slopes
        .iter()
        .find(|slope| slope.figure == "bytes of changes");
    assert!(bytes.is_some_and(|slope| slope.slope > 100.0), "{bytes:?}");
    // What a small fleet can't tell of is not made up.
    assert_eq!(row(&report, "decision_cpu_growth").measured, None);
}

#[test]
fn changes_come_into_force_and_nobody_claims_what_it_has_not() {
    let report = report(&run(&["config", "--short"]));
    let measured = [
        IN_FORCE,
        "config_heal_s",
        "config_return_after_burst_s",
        "config_revoked_used_s",
        "config_burst_bytes_per_s",
    ];
    for name in measured {
        let row = row(&report, name);
        assert!(row.measured.is_some(), "{row:?}");
    }
    assert_eq!(row(&report, "config_false_claims").measured, Some(0.0));
    assert!(row(&report, "config_reread_share").measured.is_some());
}

#[test]
fn a_lost_change_is_found() {
    let report = report(&run(&["config", "--short", "--inject", "lost-change"]));
    let row = row(&report, IN_FORCE);
    assert!(!row.is_met && row.measured.is_none(), "{row:?}");
    assert!(row.note.contains("front end 1 lacks"), "{row:?}");
}

#[test]
fn a_front_end_that_claims_a_view_it_has_not_is_found() {
    let report = report(&run(&["config", "--short", "--inject", "stale-view"]));
    let claims = row(&report, "config_false_claims");
    assert!(!claims.is_met && claims.measured == Some(1.0), "{claims:?}");
    assert!(!row(&report, IN_FORCE).is_met);
}

#[test]
fn a_slow_store_is_found() {
    let report = report(&run(&["config", "--short", "--inject", "slow-store"]));
    let row = row(&report, IN_FORCE);
    assert!(
        !row.is_met && row.note.contains("did not take the change"),
        "{row:?}"
    );
}
