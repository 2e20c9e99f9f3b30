//! The snapshot on disk: replaced by a rename, with the previous one beside it.

use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The longest file that is read as a snapshot, in bytes.
const MAX_BYTES: u64 = 128 << 20;

/// The files of a front end's snapshot: `PATH`, the previous one at `PATH.previous`, and `PATH.new` while it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotFile {
    path: PathBuf,
}

impl SnapshotFile {
    /// The snapshot at a path.
    pub fn new(path: impl Into<PathBuf>) -> SnapshotFile {
        SnapshotFile { path: path.into() }
    }

    /// The path of the newest snapshot.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The snapshots on disk, newest first, and the errors of files that can't be read. A missing file is no error.
    pub fn read(&self) -> (Vec<Vec<u8>>, Vec<io::Error>) {
        let (mut found, mut errors) = (vec![], vec![]);
        for path in [self.path.clone(), self.with_suffix("previous")] {
            match read_bounded(&path) {
                Ok(bytes) => found.push(bytes),
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => errors.push(with_path(&path, &error)),
            }
        }
        (found, errors)
    }

    /// Replaces the snapshot. A complete one exists under one of the two names at any time.
    ///
    /// # Errors
    /// The previous snapshot still exists then, under one of the two names.
    pub fn replace(&self, bytes: &[u8]) -> io::Result<()> {
        self.try_replace(bytes)
            .map_err(|error| with_path(&self.path, &error))
    }

    fn try_replace(&self, bytes: &[u8]) -> io::Result<()> {
        let new = self.with_suffix("new");
        let mut file = File::create(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        match fs::rename(&self.path, self.with_suffix("previous")) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        fs::rename(&new, &self.path)?;
        let directory = self
            .path
            .parent()
            .filter(|directory| !directory.as_os_str().is_empty());
        File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
    }

    fn with_suffix(&self, suffix: &str) -> PathBuf {
        let mut name = OsString::from(self.path.as_os_str());
        name.push(".");
        name.push(suffix);
        name.into()
    }
}

fn read_bounded(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = vec![];
    File::open(path)?.take(MAX_BYTES).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn with_path(path: &Path, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{}: {error}", path.display()))
}
