//! The timers of the core.

use super::{ConfigSync, Phase, SyncMode};
use crate::action::Action;
use crate::schema::Schema;

/// Delay until a halted front end tries again, in seconds.
pub(super) const HALT_RETRY: f64 = 30.0;
/// Delay from a change of the view until blocked transactions are retried, in seconds.
const BLOCKED_RETRY_DELAY: f64 = 1.0;

impl<S: Schema> ConfigSync<S> {
    /// The next action. The host calls this until it returns `None`, after each call of another method and when
    /// [`ConfigSync::next_timer`] is due.
    pub fn poll(&mut self, now: f64) -> Option<Action<S::Entry>> {
        self.run_timers(now);
        self.actions.pop_front()
    }

    /// The latest time at which [`ConfigSync::poll`] has to be called, in seconds; infinite if no timer runs.
    pub fn next_timer(&self) -> f64 {
        let timers = [
            self.phase_timer(),
            self.barrier_timer(),
            self.read_timer(),
            self.watch_timer(),
            self.audit_timer(),
            self.retry_blocked_at,
            self.publishing_timer(),
        ];
        timers.into_iter().fold(f64::INFINITY, f64::min)
    }

    pub(super) fn schedule_audit(&mut self, now: f64) {
        let interval = self.settings.audit_interval;
        self.audit_at = now + interval * 0.75 + self.random_below(interval * 0.5);
    }

    /// Schedules a retry of blocked transactions, if one of them may have become valid.
    pub(super) fn schedule_retry(&mut self, now: f64) {
        if self.applier.wants_retry() && self.retry_blocked_at == f64::INFINITY {
            self.retry_blocked_at = now + BLOCKED_RETRY_DELAY;
        }
    }

    /// Resumes synchronization after a halt.
    pub(super) fn resume(&mut self, now: f64) {
        self.start_session(now, self.mode);
        if self.mode == SyncMode::Verification && !self.is_history_suspect {
            self.open_watch();
        }
    }

    fn run_timers(&mut self, now: f64) {
        self.run_phase_timer(now);
        self.run_barrier_timer(now);
        self.run_read_timer(now);
        self.run_watch_timer(now);
        self.run_audit_timer(now);
        self.run_retry_timer(now);
        self.run_publishing_timer(now);
    }

    fn phase_timer(&self) -> f64 {
        match self.phase {
            Phase::Halted { retry_at, .. } => retry_at,
            Phase::Disconnected
            | Phase::AwaitingBarrier
            | Phase::Synchronizing
            | Phase::Following => f64::INFINITY,
        }
    }

    fn run_phase_timer(&mut self, now: f64) {
        if now < self.phase_timer() {
            return;
        }
        if matches!(self.phase, Phase::Halted { .. }) {
            self.resume(now);
        }
    }

    /// The time at which the watch is opened again at another member because it hasn't reached the revision of a
    /// barrier: after the watch timeout without any change, or, while it still delivers changes that would have to be
    /// sent again, after the freshness bound.
    fn watch_timer(&self) -> f64 {
        if !self.watch_is_open {
            return self.reopen_watch_at;
        }
        let timeout = self.settings.watch_timeout;
        let lags_since = self
            .freshness
            .pending_since(self.backlog.complete_through());
        let silent_until = lags_since.max(self.last_watch_change_at) + timeout;
        silent_until.min(lags_since + self.settings.freshness_bound.max(timeout))
    }

    fn run_watch_timer(&mut self, now: f64) {
        if now < self.watch_timer() {
            return;
        }
        // Dropping the barriers gives the new watch its full timeout.
        self.freshness
            .drop_pending_beyond(self.backlog.complete_through());
        self.reopen_watch();
    }

    fn audit_timer(&self) -> f64 {
        let is_due = self.phase == Phase::Following && self.session.is_none();
        if is_due { self.audit_at } else { f64::INFINITY }
    }

    fn run_audit_timer(&mut self, now: f64) {
        if now >= self.audit_timer() {
            self.start_audit();
        }
    }

    fn run_retry_timer(&mut self, now: f64) {
        if now < self.retry_blocked_at {
            return;
        }
        self.retry_blocked_at = f64::INFINITY;
        let before = self.applier.view().clone();
        let revision = self.applied_revision;
        self.with_applier(revision, |applier, context| applier.retry(context));
        if !std::sync::Arc::ptr_eq(&before, self.applier.view()) {
            self.publish_change(now);
        }
    }
}
