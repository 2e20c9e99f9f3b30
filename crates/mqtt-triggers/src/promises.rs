//! Promises to clients over HTTP for trigger types that are journalled: an invocation is persisted under its name before
//! it is dispatched, and its answer before that is sent. An invocation that is asked for again under that name never
//! runs again: the answer is repeated, or the client is told that it is not known whether it ran. Times are in seconds
//! since 1970.

use crate::ledger::base64_bytes;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// How an invocation ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "came")]
pub enum Outcome {
    /// It was answered. A body that is longer than what is kept is left out.
    Answered {
        status: u16,
        #[serde(with = "base64_bytes")]
        body: Bytes,
        whole: bool,
    },
    /// The front end crashed, or the client went away, after it may have been dispatched.
    Unknown,
}

/// An entry of the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "promise")]
pub enum Record {
    /// An invocation was promised.
    Taken { name: String, at: f64 },
    /// It has ended.
    Over {
        name: String,
        at: f64,
        outcome: Outcome,
    },
    /// It has not run: the name is free again.
    Dropped { name: String },
}

#[derive(Clone, Debug)]
struct Promise {
    at: f64,
    outcome: Option<Outcome>,
}

/// The state of an invocation by its name.
#[derive(Clone, Debug, PartialEq)]
pub enum InvocationState {
    /// It is new, and promised once this record is on the disk.
    New(Record),
    /// It has no answer yet.
    Running,
    /// It has ended.
    Over(Outcome),
    /// As many names are kept as may be.
    Full,
}

/// The promises of a front end.
#[derive(Clone, Debug, Default)]
pub struct DurableInvocations {
    /// Seconds for which a name is kept after its answer.
    keep: f64,
    /// The most names that are kept.
    most: usize,
    /// The most bytes of a body that is kept.
    longest_body: usize,
    names: BTreeMap<String, Promise>,
    /// Names whose invocations have ended, in the order in which they are forgotten.
    over: VecDeque<(f64, String)>,
}

impl DurableInvocations {
    /// No promises yet.
    pub fn new(keep: f64, most: usize, longest_body: usize) -> DurableInvocations {
        DurableInvocations {
            keep,
            most,
            longest_body,
            ..DurableInvocations::default()
        }
    }

    /// Restores the promises of a journal. Those that were open when the front end crashed have an unknown outcome.
    pub fn recover(self, records: &[Record], now: f64) -> DurableInvocations {
        let mut promises = self.noted(records);
        promises.end_open(now);
        promises.sweep(now);
        promises
    }

    /// Applies records, and leaves open what is open.
    pub fn noted(mut self, records: &[Record]) -> DurableInvocations {
        records.iter().for_each(|record| self.note(record));
        self
    }

    fn end_open(&mut self, now: f64) {
        let open: Vec<String> = self
            .names
            .iter()
            .filter(|(_, p)| p.outcome.is_none())
            .map(|(n, _)| n.clone())
            .collect();
        for name in open {
            self.note(&Record::Over {
                name,
                at: now,
                outcome: Outcome::Unknown,
            });
        }
    }

    fn note(&mut self, record: &Record) {
        match record {
            Record::Taken { name, at } => {
                self.names.insert(
                    name.clone(),
                    Promise {
                        at: *at,
                        outcome: None,
                    },
                );
            }
            Record::Over { name, at, outcome } => {
                let promise = Promise {
                    at: *at,
                    outcome: Some(outcome.clone()),
                };
                self.names.insert(name.clone(), promise);
                self.over.push_back((*at, name.clone()));
            }
            Record::Dropped { name } => {
                self.names.remove(name);
            }
        }
    }

    fn sweep(&mut self, now: f64) {
        while let Some((at, name)) = self.over.front()
            && *at + self.keep <= now
        {
            if self
                .names
                .get(name)
                .is_some_and(|p| p.outcome.is_some() && p.at == *at)
            {
                self.names.remove(name);
            }
            self.over.pop_front();
        }
    }

    /// The number of names that are kept.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is kept.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The state of a name, without a change.
    pub fn standing(&self, name: &str) -> Option<InvocationState> {
        self.names.get(name).map(|p| {
            p.outcome
                .clone()
                .map_or(InvocationState::Running, InvocationState::Over)
        })
    }

    /// An invocation is offered under a name.
    pub fn offered(&mut self, now: f64, name: &str) -> InvocationState {
        self.sweep(now);
        if let Some(standing) = self.standing(name) {
            return standing;
        }
        if self.names.len() >= self.most {
            return InvocationState::Full;
        }
        let record = Record::Taken {
            name: name.to_owned(),
            at: now,
        };
        self.note(&record);
        InvocationState::New(record)
    }

    /// An invocation has its final answer. If it has not run, the name is free again.
    pub fn answered(
        &mut self,
        now: f64,
        name: &str,
        ran: bool,
        status: u16,
        body: &Bytes,
    ) -> Record {
        let record = if ran {
            let whole = body.len() <= self.longest_body;
            let body = if whole { body.clone() } else { Bytes::new() };
            let outcome = Outcome::Answered {
                status,
                body,
                whole,
            };
            Record::Over {
                name: name.to_owned(),
                at: now,
                outcome,
            }
        } else {
            Record::Dropped {
                name: name.to_owned(),
            }
        };
        self.note(&record);
        record
    }

    /// The client of an invocation went away before the answer.
    pub fn left(&mut self, now: f64, name: &str) -> Option<Record> {
        let open = self.names.get(name).is_some_and(|p| p.outcome.is_none());
        open.then(|| {
            let record = Record::Over {
                name: name.to_owned(),
                at: now,
                outcome: Outcome::Unknown,
            };
            self.note(&record);
            record
        })
    }

    /// The record of a new invocation could not be persisted: nothing is promised and nothing has run.
    pub fn not_kept(&mut self, name: &str) {
        self.names.remove(name);
    }

    /// The records that lead to this state: a snapshot of the journal.
    pub fn records(&self) -> Vec<Record> {
        let mut records: Vec<Record> = self
            .names
            .iter()
            .map(|(name, p)| match &p.outcome {
                None => Record::Taken {
                    name: name.clone(),
                    at: p.at,
                },
                Some(outcome) => Record::Over {
                    name: name.clone(),
                    at: p.at,
                    outcome: outcome.clone(),
                },
            })
            .collect();
        // In the order in which they are forgotten.
        let at = |r: &Record| match r {
            Record::Taken { at, .. } | Record::Over { at, .. } => *at,
            Record::Dropped { .. } => 0.0,
        };
        records.sort_by(|a, b| at(a).total_cmp(&at(b)));
        records
    }
}
