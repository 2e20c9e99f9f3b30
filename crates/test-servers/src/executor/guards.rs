//! What a dispatch holds while it is in hand, given back when it is dropped: however it ends, nothing stays taken.

use super::Executor;
use async_channel::Sender;
use orchidtally_invariants::{DispatchOutcome, TrafficRecord};
use std::cell::Cell;
use std::rc::Rc;

/// A dispatch in hand; dropped before its end it was abandoned, or crashed with the executor.
pub(super) struct PendingDispatch {
    pub(super) executor: Rc<Executor>,
    pub(super) invocation: String,
    pub(super) number: u32,
    pub(super) ended: bool,
}

impl PendingDispatch {
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

/// A place on a core, given back when dropped.
pub(super) struct Running<'a>(pub(super) &'a Cell<usize>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A lane of a copy, given back when dropped.
pub(super) struct Slot {
    pub(super) executor: Rc<Executor>,
    pub(super) function: String,
    pub(super) release_slot: Sender<()>,
    /// Of the copy's bytes. It stays the same where the copy is unloaded while it runs.
    pub(super) digest: String,
}

impl Drop for Slot {
    fn drop(&mut self) {
        // The copy may be gone with its lanes.
        let _ = self.release_slot.try_send(());
        if let Some(replica) = self.executor.replicas.borrow_mut().get_mut(&self.function) {
            replica.running = replica.running.saturating_sub(1);
            replica.used_at = self.executor.environment.now();
        }
    }
}

/// One of those that wait for a copy.
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
