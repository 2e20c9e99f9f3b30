//! What a front end says of itself in the store.

use crate::schema::Rejection;
use serde::{Deserialize, Serialize};

/// Whether a front end follows the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedState {
    /// It follows the store's changes.
    Following,
    /// It reads what it missed.
    CatchingUp,
    /// The store came back at an older revision, or is another one, without a higher generation: the last good view
    /// stays, and nothing proves it current.
    StoreSetBack,
    /// The store holds more than the front end takes; the last good view stays.
    StoreTooLarge,
    /// The generation key can't be read by this version.
    UnknownFormat,
    /// It has ended and serves nothing any more: its last word, which stands for a while only.
    Ended,
}

/// The value of a report key, as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Names this report in [`ConfigSync::reported`](crate::ConfigSync::reported).
    pub sequence: u64,
    /// Every transaction up to this revision was applied or is named, or counted, in `rejected`.
    pub applied_revision: i64,
    /// The generation that the view is of; 0 before anything is loaded.
    pub generation: u64,
    /// The cluster id that the view is of; 0 before anything is loaded.
    pub cluster: u64,
    /// Whether it follows the store.
    pub state: ReportedState,
    /// Rejected entries that are still rejected, oldest first, a bounded number.
    #[serde(default)]
    pub rejected: Vec<Rejection>,
    /// Rejected entries that found no place in `rejected`.
    #[serde(default)]
    pub rejected_omitted: usize,
    /// Buckets whose digest in the store doesn't fit the entries: a writer went past
    /// [`writer`](crate::writer); [`writer::repair`](crate::writer::repair) mends them.
    #[serde(default)]
    pub digest_faults: usize,
}

impl Report {
    /// The JSON that is put into the store.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a report as the writer finds it in the store.
    pub fn from_json(bytes: &[u8]) -> Result<Report, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
