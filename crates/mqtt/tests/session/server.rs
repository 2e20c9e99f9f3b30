//! A reference server that keeps its state across lost connections.

use bytes::Bytes;
use orchidtally_mqtt::packet::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A simple reference server.
#[derive(Default)]
pub struct Server {
    pub has_session: bool,
    /// Payloads that it has accepted, each once.
    pub accepted: Vec<u32>,
    pub releasing: BTreeSet<u16>,
    /// Unacknowledged deliveries by packet identifier, with whether PUBREC has arrived, and queued messages.
    pub in_flight: BTreeMap<u16, (u32, Qos, bool)>,
    pub queued: VecDeque<(u32, Qos)>,
    pub next_id: u16,
    pub to_client: VecDeque<Packet>,
}

pub fn payload_number(payload: &Bytes) -> u32 {
    std::str::from_utf8(payload).unwrap().parse().unwrap()
}

impl Server {
    pub fn publish(&self, id: u16, (n, qos): (u32, Qos), dup: bool) -> Packet {
        let payload = n.to_string().into();
        Packet::Publish(Publish {
            dup,
            qos,
            topic: "in/x".into(),
            id,
            payload,
            ..Publish::default()
        })
    }

    pub fn pump(&mut self) {
        while self.in_flight.len() < 3 {
            let Some((n, qos)) = self.queued.pop_front() else {
                return;
            };
            self.next_id += 1;
            self.in_flight.insert(self.next_id, (n, qos, false));
            self.to_client
                .push_back(self.publish(self.next_id, (n, qos), false));
        }
    }

    pub fn receive(&mut self, packet: Packet) {
        match packet {
            Packet::Connect(c) => {
                assert!(!c.clean);
                let session_present = std::mem::replace(&mut self.has_session, true);
                self.to_client.push_back(Packet::ConnAck(ConnAck {
                    session_present,
                    properties: vec![Property::ReceiveMaximum(2)],
                    ..ConnAck::default()
                }));
                for (&id, &(n, qos, recorded)) in &self.in_flight {
                    let retransmission = match recorded {
                        true => Packet::PubRel(Ack {
                            id,
                            ..Ack::default()
                        }),
                        false => self.publish(id, (n, qos), true),
                    };
                    self.to_client.push_back(retransmission);
                }
            }
            Packet::Subscribe(s) => {
                let codes = vec![2; s.filters.len()];
                self.to_client.push_back(Packet::SubAck(Codes {
                    id: s.id,
                    properties: vec![],
                    codes,
                }));
            }
            Packet::Publish(p) => {
                let n = payload_number(&p.payload);
                let ack = Ack {
                    id: p.id,
                    ..Ack::default()
                };
                match p.qos {
                    Qos::AtMostOnce => self.accepted.push(n),
                    Qos::AtLeastOnce => {
                        self.accepted.push(n);
                        self.to_client.push_back(Packet::PubAck(ack));
                    }
                    Qos::ExactlyOnce => {
                        if self.releasing.insert(p.id) {
                            self.accepted.push(n);
                        }
                        self.to_client.push_back(Packet::PubRec(ack));
                    }
                }
            }
            Packet::PubRel(a) => {
                self.releasing.remove(&a.id);
                self.to_client.push_back(Packet::PubComp(Ack {
                    id: a.id,
                    ..Ack::default()
                }));
            }
            Packet::PubAck(a) | Packet::PubComp(a) => {
                self.in_flight.remove(&a.id);
            }
            Packet::PubRec(a) => {
                if let Some(o) = self.in_flight.get_mut(&a.id) {
                    o.2 = true;
                }
                self.to_client.push_back(Packet::PubRel(Ack {
                    id: a.id,
                    ..Ack::default()
                }));
            }
            Packet::PingReq => self.to_client.push_back(Packet::PingResp),
            other => panic!("{other:?}"),
        }
        self.pump();
    }
}
