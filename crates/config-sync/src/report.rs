//! The report of a front end in the store.

use crate::schema::Rejection;
use serde::{Deserialize, Serialize};

/// Whether a front end follows the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedState {
    /// The front end follows the store's changes.
    Following,
    /// The front end reads the changes that it missed.
    CatchingUp,
    /// The store was rolled back or replaced by another one, without a higher generation. The last good view stays in
    /// force, but isn't proven current.
    #[serde(rename = "store-set-back")]
    StoreRolledBack,
    /// The store exceeds the front end's limits; the last good view stays in force.
    StoreTooLarge,
    /// The generation key has a format that this version can't read.
    UnknownFormat,
    /// The front end has ended and serves nothing any more. This last report expires after a while.
    Ended,
}

/// The value of a report key, as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Identifies this report in [`ConfigSync::on_reported`](crate::ConfigSync::on_reported).
    pub sequence: u64,
    /// Every transaction up to this revision is applied, or listed in `rejected`, or counted in `rejected_omitted`.
    pub applied_revision: i64,
    /// Generation of the view; 0 before anything is loaded.
    pub generation: u64,
    /// Cluster id of the view; 0 before anything is loaded.
    pub cluster: u64,
    /// Whether the front end follows the store.
    pub state: ReportedState,
    /// Entries whose transactions are rejected at present, oldest first; a bounded number.
    #[serde(default)]
    pub rejected: Vec<Rejection>,
    /// Number of rejections omitted from `rejected`.
    #[serde(default)]
    pub rejected_omitted: usize,
    /// Buckets whose digest in the store doesn't match their entries: a writer didn't use [`writer`](crate::writer).
    /// [`writer::repair`](crate::writer::repair) repairs them.
    #[serde(default)]
    pub digest_faults: usize,
}

impl Report {
    /// The JSON that is put into the store.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Parses a report from the store.
    ///
    /// # Errors
    ///
    /// If the bytes aren't a report in JSON.
    pub fn from_json(bytes: &[u8]) -> Result<Report, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
