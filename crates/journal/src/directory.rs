//! The files of a journal's directory: numbered snapshots and logs.

use crate::record::{MAGIC, decode_log, decode_record, invalid_data};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

const SNAPSHOT_PREFIX: &str = "snapshot-";
const LOG_PREFIX: &str = "log-";

/// The contents of a directory when it was opened or inspected.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest snapshot, if there is one.
    pub snapshot: Option<Vec<u8>>,
    /// The entries appended since the snapshot, in order.
    pub entries: Vec<Vec<u8>>,
    /// Bytes of an interrupted append after the last complete record. Opening the directory truncates them.
    pub truncated_bytes: u64,
}

pub(crate) fn snapshot_path(directory: &Path, generation: u64) -> PathBuf {
    directory.join(format!("{SNAPSHOT_PREFIX}{generation}"))
}

pub(crate) fn log_path(directory: &Path, generation: u64) -> PathBuf {
    directory.join(format!("{LOG_PREFIX}{generation}"))
}

/// The generations of the snapshots and logs in a directory.
pub(crate) struct Generations {
    /// Generations with a snapshot, ascending.
    snapshots: Vec<u64>,
    logs: Vec<u64>,
}

impl Generations {
    pub(crate) fn list(directory: &Path) -> io::Result<Generations> {
        let mut snapshots = vec![];
        let mut logs = vec![];
        for entry in std::fs::read_dir(directory)? {
            let name = entry?.file_name();
            let name = name.to_string_lossy();
            snapshots.extend(parse_generation(&name, SNAPSHOT_PREFIX));
            logs.extend(parse_generation(&name, LOG_PREFIX));
        }
        snapshots.sort_unstable();
        Ok(Generations { snapshots, logs })
    }

    /// Returns the generation in use: the newest snapshot's. A snapshot file is renamed to its final name only after it
    /// is complete and synced.
    pub(crate) fn current(&self) -> u64 {
        self.snapshots.last().copied().unwrap_or(0)
    }

    /// Removes the files of all other generations, left by a process that was killed before it removed them.
    pub(crate) fn remove_others(&self, directory: &Path) -> io::Result<()> {
        let current = self.current();
        for &generation in self.snapshots.iter().filter(|&&g| g != current) {
            std::fs::remove_file(snapshot_path(directory, generation))?;
        }
        for &generation in self.logs.iter().filter(|&&g| g != current) {
            std::fs::remove_file(log_path(directory, generation))?;
        }
        Ok(())
    }
}

fn parse_generation(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

/// The contents of the current generation.
pub(crate) struct Contents {
    pub(crate) recovered: Recovered,
    /// Length of the log up to the end of its last complete record, with the magic number; 0 if there is no log.
    pub(crate) log_length: u64,
}

/// Reads the current generation of a directory.
pub(crate) fn read_current(directory: &Path, generations: &Generations) -> io::Result<Contents> {
    let generation = generations.current();
    let snapshot = if generations.snapshots.is_empty() {
        None
    } else {
        Some(read_snapshot(&snapshot_path(directory, generation))?)
    };
    let path = log_path(directory, generation);
    let bytes = read_if_exists(&path)?.unwrap_or_default();
    let body = bytes.strip_prefix(&MAGIC);
    if body.is_none() && bytes.len() >= MAGIC.len() {
        return Err(invalid_data(&path, "not a journal of this format"));
    }
    let log = decode_log(body.unwrap_or_default(), &path)?;
    let log_length = if body.is_some() {
        (MAGIC.len() + log.length) as u64
    } else {
        0
    };
    let recovered = Recovered {
        snapshot,
        entries: log.entries,
        truncated_bytes: bytes.len() as u64 - log_length,
    };
    Ok(Contents {
        recovered,
        log_length,
    })
}

fn read_snapshot(path: &Path) -> io::Result<Vec<u8>> {
    let bytes = read_if_exists(path)?.unwrap_or_default();
    bytes
        .strip_prefix(&MAGIC)
        .and_then(decode_record)
        .map(<[u8]>::to_vec)
        .ok_or_else(|| invalid_data(path, "the snapshot is damaged"))
}

fn read_if_exists(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let mut bytes = vec![];
    match File::open(path) {
        Ok(mut file) => file.read_to_end(&mut bytes)?,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    Ok(Some(bytes))
}

/// Reads the contents of a directory without changing it. Another process may have it open.
///
/// # Errors
///
/// `NotFound` if there is no such directory, `InvalidData` if a file is damaged or of another format.
pub fn inspect(directory: &Path) -> io::Result<Recovered> {
    let generations = Generations::list(directory)?;
    Ok(read_current(directory, &generations)?.recovered)
}

/// Syncs a directory, so that created and renamed files survive a power loss.
pub(crate) fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}
