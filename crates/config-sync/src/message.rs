//! The store's responses, as the host passes them to the core. Each call takes the time as a separate argument.

/// Identifies a request of the core, so that late answers can be ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The header of a response (`ResponseHeader` of etcd's protocol).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The store's cluster id.
    pub cluster: u64,
    /// The revision of the member that answered.
    pub revision: i64,
}

/// A change of one key, from a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key in the store, with its prefix.
    pub key: Vec<u8>,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// The revision of the change.
    pub mod_revision: i64,
}

/// A response of the watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchBatch {
    /// The header of the response; only its cluster id is used.
    pub header: Header,
    /// The changes, in the order of revisions.
    pub changes: Vec<Change>,
    /// Whether the changes of the highest revision are complete. Always `true` if the host joins fragments; a host that
    /// passes fragments on sets it with the last one only.
    pub complete: bool,
}

/// An entry of a range answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeEntry {
    /// The key in the store, with its prefix.
    pub key: Vec<u8>,
    /// Its value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub mod_revision: i64,
}

/// The answer to an [`Action::Read`](crate::Action::Read).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeAnswer {
    /// Id of the read.
    pub id: RequestId,
    /// The header, with the store's newest revision even if the read was at an older one.
    pub header: Header,
    /// The entries found, sorted by key.
    pub entries: Vec<RangeEntry>,
    /// Whether the range has more entries than the limit.
    pub more: bool,
    /// Bytes of the answer on the wire; they count towards the read rate.
    pub bytes: usize,
}

/// The answer to an [`Action::Barrier`](crate::Action::Barrier): a linearizable read of the generation key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BarrierAnswer {
    /// Id of the barrier.
    pub id: RequestId,
    /// The revision up to which the store had committed.
    pub header: Header,
    /// The value of the generation key, if it exists.
    pub generation: Option<Vec<u8>>,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFailure {
    /// The request timed out, the connection broke, or the store has no leader.
    Unavailable,
    /// The requested revision is compacted (`etcdserver: mvcc: required revision has been compacted`).
    Compacted,
    /// The store hasn't reached the requested revision (`etcdserver: mvcc: required revision is a future revision`).
    /// For a linearizable read this shows that the store was rolled back.
    FutureRevision,
}
