//! Queues commands for executors on connections.

use super::{EngineHost, UnsentDispatch, UnsentLoadCommand};
use crate::delayed_dispatches::DispatchKey;
use crate::executor_connection::{InFlightDispatch, QueuedCommand, UnwrittenCommands};
use orchidtally_dispatch_policy::interface::ExecutorId;
use orchidtally_engine::transport_outcome::TransportOutcome;

/// Seconds until a dispatch is retried after this machine could not open a connection for lack of a resource.
const LOCAL_FAILURE_RETRY_DELAY: f64 = 0.02;

impl EngineHost {
    /// Sends the delayed dispatches whose delay has elapsed.
    pub fn send_due_dispatches(&mut self) {
        for due in self.delayed_dispatches.take_due(self.now) {
            self.send(
                due.key,
                due.executor_id,
                due.first_sent_at.unwrap_or(self.now),
            );
        }
    }

    /// Queues a dispatch on a connection, or reports it as unsent. `sent_at` is the time in seconds at which it was
    /// first sent.
    pub(super) fn send(&mut self, key: DispatchKey, executor_id: ExecutorId, sent_at: f64) {
        let Some(id) = self
            .invocations
            .get(key.invocation)
            .map(|open| open.id.clone())
        else {
            return self.report_unsent_dispatch(key, TransportOutcome::NeverSent);
        };
        match self.pool.connection_for(self.now, executor_id, &id) {
            Ok(slot) => {
                if let Some(connection) = self.pool.connection_mut(slot) {
                    let dispatch = InFlightDispatch {
                        key,
                        sent_at,
                        line_start: None,
                    };
                    connection.in_flight.insert(id.clone(), dispatch);
                    connection.queue.push_back(QueuedCommand::Dispatch(id));
                }
                self.in_flight.insert(key, slot);
                self.pool.mark_dirty(slot);
            }
            // The missing local resource may become available a moment later, and says nothing about the executor.
            Err(TransportOutcome::NoLocalResource)
                if self.now + LOCAL_FAILURE_RETRY_DELAY < sent_at + self.connect_timeout =>
            {
                self.delayed_dispatches.push(
                    key,
                    executor_id,
                    LOCAL_FAILURE_RETRY_DELAY,
                    Some(sent_at),
                );
            }
            Err(evidence) => self.report_unsent_dispatch(key, evidence),
        }
    }

    pub(super) fn report_unsent_dispatch(&mut self, key: DispatchKey, evidence: TransportOutcome) {
        self.unsent_dispatches
            .push(UnsentDispatch { key, evidence });
    }

    pub(super) fn report_unsent_load_command(&mut self, tag: u64, evidence: TransportOutcome) {
        self.unsent_load_commands
            .push(UnsentLoadCommand { tag, evidence });
    }

    /// Sends again, over another connection, the unwritten commands of a connection that ended or was retired.
    ///
    /// Commands older than the connect timeout are reported as unsent instead, and so are all of them if `may_retry` is
    /// false, which means that the executor is known to be unreachable.
    pub fn resend(
        &mut self,
        executor_id: ExecutorId,
        unwritten: UnwrittenCommands,
        may_retry: bool,
    ) {
        for dispatch in unwritten.dispatches {
            self.in_flight.remove(&dispatch.key);
            if may_retry && self.now < dispatch.sent_at + self.connect_timeout {
                self.send(dispatch.key, executor_id, dispatch.sent_at);
            } else {
                self.report_unsent_dispatch(dispatch.key, TransportOutcome::NoConnection);
            }
        }
        for tag in unwritten.load_commands {
            let issued_at = self
                .load_commands
                .get(&tag)
                .map_or(0.0, |command| command.issued_at);
            if may_retry && self.now < issued_at + self.connect_timeout {
                self.send_load_command(tag, executor_id);
            } else {
                self.report_unsent_load_command(tag, TransportOutcome::NoConnection);
            }
        }
    }

    /// Queues an encoded line whose loss need not be reported.
    pub(super) fn send_line(&mut self, executor_id: ExecutorId, line: Vec<u8>) {
        let Ok(slot) = self.pool.connection_for(self.now, executor_id, "") else {
            return;
        };
        if let Some(connection) = self.pool.connection_mut(slot) {
            connection.queue.push_back(QueuedCommand::Line(line));
        }
        self.pool.mark_dirty(slot);
    }
}
