//! The session with one member of the store: inputs to the state machine, failures, and failover to another member.

use super::ConfigTarget;
use super::clock::boot_time;
use super::host::ConfigHost;
use orchidtally_config_sync::{ConfigSync, Rejection, Report, Schema};
use orchidtally_etcd::ClientError;
use tracing::{debug, info, warn};

impl<S: Schema, T: ConfigTarget<S::Entry>> ConfigHost<S, T> {
    pub(super) fn now(&self) -> f64 {
        boot_time()
    }

    /// Passes an input to the state machine, and wakes the main loop to perform its actions.
    pub(super) fn feed(&self, input: impl FnOnce(&mut ConfigSync<S>, f64)) {
        input(&mut self.core.borrow_mut(), self.now());
        // A full channel already wakes the main loop.
        let _ = self.wake.0.try_send(());
    }

    /// Whether a session is still the current one.
    pub(super) fn is_in_session(&self, session: u64) -> bool {
        self.is_connected.get() && self.session.get() == session
    }

    /// The store has answered a request that needs its quorum.
    pub(super) fn on_store_response(&self) {
        self.backoff.reset();
        if self.is_unreachable.replace(false) {
            info!(endpoint = ?self.client.endpoint(), "configuration store reachable again");
        }
    }

    /// Ends the session; the next member is tried after a backoff.
    pub(super) fn on_session_failure(&self, session: u64, fault: &ClientError) {
        if !self.is_in_session(session) {
            return;
        }
        let endpoint = self.client.endpoint();
        if !self.is_unreachable.replace(true) {
            warn!(?endpoint, %fault, "configuration store unreachable; trying the next member");
        } else {
            debug!(?endpoint, %fault, "configuration store still unreachable");
        }
        self.is_connected.set(false);
        self.client.fail_over();
        self.reconnect_at
            .set(self.now() + self.backoff.next_delay(rand::random()));
        self.feed(|core, now| core.on_disconnected(now));
    }

    /// Logs rejections that weren't logged before.
    pub(super) fn log_rejections(&self, report: &Report) {
        let mut logged = self.logged_rejections.borrow_mut();
        for rejection in report
            .rejected
            .iter()
            .filter(|rejection| !logged.contains(rejection))
        {
            let Rejection {
                key,
                revision,
                reason,
                remedy,
            } = rejection;
            warn!(
                key,
                revision,
                reason,
                remedy,
                "configuration change rejected; the last valid one stays in force"
            );
        }
        logged.clone_from(&report.rejected);
    }
}
