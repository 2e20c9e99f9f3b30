//! What a front end needs to serve triggers by messages.

use orchidtally_journal::Journal;
use orchidtally_mqtt_triggers::TriggerSettings;
use orchidtally_mqtt_triggers::ledger::Record;
use std::io;
use std::path::Path;

/// Entries that share a sync.
const MAX_BATCH: usize = 1_024;

/// What a front end needs to serve triggers: the section, and its journal with what stood in it.
pub struct Triggers {
    pub section: TriggerSettings,
    pub(super) journal: Journal,
    pub(super) records: Vec<Record>,
    pub(super) truncated_bytes: u64,
    /// Entries that share a sync at the most.
    pub(super) max_batch: usize,
}

fn bad(folder: &Path, what: impl std::fmt::Display) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("{}: {what}", folder.display()),
    )
}

/// The records that a journal holds, in their order.
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
    /// Opens the journal of a front end.
    pub fn open(section: TriggerSettings, index: u32) -> io::Result<Triggers> {
        let folder = section.folder(index);
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

    /// What a life before had in hand.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// With the journal as measurements want it: without syncs, or with one for each entry.
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
