//! Encodes queued commands and hands them to the kernel, after the engine has confirmed each of them.

use super::{CutConnection, EngineHost, LOAD_COMMAND_PREFIX, ViewStamp};
use crate::delayed_dispatches::DispatchKey;
use crate::executor_connection::{MAX_UNFLUSHED_BYTES, QueuedCommand};
use crate::log_budget::LogBudget;
use orchidtally_dispatch_policy::interface::ExecutorId;
use orchidtally_engine::Engine;
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_platform_executor_protocol as protocol;
use std::io;
use std::rc::Rc;
use tracing::{debug, info};

/// The age of the endpoint list in seconds past which each dispatch is logged.
const STALE_VIEW_AGE: f64 = 1.0;
/// The shortest time limit in seconds that an executor is given.
const MIN_TIME_LEFT: f64 = 0.001;

/// Asked as bytes leave whether an earlier decision still holds.
pub trait SendRevalidation {
    /// A process stall ended now.
    fn on_process_stall(&mut self, now: f64);
    /// Whether a dispatch may still be sent.
    fn revalidate_dispatch(&mut self, now: f64, invocation: u32, number: u8) -> bool;
    /// Whether a load command that was given at a time may still be sent.
    fn revalidate_load(&mut self, now: f64, to: ExecutorId, begun_at: f64) -> bool;
}

impl SendRevalidation for Engine {
    fn on_process_stall(&mut self, now: f64) {
        Engine::on_process_stall(self, now);
    }

    fn revalidate_dispatch(&mut self, now: f64, invocation: u32, number: u8) -> bool {
        Engine::revalidate_dispatch(self, now, invocation, number)
    }

    fn revalidate_load(&mut self, now: f64, to: ExecutorId, begun_at: f64) -> bool {
        Engine::revalidate_load(self, now, to, begun_at)
    }
}

impl EngineHost {
    /// Encodes what is queued on a connection, as long as the kernel takes it, and hands it over.
    ///
    /// This is the only way out for dispatches and load commands. Each is revalidated as its first byte leaves: a line
    /// of which the kernel took no byte goes back into the queue.
    ///
    /// Failure mode: connections that are slow to be made, and executors that read nothing, deliver commands after
    /// their time.
    ///
    /// # Errors
    /// The connection broke.
    pub fn flush_connection(
        &mut self,
        slot: usize,
        revalidation: &mut dyn SendRevalidation,
    ) -> io::Result<()> {
        self.read_clock(revalidation);
        self.flush_cancels();
        self.resend_from_retired(slot);
        let is_writable = self
            .pool
            .connection(slot)
            .is_some_and(|connection| connection.is_connected && !connection.is_cut);
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
            self.encode_queue(slot, revalidation);
        }
        Ok(())
    }

    /// Hands every cancel over. A connection that does not take them whole is cut off, which abandons all that is open
    /// on it.
    ///
    /// Failure mode: a dispatch reaches an executor before the cancel of the one before it has left, so that two run.
    /// Risk: what else is open at an executor that is slow to read is lost.
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
            connection.cut_off();
            self.cut_connections.push(CutConnection { slot, reason });
        }
    }

    /// Moves what is queued on a retired connection to another: its executor may have moved, and another may have
    /// taken over its address.
    fn resend_from_retired(&mut self, slot: usize) {
        let Some(connection) = self.pool.connection_mut(slot) else {
            return;
        };
        if connection.is_retired && !connection.is_cut && !connection.queue.is_empty() {
            let to = connection.to;
            let unwritten = connection.take_unwritten();
            self.resend(to, unwritten, true);
        }
    }

    /// Encodes commands from the queue of a connection until enough bytes wait to be handed over.
    fn encode_queue(&mut self, slot: usize, revalidation: &mut dyn SendRevalidation) {
        while let Some(connection) = self.pool.connection_mut(slot) {
            if connection.socket.pending_bytes() >= MAX_UNFLUSHED_BYTES {
                return;
            }
            let Some(command) = connection.queue.pop_front() else {
                return;
            };
            let line = match command {
                QueuedCommand::Line(line) => Some(line),
                QueuedCommand::LoadCommand(tag) => {
                    self.encode_load_command(slot, tag, revalidation)
                }
                QueuedCommand::Dispatch(id) => self.encode_dispatch(slot, &id, revalidation),
            };
            if let Some(line) = line
                && let Some(connection) = self.pool.connection_mut(slot)
            {
                connection.socket.write_buffer().extend_from_slice(&line);
            }
        }
    }

    /// The line of a load command, if the command still holds.
    fn encode_load_command(
        &mut self,
        slot: usize,
        tag: u64,
        revalidation: &mut dyn SendRevalidation,
    ) -> Option<Vec<u8>> {
        let command = *self.load_commands.get(&tag)?;
        // A query loads nothing, so it always holds.
        let is_valid = command.replicas == 0
            || revalidation.revalidate_load(self.now, command.to, command.begun_at);
        let connection = self.pool.connection_mut(slot)?;
        if !is_valid {
            connection.load_commands.remove(&tag);
            self.report_unsent_load_command(tag, TransportOutcome::NeverSent);
            return None;
        }
        let line_start = connection.next_line_start();
        connection.load_commands.insert(tag, Some(line_start));
        Some(protocol::load(
            &format!("{LOAD_COMMAND_PREFIX}{tag}"),
            &format!("{:016x}", command.function),
            command.replicas,
        ))
    }

    /// The line of a dispatch, if the dispatch still holds.
    fn encode_dispatch(
        &mut self,
        slot: usize,
        id: &Rc<str>,
        revalidation: &mut dyn SendRevalidation,
    ) -> Option<Vec<u8>> {
        let connection = self.pool.connection_mut(slot)?;
        let line_start = connection.next_line_start();
        let to = connection.to;
        let key = connection.open.get(id)?.key;
        let is_valid = revalidation.revalidate_dispatch(self.now, key.invocation, key.number);
        let Some(open) = self.invocations.get(key.invocation).filter(|_| is_valid) else {
            connection.open.remove(id);
            self.in_flight.remove(&key);
            self.report_unsent(key, TransportOutcome::NeverSent);
            return None;
        };
        connection.open.get_mut(id)?.line_start = Some(line_start);
        let time_left = (open.timeout_at - self.now).max(MIN_TIME_LEFT);
        let line = protocol::dispatch(&protocol::Dispatch {
            id,
            trigger_type: &self.trigger_types[open.trigger_type],
            function: &open.function,
            limit_ms: (time_left * 1e3).ceil() as u64,
            idempotency_key: open.idempotency_key.as_deref(),
            body: &open.body,
        });
        let executor = self.pool.executor_name(to);
        log_dispatch(
            &mut self.dispatch_log,
            self.now,
            self.view,
            id,
            key,
            executor,
        );
        Some(line)
    }
}

/// Logs a dispatch with the serial and the age of the endpoint list that it rests on.
fn log_dispatch(
    budget: &mut LogBudget,
    now: f64,
    view: ViewStamp,
    invocation: &str,
    key: DispatchKey,
    executor: Option<&str>,
) {
    let dispatch = key.number;
    let serial = view.serial;
    let age = now - view.fresh_at;
    if age > STALE_VIEW_AGE
        && let Some(suppressed) = budget.admit(now)
    {
        info!(
            invocation,
            dispatch, executor, serial, age, suppressed, "dispatch sent on a stale endpoint list"
        );
    }
    debug!(invocation, dispatch, executor, serial, age, "dispatch sent");
}
