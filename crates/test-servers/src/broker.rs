//! An MQTT broker, 3.1.1 and 5, as far as front ends and controllers need one: sessions, shared subscriptions, all
//! three QoS, windows, expiry, retained messages, wills. The broker itself is a value; `Served` has it on sockets. It
//! keeps its state for as long as it lives, and does wrong where the script says so.

use crate::Stage;
use bytes::{Bytes, BytesMut};
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use orchidtally_mqtt::packet::*;
use orchidtally_mqtt::{Filter, decode, encode};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// What a client of version 3.1.1, which can't say, is given at a time.
const WINDOW: u16 = 20;
const LONGEST: usize = 1_048_576;

#[derive(Clone, Debug)]
pub struct Message {
    pub topic: String,
    pub payload: Bytes,
    pub qos: Qos,
    pub retain: bool,
    pub properties: Properties,
    /// When it expires, on the host's clock.
    pub until: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Given {
    Sent,
    /// PUBREC has come.
    Recorded,
}

#[derive(Debug, Default)]
struct Kept {
    connection: Option<u64>,
    filters: Vec<(Filter, Qos)>,
    queue: VecDeque<Message>,
    out: BTreeMap<u16, (Message, Given)>,
    /// In the order in which they were given.
    order: VecDeque<u16>,
    next_id: u16,
    /// QoS 2 messages that the client has not released yet.
    incoming: BTreeSet<u16>,
    until: f64,
}

#[derive(Debug)]
struct Connection {
    client: String,
    version: Version,
    window: u16,
    expiry: f64,
    will: Option<Will>,
}

#[derive(Debug, PartialEq)]
pub enum Out {
    Send(u64, Packet),
    Close(u64),
}

/// What it does wrong.
#[derive(Debug, Default)]
pub struct Wrongs {
    /// CONNECTs that are refused with these codes, one after the other.
    pub refuses: VecDeque<u8>,
    /// What was not acknowledged is given again in reverse.
    pub reorders: bool,
    /// QoS 1 messages of a lost connection go to others of the group, without a word that they were given before.
    pub hands_over: bool,
    /// One in so many messages of a group is given to two.
    pub gives_twice: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Broker {
    sessions: BTreeMap<String, Kept>,
    connections: BTreeMap<u64, Connection>,
    /// Messages of shared subscriptions, by group and filter, that nobody has been given.
    shared: BTreeMap<(String, String), VecDeque<Message>>,
    retained: BTreeMap<String, Message>,
    pub wrongs: Wrongs,
    given: u64,
    turn: u64,
    /// What was published by clients.
    pub published: Vec<Message>,
}

fn expiry(properties: &Properties, now: f64) -> f64 {
    let seconds = properties.iter().find_map(|p| match p {
        Property::MessageExpiry(s) => Some(f64::from(*s)),
        _ => None,
    });
    seconds.map_or(f64::INFINITY, |s| now + s)
}

impl Broker {
    /// Messages that nobody has been given.
    pub fn waiting(&self) -> usize {
        self.shared.values().map(VecDeque::len).sum::<usize>()
            + self.sessions.values().map(|k| k.queue.len()).sum::<usize>()
    }

    /// Messages that were given and are not acknowledged.
    pub fn given(&self) -> usize {
        self.sessions.values().map(|k| k.out.len()).sum()
    }

    /// Forgets what it knows of a client, as after a loss of its state.
    pub fn forget(&mut self, client: &str) {
        self.sessions.remove(client);
    }

    /// A message by way of no client.
    pub fn publish(&mut self, now: f64, message: Message) -> Vec<Out> {
        let mut out = vec![];
        self.route(message);
        self.pump(now, &mut out);
        out
    }

    fn route(&mut self, message: Message) {
        if message.retain {
            if message.payload.is_empty() {
                self.retained.remove(&message.topic);
            } else {
                self.retained.insert(message.topic.clone(), message.clone());
            }
        }
        let live = Message { retain: false, ..message };
        let mut groups: BTreeMap<(String, String), Qos> = BTreeMap::new();
        for kept in self.sessions.values_mut() {
            let matching = kept.filters.iter().filter(|f| f.0.matches(&live.topic));
            let plain = matching.clone().filter(|f| f.0.group().is_none()).map(|f| f.1).max();
            for (filter, qos) in matching {
                if let Some(group) = filter.group() {
                    groups.insert((group.to_owned(), filter.as_str().to_owned()), *qos);
                }
            }
            if let Some(qos) = plain {
                kept.queue.push_back(Message { qos: qos.min(live.qos), ..live.clone() });
            }
        }
        for (group, qos) in groups {
            let queue = self.shared.entry(group).or_default();
            let message = Message { qos: qos.min(live.qos), ..live.clone() };
            self.given += 1;
            if self.wrongs.gives_twice.is_some_and(|n| self.given.is_multiple_of(n)) {
                queue.push_back(message.clone());
            }
            queue.push_back(message);
        }
    }

    /// Gives what waits to those who have room.
    fn pump(&mut self, now: f64, out: &mut Vec<Out>) {
        loop {
            let mut gave = false;
            let connected: Vec<u64> = self.connections.keys().copied().collect();
            self.turn += 1;
            for k in 0..connected.len() {
                let number = connected[(k + self.turn as usize) % connected.len()];
                let Some(c) = self.connections.get(&number) else { continue };
                let Some(kept) = self.sessions.get_mut(&c.client) else { continue };
                if kept.connection != Some(number) || kept.out.len() >= usize::from(c.window) {
                    continue;
                }
                let mut next = kept.queue.pop_front();
                for (filter, _) in &kept.filters {
                    let Some(group) = filter.group().filter(|_| next.is_none()) else { continue };
                    let key = (group.to_owned(), filter.as_str().to_owned());
                    next = self.shared.get_mut(&key).and_then(VecDeque::pop_front);
                }
                let Some(message) = next else { continue };
                gave = true;
                if message.until <= now {
                    continue;
                }
                let id = if message.qos == Qos::AtMostOnce { 0 } else { kept.fresh_id() };
                out.push(Out::Send(number, publish(&message, id, false, now, c.version)));
                if id != 0 {
                    kept.out.insert(id, (message, Given::Sent));
                    kept.order.push_back(id);
                }
            }
            if !gave {
                return;
            }
        }
    }

    /// A connection has ended, in order or not.
    pub fn lost(&mut self, now: f64, number: u64, in_order: bool) -> Vec<Out> {
        let mut out = vec![];
        let Some(c) = self.connections.remove(&number) else { return out };
        if let Some(kept) = self.sessions.get_mut(&c.client).filter(|k| k.connection == Some(number)) {
            kept.connection = None;
            kept.until = now + c.expiry;
            if self.wrongs.hands_over {
                let ids: Vec<u16> =
                    kept.order.iter().copied().filter(|id| kept.out[id].0.qos == Qos::AtLeastOnce).collect();
                for id in ids.into_iter().rev() {
                    let Some((message, _)) = kept.out.remove(&id) else { continue };
                    kept.order.retain(|&i| i != id);
                    let of =
                        kept.filters.iter().find(|f| f.0.matches(&message.topic) && f.0.group().is_some());
                    if let Some((filter, _)) = of {
                        let key = (filter.group().unwrap_or_default().to_owned(), filter.as_str().to_owned());
                        self.shared.entry(key).or_default().push_front(message);
                    }
                }
            }
            if c.expiry == 0.0 {
                self.sessions.remove(&c.client);
            }
        }
        if let Some(will) = c.will.filter(|_| !in_order) {
            let Will { topic, payload, qos, retain, properties } = will;
            self.route(Message { topic, payload, qos, retain, properties, until: f64::INFINITY });
        }
        self.pump(now, &mut out);
        out
    }

    fn connect(&mut self, now: f64, number: u64, version: Version, connect: Connect, out: &mut Vec<Out>) {
        let refused = self.wrongs.refuses.pop_front();
        if let Some(code) = refused {
            out.push(Out::Send(number, Packet::ConnAck(ConnAck { code, ..ConnAck::default() })));
            out.push(Out::Close(number));
            return;
        }
        let stale: Vec<String> = self
            .sessions
            .iter()
            .filter(|(_, k)| k.connection.is_none() && k.until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        stale.iter().for_each(|name| self.forget(name));
        let before = self.sessions.get(&connect.client_id).and_then(|k| k.connection);
        if let Some(before) = before {
            // A client that connects again takes its session over.
            out.extend(self.lost(now, before, true));
            out.push(Out::Close(before));
        }
        if connect.clean {
            self.forget(&connect.client_id);
        }
        let (mut window, mut expiry) = (WINDOW, if connect.clean { 0.0 } else { f64::INFINITY });
        if version == Version::V5 {
            (window, expiry) = (u16::MAX, 0.0);
        }
        for property in &connect.properties {
            match property {
                Property::ReceiveMaximum(n) => window = *n,
                Property::SessionExpiry(s) => expiry = f64::from(*s),
                _ => {}
            }
        }
        let session_present = self.sessions.contains_key(&connect.client_id);
        let kept = self.sessions.entry(connect.client_id.clone()).or_default();
        kept.connection = Some(number);
        out.push(Out::Send(number, Packet::ConnAck(ConnAck { session_present, ..ConnAck::default() })));
        let mut again: Vec<u16> = kept.order.iter().copied().collect();
        if self.wrongs.reorders {
            again.reverse();
        }
        for id in again {
            let Some((message, given)) = kept.out.get(&id) else { continue };
            let packet = match given {
                Given::Sent => publish(message, id, true, now, version),
                Given::Recorded => Packet::PubRel(Ack { id, ..Ack::default() }),
            };
            out.push(Out::Send(number, packet));
        }
        let client = connect.client_id;
        self.connections.insert(number, Connection { client, version, window, expiry, will: connect.will });
        self.pump(now, out);
    }

    /// A packet from a connection; the first has to be CONNECT.
    pub fn received(&mut self, now: f64, number: u64, version: Version, packet: Packet) -> Vec<Out> {
        let mut out = vec![];
        if let Packet::Connect(connect) = packet {
            if self.connections.contains_key(&number) {
                return vec![Out::Close(number)];
            }
            self.connect(now, number, version, connect, &mut out);
            return out;
        }
        let Some(c) = self.connections.get(&number) else { return vec![Out::Close(number)] };
        let Some(kept) = self.sessions.get_mut(&c.client) else { return vec![Out::Close(number)] };
        let mut send = |packet| out.push(Out::Send(number, packet));
        match packet {
            Packet::Publish(p) => {
                let ack = Ack { id: p.id, ..Ack::default() };
                let is_new = match p.qos {
                    Qos::AtMostOnce => true,
                    Qos::AtLeastOnce => {
                        send(Packet::PubAck(ack));
                        true
                    }
                    Qos::ExactlyOnce => {
                        send(Packet::PubRec(ack));
                        kept.incoming.insert(p.id)
                    }
                };
                if is_new {
                    let until = expiry(&p.properties, now);
                    let Publish { topic, payload, qos, retain, properties, .. } = p;
                    let message = Message { topic, payload, qos, retain, properties, until };
                    self.published.push(message.clone());
                    self.route(message);
                }
            }
            Packet::PubRel(a) => {
                let known = kept.incoming.remove(&a.id);
                let code = if known || version == Version::V311 { 0 } else { 0x92 };
                send(Packet::PubComp(Ack { id: a.id, code, properties: vec![] }));
            }
            Packet::PubRec(a) if a.code < 0x80 => {
                if let Some(given) = kept.out.get_mut(&a.id) {
                    given.1 = Given::Recorded;
                }
                send(Packet::PubRel(Ack { id: a.id, ..Ack::default() }));
            }
            Packet::PubAck(a) | Packet::PubComp(a) | Packet::PubRec(a) => {
                kept.out.remove(&a.id);
                kept.order.retain(|&id| id != a.id);
            }
            Packet::Subscribe(s) => {
                let mut codes = vec![];
                for subscription in s.filters {
                    let Ok(filter) = Filter::parse(&subscription.filter) else {
                        codes.push(0x80);
                        continue;
                    };
                    codes.push(subscription.qos.bits());
                    kept.filters.retain(|f| f.0 != filter);
                    if filter.group().is_none() && subscription.retain_handling < 2 {
                        let fits = self.retained.values().filter(|m| filter.matches(&m.topic));
                        kept.queue.extend(fits.cloned());
                    }
                    kept.filters.push((filter, subscription.qos));
                }
                send(Packet::SubAck(Codes { id: s.id, properties: vec![], codes }));
            }
            Packet::Unsubscribe(u) => {
                kept.filters.retain(|f| !u.filters.iter().any(|t| t == f.0.as_str()));
                let codes = if version == Version::V5 { vec![0; u.filters.len()] } else { vec![] };
                send(Packet::UnsubAck(Codes { id: u.id, properties: vec![], codes }));
            }
            Packet::PingReq => send(Packet::PingResp),
            Packet::Disconnect(_) => {
                out.extend(self.lost(now, number, true));
                out.push(Out::Close(number));
                return out;
            }
            _ => return vec![Out::Close(number)],
        }
        self.pump(now, &mut out);
        out
    }
}

impl Kept {
    fn fresh_id(&mut self) -> u16 {
        loop {
            self.next_id = self.next_id.checked_add(1).unwrap_or(1);
            if !self.out.contains_key(&self.next_id) {
                return self.next_id;
            }
        }
    }
}

fn publish(message: &Message, id: u16, dup: bool, now: f64, version: Version) -> Packet {
    let mut properties = if version == Version::V5 { message.properties.clone() } else { vec![] };
    for property in &mut properties {
        if let Property::MessageExpiry(left) = property {
            *left = (message.until - now).ceil().max(1.0) as u32;
        }
    }
    let (topic, payload) = (message.topic.clone(), message.payload.clone());
    Packet::Publish(Publish { dup, qos: message.qos, retain: message.retain, topic, id, properties, payload })
}

/// Any stream, plain or encrypted.
pub trait Wire: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Wire for T {}

/// Puts a stream that was accepted into another, as TLS does; none where that fails.
pub type Wrap =
    Rc<dyn Fn(orchidtally_net::Stream) -> futures_lite::future::BoxedLocal<Option<Box<dyn Wire>>>>;

/// A broker on sockets, with faults of its network.
pub struct Served {
    stage: Stage,
    pub address: SocketAddr,
    pub broker: RefCell<Broker>,
    writers: RefCell<BTreeMap<u64, async_channel::Sender<Option<Bytes>>>>,
    numbers: Cell<u64>,
    wrap: Option<Wrap>,
    /// Nothing is read or said until then.
    pub silent: crate::Until,
    /// Each packet waits so long.
    pub slow: Cell<f64>,
    /// A connection is broken with each so-manieth packet of all.
    pub breaks_every: Cell<u64>,
    /// The next connection gets bytes that are no packet.
    pub malformed: Cell<bool>,
    packets: Cell<u64>,
    listening: RefCell<Option<async_executor::Task<()>>>,
}

impl Served {
    pub fn start(stage: &Stage, at: SocketAddr, wrap: Option<Wrap>) -> std::io::Result<Rc<Served>> {
        let listener = orchidtally_net::listen(at)?;
        let served = Rc::new(Served {
            stage: stage.clone(),
            address: listener.get_ref().local_addr()?,
            broker: RefCell::default(),
            writers: RefCell::default(),
            numbers: Cell::new(0),
            wrap,
            silent: crate::Until::default(),
            slow: Cell::new(0.0),
            breaks_every: Cell::new(0),
            malformed: Cell::new(false),
            packets: Cell::new(0),
            listening: RefCell::default(),
        });
        served.listen(listener);
        Ok(served)
    }

    fn listen(self: &Rc<Self>, listener: async_io::Async<std::net::TcpListener>) {
        let me = self.clone();
        let accept = async move {
            loop {
                let stream = orchidtally_net::accept(&listener).await;
                me.stage.spawn(me.clone().connection(stream)).detach();
            }
        };
        *self.listening.borrow_mut() = Some(self.stage.spawn(accept));
    }

    /// It goes down and comes up again after some time, with its state or without.
    pub async fn restart(self: &Rc<Self>, after: f64, keeps_state: bool) -> std::io::Result<()> {
        *self.listening.borrow_mut() = None;
        self.break_all();
        if !keeps_state {
            *self.broker.borrow_mut() = Broker::default();
        }
        self.stage.sleep(after).await;
        let until = self.stage.now() + 2.0;
        loop {
            match orchidtally_net::listen(self.address) {
                Ok(listener) => {
                    self.listen(listener);
                    return Ok(());
                }
                Err(e) if self.stage.now() > until => return Err(e),
                Err(_) => self.stage.sleep(0.02).await,
            }
        }
    }

    /// Connections that it has taken so far.
    pub fn accepted(&self) -> u64 {
        self.numbers.get()
    }

    /// Breaks all connections off.
    pub fn break_all(&self) {
        let numbers: Vec<u64> = self.writers.borrow().keys().copied().collect();
        numbers.into_iter().for_each(|n| self.close(n));
    }

    fn close(&self, number: u64) {
        if let Some(writer) = self.writers.borrow_mut().remove(&number) {
            // A full channel belongs to a connection that is not read from: it ends with its writer's patience.
            let _ = writer.try_send(None);
        }
        let out = self.broker.borrow_mut().lost(self.stage.now(), number, false);
        self.perform(out);
    }

    /// A message by way of no client.
    pub fn publish(&self, message: Message) {
        let out = self.broker.borrow_mut().publish(self.stage.now(), message);
        self.perform(out);
    }

    fn perform(&self, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Send(number, packet) => {
                    let version =
                        self.broker.borrow().connections.get(&number).map_or(Version::V5, |c| c.version);
                    let Ok(bytes) = encode(&packet, version) else { continue };
                    let writers = self.writers.borrow();
                    if let Some(writer) = writers.get(&number) {
                        let _ = writer.try_send(Some(bytes));
                    }
                }
                Out::Close(number) => self.close(number),
            }
        }
    }

    /// Whether a connection breaks with this packet.
    fn breaks(&self) -> bool {
        self.packets.set(self.packets.get() + 1);
        let every = self.breaks_every.get();
        every > 0 && self.packets.get().is_multiple_of(every)
    }

    async fn connection(self: Rc<Self>, stream: orchidtally_net::Stream) {
        let breaker = stream.breaker();
        let stream: Box<dyn Wire> = match &self.wrap {
            Some(wrap) => match wrap(stream).await {
                Some(stream) => stream,
                None => return,
            },
            None => Box::new(stream),
        };
        let number = self.numbers.get() + 1;
        self.numbers.set(number);
        let (writer, packets) = async_channel::bounded::<Option<Bytes>>(100_000);
        let (mut reading, mut writing) = futures_lite::io::split(stream);
        if self.malformed.replace(false) {
            let _ = writer.try_send(Some(Bytes::from_static(&[0x00, 0xff, 0xff, 0xff, 0xff, 0xff])));
        }
        self.writers.borrow_mut().insert(number, writer);
        let me = self.clone();
        let write = async move {
            while let Ok(Some(bytes)) = packets.recv().await {
                me.stage.sleep(me.silent.ends() - me.stage.now()).await;
                me.stage.sleep(me.slow.get()).await;
                if me.breaks() || writing.write_all(&bytes).await.is_err() {
                    break;
                }
            }
            if let Some(socket) = breaker {
                orchidtally_net::break_on_close(&socket);
                let _ = socket.shutdown(std::net::Shutdown::Both);
            }
        };
        let writing = self.stage.spawn(write);
        let mut buffer = BytesMut::new();
        let mut version = Version::V5;
        let mut bytes = vec![0; 16 * 1024];
        'read: loop {
            match reading.read(&mut bytes).await {
                Ok(0) | Err(_) => break,
                Ok(n) => buffer.extend_from_slice(&bytes[..n]),
            }
            loop {
                match decode(&mut buffer, version, LONGEST) {
                    Ok(Some((spoken, packet))) => {
                        self.stage.sleep(self.silent.ends() - self.stage.now()).await;
                        if self.breaks() || !self.writers.borrow().contains_key(&number) {
                            break 'read;
                        }
                        version = spoken;
                        let out =
                            self.broker.borrow_mut().received(self.stage.now(), number, version, packet);
                        self.perform(out);
                    }
                    Ok(None) => break,
                    Err(_) => break 'read,
                }
            }
        }
        self.close(number);
        writing.await;
    }
}
