//! `orchidtally rehearse`: runs real front-end processes on loopback under a script of traffic and faults, and checks
//! the five rules against the recorded traffic.

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
    /// The scenario file, in JSON5. By default a built-in scenario with every kind of fault.
    #[arg(value_name = "DAY")]
    scenario: Option<PathBuf>,
    /// Seed of the built-in scenario's faults and of all randomness within the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the built-in scenario, in seconds.
    #[arg(long, default_value_t = 20.0)]
    length: f64,
    /// Inject a violation of this rule into the traffic, to test that the check detects it. 6, with --mqtt: the broker
    /// delivers messages twice.
    #[arg(long, alias = "sabotage", value_name = "RULE", value_parser = clap::value_parser!(u8).range(1..=6))]
    inject_violation: Option<u8>,
    /// A scenario as the users' bench prints it, scaled down to this machine.
    #[arg(long, value_name = "FILE", conflicts_with = "scenario")]
    bench_day: Option<PathBuf>,
    /// Also run a rollout of the function 'mist', by this plan or a built-in one.
    #[arg(long, value_name = "PLAN", num_args = 0..=1, default_missing_value = BUILT_IN)]
    rollout: Option<String>,
    /// Behaviour of the new version in that rollout.
    #[arg(long, value_enum, default_value_t = rollout_run::NewVersion::FailsLater)]
    new_version: rollout_run::NewVersion,
    /// Also publish messages as controllers do, through an MQTT broker with faults of its own.
    #[arg(long)]
    mqtt: bool,
    /// Register executors and front ends in an etcd test server with faults of its own.
    #[arg(long)]
    etcd: bool,
    /// Write every record of the traffic to this file, one JSON object per line.
    #[arg(long, value_name = "FILE")]
    records: Option<PathBuf>,
    /// Log filter of the front ends, which log to standard error.
    #[arg(long, default_value = "error")]
    front_end_log: String,
}

/// Reads or builds the scenario that the arguments select, and prints what of a bench scenario is not carried over.
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
        for note in bench.left_out {
            println!("not carried over: {note}");
        }
        return Ok(bench.scenario);
    }
    if !(4.0..=600.0).contains(&arguments.length) {
        let reason = format!("--length {}: expected 4 to 600 seconds", arguments.length);
        return Err(fail(BAD_INPUT, reason));
    }
    Ok(Scenario::with_all_faults(arguments.seed, arguments.length))
}

/// The options of the rollout; `None` if none was requested.
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

/// Writes the records of the traffic as JSON, one per line.
fn write_records(file: &Path, records: &[TrafficRecord]) -> Result<(), u8> {
    let lines: Vec<String> = records
        .iter()
        .filter_map(|record| serde_json::to_string(record).ok())
        .collect();
    std::fs::write(file, lines.join("\n") + "\n")
        .map_err(|e| fail(COULD_NOT_RUN, format!("{}: {e}", file.display())))
}

/// Runs a scenario, prints the report and checks the rules.
pub fn run(arguments: Arguments) -> Result<(), u8> {
    if arguments.inject_violation == Some(6) && !arguments.mqtt {
        return Err(fail(
            BAD_INPUT,
            "--inject-violation 6 injects a fault of the broker and requires --mqtt",
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
    let outcome = execution::execute(&scenario, &options)
        .map_err(|e| fail(COULD_NOT_RUN, format!("the scenario could not run: {e}")))?;
    if let Some(file) = &arguments.records {
        write_records(file, &outcome.records)?;
    }
    let verdict = check_rules(&outcome.limits, &outcome.fleet, &outcome.records);
    let messages = arguments
        .mqtt
        .then(|| check_messages(&outcome.limits, &outcome.records));
    let injected = arguments
        .inject_violation
        .map(|rule| evidence::of_violation(rule, &outcome.limits, &outcome.records));
    report::print(
        &scenario,
        &outcome,
        &verdict,
        messages.as_ref(),
        injected.map(|found| found.is_ok()),
    );
    if let (Some(rule), Some(injected)) = (arguments.inject_violation, injected) {
        check_injection(rule, injected, &verdict, messages.as_ref())?;
    }
    let rollout_succeeded = outcome
        .rollout
        .as_ref()
        .is_none_or(rollout_run::Observed::succeeded);
    let messages_hold = messages.as_ref().is_none_or(MessageReport::holds);
    if verdict.holds() && rollout_succeeded && messages_hold {
        Ok(())
    } else {
        Err(NEGATIVE_RESULT)
    }
}

/// Fails unless the requested violation took place and the check found it; otherwise the run proves nothing about the
/// check.
fn check_injection(
    rule: u8,
    injected: Result<(), MissingEvidence>,
    verdict: &Verdict,
    messages: Option<&MessageReport>,
) -> Result<(), u8> {
    if let Err(missing) = injected {
        eprintln!("no violation of rule {rule} could be injected: {missing}");
        eprintln!("try a longer scenario (--length), fewer faults or a less busy machine");
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
        eprintln!("a violation of rule {rule} was injected and not found: the check is faulty");
        eprintln!("run it again with --records FILE and report the file");
        return Err(COULD_NOT_RUN);
    }
    Ok(())
}
