//! Encodes queued commands and writes them to the sockets, after the engine has revalidated each of them.

use super::load_commands::LOAD_COMMAND_PREFIX;
use super::{AbortedConnection, EngineHost, ViewVersion};
use crate::delayed_dispatches::DispatchKey;
use crate::executor_connection::{MAX_UNFLUSHED_BYTES, QueuedCommand};
use crate::log_rate_limiter::LogRateLimiter;
use orchidtally_dispatch_policy::interface::ExecutorId;
use orchidtally_engine::Engine;
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_platform_executor_protocol as protocol;
use std::io;
use std::rc::Rc;
use tracing::{debug, info};

/// The age of the endpoint list in seconds above which each dispatch is logged.
const STALE_VIEW_AGE: f64 = 1.0;
/// The shortest time limit in seconds that is sent to an executor.
const MIN_TIME_LEFT: f64 = 0.001;

/// Decides, immediately before a command is written, whether it is still valid.
pub trait SendRevalidator {
    /// Called when a process stall has ended.
    fn on_process_stall(&mut self, now: f64);
    /// Whether a dispatch may still be sent.
    fn revalidate_dispatch(&mut self, now: f64, invocation: u32, number: u8) -> bool;
    /// Whether a load command that was issued at `issued_at` may still be sent.
    fn revalidate_load(&mut self, now: f64, executor_id: ExecutorId, issued_at: f64) -> bool;
}

impl SendRevalidator for Engine {
    fn on_process_stall(&mut self, now: f64) {
        Engine::on_process_stall(self, now);
    }

    fn revalidate_dispatch(&mut self, now: f64, invocation: u32, number: u8) -> bool {
        Engine::revalidate_dispatch(self, now, invocation, number)
    }

    fn revalidate_load(&mut self, now: f64, executor_id: ExecutorId, issued_at: f64) -> bool {
        Engine::revalidate_load(self, now, executor_id, issued_at)
    }
}

impl EngineHost {
    /// Encodes and writes the commands that are queued on a connection, until the kernel accepts no more.
    ///
    /// Dispatches and load commands are written nowhere else. Each is revalidated right before its first byte is
    /// written: a line of which the kernel accepted no byte returns to the queue.
    ///
    /// Failure mode: a connection that is slow to be established, or an executor that stops reading, receives commands
    /// that are no longer valid.
    ///
    /// # Errors
    /// The connection broke.
    pub fn flush_connection(
        &mut self,
        slot: usize,
        revalidator: &mut dyn SendRevalidator,
    ) -> io::Result<()> {
        self.read_clock(revalidator);
        self.flush_cancels();
        self.resend_from_retired(slot);
        let is_writable = self
            .pool
            .connection(slot)
            .is_some_and(|connection| connection.is_connected && !connection.is_aborted);
        if !is_writable {
            return Ok(());
        }
        while let Some(connection) = self.pool.connection_mut(slot) {
            connection.socket.flush()?;
            if connection.socket.pending_bytes() > 0 {
                connection.requeue_unwritten();
                return Ok(());
            }
            if connection.queue.is_empty() {
                return Ok(());
            }
            self.encode_queue(slot, revalidator);
        }
        Ok(())
    }

    /// Writes all pending cancels. A connection that does not accept them completely is aborted, which abandons
    /// everything in flight on it.
    ///
    /// Failure mode: a dispatch reaches its executor before the cancel of the previous dispatch of the same invocation
    /// is written, so both run.
    /// Risk: the other dispatches to an executor that is slow to read are lost.
    fn flush_cancels(&mut self) {
        for slot in std::mem::take(&mut self.unflushed_cancels) {
            let Some(connection) = self.pool.connection_mut(slot) else {
                continue;
            };
            let reason = match connection.socket.flush() {
                Ok(()) if connection.socket.pending_bytes() == 0 => continue,
                Ok(()) => "executor does not read a cancel".to_owned(),
                Err(error) => error.to_string(),
            };
            connection.abort();
            self.aborted_connections
                .push(AbortedConnection { slot, reason });
        }
    }

    /// Moves the queued commands of a retired connection to another one, because the executor may have moved and a
    /// different executor may use its previous address.
    fn resend_from_retired(&mut self, slot: usize) {
        let Some(connection) = self.pool.connection_mut(slot) else {
            return;
        };
        if connection.is_retired && !connection.is_aborted && !connection.queue.is_empty() {
            let executor_id = connection.executor_id;
            let unwritten = connection.take_unwritten();
            self.resend(executor_id, unwritten, true);
        }
    }

    /// Encodes commands from the queue of a connection until `MAX_UNFLUSHED_BYTES` wait to be written.
    fn encode_queue(&mut self, slot: usize, revalidator: &mut dyn SendRevalidator) {
        while let Some(connection) = self.pool.connection_mut(slot) {
            if connection.socket.pending_bytes() >= MAX_UNFLUSHED_BYTES {
                return;
            }
            let Some(command) = connection.queue.pop_front() else {
                return;
            };
            let line = match command {
                QueuedCommand::Line(line) => Some(line),
                QueuedCommand::LoadCommand(tag) => self.encode_load_command(slot, tag, revalidator),
                QueuedCommand::Dispatch(id) => self.encode_dispatch(slot, &id, revalidator),
            };
            if let Some(line) = line
                && let Some(connection) = self.pool.connection_mut(slot)
            {
                connection.socket.write_buffer().extend_from_slice(&line);
            }
        }
    }

    /// Encodes a load command. Returns `None`, and reports it as unsent, if it is no longer valid.
    fn encode_load_command(
        &mut self,
        slot: usize,
        tag: u64,
        revalidator: &mut dyn SendRevalidator,
    ) -> Option<Vec<u8>> {
        let command = *self.load_commands.get(&tag)?;
        // A replica query loads nothing, so it is always valid.
        let is_valid = command.replicas == 0
            || revalidator.revalidate_load(self.now, command.executor_id, command.issued_at);
        let connection = self.pool.connection_mut(slot)?;
        if !is_valid {
            connection.load_commands.remove(&tag);
            self.report_unsent_load_command(tag, TransportOutcome::NeverSent);
            return None;
        }
        let line_start = connection.next_line_start();
        connection.load_commands.insert(tag, Some(line_start));
        Some(protocol::encode_load_command(
            &format!("{LOAD_COMMAND_PREFIX}{tag}"),
            &format!("{:016x}", command.function),
            command.replicas,
        ))
    }

    /// Encodes a dispatch. Returns `None`, and reports it as unsent, if it is no longer valid.
    fn encode_dispatch(
        &mut self,
        slot: usize,
        id: &Rc<str>,
        revalidator: &mut dyn SendRevalidator,
    ) -> Option<Vec<u8>> {
        let connection = self.pool.connection_mut(slot)?;
        let line_start = connection.next_line_start();
        let executor_id = connection.executor_id;
        let key = connection.in_flight.get(id)?.key;
        let is_valid = revalidator.revalidate_dispatch(self.now, key.invocation, key.number);
        let Some(open) = self.invocations.get(key.invocation).filter(|_| is_valid) else {
            connection.in_flight.remove(id);
            self.in_flight.remove(&key);
            self.report_unsent_dispatch(key, TransportOutcome::NeverSent);
            return None;
        };
        connection.in_flight.get_mut(id)?.line_start = Some(line_start);
        if !open.is_repeatable
            && let Some(id) = open.id_number()
        {
            self.executed_ids.insert(id);
        }
        let time_left = (open.timeout_at - self.now).max(MIN_TIME_LEFT);
        let line = protocol::encode_dispatch(&protocol::Dispatch {
            id,
            trigger_type: &self.trigger_types[open.trigger_type],
            function: &open.function,
            timeout_ms: (time_left * 1e3).ceil() as u64,
            idempotency_key: open.idempotency_key.as_deref(),
            body: &open.body,
        });
        let executor = self.pool.executor_name(executor_id);
        log_dispatch(
            &mut self.dispatch_log_limiter,
            self.now,
            self.view,
            id,
            key,
            executor,
        );
        Some(line)
    }
}

/// Logs a dispatch with the serial and the age of the endpoint list that it is based on.
fn log_dispatch(
    limiter: &mut LogRateLimiter,
    now: f64,
    view: ViewVersion,
    invocation: &str,
    key: DispatchKey,
    executor: Option<&str>,
) {
    let dispatch = key.number;
    let serial = view.serial;
    let age = now - view.fresh_at;
    if age > STALE_VIEW_AGE
        && let Some(suppressed) = limiter.try_acquire(now)
    {
        info!(
            invocation,
            dispatch, executor, serial, age, suppressed, "dispatch sent on a stale endpoint list"
        );
    }
    debug!(invocation, dispatch, executor, serial, age, "dispatch sent");
}
