//! The load commands whose results are not known yet.

use super::EngineHost;
use crate::executor_connection::QueuedCommand;
use orchidtally_dispatch_policy::interface::ExecutorId;

/// Prefix of the tags of load commands on the wire. It can't begin an invocation id, which is 16 hexadecimal digits.
pub(super) const LOAD_COMMAND_PREFIX: &str = "order-";

/// A load command whose result is not known yet.
#[derive(Clone, Copy, Debug)]
pub struct LoadCommand {
    /// The executor that it is for.
    pub executor_id: ExecutorId,
    /// The function to load.
    pub function: u64,
    /// The number of replicas to load; 0 only queries how many are loaded.
    pub replicas: u8,
    /// When it was issued, in seconds.
    pub issued_at: f64,
    /// The slot of the connection that carries it, if it has one.
    pub connection: Option<usize>,
}

impl EngineHost {
    /// Issues a load command, or a replica query if `replicas` is 0.
    pub(super) fn issue_load_command(
        &mut self,
        executor_id: ExecutorId,
        function: u64,
        replicas: u8,
    ) {
        let tag = self.next_tag;
        self.next_tag += 1;
        let command = LoadCommand {
            executor_id,
            function,
            replicas,
            issued_at: self.now,
            connection: None,
        };
        self.load_commands.insert(tag, command);
        self.send_load_command(tag, executor_id);
    }

    /// Queues a load command on a connection, or reports it as unsent.
    pub(super) fn send_load_command(&mut self, tag: u64, executor_id: ExecutorId) {
        match self.pool.connection_for(self.now, executor_id, "") {
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

    /// Removes and returns a load command, so that it gets no further result.
    pub fn remove_load_command(&mut self, tag: u64) -> Option<LoadCommand> {
        let command = self.load_commands.remove(&tag)?;
        if let Some(connection) = command
            .connection
            .and_then(|slot| self.pool.connection_mut(slot))
        {
            connection.load_commands.remove(&tag);
        }
        Some(command)
    }

    /// Returns the tag of the oldest load command if it was issued at least `timeout` seconds ago.
    pub fn expired_load_command(&self, now: f64, timeout: f64) -> Option<u64> {
        let (&tag, command) = self.load_commands.first_key_value()?;
        (command.issued_at + timeout <= now).then_some(tag)
    }

    /// Parses the tag from the id of a response to a load command. Returns `None` for other responses.
    pub fn load_command_tag(id: &str) -> Option<u64> {
        id.strip_prefix(LOAD_COMMAND_PREFIX)?.parse().ok()
    }
}
