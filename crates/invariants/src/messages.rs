//! What became of messages: one answer each, what it says being so, and no effect twice that must not be.

use crate::{Effect, Limits, Record};
use serde::Serialize;
use std::collections::HashMap;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Messages {
    pub messages: u64,
    pub answers: u64,
    pub answered_twice: u64,
    pub unanswered: u64,
    pub effects_twice: u64,
    pub unknown_outcome: u64,
    /// Answers that say what the executors saw otherwise: succeeded and never run, throttled and run.
    pub untrue: u64,
    /// The first of what is wrong, in words.
    #[serde(skip)]
    pub breaches: Vec<String>,
}

impl Messages {
    pub fn kept(&self) -> bool {
        self.answered_twice + self.unanswered + self.effects_twice + self.untrue == 0
    }

    fn breach(&mut self, what: String) {
        if self.breaches.len() < 8 {
            self.breaches.push(what);
        }
    }
}

/// Judges the messages among some records.
pub fn messages(limits: &Limits, records: &[Record]) -> Messages {
    let mut found = Messages::default();
    let mut answers: HashMap<&str, Vec<&str>> = HashMap::new();
    let mut runs: HashMap<&str, u64> = HashMap::new();
    for r in records {
        match r {
            Record::Heard { invocation, outcome, .. } => {
                answers.entry(invocation).or_default().push(outcome);
            }
            Record::Ran { invocation, .. } => *runs.entry(invocation).or_default() += 1,
            _ => {}
        }
    }
    for r in records {
        let Record::Published { invocation, trigger_type, .. } = r else { continue };
        found.messages += 1;
        let effect = limits.trigger_types.iter().find(|t| t.name == *trigger_type).map(|t| t.effect);
        let runs = runs.get(invocation.as_str()).copied().unwrap_or(0);
        if effect == Some(Effect::NonIdempotent) && runs > 1 {
            found.effects_twice += 1;
            found.breach(format!("{invocation} ran {runs} times"));
        }
        let heard = answers.get(invocation.as_str()).map(Vec::as_slice).unwrap_or_default();
        found.answers += heard.len() as u64;
        match heard {
            [] => {
                found.unanswered += 1;
                found.breach(format!("{invocation} had no answer"));
            }
            [_] => {}
            many => {
                found.answered_twice += 1;
                found.breach(format!("{invocation} was answered {}", many.join(", then ")));
            }
        }
        for outcome in heard {
            found.unknown_outcome += u64::from(*outcome == "unknown");
            let so = match *outcome {
                "succeeded" => runs > 0,
                "throttled" => runs == 0 || effect == Some(Effect::Idempotent),
                "unknown" => effect != Some(Effect::Idempotent),
                _ => true,
            };
            if !so {
                found.untrue += 1;
                found.breach(format!("{invocation} was answered {outcome} and ran {runs} times"));
            }
        }
    }
    found
}
