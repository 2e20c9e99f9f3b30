//! Reads executor connections and reports the responses to the engine.

use super::{EventLoop, MAX_READS_PER_POLL};
use crate::engine_host::{EngineHost, ExecutorResponse};
use crate::executor_pool::connect_evidence;
use crate::source::EventSource;
use orchidtally_dispatch_policy::interface::{DispatchStatus, ReplicaState};
use orchidtally_engine::ResponseMetadata;
use orchidtally_engine::transport_outcome::{self, TransportOutcome};
use orchidtally_platform_executor_protocol::{LoadNote, Response, ResponseKind, parse_load_report};
use orchidtally_socket_io::buffered::ReadOutcome;
use tracing::debug;

/// Returns what a response is evidence of.
fn response_evidence(kind: ResponseKind) -> TransportOutcome {
    match kind {
        ResponseKind::Done => TransportOutcome::Answered(DispatchStatus::Ok),
        ResponseKind::Miss => TransportOutcome::Answered(DispatchStatus::NotLoaded),
        ResponseKind::Full => TransportOutcome::Answered(DispatchStatus::Full),
        ResponseKind::Error => TransportOutcome::Answered(DispatchStatus::Error),
        ResponseKind::AlreadyOver => TransportOutcome::Answered(DispatchStatus::NeverSent),
        // These are responses to health checks, never to a dispatch or a load command.
        ResponseKind::Healthy | ResponseKind::Unhealthy => TransportOutcome::MalformedResponse,
    }
}

fn replica_state(note: LoadNote) -> ReplicaState {
    match note {
        LoadNote::Nothing => ReplicaState::Unknown,
        LoadNote::Warm => ReplicaState::Warm,
        LoadNote::Cold => ReplicaState::ColdStart,
        LoadNote::Joined => ReplicaState::JoinedLoad,
        LoadNote::LoadFailed => ReplicaState::LoadFailed,
    }
}

impl EventLoop {
    /// Reads a connection to an executor, and returns whether it is still open.
    pub(super) fn read_executor(&mut self, now: f64, slot: usize) -> bool {
        let Some(connection) = self.host.pool.connection(slot) else {
            return false;
        };
        if !connection.is_connected {
            match connection.socket.is_connected() {
                Ok(false) => return true,
                Ok(true) => self.on_executor_connected(now, slot),
                Err(error) => {
                    let evidence = connect_evidence(&error);
                    self.close_executor_connection(now, slot, evidence, &error.to_string());
                    return false;
                }
            }
        }
        for _ in 0..MAX_READS_PER_POLL {
            let Some(connection) = self.host.pool.connection_mut(slot) else {
                return false;
            };
            match connection.socket.read(&mut self.read_buffer) {
                Ok(ReadOutcome::WouldBlock) => {
                    if connection.socket.pending_bytes() > 0 || !connection.queue.is_empty() {
                        self.host.pool.mark_dirty(slot);
                    }
                    return true;
                }
                Ok(ReadOutcome::Bytes(n)) => {
                    connection.decoder.push(&self.read_buffer[..n]);
                    self.memory_budget.record_read(n);
                    if !self.handle_responses(now, slot) {
                        return false;
                    }
                }
                Ok(ReadOutcome::EndOfStream) => {
                    let reason = "closed by the executor";
                    self.close_executor_connection(
                        now,
                        slot,
                        TransportOutcome::ConnectionLost,
                        reason,
                    );
                    return false;
                }
                Err(error) => {
                    let reason = error.to_string();
                    self.close_executor_connection(
                        now,
                        slot,
                        TransportOutcome::ConnectionLost,
                        &reason,
                    );
                    return false;
                }
            }
        }
        self.queue_source(EventSource::Executor(slot), now);
        true
    }

    fn on_executor_connected(&mut self, now: f64, slot: usize) {
        let Some(connection) = self.host.pool.connection_mut(slot) else {
            return;
        };
        connection.is_connected = true;
        connection.record_read(now);
        let connect_time = now - connection.connect_started_at;
        let executor_id = connection.executor_id;
        if let Some(executor) = self.host.pool.executor_mut(executor_id) {
            executor.min_connect_time = executor.min_connect_time.min(connect_time);
        }
        self.counters.executor_connections_made += 1;
        self.host.pool.mark_dirty(slot);
    }

    /// Handles the complete lines in the decoder, and returns whether the connection is still open.
    fn handle_responses(&mut self, now: f64, slot: usize) -> bool {
        loop {
            let Some(connection) = self.host.pool.connection_mut(slot) else {
                return false;
            };
            match connection.decoder.next_response() {
                Ok(None) => {
                    connection.record_read(now);
                    return true;
                }
                Ok(Some(response)) => self.handle_response(now, slot, response),
                Err(error) => {
                    let reason = error.to_string();
                    self.close_executor_connection(
                        now,
                        slot,
                        TransportOutcome::MalformedResponse,
                        &reason,
                    );
                    return false;
                }
            }
        }
    }

    fn handle_response(&mut self, now: f64, slot: usize, response: Response) {
        let Some(connection) = self.host.pool.connection_mut(slot) else {
            return;
        };
        connection.last_read_at = now;
        connection.idle_since = now;
        connection.has_responded = true;
        let evidence = response_evidence(response.kind);
        if let Some(tag) = EngineHost::load_command_tag(&response.id) {
            return self.finish_load_command(now, tag, evidence, response.replica_count);
        }
        let is_written = connection
            .in_flight
            .get(response.id.as_str())
            .is_some_and(|dispatch| dispatch.line_start.is_some());
        let Some(dispatch) = is_written
            .then(|| connection.in_flight.remove(response.id.as_str()))
            .flatten()
        else {
            // A response to an abandoned dispatch, a duplicate, or a response to an id that was never sent.
            return connection.remove_abandoned_id(&response.id);
        };
        connection.record_response(now, response.id.as_str().into());
        let executor_id = connection.executor_id;
        self.host.remove_in_flight(dispatch.key);
        if response.kind != ResponseKind::Done {
            let executor = self.host.pool.executor_name(executor_id);
            let after = now - dispatch.sent_at;
            debug!(executor, kind = ?response.kind, load_note = ?response.load_note, after, "dispatch did not succeed");
        }
        let load_report =
            parse_load_report(&response.load_report, &self.settings.load_report_fields);
        let executor_response = ExecutorResponse {
            key: dispatch.key,
            status: transport_outcome::dispatch_status(evidence),
            metadata: ResponseMetadata {
                replica_state: replica_state(response.load_note),
                function_concurrency: response.function_concurrency,
                load_report: &load_report,
            },
            body: response.body,
        };
        self.host
            .report_response(&mut self.engine, now, executor_response);
    }

    /// Reports the result of a load command. `replica_count` is the number of replicas in the executor's response.
    pub(super) fn finish_load_command(
        &mut self,
        now: f64,
        tag: u64,
        evidence: TransportOutcome,
        replica_count: u32,
    ) {
        let Some(command) = self.host.remove_load_command(tag) else {
            return;
        };
        let status = match transport_outcome::dispatch_status(evidence) {
            // A replica query that found none.
            DispatchStatus::Ok if command.replicas == 0 && replica_count == 0 => {
                DispatchStatus::NotLoaded
            }
            status => status,
        };
        self.engine.on_load_result(
            now,
            command.executor_id,
            command.function,
            status,
            &mut self.host,
        );
    }
}
