//! The ranges that a session reads, pending or in flight.

use crate::keys::KeyRange;
use crate::message::RequestId;

/// A range that the present stage has to read.
#[derive(Clone, Debug)]
pub(super) struct PendingRange {
    pub(super) range: KeyRange,
    /// The bucket that the range belongs to, in stages that read buckets.
    pub(super) bucket: usize,
    /// Number of entries expected in the range.
    pub(super) expected: usize,
}

impl PendingRange {
    pub(super) fn new(range: KeyRange, bucket: usize, expected: usize) -> PendingRange {
        PendingRange {
            range,
            bucket,
            expected,
        }
    }

    /// The rest of the range after a page of `entries` entries that ended with the key `last`.
    pub(super) fn after_page(&self, last: &[u8], entries: usize) -> PendingRange {
        PendingRange {
            range: self.range.after(last),
            bucket: self.bucket,
            expected: self.expected.saturating_sub(entries).max(1),
        }
    }
}

/// A read that is in flight.
#[derive(Clone, Debug)]
pub(super) struct OpenRead {
    pub(super) id: RequestId,
    /// When the read counts as failed.
    pub(super) deadline: f64,
    /// The revision that was applied when the read was sent. A linearizable answer of the same history can't be older.
    pub(super) known_revision: i64,
    pub(super) range: PendingRange,
    /// Bytes that were charged to the rate limit when the read was sent.
    pub(super) charged: f64,
}
