//! Durable invocations, for HTTP clients and trigger types that are journalled. An invocation is persisted under its
//! name (the idempotency key) before it is dispatched, and its answer is persisted before it is sent. A repeated request
//! under the same name never runs again: it receives the stored answer, or an answer that says that it is unknown
//! whether the invocation ran. Times are in seconds since 1970.

use crate::ledger::base64_bytes;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The outcome of an invocation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "came")]
pub enum DurableOutcome {
    /// The invocation was answered. A body longer than the limit is not stored.
    Answered {
        /// The HTTP status of the answer.
        status: u16,
        /// The body of the answer.
        #[serde(with = "base64_bytes")]
        body: Bytes,
        /// Whether the body is stored; false if it was longer than the limit.
        #[serde(rename = "whole")]
        is_complete: bool,
    },
    /// The front end crashed, or the client disconnected, after the invocation may have been dispatched.
    Unknown,
}

/// A journal record of durable invocations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "promise")]
pub enum Record {
    /// An invocation was accepted.
    #[serde(rename = "taken")]
    Accepted {
        /// The name of the invocation.
        name: String,
        /// The time of the event, in seconds since 1970.
        at: f64,
    },
    /// An invocation has ended.
    #[serde(rename = "over")]
    Ended {
        /// The name of the invocation.
        name: String,
        /// The time of the event, in seconds since 1970.
        at: f64,
        /// Its outcome.
        outcome: DurableOutcome,
    },
    /// An invocation ended without having run: its name can be used again.
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

/// The state of a named invocation.
#[derive(Clone, Debug, PartialEq)]
pub enum InvocationState {
    /// The name is new. The invocation is accepted once this record is on disk.
    New(Record),
    /// The invocation has no answer yet.
    Running,
    /// The invocation has ended.
    Ended(DurableOutcome),
    /// The name is new, but the maximum number of names is retained already.
    Full,
}

/// The durable invocations of a front end.
#[derive(Clone, Debug, Default)]
pub struct DurableInvocations {
    /// Seconds for which a name is retained after its invocation has ended.
    retention: f64,
    /// The maximum number of retained names.
    max_names: usize,
    /// The maximum length of a retained body, in bytes.
    max_body_length: usize,
    by_name: BTreeMap<String, DurableInvocation>,
    /// Names of ended invocations with the times of their ends, in the order in which they expire.
    ended: VecDeque<(f64, String)>,
}

impl DurableInvocations {
    /// Creates an empty set of invocations.
    pub fn new(retention: f64, max_names: usize, max_body_length: usize) -> DurableInvocations {
        DurableInvocations {
            retention,
            max_names,
            max_body_length,
            ..DurableInvocations::default()
        }
    }

    /// Restores the invocations from journal records. Invocations without an end get an unknown outcome.
    pub fn recover(self, records: &[Record], now: f64) -> DurableInvocations {
        let mut invocations = self.with_records(records);
        invocations.end_open(now);
        invocations.expire(now);
        invocations
    }

    /// Applies journal records. Invocations without an end stay running.
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

    /// The number of retained names.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether no name is retained.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the state of a name without expiring or accepting anything; `None` if the name is not retained.
    pub fn state(&self, name: &str) -> Option<InvocationState> {
        self.by_name.get(name).map(|entry| {
            entry
                .outcome
                .clone()
                .map_or(InvocationState::Running, InvocationState::Ended)
        })
    }

    /// Handles a request for an invocation: expires old names, then returns the state of this one.
    /// `InvocationState::New` reserves the name, and the caller persists the record before it dispatches.
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

    /// Ends an invocation with its final answer and returns the record to persist. If the invocation has not run, its
    /// name is released.
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

    /// Ends an invocation whose client disconnected before the answer. Returns the record to persist; `None` if the
    /// invocation is not running.
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

    /// Removes a new invocation whose record could not be persisted and that has not run.
    pub fn forget(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Returns the records of a journal snapshot, from which `recover` restores this state.
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
        // `ended` has to be in the order in which names expire.
        let at = |record: &Record| match record {
            Record::Accepted { at, .. } | Record::Ended { at, .. } => *at,
            Record::Released { .. } => 0.0,
        };
        records.sort_by(|a, b| at(a).total_cmp(&at(b)));
        records
    }
}
