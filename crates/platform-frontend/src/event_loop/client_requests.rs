//! Handles client frames: admits invocations or rejects them, and handles cancels and readiness queries.

use super::{EventLoop, MAX_READS_PER_POLL};
use crate::client_connection::{
    CloseCause, MAX_BACKLOG_BYTES, MAX_OPEN_INVOCATIONS, PendingInvocation,
};
use crate::invocation_request::{InvalidInvocation, InvocationOrigin, parse_invocation};
use crate::source::EventSource;
use orchidtally_engine::AdmissionError;
use orchidtally_platform_client_protocol::{self as protocol, ProtocolError};
use orchidtally_socket_io::buffered::ReadOutcome;
use thiserror::Error;
use tracing::info;

/// Why an invocation is rejected without being admitted. The text is sent to the client as the response body, so it is
/// part of the protocol.
#[derive(Debug, Error)]
enum Rejection {
    /// The invocation is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidInvocation),
    /// A limit on open invocations or request bodies is reached.
    #[error("too much is open")]
    AtCapacity,
    /// The front end is shutting down.
    #[error("the front end is ending")]
    ShuttingDown,
}

impl From<AdmissionError> for Rejection {
    fn from(error: AdmissionError) -> Rejection {
        match error {
            AdmissionError::AtCapacity => Rejection::AtCapacity,
            AdmissionError::ShuttingDown => Rejection::ShuttingDown,
        }
    }
}

impl EventLoop {
    /// Reads a client connection and admits or rejects the invocations that have arrived.
    pub(super) fn read_client(&mut self, now: f64, slot: usize) {
        self.read_client_socket(now, slot);
        let Some(client) = self
            .host
            .clients
            .get_mut(slot)
            .filter(|client| client.closing.is_none())
        else {
            return;
        };
        if client.is_backpressured {
            if client.exceeds_pending_limit() {
                client.respond(
                    0,
                    protocol::ERRORED,
                    &[],
                    b"more is asked than answers are read",
                );
                self.close_client_after_flush(now, slot, CloseCause::TooManyPending);
            }
            return;
        }
        let is_over_limit = client.is_over_limit;
        let has_sent_frame = client.has_sent_frame;
        for pending in std::mem::take(&mut client.pending) {
            if let Err(rejection) = self.admit(slot, &pending, is_over_limit) {
                self.reject(slot, pending.stream, &rejection);
            }
        }
        if is_over_limit && has_sent_frame {
            self.close_client_after_flush(now, slot, CloseCause::OverLimit);
        }
    }

    /// Reads the available input and handles its frames. Invocations are queued for admission.
    ///
    /// This also happens under backpressure, so that cancels and the end of the connection are noticed at once. Queued
    /// invocations are admitted only after the read, so that those cancelled in the same batch never reach the engine.
    /// Failure mode: a client cancels hundreds of invocations at once, each of which would have been placed first.
    fn read_client_socket(&mut self, now: f64, slot: usize) {
        for _ in 0..MAX_READS_PER_POLL {
            let Some(client) = self.host.clients.get_mut(slot) else {
                return;
            };
            client.is_backpressured = client.socket.pending_bytes() > MAX_BACKLOG_BYTES;
            match client.socket.read(&mut self.read_buffer) {
                Ok(ReadOutcome::WouldBlock) => {
                    if client.socket.pending_bytes() > 0 {
                        self.host.mark_client_dirty(slot);
                    }
                    return;
                }
                Ok(ReadOutcome::Bytes(n)) if client.closing.is_some() => {
                    if !client.discard_while_closing(n) {
                        return self.close_client(now, slot, CloseCause::LingerEnded);
                    }
                }
                Ok(ReadOutcome::Bytes(n)) => {
                    client.decoder.push(&self.read_buffer[..n]);
                    if let Err(error) = self.handle_frames(now, slot) {
                        return self.close_after_protocol_error(now, slot, error);
                    }
                }
                Ok(ReadOutcome::EndOfStream) | Err(_) => {
                    return self.close_client(now, slot, CloseCause::Ended);
                }
            }
        }
        self.unfinished_reads.push_back(EventSource::Client(slot));
    }

    fn close_after_protocol_error(&mut self, now: f64, slot: usize, error: ProtocolError) {
        self.counters.protocol_errors += 1;
        if let Some(client) = self.host.clients.get_mut(slot) {
            client.respond(0, protocol::ERRORED, &[], error.to_string().as_bytes());
        }
        self.close_client_after_flush(now, slot, CloseCause::ProtocolError);
    }

    /// Handles the complete frames in the decoder.
    fn handle_frames(&mut self, now: f64, slot: usize) -> Result<(), ProtocolError> {
        let mut had_frame = false;
        loop {
            let Some(client) = self.host.clients.get_mut(slot) else {
                return Ok(());
            };
            let Some(frame) = client.decoder.next_frame()? else {
                client.record_read(now, had_frame);
                return Ok(());
            };
            had_frame = true;
            let stream = frame.stream;
            match frame.kind {
                protocol::INVOKE => {
                    if stream <= client.last_stream {
                        return Err(ProtocolError::ReusedStream);
                    }
                    let payload = frame.payload.map(<[u8]>::to_vec);
                    let arrived_at = self.host.earliest_arrival(now);
                    if let Some(client) = self.host.clients.get_mut(slot) {
                        client.last_stream = stream;
                        client.pending.push(PendingInvocation {
                            arrived_at,
                            stream,
                            payload,
                        });
                    }
                }
                protocol::CANCEL => self.handle_cancel(now, slot, stream),
                protocol::READINESS_QUERY => self.answer_readiness_query(slot, stream),
                _ => return Err(ProtocolError::UnexpectedFrameType),
            }
        }
    }

    fn handle_cancel(&mut self, now: f64, slot: usize, stream: u32) {
        let Some(client) = self.host.clients.get_mut(slot) else {
            return;
        };
        client.pending.retain(|pending| pending.stream != stream);
        if let Some(&invocation) = client.open_invocations.get(&stream) {
            self.host.remove_invocation(invocation);
            self.engine
                .on_client_cancel(now, invocation, &mut self.host);
        }
    }

    /// Answers a readiness query. The front end is ready unless it is shutting down, or knows no executors while the
    /// resolver is reachable and could still list some.
    fn answer_readiness_query(&mut self, slot: usize, stream: u32) {
        let can_serve =
            !self.host.pool.has_no_executors() || self.discovery.resolver_is_unreachable();
        let is_ready = can_serve && !self.shutdown.has_started();
        let code = if is_ready {
            protocol::READY_CODE
        } else {
            protocol::NOT_READY_CODE
        };
        if let Some(client) = self.host.clients.get_mut(slot) {
            protocol::write_frame(
                client.socket.write_buffer(),
                protocol::READINESS,
                stream,
                Some(code),
                Some(&[]),
                &[],
            );
        }
        self.host.mark_client_dirty(slot);
    }

    /// Validates an invocation and offers it to the engine.
    fn admit(
        &mut self,
        slot: usize,
        pending: &PendingInvocation,
        is_over_limit: bool,
    ) -> Result<(), Rejection> {
        let payload = pending
            .payload
            .as_deref()
            .ok_or(InvalidInvocation::FrameTooLong)?;
        let origin = InvocationOrigin {
            arrived_at: pending.arrived_at,
            client: slot,
            stream: pending.stream,
        };
        let parsed = parse_invocation(&self.settings, origin, payload, |id| {
            self.host.invocations.contains_client_invocation_id(id)
        })?;
        let has_no_stream = self
            .host
            .clients
            .get(slot)
            .is_none_or(|client| client.open_invocations.len() >= MAX_OPEN_INVOCATIONS);
        let body_bytes = self.host.invocations.body_bytes() + parsed.invocation.body.len();
        if is_over_limit || has_no_stream || body_bytes > self.max_body_bytes {
            return Err(Rejection::AtCapacity);
        }
        self.host
            .admit(&mut self.engine, &parsed.request, parsed.invocation)?;
        Ok(())
    }

    /// Responds to an invocation that was not admitted.
    fn reject(&mut self, slot: usize, stream: u32, rejection: &Rejection) {
        let (code, retry_after) = match rejection {
            Rejection::Invalid(_) => {
                self.counters.invalid += 1;
                (protocol::ERRORED, 0.0)
            }
            Rejection::AtCapacity => {
                self.counters.rejected += 1;
                (protocol::THROTTLED, self.host.max_retry_after())
            }
            Rejection::ShuttingDown => {
                self.counters.rejected += 1;
                self.shutdown.record_activity();
                (protocol::THROTTLED, 0.0)
            }
        };
        let reason = rejection.to_string();
        if let Some(suppressed) = self.rejection_log_limiter.try_acquire(self.host.now()) {
            info!(
                client = slot,
                stream, reason, suppressed, "invocation rejected"
            );
        }
        let milliseconds = format!("{}", (retry_after * 1e3).ceil());
        let cooldown = [("cooldown", milliseconds.as_str())];
        let fields: &[(&str, &str)] = if retry_after > 0.0 { &cooldown } else { &[] };
        if let Some(client) = self.host.clients.get_mut(slot) {
            client.respond(stream, code, fields, reason.as_bytes());
        }
        self.host.mark_client_dirty(slot);
    }
}
