//! Messages from the client to the server.

use super::{ConnectionError, Event, PublishRejected, Session};
use crate::packet::*;
use bytes::Bytes;

/// The maximum length in bytes of a PUBLISH without its topic, payload and properties.
const PUBLISH_OVERHEAD: usize = 16;

/// A published message that has no packet identifier yet.
#[derive(Clone, Debug)]
pub(super) struct QueuedPublish {
    token: u64,
    publish: Publish,
}

/// A QoS 1 or 2 message whose exchange with the server is not completed.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    token: u64,
    publish: Publish,
    /// Whether it was sent over this connection.
    pub(super) sent: bool,
    /// Whether it was sent before, so that the next PUBLISH has the DUP flag.
    pub(super) sent_before: bool,
    /// Whether the server has sent PUBREC.
    recorded: bool,
    /// Whether it is released: only PUBREL is sent from then on.
    released: bool,
    /// Whether the host decides when it is released.
    released_by_host: bool,
}

fn ack(id: u16, code: u8) -> Ack {
    Ack {
        id,
        code,
        properties: vec![],
    }
}

impl Session {
    /// Allocates an unused packet identifier; `None` if all are in use.
    pub(super) fn unused_id(&mut self) -> Option<u16> {
        for _ in 0..=u16::MAX {
            self.last_id = if self.last_id == u16::MAX {
                1
            } else {
                self.last_id + 1
            };
            let id = self.last_id;
            let in_use = self.outgoing.contains_key(&id)
                || self.reserved.contains(&id)
                || self
                    .pending_subscribe
                    .as_ref()
                    .is_some_and(|pending_subscribe| pending_subscribe.id == id);
            if !in_use {
                return Some(id);
            }
        }
        None
    }

    /// Reserves a packet identifier for `publish_with_id`. It is not used for anything else until the exchange of that
    /// message is completed. Returns `None` if all are in use.
    pub fn reserve_packet_id(&mut self) -> Option<u16> {
        let id = self.unused_id()?;
        self.reserved.insert(id);
        Some(id)
    }

    fn fits(&self, topic: &str, payload: &Bytes, properties: &Properties) -> bool {
        let length = |property: &Property| match property {
            Property::CorrelationData(data) => data.len() + 3,
            Property::User(name, value) => name.len() + value.len() + 5,
            Property::ResponseTopic(text) | Property::ContentType(text) => text.len() + 3,
            _ => 8,
        };
        let properties: usize = properties.iter().map(length).sum();
        topic.len() + payload.len() + properties + PUBLISH_OVERHEAD <= self.server_max_packet_size
    }

    fn supported(&self, properties: Properties) -> Properties {
        if self.options.version == Version::V5 {
            properties
        } else {
            vec![]
        }
    }

    /// Publishes a message. Returns the token with which `Event::Published` reports its result; there is no event with
    /// QoS 0.
    pub fn publish(
        &mut self,
        now: f64,
        topic: &str,
        payload: Bytes,
        qos: Qos,
        properties: Properties,
    ) -> Result<u64, PublishRejected> {
        let has_capacity = self.queued.len() < self.options.max_queued_publishes;
        if !has_capacity || !self.fits(topic, &payload, &properties) {
            return Err(PublishRejected);
        }
        self.last_token += 1;
        let token = self.last_token;
        let properties = self.supported(properties);
        let publish = Publish {
            qos,
            topic: topic.to_owned(),
            properties,
            payload,
            ..Publish::default()
        };
        self.queued.push_back(QueuedPublish { token, publish });
        self.send_queued(now);
        Ok(token)
    }

    /// Publishes a message with QoS 2 under a packet identifier from `reserve_packet_id`, which the host persists to
    /// continue the exchange after a crash. `is_republished` says that the message may have been sent before. After
    /// `Event::Recorded` the host calls `release`. Returns the token of the message.
    pub fn publish_with_id(
        &mut self,
        now: f64,
        id: u16,
        is_republished: bool,
        topic: &str,
        payload: Bytes,
        properties: Properties,
    ) -> Result<u64, PublishRejected> {
        if id == 0 || self.outgoing.contains_key(&id) || !self.fits(topic, &payload, &properties) {
            return Err(PublishRejected);
        }
        let properties = self.supported(properties);
        let topic = topic.to_owned();
        let publish = Publish {
            qos: Qos::ExactlyOnce,
            topic,
            id,
            properties,
            payload,
            ..Publish::default()
        };
        Ok(self.add_host_message(now, publish, is_republished, false))
    }

    /// Releases a recorded message of `publish_with_id` and returns its token. An unknown message was published before the
    /// process crashed; its PUBREL is sent again.
    pub fn release(&mut self, now: f64, id: u16) -> u64 {
        let Some(message) = self.outgoing.get_mut(&id) else {
            let publish = Publish {
                qos: Qos::ExactlyOnce,
                id,
                ..Publish::default()
            };
            return self.add_host_message(now, publish, true, true);
        };
        (message.recorded, message.released) = (true, true);
        let (token, sent) = (message.token, message.sent);
        if sent && self.is_connected() {
            self.send(now, Packet::PubRel(ack(id, 0)));
        }
        token
    }

    fn add_host_message(
        &mut self,
        now: f64,
        publish: Publish,
        sent_before: bool,
        released: bool,
    ) -> u64 {
        self.last_token += 1;
        let (token, id) = (self.last_token, publish.id);
        self.reserved.remove(&id);
        let message = Outgoing {
            token,
            publish,
            sent: false,
            sent_before,
            recorded: released,
            released,
            released_by_host: true,
        };
        self.outgoing.insert(id, message);
        self.send_order.push_back(id);
        self.unsent.push_back(id);
        self.send_queued(now);
        token
    }

    /// Sends unsent messages within the server's receive maximum, beginning with those that have a packet identifier.
    pub(super) fn send_queued(&mut self, now: f64) {
        while self.is_connected() && self.in_flight < usize::from(self.server_receive_maximum) {
            if let Some(id) = self.unsent.pop_front() {
                self.send_outgoing(now, id);
                continue;
            }
            let Some(QueuedPublish { token, mut publish }) = self.queued.pop_front() else {
                return;
            };
            if publish.qos == Qos::AtMostOnce {
                self.send(now, Packet::Publish(publish));
                continue;
            }
            let Some(id) = self.unused_id() else {
                self.queued.push_front(QueuedPublish { token, publish });
                return;
            };
            publish.id = id;
            let message = Outgoing {
                token,
                publish,
                sent: false,
                sent_before: false,
                recorded: false,
                released: false,
                released_by_host: false,
            };
            self.outgoing.insert(id, message);
            self.send_order.push_back(id);
            self.send_outgoing(now, id);
        }
    }

    fn send_outgoing(&mut self, now: f64, id: u16) {
        let Some(message) = self.outgoing.get_mut(&id).filter(|message| !message.sent) else {
            return;
        };
        message.sent = true;
        self.in_flight += 1;
        let packet = if message.released {
            Packet::PubRel(ack(id, 0))
        } else if message.recorded {
            // The host has not released the message yet.
            return;
        } else {
            let dup = std::mem::replace(&mut message.sent_before, true);
            Packet::Publish(Publish {
                dup,
                ..message.publish.clone()
            })
        };
        self.send(now, packet);
    }

    /// Handles a PUBREC.
    pub(super) fn recorded(
        &mut self,
        now: f64,
        pubrec: Ack,
    ) -> Result<Vec<Event>, ConnectionError> {
        let Some(message) = self.outgoing.get_mut(&pubrec.id) else {
            let code = match self.options.version {
                Version::V311 => 0,
                Version::V5 => reason_code::PACKET_IDENTIFIER_NOT_FOUND,
            };
            self.send(now, Packet::PubRel(ack(pubrec.id, code)));
            return Ok(vec![]);
        };
        if message.publish.qos != Qos::ExactlyOnce {
            return Err(ConnectionError::Protocol("a PUBREC without QoS 2"));
        }
        if pubrec.code >= reason_code::FAILURE && !message.released {
            return Ok(self.finish(now, pubrec.id, pubrec.code));
        }
        if message.released_by_host && !message.released {
            let is_repeated = std::mem::replace(&mut message.recorded, true);
            let event = Event::Recorded {
                token: message.token,
            };
            return Ok(if is_repeated { vec![] } else { vec![event] });
        }
        (message.recorded, message.released) = (true, true);
        self.send(now, Packet::PubRel(ack(pubrec.id, 0)));
        Ok(vec![])
    }

    /// Handles the PUBACK of a QoS 1 message or the PUBCOMP of a QoS 2 message.
    pub(super) fn completed(
        &mut self,
        now: f64,
        ack: Ack,
        qos: Qos,
    ) -> Result<Vec<Event>, ConnectionError> {
        let Some(message) = self.outgoing.get(&ack.id) else {
            // It belongs to an exchange of an earlier connection or of an earlier session.
            return Ok(vec![]);
        };
        if message.publish.qos != qos || qos == Qos::ExactlyOnce && !message.released {
            return Err(ConnectionError::Protocol(
                "an acknowledgement that does not match the QoS",
            ));
        }
        // If the server does not know an identifier that it had recorded, it has completed that exchange before.
        let was_completed =
            qos == Qos::ExactlyOnce && ack.code == reason_code::PACKET_IDENTIFIER_NOT_FOUND;
        Ok(self.finish(now, ack.id, if was_completed { 0 } else { ack.code }))
    }

    fn finish(&mut self, now: f64, id: u16, code: u8) -> Vec<Event> {
        let Some(message) = self.outgoing.remove(&id) else {
            return vec![];
        };
        self.send_order.retain(|&other| other != id);
        self.in_flight -= usize::from(message.sent);
        self.send_queued(now);
        vec![Event::Published {
            token: message.token,
            code,
        }]
    }
}
