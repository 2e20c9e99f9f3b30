//! Puts commands for executors into the queues of connections.

use super::{EngineHost, LoadCommand, UnsentDispatch, UnsentLoadCommand};
use crate::delayed_dispatches::DispatchKey;
use crate::executor_connection::{InFlightDispatch, QueuedCommand, UnwrittenCommands};
use orchidtally_dispatch_policy::interface::ExecutorId;
use orchidtally_engine::transport_outcome::TransportOutcome;

/// Seconds until a dispatch is retried for which this machine could open no connection.
const LOCAL_FAILURE_RETRY_DELAY: f64 = 0.02;

impl EngineHost {
    /// Sends the delayed dispatches that are due.
    pub fn send_due_dispatches(&mut self) {
        for due in self.delayed.take_due(self.now) {
            self.send(due.key, due.to, due.first_sent_at.unwrap_or(self.now));
        }
    }

    /// Queues a dispatch on a connection. `sent_at` tells when it was first sent.
    pub(super) fn send(&mut self, key: DispatchKey, to: ExecutorId, sent_at: f64) {
        let Some(id) = self
            .invocations
            .get(key.invocation)
            .map(|open| open.id.clone())
        else {
            return self.report_unsent(key, TransportOutcome::NeverSent);
        };
        match self.pool.connection_for(self.now, to, &id) {
            Ok(slot) => {
                if let Some(connection) = self.pool.connection_mut(slot) {
                    let dispatch = InFlightDispatch {
                        key,
                        sent_at,
                        line_start: None,
                    };
                    connection.open.insert(id.clone(), dispatch);
                    connection.queue.push_back(QueuedCommand::Dispatch(id));
                }
                self.in_flight.insert(key, slot);
                self.pool.mark_dirty(slot);
            }
            // This machine may have what it lacks a moment later; the executor is not to blame.
            Err(TransportOutcome::NoLocalResource)
                if self.now + LOCAL_FAILURE_RETRY_DELAY < sent_at + self.connect_timeout =>
            {
                self.delayed
                    .push(key, to, LOCAL_FAILURE_RETRY_DELAY, Some(sent_at));
            }
            Err(evidence) => self.report_unsent(key, evidence),
        }
    }

    pub(super) fn report_unsent(&mut self, key: DispatchKey, evidence: TransportOutcome) {
        self.unsent_dispatches
            .push(UnsentDispatch { key, evidence });
    }

    pub(super) fn report_unsent_load_command(&mut self, tag: u64, evidence: TransportOutcome) {
        self.unsent_load_commands
            .push(UnsentLoadCommand { tag, evidence });
    }

    /// Sends commands again that were never handed over by a connection which ended or takes nothing new.
    ///
    /// They use another connection within the time that a connection may take to be made, if `may_retry` tells that
    /// the executor is not known to be unreachable; else they are reported as unsent.
    pub fn resend(&mut self, to: ExecutorId, unwritten: UnwrittenCommands, may_retry: bool) {
        for dispatch in unwritten.dispatches {
            self.in_flight.remove(&dispatch.key);
            if may_retry && self.now < dispatch.sent_at + self.connect_timeout {
                self.send(dispatch.key, to, dispatch.sent_at);
            } else {
                self.report_unsent(dispatch.key, TransportOutcome::NoConnection);
            }
        }
        for tag in unwritten.load_commands {
            let begun_at = self
                .load_commands
                .get(&tag)
                .map_or(0.0, |command| command.begun_at);
            if may_retry && self.now < begun_at + self.connect_timeout {
                self.send_load_command(tag, to);
            } else {
                self.report_unsent_load_command(tag, TransportOutcome::NoConnection);
            }
        }
    }

    /// Gives a load command; 0 replicas only query.
    pub(super) fn give_load_command(&mut self, to: ExecutorId, function: u64, replicas: u8) {
        let tag = self.next_tag;
        self.next_tag += 1;
        let command = LoadCommand {
            to,
            function,
            replicas,
            begun_at: self.now,
            connection: None,
        };
        self.load_commands.insert(tag, command);
        self.send_load_command(tag, to);
    }

    fn send_load_command(&mut self, tag: u64, to: ExecutorId) {
        match self.pool.connection_for(self.now, to, "") {
            Ok(slot) => {
                if let Some(connection) = self.pool.connection_mut(slot) {
                    connection.load_commands.insert(tag, None);
                    connection.queue.push_back(QueuedCommand::LoadCommand(tag));
                }
                if let Some(command) = self.load_commands.get_mut(&tag) {
                    command.connection = Some(slot);
                }
                self.pool.mark_dirty(slot);
            }
            Err(evidence) => self.report_unsent_load_command(tag, evidence),
        }
    }

    /// Queues a line whose loss needs no report.
    pub(super) fn send_line(&mut self, to: ExecutorId, line: Vec<u8>) {
        let Ok(slot) = self.pool.connection_for(self.now, to, "") else {
            return;
        };
        if let Some(connection) = self.pool.connection_mut(slot) {
            connection.queue.push_back(QueuedCommand::Line(line));
        }
        self.pool.mark_dirty(slot);
    }
}
