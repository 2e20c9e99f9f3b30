//! Hollow front ends beside real `orchidtally serve` processes: the rows, a program that is missing, and processes that
//! end with their run. No timings are judged.

mod kit;

use orchidtally_capacity_model::comparison::{
    Comparison, ComparisonError, ControlCost, Plan, rows,
};
use orchidtally_capacity_model::report::{Report, Row};
use orchidtally_capacity_model::size::Size;
use std::collections::BTreeMap;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const ROWS: [&str; 9] = [
    "real_control_bytes_per_s",
    "hollow_real_bytes_ratio",
    "hollow_alone_real_bytes_ratio",
    "real_control_cpu_share",
    "hollow_real_cpu_ratio",
    "hollow_alone_real_cpu_ratio",
    "real_control_memory_mb",
    "hollow_real_memory_ratio",
    "hollow_alone_real_memory_ratio",
];
/// What nothing here takes longer than.
const TIMEOUT: Duration = Duration::from_secs(60);

fn row<'r>(rows: &'r [Row], name: &str) -> &'r Row {
    rows.iter()
        .find(|row| row.name == name)
        .unwrap_or_else(|| panic!("no row {name}"))
}

fn cost(bytes_per_s: f64, cpu_cores: f64, memory_bytes: f64) -> ControlCost {
    ControlCost {
        bytes_per_s,
        cpu_cores,
        memory_bytes,
    }
}

fn full() -> Plan {
    Plan::new(&Size::default(), 1, false)
}

#[test]
fn a_difference_of_a_fifth_is_held_either_way_and_more_is_missed() {
    let found = Comparison {
        hollow: cost(1_100.0, 0.0010, 50e6),
        alone: cost(1_100.0, 0.0012, 20e6),
        real: cost(1_000.0, 0.0012, 30e6),
        list_bytes_per_s: 100.0,
        ..Comparison::default()
    };
    let rows = rows(&full(), &Ok(found));
    let measured = |name| row(&rows, name).measured.unwrap();
    assert_eq!(rows.len(), ROWS.len());
    assert!((measured("real_control_bytes_per_s") - 1_100.0).abs() < 1e-9);
    assert!((measured("hollow_real_bytes_ratio") - 1_200.0 / 1_100.0).abs() < 1e-9);
    assert!(
        (measured("hollow_real_cpu_ratio") - 1.2).abs() < 1e-9,
        "the greater one is above the line"
    );
    assert!((measured("hollow_real_memory_ratio") - 5.0 / 3.0).abs() < 1e-9);
    assert_eq!(measured("hollow_alone_real_cpu_ratio"), 1.0);
    assert!(
        (measured("hollow_alone_real_memory_ratio") - 1.5).abs() < 1e-9,
        "the smaller one is below the line"
    );
    assert!(
        row(&rows, "hollow_real_bytes_ratio").is_met
            && row(&rows, "hollow_alone_real_cpu_ratio").is_met
    );
    assert!(!row(&rows, "hollow_alone_real_memory_ratio").is_met);
    assert!(!row(&rows, "hollow_real_memory_ratio").is_met);
    let limits = [
        "real_control_bytes_per_s",
        "real_control_cpu_share",
        "real_control_memory_mb",
    ];
    assert_eq!(
        limits.map(|name| row(&rows, name).limit),
        [12_000.0, 0.048, 64.0]
    );
    assert!(limits.iter().all(|name| row(&rows, name).is_met));
}

#[test]
fn a_comparison_that_failed_has_no_figures_and_tells_why() {
    let why = ComparisonError::NotReady {
        hollow: 3,
        real: 2,
        seconds: 60.0,
    };
    let rows = rows(&full(), &Err(why));
    assert_eq!(rows.len(), ROWS.len());
    for row in &rows {
        assert!(row.measured.is_none() && !row.is_met, "{row:?}");
        assert!(row.note.contains("3 hollow and 2 real"), "{row:?}");
    }
}

#[test]
fn figures_of_nothing_are_none() {
    let found = Comparison {
        hollow: cost(0.0, 0.001, 0.0),
        real: cost(900.0, 0.0, 1e6),
        ..Comparison::default()
    };
    for row in rows(&full(), &Ok(found)) {
        assert!(row.measured.is_none() && !row.is_met, "{row:?}");
    }
}

#[test]
fn a_gateway_that_is_not_built_is_told_before_anything_runs() {
    for run in ["slopes", "comparison", "all"] {
        let arguments = [run, "--gateway", "/nowhere/orchidtally"];
        let output = Command::new(kit::SCALE)
            .args(arguments)
            .output()
            .expect("the program starts");
        let messages = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(3), "{run}: {messages}");
        assert!(output.stdout.is_empty(), "{run}");
        assert!(
            messages.contains("/nowhere/orchidtally") && messages.contains("cargo build"),
            "{messages}"
        );
        assert_eq!(messages.lines().count(), 1, "nothing was run: {messages}");
    }
}

#[test]
fn hollow_and_real_front_ends_run_side_by_side() {
    let output = kit::run(&["comparison", "--short", "--seed", "5"]);
    let text = String::from_utf8_lossy(&output.stdout);
    let messages = String::from_utf8_lossy(&output.stderr);
    let report: Report = serde_json::from_str(text.lines().last().unwrap_or_default())
        .unwrap_or_else(|why| panic!("{why}: {text}{messages}"));
    for name in ROWS {
        let row = row(&report.rows, name);
        assert!(
            row.note.starts_with("2 processes of `orchidtally serve`: "),
            "{row:?}\n{messages}"
        );
        assert!(
            row.note
                .contains("2 hollow front ends in one process beside them: "),
            "{row:?}"
        );
        // So short a run can't tell of the design.
        assert!(row.measured.is_none(), "{row:?}");
    }
}

/// A process: its parent, when it began, and its command line.
#[derive(Clone, Debug)]
struct Process {
    parent: u32,
    began: u64,
    command: String,
}

/// All processes that run now, by id. One that has ended and is not waited for yet doesn't run.
fn processes() -> BTreeMap<u32, Process> {
    let ids = std::fs::read_dir("/proc")
        .unwrap()
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse::<u32>().ok());
    ids.filter_map(|id| Some((id, process(id)?))).collect()
}

fn process(id: u32) -> Option<Process> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(") ").next()?.split(' ').collect();
    if fields[0] == "Z" {
        return None;
    }
    let command = std::fs::read_to_string(format!("/proc/{id}/cmdline"))
        .ok()?
        .replace('\0', " ");
    Some(Process {
        parent: fields[1].parse().ok()?,
        began: fields[19].parse().ok()?,
        command,
    })
}

/// A process and all that come from it, by id.
fn family(root: u32) -> BTreeMap<u32, Process> {
    let all = processes();
    let mut found: BTreeMap<u32, Process> = all
        .iter()
        .filter(|(id, _)| **id == root)
        .map(|(id, p)| (*id, p.clone()))
        .collect();
    loop {
        let children = all
            .iter()
            .filter(|(id, p)| found.contains_key(&p.parent) && !found.contains_key(id));
        let children: Vec<(u32, Process)> = children.map(|(id, p)| (*id, p.clone())).collect();
        if children.is_empty() {
            return found;
        }
        found.extend(children);
    }
}

fn still_runs(id: u32, known: &Process) -> bool {
    process(id).is_some_and(|process| process.began == known.began)
}

#[test]
fn all_processes_end_with_a_run_that_is_killed() {
    kit::gateway();
    let mut run = Command::new(kit::SCALE)
        .args(["all", "--short", "--seed", "9"])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let (began, mut seen) = (Instant::now(), BTreeMap::new());
    while !seen
        .values()
        .any(|process: &Process| process.command.contains("serve --until-input-ends"))
    {
        assert!(
            began.elapsed() < TIMEOUT,
            "no front end was started: {seen:?}"
        );
        assert!(
            run.try_wait().unwrap().is_none(),
            "the run ended before: {seen:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
        seen.extend(family(run.id()));
    }
    run.kill().unwrap();
    run.wait().unwrap();
    let killed = Instant::now();
    while let Some((id, process)) = seen.iter().find(|(id, process)| still_runs(**id, process)) {
        assert!(
            killed.elapsed() < TIMEOUT / 4,
            "{id} still runs: {process:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
