//! What became of messages: one answer each that is true, and no effect twice that must not be.

use crate::{Idempotency, Limits, TrafficRecord};
use serde::Serialize;
use std::collections::HashMap;

/// Violations that are described in words.
const MAX_EXAMPLES: usize = 8;

/// The findings on messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MessageReport {
    /// Messages that were published.
    pub messages: u64,
    /// Answers that were received.
    pub answers: u64,
    /// Messages with more than one answer.
    pub answered_twice: u64,
    /// Messages without an answer.
    pub unanswered: u64,
    /// Non-idempotent messages that ran more than once.
    pub effects_twice: u64,
    /// Answers that say that the outcome is not known.
    pub unknown_outcome: u64,
    /// Answers that contradict the executors: succeeded and never run, or rejected and run.
    pub untrue: u64,
    /// The first violations in words.
    #[serde(skip)]
    pub examples: Vec<String>,
}

impl MessageReport {
    /// Whether nothing was violated.
    pub fn holds(&self) -> bool {
        self.answered_twice + self.unanswered + self.effects_twice + self.untrue == 0
    }

    fn add_violation(&mut self, what: String) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(what);
        }
    }

    fn check_answer_count(&mut self, invocation: &str, outcomes: &[&str]) {
        self.answers += outcomes.len() as u64;
        match outcomes {
            [] => {
                self.unanswered += 1;
                self.add_violation(format!("{invocation} had no answer"));
            }
            [_] => {}
            several => {
                self.answered_twice += 1;
                self.add_violation(format!(
                    "{invocation} was answered {}",
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
        self.unknown_outcome += u64::from(outcome == "unknown");
        let is_consistent = match outcome {
            "succeeded" => runs > 0,
            "throttled" => runs == 0 || idempotency == Some(Idempotency::Idempotent),
            "unknown" => idempotency != Some(Idempotency::Idempotent),
            _ => true,
        };
        if !is_consistent {
            self.untrue += 1;
            self.add_violation(format!(
                "{invocation} was answered {outcome} and ran {runs} times"
            ));
        }
    }
}

/// Checks the messages among records.
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
            report.effects_twice += 1;
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
