//! The snapshots that wait to be written.

/// Snapshots are written one at a time; of those that wait, only the newest is queued.
#[derive(Default)]
pub(super) struct SnapshotQueue {
    pub(super) is_writing: bool,
    pub(super) next: Option<Vec<u8>>,
    /// The next write starts no earlier than this, after a failed one.
    pub(super) retry_at: f64,
}
