//! Durable HTTP invocations: their starts and final answers are persisted in a journal.

use bytes::Bytes;
use futures_channel::oneshot;
use orchidtally_deployment::Deployment;
use orchidtally_journal::{GroupCommit, Journal, Recovered};
use orchidtally_mqtt_triggers::durable_invocations::{DurableInvocations, InvocationState, Record};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use tracing::{error, info};

/// The longest response body that is retained, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The maximum number of entries that are queued for the journal.
const MAX_QUEUED_ENTRIES: usize = 65_536;
/// The fraction of the journal's length limit above which its entries are replaced by a snapshot.
const SNAPSHOT_THRESHOLD: f64 = 0.5;
/// Bytes that the journal adds to each entry.
const ENTRY_OVERHEAD: u64 = 12;

/// The durable invocations of a front end and their journal.
pub struct DurableInvocationStore {
    invocations: RefCell<DurableInvocations>,
    journal: GroupCommit,
    /// Bytes of the entries since the last snapshot.
    entry_bytes: Cell<u64>,
    max_bytes: u64,
    /// Set when an entry was not persisted. Another invocation begins only after a snapshot has succeeded.
    has_failed: Cell<bool>,
}

/// No durable invocation can begin, because the journal can't be written.
#[derive(Debug, thiserror::Error)]
#[error("the journal can't be written")]
pub struct JournalUnavailable;

/// Decodes the records of a journal, in order.
fn read_records(folder: &Path, recovered: &Recovered) -> io::Result<Vec<Record>> {
    let mut records: Vec<Record> = match &recovered.snapshot {
        Some(snapshot) => serde_json::from_slice(snapshot).map_err(io::Error::from)?,
        None => vec![],
    };
    for entry in &recovered.entries {
        let record = serde_json::from_slice(entry).map_err(|e| {
            let message = format!(
                "{}: an entry can't be read, the front end does not start: {e}",
                folder.display()
            );
            io::Error::new(io::ErrorKind::InvalidData, message)
        })?;
        records.push(record);
    }
    Ok(records)
}

impl DurableInvocationStore {
    /// Opens the journal of a front end, where its deployment has one, and restores its durable invocations.
    ///
    /// # Errors
    /// The journal can't be opened, or a record in it is malformed.
    pub fn open(deployment: &Deployment, now: f64) -> io::Result<Option<DurableInvocationStore>> {
        let Some(settings) = &deployment.journal else {
            return Ok(None);
        };
        let folder = settings.directory(deployment.policy.front_end_index as u32);
        let (journal, recovered) = Journal::open(&folder)?;
        let records = read_records(&folder, &recovered)?;
        let invocations =
            DurableInvocations::new(settings.retention, settings.max_retained, MAX_BODY_BYTES)
                .recover(&records, now);
        if !invocations.is_empty() {
            info!(
                names = invocations.len(),
                "durable invocations of the previous incarnation restored"
            );
        }
        Ok(Some(DurableInvocationStore {
            invocations: RefCell::new(invocations),
            entry_bytes: Cell::new(journal.length()),
            journal: GroupCommit::new(journal, MAX_QUEUED_ENTRIES),
            max_bytes: settings.max_bytes,
            has_failed: Cell::new(false),
        }))
    }

    /// The state of an invocation by its name.
    pub fn state(&self, name: &str) -> Option<InvocationState> {
        self.invocations.borrow().state(name)
    }

    /// Persists a record; returns whether that succeeded.
    async fn persist(&self, record: &Record) -> bool {
        let entry = serde_json::to_vec(record).unwrap_or_default();
        self.entry_bytes
            .set(self.entry_bytes.get() + entry.len() as u64 + ENTRY_OVERHEAD);
        let (sender, result) = oneshot::channel();
        let queued = self.journal.append(entry, move |appended| {
            if let Err(fault) = &appended {
                error!(%fault, "durable invocation not persisted");
            }
            // The client may have disconnected.
            let _ = sender.send(appended.is_ok());
        });
        let is_persisted = queued.is_ok() && result.await.unwrap_or(false);
        if !is_persisted {
            self.has_failed.set(true);
        }
        is_persisted
    }

    /// Replaces the journal's content by a snapshot; returns whether that succeeded.
    async fn write_snapshot(&self) -> bool {
        let snapshot = serde_json::to_vec(&self.invocations.borrow().records()).unwrap_or_default();
        let (sender, result) = oneshot::channel();
        let queued = self.journal.snapshot(snapshot, move |replaced| {
            if let Err(fault) = &replaced {
                error!(%fault, "journal snapshot failed");
            }
            let _ = sender.send(replaced.is_ok());
        });
        let is_replaced = queued.is_ok() && result.await.unwrap_or(false);
        if is_replaced {
            self.has_failed.set(false);
            self.entry_bytes.set(0);
        }
        is_replaced
    }

    fn needs_snapshot(&self) -> bool {
        let is_long = self.entry_bytes.get() as f64 > SNAPSHOT_THRESHOLD * self.max_bytes as f64;
        self.has_failed.get() || is_long
    }

    /// Begins an invocation under a name. The start of a new one is persisted when this returns.
    ///
    /// # Errors
    /// The journal can't be written; the invocation must not run.
    pub async fn begin(
        self: &Rc<Self>,
        now: f64,
        name: &str,
    ) -> Result<(InvocationState, Option<PersistedInvocation>), JournalUnavailable> {
        if self.needs_snapshot() && !self.write_snapshot().await {
            return Err(JournalUnavailable);
        }
        let state = self.invocations.borrow_mut().begin(now, name);
        let InvocationState::New(record) = &state else {
            return Ok((state, None));
        };
        let mut persisted = PersistedInvocation {
            durable_invocation_store: self.clone(),
            name: name.to_owned(),
            now,
            is_open: true,
        };
        if !self.persist(record).await {
            persisted.is_open = false;
            self.invocations.borrow_mut().forget(name);
            return Err(JournalUnavailable);
        }
        Ok((state, Some(persisted)))
    }
}

/// A durable invocation that has begun. Dropping it without an answer records that its client has disconnected.
pub struct PersistedInvocation {
    durable_invocation_store: Rc<DurableInvocationStore>,
    name: String,
    now: f64,
    is_open: bool,
}

impl PersistedInvocation {
    /// Records the final answer. It is persisted when this returns, unless the journal can't be written; it is kept in
    /// memory in any case.
    pub async fn record_answer(mut self, now: f64, may_have_run: bool, status: u16, body: &Bytes) {
        self.is_open = false;
        let record = self.durable_invocation_store.invocations.borrow_mut().end(
            now,
            &self.name,
            may_have_run,
            status,
            body,
        );
        self.durable_invocation_store.persist(&record).await;
    }
}

impl Drop for PersistedInvocation {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let cancelled = self
            .durable_invocation_store
            .invocations
            .borrow_mut()
            .client_cancelled(self.now, &self.name);
        // Without this entry the outcome is unknown after a crash as well.
        let entry = cancelled.and_then(|record| serde_json::to_vec(&record).ok());
        if let Some(entry) = entry {
            let _ = self.durable_invocation_store.journal.append(entry, |_| {});
        }
    }
}
