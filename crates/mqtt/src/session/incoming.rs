//! Messages from the server to the client.

use super::{ConnectionError, Delivery, Event, Session};
use crate::packet::*;

/// A delivery that the host has not acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unacknowledged {
    id: u16,
    qos: Qos,
}

impl Session {
    /// Restores a QoS 2 delivery that was acknowledged before the process crashed. Returns its delivery number.
    pub fn restore_received(&mut self, id: u16) -> u64 {
        self.last_delivery += 1;
        self.received.insert(id, self.last_delivery);
        self.last_delivery
    }

    /// Acknowledges a delivery, or rejects it with a code of `reason_code::FAILURE` or higher. Returns false if the
    /// connection of the delivery is lost or the number is unknown; the server redelivers the message then.
    pub fn acknowledge(&mut self, now: f64, number: u64, code: u8) -> bool {
        let Some(Unacknowledged { id, qos }) = self.unacknowledged.remove(&number) else {
            return false;
        };
        let ack = Ack {
            id,
            code,
            properties: vec![],
        };
        if qos == Qos::ExactlyOnce {
            // A PUBREC with a failure completes the exchange.
            if code < reason_code::FAILURE {
                self.received.insert(id, number);
            }
            self.send(now, Packet::PubRec(ack));
        } else {
            self.send(now, Packet::PubAck(ack));
            self.unconfirmed.push(number);
            self.request_confirmation(now);
        }
        true
    }

    /// Completes a confirmed QoS 2 delivery by PUBCOMP, after the host has persisted the confirmation. The server may not
    /// reuse the packet identifier before that, so that a host can distinguish the two messages after a crash.
    pub fn complete(&mut self, now: f64, number: u64) {
        let found = self
            .received
            .iter()
            .find(|(_, received)| **received == number);
        let Some(id) = found.map(|(&id, _)| id) else {
            return;
        };
        self.received.remove(&id);
        if self.is_connected() {
            self.send(
                now,
                Packet::PubComp(Ack {
                    id,
                    ..Ack::default()
                }),
            );
        }
    }

    /// Handles a PUBLISH.
    pub(super) fn delivered(
        &mut self,
        now: f64,
        mut publish: Publish,
    ) -> Result<Vec<Event>, ConnectionError> {
        self.resolve_alias(&mut publish)?;
        if publish.qos == Qos::ExactlyOnce && self.received.contains_key(&publish.id) {
            // The message is acknowledged already, but the server has not received the PUBREC.
            self.send(
                now,
                Packet::PubRec(Ack {
                    id: publish.id,
                    ..Ack::default()
                }),
            );
            return Ok(vec![]);
        }
        let number = match publish.qos {
            Qos::AtMostOnce => None,
            qos => Some(self.add_unacknowledged(publish.id, qos)?),
        };
        Ok(vec![Event::Delivered(Delivery {
            number,
            id: publish.id,
            topic: publish.topic,
            payload: publish.payload,
            qos: publish.qos,
            dup: publish.dup,
            retained: publish.retain,
            properties: publish.properties,
        })])
    }

    /// Sets the topic of a message that has only an alias, or stores the alias of its topic.
    fn resolve_alias(&mut self, publish: &mut Publish) -> Result<(), ConnectionError> {
        let alias = publish
            .properties
            .iter()
            .find_map(|property| match property {
                Property::TopicAlias(alias) => Some(*alias),
                _ => None,
            });
        let Some(alias) = alias else { return Ok(()) };
        if alias > self.options.topic_alias_maximum {
            return Err(ConnectionError::Protocol("a topic alias above the maximum"));
        }
        if publish.topic.is_empty() {
            let topic = self.aliases.get(&alias);
            publish.topic = topic
                .ok_or(ConnectionError::Protocol(
                    "a topic alias that was never set",
                ))?
                .clone();
        } else {
            self.aliases.insert(alias, publish.topic.clone());
        }
        Ok(())
    }

    fn add_unacknowledged(&mut self, id: u16, qos: Qos) -> Result<u64, ConnectionError> {
        if self
            .unacknowledged
            .values()
            .any(|delivery| delivery.id == id)
        {
            return Err(ConnectionError::Protocol(
                "a packet identifier that is in use",
            ));
        }
        let receive_maximum = usize::from(self.options.receive_maximum.max(1));
        if self.options.version == Version::V5 && self.unacknowledged.len() >= receive_maximum {
            return Err(ConnectionError::Protocol(
                "more deliveries than the receive maximum",
            ));
        }
        self.last_delivery += 1;
        self.unacknowledged
            .insert(self.last_delivery, Unacknowledged { id, qos });
        Ok(self.last_delivery)
    }

    /// Handles a PUBREL.
    pub(super) fn released(&mut self, now: f64, pubrel: Ack) -> Vec<Event> {
        // An unknown delivery was completed before. That its PUBCOMP was lost is not an error.
        let number = self.received.get(&pubrel.id).copied();
        if !self.options.requests_confirmation || number.is_none() {
            self.received.remove(&pubrel.id);
            let is_known = number.is_some() || self.options.version == Version::V311;
            let code = if is_known {
                0
            } else {
                reason_code::PACKET_IDENTIFIER_NOT_FOUND
            };
            self.send(
                now,
                Packet::PubComp(Ack {
                    id: pubrel.id,
                    code,
                    properties: vec![],
                }),
            );
        }
        number
            .map(|number| Event::Confirmed { number })
            .into_iter()
            .collect()
    }
}
