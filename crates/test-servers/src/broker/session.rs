//! The broker's state for one client.

use super::{Message, SharedSubscription};
use orchidtally_mqtt::Filter;
use orchidtally_mqtt::packet::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

impl SharedSubscription {
    /// The shared subscription of a filter, if it is shared.
    pub(super) fn of(filter: &Filter) -> Option<SharedSubscription> {
        let group = filter.group()?.to_owned();
        Some(SharedSubscription {
            group,
            filter: filter.as_str().to_owned(),
        })
    }
}

/// The state of a delivery with QoS 1 or 2.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DeliveryState {
    Sent,
    /// The client has sent PUBREC.
    Recorded,
}

/// A client's subscriptions, queued messages and unacknowledged deliveries.
#[derive(Debug, Default)]
pub(super) struct ClientSession {
    pub(super) connection: Option<u64>,
    pub(super) filters: Vec<(Filter, Qos)>,
    /// Messages to be delivered.
    pub(super) queue: VecDeque<Message>,
    /// Deliveries that are not acknowledged, by packet identifier.
    unacknowledged: BTreeMap<u16, (Message, DeliveryState)>,
    /// The packet identifiers of `unacknowledged` in the order of delivery.
    order: VecDeque<u16>,
    last_id: u16,
    /// Packet identifiers of QoS 2 messages that the client has not released yet.
    pub(super) incoming: BTreeSet<u16>,
    /// When the session expires, while there is no connection.
    pub(super) expires_at: f64,
}

impl ClientSession {
    /// The number of deliveries that are not acknowledged.
    pub(super) fn unacknowledged(&self) -> usize {
        self.unacknowledged.len()
    }

    /// The next packet identifier that is not in use.
    fn next_packet_id(&mut self) -> u16 {
        loop {
            self.last_id = self.last_id.checked_add(1).unwrap_or(1);
            if !self.unacknowledged.contains_key(&self.last_id) {
                return self.last_id;
            }
        }
    }

    /// Returns the PUBLISH packet for a message, and stores the message as unacknowledged if its QoS is 1 or 2.
    pub(super) fn deliver(&mut self, message: Message, now: f64, version: Version) -> Packet {
        if message.qos == Qos::AtMostOnce {
            return publish_packet(&message, 0, false, now, version);
        }
        let id = self.next_packet_id();
        let packet = publish_packet(&message, id, false, now, version);
        self.unacknowledged
            .insert(id, (message, DeliveryState::Sent));
        self.order.push_back(id);
        packet
    }

    /// Returns the packets that resume unacknowledged deliveries over a new connection, in reverse order if `reversed`.
    pub(super) fn redeliver(&self, now: f64, version: Version, reversed: bool) -> Vec<Packet> {
        let mut ids: Vec<u16> = self.order.iter().copied().collect();
        if reversed {
            ids.reverse();
        }
        let packet = |id: u16| {
            let (message, state) = self.unacknowledged.get(&id)?;
            Some(match state {
                DeliveryState::Sent => publish_packet(message, id, true, now, version),
                DeliveryState::Recorded => Packet::PubRel(Ack {
                    id,
                    ..Ack::default()
                }),
            })
        };
        ids.into_iter().filter_map(packet).collect()
    }

    /// Handles PUBREC: from now on PUBREL is redelivered in place of PUBLISH.
    pub(super) fn pubrec_received(&mut self, id: u16) {
        if let Some((_, state)) = self.unacknowledged.get_mut(&id) {
            *state = DeliveryState::Recorded;
        }
    }

    /// Removes a delivery that the client has acknowledged.
    pub(super) fn complete(&mut self, id: u16) {
        self.unacknowledged.remove(&id);
        self.order.retain(|&other| other != id);
    }

    /// Removes the unacknowledged QoS 1 deliveries, and returns those of shared subscriptions, the newest first.
    pub(super) fn take_unacknowledged_shared(&mut self) -> Vec<(SharedSubscription, Message)> {
        let has_qos_1 = |id: &u16| self.unacknowledged[id].0.qos == Qos::AtLeastOnce;
        let ids: Vec<u16> = self.order.iter().copied().filter(has_qos_1).collect();
        let mut messages = vec![];
        for id in ids.into_iter().rev() {
            let Some((message, _)) = self.unacknowledged.remove(&id) else {
                continue;
            };
            self.order.retain(|&other| other != id);
            let mut matching = self
                .filters
                .iter()
                .filter(|(filter, _)| filter.matches(&message.topic));
            if let Some(shared) = matching.find_map(|(filter, _)| SharedSubscription::of(filter)) {
                messages.push((shared, message));
            }
        }
        messages
    }
}

fn publish_packet(message: &Message, id: u16, dup: bool, now: f64, version: Version) -> Packet {
    let mut properties = if version == Version::V5 {
        message.properties.clone()
    } else {
        vec![]
    };
    for property in &mut properties {
        if let Property::MessageExpiry(left) = property {
            *left = (message.expires_at - now).ceil().max(1.0) as u32;
        }
    }
    let (topic, payload) = (message.topic.clone(), message.payload.clone());
    Packet::Publish(Publish {
        dup,
        qos: message.qos,
        retain: message.retain,
        topic,
        id,
        properties,
        payload,
    })
}
