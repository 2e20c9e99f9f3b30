//! The five rules, each checked in a pass of its own over the records.

mod cold;
mod drains;
mod effects;
mod final_answers;
mod orders;
mod paused_reads;

use crate::{Executor, Limits, TrafficRecord};
use serde::Serialize;

/// Breaches of a rule that are described in words.
const MAX_BREACHES: usize = 8;

/// What was checked of a rule, and the breaches found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RuleReport {
    /// The number of the rule.
    pub rule: u8,
    /// How often it was checked.
    pub checked: u64,
    /// How often it was broken.
    pub broken: u64,
    /// The first breaches in words.
    #[serde(skip)]
    pub breaches: Vec<String>,
}

impl RuleReport {
    fn new(rule: u8) -> RuleReport {
        RuleReport {
            rule,
            ..RuleReport::default()
        }
    }

    fn check(&mut self, kept: bool, breach: impl FnOnce() -> String) {
        self.checked += 1;
        if !kept {
            self.broken += 1;
            if self.breaches.len() < MAX_BREACHES {
                self.breaches.push(breach());
            }
        }
    }
}

/// What was found of all rules, and how many invocations had which answer.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Invocations that clients sent.
    pub invocations: u64,
    /// Those that succeeded.
    pub succeeded: u64,
    /// Those that were throttled.
    pub throttled: u64,
    /// Those that failed.
    pub errored: u64,
    /// The five rules in their order.
    pub rules: Vec<RuleReport>,
    /// Invocations without an answer whose front end was killed: they are owed none.
    #[serde(skip)]
    pub lost: u64,
    /// Invocations whose client left: they are owed none.
    #[serde(skip)]
    pub left: u64,
}

impl Verdict {
    /// Whether no rule was broken.
    pub fn holds(&self) -> bool {
        self.rules.iter().all(|rule| rule.broken == 0)
    }
}

/// Checks all rules on records, in whatever order they were noted.
pub fn check_rules(limits: &Limits, fleet: &[Executor], records: &[TrafficRecord]) -> Verdict {
    let mut records: Vec<&TrafficRecord> = records.iter().collect();
    records.sort_by(|a, b| a.at().total_cmp(&b.at()));
    let mut verdict = Verdict::default();
    let final_answers = final_answers::check(limits, &records, &mut verdict);
    verdict.rules = vec![
        final_answers,
        effects::check(limits, fleet, &records),
        drains::check(limits, &records),
        cold::check(limits, &records),
        orders::check(limits, &records),
    ];
    verdict
}
