//! Checks published messages: each gets exactly one answer that agrees with what the executors did, and no
//! non-idempotent message runs twice.

use crate::{Idempotency, Limits, TrafficRecord};
use serde::Serialize;
use std::collections::HashMap;

/// Violations that a report describes in words; any further ones are only counted.
const MAX_EXAMPLES: usize = 8;

/// The result of [`check_messages`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MessageReport {
    /// Messages that were published.
    pub messages: u64,
    /// Answers that were received.
    pub answers: u64,
    /// Messages with more than one answer.
    #[serde(rename = "answered_twice")]
    pub repeated_answers: u64,
    /// Messages without an answer.
    pub unanswered: u64,
    /// Non-idempotent messages that ran more than once.
    #[serde(rename = "effects_twice")]
    pub repeated_executions: u64,
    /// Answers that report an unknown outcome.
    #[serde(rename = "unknown_outcome")]
    pub unknown_outcomes: u64,
    /// Answers that contradict the executors' records: a success without an execution, a rejection although a message
    /// that is not idempotent ran, or an unknown outcome for an idempotent message.
    #[serde(rename = "untrue")]
    pub contradictory_answers: u64,
    /// Descriptions of the first violations.
    #[serde(skip)]
    pub examples: Vec<String>,
}

impl MessageReport {
    /// Whether no violation was found.
    pub fn holds(&self) -> bool {
        self.repeated_answers
            + self.unanswered
            + self.repeated_executions
            + self.contradictory_answers
            == 0
    }

    fn add_violation(&mut self, description: String) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(description);
        }
    }

    fn check_answer_count(&mut self, invocation: &str, outcomes: &[&str]) {
        self.answers += outcomes.len() as u64;
        match outcomes {
            [] => {
                self.unanswered += 1;
                self.add_violation(format!("{invocation} was not answered"));
            }
            [_] => {}
            several => {
                self.repeated_answers += 1;
                self.add_violation(format!(
                    "{invocation} was answered more than once: {}",
                    several.join(", then ")
                ));
            }
        }
    }

    fn check_outcome(
        &mut self,
        invocation: &str,
        outcome: &str,
        idempotency: Option<Idempotency>,
        runs: u64,
    ) {
        self.unknown_outcomes += u64::from(outcome == "unknown");
        let is_consistent = match outcome {
            "succeeded" => runs > 0,
            "throttled" => runs == 0 || idempotency == Some(Idempotency::Idempotent),
            "unknown" => idempotency != Some(Idempotency::Idempotent),
            _ => true,
        };
        if !is_consistent {
            self.contradictory_answers += 1;
            self.add_violation(format!(
                "{invocation} was answered '{outcome}' but ran {runs} times"
            ));
        }
    }
}

/// Checks all messages that the records contain.
pub fn check_messages(limits: &Limits, records: &[TrafficRecord]) -> MessageReport {
    let mut report = MessageReport::default();
    let mut outcomes: HashMap<&str, Vec<&str>> = HashMap::new();
    let mut runs: HashMap<&str, u64> = HashMap::new();
    for record in records {
        match record {
            TrafficRecord::MessageAnswered {
                invocation,
                outcome,
                ..
            } => {
                outcomes.entry(invocation).or_default().push(outcome);
            }
            TrafficRecord::ExecutionStarted { invocation, .. } => {
                *runs.entry(invocation).or_default() += 1
            }
            _ => {}
        }
    }
    for record in records {
        let TrafficRecord::MessagePublished {
            invocation,
            trigger_type,
            ..
        } = record
        else {
            continue;
        };
        report.messages += 1;
        let known = limits
            .trigger_types
            .iter()
            .find(|known| known.name == *trigger_type);
        let idempotency = known.map(|known| known.idempotency);
        let runs = runs.get(invocation.as_str()).copied().unwrap_or(0);
        if idempotency == Some(Idempotency::NonIdempotent) && runs > 1 {
            report.repeated_executions += 1;
            report.add_violation(format!("{invocation} ran {runs} times"));
        }
        let outcomes = outcomes
            .get(invocation.as_str())
            .map(Vec::as_slice)
            .unwrap_or_default();
        report.check_answer_count(invocation, outcomes);
        for outcome in outcomes {
            report.check_outcome(invocation, outcome, idempotency, runs);
        }
    }
    report
}
