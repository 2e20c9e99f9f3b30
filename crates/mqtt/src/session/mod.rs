//! The session of a client as a state machine without I/O.
//!
//! The host passes received packets and the time to the session and takes the packets to send from it. A session
//! survives the loss of a connection as long as the server keeps it. Deliveries are acknowledged by the host, which
//! applies backpressure to the server through the receive maximum. Times are in seconds on the host's clock.

mod deadlines;
mod event;
mod incoming;
mod outgoing;

pub use event::{ConnectionError, Delivery, Event, PublishRejected};

use crate::packet::*;
use bytes::Bytes;
use deadlines::{PendingSubscribe, Ping};
use incoming::Unacknowledged;
use outgoing::{Outgoing, QueuedPublish};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The default receive maximum of a server.
const DEFAULT_RECEIVE_MAXIMUM: u16 = 65_535;

/// The parameters of CONNECT and SUBSCRIBE, and limits of the client.
#[derive(Clone, Debug)]
pub struct SessionOptions {
    /// The protocol version.
    pub version: Version,
    /// The client identifier, which identifies the session at the server.
    pub client_id: String,
    /// The user name, if the server requires one.
    pub username: Option<String>,
    /// The password, if the server requires one.
    pub password: Option<Bytes>,
    /// Seconds without a sent packet after which a ping is sent; 0 disables pings.
    pub keep_alive: u16,
    /// Seconds for which the server keeps the session without a connection; 0 for a clean session.
    pub session_expiry: u32,
    /// The client's receive maximum: the maximum number of unacknowledged deliveries.
    pub receive_maximum: u16,
    /// The maximum size of a received packet, in bytes.
    pub max_packet_size: u32,
    /// The highest topic alias that the server may use; 0 for none.
    pub topic_alias_maximum: u16,
    /// The will message, if there is one.
    pub will: Option<Will>,
    /// The subscriptions of the session.
    pub subscriptions: Vec<Subscription>,
    /// The maximum number of queued messages that have not been sent because no packet identifier is free or the server's
    /// receive maximum is reached.
    pub max_queued_publishes: usize,
    /// Whether to send pings by which the server confirms that it has received acknowledgements. If so, the session
    /// reports `Event::Confirmed` and `Event::Resumed`, and the host calls `Session::complete` for each confirmed QoS 2
    /// delivery.
    pub requests_confirmation: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionState {
    Disconnected,
    /// CONNECT was sent at this time.
    Connecting(f64),
    Connected,
}

/// A client's session with a server.
pub struct Session {
    options: SessionOptions,
    state: ConnectionState,
    /// Packets to send over this connection.
    packets: VecDeque<Packet>,
    /// Published messages by packet identifier.
    outgoing: BTreeMap<u16, Outgoing>,
    /// Identifiers of `outgoing` in the order in which they were first sent.
    send_order: VecDeque<u16>,
    /// Identifiers of `outgoing` that were not sent over this connection.
    unsent: VecDeque<u16>,
    /// The number of messages in `outgoing` that were sent over this connection.
    in_flight: usize,
    /// Published messages without a packet identifier.
    queued: VecDeque<QueuedPublish>,
    /// Packet identifiers that the host has reserved and not used.
    reserved: BTreeSet<u16>,
    last_token: u64,
    last_id: u16,
    /// Delivery numbers of QoS 2 messages that are acknowledged and not completed, by packet identifier. The session does
    /// not deliver these again.
    received: BTreeMap<u16, u64>,
    /// Deliveries of this connection that the host has not acknowledged, by number.
    unacknowledged: BTreeMap<u64, Unacknowledged>,
    last_delivery: u64,
    /// Deliveries acknowledged by PUBACK since the last ping.
    unconfirmed: Vec<u64>,
    /// Topics by topic alias, on this connection.
    aliases: BTreeMap<u16, String>,
    pending_subscribe: Option<PendingSubscribe>,
    /// Limits of the server: its receive maximum, its maximum packet size and the keep alive.
    server_receive_maximum: u16,
    server_max_packet_size: usize,
    keep_alive: f64,
    last_sent_at: f64,
    ping: Option<Ping>,
}

impl Session {
    /// Creates a session that is not connected yet.
    pub fn new(options: SessionOptions) -> Session {
        Session {
            keep_alive: f64::from(options.keep_alive),
            options,
            state: ConnectionState::Disconnected,
            packets: VecDeque::new(),
            outgoing: BTreeMap::new(),
            send_order: VecDeque::new(),
            unsent: VecDeque::new(),
            in_flight: 0,
            queued: VecDeque::new(),
            reserved: BTreeSet::new(),
            last_token: 0,
            last_id: 0,
            received: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            last_delivery: 0,
            unconfirmed: vec![],
            aliases: BTreeMap::new(),
            pending_subscribe: None,
            server_receive_maximum: DEFAULT_RECEIVE_MAXIMUM,
            server_max_packet_size: usize::MAX,
            last_sent_at: 0.0,
            ping: None,
        }
    }

    /// The protocol version.
    pub fn version(&self) -> Version {
        self.options.version
    }

    /// Whether the server has accepted the connection.
    pub fn is_connected(&self) -> bool {
        self.state == ConnectionState::Connected
    }

    /// The number of published messages that the server has not acknowledged.
    pub fn unacknowledged_publishes(&self) -> usize {
        self.queued.len() + self.outgoing.len()
    }

    /// The number of deliveries that the host has not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.unacknowledged.len()
    }

    /// Takes the next packet to send.
    pub fn next_packet(&mut self) -> Option<Packet> {
        self.packets.pop_front()
    }

    fn send(&mut self, now: f64, packet: Packet) {
        self.last_sent_at = now;
        self.packets.push_back(packet);
    }

    /// Starts the session on a connection that the host has opened to the server.
    pub fn connect(&mut self, now: f64) {
        let options = &self.options;
        let mut properties = vec![];
        if options.version == Version::V5 {
            properties.push(Property::SessionExpiry(options.session_expiry));
            properties.push(Property::ReceiveMaximum(options.receive_maximum.max(1)));
            properties.push(Property::MaximumPacketSize(options.max_packet_size.max(1)));
            properties.push(Property::TopicAliasMaximum(options.topic_alias_maximum));
        }
        let connect = Connect {
            clean: options.session_expiry == 0,
            keep_alive: options.keep_alive,
            properties,
            client_id: options.client_id.clone(),
            will: options.will.clone(),
            username: options.username.clone(),
            password: options.password.clone(),
        };
        self.connection_lost();
        self.state = ConnectionState::Connecting(now);
        self.send(now, Packet::Connect(connect));
    }

    /// Handles the loss of the connection. Its deliveries can't be acknowledged any more; the server redelivers them.
    pub fn connection_lost(&mut self) {
        self.state = ConnectionState::Disconnected;
        self.packets.clear();
        self.unacknowledged.clear();
        self.unconfirmed.clear();
        self.aliases.clear();
        self.pending_subscribe = None;
        self.ping = None;
    }

    /// Sends a DISCONNECT, so that the server does not publish the will.
    pub fn disconnect(&mut self, now: f64) {
        if self.is_connected() {
            self.send(now, Packet::Disconnect(Reason::default()));
            self.state = ConnectionState::Disconnected;
        }
    }

    /// Handles a packet from the server. After an error the connection has to be closed.
    pub fn received(&mut self, now: f64, packet: Packet) -> Result<Vec<Event>, ConnectionError> {
        if let (ConnectionState::Connecting(_), Packet::ConnAck(ack)) = (self.state, &packet) {
            return self.connected(now, ack);
        }
        if !self.is_connected() {
            return Err(ConnectionError::Protocol("a packet before CONNACK"));
        }
        match packet {
            Packet::Publish(publish) => self.delivered(now, publish),
            Packet::PubRel(ack) => Ok(self.released(now, ack)),
            Packet::PubAck(ack) => self.completed(now, ack, Qos::AtLeastOnce),
            Packet::PubRec(ack) => self.recorded(now, ack),
            Packet::PubComp(ack) => self.completed(now, ack, Qos::ExactlyOnce),
            Packet::SubAck(codes) => self.subscribed(codes),
            Packet::UnsubAck(_) => Ok(vec![]),
            Packet::PingResp => Ok(self.ping_answered(now)),
            Packet::Disconnect(reason) => Err(ConnectionError::Disconnected(reason.code)),
            _ => Err(ConnectionError::Protocol(
                "a packet type that servers must not send",
            )),
        }
    }

    fn connected(&mut self, now: f64, ack: &ConnAck) -> Result<Vec<Event>, ConnectionError> {
        if ack.code != 0 {
            return Err(ConnectionError::Refused(ack.code));
        }
        if ack.session_present && self.options.session_expiry == 0 {
            return Err(ConnectionError::Protocol(
                "a session present after a clean start",
            ));
        }
        self.apply_server_limits(&ack.properties);
        self.state = ConnectionState::Connected;
        if !ack.session_present {
            // The server has lost the session state. Messages that it did not record are sent as new messages with the
            // same identifier and token. It may have forwarded those that it had recorded.
            self.received.clear();
            self.outgoing
                .values_mut()
                .for_each(|message| message.sent_before = false);
        }
        self.unsent = self.send_order.clone();
        self.in_flight = 0;
        self.outgoing
            .values_mut()
            .for_each(|message| message.sent = false);
        if !ack.session_present && !self.options.subscriptions.is_empty() {
            self.subscribe(now)?;
        }
        if self.options.requests_confirmation {
            self.send_ping(now, true);
        }
        self.send_queued(now);
        Ok(vec![Event::Connected {
            session_present: ack.session_present,
        }])
    }

    fn apply_server_limits(&mut self, properties: &Properties) {
        self.server_receive_maximum = DEFAULT_RECEIVE_MAXIMUM;
        self.server_max_packet_size = usize::MAX;
        self.keep_alive = f64::from(self.options.keep_alive);
        for property in properties {
            match property {
                Property::ReceiveMaximum(value) => self.server_receive_maximum = *value,
                Property::MaximumPacketSize(value) => self.server_max_packet_size = *value as usize,
                Property::ServerKeepAlive(value) => self.keep_alive = f64::from(*value),
                Property::AssignedClientId(id) => self.options.client_id = id.clone(),
                _ => {}
            }
        }
    }

    fn subscribe(&mut self, now: f64) -> Result<(), ConnectionError> {
        let Some(id) = self.unused_id() else {
            return Err(ConnectionError::Protocol("no free packet identifier"));
        };
        self.pending_subscribe = Some(PendingSubscribe { id, sent_at: now });
        let subscribe = Subscribe {
            id,
            properties: vec![],
            filters: self.options.subscriptions.clone(),
        };
        self.send(now, Packet::Subscribe(subscribe));
        Ok(())
    }

    fn subscribed(&mut self, codes: Codes) -> Result<Vec<Event>, ConnectionError> {
        if self
            .pending_subscribe
            .take_if(|pending_subscribe| pending_subscribe.id == codes.id)
            .is_none()
        {
            return Err(ConnectionError::Protocol("a SUBACK without a SUBSCRIBE"));
        }
        if codes.codes.len() != self.options.subscriptions.len() {
            return Err(ConnectionError::Protocol(
                "a SUBACK with a wrong number of reason codes",
            ));
        }
        let subscriptions = self.options.subscriptions.iter().zip(&codes.codes);
        let refused = subscriptions
            .filter(|(_, code)| **code >= reason_code::FAILURE)
            .map(|(subscription, code)| (subscription.filter.clone(), *code))
            .collect();
        Ok(vec![Event::Subscribed { refused }])
    }
}
