//! The time as of which the view is proven current.
//!
//! Only a **linearizable** read proves anything: if it was sent at `sent_at` and answered at revision `R`, then
//! everything that was committed before `sent_at` has a revision of at most `R`; once all changes up to `R` are
//! applied, the view is current as of `sent_at`. Watch progress alone proves nothing: a member that is partitioned from
//! its quorum keeps sending it with its own old revision.

use std::collections::VecDeque;

/// Maximum number of answered barriers that wait for the watch. Beyond it the newest is replaced, since the older ones
/// are confirmed first.
const MAX_PENDING_BARRIERS: usize = 8;

/// An answered barrier whose revision isn't applied yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PendingBarrier {
    sent_at: f64,
    revision: i64,
}

#[derive(Clone, Debug)]
pub(crate) struct Freshness {
    as_of: f64,
    pending: VecDeque<PendingBarrier>,
}

impl Default for Freshness {
    fn default() -> Freshness {
        Freshness {
            as_of: f64::NEG_INFINITY,
            pending: VecDeque::new(),
        }
    }
}

impl Freshness {
    /// The time as of which the view is proven current.
    pub(crate) fn as_of(&self) -> f64 {
        self.as_of
    }

    /// Records that a barrier sent at `sent_at` was answered at `revision`.
    pub(crate) fn on_barrier(&mut self, sent_at: f64, revision: i64) {
        if self.pending.len() == MAX_PENDING_BARRIERS {
            self.pending.pop_back();
        }
        self.pending.push_back(PendingBarrier { sent_at, revision });
    }

    /// Records that all changes up to `revision` are applied to a view that follows the store.
    pub(crate) fn on_applied(&mut self, revision: i64) {
        let as_of = self
            .pending
            .iter()
            .filter(|barrier| barrier.revision <= revision)
            .map(|barrier| barrier.sent_at);
        self.as_of = as_of.fold(self.as_of, f64::max);
        self.pending.retain(|barrier| barrier.revision > revision);
    }

    /// The time at which the oldest barrier that waits for a revision beyond `received` was sent; infinite if none
    /// does.
    pub(crate) fn pending_since(&self, received: i64) -> f64 {
        let waiting = self
            .pending
            .iter()
            .filter(|barrier| barrier.revision > received);
        waiting
            .map(|barrier| barrier.sent_at)
            .fold(f64::INFINITY, f64::min)
    }

    /// Drops the barriers that wait for a revision beyond `received`.
    pub(crate) fn drop_pending_beyond(&mut self, received: i64) {
        self.pending.retain(|barrier| barrier.revision <= received);
    }

    /// Drops the barriers that aren't confirmed yet.
    pub(crate) fn clear_pending(&mut self) {
        self.pending.clear();
    }
}
