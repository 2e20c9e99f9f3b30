//! Guards for the resources of a dispatch. They release on drop, so that a cancelled dispatch leaks nothing.

use super::Executor;
use async_channel::Sender;
use orchidtally_invariants::{DispatchOutcome, TrafficRecord};
use std::cell::Cell;
use std::rc::Rc;

/// A dispatch that waits or runs. If it is dropped before `end`, it is recorded as crashed where the executor is down,
/// and as abandoned otherwise.
pub(super) struct PendingDispatch {
    pub(super) executor: Rc<Executor>,
    pub(super) invocation: String,
    pub(super) number: u32,
    pub(super) ended: bool,
}

impl PendingDispatch {
    /// Records the outcome and decrements the count of pending dispatches; does nothing on a second call.
    pub(super) fn end(&mut self, ending: DispatchOutcome) {
        if !std::mem::replace(&mut self.ended, true) {
            self.executor
                .pending_dispatches
                .set(self.executor.pending_dispatches.get() - 1);
            self.executor
                .environment
                .record(TrafficRecord::DispatchEnded {
                    at: self.executor.environment.now(),
                    executor: self.executor.spec.number,
                    invocation: self.invocation.clone(),
                    number: self.number,
                    outcome: ending,
                });
        }
    }
}

impl Drop for PendingDispatch {
    fn drop(&mut self) {
        let crashed = self
            .executor
            .serving
            .try_borrow()
            .is_ok_and(|s| s.is_none());
        self.end(if crashed {
            DispatchOutcome::Crashed
        } else {
            DispatchOutcome::Abandoned
        });
    }
}

/// Counts a running dispatch; decrements the counter on drop.
pub(super) struct Running<'a>(pub(super) &'a Cell<usize>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A concurrency slot of a replica, released on drop.
pub(super) struct Slot {
    pub(super) executor: Rc<Executor>,
    pub(super) function: String,
    pub(super) release_slot: Sender<()>,
    /// The digest of the package that this slot runs, even if the replica is unloaded meanwhile.
    pub(super) digest: String,
}

impl Drop for Slot {
    fn drop(&mut self) {
        // Fails if the replica was unloaded, which closes the channel of its slots.
        let _ = self.release_slot.try_send(());
        if let Some(replica) = self.executor.replicas.borrow_mut().get_mut(&self.function) {
            replica.running = replica.running.saturating_sub(1);
            replica.used_at = self.executor.environment.now();
        }
    }
}

/// Counts a dispatch that waits for a slot of a replica; decrements the counter on drop.
pub(super) struct WaitingForReplica {
    pub(super) executor: Rc<Executor>,
    pub(super) function: String,
}

impl Drop for WaitingForReplica {
    fn drop(&mut self) {
        if let Some(replica) = self.executor.replicas.borrow_mut().get_mut(&self.function) {
            replica.waiting = replica.waiting.saturating_sub(1);
        }
    }
}
