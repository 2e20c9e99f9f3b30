//! The journal of a coordinator. Each entry is its whole state.

use orchidtally_journal::Journal;
use orchidtally_rollout::coordinator::CoordinatorState;
use std::io;
use std::path::Path;
use tracing::warn;

/// Bytes of entries from which on they are replaced by a snapshot.
const SNAPSHOT_THRESHOLD: u64 = 8 * 1024 * 1024;

/// Reads the state from a journal: it is in the last whole entry.
pub fn recover(folder: &Path) -> io::Result<(Journal, CoordinatorState)> {
    let (journal, recovered) = Journal::open(folder)?;
    if recovered.truncated_bytes > 0 {
        warn!(
            bytes = recovered.truncated_bytes,
            "incomplete record at the end of the journal truncated"
        );
    }
    let last = recovered.entries.last().or(recovered.snapshot.as_ref());
    let state = match last {
        None => CoordinatorState::default(),
        Some(bytes) => serde_json::from_slice(bytes).map_err(|e| {
            let what = format!(
                "{}: the journal's last entry can't be read: {e}",
                folder.display()
            );
            io::Error::new(io::ErrorKind::InvalidData, what)
        })?,
    };
    Ok((journal, state))
}

/// Persists the whole state.
pub(crate) fn persist(journal: &mut Journal, state: &CoordinatorState) -> io::Result<()> {
    let bytes = serde_json::to_vec(state)?;
    if journal.length() > SNAPSHOT_THRESHOLD {
        journal.snapshot(&bytes)
    } else {
        journal.append(&bytes)
    }
}
