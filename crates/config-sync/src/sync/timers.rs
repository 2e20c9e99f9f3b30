//! What is done when its time has come.

use super::{ConfigSync, Need, Phase};
use crate::action::Action;
use crate::schema::Schema;

/// A halted front end looks again after this time, in seconds.
pub(super) const HALT_RETRY: f64 = 30.0;
/// Blocked transactions are tried again this long after the view has changed, in seconds.
const RETRY_BLOCKED: f64 = 1.0;

impl<S: Schema> ConfigSync<S> {
    /// What is to be done now; to be called until it gives `None`, after each call of another method and when
    /// [`ConfigSync::next_timer`] has come.
    pub fn poll(&mut self, now: f64) -> Option<Action<S::Entry>> {
        self.run_timers(now);
        self.actions.pop_front()
    }

    /// When [`ConfigSync::poll`] is to be called at the latest, in seconds; infinite if nothing is waited for.
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
        self.audit_at = now + interval * 0.75 + self.draw(interval * 0.5);
    }

    /// Tries blocked transactions again in a while, if something may have changed for them.
    pub(super) fn schedule_retry(&mut self, now: f64) {
        if self.applier.wants_retry() && self.retry_blocked_at == f64::INFINITY {
            self.retry_blocked_at = now + RETRY_BLOCKED;
        }
    }

    /// Reads again what a halted front end has to have read.
    pub(super) fn resume(&mut self, now: f64) {
        self.start_reading(now, self.need);
        if self.need == Need::Verification && !self.distrusts {
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
            Phase::Disconnected | Phase::AwaitingBarrier | Phase::Reading | Phase::Following => {
                f64::INFINITY
            }
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

    /// A watch that lags behind what a barrier named and is silent is opened anew, at another member. One that still tells
    /// of changes would have to tell them again: it is given the time for which entries may be used without a proof.
    fn watch_timer(&self) -> f64 {
        if !self.watch_is_open {
            return self.reopen_watch_at;
        }
        let timeout = self.settings.watch_timeout;
        let lags_since = self
            .freshness
            .waiting_since(self.backlog.complete_through());
        let silent_until = lags_since.max(self.watch_told_at) + timeout;
        silent_until.min(lags_since + self.settings.freshness_bound.max(timeout))
    }

    fn run_watch_timer(&mut self, now: f64) {
        if now < self.watch_timer() {
            return;
        }
        // What waits is asked for anew: the new watch has its whole time.
        self.freshness
            .forget_waiting(self.backlog.complete_through());
        self.reopen_watch();
    }

    fn audit_timer(&self) -> f64 {
        let is_due = self.phase == Phase::Following && self.reading.is_none();
        if is_due { self.audit_at } else { f64::INFINITY }
    }

    fn run_audit_timer(&mut self, now: f64) {
        if now >= self.audit_timer() {
            self.begin_audit();
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
