//! What clients moved over their connections, by the names that they give themselves.

use orchidtally_etcd::Traffic;
use std::cell::{OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Names that are told apart; clients of further names count together under the empty one.
const MAX_NAMES: usize = 16_384;

/// A snapshot of what the clients of one name moved so far, at all members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientCounters {
    /// The header `user-agent` of a connection's first request; empty where it had none.
    pub name: String,
    /// Connections that are open.
    pub connections_open: u64,
    /// Bytes of the TCP streams, HTTP/2 included, from the clients.
    pub bytes_received: u64,
    /// The same to the clients.
    pub bytes_sent: u64,
}

/// The connections of the clients of one name.
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

/// All clients by name.
#[derive(Debug, Default)]
pub(super) struct Clients {
    by_name: RefCell<BTreeMap<String, Connections>>,
}

impl Clients {
    /// A connection that is open now. It is nobody's until its first request.
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

/// One open connection; dropping it counts it as closed.
pub(super) struct ClientConnection<'c> {
    clients: &'c Clients,
    traffic: Rc<Traffic>,
    name: OnceCell<String>,
}

impl ClientConnection<'_> {
    /// Takes the client's name from a request; that of the first one counts.
    pub fn requested<B>(&self, request: &http::Request<B>) {
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
