//! Keeps what is held for peers within its shares of the memory limit.

use super::EventLoop;
use crate::client_connection::{ClientConnection, CloseCause};
use crate::executor_connection::ExecutorConnection;
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_platform_client_protocol as protocol;

impl EventLoop {
    /// Disconnects the peers that hold the most of each share that is exceeded. What is held is checked only once much
    /// was read since the last time.
    pub(super) fn relieve_memory(&mut self, now: f64) {
        if self.memory_budget.take_check() {
            self.relieve_client_input(now);
            self.relieve_client_output(now);
            self.relieve_executors(now);
        }
    }

    fn relieve_client_input(&mut self, now: f64) {
        let share = self.memory_budget.shares().client_input;
        while self.host.held_bytes().client_input > share {
            let Some(slot) = self.largest_client(ClientConnection::held_input_bytes) else {
                return;
            };
            self.counters.out_of_memory += 1;
            self.host.clients[slot].respond(
                0,
                protocol::ERRORED,
                &[],
                b"no memory is left for more input",
            );
            self.close_client_after_flush(now, slot, CloseCause::InputShareExceeded);
        }
    }

    /// Writes what clients accept before any of them is closed.
    fn relieve_client_output(&mut self, now: f64) {
        let share = self.memory_budget.shares().client_output;
        if self.host.held_bytes().client_output <= share {
            return;
        }
        for slot in self.host.take_dirty_clients() {
            self.flush_client(now, slot);
        }
        while self.host.held_bytes().client_output > share {
            let Some(slot) = self.largest_client(ClientConnection::held_output_bytes) else {
                return;
            };
            self.counters.out_of_memory += 1;
            self.close_client(now, slot, CloseCause::OutputShareExceeded);
        }
    }

    fn relieve_executors(&mut self, now: f64) {
        let shares = *self.memory_budget.shares();
        while self.host.held_bytes().executor_input > shares.executor_input {
            let held = |connection: &ExecutorConnection| connection.decoder.held_bytes();
            if !self.close_largest_executor_connection(now, held) {
                break;
            }
        }
        while self.host.held_bytes().executor_output > shares.executor_output {
            if !self.close_largest_executor_connection(now, ExecutorConnection::held_output_bytes) {
                return;
            }
        }
    }

    /// Returns the slot of the client that holds the most, unless no client holds anything.
    fn largest_client(&self, held: impl Fn(&ClientConnection) -> usize) -> Option<usize> {
        let clients = self.host.clients.iter();
        clients
            .map(|(slot, client)| (held(client), slot))
            .max()
            .filter(|&(bytes, _)| bytes > 0)
            .map(|(_, slot)| slot)
    }

    /// Closes the executor connection that holds the most, and returns whether there was one that holds anything.
    fn close_largest_executor_connection(
        &mut self,
        now: f64,
        held: impl Fn(&ExecutorConnection) -> usize,
    ) -> bool {
        let connections = self.host.pool.connections();
        let largest = connections
            .map(|(slot, connection)| (held(connection), slot))
            .max()
            .filter(|&(bytes, _)| bytes > 0);
        let Some((_, slot)) = largest else {
            return false;
        };
        self.counters.out_of_memory += 1;
        let evidence = TransportOutcome::ConnectionLost;
        self.close_executor_connection(now, slot, evidence, "its share of the memory is exceeded");
        true
    }
}
