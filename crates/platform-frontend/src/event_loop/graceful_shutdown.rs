//! The graceful shutdown after a termination signal: decides when to stop accepting and when to exit.

use super::EventLoop;
use orchidtally_dispatch_policy::interface::TriggerType;
use orchidtally_platform_client_protocol as protocol;
use tracing::info;

/// Seconds after SIGTERM for which connections and invocations are still accepted. Clients keep connecting for up to
/// 0.6 s. Then they are sent a GO_AWAY frame, and invocations are rejected at once, because one that arrives more than
/// 0.7 s after SIGTERM could outlast the process, which may be killed 0.7 s after the longest client timeout.
const ACCEPT_AFTER_SIGTERM: f64 = 0.65;
/// Seconds without activity after which the process exits, so that clients can read their final responses. Input from a
/// client that ignores GO_AWAY restarts the wait, which ends at the latest `EXIT_MARGIN` before the kill.
const FINAL_RESPONSE_LINGER: f64 = 0.1;
/// The process may be killed this many seconds after SIGTERM plus the longest counted client timeout.
const KILL_DELAY: f64 = 0.7;
/// The upper bound in seconds on the client timeout that is counted for the kill.
const MAX_COUNTED_CLIENT_TIMEOUT: f64 = 3.0;
/// Seconds before the kill by which every open invocation is answered.
const SHUTDOWN_MARGIN: f64 = 0.15;
/// Seconds before the kill at which the process exits unconditionally.
const EXIT_MARGIN: f64 = SHUTDOWN_MARGIN / 3.0;

/// The state of the graceful shutdown.
pub(super) struct GracefulShutdown {
    /// When the termination signal arrived, in seconds.
    started_at: Option<f64>,
    /// Since when no invocation is open and no client has sent anything; `None` while there is activity.
    idle_since: Option<f64>,
    /// The longest client timeout, limited to `MAX_COUNTED_CLIENT_TIMEOUT`, in seconds.
    counted_client_timeout: f64,
}

impl GracefulShutdown {
    /// Creates the state of a front end that is not shutting down.
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

    /// Records the arrival of a termination signal. Only the first one counts.
    pub(super) fn start(&mut self, now: f64) {
        self.started_at.get_or_insert(now);
    }

    /// Whether a termination signal has arrived.
    pub(super) fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Overrides the time at which the termination signal arrived.
    #[cfg(test)]
    pub(super) fn set_started_at(&mut self, started_at: f64) {
        self.started_at = Some(started_at);
    }

    /// Overrides the time since which the front end has been idle.
    #[cfg(test)]
    pub(super) fn set_idle_since(&mut self, idle_since: f64) {
        self.idle_since = Some(idle_since);
    }

    /// When the termination signal arrived, in seconds.
    #[cfg(test)]
    pub(super) fn started_at(&self) -> Option<f64> {
        self.started_at
    }

    /// Whether the front end has to stop accepting clients.
    fn must_stop_accepting(&self, now: f64) -> bool {
        self.started_at
            .is_some_and(|started_at| now > started_at + ACCEPT_AFTER_SIGTERM)
    }

    /// When the process may be killed, in seconds; infinity before the termination signal.
    fn kill_time(&self) -> f64 {
        self.started_at.map_or(f64::INFINITY, |started_at| {
            started_at + self.counted_client_timeout + KILL_DELAY
        })
    }

    /// The deadline in seconds for answering every open invocation.
    fn response_deadline(&self) -> f64 {
        self.kill_time() - SHUTDOWN_MARGIN
    }

    /// Whether the process has to exit now, regardless of client activity.
    fn must_exit(&self, now: f64) -> bool {
        now > self.kill_time() - EXIT_MARGIN
    }

    /// Records that an invocation is open or that a client has sent something.
    pub(super) fn record_activity(&mut self) {
        self.idle_since = None;
    }

    /// Records that there is no activity, and returns whether the idle time exceeds `FINAL_RESPONSE_LINGER`.
    pub(super) fn record_idle(&mut self, now: f64) -> bool {
        now > *self.idle_since.get_or_insert(now) + FINAL_RESPONSE_LINGER
    }

    /// Whether no activity was recorded since the last `record_idle`.
    pub(super) fn is_idle(&self) -> bool {
        self.idle_since.is_some()
    }
}

impl EventLoop {
    /// Stops accepting connections and invocations, and sends clients a GO_AWAY frame, once `ACCEPT_AFTER_SIGTERM` has
    /// passed since the termination signal.
    pub(super) fn stop_accepting(&mut self, now: f64) {
        if !self.listener.is_open() || !self.shutdown.must_stop_accepting(now) {
            return;
        }
        // The connections in the backlog are notified too.
        self.accept_backlog(now);
        // The listener is closed when this function returns.
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

    /// Whether the shutdown is complete: no invocation is open, and clients have had time to read their final
    /// responses.
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
        // Invocations that arrived since this poll began are answered before the exit.
        for slot in self.client_slots() {
            self.read_client(now, slot, now);
        }
        self.flush_all(now);
        self.shutdown.is_idle()
    }
}
