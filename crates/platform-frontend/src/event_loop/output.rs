//! Flushes output to clients and executors, and reports unsent commands to the engine.

use super::EventLoop;
use crate::client_connection::{CloseCause, MAX_BACKLOG_BYTES};
use crate::source::EventSource;
use orchidtally_engine::transport_outcome::{self, TransportOutcome};
use std::net::Shutdown;

impl EventLoop {
    /// Reports lost connections and unsent commands and flushes output, until this produces no further work.
    pub(super) fn flush_all(&mut self, now: f64) {
        loop {
            self.report_lost_connections(now);
            self.report_unsent_commands(now);
            self.flush_executor_connections(now);
            self.close_aborted_connections(now);
            for slot in self.host.take_dirty_clients() {
                self.flush_client(now, slot);
            }
            if !self.host.has_pending_output() {
                self.query_resolver_after_stall();
                return;
            }
        }
    }

    fn report_unsent_commands(&mut self, now: f64) {
        for unsent in self.host.take_unsent_dispatches() {
            self.engine.on_dispatch_result(
                now,
                unsent.key.invocation,
                unsent.key.number,
                transport_outcome::dispatch_status(unsent.evidence),
                orchidtally_engine::NO_METADATA,
                &mut self.host,
            );
        }
        for unsent in self.host.take_unsent_load_commands() {
            self.finish_load_command(now, unsent.tag, unsent.evidence, 0);
        }
    }

    fn flush_executor_connections(&mut self, now: f64) {
        for slot in self.host.pool.take_dirty() {
            if let Some(connection) = self.host.pool.connection_mut(slot) {
                connection.is_dirty = false;
            }
            let flushed = self.host.flush_connection(slot, &mut self.engine);
            if let Err(error) = flushed
                && self.read_executor(now, slot)
            {
                // `read_executor` has read the responses that the executor sent before the connection broke.
                let reason = error.to_string();
                self.close_executor_connection(
                    now,
                    slot,
                    TransportOutcome::ConnectionLost,
                    &reason,
                );
            }
        }
    }

    fn close_aborted_connections(&mut self, now: f64) {
        for aborted in self.host.take_aborted_connections() {
            let is_aborted = self
                .host
                .pool
                .connection(aborted.slot)
                .is_some_and(|connection| connection.is_aborted);
            if is_aborted && self.read_executor(now, aborted.slot) {
                self.close_executor_connection(
                    now,
                    aborted.slot,
                    TransportOutcome::ConnectionLost,
                    &aborted.reason,
                );
            }
        }
    }

    pub(super) fn flush_client(&mut self, now: f64, slot: usize) {
        let Some(client) = self.host.clients.get_mut(slot) else {
            return;
        };
        client.is_dirty = false;
        let flushed = client.socket.flush();
        client.record_flush(now);
        if client.is_backpressured && client.socket.pending_bytes() <= MAX_BACKLOG_BYTES {
            self.ready_clients.push(EventSource::Client(slot), now);
        }
        let is_written = client.socket.pending_bytes() == 0;
        if let Some(closing) = client
            .closing
            .as_mut()
            .filter(|closing| is_written && !closing.is_shut_down)
        {
            closing.is_shut_down = true;
            // The shutdown fails only if the connection has already ended.
            let _ = client.socket.stream.shutdown(Shutdown::Write);
        }
        if flushed.is_err() {
            self.close_client(now, slot, CloseCause::Ended);
        }
    }
}
