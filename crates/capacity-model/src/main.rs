//! `orchidtally-scale`: runs the scale tests and prints their report.
//!
//! Progress goes to standard error; the last line on standard output is the report as JSON. Exit codes: 0 all rows
//! are held, 1 one is missed, 2 bad arguments, 3 could not run.

use clap::{Parser, ValueEnum};
use orchidtally_capacity_model::comparison::{self, GatewayError, gateway_program};
use orchidtally_capacity_model::parts::{self, Part, PartError};
use orchidtally_capacity_model::report::{self, Report, Row};
use orchidtally_capacity_model::size::{Injection, Size};
use orchidtally_capacity_model::{config, fleet, slopes, store, tables};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

const BAD_ARGUMENTS: u8 = 2;
const COULD_NOT_RUN: u8 = 3;
/// The size of a short run at the most.
const SHORT_FRONT_ENDS: usize = 12;
const SHORT_EXECUTORS: usize = 36;
const SHORT_FUNCTIONS: usize = 300;
/// Simulated seconds of the fleet in a short run.
const SHORT_FLEET_SECONDS: f64 = 2.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Run {
    /// What one more of each dimension costs, and hollow front ends beside real ones.
    Slopes,
    /// Hollow front ends beside real ones alone.
    Comparison,
    /// The fleet in simulated time, through failures.
    Fleet,
    /// Distribution of configuration, through failures.
    Config,
    /// All of them, side by side.
    All,
    /// No run: the report on standard input is told again, for its tables.
    Stored,
    /// The control store of a run, as a process of its own.
    #[value(hide = true)]
    Store,
    /// A hollow front end of a comparison, as a process of its own.
    #[value(hide = true)]
    Hollow,
}

/// Scale tests of orchidtally's own parts, for maintainers.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    run: Run,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 550, value_parser = clap::value_parser!(u32).range(1..=5_000))]
    front_ends: u32,
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u32).range(3..=20_000))]
    executors: u32,
    #[arg(long, default_value_t = 21_000, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    functions: u32,
    /// Simulated seconds of the fleet and real seconds of single changes of configuration; by default as long as fits.
    #[arg(long, value_parser = seconds)]
    seconds: Option<f64>,
    /// Plants a fault that the run has to find.
    #[arg(long)]
    inject: Option<Injection>,
    /// Few and small measurements: seconds in all, to check the program and not the design.
    #[arg(long)]
    short: bool,
    /// The `orchidtally` program that hollow front ends are compared with; by default the one beside this program.
    #[arg(long, value_name = "FILE")]
    gateway: Option<PathBuf>,
    /// Ends when standard input does, so that a part does not outlive its run.
    #[arg(long, hide = true)]
    until_input_ends: bool,
    /// Writes the tables of the report between their marks in this Markdown file.
    #[arg(long, value_name = "FILE")]
    tables: Option<PathBuf>,
}

fn seconds(text: &str) -> Result<f64, String> {
    let seconds: f64 = text
        .parse()
        .map_err(|_| format!("'{text}' is no number of seconds"))?;
    match seconds.is_finite() && seconds > 0.0 && seconds <= 86_400.0 {
        true => Ok(seconds),
        false => Err("seconds lie above 0 and at most at 86400".into()),
    }
}

/// Why a run gave no report.
#[derive(Debug, Error)]
enum RunError {
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    #[error(transparent)]
    Part(#[from] PartError),
}

/// The size of a short run: a small one with the same calls at a front end and instances at an executor.
fn shortened(full: Size) -> Size {
    let front_ends = full.front_ends.min(SHORT_FRONT_ENDS);
    let executors = full.executors.min(SHORT_EXECUTORS);
    Size {
        front_ends,
        executors,
        functions: full.functions.min(SHORT_FUNCTIONS),
        calls_per_s: full.calls_per_front_end() * front_ends as f64,
        instances: full.instances * executors / full.executors,
        ..full
    }
}

impl Arguments {
    fn size(&self) -> Size {
        let full = Size {
            front_ends: self.front_ends as usize,
            executors: self.executors as usize,
            functions: self.functions as usize,
            ..Size::default()
        };
        if self.short { shortened(full) } else { full }
    }

    /// The arguments of a part of this run.
    fn of_part(&self, part: &str) -> Vec<String> {
        let mut arguments = vec![part.to_owned()];
        let mut add = |name: &str, value: String| arguments.extend([format!("--{name}"), value]);
        add("seed", self.seed.to_string());
        add("front-ends", self.front_ends.to_string());
        add("executors", self.executors.to_string());
        add("functions", self.functions.to_string());
        if let Some(seconds) = self.seconds {
            add("seconds", seconds.to_string());
        }
        if let Some(value) = self
            .inject
            .filter(|_| part == "config")
            .and_then(|i| i.to_possible_value())
        {
            add("inject", value.get_name().to_owned());
        }
        if let Some(gateway) = &self.gateway {
            add("gateway", gateway.display().to_string());
        }
        if self.short {
            arguments.push("--short".into());
        }
        arguments.push("--until-input-ends".into());
        arguments
    }
}

fn run_slopes(arguments: &Arguments, size: Size) -> Result<Report, GatewayError> {
    // A program that is missing is told before anything takes its time.
    let gateway = gateway_program(arguments.gateway.as_deref())?;
    let found = slopes::run(&size, arguments.seed, arguments.short);
    let rows = found
        .rows
        .into_iter()
        .chain(comparison_rows(arguments, &size, &gateway))
        .collect();
    Ok(Report::new(size, arguments.seed, None, rows, found.slopes))
}

fn run_comparison(arguments: &Arguments, size: Size) -> Result<Report, GatewayError> {
    let gateway = gateway_program(arguments.gateway.as_deref())?;
    let rows = comparison_rows(arguments, &size, &gateway);
    Ok(Report::new(size, arguments.seed, None, rows, vec![]))
}

fn comparison_rows(arguments: &Arguments, size: &Size, gateway: &Path) -> Vec<Row> {
    let plan = comparison::Plan::new(size, arguments.seed, arguments.short);
    comparison::run(&plan, gateway)
}

fn run_fleet(arguments: &Arguments, size: Size) -> Report {
    let default = if arguments.short {
        SHORT_FLEET_SECONDS
    } else {
        fleet::SECONDS
    };
    let rows = fleet::run(&size, arguments.seed, arguments.seconds.unwrap_or(default));
    Report::new(size, arguments.seed, None, rows, vec![])
}

fn run_config(arguments: &Arguments, size: Size) -> Report {
    let mut plan = config::Plan::new(&size, arguments.seed, arguments.inject, arguments.short);
    plan.daily_s = arguments.seconds.unwrap_or(plan.daily_s);
    Report::new(
        size,
        arguments.seed,
        arguments.inject,
        config::run(&plan),
        vec![],
    )
}

/// Rows of configuration, which measure all of control together, take the place of those of the slopes.
fn run_all(arguments: &Arguments, size: Size) -> Result<Report, RunError> {
    gateway_program(arguments.gateway.as_deref())?;
    let parts: Result<Vec<Part>, PartError> = ["slopes", "fleet", "config"]
        .iter()
        .map(|part| Part::start(&arguments.of_part(part)))
        .collect();
    let reports: Vec<Result<Report, PartError>> = parts?.into_iter().map(Part::report).collect();
    let (mut rows, mut fits) = (vec![], vec![]);
    for report in reports {
        let report = report?;
        report::merge(&mut rows, report.rows);
        fits.extend(report.slopes);
    }
    Ok(Report::new(
        size,
        arguments.seed,
        arguments.inject,
        rows,
        fits,
    ))
}

/// An error message and the exit code for it.
fn failed(why: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("error: {why}");
    ExitCode::from(COULD_NOT_RUN)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if arguments.inject.is_some() && !matches!(arguments.run, Run::Config | Run::All) {
        eprintln!("error: --inject plants a fault of 'config': run that, or 'all'");
        return ExitCode::from(BAD_ARGUMENTS);
    }
    if arguments.until_input_ends {
        parts::end_with_input(COULD_NOT_RUN);
    }
    let size = arguments.size();
    let report = match arguments.run {
        Run::Store => {
            return match store::serve(arguments.seed) {
                Ok(()) => ExitCode::SUCCESS,
                Err(why) => failed(&format!("the store could not serve: {why}")),
            };
        }
        Run::Hollow => {
            return match comparison::serve_alone() {
                Ok(()) => ExitCode::SUCCESS,
                Err(why) => failed(&why),
            };
        }
        Run::Stored => match serde_json::from_reader(std::io::stdin().lock()) {
            Ok(report) => report,
            Err(why) => {
                eprintln!(
                    "error: standard input holds no report: {why}; give it a last line of a run"
                );
                return ExitCode::from(BAD_ARGUMENTS);
            }
        },
        Run::Slopes => match run_slopes(&arguments, size) {
            Ok(report) => report,
            Err(why) => return failed(&why),
        },
        Run::Comparison => match run_comparison(&arguments, size) {
            Ok(report) => report,
            Err(why) => return failed(&why),
        },
        Run::Fleet => run_fleet(&arguments, size),
        Run::Config => run_config(&arguments, size),
        Run::All => match run_all(&arguments, size) {
            Ok(report) => report,
            Err(why) => return failed(&why),
        },
    };
    if let Some(file) = &arguments.tables
        && let Err(why) = tables::write(file, &report)
    {
        return failed(&why);
    }
    match serde_json::to_string(&report) {
        Ok(line) => println!("{line}"),
        Err(why) => return failed(&format!("the report can't be written as JSON: {why}")),
    }
    ExitCode::from(report.exit_code())
}
