//! `orchidtally`: the gateway daemon and its command-line tool.
//!
//! Results go to standard output, logs and progress to standard error. A command that fails prints the reason and
//! returns an exit code: 1 if the result is negative, 2 for bad input, 3 if the command could not run.

mod invoke;
mod journal;
mod local;
mod log_writer;
mod measure;
mod rehearse;
mod rollout;
mod roster;
mod serve;
mod signals;

use clap::{Parser, Subcommand, ValueEnum};
use orchidtally_deployment::Deployment;
use orchidtally_mqtt_triggers::TriggerSettings;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// Runs invocations on executors that load functions on demand.
///
/// Start a front end on this machine with `orchidtally serve`. Validate a deployment file with
/// `orchidtally check FILE`. Test dispatching and the five rules under scripted faults with `orchidtally rehearse`.
#[derive(Parser)]
#[command(name = "orchidtally", version)]
struct Arguments {
    /// Format of the log lines on standard error.
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    log_format: Format,
    /// Log level (error, warn, info, debug, trace) or a filter such as `orchidtally_http_frontend=debug`.
    #[arg(long, global = true, default_value = "info")]
    log: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run a front end. Without a deployment file, it uses three local executors with built-in functions.
    Serve(serve::Arguments),
    /// Validate a deployment file and report every error in it, with line, column and key.
    Check {
        /// The file, in JSON5.
        file: PathBuf,
    },
    /// Invoke a function at a front end and print the response.
    Invoke(invoke::Arguments),
    /// Run real front ends on loopback under scripted faults, and check the five rules against the traffic.
    Rehearse(rehearse::Arguments),
    /// Shift a function's traffic to a new version gradually, monitor the rollout, roll it back.
    Rollout(rollout::Arguments),
    /// Show and change the executors registered in etcd: list, watch, drain, undrain.
    Roster(roster::Arguments),
    /// Inspect a journal folder: check, show, compact.
    Journal(journal::Arguments),
    /// Benchmark a front end on this machine against a direct client, a plain relay and random choice.
    Measure(measure::Arguments),
}

/// The exit code of a command that ran and whose result is negative, such as a check that failed.
pub const NEGATIVE_RESULT: u8 = 1;
/// The exit code for bad input.
pub const BAD_INPUT: u8 = 2;
/// The exit code of a command that could not run, such as for an unreachable server.
pub const COULD_NOT_RUN: u8 = 3;

/// Prints the reason of a failure to standard error and returns `code`.
pub fn fail(code: u8, reason: impl std::fmt::Display) -> u8 {
    eprintln!("{reason}");
    code
}

/// Reads a deployment file without its triggers. Errors are printed with the file's name.
pub fn read_deployment(file: &Path) -> Result<Deployment, u8> {
    read_with_triggers(file).map(|read| read.0)
}

/// Reads a deployment file and its MQTT triggers, if it has any. Errors are printed with the file's name.
pub fn read_with_triggers(file: &Path) -> Result<(Deployment, Option<TriggerSettings>), u8> {
    parse_deployment(file, &read_text(file)?)
}

/// Reads a file as text. An I/O error is printed with the file's name.
pub fn read_text(file: &Path) -> Result<String, u8> {
    std::fs::read_to_string(file).map_err(|e| fail(BAD_INPUT, format!("{}: {e}", file.display())))
}

/// Parses the text of a deployment file. Errors are printed with the name of `file`.
pub fn parse_deployment(
    file: &Path,
    text: &str,
) -> Result<(Deployment, Option<TriggerSettings>), u8> {
    orchidtally_mqtt_triggers::read(text).map_err(|faults| {
        for fault in &faults {
            eprintln!("{}:{fault}", file.display());
        }
        BAD_INPUT
    })
}

/// The part of the summary of `check` that describes the configuration store; empty if there is none.
fn configuration_summary(deployment: &Deployment) -> String {
    let count = deployment
        .configuration
        .as_ref()
        .map(|store| store.endpoints.len());
    count.map_or_else(String::new, |count| {
        format!(", configuration from a store of {count} members")
    })
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = match EnvFilter::try_new(&arguments.log) {
        Ok(filter) => filter,
        Err(fault) => {
            eprintln!("--log '{}': {fault}", arguments.log);
            return ExitCode::from(BAD_INPUT);
        }
    };
    let (log_writer, _finish_guard) = log_writer::LogWriter::start();
    let colours = std::io::stderr().is_terminal();
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(colours)
        .with_writer(log_writer);
    match arguments.log_format {
        Format::Text => logs.init(),
        Format::Json => logs.json().init(),
    }
    let result = match arguments.command {
        Command::Serve(a) => serve::run(a),
        Command::Check { file } => read_with_triggers(&file).map(|(d, mqtt)| {
            println!(
                "{}: sound; '{}', {} trigger types, {} functions listed, {} triggers by messages{}",
                file.display(),
                d.name,
                d.trigger_types.len(),
                d.functions.len(),
                mqtt.map_or(0, |m| m.rules.list.len()),
                configuration_summary(&d)
            );
        }),
        Command::Invoke(a) => invoke::run(a),
        Command::Rehearse(a) => rehearse::run(a),
        Command::Rollout(a) => rollout::run(a),
        Command::Roster(a) => roster::run(a),
        Command::Journal(a) => journal::run(a),
        Command::Measure(a) => measure::run(a),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(code) => ExitCode::from(code),
    }
}
