//! The report of a rehearsal on standard output.

use super::execution::Played;
use super::scenario::Scenario;
use super::{endpoint_store, rollout_run};
use orchidtally_invariants::{FinalAnswer, MessageReport, TrafficRecord, Verdict};
use serde::Serialize;
use std::collections::HashMap;

/// The last line of the output.
#[derive(Serialize)]
struct LastLine<'a> {
    verdict: &'static str,
    #[serde(flatten)]
    found: &'a Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    rollout: Option<RolloutReport<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mqtt: Option<&'a MessageReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    roster: Option<endpoint_store::Observed>,
    /// Whether the violation that was asked for took place.
    #[serde(skip_serializing_if = "Option::is_none")]
    injected: Option<bool>,
}

/// What the last line says of a rollout.
#[derive(Serialize)]
struct RolloutReport<'a> {
    #[serde(flatten)]
    observed: &'a rollout_run::Observed,
    effects_twice: u64,
    orders_over_ration: u64,
}

/// The value at a rank, given as a share of all; NaN where there is none.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share) as usize;
    sorted
        .get(rank.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

/// Names of the rules as the report prints them.
const RULE_NAMES: [&str; 5] = [
    "final answers",
    "effects",
    "drains",
    "cold executors",
    "orders to load",
];

/// Prints the faults of a scenario, the service, what the rules found, and all of it as JSON on the last line.
pub fn print(
    scenario: &Scenario,
    played: &Played,
    verdict: &Verdict,
    messages: Option<&MessageReport>,
    injected: Option<bool>,
) {
    print_faults(scenario, &played.notes);
    print_service(played);
    println!(
        "  of {} invocations, {} were at front ends that were killed and {} clients left early",
        verdict.invocations, verdict.lost_to_failures, verdict.cancelled_by_client
    );
    print_rules(verdict);
    let violations = |rule: u8| {
        verdict
            .rules
            .iter()
            .find(|record| record.rule == rule)
            .map_or(0, |record| record.violations)
    };
    let rollout = played.rollout.as_ref().map(|observed| {
        print_rollout(observed);
        RolloutReport {
            observed,
            effects_twice: violations(2),
            orders_over_ration: violations(5),
        }
    });
    if let Some(messages) = messages {
        print_messages(messages);
    }
    let roster = played.roster.as_ref().map(|endpoints| {
        endpoints.observed(
            &played.records,
            played.relists,
            (violations(3), violations(4)),
        )
    });
    let holds = verdict.holds() && messages.is_none_or(MessageReport::holds);
    let line = LastLine {
        verdict: if holds { "kept" } else { "broken" },
        found: verdict,
        rollout,
        mqtt: messages,
        roster,
        injected,
    };
    println!("{}", serde_json::to_string(&line).unwrap_or_default());
}

fn print_faults(scenario: &Scenario, notes: &[String]) {
    println!("troubles:");
    for fault in &scenario.faults {
        println!(
            "  {:>5.1} s  {:<16} for {:>4.1} s, size {:.2}",
            fault.at,
            fault.kind.name(),
            fault.duration,
            fault.size
        );
    }
    for note in notes {
        println!("  {note}");
    }
}

fn print_rules(verdict: &Verdict) {
    println!("rules:");
    for (rule, name) in verdict.rules.iter().zip(RULE_NAMES) {
        println!(
            "  {} {name:<15} {:>7} checked, {} broken",
            rule.rule, rule.checked, rule.violations
        );
        for violation in &rule.examples {
            println!("      {violation}");
        }
    }
}

fn print_rollout(observed: &rollout_run::Observed) {
    println!("rollout: {}", observed.state);
    for line in &observed.notified {
        println!("  {line}");
    }
}

fn print_messages(messages: &MessageReport) {
    println!(
        "messages: {} published, {} answers, {} of them of unknown outcome",
        messages.messages, messages.answers, messages.unknown_outcomes
    );
    for violation in &messages.examples {
        println!("  {violation}");
    }
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
fn print_service(played: &Played) {
    println!("service by trigger type:");
    println!(
        "  trigger type     offered  in objective  succeeded  throttled  errored   median    0.99"
    );
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
