//! The store's revisions, entries and requests, independent of its client.

/// The revision of the store at which a response was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreRevision {
    /// Identifier of the cluster. Revisions of different clusters can't be compared.
    pub cluster: u64,
    /// Revision within the cluster; it only decreases when the cluster is restored from a backup.
    pub revision: i64,
}

/// An entry of a list, or an event of a watch.
#[derive(Clone, Copy, Debug)]
pub struct EntryChange<'a> {
    /// Key of the entry, with its prefix.
    pub key: &'a [u8],
    /// The value; `None` if the entry was deleted.
    pub value: Option<&'a [u8]>,
    /// Revision at which the entry was created.
    pub created: i64,
    /// Revision at which the entry was last modified or deleted.
    pub modified: i64,
}

/// The request that the host has to send next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRequest {
    /// A list of all entries.
    List,
    /// A watch that starts at this revision.
    Watch(i64),
}
