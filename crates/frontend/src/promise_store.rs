//! Promises to HTTP clients on the disk.

use bytes::Bytes;
use futures_channel::oneshot;
use orchidtally_deployment::Deployment;
use orchidtally_journal::{Group, Journal};
use orchidtally_trigger::promises::{Promises, Record, Standing};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use tracing::{error, info};

/// Bodies up to this are kept with their answer.
const LONGEST_BODY: usize = 64 * 1024;
/// Entries that may wait for the disk.
const MOST_WAITING: usize = 65_536;
/// Of the journal's bound, the part that entries may have before they are folded.
const FOLDED_AT: f64 = 0.5;

pub struct PromiseStore {
    promises: RefCell<Promises>,
    journal: Group,
    /// Bytes of entries since they were folded.
    entries: Cell<u64>,
    max_bytes: u64,
    failed: Cell<bool>,
}

/// Why nothing can be promised now.
#[derive(Debug)]
pub struct NotKept;

impl PromiseStore {
    /// Opens the journal of a front end, where its deployment has one. What stood in it is kept for as long as
    /// it says.
    pub fn open(deployment: &Deployment, now: f64) -> io::Result<Option<PromiseStore>> {
        let Some(terms) = &deployment.journal else { return Ok(None) };
        let folder = terms.folder(deployment.policy.index as u32);
        let (journal, found) = Journal::open(&folder)?;
        let mut records: Vec<Record> = match &found.snapshot {
            Some(state) => serde_json::from_slice(state).map_err(io::Error::from)?,
            None => vec![],
        };
        for entry in &found.entries {
            let record = serde_json::from_slice(entry).map_err(|e| {
                let what =
                    format!("{}: an entry can't be read, so that nothing is served: {e}", folder.display());
                io::Error::new(io::ErrorKind::InvalidData, what)
            })?;
            records.push(record);
        }
        let entries = journal.length();
        let promises = Promises::new(terms.keep, terms.most_kept, LONGEST_BODY).recover(&records, now);
        if !promises.is_empty() {
            info!(names = promises.len(), "promises of a life before were read");
        }
        Ok(Some(PromiseStore {
            promises: RefCell::new(promises),
            journal: Group::new(journal, MOST_WAITING),
            entries: Cell::new(entries),
            max_bytes: terms.max_bytes,
            failed: Cell::new(false),
        }))
    }

    pub fn standing(&self, name: &str) -> Option<Standing> {
        self.promises.borrow().standing(name)
    }

    /// Whether the record is on the disk.
    async fn write(&self, record: &Record) -> bool {
        let entry = serde_json::to_vec(record).unwrap_or_default();
        self.entries.set(self.entries.get() + entry.len() as u64 + 12);
        let (tell, told) = oneshot::channel();
        let handed = self.journal.append(entry, move |kept| {
            if let Err(fault) = &kept {
                error!(%fault, "the journal did not keep a promise");
            }
            // Its client may have left.
            let _ = tell.send(kept.is_ok());
        });
        let kept = handed.is_ok() && told.await.unwrap_or(false);
        if !kept {
            self.failed.set(true);
        }
        kept
    }

    /// Writes all that is known anew: where an entry was not kept, or there are many.
    async fn fold(&self) -> bool {
        let state = serde_json::to_vec(&self.promises.borrow().records()).unwrap_or_default();
        let (tell, told) = oneshot::channel();
        let handed = self.journal.replace(state, move |done| {
            if let Err(fault) = &done {
                error!(%fault, "the journal's state could not be replaced");
            }
            let _ = tell.send(done.is_ok());
        });
        let done = handed.is_ok() && told.await.unwrap_or(false);
        if done {
            self.failed.set(false);
            self.entries.set(0);
        }
        done
    }

    /// An invocation is offered under a name; a new one is on the disk when this returns.
    pub async fn offered(
        self: &Rc<Self>,
        now: f64,
        name: &str,
    ) -> Result<(Standing, Option<Promised>), NotKept> {
        let many = self.entries.get() as f64 > FOLDED_AT * self.max_bytes as f64;
        if (self.failed.get() || many) && !self.fold().await {
            return Err(NotKept);
        }
        let standing = self.promises.borrow_mut().offered(now, name);
        let Standing::New(record) = &standing else { return Ok((standing, None)) };
        let promised = Promised { promise_store: self.clone(), name: name.to_owned(), now, open: true };
        if !self.write(record).await {
            let mut promised = promised;
            promised.open = false;
            self.promises.borrow_mut().not_kept(name);
            return Err(NotKept);
        }
        Ok((standing, Some(promised)))
    }
}

/// An invocation that was promised. Dropped before it is answered, its client has left.
pub struct Promised {
    promise_store: Rc<PromiseStore>,
    name: String,
    now: f64,
    open: bool,
}

impl Promised {
    /// Its final answer, on the disk when this returns, if the disk takes it: it is known all the same.
    pub async fn answered(mut self, now: f64, ran: bool, status: u16, body: &Bytes) {
        self.open = false;
        let record = self.promise_store.promises.borrow_mut().answered(now, &self.name, ran, status, body);
        self.promise_store.write(&record).await;
    }
}

impl Drop for Promised {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let left = self.promise_store.promises.borrow_mut().left(self.now, &self.name);
        // After a death it is of unknown outcome without this as well.
        let entry = left.and_then(|record| serde_json::to_vec(&record).ok());
        if let Some(entry) = entry {
            let _ = self.promise_store.journal.append(entry, |_| {});
        }
    }
}
