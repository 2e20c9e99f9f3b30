//! Durable state in a directory: a snapshot, which is replaced as a whole, and a log of the entries appended since.
//!
//! [`Journal::append`] returns once the entry is synced to the disk. After a crash at any point, the directory opens at
//! its last complete record, and the rest of an interrupted append is truncated. Entries that share a sync share a
//! record, so only the last record can be incomplete. An incomplete record that is followed by complete ones is damage
//! and an error. One process at a time can have a directory open.

mod directory;
mod group_commit;
mod record;

pub use directory::{Recovered, inspect};
pub use group_commit::{GroupCommit, QueueFull};
pub use record::MAX_RECORD_LENGTH;

use directory::{Contents, Generations, log_path, read_current, snapshot_path, sync_directory};
use record::{MAGIC, encode_record, join_entries};
use std::fs::{File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const LOCK_FILE: &str = "lock";
const TEMPORARY_SNAPSHOT: &str = "next-snapshot";

/// An open journal. Its directory is locked until it is dropped.
#[derive(Debug)]
pub struct Journal {
    directory: PathBuf,
    /// Number of the current snapshot; each has a log of its own.
    generation: u64,
    log: File,
    /// Length of the log in bytes, with the magic number.
    log_length: u64,
    /// Whether an append failed and couldn't be undone, so that later entries might not be readable.
    is_broken: bool,
    syncs: bool,
    _lock: File,
}

impl Journal {
    /// Opens a directory and returns its contents. Creates the directory if it doesn't exist.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if another process has the directory open, `InvalidData` if a file is damaged or of another format,
    /// and errors of the file system.
    pub fn open(directory: &Path) -> io::Result<(Journal, Recovered)> {
        std::fs::create_dir_all(directory)?;
        let lock = lock_directory(directory)?;
        let generations = Generations::list(directory)?;
        let generation = generations.current();
        let Contents {
            recovered,
            log_length,
        } = read_current(directory, &generations)?;
        let log = open_log(&log_path(directory, generation), log_length)?;
        sync_directory(directory)?;
        generations.remove_others(directory)?;
        let journal = Journal {
            directory: directory.to_owned(),
            generation,
            log,
            log_length: log_length.max(MAGIC.len() as u64),
            is_broken: false,
            syncs: true,
            _lock: lock,
        };
        Ok((journal, recovered))
    }

    /// Turns off syncs, for measurements: a power loss or system crash may lose entries.
    pub fn without_syncs(self) -> Journal {
        Journal {
            syncs: false,
            ..self
        }
    }

    /// Makes the journal reject entries as after a failed sync, for tests.
    pub fn simulate_sync_failure(&mut self) {
        self.is_broken = true;
    }

    /// Returns the bytes of records in the log since the snapshot.
    pub fn length(&self) -> u64 {
        self.log_length - MAGIC.len() as u64
    }

    /// Appends an entry and syncs it.
    ///
    /// # Errors
    ///
    /// As for [`Journal::append_all`].
    pub fn append(&mut self, entry: &[u8]) -> io::Result<()> {
        self.append_all(&[entry])
    }

    /// Appends entries by one write and one sync: all of them or none.
    ///
    /// # Errors
    ///
    /// `InvalidInput` if the entries together are longer than [`MAX_RECORD_LENGTH`], and errors of the file system.
    /// After an error the entries aren't in the journal, or the journal rejects all entries until the next snapshot.
    pub fn append_all(&mut self, entries: &[impl AsRef<[u8]>]) -> io::Result<()> {
        if self.is_broken {
            return Err(io::Error::other(
                "an earlier append failed and could not be undone; reopen the journal",
            ));
        }
        let record = encode_record(&join_entries(entries)?)?;
        if let Err(error) = self.log.write_all(&record) {
            // Records after an incomplete one are never read, so the incomplete one has to be removed.
            self.is_broken = self.undo_append().is_err();
            return Err(error);
        }
        if self.syncs
            && let Err(error) = self.log.sync_data()
        {
            // After a failed sync the kernel may mark the pages as clean, so that a later sync succeeds without writing
            // them.
            self.is_broken = true;
            return Err(error);
        }
        self.log_length += record.len() as u64;
        Ok(())
    }

    /// Truncates the log to the end of its last complete record.
    fn undo_append(&mut self) -> io::Result<()> {
        self.log.set_len(self.log_length)?;
        self.log.seek(SeekFrom::Start(self.log_length))?;
        Ok(())
    }

    /// Atomically replaces the contents of the journal by a snapshot: a crash at any point leaves the old state or the
    /// new one.
    ///
    /// # Errors
    ///
    /// `InvalidInput` if the state is longer than [`MAX_RECORD_LENGTH`], and errors of the file system.
    pub fn snapshot(&mut self, state: &[u8]) -> io::Result<()> {
        let next = self.generation + 1;
        let temporary = self.directory.join(TEMPORARY_SNAPSHOT);
        let mut snapshot = File::create(&temporary)?;
        snapshot.write_all(&MAGIC)?;
        snapshot.write_all(&encode_record(state)?)?;
        snapshot.sync_all()?;
        // The log has to exist before the rename, which makes the new generation current.
        let mut log = File::create(log_path(&self.directory, next))?;
        log.write_all(&MAGIC)?;
        log.sync_all()?;
        std::fs::rename(&temporary, snapshot_path(&self.directory, next))?;
        sync_directory(&self.directory)?;
        let previous = std::mem::replace(&mut self.generation, next);
        self.log = log;
        self.log_length = MAGIC.len() as u64;
        self.is_broken = false;
        remove_if_exists(&log_path(&self.directory, previous))?;
        remove_if_exists(&snapshot_path(&self.directory, previous))
    }
}

fn lock_directory(directory: &Path) -> io::Result<File> {
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(directory.join(LOCK_FILE))?;
    lock.try_lock().map_err(|error| {
        let message = format!(
            "{}: another process has it open ({error})",
            directory.display()
        );
        io::Error::new(io::ErrorKind::WouldBlock, message)
    })?;
    Ok(lock)
}

/// Opens a log for appending, truncated to `length` bytes.
fn open_log(path: &Path, length: u64) -> io::Result<File> {
    let mut log = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)?;
    log.set_len(length)?;
    log.seek(SeekFrom::Start(length))?;
    if length == 0 {
        log.write_all(&MAGIC)?;
    }
    log.sync_all()?;
    Ok(log)
}

fn remove_if_exists(path: &Path) -> io::Result<()> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}
