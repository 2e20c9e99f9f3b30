//! What the core asks its host to do.

use crate::keys::KeyRange;
use crate::message::RequestId;
use crate::report::Report;
use crate::view::View;
use std::sync::Arc;

/// Why something is read; the host needs it for its counters only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadKind {
    /// Digests of all buckets.
    Digests,
    /// All entries, when there is nothing to build on.
    Scan,
    /// What changed since the applied revision, where digests differ.
    Changed,
    /// One key that digests show as deleted.
    Deletion,
    /// One bucket whose digest differs: its keys, or its entries.
    Bucket(usize),
}

/// A **linearizable** range read (`serializable` = false), sorted by key, ascending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRequest {
    /// Has to come back with the answer.
    pub id: RequestId,
    /// What it is for.
    pub kind: ReadKind,
    /// The keys to read.
    pub range: KeyRange,
    /// Only keys changed at this revision or later; 0 for all.
    pub min_mod_revision: i64,
    /// The revision to read at; 0 for the newest.
    pub at_revision: i64,
    /// Entries in the answer at most.
    pub limit: i64,
    /// Values aren't needed (`keys_only`); a host that reads them all the same spends bytes, nothing else.
    pub keys_only: bool,
}

/// An action for the host. All are started at once, in the order in which they are polled.
#[derive(Debug)]
pub enum Action<E> {
    /// Watch [`Keyspace::entries`](crate::Keyspace::entries) from this revision on, fragments allowed. After a
    /// [`Action::CancelWatch`] the host rather asks another member of the store than the one before.
    Watch {
        /// The first revision that is wanted.
        from_revision: i64,
    },
    /// End the watch; nothing of it is fed any more.
    CancelWatch,
    /// Ask the watch's stream for its progress (`WatchProgressRequest`).
    RequestProgress,
    /// Read a range and feed the answer, or the failure.
    Read(ReadRequest),
    /// Read [`Keyspace::generation`](crate::Keyspace::generation) linearizably and feed the answer, or the failure.
    Barrier {
        /// Has to come back with the answer.
        id: RequestId,
    },
    /// Replace the snapshot on disk by these bytes: the one before is kept under a second name, the new one is
    /// written to a third, synced and renamed.
    WriteSnapshot {
        /// The revision that the snapshot is of.
        revision: i64,
        /// The whole file.
        bytes: Vec<u8>,
    },
    /// Put the report under the front end's own lease, then call
    /// [`ConfigSync::reported`](crate::ConfigSync::reported).
    Report(Report),
    /// This view is in force from now on.
    Apply(Arc<View<E>>),
}
