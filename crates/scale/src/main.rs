//! `orchidtally-scale`: runs the scale tests and prints their report.
//!
//! Progress goes to standard error; the last line on standard output is the report as JSON. Exit codes: 0 all rows
//! are held, 1 one is missed, 2 bad arguments.

use clap::{Parser, ValueEnum};
use orchidtally_scale::report::{self, Report};
use orchidtally_scale::size::{Injection, Size};
use orchidtally_scale::{config, fleet, slopes, store};
use std::process::ExitCode;

const BAD_ARGUMENTS: u8 = 2;
const COULD_NOT_RUN: u8 = 3;
/// The size of a short run at the most.
const SHORT_FRONT_ENDS: u32 = 12;
const SHORT_EXECUTORS: u32 = 36;
const SHORT_FUNCTIONS: u32 = 300;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Run {
    /// What one more of each dimension costs.
    Slopes,
    /// The fleet in simulated time, through failures.
    Fleet,
    /// Distribution of configuration, through failures.
    Config,
    /// All of them.
    All,
    /// The control store of a run, as a process of its own.
    #[value(hide = true)]
    Store,
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
    /// Simulated seconds of the fleet and real seconds of the configuration run; by default as long as fits.
    #[arg(long, value_parser = seconds)]
    seconds: Option<f64>,
    /// Plants a fault that the run has to find.
    #[arg(long)]
    inject: Option<Injection>,
    /// Few and small measurements: seconds in all, to check the program and not the design.
    #[arg(long)]
    short: bool,
}

fn seconds(text: &str) -> Result<f64, String> {
    let seconds: f64 = text.parse().map_err(|_| format!("'{text}' is no number of seconds"))?;
    match seconds.is_finite() && seconds > 0.0 && seconds <= 86_400.0 {
        true => Ok(seconds),
        false => Err("seconds lie above 0 and at most at 86400".into()),
    }
}

impl Arguments {
    fn size(&self) -> Size {
        // A short run is a small one, and says so.
        let most = |wanted: u32, short: u32| if self.short { wanted.min(short) } else { wanted };
        Size {
            front_ends: most(self.front_ends, SHORT_FRONT_ENDS) as usize,
            executors: most(self.executors, SHORT_EXECUTORS) as usize,
            functions: most(self.functions, SHORT_FUNCTIONS) as usize,
            ..Size::default()
        }
    }

    fn runs(&self, run: Run) -> bool {
        self.run == run || self.run == Run::All
    }

    /// How long a part plays: as asked, or its default.
    fn seconds_or(&self, full: f64, short: f64) -> f64 {
        self.seconds.unwrap_or(if self.short { short } else { full })
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if arguments.inject.is_some() && !arguments.runs(Run::Config) {
        eprintln!("error: --inject plants a fault of 'config': run that, or 'all'");
        return ExitCode::from(BAD_ARGUMENTS);
    }
    if arguments.run == Run::Store {
        return match store::serve(arguments.seed) {
            Ok(()) => ExitCode::SUCCESS,
            Err(why) => {
                eprintln!("error: the store could not serve: {why}");
                ExitCode::from(COULD_NOT_RUN)
            }
        };
    }
    let size = arguments.size();
    let (mut rows, mut fits) = (vec![], vec![]);
    if arguments.runs(Run::Slopes) {
        eprintln!("slopes: several sizes of each dimension");
        let found = slopes::run(&size, arguments.seed, arguments.short);
        rows.extend(found.rows);
        fits.extend(found.slopes);
    }
    if arguments.runs(Run::Fleet) {
        eprintln!("fleet: {} front ends, {} executors", size.front_ends, size.executors);
        rows.extend(fleet::run(&size, arguments.seed, arguments.seconds_or(60.0, 2.0)));
    }
    if arguments.runs(Run::Config) {
        eprintln!("config: {} front ends, {} functions", size.front_ends, size.functions);
        let mut plan = config::Plan::new(&size, arguments.seed, arguments.inject, arguments.short);
        plan.daily_s = arguments.seconds.unwrap_or(plan.daily_s);
        report::merge(&mut rows, config::run(&plan));
    }
    let report = Report::new(size, arguments.seed, arguments.inject, rows, fits);
    match serde_json::to_string(&report) {
        Ok(line) => println!("{line}"),
        Err(why) => {
            eprintln!("error: the report can't be written as JSON: {why}");
            return ExitCode::from(COULD_NOT_RUN);
        }
    }
    ExitCode::from(report.exit_code())
}
