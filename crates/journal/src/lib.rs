//! Durable state in a folder: a snapshot, replaced as a whole, and entries appended since, in records with their
//! length and checksum. What was appended is on the disk when `append` returns. A process killed in the middle of
//! anything leaves a folder that opens at the last whole record. Entries that share a sync share a record, so that
//! a record that is not whole can only be the last: one with whole records behind it is damage, and is named
//! instead of cut off. One process at a time has a folder open.

mod group;

pub use group::{GroupCommit, QueueFull};

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// What each file begins with; the last byte is the format's version.
const MAGIC: [u8; 8] = *b"orchjrn2";
/// Length and checksum before each record.
const HEAD: usize = 8;
/// The longest record or snapshot.
pub const LONGEST: usize = 64 * 1024 * 1024;

/// What stood in the folder.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    pub snapshot: Option<Vec<u8>>,
    /// Entries appended since the snapshot.
    pub entries: Vec<Vec<u8>>,
    /// Bytes after the last whole record that were cut off: an append that did not come to its end.
    pub cut: u64,
}

#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    /// Snapshots are numbered; each has its own file of entries.
    generation: u64,
    log: File,
    length: u64,
    /// An append failed and could not be taken back: nothing can be added that is sure to be read again.
    broken: bool,
    synced: bool,
    _lock: File,
}

fn checksum(length: u32, bytes: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&length.to_be_bytes());
    sum.update(bytes);
    sum.finalize()
}

fn framed(bytes: &[u8]) -> io::Result<Vec<u8>> {
    if bytes.len() > LONGEST {
        let what = format!("an entry of {} bytes, {LONGEST} at most", bytes.len());
        return Err(io::Error::new(io::ErrorKind::InvalidInput, what));
    }
    let length = bytes.len() as u32;
    let mut framed = Vec::with_capacity(HEAD + bytes.len());
    framed.extend(length.to_be_bytes());
    framed.extend(checksum(length, bytes).to_be_bytes());
    framed.extend(bytes);
    Ok(framed)
}

/// The record at the start of some bytes, if it is whole.
fn record(bytes: &[u8]) -> Option<&[u8]> {
    let (head, rest) = bytes.split_first_chunk::<HEAD>()?;
    let [a, b, c, d, sum @ ..] = *head;
    let length = u32::from_be_bytes([a, b, c, d]);
    let body = rest.get(..length as usize).filter(|b| b.len() <= LONGEST)?;
    (checksum(length, body) == u32::from_be_bytes(sum)).then_some(body)
}

/// The entries of a record, each behind its length.
fn split(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut entries = vec![];
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let length = u32::from_be_bytes(*length) as usize;
        entries.push(rest.get(..length)?.to_vec());
        body = &rest[length..];
    }
    Some(entries)
}

/// The entries of the whole records at the start of what a file holds behind its magic, and the bytes that these
/// take. A fault where whole records lie behind one that is not.
fn entries(bytes: &[u8], path: &Path) -> io::Result<(Vec<Vec<u8>>, usize)> {
    let (mut found, mut taken) = (vec![], 0);
    while let Some((body, entries)) = record(&bytes[taken..]).and_then(|b| Some((b, split(b)?))) {
        found.extend(entries);
        taken += HEAD + body.len();
    }
    let is_whole =
        |n: &usize| record(&bytes[*n..]).is_some_and(|b| split(b).is_some_and(|e| !e.is_empty()));
    if let Some(next) = (taken + 1..bytes.len()).find(is_whole) {
        let (at, next) = (MAGIC.len() + taken, MAGIC.len() + next);
        let what = format!(
            "{}: damaged at byte {at}: whole records follow from byte {next} on",
            path.display()
        );
        return Err(io::Error::new(io::ErrorKind::InvalidData, what));
    }
    Ok((found, taken))
}

fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let mut bytes = vec![];
    match File::open(path) {
        Ok(mut file) => file.read_to_end(&mut bytes)?,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    Ok(Some(bytes))
}

/// So that a new name in a folder outlives a loss of power.
fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn numbered(name: &str, kind: &str) -> Option<u64> {
    name.strip_prefix(kind)?.parse().ok()
}

/// The numbers of snapshots and of files of entries in a folder.
fn numbers(folder: &Path) -> io::Result<(Vec<u64>, Vec<u64>)> {
    let (mut snapshots, mut logs) = (vec![], vec![]);
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        let name = name.to_string_lossy();
        snapshots.extend(numbered(&name, "snapshot-"));
        logs.extend(numbered(&name, "log-"));
    }
    snapshots.sort_unstable();
    Ok((snapshots, logs))
}

/// What a generation holds, and the length of its file of entries up to the last whole record.
fn contents(folder: &Path, generation: u64, has_snapshot: bool) -> io::Result<(Recovered, u64)> {
    let mut recovered = Recovered::default();
    let bad = |path: &Path, what: &str| {
        io::Error::new(
            io::ErrorKind::InvalidData,
            format!("{}: {what}", path.display()),
        )
    };
    if has_snapshot {
        let path = folder.join(format!("snapshot-{generation}"));
        let bytes = read(&path)?.unwrap_or_default();
        let body = bytes
            .strip_prefix(&MAGIC)
            .and_then(record)
            .ok_or_else(|| bad(&path, "the snapshot is damaged"))?;
        recovered.snapshot = Some(body.to_vec());
    }
    let path = folder.join(format!("log-{generation}"));
    let bytes = read(&path)?.unwrap_or_default();
    let body = bytes.strip_prefix(&MAGIC);
    if body.is_none() && bytes.len() >= MAGIC.len() {
        return Err(bad(&path, "no journal of this format"));
    }
    let (found, taken) = entries(body.unwrap_or_default(), &path)?;
    recovered.entries = found;
    let length = if body.is_some() {
        (MAGIC.len() + taken) as u64
    } else {
        0
    };
    recovered.cut = bytes.len() as u64 - length;
    Ok((recovered, length))
}

/// What stands in a folder, changing nothing. Another process may have it open.
pub fn inspect(folder: &Path) -> io::Result<Recovered> {
    let (snapshots, _) = numbers(folder)?;
    let generation = snapshots.last().copied().unwrap_or(0);
    Ok(contents(folder, generation, !snapshots.is_empty())?.0)
}

impl Journal {
    /// Opens a folder, made where there is none, and gives what stood in it.
    pub fn open(folder: &Path) -> io::Result<(Journal, Recovered)> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join("lock"))?;
        lock.try_lock().map_err(|e| {
            let what = format!("{}: another process has it open ({e})", folder.display());
            io::Error::new(io::ErrorKind::WouldBlock, what)
        })?;
        let (snapshots, logs) = numbers(folder)?;
        // A snapshot gets its name once it is whole and on the disk; one that can't be read is a damaged disk's.
        let generation = snapshots.last().copied().unwrap_or(0);
        let (recovered, length) = contents(folder, generation, !snapshots.is_empty())?;
        let path = folder.join(format!("log-{generation}"));
        let mut log = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)?;
        log.set_len(length)?;
        log.seek(SeekFrom::Start(length))?;
        if length == 0 {
            log.write_all(&MAGIC)?;
        }
        log.sync_all()?;
        sync_folder(folder)?;
        // What is older than the newest snapshot was left by a process killed while it tidied.
        for (kind, numbers) in [("snapshot", snapshots), ("log", logs)] {
            for n in numbers.into_iter().filter(|&n| n != generation) {
                std::fs::remove_file(folder.join(format!("{kind}-{n}")))?;
            }
        }
        let length = length.max(MAGIC.len() as u64);
        let folder = folder.to_owned();
        Ok((
            Journal {
                folder,
                generation,
                log,
                length,
                broken: false,
                synced: true,
                _lock: lock,
            },
            recovered,
        ))
    }

    /// Promises nothing: entries are written and not synced. For measurements.
    pub fn without_syncs(self) -> Journal {
        Journal {
            synced: false,
            ..self
        }
    }

    /// As if a sync had failed, for tests of what stands round it.
    pub fn fail(&mut self) {
        self.broken = true;
    }

    /// Bytes of entries since the snapshot.
    pub fn length(&self) -> u64 {
        self.length - MAGIC.len() as u64
    }

    /// Adds an entry; it is on the disk when this returns. After an error it is not in the journal, or nothing
    /// more is taken.
    pub fn append(&mut self, entry: &[u8]) -> io::Result<()> {
        self.append_all(&[entry])
    }

    /// Adds entries by one write and one sync: all of them or none.
    pub fn append_all(&mut self, entries: &[impl AsRef<[u8]>]) -> io::Result<()> {
        if self.broken {
            return Err(io::Error::other(
                "an earlier entry could not be synced or taken back; open the folder anew",
            ));
        }
        let mut body = vec![];
        for entry in entries {
            let entry = entry.as_ref();
            let length = u32::try_from(entry.len()).map_err(io::Error::other)?;
            body.extend(length.to_be_bytes());
            body.extend(entry);
        }
        let bytes = framed(&body)?;
        if let Err(fault) = self.log.write_all(&bytes) {
            // A part of it may stand there; what came after it would never be read.
            let back = self
                .log
                .set_len(self.length)
                .and_then(|()| self.log.seek(SeekFrom::Start(self.length)));
            self.broken = back.is_err();
            return Err(fault);
        }
        if self.synced
            && let Err(fault) = self.log.sync_data()
        {
            // What the system holds of it may be marked as written by now: a later sync would prove nothing.
            self.broken = true;
            return Err(fault);
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Replaces all that was kept by a new snapshot. Killed at any moment it leaves the old state or the new.
    pub fn snapshot(&mut self, state: &[u8]) -> io::Result<()> {
        let next = self.generation + 1;
        let (path, temporary) = (
            self.folder.join(format!("snapshot-{next}")),
            self.folder.join("next-snapshot"),
        );
        let mut file = File::create(&temporary)?;
        file.write_all(&MAGIC)?;
        file.write_all(&framed(state)?)?;
        file.sync_all()?;
        // Its entries come to a file of their own, which has to be there before the name counts.
        let log_path = self.folder.join(format!("log-{next}"));
        let mut log = File::create(&log_path)?;
        log.write_all(&MAGIC)?;
        log.sync_all()?;
        std::fs::rename(&temporary, &path)?;
        sync_folder(&self.folder)?;
        let before = std::mem::replace(&mut self.generation, next);
        self.log = log;
        self.length = MAGIC.len() as u64;
        self.broken = false;
        for name in [format!("log-{before}"), format!("snapshot-{before}")] {
            match std::fs::remove_file(self.folder.join(name)) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => {}
            }
        }
        Ok(())
    }
}
