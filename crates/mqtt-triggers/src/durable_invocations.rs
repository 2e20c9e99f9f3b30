//! Durable invocations, for clients over HTTP and trigger types that are journalled: an invocation is persisted under its
//! name (the idempotency key) before it is dispatched, and its answer before that is sent. An invocation that is
//! requested again under that name never runs again: the answer is repeated, or the client is told that it is not known
//! whether it ran. Times are in seconds since 1970.

use crate::ledger::base64_bytes;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// How an invocation ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "came")]
pub enum DurableOutcome {
    /// It was answered. A body that is longer than the limit is left out.
    Answered {
        /// The HTTP status of the answer.
        status: u16,
        /// The body of the answer.
        #[serde(with = "base64_bytes")]
        body: Bytes,
        /// Whether the body is complete, or was left out.
        #[serde(rename = "whole")]
        is_complete: bool,
    },
    /// The front end crashed, or the client went away, after it may have been dispatched.
    Unknown,
}

/// An entry of the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "promise")]
pub enum Record {
    /// An invocation was accepted.
    #[serde(rename = "taken")]
    Accepted {
        /// The name of the invocation.
        name: String,
        /// When it happened, in seconds since 1970.
        at: f64,
    },
    /// It has ended.
    #[serde(rename = "over")]
    Ended {
        /// The name of the invocation.
        name: String,
        /// When it happened, in seconds since 1970.
        at: f64,
        /// How it ended.
        outcome: DurableOutcome,
    },
    /// It has not run: the name is free again.
    #[serde(rename = "dropped")]
    Released {
        /// The name of the invocation.
        name: String,
    },
}

#[derive(Clone, Debug)]
struct DurableInvocation {
    at: f64,
    outcome: Option<DurableOutcome>,
}

/// The state of an invocation by its name.
#[derive(Clone, Debug, PartialEq)]
pub enum InvocationState {
    /// It is new, and accepted once this record is on the disk.
    New(Record),
    /// It has no answer yet.
    Running,
    /// It has ended.
    Ended(DurableOutcome),
    /// The limit of retained names is reached.
    Full,
}

/// The durable invocations of a front end.
#[derive(Clone, Debug, Default)]
pub struct DurableInvocations {
    /// Seconds for which a name is retained after its answer.
    retention: f64,
    /// The most names that are retained.
    max_names: usize,
    /// The most bytes of a body that is retained.
    max_body_length: usize,
    by_name: BTreeMap<String, DurableInvocation>,
    /// Names whose invocations have ended, in the order in which they are forgotten.
    ended: VecDeque<(f64, String)>,
}

impl DurableInvocations {
    /// No invocations yet.
    pub fn new(retention: f64, max_names: usize, max_body_length: usize) -> DurableInvocations {
        DurableInvocations {
            retention,
            max_names,
            max_body_length,
            ..DurableInvocations::default()
        }
    }

    /// Restores the invocations of a journal. Those that were open when the front end crashed have an unknown outcome.
    pub fn recover(self, records: &[Record], now: f64) -> DurableInvocations {
        let mut invocations = self.with_records(records);
        invocations.end_open(now);
        invocations.expire(now);
        invocations
    }

    /// Applies records, and leaves open what is open.
    pub fn with_records(mut self, records: &[Record]) -> DurableInvocations {
        records.iter().for_each(|record| self.apply(record));
        self
    }

    fn end_open(&mut self, now: f64) {
        let open: Vec<String> = self
            .by_name
            .iter()
            .filter(|(_, entry)| entry.outcome.is_none())
            .map(|(n, _)| n.clone())
            .collect();
        for name in open {
            self.apply(&Record::Ended {
                name,
                at: now,
                outcome: DurableOutcome::Unknown,
            });
        }
    }

    fn apply(&mut self, record: &Record) {
        match record {
            Record::Accepted { name, at } => {
                self.by_name.insert(
                    name.clone(),
                    DurableInvocation {
                        at: *at,
                        outcome: None,
                    },
                );
            }
            Record::Ended { name, at, outcome } => {
                let invocation = DurableInvocation {
                    at: *at,
                    outcome: Some(outcome.clone()),
                };
                self.by_name.insert(name.clone(), invocation);
                self.ended.push_back((*at, name.clone()));
            }
            Record::Released { name } => {
                self.by_name.remove(name);
            }
        }
    }

    fn expire(&mut self, now: f64) {
        while let Some((at, name)) = self.ended.front()
            && *at + self.retention <= now
        {
            if self
                .by_name
                .get(name)
                .is_some_and(|entry| entry.outcome.is_some() && entry.at == *at)
            {
                self.by_name.remove(name);
            }
            self.ended.pop_front();
        }
    }

    /// The number of names that are retained.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether no name is retained.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The state of a name, without a change.
    pub fn state(&self, name: &str) -> Option<InvocationState> {
        self.by_name.get(name).map(|entry| {
            entry
                .outcome
                .clone()
                .map_or(InvocationState::Running, InvocationState::Ended)
        })
    }

    /// An invocation is requested under a name.
    pub fn begin(&mut self, now: f64, name: &str) -> InvocationState {
        self.expire(now);
        if let Some(state) = self.state(name) {
            return state;
        }
        if self.by_name.len() >= self.max_names {
            return InvocationState::Full;
        }
        let record = Record::Accepted {
            name: name.to_owned(),
            at: now,
        };
        self.apply(&record);
        InvocationState::New(record)
    }

    /// An invocation has its final answer. If it has not run, the name is free again.
    pub fn end(&mut self, now: f64, name: &str, ran: bool, status: u16, body: &Bytes) -> Record {
        let record = if ran {
            let is_complete = body.len() <= self.max_body_length;
            let body = if is_complete {
                body.clone()
            } else {
                Bytes::new()
            };
            let outcome = DurableOutcome::Answered {
                status,
                body,
                is_complete,
            };
            Record::Ended {
                name: name.to_owned(),
                at: now,
                outcome,
            }
        } else {
            Record::Released {
                name: name.to_owned(),
            }
        };
        self.apply(&record);
        record
    }

    /// The client of an invocation cancelled it before the answer.
    pub fn client_cancelled(&mut self, now: f64, name: &str) -> Option<Record> {
        let open = self
            .by_name
            .get(name)
            .is_some_and(|entry| entry.outcome.is_none());
        open.then(|| {
            let record = Record::Ended {
                name: name.to_owned(),
                at: now,
                outcome: DurableOutcome::Unknown,
            };
            self.apply(&record);
            record
        })
    }

    /// The record of a new invocation could not be persisted: it is not accepted and nothing has run.
    pub fn forget(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// The records that lead to this state: a snapshot of the journal.
    pub fn records(&self) -> Vec<Record> {
        let mut records: Vec<Record> = self
            .by_name
            .iter()
            .map(|(name, entry)| match &entry.outcome {
                None => Record::Accepted {
                    name: name.clone(),
                    at: entry.at,
                },
                Some(outcome) => Record::Ended {
                    name: name.clone(),
                    at: entry.at,
                    outcome: outcome.clone(),
                },
            })
            .collect();
        // In the order in which they are forgotten.
        let at = |record: &Record| match record {
            Record::Accepted { at, .. } | Record::Ended { at, .. } => *at,
            Record::Released { .. } => 0.0,
        };
        records.sort_by(|a, b| at(a).total_cmp(&at(b)));
        records
    }
}
