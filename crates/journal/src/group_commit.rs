//! Group commit: concurrent entries share a write and a sync.

use crate::Journal;
use std::io;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;

/// The most entries that share a sync.
const MAX_BATCH_ENTRIES: usize = 1_024;
/// Bytes after which no further entry joins a batch.
const MAX_BATCH_BYTES: usize = 4 * 1024 * 1024;

/// Called once, on the writer's thread, with the result of a commit.
type CommitCallback = Box<dyn FnOnce(io::Result<()>) + Send>;

/// The queue of commit requests is full, or the writer's thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the commit queue is full or closed")]
pub struct QueueFull;

/// A request to the writer's thread.
enum CommitRequest {
    /// Append an entry.
    Append(Vec<u8>, CommitCallback),
    /// Replace the contents of the journal by a snapshot.
    Snapshot(Vec<u8>, CommitCallback),
}

/// A journal with a writer thread, to which entries are queued.
///
/// The writer never waits for a batch to fill. While one sync runs, the next entries queue up, so that an entry waits
/// for at most two syncs: the one in progress and its own.
pub struct GroupCommit {
    /// `None` once the queue is closed.
    requests: Option<SyncSender<CommitRequest>>,
    writer: Option<JoinHandle<Journal>>,
}

/// An error that can be reported to several callers.
#[derive(Clone)]
struct CommitFailure {
    kind: io::ErrorKind,
    message: String,
}

impl From<io::Error> for CommitFailure {
    fn from(error: io::Error) -> CommitFailure {
        CommitFailure {
            kind: error.kind(),
            message: error.to_string(),
        }
    }
}

impl From<CommitFailure> for io::Error {
    fn from(failure: CommitFailure) -> io::Error {
        io::Error::new(failure.kind, failure.message)
    }
}

/// Entries that are appended together.
#[derive(Default)]
struct Batch {
    entries: Vec<Vec<u8>>,
    callbacks: Vec<CommitCallback>,
    bytes: usize,
}

impl Batch {
    fn push(&mut self, entry: Vec<u8>, callback: CommitCallback) {
        self.bytes += entry.len();
        self.entries.push(entry);
        self.callbacks.push(callback);
    }
}

/// Writes commit requests until the queue is closed.
struct Writer {
    journal: Journal,
    requests: Receiver<CommitRequest>,
    max_batch_entries: usize,
    /// Set by a failed append. Until the next snapshot all entries fail, so that the journal always holds a prefix of
    /// the entries and never has gaps.
    failure: Option<CommitFailure>,
}

impl Writer {
    fn run(mut self) -> Journal {
        let mut next = None;
        while let Some(request) = next.take().or_else(|| self.requests.recv().ok()) {
            match request {
                CommitRequest::Append(entry, callback) => {
                    let mut batch = Batch::default();
                    batch.push(entry, callback);
                    next = self.fill(&mut batch);
                    self.commit(batch);
                }
                CommitRequest::Snapshot(state, callback) => {
                    let result = self.journal.snapshot(&state);
                    if result.is_ok() {
                        self.failure = None;
                    }
                    callback(result);
                }
            }
        }
        self.journal
    }

    /// Adds the entries that are queued to a batch. Returns the snapshot request at which it stopped.
    fn fill(&self, batch: &mut Batch) -> Option<CommitRequest> {
        while batch.entries.len() < self.max_batch_entries && batch.bytes < MAX_BATCH_BYTES {
            match self.requests.try_recv().ok()? {
                CommitRequest::Append(entry, callback) => batch.push(entry, callback),
                snapshot => return Some(snapshot),
            }
        }
        None
    }

    fn commit(&mut self, batch: Batch) {
        if self.failure.is_none() {
            let result = self.journal.append_all(&batch.entries);
            self.failure = result.err().map(CommitFailure::from);
        }
        for callback in batch.callbacks {
            let result = match &self.failure {
                None => Ok(()),
                Some(failure) => Err(failure.clone().into()),
            };
            callback(result);
        }
    }
}

impl GroupCommit {
    /// Starts the writer. At most `max_queued` requests wait for it.
    pub fn new(journal: Journal, max_queued: usize) -> GroupCommit {
        GroupCommit::with_max_batch(journal, max_queued, MAX_BATCH_ENTRIES)
    }

    /// Starts the writer as [`GroupCommit::new`] does, with at most `max_batch_entries` entries in a sync.
    pub fn with_max_batch(
        journal: Journal,
        max_queued: usize,
        max_batch_entries: usize,
    ) -> GroupCommit {
        let (sender, requests) = sync_channel(max_queued.max(1));
        let writer = Writer {
            journal,
            requests,
            max_batch_entries,
            failure: None,
        };
        GroupCommit {
            requests: Some(sender),
            writer: Some(std::thread::spawn(move || writer.run())),
        }
    }

    /// Queues an entry. `callback` is called on the writer's thread once the entry is synced or has failed.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if the entry was not queued; `callback` is not called then.
    pub fn append(
        &self,
        entry: Vec<u8>,
        callback: impl FnOnce(io::Result<()>) + Send + 'static,
    ) -> Result<(), QueueFull> {
        self.send(CommitRequest::Append(entry, Box::new(callback)))
    }

    /// Queues a snapshot that replaces the contents of the journal. A journal that rejects entries after a failure
    /// accepts them again after a successful snapshot, since the snapshot is in a separate file.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if the snapshot was not queued; `callback` is not called then.
    pub fn snapshot(
        &self,
        state: Vec<u8>,
        callback: impl FnOnce(io::Result<()>) + Send + 'static,
    ) -> Result<(), QueueFull> {
        self.send(CommitRequest::Snapshot(state, Box::new(callback)))
    }

    fn send(&self, request: CommitRequest) -> Result<(), QueueFull> {
        let requests = self.requests.as_ref().ok_or(QueueFull)?;
        requests.try_send(request).map_err(|_| QueueFull)
    }

    /// Commits the queued requests and returns the journal; `None` if the writer's thread panicked.
    pub fn close(mut self) -> Option<Journal> {
        self.requests = None;
        self.writer.take()?.join().ok()
    }
}
