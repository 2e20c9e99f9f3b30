//! Writes snapshots, one at a time.

use super::ConfigTarget;
use super::host::ConfigHost;
use super::snapshot_queue::SnapshotQueue;
use orchidtally_config_sync::Schema;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tracing::error;

/// The retry delay of a snapshot that could not be written, in seconds.
const SNAPSHOT_RETRY: f64 = 30.0;

impl<S: Schema + 'static, T: ConfigTarget<S::Entry> + 'static> ConfigHost<S, T>
where
    S::Entry: 'static,
{
    /// Writes a snapshot on a thread of its own, so that a slow disk delays nothing else.
    pub(super) fn write_snapshot(self: &Rc<Self>, bytes: Vec<u8>) {
        let Some(file) = self.settings.snapshot.clone() else {
            return;
        };
        if self.snapshots.borrow().is_writing {
            self.snapshots.borrow_mut().next = Some(bytes);
            return;
        }
        self.snapshots.replace(SnapshotQueue {
            is_writing: true,
            ..SnapshotQueue::default()
        });
        let (result_sender, results) = async_channel::bounded(1);
        let bytes = Arc::new(bytes);
        let written = bytes.clone();
        let started = std::thread::Builder::new()
            .name("snapshot".into())
            .spawn(move || {
                // The host may have been dropped.
                let _ = result_sender.send_blocking(file.replace(&written));
            });
        let host = self.clone();
        self.spawn(async move {
            let written = match started {
                Ok(_) => results
                    .recv()
                    .await
                    .unwrap_or_else(|_| Err(io::Error::other("its thread ended"))),
                Err(error) => Err(error),
            };
            host.on_snapshot_written(written, bytes);
        });
    }

    /// Handles the result of a write. A failed one is retried later, unless there is a newer snapshot.
    fn on_snapshot_written(self: &Rc<Self>, written: io::Result<()>, bytes: Arc<Vec<u8>>) {
        let fault = written.err().map(|error| error.to_string());
        if let Some(fault) = &fault {
            error!(
                fault,
                "configuration snapshot can't be written; free space, or make its directory writable"
            );
        }
        let (has_failed, has_changed) = (fault.is_some(), *self.snapshot_fault.borrow() != fault);
        self.snapshot_fault.replace(fault);
        if has_changed {
            let sequence = self.core.borrow().report().sequence;
            self.feed(|core, now| core.on_report_failed(now, sequence));
        }
        let mut snapshots = self.snapshots.borrow_mut();
        snapshots.is_writing = false;
        if has_failed && snapshots.next.is_none() {
            snapshots.next = Arc::try_unwrap(bytes).ok();
            snapshots.retry_at = self.now() + SNAPSHOT_RETRY;
        }
        drop(snapshots);
        // Wakes the main loop, which writes the next snapshot.
        self.feed(|_, _| {});
    }

    pub(super) fn write_next_snapshot(self: &Rc<Self>) {
        if self.now() < self.snapshot_timer() {
            return;
        }
        let next = self.snapshots.borrow_mut().next.take();
        if let Some(bytes) = next {
            self.write_snapshot(bytes);
        }
    }

    pub(super) fn snapshot_timer(&self) -> f64 {
        let snapshots = self.snapshots.borrow();
        let waits = snapshots.next.is_some() && !snapshots.is_writing;
        if waits {
            snapshots.retry_at
        } else {
            f64::INFINITY
        }
    }
}
