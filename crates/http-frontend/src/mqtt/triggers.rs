//! What a front end needs to serve message triggers.

use orchidtally_journal::Journal;
use orchidtally_mqtt_triggers::TriggerSettings;
use orchidtally_mqtt_triggers::ledger::Record;
use std::io;
use std::path::Path;

/// Journal entries that share one sync to disk.
const MAX_BATCH: usize = 1_024;

/// The settings of the message triggers, and their journal with its recovered records.
pub struct Triggers {
    /// The section of the deployment file.
    pub section: TriggerSettings,
    pub(super) journal: Journal,
    pub(super) records: Vec<Record>,
    pub(super) truncated_bytes: u64,
    /// The most journal entries that share one sync to disk.
    pub(super) max_batch: usize,
}

fn bad(folder: &Path, what: impl std::fmt::Display) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("{}: {what}", folder.display()),
    )
}

/// Decodes the records of a journal, in order.
///
/// # Errors
/// The snapshot or an entry is malformed.
pub fn records(
    snapshot: Option<&[u8]>,
    entries: &[Vec<u8>],
) -> Result<Vec<Record>, serde_json::Error> {
    let mut records: Vec<Record> = match snapshot {
        Some(state) => serde_json::from_slice(state)?,
        None => vec![],
    };
    for entry in entries {
        records.push(serde_json::from_slice(entry)?);
    }
    Ok(records)
}

impl Triggers {
    /// Opens the journal of the front end with this index.
    ///
    /// # Errors
    /// The journal can't be opened, or a record in it is malformed.
    pub fn open(section: TriggerSettings, index: u32) -> io::Result<Triggers> {
        let folder = section.journal_dir(index);
        let (journal, found) = Journal::open(&folder)?;
        let records = records(found.snapshot.as_deref(), &found.entries).map_err(|e| {
            bad(
                &folder,
                format!("an entry can't be read, so that nothing is served: {e}"),
            )
        })?;
        Ok(Triggers {
            section,
            journal,
            records,
            truncated_bytes: found.truncated_bytes,
            max_batch: MAX_BATCH,
        })
    }

    /// The records that the previous incarnation left.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Changes the journal for measurements: whether it syncs to disk, and how many entries share a sync.
    pub fn measured(self, synced: bool, max_batch: usize) -> Triggers {
        let journal = if synced {
            self.journal
        } else {
            self.journal.without_syncs()
        };
        Triggers {
            journal,
            max_batch,
            ..self
        }
    }
}
