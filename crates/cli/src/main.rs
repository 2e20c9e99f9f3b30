//! `orchidtally`: the gateway daemon and its command-line tool.
//!
//! Results go to standard output, logs and progress to standard error. Commands return the exit code of a failure after
//! they have printed the reason: 1 if what was asked about is not so, 2 for bad input, 3 if the command could not run.

mod invoke;
mod journal;
mod local;
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
/// Start one on this machine with `orchidtally serve`; check a deployment file with `orchidtally check FILE`;
/// see how decisions and rules hold through a bad day with `orchidtally rehearse`.
#[derive(Parser)]
#[command(name = "orchidtally", version)]
struct Arguments {
    /// How log lines on standard error look.
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    log_format: Format,
    /// What is logged: error, warn, info, debug, trace, or a filter such as `orchidtally_http_frontend=debug`.
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
    /// Run a front end. Without a deployment file: one with three local executors and built-in functions.
    Serve(serve::Arguments),
    /// Check a deployment file and tell every fault in it, with line, column and key.
    Check {
        /// The file, in JSON5.
        file: PathBuf,
    },
    /// Invoke a function at a front end and print its answer.
    Invoke(invoke::Arguments),
    /// Play a scripted bad day with real front ends on loopback, and check the five rules from the traffic.
    Rehearse(rehearse::Arguments),
    /// Shift a function's traffic to a new version gradually, watch it, take it back.
    Rollout(rollout::Arguments),
    /// See and change the roster in etcd: list, watch, drain, undrain.
    Roster(roster::Arguments),
    /// Look into a folder of durable state: check, show, compact.
    Journal(journal::Arguments),
    /// Measure a front end on this machine against a direct client, a bare relay and random choice.
    Measure(measure::Arguments),
}

/// The exit code if what was asked about is not so.
pub const NOT_SO: u8 = 1;
/// The exit code for bad input.
pub const BAD_INPUT: u8 = 2;
/// The exit code if the command could not run.
pub const COULD_NOT_RUN: u8 = 3;

/// Prints why a command fails; returns its exit code.
pub fn fail(code: u8, reason: impl std::fmt::Display) -> u8 {
    eprintln!("{reason}");
    code
}

/// Reads a deployment file; faults are printed with the file's name.
pub fn read_deployment(file: &Path) -> Result<Deployment, u8> {
    read_whole(file).map(|read| read.0)
}

/// Reads a deployment file with its triggers, where it has some.
pub fn read_whole(file: &Path) -> Result<(Deployment, Option<TriggerSettings>), u8> {
    check_text(file, &read_text(file)?)
}

/// The text of a deployment file.
pub fn read_text(file: &Path) -> Result<String, u8> {
    std::fs::read_to_string(file).map_err(|e| fail(BAD_INPUT, format!("{}: {e}", file.display())))
}

/// Reads the text of a deployment file; faults are printed with the file's name.
pub fn check_text(file: &Path, text: &str) -> Result<(Deployment, Option<TriggerSettings>), u8> {
    orchidtally_mqtt_triggers::read(text).map_err(|faults| {
        for fault in &faults {
            eprintln!("{}:{fault}", file.display());
        }
        BAD_INPUT
    })
}

/// What `check` says of the store of configuration; nothing where there is none.
fn store_of(deployment: &Deployment) -> String {
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
    let colours = std::io::stderr().is_terminal();
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(colours)
        .with_writer(std::io::stderr);
    match arguments.log_format {
        Format::Text => logs.init(),
        Format::Json => logs.json().init(),
    }
    let done = match arguments.command {
        Command::Serve(a) => serve::run(a),
        Command::Check { file } => read_whole(&file).map(|(d, mqtt)| {
            println!(
                "{}: sound; '{}', {} trigger types, {} functions listed, {} triggers by messages{}",
                file.display(),
                d.name,
                d.trigger_types.len(),
                d.functions.len(),
                mqtt.map_or(0, |m| m.rules.list.len()),
                store_of(&d)
            );
        }),
        Command::Invoke(a) => invoke::run(a),
        Command::Rehearse(a) => rehearse::run(a),
        Command::Rollout(a) => rollout::run(a),
        Command::Roster(a) => roster::run(a),
        Command::Journal(a) => journal::run(a),
        Command::Measure(a) => measure::run(a),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(code) => ExitCode::from(code),
    }
}
