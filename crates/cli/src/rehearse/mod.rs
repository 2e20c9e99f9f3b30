//! `orchidtally rehearse`: a scripted day on loopback with real front-end processes, and the five rules
//! checked from the traffic.

mod endpoints;
mod evidence;
mod messages;
mod play;
mod rolling;
mod scenario;

use crate::{BAD_INPUT, COULD_NOT_RUN, NOT_SO, fail, read_text};
use evidence::MissingEvidence;
use orchidtally_invariants::{
    FinalAnswer, MessageReport, TrafficRecord, Verdict, check_messages as judge_messages,
    check_rules,
};
use scenario::Scenario;
use serde::Serialize;
use std::collections::HashMap;
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
    #[arg(long, value_enum, default_value_t = rolling::NewVersion::FailsLater)]
    new_version: rolling::NewVersion,
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
        let (scenario, left_out) = scenario::from_bench(&read_text(file)?)
            .map_err(|e| fail(BAD_INPUT, format!("{}: {e}", file.display())))?;
        for what in left_out {
            println!("not carried over: {what}");
        }
        return Ok(scenario);
    }
    if !(4.0..=600.0).contains(&arguments.length) {
        let reason = format!("--length {}: 4 to 600 seconds are wanted", arguments.length);
        return Err(fail(BAD_INPUT, reason));
    }
    Ok(Scenario::with_all_faults(arguments.seed, arguments.length))
}

/// The rollout that the arguments ask for.
fn rollout(arguments: &Arguments) -> Result<Option<rolling::Options>, u8> {
    let Some(file) = &arguments.rollout else {
        return Ok(None);
    };
    let plan = if file == BUILT_IN {
        rolling::PLAN.into()
    } else {
        read_text(file.as_ref())?
    };
    Ok(Some(rolling::Options {
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
    let options = play::Options {
        seed: arguments.seed,
        inject_violation: arguments.inject_violation,
        front_end_log: arguments.front_end_log.clone(),
        messages: arguments.mqtt,
        etcd: arguments.etcd,
        rollout: rollout(&arguments)?,
    };
    let played = play::play(&scenario, &options)
        .map_err(|e| fail(COULD_NOT_RUN, format!("the day could not be played: {e}")))?;
    if let Some(file) = &arguments.records {
        write_records(file, &played.records)?;
    }
    let verdict = check_rules(&played.limits, &played.fleet, &played.records);
    let messages = arguments
        .mqtt
        .then(|| judge_messages(&played.limits, &played.records));
    let injected = arguments
        .inject_violation
        .map(|rule| evidence::of_violation(rule, &played.limits, &played.records));
    report(
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
        .is_none_or(rolling::Observed::is_well);
    let carried_well = messages.as_ref().is_none_or(MessageReport::holds);
    if verdict.holds() && rolled_well && carried_well {
        Ok(())
    } else {
        Err(NOT_SO)
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
        Some(messages) if rule == 6 => messages.effects_twice > 0,
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

/// The last line of the output.
#[derive(Serialize)]
struct Line<'a> {
    verdict: &'static str,
    #[serde(flatten)]
    found: &'a Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    rollout: Option<Rolled<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mqtt: Option<&'a MessageReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    roster: Option<endpoints::Observed>,
    /// Whether the violation that was asked for took place.
    #[serde(skip_serializing_if = "Option::is_none")]
    injected: Option<bool>,
}

#[derive(Serialize)]
struct Rolled<'a> {
    #[serde(flatten)]
    seen: &'a rolling::Observed,
    effects_twice: u64,
    orders_over_ration: u64,
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share) as usize;
    sorted
        .get(rank.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

fn report(
    scenario: &Scenario,
    played: &play::Played,
    verdict: &Verdict,
    messages: Option<&MessageReport>,
    injected: Option<bool>,
) {
    println!("troubles:");
    for t in &scenario.faults {
        println!(
            "  {:>5.1} s  {:<16} for {:>4.1} s, size {:.2}",
            t.at,
            t.kind.name(),
            t.duration,
            t.size
        );
    }
    for note in &played.notes {
        println!("  {note}");
    }
    println!("service by trigger type:");
    println!(
        "  trigger type     offered  in objective  succeeded  throttled  errored   median    0.99"
    );
    print_service(played);
    println!(
        "  of {} invocations, {} were at front ends that were killed and {} clients left early",
        verdict.invocations, verdict.lost_to_failures, verdict.cancelled_by_client
    );
    println!("rules:");
    let what = [
        "final answers",
        "effects",
        "drains",
        "cold executors",
        "orders to load",
    ];
    for (rule, what) in verdict.rules.iter().zip(what) {
        println!(
            "  {} {what:<15} {:>7} checked, {} broken",
            rule.rule, rule.checked, rule.violations
        );
        for breach in &rule.examples {
            println!("      {breach}");
        }
    }
    let broken = |rule: u8| {
        verdict
            .rules
            .iter()
            .find(|record| record.rule == rule)
            .map_or(0, |record| record.violations)
    };
    let rollout = played.rollout.as_ref().map(|seen| {
        println!("rollout: {}", seen.state);
        seen.notified.iter().for_each(|line| println!("  {line}"));
        Rolled {
            seen,
            effects_twice: broken(2),
            orders_over_ration: broken(5),
        }
    });
    if let Some(m) = messages {
        println!(
            "messages: {} published, {} answers, {} of them of unknown outcome",
            m.messages, m.answers, m.unknown_outcome
        );
        m.examples.iter().for_each(|breach| println!("  {breach}"));
    }
    let roster = played
        .roster
        .as_ref()
        .map(|endpoints| endpoints.seen(&played.records, played.relists, (broken(3), broken(4))));
    let kept = verdict.holds() && messages.is_none_or(MessageReport::holds);
    let line = Line {
        verdict: if kept { "kept" } else { "broken" },
        found: verdict,
        rollout,
        mqtt: messages,
        roster,
        injected,
    };
    let line = serde_json::to_string(&line).unwrap_or_default();
    println!("{line}");
}

/// What became of the invocations of one trigger type.
#[derive(Default)]
struct Service {
    sent: u32,
    in_time: u64,
    succeeded: u64,
    throttled: u64,
    errored: u64,
    /// Times of those that succeeded, in seconds.
    times: Vec<f64>,
}

impl Service {
    fn add(&mut self, objective: f64, offered_at: f64, end: Option<&(f64, FinalAnswer)>) {
        self.sent += 1;
        match end {
            Some((ended_at, FinalAnswer::Succeeded)) => {
                let time = ended_at - offered_at;
                self.succeeded += 1;
                self.in_time += u64::from(time <= objective);
                self.times.push(time);
            }
            Some((_, FinalAnswer::Rejected)) => self.throttled += 1,
            Some((_, FinalAnswer::Failed)) => self.errored += 1,
            _ => {}
        }
    }

    fn print(mut self, name: &str) {
        self.times.sort_by(f64::total_cmp);
        let share = |count: u64| 100.0 * count as f64 / f64::from(self.sent.max(1));
        println!(
            "  {name:<15} {:>8} {:>11.1} % {:>8.1} % {:>8.1} % {:>6.1} % {:>5.0} ms {:>4.0} ms",
            self.sent,
            share(self.in_time),
            share(self.succeeded),
            share(self.throttled),
            share(self.errored),
            1e3 * quantile(&self.times, 0.5),
            1e3 * quantile(&self.times, 0.99),
        );
    }
}

/// Prints what became of invocations, by trigger type.
fn print_service(played: &play::Played) {
    let ends: HashMap<&str, (f64, FinalAnswer)> = played
        .records
        .iter()
        .filter_map(|record| match record {
            TrafficRecord::AnswerReceived {
                at,
                invocation,
                answer,
            } => Some((invocation.as_str(), (*at, *answer))),
            _ => None,
        })
        .collect();
    for (index, known) in played.limits.trigger_types.iter().enumerate() {
        let mut service = Service::default();
        for record in &played.records {
            if let TrafficRecord::InvocationSent {
                at,
                invocation,
                trigger_type,
                ..
            } = record
                && *trigger_type == index
            {
                service.add(known.latency_objective, *at, ends.get(invocation.as_str()));
            }
        }
        service.print(&known.name);
    }
}
