//! Traffic counters per client, keyed by the `user-agent` that the client sends.

use orchidtally_etcd::Traffic;
use std::cell::{OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The maximum number of client names that are counted separately. Clients with further names are counted under the
/// empty name.
const MAX_NAMES: usize = 16_384;

/// A snapshot of the traffic of all clients with one name, summed over all members since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientCounters {
    /// The `user-agent` header of the connection's first request; empty if it had none.
    pub name: String,
    /// The number of open connections.
    pub connections_open: u64,
    /// Bytes received from the clients over TCP, including the HTTP/2 framing.
    pub bytes_received: u64,
    /// Bytes sent to the clients over TCP, including the HTTP/2 framing.
    pub bytes_sent: u64,
}

/// The open connections of the clients with one name, and the byte totals of their closed ones.
#[derive(Debug, Default)]
struct Connections {
    open: Vec<Rc<Traffic>>,
    closed_received: u64,
    closed_sent: u64,
}

impl Connections {
    fn closed(&mut self, traffic: &Rc<Traffic>) {
        self.open.retain(|open| !Rc::ptr_eq(open, traffic));
        self.closed_received += traffic.received();
        self.closed_sent += traffic.sent();
    }

    fn snapshot(&self, name: &str) -> ClientCounters {
        let received: u64 = self.open.iter().map(|traffic| traffic.received()).sum();
        let sent: u64 = self.open.iter().map(|traffic| traffic.sent()).sum();
        ClientCounters {
            name: name.into(),
            connections_open: self.open.len() as u64,
            bytes_received: self.closed_received + received,
            bytes_sent: self.closed_sent + sent,
        }
    }
}

/// The connections of all clients by client name.
#[derive(Debug, Default)]
pub(super) struct Clients {
    by_name: RefCell<BTreeMap<String, Connections>>,
}

impl Clients {
    /// Tracks a new connection. It is counted for a client only from its first request on, which carries the name.
    pub fn connection(&self, traffic: Rc<Traffic>) -> ClientConnection<'_> {
        ClientConnection {
            clients: self,
            traffic,
            name: OnceCell::new(),
        }
    }

    pub fn snapshot(&self) -> Vec<ClientCounters> {
        self.by_name
            .borrow()
            .iter()
            .map(|(name, connections)| connections.snapshot(name))
            .collect()
    }

    fn open(&self, name: &str, traffic: &Rc<Traffic>) -> String {
        let mut by_name = self.by_name.borrow_mut();
        let has_room = by_name.len() < MAX_NAMES || by_name.contains_key(name);
        let counted_as = if has_room { name } else { "" };
        by_name
            .entry(counted_as.into())
            .or_default()
            .open
            .push(traffic.clone());
        counted_as.into()
    }
}

/// One open connection. Dropping it moves its byte counts to the closed connections of its client.
pub(super) struct ClientConnection<'c> {
    clients: &'c Clients,
    traffic: Rc<Traffic>,
    name: OnceCell<String>,
}

impl ClientConnection<'_> {
    /// Assigns the connection to the client named in the request. Only the connection's first request has an effect.
    pub fn on_request<B>(&self, request: &http::Request<B>) {
        self.name.get_or_init(|| {
            let header = request.headers().get(http::header::USER_AGENT);
            let name = header
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default();
            self.clients.open(name, &self.traffic)
        });
    }
}

impl Drop for ClientConnection<'_> {
    fn drop(&mut self) {
        let Some(name) = self.name.get() else { return };
        if let Some(connections) = self.clients.by_name.borrow_mut().get_mut(name) {
            connections.closed(&self.traffic);
        }
    }
}
