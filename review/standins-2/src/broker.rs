//! An MQTT broker for versions 3.1.1 and 5: persistent sessions with their subscriptions, shared subscriptions with one
//! member, QoS 2 both ways. It keeps what it has taken for a session until the client has completed the exchange, and
//! gives again what is open when the client comes back. It honours the receive maximum of version 5; version 3.1.1 has
//! none.

use crate::{Record, lock};
use bytes::{Bytes, BytesMut};
use orchidtally_mqtt::packet::*;
use orchidtally_mqtt::{Filter, decode, encode};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The largest packet that a broker without a limit of its own reads, in bytes.
const MAX_PACKET: usize = 64 << 20;
/// The reason code of a DISCONNECT after a packet that is longer than the broker's limit (MQTT 5, "Maximum Packet Size").
const PACKET_TOO_LARGE: u8 = 0x95;

/// The settings of a broker.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub version: Version,
    /// The largest packet that it takes, in bytes, which CONNACK states; version 5 only.
    pub max_packet: Option<u32>,
    /// How long it takes to record a publication, before PUBREC.
    pub recording: Duration,
}

impl Settings {
    /// No limit, and no delay.
    pub fn plain(version: Version) -> Settings {
        Settings {
            version,
            max_packet: None,
            recording: Duration::ZERO,
        }
    }
}

/// A message for a client.
#[derive(Clone, Debug)]
pub struct Message {
    pub topic: String,
    pub payload: Vec<u8>,
    /// The response topic; version 5 only.
    pub response_topic: Option<String>,
    /// The user property `idempotency-key`; version 5 only.
    pub token: Option<String>,
}

/// An exchange with a client that is not completed.
#[derive(Clone, Debug)]
enum Open {
    /// PUBLISH was sent.
    Published(Message),
    /// PUBREC has come.
    Released,
}

/// What a client's session holds. It outlives connections.
#[derive(Default)]
struct Session {
    filters: Vec<(String, Filter)>,
    queued: VecDeque<Message>,
    open: BTreeMap<u16, Open>,
    last_id: u16,
    /// Packet identifiers of the client's publications that are not released.
    incoming: BTreeSet<u16>,
    receive_maximum: usize,
}

/// An answer that a client has published.
#[derive(Clone, Debug)]
pub struct Answer {
    pub topic: String,
    pub payload: Vec<u8>,
    pub outcome: Option<String>,
}

#[derive(Default)]
struct State {
    sessions: BTreeMap<String, Session>,
    connection: Option<(u64, TcpStream)>,
    connections: u64,
    answers: Vec<Answer>,
    refused: usize,
    subscribes: Vec<Vec<String>>,
    present: Vec<bool>,
    unmatched: usize,
}

/// A broker on a loopback address.
pub struct Broker {
    pub address: SocketAddr,
    version: Version,
    state: Arc<Mutex<State>>,
    record: Arc<Record>,
}

fn ack(id: u16) -> Ack {
    Ack {
        id,
        ..Ack::default()
    }
}

fn send(stream: &mut TcpStream, packet: &Packet, version: Version) {
    if let Ok(bytes) = encode(packet, version) {
        let _ = stream.write_all(&bytes);
    }
}

impl Session {
    fn unused_id(&mut self) -> u16 {
        loop {
            self.last_id = if self.last_id == u16::MAX {
                1
            } else {
                self.last_id + 1
            };
            if !self.open.contains_key(&self.last_id) {
                return self.last_id;
            }
        }
    }

    /// Sends queued messages as far as the client's receive maximum allows.
    fn deliver(&mut self, stream: &mut TcpStream, version: Version) {
        while self.open.len() < self.receive_maximum
            && let Some(message) = self.queued.pop_front()
        {
            let id = self.unused_id();
            send(stream, &publish(&message, id, false, version), version);
            self.open.insert(id, Open::Published(message));
        }
    }
}

fn publish(message: &Message, id: u16, dup: bool, version: Version) -> Packet {
    let topic = message.response_topic.clone().map(Property::ResponseTopic);
    let token = message
        .token
        .clone()
        .map(|token| Property::User("idempotency-key".into(), token));
    let properties = topic
        .into_iter()
        .chain(token)
        .filter(|_| version == Version::V5);
    Packet::Publish(Publish {
        dup,
        qos: Qos::ExactlyOnce,
        topic: message.topic.clone(),
        id,
        properties: properties.collect(),
        payload: Bytes::copy_from_slice(&message.payload),
        ..Publish::default()
    })
}

impl Broker {
    /// Starts a broker.
    pub fn start(settings: Settings, record: &Arc<Record>) -> Broker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let state: Arc<Mutex<State>> = Arc::default();
        let (shared, log) = (state.clone(), record.clone());
        std::thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let (shared, log) = (shared.clone(), log.clone());
                std::thread::spawn(move || serve(connection, settings, &shared, &log));
            }
        });
        Broker {
            address,
            version: settings.version,
            state,
            record: record.clone(),
        }
    }

    /// Takes a message of a publisher: it goes to each session with a subscription that matches. Returns how many.
    pub fn publish(&self, message: &Message) -> usize {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let mut taken = 0;
        for session in state.sessions.values_mut() {
            let matches = session
                .filters
                .iter()
                .any(|(_, filter)| filter.matches(&message.topic));
            if matches {
                taken += 1;
                session.queued.push_back(message.clone());
                if let Some((_, stream)) = &mut state.connection {
                    session.deliver(stream, self.version);
                }
            }
        }
        state.unmatched += usize::from(taken == 0);
        taken
    }

    /// How many packets were longer than the broker's limit.
    pub fn refused(&self) -> usize {
        lock(&self.state).refused
    }

    /// Answers that clients have published so far.
    pub fn answers(&self) -> Vec<Answer> {
        lock(&self.state).answers.clone()
    }

    /// The filters of each SUBSCRIBE that came, in order.
    pub fn subscribes(&self) -> Vec<Vec<String>> {
        lock(&self.state).subscribes.clone()
    }

    /// For each CONNECT, whether the session was present.
    pub fn connects(&self) -> Vec<bool> {
        lock(&self.state).present.clone()
    }

    /// Ends the present connection, if there is one.
    pub fn end_connection(&self) {
        if let Some((_, stream)) = &lock(&self.state).connection {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line("broker: ends the connection");
    }
}

fn serve(mut stream: TcpStream, settings: Settings, state: &Mutex<State>, record: &Record) {
    let version = settings.version;
    let limit = settings
        .max_packet
        .map_or(MAX_PACKET, |limit| limit as usize);
    let (mut buffer, mut bytes) = (BytesMut::new(), vec![0; 16 * 1024]);
    let _ = stream.set_nodelay(true);
    let mut client = None;
    let number = {
        let mut state = lock(state);
        state.connections += 1;
        state.connections
    };
    'connection: loop {
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&bytes[..n]),
            _ => break,
        }
        loop {
            match decode(&mut buffer, version, limit) {
                Ok(Some((_, packet))) => {
                    let mut state = lock(state);
                    handle(
                        &mut stream,
                        number,
                        packet,
                        settings,
                        &mut client,
                        &mut state,
                        record,
                    );
                }
                Ok(None) => break,
                Err(error) => {
                    record.line(format!(
                        "broker: DISCONNECT, a packet can't be taken: {error}"
                    ));
                    lock(state).refused += 1;
                    let reason = Reason {
                        code: PACKET_TOO_LARGE,
                        ..Reason::default()
                    };
                    if version == Version::V5 {
                        send(&mut stream, &Packet::Disconnect(reason), version);
                    }
                    let _ = stream.shutdown(Shutdown::Both);
                    break 'connection;
                }
            }
        }
    }
    record.line("broker: the connection has ended");
    let mut state = lock(state);
    if state
        .connection
        .as_ref()
        .is_some_and(|(current, _)| *current == number)
    {
        state.connection = None;
    }
}

fn handle(
    stream: &mut TcpStream,
    number: u64,
    packet: Packet,
    settings: Settings,
    client: &mut Option<String>,
    state: &mut State,
    record: &Record,
) {
    let version = settings.version;
    if let Packet::Connect(connect) = packet {
        *client = Some(connect.client_id.clone());
        return accept(stream, number, connect, settings, state, record);
    }
    let Some(session) = client
        .as_ref()
        .and_then(|name| state.sessions.get_mut(name))
    else {
        return;
    };
    match packet {
        Packet::Subscribe(subscribe) => {
            let filters: Vec<String> = subscribe.filters.iter().map(|f| f.filter.clone()).collect();
            record.line(format!("broker: SUBSCRIBE {filters:?}"));
            for text in &filters {
                session.filters.retain(|(known, _)| known != text);
                if let Ok(filter) = Filter::parse(text) {
                    session.filters.push((text.clone(), filter));
                }
            }
            let granted = Codes {
                id: subscribe.id,
                codes: vec![2; filters.len()],
                ..Codes::default()
            };
            send(stream, &Packet::SubAck(granted), version);
            state.subscribes.push(filters);
        }
        Packet::PingReq => send(stream, &Packet::PingResp, version),
        Packet::PubRec(got) => {
            if session.open.contains_key(&got.id) {
                session.open.insert(got.id, Open::Released);
            }
            send(stream, &Packet::PubRel(ack(got.id)), version);
        }
        Packet::PubComp(got) => {
            session.open.remove(&got.id);
            session.deliver(stream, version);
        }
        Packet::Publish(publish) => {
            let outcome = publish
                .properties
                .iter()
                .find_map(|property| match property {
                    Property::User(name, value) if name == "orchidtally-outcome" => {
                        Some(value.clone())
                    }
                    _ => None,
                });
            if session.incoming.insert(publish.id) {
                state.answers.push(Answer {
                    topic: publish.topic,
                    payload: publish.payload.to_vec(),
                    outcome,
                });
            }
            let recorded = Packet::PubRec(ack(publish.id));
            if let (Ok(mut copy), false) = (stream.try_clone(), settings.recording.is_zero()) {
                std::thread::spawn(move || {
                    std::thread::sleep(settings.recording);
                    send(&mut copy, &recorded, version);
                });
            } else {
                send(stream, &recorded, version);
            }
        }
        Packet::PubRel(got) => {
            session.incoming.remove(&got.id);
            send(stream, &Packet::PubComp(ack(got.id)), version);
        }
        _ => {}
    }
}

fn accept(
    stream: &mut TcpStream,
    number: u64,
    connect: Connect,
    settings: Settings,
    state: &mut State,
    record: &Record,
) {
    let version = settings.version;
    if connect.clean {
        state.sessions.remove(&connect.client_id);
    }
    let session_present = state.sessions.contains_key(&connect.client_id);
    record.line(format!(
        "broker: CONNECT of {}, session present: {session_present}",
        connect.client_id
    ));
    state.present.push(session_present);
    let session = state.sessions.entry(connect.client_id).or_default();
    // Version 3.1.1 has no receive maximum: what bounds unacknowledged messages there is the packet identifier.
    session.receive_maximum = connect
        .properties
        .iter()
        .find_map(|property| match property {
            Property::ReceiveMaximum(value) => Some(usize::from(*value)),
            _ => None,
        })
        .unwrap_or(usize::from(u16::MAX));
    let limit = settings.max_packet.map(Property::MaximumPacketSize);
    let accepted = ConnAck {
        session_present,
        properties: limit.into_iter().collect(),
        ..ConnAck::default()
    };
    send(stream, &Packet::ConnAck(accepted), version);
    for (&id, open) in &session.open {
        let packet = match open {
            Open::Published(message) => publish(message, id, true, version),
            Open::Released => Packet::PubRel(ack(id)),
        };
        send(stream, &packet, version);
    }
    session.deliver(stream, version);
    if let Ok(copy) = stream.try_clone() {
        state.connection = Some((number, copy));
    }
}
