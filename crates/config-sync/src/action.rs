//! The actions that the core requests from its host.

use crate::keys::KeyRange;
use crate::message::RequestId;
use crate::report::Report;
use crate::view::View;
use std::sync::Arc;

/// The purpose of a read; the host only needs it for its counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadKind {
    /// Digests of all buckets.
    Digests,
    /// All entries, for a first load.
    Scan,
    /// Entries that changed since the applied revision, where digests differ.
    Changed,
    /// One key that digests show as deleted.
    Deletion,
    /// One bucket whose digest differs: its keys, or its entries.
    Bucket(usize),
}

/// A **linearizable** range read (`serializable` = false), sorted by key, ascending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRequest {
    /// Id to return with the answer.
    pub id: RequestId,
    /// Purpose of the read.
    pub kind: ReadKind,
    /// The keys to read.
    pub range: KeyRange,
    /// Read only keys that changed at this revision or later; 0 for all keys.
    pub min_mod_revision: i64,
    /// The revision to read at; 0 for the newest.
    pub at_revision: i64,
    /// Maximum number of entries in the answer.
    pub limit: i64,
    /// Whether values aren't needed (`keys_only`). A host may read them nevertheless, which only costs bytes.
    pub keys_only: bool,
}

/// An action for the host. The host starts each action at once, in the order in which the actions are polled.
#[derive(Debug)]
pub enum Action<E> {
    /// Watch [`Keyspace::entries`](crate::Keyspace::entries) from this revision on, fragments allowed. After a
    /// [`Action::CancelWatch`] the host should use another member of the store.
    Watch {
        /// The first revision of the watch.
        from_revision: i64,
    },
    /// Cancel the watch. The host must not pass on any of its responses afterwards.
    CancelWatch,
    /// Request progress on the watch's stream (`WatchProgressRequest`).
    RequestProgress,
    /// Read a range and pass on the answer, or the failure.
    Read(ReadRequest),
    /// Read [`Keyspace::generation`](crate::Keyspace::generation) linearizably and pass on the answer, or the failure.
    Barrier {
        /// Id to return with the answer.
        id: RequestId,
    },
    /// Replace the snapshot on disk: write and sync the new one under a temporary name, keep the previous one under a
    /// second name, and rename.
    WriteSnapshot {
        /// The revision of the snapshot.
        revision: i64,
        /// Contents of the file.
        bytes: Vec<u8>,
    },
    /// Put the report under the front end's own lease, then call
    /// [`ConfigSync::on_reported`](crate::ConfigSync::on_reported).
    Report(Report),
    /// Use this view from now on.
    Apply(Arc<View<E>>),
}
