//! Connections of clients: how they are taken, make way and end.

use crate::clients::{self, Client};
use crate::front::{Front, LISTENER};
use mio::Interest;
use orchidtally_socket_io::{is_out_of_descriptors, is_out_of_resources};
use std::io::ErrorKind;
use tracing::debug;

/// Connections accepted in a turn.
const ACCEPTS: usize = 256;
/// Idle connections looked at for one that makes way.
const MAKE_WAY: usize = 4;

impl Front {
    pub fn accept(&mut self, now: f64) {
        self.accept_later = false;
        let mut made_way = false;
        for _ in 0..ACCEPTS {
            let Some(listener) = &self.listener else {
                return;
            };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // It broke before it was taken, which accepting tells in many ways.
                Err(fault) if !is_out_of_resources(&fault) => continue,
                Err(fault) => {
                    // No descriptor or no memory: an idle one makes way. Where none is, or that was of no help, it is
                    // tried again with the next look at what is overdue; asking without a pause would take the whole
                    // core, and closing on and on every idle client.
                    debug!(%fault, "accepting");
                    if is_out_of_descriptors(&fault) && !made_way && self.make_way(now) {
                        self.counts.evicted += 1;
                        made_way = true;
                        continue;
                    }
                    self.accept_later = true;
                    return;
                }
            };
            made_way = false;
            let mut client = Client::new(stream, now);
            if self.host.clients.len() >= self.most_clients {
                self.counts.evicted += 1;
                client.guest = !self.make_way(now);
                if client.guest && self.host.clients.len() >= self.most_clients + clients::GUESTS {
                    continue;
                }
            }
            self.counts.accepted += 1;
            let token = clients::token(self.host.clients.vacant_key());
            let both = Interest::READABLE | Interest::WRITABLE;
            if self
                .poll
                .registry()
                .register(&mut client.socket.stream, token, both)
                .is_ok()
            {
                self.host.clients.insert(client);
            }
        }
        self.again.push_back(LISTENER);
    }

    /// Closes the connection that is missed least; tells whether one was. It is read once more before: what came by
    /// now makes it no idle one.
    fn make_way(&mut self, now: f64) -> bool {
        for _ in 0..MAKE_WAY {
            let connect_time = self.settings.connect_timeout;
            let Some(slot) = clients::least_missed(&self.host.clients, now, connect_time) else {
                return false;
            };
            self.read_client(now, slot);
            if self.host.clients.get(slot).is_none_or(Client::is_idle) {
                self.close_client(now, slot);
                return true;
            }
        }
        false
    }

    /// Nobody waits any more for what a client has open.
    pub fn withdraw_all(&mut self, now: f64, slot: usize) {
        let Some(client) = self.host.clients.get_mut(slot) else {
            return;
        };
        for inv in std::mem::take(&mut client.open).into_values() {
            self.host.drop_invocation(inv);
            self.engine.on_client_cancel(now, inv, &mut self.host);
        }
    }

    /// Closes a client's connection at once; what it has open nobody waits for any more.
    pub fn close_client(&mut self, now: f64, slot: usize) {
        self.withdraw_all(now, slot);
        let Some(mut client) = self.host.clients.try_remove(slot) else {
            return;
        };
        // One whose socket is gone already needs no more.
        let _ = self.poll.registry().deregister(&mut client.socket.stream);
    }

    /// Closes it once the client has had time to read what is written.
    pub fn end_client(&mut self, now: f64, slot: usize) {
        self.withdraw_all(now, slot);
        if let Some(client) = self.host.clients.get_mut(slot) {
            client.end(now);
        }
        self.host.touch_client(slot);
    }
}
