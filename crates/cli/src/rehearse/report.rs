//! The report of a rehearsal on standard output.

use super::execution::Outcome;
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
    /// Whether the requested violation took place.
    #[serde(skip_serializing_if = "Option::is_none")]
    injected: Option<bool>,
}

/// The rollout in the last line.
#[derive(Serialize)]
struct RolloutReport<'a> {
    #[serde(flatten)]
    observed: &'a rollout_run::Observed,
    effects_twice: u64,
    orders_over_ration: u64,
}

/// A quantile of sorted values; NaN if there are none.
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
    "load commands",
];

/// Prints the scenario's faults, the service by trigger type and the violations of each rule, then a summary as JSON on
/// the last line.
pub fn print(
    scenario: &Scenario,
    outcome: &Outcome,
    verdict: &Verdict,
    messages: Option<&MessageReport>,
    injected: Option<bool>,
) {
    print_faults(scenario, &outcome.notes);
    print_service(outcome);
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
    let rollout = outcome.rollout.as_ref().map(|observed| {
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
    let roster = outcome.endpoint_store.as_ref().map(|endpoint_store| {
        endpoint_store.observed(
            &outcome.records,
            outcome.relists,
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

/// Prints the scenario's faults and the remarks on the run.
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

/// Prints the result of each rule, with examples of violations.
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

/// Prints the rollout's state and history.
fn print_rollout(observed: &rollout_run::Observed) {
    println!("rollout: {}", observed.state);
    for line in &observed.report_lines {
        println!("  {line}");
    }
}

/// Prints the numbers of MQTT messages and answers, with examples of violations.
fn print_messages(messages: &MessageReport) {
    println!(
        "messages: {} published, {} answers, {} of them of unknown outcome",
        messages.messages, messages.answers, messages.unknown_outcomes
    );
    for violation in &messages.examples {
        println!("  {violation}");
    }
}

/// The outcomes of the invocations of one trigger type.
#[derive(Default)]
struct ServiceSummary {
    sent: u32,
    in_time: u64,
    succeeded: u64,
    throttled: u64,
    errored: u64,
    /// Latencies of the invocations that succeeded, in seconds.
    times: Vec<f64>,
}

impl ServiceSummary {
    /// Counts an invocation. `end` is the time and kind of its final answer.
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

    /// Prints a row of the table.
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

/// Prints the outcomes of invocations by trigger type.
fn print_service(outcome: &Outcome) {
    println!("service by trigger type:");
    println!(
        "  trigger type     offered  in objective  succeeded  throttled  errored   median    0.99"
    );
    let ends: HashMap<&str, (f64, FinalAnswer)> = outcome
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
    for (index, known) in outcome.limits.trigger_types.iter().enumerate() {
        let mut service = ServiceSummary::default();
        for record in &outcome.records {
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
