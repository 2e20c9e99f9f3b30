//! Handles the packets that clients send.

use super::{Action, Broker, Connection, Message};
use orchidtally_mqtt::Filter;
use orchidtally_mqtt::packet::*;

/// The receive maximum of version 3.1.1 clients; that version has no property to set it.
const DEFAULT_RECEIVE_MAXIMUM: u16 = 20;

/// The session parameters of a CONNECT packet.
struct SessionRequest {
    receive_maximum: u16,
    /// Seconds for which the session is kept without a connection.
    expiry: f64,
}

impl SessionRequest {
    fn of(version: Version, connect: &Connect) -> SessionRequest {
        let mut request = match version {
            Version::V5 => SessionRequest {
                receive_maximum: u16::MAX,
                expiry: 0.0,
            },
            Version::V311 => SessionRequest {
                receive_maximum: DEFAULT_RECEIVE_MAXIMUM,
                expiry: if connect.clean { 0.0 } else { f64::INFINITY },
            },
        };
        for property in &connect.properties {
            match property {
                Property::ReceiveMaximum(value) => request.receive_maximum = *value,
                Property::SessionExpiry(seconds) => request.expiry = f64::from(*seconds),
                _ => {}
            }
        }
        request
    }
}

fn expires_at(properties: &Properties, now: f64) -> f64 {
    let expiry = properties.iter().find_map(|property| match property {
        Property::MessageExpiry(seconds) => Some(f64::from(*seconds)),
        _ => None,
    });
    expiry.map_or(f64::INFINITY, |seconds| now + seconds)
}

impl Broker {
    /// Handles a packet from a connection. The first packet has to be CONNECT; any other closes the connection.
    pub fn handle_packet(
        &mut self,
        now: f64,
        number: u64,
        version: Version,
        packet: Packet,
    ) -> Vec<Action> {
        if let Packet::Connect(connect) = packet {
            if self.connections.contains_key(&number) {
                return vec![Action::Close(number)];
            }
            return self.connect(now, number, version, connect);
        }
        if let Packet::Disconnect(_) = packet
            && self.has_session(number)
        {
            let mut actions = self.connection_closed(now, number, true);
            actions.push(Action::Close(number));
            return actions;
        }
        let Some(answers) = self.answer(now, number, version, packet) else {
            return vec![Action::Close(number)];
        };
        let mut actions: Vec<Action> = answers
            .into_iter()
            .map(|answer| Action::Send(number, answer))
            .collect();
        self.deliver(now, &mut actions);
        actions
    }

    fn has_session(&self, number: u64) -> bool {
        self.connections
            .get(&number)
            .is_some_and(|connection| self.sessions.contains_key(&connection.client))
    }

    fn connect(
        &mut self,
        now: f64,
        number: u64,
        version: Version,
        connect: Connect,
    ) -> Vec<Action> {
        if let Some(code) = self.faults.connect_refusals.pop_front() {
            let refusal = Packet::ConnAck(ConnAck {
                code,
                ..ConnAck::default()
            });
            return vec![Action::Send(number, refusal), Action::Close(number)];
        }
        self.sessions
            .retain(|_, session| session.connection.is_some() || session.expires_at > now);
        let mut actions = vec![];
        let before = self
            .sessions
            .get(&connect.client_id)
            .and_then(|session| session.connection);
        if let Some(before) = before {
            // The new connection takes over the client's session, and the old one is closed.
            actions.extend(self.connection_closed(now, before, true));
            actions.push(Action::Close(before));
        }
        if connect.clean {
            self.remove_session(&connect.client_id);
        }
        let request = SessionRequest::of(version, &connect);
        let session_present = self.sessions.contains_key(&connect.client_id);
        let session = self.sessions.entry(connect.client_id.clone()).or_default();
        session.connection = Some(number);
        let accepted = Packet::ConnAck(ConnAck {
            session_present,
            ..ConnAck::default()
        });
        actions.push(Action::Send(number, accepted));
        let repeated = session.redeliver(now, version, self.faults.reverses_redelivery);
        actions.extend(
            repeated
                .into_iter()
                .map(|packet| Action::Send(number, packet)),
        );
        let connection = Connection {
            client: connect.client_id,
            version,
            receive_maximum: request.receive_maximum,
            session_expiry: request.expiry,
            will: connect.will,
        };
        self.connections.insert(number, connection);
        self.deliver(now, &mut actions);
        actions
    }

    /// Returns the packets that answer a packet, or `None` if the connection has to be closed.
    fn answer(
        &mut self,
        now: f64,
        number: u64,
        version: Version,
        packet: Packet,
    ) -> Option<Vec<Packet>> {
        let client = &self.connections.get(&number)?.client;
        let session = self.sessions.get_mut(client)?;
        Some(match packet {
            Packet::Publish(publish) => {
                let ack = Ack {
                    id: publish.id,
                    ..Ack::default()
                };
                let (is_new, answers) = match publish.qos {
                    Qos::AtMostOnce => (true, vec![]),
                    Qos::AtLeastOnce => (true, vec![Packet::PubAck(ack)]),
                    Qos::ExactlyOnce => (
                        session.incoming.insert(publish.id),
                        vec![Packet::PubRec(ack)],
                    ),
                };
                if is_new {
                    self.accept_publish(now, publish);
                }
                answers
            }
            Packet::PubRel(pubrel) => {
                let is_known = session.incoming.remove(&pubrel.id) || version == Version::V311;
                let code = if is_known {
                    0
                } else {
                    reason_code::PACKET_IDENTIFIER_NOT_FOUND
                };
                vec![Packet::PubComp(Ack {
                    id: pubrel.id,
                    code,
                    properties: vec![],
                })]
            }
            Packet::PubRec(pubrec) if pubrec.code < reason_code::FAILURE => {
                session.pubrec_received(pubrec.id);
                vec![Packet::PubRel(Ack {
                    id: pubrec.id,
                    ..Ack::default()
                })]
            }
            Packet::PubAck(ack) | Packet::PubComp(ack) | Packet::PubRec(ack) => {
                session.complete(ack.id);
                vec![]
            }
            Packet::Subscribe(subscribe) => {
                let client = client.clone();
                vec![self.subscribe(&client, subscribe)?]
            }
            Packet::Unsubscribe(unsubscribe) => {
                let is_named =
                    |filter: &Filter| unsubscribe.filters.iter().any(|f| f == filter.as_str());
                session.filters.retain(|(filter, _)| !is_named(filter));
                let codes = if version == Version::V5 {
                    vec![0; unsubscribe.filters.len()]
                } else {
                    vec![]
                };
                vec![Packet::UnsubAck(Codes {
                    id: unsubscribe.id,
                    properties: vec![],
                    codes,
                })]
            }
            Packet::PingReq => vec![Packet::PingResp],
            _ => return None,
        })
    }

    /// Records and routes a message that a client has published.
    fn accept_publish(&mut self, now: f64, publish: Publish) {
        let expires_at = expires_at(&publish.properties, now);
        let Publish {
            topic,
            payload,
            qos,
            retain,
            properties,
            ..
        } = publish;
        let message = Message {
            topic,
            payload,
            qos,
            retain,
            properties,
            expires_at,
        };
        self.published.push(message.clone());
        self.route(message);
    }

    fn subscribe(&mut self, client: &str, subscribe: Subscribe) -> Option<Packet> {
        let session = self.sessions.get_mut(client)?;
        let mut codes = vec![];
        for subscription in subscribe.filters {
            let Ok(filter) = Filter::parse(&subscription.filter) else {
                codes.push(reason_code::FAILURE);
                continue;
            };
            codes.push(subscription.qos.bits());
            session.filters.retain(|(other, _)| *other != filter);
            if filter.group().is_none() && subscription.retain_handling < 2 {
                let matching = self
                    .retained
                    .values()
                    .filter(|message| filter.matches(&message.topic));
                session.queue.extend(matching.cloned());
            }
            session.filters.push((filter, subscription.qos));
        }
        Some(Packet::SubAck(Codes {
            id: subscribe.id,
            properties: vec![],
            codes,
        }))
    }
}
