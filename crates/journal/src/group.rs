//! Group commit: entries of many that wait for the disk at a time share a write and a sync.

use crate::Journal;
use std::fmt;
use std::io;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

/// Entries and bytes that share a sync at the most.
const MOST_ENTRIES: usize = 1_024;
const MOST_BYTES: usize = 4 * 1024 * 1024;

/// Told once: whether the entry is on the disk.
type Told = Box<dyn FnOnce(io::Result<()>) + Send>;

/// As many entries wait as may, or the writer has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

impl fmt::Display for QueueFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the journal takes no more entries now")
    }
}

impl std::error::Error for QueueFull {}

enum Job {
    Append(Vec<u8>, Told),
    Replace(Vec<u8>, Told),
}

/// A journal behind a thread of its own. There is no wait for company: while one sync runs the next entries gather,
/// so that an entry waits for two syncs at the most, the one that runs and its own.
pub struct GroupCommit {
    jobs: Option<SyncSender<Job>>,
    writer: Option<JoinHandle<Journal>>,
}

fn write(mut journal: Journal, jobs: Receiver<Job>, most_entries: usize) -> Journal {
    // After an entry that was not kept none is until all is replaced: what is kept is always the beginning of what
    // was handed over, so that nobody has to reckon with a gap.
    let mut failed = None::<(io::ErrorKind, String)>;
    let mut next = None;
    while let Some(job) = next.take().or_else(|| jobs.recv().ok()) {
        let first = match job {
            Job::Append(entry, told) => (entry, told),
            Job::Replace(state, told) => {
                let done = journal.snapshot(&state);
                if done.is_ok() {
                    failed = None;
                }
                told(done);
                continue;
            }
        };
        let mut bytes = first.0.len();
        let mut batch = vec![first];
        while batch.len() < most_entries && bytes < MOST_BYTES {
            match jobs.try_recv() {
                Ok(Job::Append(entry, told)) => {
                    bytes += entry.len();
                    batch.push((entry, told));
                }
                Ok(replace) => {
                    next = Some(replace);
                    break;
                }
                Err(_) => break,
            }
        }
        let (bodies, told): (Vec<Vec<u8>>, Vec<Told>) = batch.into_iter().unzip();
        if failed.is_none() {
            failed = journal
                .append_all(&bodies)
                .err()
                .map(|e| (e.kind(), e.to_string()));
        }
        for tell in told {
            tell(
                failed
                    .clone()
                    .map_or(Ok(()), |(kind, what)| Err(io::Error::new(kind, what))),
            );
        }
    }
    journal
}

impl GroupCommit {
    /// `most_waiting`: entries that may wait for the writer.
    pub fn new(journal: Journal, most_waiting: usize) -> GroupCommit {
        GroupCommit::sharing(journal, most_waiting, MOST_ENTRIES)
    }

    /// With so many entries that share a sync at the most.
    pub fn sharing(journal: Journal, most_waiting: usize, most_entries: usize) -> GroupCommit {
        let (send, jobs) = sync_channel(most_waiting.max(1));
        let writer = std::thread::spawn(move || write(journal, jobs, most_entries));
        GroupCommit {
            jobs: Some(send),
            writer: Some(writer),
        }
    }

    /// Hands an entry over. `told` is called on the writer's thread, once it is on the disk or can't be.
    pub fn append(
        &self,
        entry: Vec<u8>,
        told: impl FnOnce(io::Result<()>) + Send + 'static,
    ) -> Result<(), QueueFull> {
        self.hand_over(Job::Append(entry, Box::new(told)))
    }

    /// Replaces all that is kept by a snapshot. A journal that took nothing more after a failure does so again
    /// where this goes well: the snapshot is a file of its own.
    pub fn replace(
        &self,
        state: Vec<u8>,
        told: impl FnOnce(io::Result<()>) + Send + 'static,
    ) -> Result<(), QueueFull> {
        self.hand_over(Job::Replace(state, Box::new(told)))
    }

    fn hand_over(&self, job: Job) -> Result<(), QueueFull> {
        let jobs = self.jobs.as_ref().ok_or(QueueFull)?;
        jobs.try_send(job).map_err(|e| match e {
            TrySendError::Full(_) | TrySendError::Disconnected(_) => QueueFull,
        })
    }

    /// Writes what waits and gives the journal back; none where the writer's thread died.
    pub fn close(mut self) -> Option<Journal> {
        self.jobs = None;
        self.writer.take()?.join().ok()
    }
}
