//! The snapshots that wait to be written.

/// Snapshots are written one at a time; only the newest of those that wait is kept.
#[derive(Default)]
pub(super) struct SnapshotQueue {
    pub(super) is_writing: bool,
    pub(super) next: Option<Vec<u8>>,
    /// The next write starts no earlier than this, after a failed one.
    pub(super) retry_at: f64,
}
