//! Starts from a snapshot on disk.

use super::{ConfigSync, StoreIdentity, SyncMode};
use crate::applier::{Context, LastGood, parse_record};
use crate::schema::Schema;
use crate::snapshot::{self, Override, Snapshot, SnapshotError};
use std::sync::Arc;

/// The result of restoring a snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restored {
    /// The revision that the front end starts from; `None` if no snapshot could be used.
    pub revision: Option<i64>,
    /// Why newer snapshots were skipped, in their order.
    pub skipped: Vec<SnapshotError>,
}

impl<S: Schema> ConfigSync<S> {
    /// Starts from the first usable snapshot; to be called before [`ConfigSync::on_connected`]. `newest_first` holds
    /// the contents of the snapshot files. A snapshot isn't proven current, so entries that are refused when stale are
    /// refused until the store has answered.
    pub fn restore(&mut self, now: f64, newest_first: &[&[u8]]) -> Restored {
        let mut restored = Restored::default();
        if self.is_loaded() || self.is_connected() {
            return restored;
        }
        for bytes in newest_first {
            match snapshot::decode(bytes).and_then(|snapshot| self.check_size(snapshot)) {
                Ok(snapshot) => {
                    restored.revision = Some(snapshot.revision);
                    self.start_from_snapshot(now, snapshot);
                    return restored;
                }
                Err(error) => restored.skipped.push(error),
            }
        }
        restored
    }

    fn check_size(&self, snapshot: Snapshot) -> Result<Snapshot, SnapshotError> {
        let (entries, bytes) = (snapshot.stored.len(), snapshot.stored.bytes());
        if entries > self.settings.max_entries || bytes > self.settings.max_bytes {
            return Err(SnapshotError::TooLarge { entries, bytes });
        }
        Ok(snapshot)
    }

    fn start_from_snapshot(&mut self, now: f64, snapshot: Snapshot) {
        let Snapshot {
            cluster,
            generation,
            revision,
            stored,
            overrides,
        } = snapshot;
        let source = StoreIdentity {
            cluster,
            generation,
        };
        (self.source, self.view_source) = (Some(source), Some(source));
        self.stored = stored;
        self.applied_revision = revision;
        self.mode = SyncMode::Verification;
        self.with_applier(revision, |applier, context: &Context<'_, S>| {
            let last_good = overrides
                .into_iter()
                .map(|known| parse_override(context, known))
                .collect();
            applier.load(context, last_good);
        });
        self.announce_view();
        self.schedule_retry(now);
    }
}

/// Parses a last good document. If this version of the program can't parse it, nothing is in force under the key.
fn parse_override<S: Schema>(context: &Context<'_, S>, known: Override) -> LastGood<S::Entry> {
    let Override {
        key,
        mod_revision,
        document,
        blocked_revision,
    } = known;
    let record =
        document.and_then(|document| parse_record(context, &key, &document, mod_revision).ok());
    LastGood {
        key,
        record: record.map(Arc::new),
        blocked_revision,
    }
}
