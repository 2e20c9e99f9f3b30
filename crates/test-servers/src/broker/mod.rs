//! An MQTT broker for versions 3.1.1 and 5. It implements sessions, shared subscriptions, all three QoS levels, receive
//! maximum, message and session expiry, retained messages and wills.
//!
//! [`Broker`] is a state machine without I/O; [`BrokerServer`] runs one on sockets. The state is in memory only. Tests
//! can inject faults. Times are in seconds on the host's clock.

mod requests;
mod server;
mod session;

pub use server::{BrokerServer, ByteStream, StreamWrapper};

use bytes::Bytes;
use orchidtally_mqtt::filter::Filter;
use orchidtally_mqtt::packet::*;
use session::ClientSession;
use std::collections::{BTreeMap, VecDeque};

/// A message at the broker.
#[derive(Clone, Debug)]
pub struct Message {
    /// The topic to which it was published.
    pub topic: String,
    /// The payload.
    pub payload: Bytes,
    /// The quality of service with which it was published, or is delivered.
    pub qos: Qos,
    /// Whether it is retained.
    pub retain: bool,
    /// Its properties; empty in version 3.1.1.
    pub properties: Properties,
    /// When it expires.
    pub expires_at: f64,
}

#[derive(Debug)]
struct Connection {
    client: String,
    version: Version,
    receive_maximum: u16,
    session_expiry: f64,
    will: Option<Will>,
}

/// What the host has to do for a connection, which is identified by its number.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Send a packet.
    Send(u64, Packet),
    /// Close the connection.
    Close(u64),
}

/// Faults that the broker injects.
#[derive(Debug, Default)]
pub struct BrokerFaults {
    /// The next CONNECT packets are refused with these reason codes, one code for each packet.
    pub connect_refusals: VecDeque<u8>,
    /// Unacknowledged messages are redelivered in reverse order after a reconnection.
    pub reverses_redelivery: bool,
    /// Unacknowledged QoS 1 messages of a closed connection go to other members of the group, without the DUP flag.
    pub reassigns_unacknowledged: bool,
    /// Some messages of a group are delivered to two members.
    pub duplicate_delivery: Option<DuplicateDelivery>,
}

/// Which messages of a group are delivered to two members.
#[derive(Debug)]
pub struct DuplicateDelivery {
    filter: Filter,
    interval: u64,
    matched: u64,
}

impl DuplicateDelivery {
    /// One in `every` messages whose topic matches the filter.
    pub fn one_in(interval: u64, filter: Filter) -> DuplicateDelivery {
        DuplicateDelivery {
            filter,
            interval,
            matched: 0,
        }
    }

    /// Counts a matching message, and returns whether it is to be delivered twice.
    fn applies_to(&mut self, topic: &str) -> bool {
        if !self.filter.matches(topic) {
            return false;
        }
        self.matched += 1;
        self.matched.is_multiple_of(self.interval)
    }
}

/// A shared subscription: its group and its filter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SharedSubscription {
    group: String,
    filter: String,
}

/// The state of a broker: sessions, connections, queues and retained messages.
#[derive(Debug, Default)]
pub struct Broker {
    sessions: BTreeMap<String, ClientSession>,
    connections: BTreeMap<u64, Connection>,
    /// Messages of shared subscriptions that are not delivered to any member yet.
    shared_queues: BTreeMap<SharedSubscription, VecDeque<Message>>,
    retained: BTreeMap<String, Message>,
    /// The faults to inject.
    pub faults: BrokerFaults,
    rounds: u64,
    /// Messages that clients have published.
    pub published: Vec<Message>,
}

impl Broker {
    /// The number of queued messages, which are not delivered to any client yet.
    pub fn undelivered(&self) -> usize {
        self.shared_queues
            .values()
            .map(VecDeque::len)
            .sum::<usize>()
            + self
                .sessions
                .values()
                .map(|session| session.queue.len())
                .sum::<usize>()
    }

    /// The number of messages that are delivered but not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.sessions
            .values()
            .map(ClientSession::unacknowledged)
            .sum()
    }

    /// The protocol version of a connection; 5 for one that has not sent CONNECT.
    fn version_of(&self, number: u64) -> Version {
        self.connections
            .get(&number)
            .map_or(Version::V5, |connection| connection.version)
    }

    /// Removes a client's session, as a loss of state does.
    pub fn remove_session(&mut self, client: &str) {
        self.sessions.remove(client);
    }

    /// Publishes a message that comes from no client.
    pub fn publish(&mut self, now: f64, message: Message) -> Vec<Action> {
        let mut actions = vec![];
        self.route(message);
        self.deliver(now, &mut actions);
        actions
    }

    /// Queues a message for all subscriptions that match it.
    fn route(&mut self, message: Message) {
        if message.retain {
            if message.payload.is_empty() {
                self.retained.remove(&message.topic);
            } else {
                self.retained.insert(message.topic.clone(), message.clone());
            }
        }
        let unretained = Message {
            retain: false,
            ..message
        };
        let mut groups: BTreeMap<SharedSubscription, Qos> = BTreeMap::new();
        for session in self.sessions.values_mut() {
            let matching = session
                .filters
                .iter()
                .filter(|(filter, _)| filter.matches(&unretained.topic));
            let unshared = matching
                .clone()
                .filter(|(filter, _)| filter.group().is_none());
            let unshared_qos = unshared.map(|(_, qos)| *qos).max();
            for (filter, qos) in matching {
                if let Some(shared) = SharedSubscription::of(filter) {
                    groups.insert(shared, *qos);
                }
            }
            if let Some(qos) = unshared_qos {
                session.queue.push_back(Message {
                    qos: qos.min(unretained.qos),
                    ..unretained.clone()
                });
            }
        }
        for (shared, qos) in groups {
            let queue = self.shared_queues.entry(shared).or_default();
            let message = Message {
                qos: qos.min(unretained.qos),
                ..unretained.clone()
            };
            if self
                .faults
                .duplicate_delivery
                .as_mut()
                .is_some_and(|fault| fault.applies_to(&message.topic))
            {
                queue.push_back(message.clone());
            }
            queue.push_back(message);
        }
    }

    /// Delivers queued messages to clients below their receive maximum, one message to each in turn.
    fn deliver(&mut self, now: f64, actions: &mut Vec<Action>) {
        loop {
            let mut delivered = false;
            let connected: Vec<u64> = self.connections.keys().copied().collect();
            self.rounds += 1;
            for position in 0..connected.len() {
                let number = connected[(position + self.rounds as usize) % connected.len()];
                delivered |= self.deliver_one(now, number, actions);
            }
            if !delivered {
                return;
            }
        }
    }

    /// Sends the next queued message, unless it has expired, over a connection. Returns whether a message was dequeued.
    fn deliver_one(&mut self, now: f64, number: u64, actions: &mut Vec<Action>) -> bool {
        let Some(connection) = self.connections.get(&number) else {
            return false;
        };
        let Some(session) = self.sessions.get_mut(&connection.client) else {
            return false;
        };
        let is_below_receive_maximum =
            session.unacknowledged() < usize::from(connection.receive_maximum);
        if session.connection != Some(number) || !is_below_receive_maximum {
            return false;
        }
        let mut next = session.queue.pop_front();
        for (filter, _) in &session.filters {
            let Some(shared) = SharedSubscription::of(filter).filter(|_| next.is_none()) else {
                continue;
            };
            next = self
                .shared_queues
                .get_mut(&shared)
                .and_then(VecDeque::pop_front);
        }
        let Some(message) = next else { return false };
        if message.expires_at > now {
            let packet = session.deliver(message, now, connection.version);
            actions.push(Action::Send(number, packet));
        }
        true
    }

    /// Handles the end of a connection. The will is published unless the end is orderly.
    pub fn connection_closed(&mut self, now: f64, number: u64, is_orderly: bool) -> Vec<Action> {
        let mut actions = vec![];
        let Some(connection) = self.connections.remove(&number) else {
            return actions;
        };
        let session = self.sessions.get_mut(&connection.client);
        if let Some(session) = session.filter(|session| session.connection == Some(number)) {
            session.connection = None;
            session.expires_at = now + connection.session_expiry;
            if self.faults.reassigns_unacknowledged {
                for (shared, message) in session.take_unacknowledged_shared() {
                    self.shared_queues
                        .entry(shared)
                        .or_default()
                        .push_front(message);
                }
            }
            if connection.session_expiry == 0.0 {
                self.sessions.remove(&connection.client);
            }
        }
        if let Some(will) = connection.will.filter(|_| !is_orderly) {
            let Will {
                topic,
                payload,
                qos,
                retain,
                properties,
            } = will;
            self.route(Message {
                topic,
                payload,
                qos,
                retain,
                properties,
                expires_at: f64::INFINITY,
            });
        }
        self.deliver(now, &mut actions);
        actions
    }
}
