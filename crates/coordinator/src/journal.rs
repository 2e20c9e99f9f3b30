//! The journal of a coordinator. Each entry is the complete state.

use orchidtally_journal::Journal;
use orchidtally_rollout::coordinator::CoordinatorState;
use std::io;
use std::path::Path;
use tracing::warn;

/// Size of the log in bytes above which the next state is written as a snapshot.
const SNAPSHOT_THRESHOLD: u64 = 8 * 1024 * 1024;

/// Opens a journal and reads the state in its last entry.
///
/// # Errors
///
/// If the journal can't be opened, or its last entry isn't a state.
pub fn recover(directory: &Path) -> io::Result<(Journal, CoordinatorState)> {
    let (journal, recovered) = Journal::open(directory)?;
    if recovered.truncated_bytes > 0 {
        warn!(
            bytes = recovered.truncated_bytes,
            "incomplete record at the end of the journal truncated"
        );
    }
    let last = recovered.entries.last().or(recovered.snapshot.as_ref());
    let state = match last {
        None => CoordinatorState::default(),
        Some(bytes) => serde_json::from_slice(bytes).map_err(|error| {
            let message = format!(
                "{}: the journal's last entry can't be read: {error}",
                directory.display()
            );
            io::Error::new(io::ErrorKind::InvalidData, message)
        })?,
    };
    Ok((journal, state))
}

/// Persists the complete state.
pub(crate) fn persist(journal: &mut Journal, state: &CoordinatorState) -> io::Result<()> {
    let bytes = serde_json::to_vec(state)?;
    if journal.length() > SNAPSHOT_THRESHOLD {
        journal.snapshot(&bytes)
    } else {
        journal.append(&bytes)
    }
}
