//! The five rules, each checked in a pass of its own over the records.

mod draining;
mod final_answers;
mod idempotency;
mod load_budget;
mod paused_reads;
mod slow_start;

use crate::{Executor, Limits, TrafficRecord};
use serde::Serialize;

/// Violations of a rule that are described in words.
const MAX_EXAMPLES: usize = 8;

/// What was checked of a rule, and the violations found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RuleReport {
    /// The number of the rule.
    pub rule: u8,
    /// How often it was checked.
    pub checked: u64,
    /// How often it was violated.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// The first violations in words.
    #[serde(skip)]
    pub examples: Vec<String>,
}

impl RuleReport {
    fn new(rule: u8) -> RuleReport {
        RuleReport {
            rule,
            ..RuleReport::default()
        }
    }

    fn check(&mut self, holds: bool, describe: impl FnOnce() -> String) {
        self.checked += 1;
        if !holds {
            self.violations += 1;
            if self.examples.len() < MAX_EXAMPLES {
                self.examples.push(describe());
            }
        }
    }
}

/// The findings on all rules, and how many invocations had which answer.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Invocations that clients sent.
    pub invocations: u64,
    /// Those that succeeded.
    pub succeeded: u64,
    /// Those that were rejected.
    #[serde(rename = "throttled")]
    pub rejected: u64,
    /// Those that failed.
    #[serde(rename = "errored")]
    pub failed: u64,
    /// The five rules in their order.
    pub rules: Vec<RuleReport>,
    /// Invocations without an answer whose front end was killed: they are owed none.
    #[serde(skip)]
    pub lost_to_failures: u64,
    /// Invocations whose client cancelled: they are owed none.
    #[serde(skip)]
    pub cancelled_by_client: u64,
}

impl Verdict {
    /// Whether no rule was violated.
    pub fn holds(&self) -> bool {
        self.rules.iter().all(|rule| rule.violations == 0)
    }
}

/// Checks all rules on records, which may be in any order.
pub fn check_rules(limits: &Limits, executors: &[Executor], records: &[TrafficRecord]) -> Verdict {
    let mut records: Vec<&TrafficRecord> = records.iter().collect();
    records.sort_by(|a, b| a.at().total_cmp(&b.at()));
    let mut verdict = Verdict::default();
    let final_answers = final_answers::check(limits, &records, &mut verdict);
    verdict.rules = vec![
        final_answers,
        idempotency::check(limits, executors, &records),
        draining::check(limits, &records),
        slow_start::check(limits, &records),
        load_budget::check(limits, &records),
    ];
    verdict
}
