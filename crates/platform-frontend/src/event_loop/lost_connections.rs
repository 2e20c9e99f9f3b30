//! Closes executor connections, and reports to the engine what their loss is evidence of.

use super::EventLoop;
use crate::executor_connection::ExecutorConnection;
use crate::log_rate_limiter::LogRateLimiter;
use orchidtally_engine::transport_outcome::{self, TransportOutcome};
use orchidtally_platform_executor_protocol::Decoder;
use std::collections::VecDeque;
use tracing::info;

/// Seconds within which all connections of a process are reset after it terminates.
const PROCESS_RESET_WINDOW: f64 = 0.02;

/// A closed connection and what its close is evidence of.
struct LostConnection {
    closed_at: f64,
    /// The transport outcome that the close is evidence of.
    evidence: TransportOutcome,
    connection: ExecutorConnection,
}

/// Closed connections whose commands in flight are not reported to the engine yet.
#[derive(Default)]
pub(super) struct LostConnections {
    unreported: VecDeque<LostConnection>,
    log_limiter: LogRateLimiter,
}

impl LostConnections {
    /// When the oldest one has to be reported at the latest, in seconds.
    pub(super) fn next_report_at(&self) -> f64 {
        self.unreported
            .front()
            .map_or(f64::INFINITY, |lost| lost.closed_at + PROCESS_RESET_WINDOW)
    }

    /// Whether all of them are reported.
    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.unreported.is_empty()
    }
}

impl EventLoop {
    /// Closes a connection to an executor. Commands that were never written are sent again or reported as unsent; those
    /// in flight are reported later.
    pub(super) fn close_executor_connection(
        &mut self,
        now: f64,
        slot: usize,
        evidence: TransportOutcome,
        reason: &str,
    ) {
        let Some(mut connection) = self.host.pool.remove_connection(slot) else {
            return;
        };
        // Deregistering fails only if the socket is not registered, which is the desired state.
        let _ = self
            .poll
            .registry()
            .deregister(&mut connection.socket.stream);
        if !connection.is_idle() {
            self.record_lost_connection(now, &connection, reason);
        }
        self.host.pool.remove_if_unlisted(connection.executor_id);
        let may_retry = connection.is_connected
            || evidence == TransportOutcome::NoLocalResource
            || self
                .host
                .pool
                .has_connection_started_before(connection.executor_id, now);
        let unwritten = connection.take_unwritten();
        self.host
            .resend(connection.executor_id, unwritten, may_retry);
        for (id, dispatch) in &connection.in_flight {
            self.host.remove_in_flight(dispatch.key);
            self.host.record_abandoned(id, connection.executor_id);
        }
        // A partial line shows that the executor is alive, as unreadable bytes do.
        let evidence = if evidence == TransportOutcome::ConnectionLost
            && connection.decoder.has_partial_line()
        {
            TransportOutcome::MalformedResponse
        } else {
            evidence
        };
        connection.decoder = Decoder::default();
        self.lost_connections.unreported.push_back(LostConnection {
            closed_at: now,
            evidence,
            connection,
        });
    }

    fn record_lost_connection(&mut self, now: f64, connection: &ExecutorConnection, reason: &str) {
        let Some(executor) = self.host.pool.executor_name(connection.executor_id) else {
            return;
        };
        self.counters.executor_connections_lost += 1;
        if let Some(suppressed) = self.lost_connections.log_limiter.try_acquire(now) {
            let open = connection.in_flight.len();
            let connected = connection.is_connected;
            info!(
                executor,
                open, connected, reason, suppressed, "executor connection lost"
            );
        }
    }

    /// Reports the commands of lost connections to the engine. A report is put off for the reset window while another
    /// connection to the executor is open: if that one is still open afterwards, the executor's process is running.
    pub(super) fn report_lost_connections(&mut self, now: f64) {
        for _ in 0..self.lost_connections.unreported.len() {
            let Some(lost) = self.lost_connections.unreported.pop_front() else {
                return;
            };
            let is_reachable = self
                .host
                .pool
                .has_connection_started_before(lost.connection.executor_id, lost.closed_at);
            if lost.evidence == TransportOutcome::ConnectionLost
                && is_reachable
                && now < lost.closed_at + PROCESS_RESET_WINDOW
            {
                self.lost_connections.unreported.push_back(lost);
                continue;
            }
            self.report_lost_connection(now, &lost, is_reachable);
        }
    }

    fn report_lost_connection(&mut self, now: f64, lost: &LostConnection, is_reachable: bool) {
        let process_is_alive = lost.evidence == TransportOutcome::MalformedResponse || is_reachable;
        for (dispatch, attributed) in lost.connection.attribute_failures(lost.evidence) {
            let evidence = if process_is_alive {
                attributed
            } else {
                lost.evidence
            };
            self.engine.on_dispatch_result(
                now,
                dispatch.key.invocation,
                dispatch.key.number,
                transport_outcome::dispatch_status(evidence),
                orchidtally_engine::NO_METADATA,
                &mut self.host,
            );
        }
        let evidence = if process_is_alive {
            TransportOutcome::ClosedForOtherDispatch
        } else {
            lost.evidence
        };
        for &tag in lost.connection.load_commands.keys() {
            self.finish_load_command(now, tag, evidence, 0);
        }
    }
}
