//! The settings and the journal of the message triggers.

use orchidtally_journal::Journal;
use orchidtally_mqtt_triggers::TriggerSettings;
use orchidtally_mqtt_triggers::ledger::Record;
use std::io;
use std::path::Path;

/// Journal entries that share one sync to disk.
const MAX_BATCH: usize = 1_024;

/// The settings of the message triggers, and their journal with its recovered records.
pub struct MessageTriggers {
    /// The section of the deployment file.
    pub settings: TriggerSettings,
    pub(super) journal: Journal,
    pub(super) records: Vec<Record>,
    pub(super) truncated_bytes: u64,
    /// The most journal entries that share one sync to disk.
    pub(super) max_batch: usize,
}

fn invalid_data(folder: &Path, detail: impl std::fmt::Display) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("{}: {detail}", folder.display()),
    )
}

/// Decodes the records of a journal, in order.
///
/// # Errors
/// The snapshot or an entry is malformed.
pub fn decode_records(
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

impl MessageTriggers {
    /// Opens the journal of the front end with this index.
    ///
    /// # Errors
    /// The journal can't be opened, or a record in it is malformed.
    pub fn open(settings: TriggerSettings, index: u32) -> io::Result<MessageTriggers> {
        let folder = settings.journal_dir(index);
        let (journal, found) = Journal::open(&folder)?;
        let records = decode_records(found.snapshot.as_deref(), &found.entries).map_err(|e| {
            invalid_data(
                &folder,
                format!("an entry can't be read, the front end does not start: {e}"),
            )
        })?;
        Ok(MessageTriggers {
            settings,
            journal,
            records,
            truncated_bytes: found.truncated_bytes,
            max_batch: MAX_BATCH,
        })
    }

    /// The records of the previous incarnation.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Sets whether the journal syncs to disk, and the maximum number of entries that share a sync; for benchmarks.
    pub fn with_journal_options(self, synced: bool, max_batch: usize) -> MessageTriggers {
        let journal = if synced {
            self.journal
        } else {
            self.journal.without_syncs()
        };
        MessageTriggers {
            journal,
            max_batch,
            ..self
        }
    }
}
