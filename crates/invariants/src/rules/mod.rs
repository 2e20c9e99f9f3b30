//! The five rules, each checked in its own pass over the records.

mod draining;
mod final_answers;
mod idempotency;
mod load_budget;
mod paused_reads;
mod slow_start;

use crate::{Executor, Limits, TrafficRecord};
use serde::Serialize;

/// Violations that a report describes in words; any further ones are only counted.
const MAX_EXAMPLES: usize = 8;

/// The number of checks of one rule and the violations found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RuleReport {
    /// The number of the rule.
    pub rule: u8,
    /// How often the rule was checked.
    pub checked: u64,
    /// How often the rule was violated.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Descriptions of the first violations.
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

/// The result of [`check_rules`]: the reports on all rules, and the number of invocations with each answer.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Invocations that clients sent.
    pub invocations: u64,
    /// Invocations that succeeded.
    pub succeeded: u64,
    /// Invocations that were rejected.
    #[serde(rename = "throttled")]
    pub rejected: u64,
    /// Invocations that failed.
    #[serde(rename = "errored")]
    pub failed: u64,
    /// The reports on the five rules, in the order of their numbers.
    pub rules: Vec<RuleReport>,
    /// Invocations without an answer that rule 1 excuses: their front end was killed, or was paused for all of the time
    /// in which it could have answered.
    #[serde(skip)]
    pub lost_to_failures: u64,
    /// Invocations whose client cancelled; rule 1 requires no answer to them.
    #[serde(skip)]
    pub cancelled_by_client: u64,
}

impl Verdict {
    /// Whether no violation was found.
    pub fn holds(&self) -> bool {
        self.rules.iter().all(|rule| rule.violations == 0)
    }
}

/// Checks all rules; the records may be in any order.
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
