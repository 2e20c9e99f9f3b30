//! Handles client frames: admits invocations or rejects them, and handles cancels and readiness queries.

use super::EventLoop;
use crate::client_connection::{
    ClientConnection, CloseCause, MAX_BACKLOG_BYTES, MAX_OPEN_INVOCATIONS,
};
use crate::invocation_request::{InvalidInvocation, InvocationOrigin, parse_invocation};
use crate::invocation_table::OpenInvocation;
use crate::memory_budget::may_take;
use crate::pending_invocations::PendingInvocation;
use crate::source::EventSource;
use orchidtally_engine::AdmissionError;
use orchidtally_platform_client_protocol::{self as protocol, ProtocolError};
use orchidtally_socket_io::buffered::ReadOutcome;
use thiserror::Error;
use tracing::info;

/// Bytes of one read from a client.
const CLIENT_READ_BYTES: usize = 16 * 1024;
/// Reads from a client in one turn.
const READS_PER_TURN: usize = 4;
/// Frames of a client that are decoded in one turn.
const FRAMES_PER_TURN: usize = 512;
/// Invocations of a client that are admitted or rejected in one turn. The responses are held until they are written.
const ADMISSIONS_PER_TURN: usize = 2 * MAX_OPEN_INVOCATIONS;
/// Unwritten bytes from which on a client's output is written at the end of its turn instead of that of the poll.
const PROMPT_FLUSH_BYTES: usize = 4 * 1024;

/// What is left of a client's turn in a poll.
///
/// Failure mode: clients that send at full speed keep a poll busy for seconds, and the front end holds the responses to
/// all that it has read meanwhile.
/// Risk: a usual client with more input than a turn takes waits for the turns of all others.
struct Turn {
    reads_left: usize,
    frames_left: usize,
    /// The earliest time at which the input may have arrived, in seconds.
    ready_since: f64,
}

impl Turn {
    fn new(ready_since: f64) -> Turn {
        Turn {
            reads_left: READS_PER_TURN,
            frames_left: FRAMES_PER_TURN,
            ready_since,
        }
    }

    fn is_over(&self) -> bool {
        self.reads_left == 0 || self.frames_left == 0
    }
}

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
    /// Gives a client a turn: reads its connection and admits or rejects the invocations that have arrived.
    /// `ready_since` is the earliest time at which the input may have arrived, in seconds.
    pub(super) fn read_client(&mut self, now: f64, slot: usize, ready_since: f64) {
        let Some(client) = self.host.clients.get_mut(slot) else {
            return;
        };
        client.is_backpressured = client.socket.pending_bytes() > MAX_BACKLOG_BYTES;
        if client.pending.is_empty() || client.is_backpressured {
            self.read_client_socket(now, slot, ready_since);
        } else {
            // Invocations that an earlier turn left come first, and the next turn reads on.
            self.ready_clients.push(EventSource::Client(slot), now);
        }
        self.admit_pending(now, slot);
        let is_large =
            |client: &ClientConnection| client.socket.pending_bytes() >= PROMPT_FLUSH_BYTES;
        if self.host.clients.get(slot).is_some_and(is_large) {
            self.flush_client(now, slot);
        }
        self.relieve_memory(now);
    }

    /// Admits or rejects the pending invocations of a client, unless it has to read responses first.
    fn admit_pending(&mut self, now: f64, slot: usize) {
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
        for _ in 0..ADMISSIONS_PER_TURN {
            let Some(pending) = self.next_pending(slot) else {
                break;
            };
            if let Err(rejection) = self.admit(slot, &pending, is_over_limit) {
                self.reject(slot, pending.stream, &rejection);
            }
        }
        if self.has_pending(slot) {
            self.ready_clients.push(EventSource::Client(slot), now);
        } else if is_over_limit && has_sent_frame {
            self.close_client_after_flush(now, slot, CloseCause::OverLimit);
        }
    }

    /// Removes and returns the first pending invocation of a client.
    fn next_pending(&mut self, slot: usize) -> Option<PendingInvocation> {
        self.host.clients.get_mut(slot)?.pending.pop()
    }

    fn has_pending(&self, slot: usize) -> bool {
        let client = self.host.clients.get(slot);
        client.is_some_and(|client| !client.pending.is_empty())
    }

    /// Reads the available input and handles its frames, as many as one turn allows. Invocations are queued for
    /// admission.
    ///
    /// This also happens under backpressure, so that cancels and the end of the connection are noticed at once. Queued
    /// invocations are admitted only after the read, so that those cancelled in the same batch never reach the engine.
    /// Failure mode: a client cancels hundreds of invocations at once, each of which would have been placed first.
    fn read_client_socket(&mut self, now: f64, slot: usize, ready_since: f64) {
        let mut turn = Turn::new(ready_since);
        loop {
            if let Err(error) = self.handle_frames(now, slot, &mut turn) {
                return self.close_after_protocol_error(now, slot, error);
            }
            if turn.is_over() {
                return self.ready_clients.push(EventSource::Client(slot), now);
            }
            turn.reads_left -= 1;
            let Some(client) = self.host.clients.get_mut(slot) else {
                return;
            };
            match client
                .socket
                .read(&mut self.read_buffer[..CLIENT_READ_BYTES])
            {
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
                    self.memory_budget.record_read(n);
                }
                Ok(ReadOutcome::EndOfStream) | Err(_) => {
                    return self.close_client(now, slot, CloseCause::Ended);
                }
            }
        }
    }

    fn close_after_protocol_error(&mut self, now: f64, slot: usize, error: ProtocolError) {
        self.counters.protocol_errors += 1;
        if let Some(client) = self.host.clients.get_mut(slot) {
            client.respond(0, protocol::ERRORED, &[], error.to_string().as_bytes());
        }
        self.close_client_after_flush(now, slot, CloseCause::ProtocolError);
    }

    /// Handles the complete frames in the decoder, as many as are left of the turn.
    fn handle_frames(
        &mut self,
        now: f64,
        slot: usize,
        turn: &mut Turn,
    ) -> Result<(), ProtocolError> {
        let mut had_frame = false;
        loop {
            let Some(client) = self
                .host
                .clients
                .get_mut(slot)
                .filter(|client| client.closing.is_none())
            else {
                return Ok(());
            };
            if turn.frames_left == 0 {
                client.record_read(now, had_frame);
                return Ok(());
            }
            let Some(frame) = client.decoder.next_frame()? else {
                client.record_read(now, had_frame);
                return Ok(());
            };
            turn.frames_left -= 1;
            had_frame = true;
            let stream = frame.stream;
            match frame.kind {
                protocol::INVOKE => {
                    if stream <= client.last_stream {
                        return Err(ProtocolError::ReusedStream);
                    }
                    let payload = frame.payload.map(<[u8]>::to_vec);
                    let arrived_at = self.host.earliest_arrival(now).min(turn.ready_since);
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
        client.pending.remove(stream);
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
        let id_state = |id: &str| self.host.id_state(id);
        let parsed = parse_invocation(&self.settings, origin, payload, id_state)?;
        if is_over_limit || !self.has_room_for(slot, &parsed.invocation) {
            return Err(Rejection::AtCapacity);
        }
        if let Some(client) = self.host.clients.get_mut(slot) {
            client.sends_invalid = false;
        }
        self.host
            .admit(&mut self.engine, &parsed.request, parsed.invocation)?;
        Ok(())
    }

    /// Whether a client may have another open invocation.
    fn has_room_for(&self, slot: usize, invocation: &OpenInvocation) -> bool {
        let Some(client) = self.host.clients.get(slot) else {
            return false;
        };
        let open = client.open_invocations.len();
        let all_open = self.engine.open_invocations();
        let held_by_all = self.host.invocations.held_bytes();
        let share = self.memory_budget.shares().invocations;
        open < MAX_OPEN_INVOCATIONS
            && may_take(1, open, all_open, self.settings.max_open_invocations)
            && may_take(
                invocation.held_bytes(),
                client.open_bytes,
                held_by_all,
                share,
            )
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
            client.sends_invalid = matches!(rejection, Rejection::Invalid(_));
            client.respond(stream, code, fields, reason.as_bytes());
        }
        self.host.mark_client_dirty(slot);
    }
}
