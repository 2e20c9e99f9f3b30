//! Handles packets from the broker and the session events that result from them.

use super::actions::Publication;
use super::{Consumer, Notice};
use crate::ledger::{Action, Redelivery};
use orchidtally_deployment::Deployment;
use orchidtally_mqtt::packet::{Packet, reason_code};
use orchidtally_mqtt::session::{ConnectionError, Event};

impl Consumer {
    /// Handles a packet from the broker. After an error the connection has to be closed.
    pub fn received(
        &mut self,
        now: f64,
        packet: Packet,
        deployment: &Deployment,
    ) -> Result<(), ConnectionError> {
        for event in self.session.received(now, packet)? {
            self.handle(now, event, deployment)?;
        }
        self.decide(now);
        Ok(())
    }

    fn handle(
        &mut self,
        now: f64,
        event: Event,
        deployment: &Deployment,
    ) -> Result<(), ConnectionError> {
        match event {
            Event::Connected { session_present } => {
                self.session_present = session_present;
                self.deferred_deliveries = Some(vec![]);
                self.notices
                    .push_back(Notice::Connected { session_present });
            }
            Event::Subscribed { refused } => {
                if !refused.is_empty() {
                    self.notices
                        .push_back(Notice::SubscriptionsRejected(refused));
                }
            }
            Event::Delivered(delivery) => match &mut self.deferred_deliveries {
                Some(deferred_deliveries) => deferred_deliveries.push(delivery),
                None => self.handle_delivery(now, delivery, deployment)?,
            },
            Event::Resumed => self.resumed(now, deployment)?,
            Event::Confirmed { number } => self.confirmed(now, number),
            Event::Recorded { token } => {
                if let Some(&Publication::Reply(message_id)) = self.publications.get(&token) {
                    let actions = self.ledger.reply_recorded(message_id);
                    self.perform(now, actions);
                }
            }
            Event::Published { token, code } => self.published(now, token, code),
        }
        Ok(())
    }

    /// Handles the end of the broker's redeliveries after a connect.
    fn resumed(&mut self, now: f64, deployment: &Deployment) -> Result<(), ConnectionError> {
        let deferred_deliveries = self.deferred_deliveries.take().unwrap_or_default();
        let redelivered: Vec<Redelivery> = deferred_deliveries
            .iter()
            .map(|d| Redelivery {
                packet_id: d.id,
                topic: &d.topic,
                payload: &d.payload,
            })
            .collect();
        let actions = self.ledger.session_resumed(
            self.session_present,
            &redelivered,
            self.reassigns_unacknowledged,
        );
        self.perform(now, actions);
        for delivery in deferred_deliveries {
            self.handle_delivery(now, delivery, deployment)?;
        }
        Ok(())
    }

    fn confirmed(&mut self, now: f64, delivery: u64) {
        match self
            .deliveries
            .message(delivery)
            .filter(|&message_id| !self.ledger.is_owned(message_id))
        {
            Some(message_id) => {
                let actions = self.ledger.confirmed(message_id);
                self.perform(now, actions);
            }
            // The ownership is persisted already, or the message is completed.
            None => self.session.complete(now, delivery),
        }
    }

    fn published(&mut self, now: f64, token: u64, code: u8) {
        let Some(publication) = self.publications.remove(&token) else {
            return;
        };
        let is_refused = code >= reason_code::FAILURE;
        if is_refused {
            self.not_published(publication.message(), Some(code));
        }
        let actions = match publication {
            Publication::DeadLetter(message_id) => self.ledger.dead_letter_published(message_id),
            Publication::Reply(message_id) => {
                self.counters.answered += u64::from(!is_refused);
                self.ledger.reply_completed(message_id)
            }
        };
        self.perform(now, actions);
        if let Some(message_id) = self.waiting_for_reply_id.pop_front() {
            self.perform(now, vec![Action::ReserveReplyId(message_id)]);
        }
    }

    /// Counts and reports that an answer or a dead letter could not be published.
    pub(super) fn not_published(&mut self, message_id: u64, code: Option<u8>) {
        self.counters.not_published += 1;
        let reply = self
            .ledger
            .message(message_id)
            .and_then(|message| message.reply.as_ref());
        let topic = reply.map_or_else(String::new, |reply| reply.topic.clone());
        self.notices.push_back(Notice::NotPublished { topic, code });
    }
}
