//! The graceful shutdown after a termination signal: when to stop accepting, and when to exit.

use super::EventLoop;
use orchidtally_dispatch_policy::interface::TriggerType;
use orchidtally_platform_client_protocol as protocol;
use tracing::info;

/// Seconds for which clients go on to be accepted after SIGTERM. They keep coming for up to 0.6 s; then they are
/// notified to come no more. What comes later than 0.7 s has to be answered before the process is killed, which may be
/// 0.7 s after the longest client timeout: from then on invocations are rejected at once.
const ACCEPT_AFTER_SIGTERM: f64 = 0.65;
/// Seconds that clients have to read their final responses before the process exits, and that it waits after what a
/// client sent in spite of the notice; until shortly before it may be killed at the most.
const FINAL_RESPONSE_LINGER: f64 = 0.1;
/// The process may be killed so many seconds after SIGTERM and the longest client timeout.
const KILL_DELAY: f64 = 0.7;
/// A longer client timeout counts as this many seconds.
const MAX_COUNTED_CLIENT_TIMEOUT: f64 = 3.0;
/// Seconds before the kill by which everything is answered.
const SHUTDOWN_MARGIN: f64 = 0.15;
/// Seconds before the kill at which the process exits in any case.
const EXIT_MARGIN: f64 = SHUTDOWN_MARGIN / 3.0;

/// The state of the shutdown.
pub(super) struct GracefulShutdown {
    /// When the termination signal arrived, in seconds.
    started_at: Option<f64>,
    /// Since when nothing is open and no client has sent anything.
    idle_since: Option<f64>,
    /// The client timeout in seconds that the process is granted.
    counted_client_timeout: f64,
}

impl GracefulShutdown {
    /// No shutdown so far.
    pub(super) fn new(trigger_types: &[TriggerType]) -> GracefulShutdown {
        let longest = trigger_types
            .iter()
            .map(|trigger_type| trigger_type.client_timeout)
            .fold(0.0, f64::max);
        GracefulShutdown {
            started_at: None,
            idle_since: None,
            counted_client_timeout: longest.min(MAX_COUNTED_CLIENT_TIMEOUT),
        }
    }

    /// A termination signal has arrived; only the first one counts.
    pub(super) fn start(&mut self, now: f64) {
        self.started_at.get_or_insert(now);
    }

    /// Whether a termination signal has arrived.
    pub(super) fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Moves the arrival of the termination signal.
    #[cfg(test)]
    pub(super) fn set_started_at(&mut self, started_at: f64) {
        self.started_at = Some(started_at);
    }

    /// Moves the time since when nothing is open.
    #[cfg(test)]
    pub(super) fn set_idle_since(&mut self, idle_since: f64) {
        self.idle_since = Some(idle_since);
    }

    /// When the termination signal arrived, in seconds.
    #[cfg(test)]
    pub(super) fn started_at(&self) -> Option<f64> {
        self.started_at
    }

    /// Whether clients are not accepted any more.
    fn must_stop_accepting(&self, now: f64) -> bool {
        self.started_at
            .is_some_and(|started_at| now > started_at + ACCEPT_AFTER_SIGTERM)
    }

    /// When the process may be killed, in seconds.
    fn kill_time(&self) -> f64 {
        self.started_at.map_or(f64::INFINITY, |started_at| {
            started_at + self.counted_client_timeout + KILL_DELAY
        })
    }

    /// By when every open invocation has to be answered, in seconds.
    fn response_deadline(&self) -> f64 {
        self.kill_time() - SHUTDOWN_MARGIN
    }

    /// Whether the process exits now, whatever is open.
    fn must_exit(&self, now: f64) -> bool {
        now > self.kill_time() - EXIT_MARGIN
    }

    /// Something is open, or a client has sent something.
    pub(super) fn record_activity(&mut self) {
        self.idle_since = None;
    }

    /// Nothing is open; returns whether that has been so for long enough.
    pub(super) fn record_idle(&mut self, now: f64) -> bool {
        now > *self.idle_since.get_or_insert(now) + FINAL_RESPONSE_LINGER
    }

    /// Whether nothing has been open since it was last recorded.
    pub(super) fn is_idle(&self) -> bool {
        self.idle_since.is_some()
    }
}

impl EventLoop {
    /// Some time after the termination signal: stops accepting and notifies the clients.
    pub(super) fn stop_accepting(&mut self, now: f64) {
        if !self.listener.is_open() || !self.shutdown.must_stop_accepting(now) {
            return;
        }
        // Clients that wait to be accepted are notified with the others: no more can wait than one call accepts.
        self.accept(now);
        // Closed as this function returns.
        let Some(_listener) = self.listener.take_socket(self.poll.registry()) else {
            return;
        };
        self.engine.start_draining();
        let deadline = self.shutdown.response_deadline();
        self.host.invocations.cap_deadlines(deadline);
        self.engine.begin_shutdown(now, deadline, &mut self.host);
        info!(
            open = self.engine.open_invocations(),
            clients = self.host.clients.len(),
            "stopped accepting connections and invocations"
        );
        for slot in self.client_slots() {
            let client = &mut self.host.clients[slot];
            protocol::write_frame(
                client.socket.write_buffer(),
                protocol::GO_AWAY,
                0,
                None,
                None,
                &[],
            );
            self.host.mark_client_dirty(slot);
        }
    }

    /// Whether the shutdown is complete: nothing is open, and clients had the time to read their final responses.
    pub(super) fn is_finished(&mut self, now: f64) -> bool {
        if self.listener.is_open() || self.engine.open_invocations() > 0 {
            self.shutdown.record_activity();
            return false;
        }
        if self.shutdown.must_exit(now) {
            return true;
        }
        let all_clients_are_done = self
            .host
            .clients
            .iter()
            .all(|(_, client)| client.closing.is_some() || client.is_quiescent());
        if !all_clients_are_done {
            self.shutdown.record_activity();
            return false;
        }
        if !self.shutdown.record_idle(now) {
            return false;
        }
        // Invocations that arrived since this poll began are answered too.
        for slot in self.client_slots() {
            self.read_client(now, slot);
        }
        self.flush_all(now);
        self.shutdown.is_idle()
    }
}
