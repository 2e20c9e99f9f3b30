//! `orchidtally rehearse`: a scripted day on loopback with real front-end processes, and the five rules
//! checked from the traffic.

mod endpoint_store;
mod evidence;
mod execution;
mod messages;
mod report;
mod rollout_run;
mod scenario;

use crate::{BAD_INPUT, COULD_NOT_RUN, NEGATIVE_RESULT, fail, read_text};
use evidence::MissingEvidence;
use orchidtally_invariants::{MessageReport, TrafficRecord, Verdict, check_messages, check_rules};
use scenario::Scenario;
use std::path::{Path, PathBuf};

const BUILT_IN: &str = "built-in";

#[derive(clap::Args)]
pub struct Arguments {
    /// A day file in JSON5; without one the built-in bad day is played.
    #[arg(value_name = "DAY")]
    scenario: Option<PathBuf>,
    /// Draws another day of the same kind, and all chance within it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of the built-in day, in seconds.
    #[arg(long, default_value_t = 20.0)]
    length: f64,
    /// Injects a violation of this rule into the traffic; it has to be found. 6, with --mqtt: messages given twice.
    #[arg(long, alias = "sabotage", value_name = "RULE", value_parser = clap::value_parser!(u8).range(1..=6))]
    inject_violation: Option<u8>,
    /// A day as the users' bench prints it, scaled down to this machine.
    #[arg(long, value_name = "FILE", conflicts_with = "scenario")]
    bench_day: Option<PathBuf>,
    /// Plays a rollout of the function 'mist' under the day, by this plan or a built-in one.
    #[arg(long, value_name = "PLAN", num_args = 0..=1, default_missing_value = BUILT_IN)]
    rollout: Option<String>,
    /// What the new version of that rollout is like.
    #[arg(long, value_enum, default_value_t = rollout_run::NewVersion::FailsLater)]
    new_version: rollout_run::NewVersion,
    /// Lets controllers publish messages beside the day's traffic, by way of a broker with faults of its own.
    #[arg(long)]
    mqtt: bool,
    /// Has executors and front ends in a store that speaks etcd's protocol and has faults of its own.
    #[arg(long)]
    etcd: bool,
    /// Writes every record of the traffic here, one JSON object a line.
    #[arg(long, value_name = "FILE")]
    records: Option<PathBuf>,
    /// What the front ends log on standard error; by default only faults.
    #[arg(long, default_value = "error")]
    front_end_log: String,
}

fn scenario(arguments: &Arguments) -> Result<Scenario, u8> {
    if let Some(file) = &arguments.scenario {
        return Scenario::read(&read_text(file)?).map_err(|faults| {
            for fault in &faults {
                eprintln!("{}:{fault}", file.display());
            }
            BAD_INPUT
        });
    }
    if let Some(file) = &arguments.bench_day {
        let bench = scenario::from_bench(&read_text(file)?)
            .map_err(|e| fail(BAD_INPUT, format!("{}: {e}", file.display())))?;
        for what in bench.left_out {
            println!("not carried over: {what}");
        }
        return Ok(bench.scenario);
    }
    if !(4.0..=600.0).contains(&arguments.length) {
        let reason = format!("--length {}: 4 to 600 seconds are wanted", arguments.length);
        return Err(fail(BAD_INPUT, reason));
    }
    Ok(Scenario::with_all_faults(arguments.seed, arguments.length))
}

/// The rollout that the arguments ask for.
fn rollout(arguments: &Arguments) -> Result<Option<rollout_run::Options>, u8> {
    let Some(file) = &arguments.rollout else {
        return Ok(None);
    };
    let plan = if file == BUILT_IN {
        rollout_run::PLAN.into()
    } else {
        read_text(file.as_ref())?
    };
    Ok(Some(rollout_run::Options {
        plan,
        new: arguments.new_version,
    }))
}

/// Writes the records of the traffic, one a line.
fn write_records(file: &Path, records: &[TrafficRecord]) -> Result<(), u8> {
    let lines: Vec<String> = records
        .iter()
        .filter_map(|record| serde_json::to_string(record).ok())
        .collect();
    std::fs::write(file, lines.join("\n") + "\n")
        .map_err(|e| fail(COULD_NOT_RUN, format!("{}: {e}", file.display())))
}

/// Plays a day and checks the rules.
pub fn run(arguments: Arguments) -> Result<(), u8> {
    if arguments.inject_violation == Some(6) && !arguments.mqtt {
        return Err(fail(
            BAD_INPUT,
            "--inject-violation 6 is a broker's fault: --mqtt is wanted with it",
        ));
    }
    let scenario = scenario(&arguments)?;
    let options = execution::Options {
        seed: arguments.seed,
        inject_violation: arguments.inject_violation,
        front_end_log: arguments.front_end_log.clone(),
        messages: arguments.mqtt,
        etcd: arguments.etcd,
        rollout: rollout(&arguments)?,
    };
    let played = execution::play(&scenario, &options)
        .map_err(|e| fail(COULD_NOT_RUN, format!("the day could not be played: {e}")))?;
    if let Some(file) = &arguments.records {
        write_records(file, &played.records)?;
    }
    let verdict = check_rules(&played.limits, &played.fleet, &played.records);
    let messages = arguments
        .mqtt
        .then(|| check_messages(&played.limits, &played.records));
    let injected = arguments
        .inject_violation
        .map(|rule| evidence::of_violation(rule, &played.limits, &played.records));
    report::print(
        &scenario,
        &played,
        &verdict,
        messages.as_ref(),
        injected.map(|found| found.is_ok()),
    );
    if let (Some(rule), Some(injected)) = (arguments.inject_violation, injected) {
        check_injection(rule, injected, &verdict, messages.as_ref())?;
    }
    let rolled_well = played
        .rollout
        .as_ref()
        .is_none_or(rollout_run::Observed::is_well);
    let carried_well = messages.as_ref().is_none_or(MessageReport::holds);
    if verdict.holds() && rolled_well && carried_well {
        Ok(())
    } else {
        Err(NEGATIVE_RESULT)
    }
}

/// A violation that was asked for has to have taken place and to be found; else nothing is proved either way.
fn check_injection(
    rule: u8,
    injected: Result<(), MissingEvidence>,
    verdict: &Verdict,
    messages: Option<&MessageReport>,
) -> Result<(), u8> {
    if let Err(missing) = injected {
        eprintln!("no violation of rule {rule} could be injected: {missing}");
        eprintln!(
            "give it more room: a longer day (--length), fewer troubles, or a less busy machine"
        );
        return Err(COULD_NOT_RUN);
    }
    let is_found = match messages {
        Some(messages) if rule == 6 => messages.repeated_executions > 0,
        _ => verdict
            .rules
            .iter()
            .any(|record| record.rule == rule && record.violations > 0),
    };
    if !is_found {
        eprintln!("a violation of rule {rule} was injected and not found: the check is at fault");
        eprintln!("play it again with --records FILE and report the file");
        return Err(COULD_NOT_RUN);
    }
    Ok(())
}
