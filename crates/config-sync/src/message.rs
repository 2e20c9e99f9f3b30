//! What the host feeds the core: the store's answers, as far as the core needs them. Times are not part of them; the
//! host hands the time in with each call.

/// Names a request of the core, so that an answer that comes late is told from the one that is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Which store answered, and how far it had come (`ResponseHeader` of the store's protocol).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The store's cluster id.
    pub cluster: u64,
    /// The revision of the member that answered.
    pub revision: i64,
}

/// A change of one key that a watch told of; without a value the key was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The whole key as it stands in the store.
    pub key: Vec<u8>,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// The revision of the change.
    pub mod_revision: i64,
}

/// One answer of the watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchBatch {
    /// The answer's header; its cluster id counts.
    pub header: Header,
    /// The changes, in the order of revisions.
    pub changes: Vec<Change>,
    /// Whether the greatest revision among the changes is there whole. A host that puts the store's fragments
    /// together always says `true`; one that hands fragments on says `true` with the last one only.
    pub complete: bool,
}

/// An entry of a range answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeEntry {
    /// The whole key as it stands in the store.
    pub key: Vec<u8>,
    /// Its value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub mod_revision: i64,
}

/// The answer to an [`Action::Read`](crate::Action::Read).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeAnswer {
    /// The read that is answered.
    pub id: RequestId,
    /// The store's newest revision, also where an older one was read at.
    pub header: Header,
    /// What was found, sorted by key.
    pub entries: Vec<RangeEntry>,
    /// Whether the range holds more than the limit let through.
    pub more: bool,
    /// Bytes that the answer took on the wire; they are charged to the pace.
    pub bytes: usize,
}

/// The answer to an [`Action::Barrier`](crate::Action::Barrier): a linearizable read of the generation key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BarrierAnswer {
    /// The barrier that is answered.
    pub id: RequestId,
    /// The revision up to which the store had committed.
    pub header: Header,
    /// The generation key's value, if the key is there.
    pub generation: Option<Vec<u8>>,
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFailure {
    /// No answer in time, the connection broke, or the store has no leader.
    Unavailable,
    /// The revision that was asked for is compacted (`etcdserver: mvcc: required revision has been compacted`).
    Compacted,
    /// The store has not come to that revision (`etcdserver: mvcc: required revision is a future revision`). From a
    /// linearizable read this shows that the store was set back.
    FutureRevision,
}
