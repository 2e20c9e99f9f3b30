//! What a front end has promised to clients over HTTP for trigger types that are journalled: an invocation is
//! written down under its name before it is dispatched, and its answer before that is sent. Asked again under that
//! name it is never run again: its answer is said again, or that it is not known whether it ran.

use crate::ledger::base64_bytes;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "came")]
pub enum Outcome {
    /// The response. A body that is longer than what is kept is left out.
    Answered {
        status: u16,
        #[serde(with = "base64_bytes")]
        body: Bytes,
        whole: bool,
    },
    /// The front end died, or the client went away, while its dispatch may have been out.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "promise")]
pub enum Record {
    /// `at`: seconds since 1970.
    Taken {
        name: String,
        at: f64,
    },
    Over {
        name: String,
        at: f64,
        outcome: Outcome,
    },
    /// Nothing has run: the name is free again.
    Dropped {
        name: String,
    },
}

#[derive(Clone, Debug)]
struct Promise {
    at: f64,
    outcome: Option<Outcome>,
}

/// How an invocation of a name stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Standing {
    /// It is this front end's now, once the record is on the disk.
    New(Record),
    Running,
    Over(Outcome),
    /// As many names are kept as may.
    Full,
}

#[derive(Clone, Debug, Default)]
pub struct Promises {
    /// Names are kept for so long after their answer.
    keep: f64,
    most: usize,
    longest_body: usize,
    names: BTreeMap<String, Promise>,
    /// Those that are over, in the order in which they are forgotten.
    over: VecDeque<(f64, String)>,
}

impl Promises {
    pub fn new(keep: f64, most: usize, longest_body: usize) -> Promises {
        Promises { keep, most, longest_body, ..Promises::default() }
    }

    /// Takes up what a journal holds: what was out when the front end died is of unknown outcome.
    pub fn recover(self, records: &[Record], now: f64) -> Promises {
        let mut promises = self.noted(records);
        promises.end_open(now);
        promises.sweep(now);
        promises
    }

    /// What records say, without a judgement of what was out.
    pub fn noted(mut self, records: &[Record]) -> Promises {
        records.iter().for_each(|record| self.note(record));
        self
    }

    fn end_open(&mut self, now: f64) {
        let open: Vec<String> =
            self.names.iter().filter(|(_, p)| p.outcome.is_none()).map(|(n, _)| n.clone()).collect();
        for name in open {
            self.note(&Record::Over { name, at: now, outcome: Outcome::Unknown });
        }
    }

    fn note(&mut self, record: &Record) {
        match record {
            Record::Taken { name, at } => {
                self.names.insert(name.clone(), Promise { at: *at, outcome: None });
            }
            Record::Over { name, at, outcome } => {
                let promise = Promise { at: *at, outcome: Some(outcome.clone()) };
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
            if self.names.get(name).is_some_and(|p| p.outcome.is_some() && p.at == *at) {
                self.names.remove(name);
            }
            self.over.pop_front();
        }
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// How a name stands, changing nothing.
    pub fn standing(&self, name: &str) -> Option<Standing> {
        self.names.get(name).map(|p| p.outcome.clone().map_or(Standing::Running, Standing::Over))
    }

    /// An invocation is offered under a name.
    pub fn offered(&mut self, now: f64, name: &str) -> Standing {
        self.sweep(now);
        if let Some(standing) = self.standing(name) {
            return standing;
        }
        if self.names.len() >= self.most {
            return Standing::Full;
        }
        let record = Record::Taken { name: name.to_owned(), at: now };
        self.note(&record);
        Standing::New(record)
    }

    /// Its final answer. `ran`: whether it may have; if not the name is free again.
    pub fn answered(&mut self, now: f64, name: &str, ran: bool, status: u16, body: &Bytes) -> Record {
        let record = if ran {
            let whole = body.len() <= self.longest_body;
            let body = if whole { body.clone() } else { Bytes::new() };
            let outcome = Outcome::Answered { status, body, whole };
            Record::Over { name: name.to_owned(), at: now, outcome }
        } else {
            Record::Dropped { name: name.to_owned() }
        };
        self.note(&record);
        record
    }

    /// Its client went away before it was answered.
    pub fn left(&mut self, now: f64, name: &str) -> Option<Record> {
        let open = self.names.get(name).is_some_and(|p| p.outcome.is_none());
        open.then(|| {
            let record = Record::Over { name: name.to_owned(), at: now, outcome: Outcome::Unknown };
            self.note(&record);
            record
        })
    }

    /// It could not be written down: nothing was promised and nothing has run.
    pub fn not_kept(&mut self, name: &str) {
        self.names.remove(name);
    }

    /// All that is known, as a journal's snapshot.
    pub fn records(&self) -> Vec<Record> {
        let mut records: Vec<Record> = self
            .names
            .iter()
            .map(|(name, p)| match &p.outcome {
                None => Record::Taken { name: name.clone(), at: p.at },
                Some(outcome) => Record::Over { name: name.clone(), at: p.at, outcome: outcome.clone() },
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
